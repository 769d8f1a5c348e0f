//! Places at plain services: when a request acquires one from the leader, and what happens if there is none.
//!
//! Handles services with few slots behind many entry nodes, which learn of each other's requests too late to share them.

use std::{rc::Rc, time::Duration};

use daisysill_cluster::{HeldPlace, PlaceOutcome};
use daisysill_core::{
    place_queue::{LATE_URGENCY, PlaceCandidate},
    place_use::{PlaceUse, ServiceUse, latest_start_ms, longest_late_wait_ms},
    result_code::ResultCode,
    routing::ServiceSpec,
};
use daisysill_wire::peer::PlaceRequest;
use tokio::time::Instant;

use crate::{
    caller_request::{AttemptHistory, CallerRequest, urgency},
    duration::millis,
    forward::Gateway,
    permits::has_limit,
    placement::Placement,
    refusal::Refusal,
    upstreams::Upstream,
};

/// Services with more upstreams than this take no part: each request would name them all to the leader.
const MAX_UPSTREAMS: usize = 32;
/// Time by which the leader answers before this node stops waiting for it.
const ANSWER_MARGIN_MS: u64 = 5;

impl Gateway {
    /// Acquires a place for the next attempt if the service is busy; `None` if this node chooses an upstream by itself.
    ///
    /// # Errors
    /// Refuses the request if the leader states that it would be late.
    pub(crate) async fn acquire_place(
        &self,
        request: &CallerRequest,
        history: &mut AttemptHistory,
    ) -> Result<Option<HeldPlace>, Refusal> {
        let Some(place_request) = self.place_request(request, history) else { return Ok(None) };
        let asked_at = Instant::now();
        let mut outcome = self.request_place(place_request, history).await;
        // It will be late. What callers can still use is served where nobody else waits for the place.
        if matches!(outcome, PlaceOutcome::Refused { .. })
            && let Some(late_request) = self.late_place_request(request, history)
        {
            outcome = self.request_place(late_request, history).await;
        }
        match outcome {
            PlaceOutcome::Granted(place) => {
                self.with_place_use(request, |places, _| places.record_answer());
                Ok(Some(place))
            }
            PlaceOutcome::Refused { retry_after_ms } => {
                self.with_place_use(request, |places, _| places.record_answer());
                Err(late_refusal(history, retry_after_ms))
            }
            PlaceOutcome::Unanswered => {
                self.with_place_use(request, PlaceUse::record_unanswered);
                tracing::info!(
                    event = "place_unanswered",
                    request_id = request.headers.request_id.as_deref(),
                    service = request.service.as_str(),
                    after_ms = millis(asked_at.elapsed()),
                );
                Ok(None)
            }
        }
    }

    /// Requests a place from the leader, and counts the time and the outcome.
    async fn request_place(&self, place_request: PlaceRequest, history: &mut AttemptHistory) -> PlaceOutcome {
        let limit = Duration::from_millis(place_request.max_wait_ms + ANSWER_MARGIN_MS);
        let asked_at = Instant::now();
        let outcome = self.cluster.acquire_place(place_request, limit).await;
        history.waited += asked_at.elapsed();
        let result = match &outcome {
            PlaceOutcome::Granted(_) => "granted",
            PlaceOutcome::Refused { .. } => "refused",
            PlaceOutcome::Unanswered => "unanswered",
        };
        self.metrics.record_place_request(result);
        outcome
    }

    /// Chooses the upstream of a place, if all rules still allow it; otherwise any upstream as without a place.
    pub(crate) fn place_at(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
        place: HeldPlace,
    ) -> Placement {
        match self.place_granted(request, history, place.upstream()) {
            Placement::At(chosen) => {
                chosen.held_place.replace(Some(place));
                Placement::At(chosen)
            }
            Placement::NoCapacity | Placement::RateLimited(_) | Placement::NoneAccepting => {
                drop(place);
                self.place(request, history)
            }
        }
    }

    /// Records that an upstream rejected a request, so that its slots are scarce.
    pub(crate) fn record_place_rejection(&self, request: &CallerRequest) {
        if self.is_plain(request) {
            self.with_place_use(request, PlaceUse::record_rejection);
        }
    }

    /// Returns what to ask the leader for; `None` if the request needs no place, can't have one or can't wait for it.
    fn place_request(&self, request: &CallerRequest, history: &AttemptHistory) -> Option<PlaceRequest> {
        if history.resumed_at.is_some() || !self.is_plain(request) || self.passes_on(request) {
            return None;
        }
        let accepting = self.upstreams.accepting(&request.service);
        let cold = self.cold_rules(&request.service);
        let is_restricted =
            |upstream: &Rc<Upstream>| names_rejection_limit(upstream) || has_limit(cold.as_ref(), upstream);
        if accepting.len() > MAX_UPSTREAMS || accepting.iter().any(is_restricted) {
            return None;
        }
        let service = self.service_use(&accepting);
        if !self.with_place_use(request, |places, now_ms| places.asks(now_ms, &service)) {
            return None;
        }
        let request_ms = self.upstreams.speeds(&request.service).request_ms.get();
        let elapsed_ms = millis(request.arrived.elapsed());
        let left_ms = latest_start_ms(request.route.goal_ms, request_ms).saturating_sub(elapsed_ms);
        let deadline_ms = millis(request.time_left());
        let max_wait_ms = left_ms.min(deadline_ms).checked_sub(ANSWER_MARGIN_MS).filter(|wait| *wait > 0)?;
        let candidates = self.place_candidates(request, history);
        (!candidates.is_empty()).then(|| PlaceRequest {
            service: request.service.clone(),
            candidates,
            max_wait_ms,
            goal_ms: request.route.goal_ms.saturating_sub(elapsed_ms),
            deadline_ms,
            urgency: urgency(request, history),
        })
    }

    /// Returns what to ask the leader for if the request will be late; `None` if it can't be answered before its deadline.
    fn late_place_request(&self, request: &CallerRequest, history: &AttemptHistory) -> Option<PlaceRequest> {
        let request_ms = self.upstreams.speeds(&request.service).request_ms.get();
        let deadline_ms = millis(request.time_left());
        let wait_ms = longest_late_wait_ms(request.route.goal_ms, deadline_ms, request_ms);
        let max_wait_ms = wait_ms.checked_sub(ANSWER_MARGIN_MS).filter(|wait| *wait > 0)?;
        let candidates = self.place_candidates(request, history);
        (!candidates.is_empty()).then(|| PlaceRequest {
            service: request.service.clone(),
            candidates,
            max_wait_ms,
            goal_ms: 0,
            deadline_ms,
            urgency: LATE_URGENCY,
        })
    }

    /// Returns the upstreams to which the request may be sent now, apart from their load.
    fn place_candidates(&self, request: &CallerRequest, history: &AttemptHistory) -> Vec<PlaceCandidate> {
        let untried = self.untried_in_reachable_zones(request, history).into_iter();
        untried
            .filter(|upstream| !upstream.hints().pause.is_on())
            .map(|upstream| PlaceCandidate { upstream: upstream.tag, slots: upstream.entry.slots })
            .collect()
    }

    fn service_use(&self, accepting: &[Rc<Upstream>]) -> ServiceUse {
        let in_flight = |upstream: &Rc<Upstream>| {
            upstream.in_flight() + self.cluster.other_nodes_load(upstream.tag).requests
        };
        ServiceUse {
            in_flight: accepting.iter().map(in_flight).sum(),
            slots: accepting.iter().map(|upstream| upstream.entry.slots).sum(),
            entry_nodes: self.entry_nodes(),
        }
    }

    fn is_plain(&self, request: &CallerRequest) -> bool {
        let table = self.routing.table();
        let service = table.as_ref().and_then(|table| table.service(&request.service));
        service.is_some_and(|service| matches!(service.spec, ServiceSpec::Plain))
    }

    /// Calls `act` with what this node remembers of the request's service and the current time in ms.
    fn with_place_use<T>(&self, request: &CallerRequest, act: impl FnOnce(&mut PlaceUse, u64) -> T) -> T {
        let now_ms = self.now_ms();
        let mut uses = self.place_uses.borrow_mut();
        if let Some(places) = uses.get_mut(&request.service) {
            return act(places, now_ms);
        }
        act(uses.entry(request.service.clone()).or_default(), now_ms)
    }
}

/// Returns whether the upstream has stated that it tolerates few rejections. A granted slot may be taken by a node that chose by itself,
/// so such upstreams get requests by `core::rejection_guard` only.
fn names_rejection_limit(upstream: &Upstream) -> bool {
    upstream.hints().rejections.limit().max_per_s().is_some()
}

/// Returns the refusal of a request that would be late by the leader's queue.
fn late_refusal(history: &AttemptHistory, retry_after_ms: u64) -> Refusal {
    let reason = "no place at an upstream becomes free in time";
    if history.may_have_run > 0 {
        return Refusal::new(ResultCode::UpstreamFailed, reason);
    }
    Refusal::not_run(ResultCode::DeadlineUnreachable, reason, retry_after_ms)
}
