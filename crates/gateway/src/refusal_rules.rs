//! Decides when a request is refused, and with which code and retry-after.

use std::time::Duration;

use daisysill_core::{crashing_parts, crashing_requests, result_code::ResultCode};

use crate::{
    caller_request::{AttemptHistory, CallerRequest, SoftwareRequirement},
    exchange::{AttemptError, UpstreamResponse},
    forward::Gateway,
    refusal::Refusal,
    stream_origin::version_gone,
};

/// Refusals by upstreams that are retried elsewhere; after one more, the request is refused.
const MAX_REFUSALS: u32 = 2;
/// Unreachable upstreams that are skipped for a request; after one more, the request is refused.
const MAX_UNREACHABLE: u32 = 4;
/// Retry-after of a blocked request and where no upstream accepts requests.
const NO_UPSTREAM_RETRY_MS: u64 = 400;
/// Retry-after where a part of the prompt is blocked; a part that is cleared is served again before.
const BLOCKED_PART_RETRY_MS: u64 = 10_000;
/// Retry-after where upstreams are busy, time ran out before a send, or the retry budget is exhausted.
pub(crate) const BUSY_RETRY_MS: u64 = 250;
/// Retry-after of a node whose configuration is too old to validate keys or to rule out a route.
pub(crate) const STALE_RETRY_MS: u64 = 600;
/// Retry-after of a node that stops. Short, since the caller's next connection leads to another node.
const STOP_RETRY_MS: u64 = 20;

impl Gateway {
    /// Returns the refusal that ends the request after this error; `None` if another attempt is allowed.
    pub(crate) fn final_refusal(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
        error: AttemptError,
    ) -> Option<Refusal> {
        if request.time_left() == Duration::ZERO {
            return Some(deadline_refusal(history));
        }
        if !error.has_not_run() {
            let exhausted = history.may_have_run >= request.route.max_attempts;
            if request.at_most_once() || exhausted {
                return Some(Refusal::new(ResultCode::UpstreamFailed, error.name()));
            }
        }
        let is_passed_on = error == AttemptError::NotSent && self.passes_on(request);
        let refused =
            is_passed_on || history.refusals > MAX_REFUSALS || history.unreachable > MAX_UNREACHABLE;
        refused.then(|| self.no_upstream_refusal(request, history, Some(error)))
    }

    /// Returns the refusal of a request that no further upstream takes.
    pub(crate) fn no_upstream_refusal(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
        last_error: Option<AttemptError>,
    ) -> Refusal {
        if history.may_have_run > 0 {
            return Refusal::new(ResultCode::UpstreamFailed, "no other upstream is left");
        }
        if let SoftwareRequirement::Same(software) = &history.software
            && history.refusals == 0
        {
            return version_gone(software.as_ref());
        }
        let age_ms = self.cluster.published_upstreams_age().map(|age| age.as_millis());
        let last = last_error.map_or("none", AttemptError::name);
        let evacuated = self.upstreams.evacuations().description();
        let regions = request.region_description();
        let reason = format!(
            "no upstream takes work; list of age {age_ms:?} ms; last error {last}{evacuated}{regions}"
        );
        if history.refusals > 0 {
            return Refusal::not_run(ResultCode::UpstreamRefused, reason, BUSY_RETRY_MS);
        }
        Refusal::not_run(ResultCode::NoUpstream, reason, NO_UPSTREAM_RETRY_MS)
    }

    /// Returns the refusal of a request that crashes upstreams, or that has a part in its prompt on which they crash.
    pub(crate) fn block_refusal(&self, request: &CallerRequest, history: &AttemptHistory) -> Option<Refusal> {
        let published = self.cluster.published_upstreams();
        let published = published.borrow();
        let crashes_of = |key: &u64| published.crash_counts.get(key).copied().unwrap_or(0);
        let crashes = crashes_of(&request.fingerprint);
        if crashes >= crashing_requests::CRASHES_TO_BLOCK {
            let reason = format!("crashed {crashes} upstreams");
            return Some(history.refusal(ResultCode::RequestBlocked, reason, NO_UPSTREAM_RETRY_MS));
        }
        let part =
            request.part_keys.iter().find(|part| crashes_of(part) >= crashing_parts::CRASHES_TO_BLOCK)?;
        let reason = format!("part {part} of the prompt crashed upstreams {} times", crashes_of(part));
        Some(history.refusal(ResultCode::RequestBlocked, reason, BLOCKED_PART_RETRY_MS))
    }
}

/// Returns the refusal of a request at a node that reaches no upstream, and knows no entry node that does.
pub(crate) fn cut_off_refusal(history: &AttemptHistory) -> Refusal {
    history.refusal(
        ResultCode::NoUpstream,
        "neither this node nor another one reaches an upstream",
        NO_UPSTREAM_RETRY_MS,
    )
}

/// Returns the refusal of a request whose deadline has passed.
pub(crate) fn deadline_refusal(history: &AttemptHistory) -> Refusal {
    if history.may_have_run > 0 {
        return Refusal::new(ResultCode::DeadlineExceeded, "the deadline has passed");
    }
    Refusal::not_run(ResultCode::DeadlineUnreachable, "the deadline passed before a send", BUSY_RETRY_MS)
}

/// Returns the refusal of a request that this node cannot finish before it exits.
pub(crate) fn shutdown_refusal(history: &AttemptHistory) -> Refusal {
    let may_have_run = history.may_have_run > 0 || history.is_attempt_open;
    let reason = "the node is shutting down";
    Refusal::after_attempts(may_have_run, ResultCode::ShuttingDown, reason, STOP_RETRY_MS)
}

/// Returns the answer in place of an upstream's own, whose status promises "not run" although nothing in it states that the upstream
/// did not execute the request. It has no proof of origin, which belongs to the upstream's status.
pub(crate) async fn unconfirmed_refusal(response: UpstreamResponse, history: &mut AttemptHistory) -> Refusal {
    *history = history.after_leaving(&response.in_flight.upstream.entry.id);
    let reason = format!("the upstream answered {} and may have run the request", response.head.status);
    response.discard().await;
    Refusal::new(ResultCode::UpstreamFailed, reason)
}
