//! What happens while an upstream is silent: a request leaves it only once a place at another one was taken. A sound upstream
//! may be silent for a second or so and go on, so that silence alone is no reason to end an answer.

use std::{future::Future, pin::pin, rc::Rc, time::Duration};

use tokio::time::{Instant, timeout_at};

use crate::{
    caller_request::{AttemptHistory, CallerRequest},
    exchange::UpstreamResponse,
    forward::{FailedAttempt, Gateway},
    placement::{ChosenUpstream, Placement},
};

/// Interval at which a place at another upstream is looked for while one is silent for too long.
pub(crate) const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// When a request may leave a silent upstream, and when it must.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilenceLimits {
    /// From when it leaves if it can.
    pub(crate) first: Instant,
    /// When it ends in any case.
    pub(crate) end: Instant,
}

impl SilenceLimits {
    /// Waits for what an upstream is to send; `None` once it is given up. From the first limit on, `leave` is asked from time
    /// to time whether it is.
    pub(crate) async fn wait<T>(
        self,
        answer: impl Future<Output = T>,
        leave: &mut dyn FnMut() -> bool,
    ) -> Option<T> {
        let mut answer = pin!(answer);
        let mut limit = self.first.min(self.end);
        loop {
            if let Ok(answer) = timeout_at(limit, &mut answer).await {
                return Some(answer);
            }
            let now = Instant::now();
            if now >= self.end || leave() {
                return None;
            }
            limit = (now + PLACE_CHECK_INTERVAL).min(self.end);
        }
    }
}

/// Where a request goes on once it has left an upstream.
pub(crate) enum NextPlace {
    /// At another upstream, whose place and retry were taken for it.
    Upstream(Box<ChosenUpstream>),
    /// At another entry node, since this one does not reach the upstreams.
    EntryNode,
}

impl NextPlace {
    /// Returns the upstream of the next attempt that this node makes.
    pub(crate) fn upstream(self) -> Option<Box<ChosenUpstream>> {
        match self {
            Self::Upstream(chosen) => Some(chosen),
            Self::EntryNode => None,
        }
    }
}

impl Gateway {
    /// Returns where a request may go on that has no response yet and still runs at an upstream, given the history that it has
    /// once it has left that one.
    pub(crate) fn next_place(&self, request: &CallerRequest, history: &AttemptHistory) -> Option<NextPlace> {
        if let Some(chosen) = self.take_next_upstream(request, history) {
            return Some(NextPlace::Upstream(chosen));
        }
        let passes_on = self.passes_on(request)
            && history.may_have_run < request.route.max_attempts
            && self.is_retry_left(&request.service);
        passes_on.then_some(NextPlace::EntryNode)
    }

    /// Makes one attempt at a place that was taken for it.
    pub(crate) async fn send_to(
        self: &Rc<Self>,
        request: &Rc<CallerRequest>,
        history: &mut AttemptHistory,
        place: &ChosenUpstream,
        resume_after: Option<&str>,
    ) -> Result<UpstreamResponse, FailedAttempt> {
        let result = self.try_once(request, history, place, resume_after).await;
        if let Err(failed) = &result {
            self.record_failure(request, history, place, failed.error);
        }
        result
    }

    /// Takes a place at another upstream for a request that still runs at one, given the history that it has once it has left
    /// that one; `None` if no other upstream takes it now. Does not wait, since the present one may go on meanwhile.
    pub(crate) fn take_next_upstream(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
    ) -> Option<Box<ChosenUpstream>> {
        let may_go_on = history.may_have_run < request.route.max_attempts
            && request.time_left() > Duration::ZERO
            && self.block_refusal(request, history).is_none()
            && !self.passes_on(request)
            && (request.customer.is_none() || self.is_fresh())
            && self.is_retry_left(&request.service);
        if !may_go_on {
            return None;
        }
        match self.place(request, history) {
            Placement::At(chosen) => self.try_take_retry(&request.service).then_some(chosen),
            Placement::NoCapacity | Placement::RateLimited(_) | Placement::NoneAccepting => None,
        }
    }
}
