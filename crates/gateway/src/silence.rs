//! What happens while an upstream is silent: a request leaves it only once a place at another one was taken. A sound upstream
//! may be silent for a second or so and go on, so that silence alone is no reason to end an answer.

use std::{future::Future, pin::Pin, rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    attempt::{Attempt, AttemptResult},
    caller_request::{AttemptHistory, CallerRequest},
    exchange::UpstreamResponse,
    forward::Gateway,
    placement::{ChosenUpstream, Placement},
    upstreams::Upstream,
};

/// Silence limit of a retryable request without a prompt: the longer of this share of its goal and this multiple of the
/// service's mean request time.
const SILENCE_GOAL_SHARE: f64 = 0.6;
const SILENCE_MEAN_FACTOR: f64 = 5.0;
/// Silence limit of prompts, in goals. Longer, since another engine would repeat the prefill from the start.
const PROMPT_SILENCE_GOALS: f64 = 3.0;
/// Interval at which a place at another upstream is looked for while one is silent for too long.
pub(crate) const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time in which an upstream that does not take a request refuses it. Until then the silent one is not left.
pub(crate) const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Where a request continues once it has left an upstream.
pub(crate) enum NextPlace {
    /// At another upstream, whose place and retry were taken for it.
    Upstream(Box<ChosenUpstream>),
    /// At another entry node, since this one does not reach the upstreams.
    EntryNode,
}

/// What became of a request whose upstream is silent when another one was asked to take it. `T` is what the silent one was to
/// send.
pub(crate) enum Asked<'a, T> {
    /// No other upstream takes the request.
    Stays,
    /// The silent upstream has sent its part meanwhile, and the other one was left.
    WentOn(T),
    /// The other upstream takes the request; with what the silent one sent, if it failed meanwhile.
    Moves(Attempt<'a>, Option<T>),
    /// The request leaves for another entry node, since this one does not reach the upstreams.
    PassesOn,
}

/// What happened first once another upstream was asked.
enum First<T> {
    Silent(T),
    Other(Box<AttemptResult>),
    /// Neither has answered in the time in which an upstream refuses.
    Neither,
}

impl Gateway {
    /// Returns the time after which a request looks for another upstream while one sends nothing; `None` if it may not leave that
    /// one.
    pub(crate) fn silence_limit(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
    ) -> Option<Duration> {
        if request.at_most_once() || history.may_have_run + 1 >= request.route.max_attempts {
            return None;
        }
        let goal_ms = request.route.goal_ms as f64;
        let limit_ms = if request.headers.prompt.is_some() {
            goal_ms * PROMPT_SILENCE_GOALS
        } else {
            let mean_ms = self.upstreams.speeds(&request.service).request_ms.get();
            (goal_ms * SILENCE_GOAL_SHARE).max(mean_ms * SILENCE_MEAN_FACTOR)
        };
        Some(Duration::from_secs_f64(limit_ms / 1_000.0))
    }

    /// Waits for the result of an attempt and records a failure. While its upstream is silent, others are asked to take the
    /// request; the result is then that of the upstream which does.
    pub(crate) async fn finish_attempt<'a>(
        self: &'a Rc<Self>,
        request: &'a Rc<CallerRequest>,
        history: &mut AttemptHistory,
        attempt: Attempt<'a>,
        resume_after: Option<&'a str>,
    ) -> AttemptResult {
        let mut attempt = attempt;
        loop {
            if let Some(result) = attempt.until_silent().await {
                return self.record_end(request, history, &attempt.place, result);
            }
            let upstream = Rc::clone(&attempt.place.upstream);
            let silent = attempt.result.as_mut();
            match self.ask_another(request, history, &upstream, silent, takes_request, resume_after).await {
                Asked::Stays => attempt.stay(),
                Asked::WentOn(result) => return result,
                Asked::Moves(other, None) => {
                    let _ = std::mem::replace(&mut attempt, other).leave().await;
                    upstream.record_failure();
                }
                Asked::Moves(other, Some(result)) => {
                    match result {
                        Ok(response) => log_failed_answer(request, &response),
                        Err(error) => {
                            history.return_to(&upstream.entry.id);
                            self.record_failure(request, history, &attempt.place, error);
                            history.is_attempt_open = true;
                        }
                    }
                    attempt = other;
                }
                Asked::PassesOn => {
                    let place = Rc::clone(&attempt.place);
                    let result = attempt.leave().await;
                    return self.record_end(request, history, &place, result);
                }
            }
        }
    }

    fn record_end(
        &self,
        request: &Rc<CallerRequest>,
        history: &mut AttemptHistory,
        place: &ChosenUpstream,
        result: AttemptResult,
    ) -> AttemptResult {
        if let Err(error) = &result {
            self.record_failure(request, history, place, *error);
        }
        result
    }

    /// Asks another upstream to take a request that still runs at one which is silent, and waits until the other one answers, has not
    /// refused for a while, or the silent one resumes. `silent` is what that one is to send, and `is_answer` returns whether it is an answer.
    pub(crate) async fn ask_another<'a, T>(
        self: &'a Rc<Self>,
        request: &'a Rc<CallerRequest>,
        history: &mut AttemptHistory,
        upstream: &Upstream,
        silent: Pin<&mut (impl Future<Output = T> + ?Sized)>,
        is_answer: impl FnOnce(&T) -> bool,
        resume_after: Option<&'a str>,
    ) -> Asked<'a, T> {
        let mut elsewhere = history.after_leaving(&upstream.entry.id);
        let place = match self.next_place(request, &elsewhere) {
            None => return Asked::Stays,
            Some(NextPlace::EntryNode) => return Asked::PassesOn,
            Some(NextPlace::Upstream(place)) => place,
        };
        let mut other = self.begin_attempt(request, &mut elsewhere, place, resume_after);
        let first = tokio::select! {
            biased;
            sent = silent => First::Silent(sent),
            result = &mut other.result => First::Other(Box::new(result)),
            () = sleep(REFUSAL_TIME) => First::Neither,
        };
        let asked = self.settle(request, &mut elsewhere, first, is_answer, other).await;
        if matches!(asked, Asked::Stays | Asked::WentOn(_)) {
            elsewhere.return_to(&upstream.entry.id);
        }
        elsewhere.is_attempt_open = true;
        *history = elsewhere;
        asked
    }

    /// Decides at which of the two upstreams a request continues, and leaves the other one.
    async fn settle<'a, T>(
        &self,
        request: &Rc<CallerRequest>,
        elsewhere: &mut AttemptHistory,
        first: First<T>,
        is_answer: impl FnOnce(&T) -> bool,
        other: Attempt<'a>,
    ) -> Asked<'a, T> {
        let place = Rc::clone(&other.place);
        match first {
            First::Silent(sent) if is_answer(&sent) => {
                *elsewhere = elsewhere.after_leaving(&place.upstream.entry.id);
                let _ = other.leave().await;
                Asked::WentOn(sent)
            }
            First::Silent(sent) => Asked::Moves(other, Some(sent)),
            First::Other(result) => match *result {
                Ok(response) if !response.head.status.is_server_error() => {
                    Asked::Moves(other.with_response(response), None)
                }
                Ok(response) => {
                    log_failed_answer(request, &response);
                    *elsewhere = elsewhere.after_leaving(&place.upstream.entry.id);
                    Asked::Stays
                }
                Err(error) => {
                    self.record_failure(request, elsewhere, &place, error);
                    Asked::Stays
                }
            },
            First::Neither => Asked::Moves(other, None),
        }
    }

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
            && self.may_send(request)
            && self.is_retry_left(&request.service);
        if !may_go_on {
            return None;
        }
        match self.place(request, history) {
            Placement::At(mut chosen) => {
                chosen.retry_permit = self.try_take_retry(request)?;
                Some(chosen)
            }
            Placement::NoCapacity | Placement::RateLimited(_) | Placement::NoneAccepting => None,
        }
    }
}

/// Returns whether an upstream that has answered like this serves the request.
fn takes_request(result: &AttemptResult) -> bool {
    result.as_ref().is_ok_and(|response| !response.head.status.is_server_error())
}

/// Logs an answer that is dropped for that of another upstream.
pub(crate) fn log_failed_answer(request: &CallerRequest, response: &UpstreamResponse) {
    tracing::info!(
        event = "failed_answer",
        request_id = request.headers.request_id.as_deref(),
        upstream = response.in_flight.upstream.entry.id.as_str(),
        status = response.head.status.as_u16(),
    );
}
