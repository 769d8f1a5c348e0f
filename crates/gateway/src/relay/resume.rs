//! Goes on with a stream at another upstream, because it broke off or its upstream is silent.

use std::{pin::pin, rc::Rc, time::Duration};

use daisysill_core::ids::SoftwareVersion;
use tokio::time::{Instant, timeout};

use super::{Passing, Relay, SILENT};
use crate::{
    caller_request::{AttemptHistory, SoftwareRequirement},
    duration::millis,
    exchange::UpstreamResponse,
    placement::ChosenUpstream,
    silence::REFUSAL_TIME,
    upstreams::Upstream,
};

impl Relay {
    pub(super) fn may_resume(&self) -> bool {
        // The upstream that runs the request now counts as an attempt.
        let used = self.history.may_have_run + u32::from(self.response.is_some());
        matches!(self.passing, Passing::WholeEvents(_))
            && used < self.request.route.max_attempts
            && self.request.time_left() > Duration::ZERO
    }

    /// Takes a place at another upstream for a stream whose upstream is silent; `None` if there is none.
    pub(super) fn take_next_upstream(&mut self) -> Option<Box<ChosenUpstream>> {
        let upstream = self.upstream()?;
        let history = self.history_elsewhere(&upstream);
        let place = self.gateway.take_next_upstream(&self.request, &history);
        if self.checked_at.is_none() {
            tracing::info!(
                event = "silent",
                request_id = self.request.headers.request_id.as_deref(),
                upstream = upstream.entry.id.as_str(),
                silent_ms = millis(self.progressed_at.elapsed()),
                outcome = if place.is_some() { "moves" } else { "waits" },
            );
        }
        self.checked_at = Some(Instant::now());
        place
    }

    /// Moves the stream from its silent upstream to `place`, or stays if that one cannot be reached, refuses at once or answers with
    /// something else; `false` if the stream ends, since the other upstream failed later.
    pub(super) async fn move_to(&mut self, place: Box<ChosenUpstream>) -> bool {
        let Some(upstream) = self.upstream() else { return false };
        let mut history = self.history_elsewhere(&upstream);
        let after = self.last_event_id();
        let (gateway, request) = (Rc::clone(&self.gateway), Rc::clone(&self.request));
        let (result, has_left) = {
            let mut attempt = gateway.begin_attempt(&request, &mut history, place, after.as_deref());
            attempt.stay_until(Instant::now() + REFUSAL_TIME);
            let mut end = pin!(gateway.finish_attempt(&request, &mut history, attempt, after.as_deref()));
            if let Ok(result) = timeout(REFUSAL_TIME, &mut end).await {
                (result, false)
            } else {
                self.leave_upstream();
                (end.await, true)
            }
        };
        match result {
            Ok(response) if !has_left && !response.head.continues(&self.first_head) => {
                history.return_to(&upstream.entry.id);
                self.history = history.after_leaving(&response.in_flight.upstream.entry.id);
                true
            }
            Ok(response) => {
                self.leave_upstream();
                self.history = history;
                self.go_on_with(response, SILENT, &upstream)
            }
            Err(_) if !has_left => {
                history.return_to(&upstream.entry.id);
                self.history = history;
                true
            }
            Err(error) if gateway.final_refusal(&request, &history, error).is_none() => {
                self.history = history;
                self.go_on_elsewhere(SILENT, &upstream).await
            }
            Err(_) => false,
        }
    }

    /// Resumes a stream that broke off, after the last complete event; `false` if it cannot.
    pub(super) async fn resume(&mut self, reason: &'static str) -> bool {
        let Some(upstream) = self.upstream() else { return false };
        self.history = self.history_elsewhere(&upstream);
        self.leave_upstream();
        self.may_resume() && self.go_on_elsewhere(reason, &upstream).await
    }

    /// Returns the upstream that runs the stream.
    fn upstream(&self) -> Option<Rc<Upstream>> {
        self.response.as_ref().map(|response| Rc::clone(&response.in_flight.upstream))
    }

    fn last_event_id(&self) -> Option<String> {
        match &self.passing {
            Passing::WholeEvents(splitter) => splitter.last_id().map(str::to_owned),
            Passing::AsReceived(_) | Passing::Opaque => None,
        }
    }

    /// Returns the history of the stream once it has left an upstream. Its caller may have events, which bind it to the
    /// upstream's software version.
    fn history_elsewhere(&self, upstream: &Upstream) -> AttemptHistory {
        let mut history = self.history.after_leaving(&upstream.entry.id);
        if self.passing.has_event_id() {
            history.software = SoftwareRequirement::Same(self.gateway.cluster.software_of(&upstream.entry));
            history.resumed_at = Some(Instant::now());
        }
        history
    }

    /// Closes the connection to the upstream, so that it cancels the request, and drops the event that is not complete.
    fn leave_upstream(&mut self) {
        let Some(response) = self.response.take() else { return };
        response.in_flight.upstream.record_failure();
        if let Passing::WholeEvents(splitter) = &mut self.passing {
            self.is_event_due |= splitter.is_inside_event();
            splitter.drop_pending();
        }
    }

    /// Sends the rest of the stream to another upstream than `before`; `false` if none goes on with it.
    async fn go_on_elsewhere(&mut self, reason: &'static str, before: &Upstream) -> bool {
        let after = self.last_event_id();
        let resumed = self.gateway.send(&self.request, &mut self.history, None, after.as_deref()).await;
        match resumed {
            Ok(response) => self.go_on_with(response, reason, before),
            Err(refusal) => {
                self.log_resumed(reason, before, None, refusal.code.name());
                false
            }
        }
    }

    /// Goes on with the response of another upstream than `before`; `false` if it is not the rest of the stream.
    fn go_on_with(&mut self, response: UpstreamResponse, reason: &'static str, before: &Upstream) -> bool {
        self.log_resumed(reason, before, Some(&response), "resumed");
        if !response.head.continues(&self.first_head) {
            return false;
        }
        self.response = Some(response);
        self.has_body = false;
        self.record_progress();
        true
    }

    fn log_resumed(
        &self,
        reason: &'static str,
        before: &Upstream,
        response: Option<&UpstreamResponse>,
        outcome: &'static str,
    ) {
        let software_of = |upstream: &Upstream| self.gateway.cluster.software_of(&upstream.entry);
        let software = software_of(before);
        let resumed_software = response.and_then(|response| software_of(&response.in_flight.upstream));
        tracing::info!(
            event = "stream_resumed",
            request_id = self.request.headers.request_id.as_deref(),
            reason,
            after = self.last_event_id().as_deref(),
            software = software.as_ref().map(SoftwareVersion::as_str),
            resumed_software = resumed_software.as_ref().map(SoftwareVersion::as_str),
            status = response.map(|response| response.head.status.as_u16()),
            outcome,
        );
    }
}
