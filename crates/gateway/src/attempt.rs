//! An attempt in progress. It continues while another upstream is asked to take over its request.

use std::{future::Future, pin::Pin, rc::Rc};

use tokio::time::{Instant, timeout_at};

use crate::{
    caller_request::{AttemptHistory, CallerRequest, urgency},
    duration::millis,
    exchange::{AttemptError, AttemptSignals, AttemptTarget, OutgoingRequest, UpstreamResponse, attempt},
    forward::Gateway,
    header_codec::AttemptHeaders,
    placement::ChosenUpstream,
    silence::PLACE_CHECK_INTERVAL,
};

/// The result of an attempt: the head of the response, or why there is none.
pub(crate) type AttemptResult = Result<UpstreamResponse, AttemptError>;

/// An attempt in progress; dropping it closes the connection, so that the upstream cancels the request.
pub(crate) struct Attempt<'a> {
    pub(crate) place: Rc<ChosenUpstream>,
    pub(crate) result: Pin<Box<dyn Future<Output = AttemptResult> + 'a>>,
    signals: Rc<AttemptSignals>,
    /// When its upstream counts as silent; `None` if the request may not leave it.
    silent_at: Option<Instant>,
    is_connected: bool,
}

impl Attempt<'_> {
    /// Waits for the result; `None` if its upstream has been silent for too long.
    pub(crate) async fn until_silent(&mut self) -> Option<AttemptResult> {
        if !self.is_connected {
            tokio::select! {
                biased;
                result = &mut self.result => return Some(result),
                () = self.signals.connected.notified() => self.is_connected = true,
            }
        }
        match self.silent_at {
            Some(silent_at) => timeout_at(silent_at, &mut self.result).await.ok(),
            None => Some((&mut self.result).await),
        }
    }

    /// Has the upstream count as silent again after a while.
    pub(crate) fn stay(&mut self) {
        self.stay_until(Instant::now() + PLACE_CHECK_INTERVAL);
    }

    /// Has the upstream not count as silent before `earliest`.
    pub(crate) fn stay_until(&mut self, earliest: Instant) {
        self.silent_at = self.silent_at.map(|silent_at| silent_at.max(earliest));
    }

    /// Ends the attempt as timed out, unless it has its result already.
    pub(crate) async fn leave(self) -> AttemptResult {
        self.signals.left.notify_one();
        self.result.await
    }

    /// Gives back the result that was taken from it.
    pub(crate) fn with_response(self, response: UpstreamResponse) -> Self {
        Self { result: Box::pin(std::future::ready(Ok(response))), ..self }
    }
}

impl Gateway {
    /// Begins an attempt at a place that was taken for it, and records it as open.
    pub(crate) fn begin_attempt<'a>(
        self: &'a Rc<Self>,
        request: &'a Rc<CallerRequest>,
        history: &mut AttemptHistory,
        place: Box<ChosenUpstream>,
        resume_after: Option<&'a str>,
    ) -> Attempt<'a> {
        history.is_attempt_open = true;
        history.sends.begin();
        let silence_limit = self.silence_limit(request, history);
        let urgency = place.scope.as_ref().map(|_| urgency(request, history));
        let (place, signals) = (Rc::<ChosenUpstream>::from(place), Rc::<AttemptSignals>::default());
        let result = {
            let (place, signals) = (Rc::clone(&place), Rc::clone(&signals));
            Box::pin(async move { self.try_once(request, &place, urgency, resume_after, &signals).await })
        };
        let silent_at = silence_limit.map(|limit| Instant::now() + limit);
        Attempt { place, result, signals, silent_at, is_connected: false }
    }

    /// Makes one attempt. A successful response without the proof of origin counts as broken.
    async fn try_once(
        self: &Rc<Self>,
        request: &Rc<CallerRequest>,
        chosen: &ChosenUpstream,
        urgency: Option<u8>,
        resume_after: Option<&str>,
        signals: &AttemptSignals,
    ) -> AttemptResult {
        let left = request.time_left();
        let headers = AttemptHeaders {
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            upstream: &chosen.upstream.entry.id,
            customer: request.customer.as_ref().map(|customer| &customer.name),
            cache_scope: chosen.scope.as_deref(),
            weight_version: chosen.version,
            urgency,
            resume_after,
            transfers: chosen.transfers.as_ref(),
        };
        let outgoing = OutgoingRequest {
            method: &request.method,
            request_id: request.headers.request_id.as_deref(),
            head: &request.head,
            body: &request.body,
            at_most_once: request.at_most_once(),
            pending_prefill_tokens: chosen.pending_prefill_tokens,
            tokens: request.tokens(),
            expected_work: chosen.expected_work,
            max_connections: self.max_connections(&request.service),
            head_timeout: left.min(self.time_on_weights(chosen)),
            entry_nodes: self.peak_entry_nodes(),
            held_place: &chosen.held_place,
            send_permit: &chosen.send_permit,
            retry_permit: &chosen.retry_permit,
        };
        let started = Instant::now();
        let upstream = AttemptTarget { upstream: &chosen.upstream, ended: &self.request_ended };
        let result = attempt(self, upstream, &headers, &outgoing, signals).await;
        if let Some(transfers) = &chosen.transfers {
            self.release_links(transfers);
        }
        let is_forged = |response: &UpstreamResponse| response.head.status.is_success() && !response.sealed;
        let outcome = match &result {
            Ok(response) if is_forged(response) => "unsealed",
            Ok(_) => "answered",
            Err(error) => error.name(),
        };
        self.metrics.record_attempt(outcome);
        let used = signals.trace.connection_use.get();
        if result.is_err() {
            tracing::info!(
                event = "attempt_failed",
                request_id = request.headers.request_id.as_deref(),
                upstream = chosen.upstream.entry.id.as_str(),
                address = %chosen.upstream.entry.address,
                outcome,
                connection = used.map(|used| used.connection),
                connection_requests = used.map(|used| used.requests),
                after_ms = millis(started.elapsed()),
                estimate_ms = chosen.estimate_ms,
                candidates = chosen.candidates,
                in_flight = chosen.upstream.in_flight(),
                board_age_ms = self.cluster.published_upstreams_age().map(|age| age.as_millis()),
            );
        }
        let mut response = result?;
        if let Some(transfers) = &chosen.transfers {
            self.record_fetch(request, chosen, transfers);
            tracing::info!(
                event = "prompt",
                request_id = request.headers.request_id.as_deref(),
                version = chosen.version.map(|version| version.0),
                target_version = chosen.target.map(|target| target.0),
                outdated_ms = chosen.outdated.and_then(|outdated| outdated.age).map(millis),
                shared_tokens = chosen.prefix.map(|(_, tokens)| tokens),
                cached_tokens = chosen.cached_tokens,
                fetched_tokens = transfers.fetched_tokens(),
                saved_parts = transfers.save.iter().flatten().count(),
                left_out_parts = transfers.skipped_parts,
                fetch_ms = chosen.fetch_ms,
                took_ms = millis(started.elapsed()),
                index = self.cluster.upstream_clock_ms().is_some(),
            );
        }
        self.record_response(request, chosen, &response, started.elapsed());
        response.in_flight.finish_prefill();
        if is_forged(&response) {
            return Err(AttemptError::Broken);
        }
        Ok(response)
    }
}
