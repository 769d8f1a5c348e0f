//! Non-idempotent requests: claim the idempotency key, send at most once, record the outcome.

use std::{sync::Arc, time::Duration};

use daisysill_cluster::ProposeError;
use daisysill_control::command::{
    Claim, ClaimKey, ClaimOutcome, ClaimState, Command, FinishClaim, Reply, StoredResponse,
};
use daisysill_core::{
    ids::AttemptId,
    result_code::{ResultCode, RunState},
};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    claimed_requests::{ExecutionGuard, JoinOutcome, PlainResult},
    dispatch::no_upstream,
    plain_dispatch::{PlainDispatch, attempt_refusal},
    refusal::Refusal,
    request::new_id,
    shared::Shared,
    upstream_api::{PlainRequest, PlainResponse},
};

/// Time from the proposal of a claim to the dispatch deadline of its request.
const DISPATCH_WINDOW: Duration = Duration::from_secs(2);
/// Limit on committing a claim. An election takes about 0.7 s; a partitioned leader does not respond, and a node
/// without a majority refuses within 1.5 s.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after a request's deadline to record its outcome, before retries by the caller are refused with an unknown
/// outcome. An outcome that is recorded later still counts.
const OUTCOME_MARGIN: Duration = Duration::from_secs(5);
/// Suggested retry delay while no majority is reachable, or the table of claims is full.
const NO_QUORUM_RETRY_MS: u64 = 2_000;
/// Suggested retry delay while the same request is in progress.
const IN_PROGRESS_RETRY_MS: u64 = 500;
/// Largest response body that is stored for retries by the caller; every voter holds a copy.
const MAX_STORED_RESPONSE_BYTES: usize = 65_536;
/// Maximum time that a response is held back until its outcome is committed.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the first retry to record an outcome; doubles up to [`MAX_RECORD_DELAY`].
const INITIAL_RECORD_DELAY: Duration = Duration::from_millis(200);
const MAX_RECORD_DELAY: Duration = Duration::from_secs(10);

/// Serves a non-idempotent request with the caller's idempotency key.
///
/// The request runs in a task of its own, so that a caller who disconnects leaves neither an interrupted request
/// nor a claim without an outcome. A request with the same key and digest on this node joins it.
pub(crate) async fn run(mut dispatch: PlainDispatch, key: Option<String>) -> PlainResult {
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        let header = &dispatch.rules.never_twice.key_header;
        let message = format!("this call runs at most once and needs the header {header}");
        return dispatch.finish(Err(Refusal::new(ResultCode::KeyMissing, message)));
    };
    dispatch.lifecycle.apply_event("claim_needed");
    let key = ClaimKey {
        customer: dispatch.lifecycle.customer.clone(),
        service: dispatch.lifecycle.service.clone(),
        key,
    };
    let digest = request_digest(&dispatch.request);
    let deadline = dispatch.deadline;
    match Arc::clone(&dispatch.shared).claimed_requests.join(&key, &digest) {
        JoinOutcome::KeyReused => dispatch.finish(Err(key_reused())),
        JoinOutcome::Running(result) => {
            dispatch.shared.metrics.joined_calls.inc();
            let result = wait_for_result(result, deadline).await;
            if result.is_ok() {
                dispatch.lifecycle.apply_event("stored_answer");
            }
            dispatch.finish(result)
        }
        JoinOutcome::New(guard, result) => {
            actix_rt::spawn(dispatch.run_claimed(digest, guard));
            wait_for_result(result, deadline).await
        }
    }
}

async fn wait_for_result(mut result: watch::Receiver<Option<PlainResult>>, deadline: Instant) -> PlainResult {
    match timeout_at(deadline, result.wait_for(Option::is_some)).await {
        Ok(Ok(published)) => published.clone().unwrap_or_else(|| Err(in_progress())),
        Ok(Err(_)) => Err(Refusal::new(ResultCode::Internal, "the call ended without a result")),
        Err(_) => Err(in_progress()),
    }
}

impl PlainDispatch {
    async fn run_claimed(mut self, digest: String, guard: ExecutionGuard) {
        let attempt = AttemptId::from(new_id("att"));
        // Measured from before the proposal, so that it ends before any other node considers the outcome overdue.
        let dispatch_deadline = Instant::now() + DISPATCH_WINDOW;
        let shared = Arc::clone(&self.shared);
        let claimed = tokio::select! {
            biased;
            claimed = self.claim(guard.key(), &digest, &attempt) => claimed,
            () = shared.planned_stop.near_end() => ClaimResult::Uncertain(Refusal::shutting_down()),
        };
        let (outcome, result) = match claimed {
            ClaimResult::Granted => {
                self.lifecycle.apply_event("claimed");
                let result = tokio::select! {
                    biased;
                    result = self.send_claimed(dispatch_deadline) => result,
                    () = shared.planned_stop.near_end() => Err(cut_short(self.may_have_run)),
                };
                (Some(self.outcome(&result)), result)
            }
            ClaimResult::Stored(response) => {
                self.lifecycle.apply_event("stored_answer");
                (None, Ok(response))
            }
            ClaimResult::Refused(refusal) => (None, Err(refusal)),
            ClaimResult::Uncertain(refusal) => {
                let finish = FinishClaim { key: guard.key().clone(), attempt, outcome: ClaimOutcome::NotRun };
                let retention = Duration::from_secs(self.rules.never_twice.keep_s);
                // Releases the key even if the claim commits later: the state refuses claims of ended attempts.
                actix_rt::spawn(async move { record_with_retries(&shared, &finish, retention).await });
                guard.publish(self.finish(Err(refusal)));
                return;
            }
        };
        let retention = Duration::from_secs(self.rules.never_twice.keep_s);
        let result = self.finish(result);
        let Some(outcome) = outcome else { return guard.publish(result) };
        let finish = FinishClaim { key: guard.key().clone(), attempt, outcome };
        let is_recorded = tokio::select! {
            biased;
            is_recorded = propose_outcome(&shared, &finish) => is_recorded,
            () = shared.planned_stop.near_end() => false,
        };
        if is_recorded {
            return guard.publish(result);
        }
        // The caller waits no longer. Until the outcome is committed, retries get this result here, and meet the
        // unfinished claim on other nodes.
        guard.publish(result);
        record_with_retries(&shared, &finish, retention).await;
    }

    /// Claims the key; only `Granted` permits sending the request.
    async fn claim(&mut self, key: &ClaimKey, digest: &str, attempt: &AttemptId) -> ClaimResult {
        let claim = Claim {
            key: key.clone(),
            body_digest: digest.to_owned(),
            attempt: attempt.clone(),
            holder: self.shared.config.node.name.clone(),
            outcome_timeout_ms: millis(self.outcome_timeout()),
            retention_ms: self.rules.never_twice.keep_s * 1_000,
        };
        let span = self.lifecycle.span.child("claim");
        let proposed = self.shared.proposer.propose(Command::Claim(claim));
        // A claim that is committed later is withdrawn by the caller of this function.
        let reply = timeout(CLAIM_TIMEOUT, proposed).await.unwrap_or(Err(ProposeError::Uncertain));
        drop(span);
        match reply {
            Ok(Reply::Claimed) => ClaimResult::Granted,
            Ok(Reply::ClaimExists(ClaimState::Answered(response))) => {
                ClaimResult::Stored(from_stored(response))
            }
            Ok(Reply::ClaimExists(ClaimState::InProgress)) => ClaimResult::Refused(in_progress()),
            Ok(Reply::ClaimExists(ClaimState::Unknown)) => ClaimResult::Refused(Refusal::new(
                ResultCode::OutcomeUnknown,
                "an earlier send of this call has no known answer; it is not sent again",
            )),
            Ok(Reply::KeyReused) => ClaimResult::Refused(key_reused()),
            Ok(Reply::ClaimsFull) => ClaimResult::Refused(
                Refusal::new(ResultCode::ClaimsFull, "the table of claims is full")
                    .retry_after_ms(NO_QUORUM_RETRY_MS),
            ),
            Ok(_) => ClaimResult::Refused(Refusal::new(ResultCode::Internal, "unexpected reply to a claim")),
            Err(ProposeError::NotCommitted) => ClaimResult::Refused(no_quorum()),
            Err(ProposeError::Uncertain) => ClaimResult::Uncertain(no_quorum()),
        }
    }

    /// Sends a claimed request. Tries another upstream only before the dispatch deadline, and if the last one
    /// certainly did not execute it.
    async fn send_claimed(&mut self, dispatch_deadline: Instant) -> PlainResult {
        let mut excluded = Vec::new();
        let mut last_error = None;
        loop {
            let Some(upstream) = self.choose(&excluded) else {
                return Err(last_error.map_or_else(no_upstream, |error| attempt_refusal(&error)));
            };
            match self.send(&upstream, Some(dispatch_deadline)).await {
                Ok(response) => return Ok(response),
                Err(error) if error.is_not_run() && Instant::now() < dispatch_deadline => {
                    self.lifecycle.record_decision(&format!("{upstream}: {error}"));
                    self.lifecycle.apply_event("failed");
                    excluded.push(upstream);
                    last_error = Some(error);
                }
                Err(error) => return Err(attempt_refusal(&error)),
            }
        }
    }

    /// Returns the time from now within which the outcome is recorded, unless this process dies.
    fn outcome_timeout(&self) -> Duration {
        DISPATCH_WINDOW + self.deadline.saturating_duration_since(Instant::now()) + OUTCOME_MARGIN
    }

    fn outcome(&self, result: &PlainResult) -> ClaimOutcome {
        match result {
            Ok(response) if response.body.len() > MAX_STORED_RESPONSE_BYTES => {
                self.shared.metrics.answers_not_kept.inc();
                ClaimOutcome::Unknown
            }
            Ok(response) => ClaimOutcome::Answered(to_stored(response)),
            Err(refusal) if refusal.run_state == RunState::NotRun => ClaimOutcome::NotRun,
            Err(_) => ClaimOutcome::Unknown,
        }
    }
}

/// The result of proposing a claim.
enum ClaimResult {
    Granted,
    Stored(PlainResponse),
    Refused(Refusal),
    /// The claim may have been committed; the request is not sent, but refused.
    Uncertain(Refusal),
}

/// Proposes an outcome; returns whether it was committed in time.
async fn propose_outcome(shared: &Shared, finish: &FinishClaim) -> bool {
    let proposed = shared.proposer.propose(Command::FinishClaim(finish.clone()));
    matches!(timeout(RECORD_TIMEOUT, proposed).await, Ok(Ok(_)))
}

/// Retries with exponential backoff until the outcome is committed or the retention of the claim has passed.
async fn record_with_retries(shared: &Shared, finish: &FinishClaim, retention: Duration) {
    let end = Instant::now() + retention;
    let mut delay = INITIAL_RECORD_DELAY;
    while Instant::now() < end {
        sleep(delay).await;
        shared.metrics.outcome_retries.inc();
        if propose_outcome(shared, finish).await {
            return;
        }
        delay = (delay * 2).min(MAX_RECORD_DELAY);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn in_progress() -> Refusal {
    Refusal::new(ResultCode::InProgress, "the same call is in progress").retry_after_ms(IN_PROGRESS_RETRY_MS)
}

/// Returns the refusal of a claimed request that the node cannot finish before it exits.
fn cut_short(may_have_run: bool) -> Refusal {
    if !may_have_run {
        return Refusal::shutting_down();
    }
    let message = "the node stopped before the upstream had answered; the call is not sent again";
    Refusal::new(ResultCode::OutcomeUnknown, message)
}

fn key_reused() -> Refusal {
    Refusal::new(ResultCode::KeyReused, "the idempotency key was used with another call")
}

fn no_quorum() -> Refusal {
    Refusal::new(ResultCode::NoQuorum, "no majority of voters is in reach").retry_after_ms(NO_QUORUM_RETRY_MS)
}

fn request_digest(request: &PlainRequest) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [request.method.as_bytes(), request.path.as_bytes(), &request.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

fn to_stored(response: &PlainResponse) -> StoredResponse {
    let content_type = response.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-type"));
    StoredResponse {
        status: response.status,
        content_type: content_type.map(|(_, value)| value.clone()).unwrap_or_default(),
        body: response.body.to_vec(),
    }
}

fn from_stored(response: StoredResponse) -> PlainResponse {
    let headers = vec![("content-type".to_owned(), response.content_type)];
    let headers = headers.into_iter().filter(|(_, value)| !value.is_empty()).collect();
    PlainResponse { status: response.status, headers, body: response.body.into() }
}
