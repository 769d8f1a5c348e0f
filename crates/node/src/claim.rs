//! Calls that run at most once: claim, send, record the outcome.

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
    claimed_requests::{CallResult, Joined, Ticket},
    plain_dispatch::{PlainDispatch, failure, no_upstream},
    refusal::Refusal,
    request::new_id,
    shared::Shared,
    upstream_api::{PlainRequest, PlainResponse},
};

/// Time between asking for a claim and the last moment at which its call may be sent.
const DISPATCH_WINDOW: Duration = Duration::from_secs(2);
/// Time that a caller waits for its claim. A leader that was cut off answers nobody, and a node without a majority
/// refuses within 1.5 s; an election takes about 0.7 s.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after the deadline of a call in which its outcome is recorded, before resends are told that it is
/// unknown. An outcome that is recorded later still counts.
const OUTCOME_MARGIN: Duration = Duration::from_secs(5);
/// When to come back while no majority is in reach.
const NO_QUORUM_RETRY_MS: u64 = 2_000;
/// When to ask again for a call that is in progress.
const IN_PROGRESS_RETRY_MS: u64 = 500;
/// Bytes of an answer that is kept for resends; it is held by every voter.
const MAX_KEPT_ANSWER_BYTES: usize = 65_536;
/// Time that an answer waits for its outcome to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// Pauses between two tries to record an outcome.
const RECORD_PAUSE: Duration = Duration::from_millis(200);
const MAX_RECORD_PAUSE: Duration = Duration::from_secs(10);

/// Serves a call that may not be repeated.
///
/// The call runs in a task of its own, so that a caller who disconnects leaves neither a call cut in its
/// middle nor a claim without an outcome.
pub(crate) async fn run(mut call: PlainDispatch, key: Option<String>) -> CallResult {
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        let header = &call.rules.never_twice.key_header;
        let message = format!("this call runs at most once and needs the header {header}");
        return call.finish(Err(Refusal::new(ResultCode::KeyMissing, message)));
    };
    call.life.event("claim_needed");
    let key = ClaimKey { customer: call.life.customer.clone(), service: call.life.service.clone(), key };
    let digest = call_digest(&call.request);
    let deadline = call.deadline;
    match Arc::clone(&call.shared).claimed_requests.join(&key, &digest) {
        Joined::KeyReused => call.finish(Err(key_reused())),
        Joined::Running(result) => {
            call.shared.metrics.joined_calls.inc();
            let result = wait(result, deadline).await;
            if result.is_ok() {
                call.life.event("stored_answer");
            }
            call.finish(result)
        }
        Joined::New(ticket, result) => {
            actix_rt::spawn(call.run_claimed(digest, ticket));
            wait(result, deadline).await
        }
    }
}

async fn wait(mut result: watch::Receiver<Option<CallResult>>, deadline: Instant) -> CallResult {
    match timeout_at(deadline, result.wait_for(Option::is_some)).await {
        Ok(Ok(published)) => published.clone().unwrap_or_else(|| Err(in_progress())),
        Ok(Err(_)) => Err(Refusal::new(ResultCode::Internal, "the call ended without a result")),
        Err(_) => Err(in_progress()),
    }
}

impl PlainDispatch {
    async fn run_claimed(mut self, digest: String, ticket: Ticket) {
        let attempt = AttemptId::from(new_id("att"));
        // Counted from before the claim is asked for, so that it ends before any other node's view of it.
        let dispatch_deadline = Instant::now() + DISPATCH_WINDOW;
        let (outcome, result) = match self.claim(ticket.key(), &digest, &attempt).await {
            Claimed::Granted => {
                self.life.event("claimed");
                let result = self.send_claimed(dispatch_deadline).await;
                (Some(self.outcome(&result)), result)
            }
            Claimed::Stored(answer) => {
                self.life.event("stored_answer");
                (None, Ok(answer))
            }
            Claimed::Refused(refusal) => (None, Err(refusal)),
            Claimed::Uncertain => {
                let finish =
                    FinishClaim { key: ticket.key().clone(), attempt, outcome: ClaimOutcome::NotRun };
                let shared = Arc::clone(&self.shared);
                let keep = Duration::from_secs(self.rules.never_twice.keep_s);
                // Gives the key back. Also before the claim: the state refuses the claim of an ended attempt.
                actix_rt::spawn(async move { record_later(&shared, &finish, keep).await });
                ticket.publish(self.finish(Err(no_quorum())));
                return;
            }
        };
        let shared = Arc::clone(&self.shared);
        let keep = Duration::from_secs(self.rules.never_twice.keep_s);
        let result = self.finish(result);
        let Some(outcome) = outcome else { return ticket.publish(result) };
        let finish = FinishClaim { key: ticket.key().clone(), attempt, outcome };
        if propose_outcome(&shared, &finish).await {
            return ticket.publish(result);
        }
        // The caller has waited long enough; resends meet the ticket here, and the claim elsewhere.
        ticket.publish(result);
        record_later(&shared, &finish, keep).await;
    }

    /// Claims the call; only `Granted` gives the right to send it.
    async fn claim(&mut self, key: &ClaimKey, digest: &str, attempt: &AttemptId) -> Claimed {
        let claim = Claim {
            key: key.clone(),
            body_digest: digest.to_owned(),
            attempt: attempt.clone(),
            holder: self.shared.config.node.name.clone(),
            outcome_timeout_ms: millis(self.outcome_due()),
            retention_ms: self.rules.never_twice.keep_s * 1_000,
        };
        let span = self.life.span.child("claim");
        let proposed = self.shared.proposer.propose(Command::Claim(claim));
        // A claim that is granted later is withdrawn.
        let reply = timeout(CLAIM_TIMEOUT, proposed).await.unwrap_or(Err(ProposeError::Uncertain));
        drop(span);
        match reply {
            Ok(Reply::Claimed) => Claimed::Granted,
            Ok(Reply::ClaimExists(ClaimState::Answered(answer))) => Claimed::Stored(restored(answer)),
            Ok(Reply::ClaimExists(ClaimState::InProgress)) => Claimed::Refused(in_progress()),
            Ok(Reply::ClaimExists(ClaimState::Unknown)) => Claimed::Refused(Refusal::new(
                ResultCode::OutcomeUnknown,
                "an earlier send of this call has no known answer; it is not sent again",
            )),
            Ok(Reply::KeyReused) => Claimed::Refused(key_reused()),
            Ok(Reply::ClaimsFull) => Claimed::Refused(
                Refusal::new(ResultCode::ClaimsFull, "the table of claims is full")
                    .retry_after_ms(NO_QUORUM_RETRY_MS),
            ),
            Ok(_) => Claimed::Refused(Refusal::new(ResultCode::Internal, "unexpected reply to a claim")),
            Err(ProposeError::NotCommitted) => Claimed::Refused(no_quorum()),
            Err(ProposeError::Uncertain) => Claimed::Uncertain,
        }
    }

    /// Sends a claimed call at most once; tries another upstream only while no byte was sent.
    async fn send_claimed(&mut self, dispatch_deadline: Instant) -> CallResult {
        let mut excluded = Vec::new();
        let mut last_error = None;
        loop {
            let Some(upstream) = self.choose(&excluded) else {
                return Err(last_error.map_or_else(no_upstream, |error| failure(&error)));
            };
            match self.send(&upstream, Some(dispatch_deadline)).await {
                Ok(answer) => return Ok(answer),
                Err(error) if error.is_not_run() && Instant::now() < dispatch_deadline => {
                    self.life.decision(&format!("{upstream}: {error}"));
                    self.life.event("failed");
                    excluded.push(upstream);
                    last_error = Some(error);
                }
                Err(error) => return Err(failure(&error)),
            }
        }
    }

    /// Returns the time from now in which the outcome is known, unless this process dies.
    fn outcome_due(&self) -> Duration {
        DISPATCH_WINDOW + self.deadline.saturating_duration_since(Instant::now()) + OUTCOME_MARGIN
    }

    fn outcome(&self, result: &CallResult) -> ClaimOutcome {
        match result {
            Ok(answer) if answer.body.len() > MAX_KEPT_ANSWER_BYTES => {
                self.shared.metrics.answers_not_kept.inc();
                ClaimOutcome::Unknown
            }
            Ok(answer) => ClaimOutcome::Answered(stored(answer)),
            Err(refusal) if refusal.run_state == RunState::NotRun => ClaimOutcome::NotRun,
            Err(_) => ClaimOutcome::Unknown,
        }
    }
}

/// What became of asking for a claim.
enum Claimed {
    Granted,
    Stored(PlainResponse),
    Refused(Refusal),
    /// The claim may be committed; the call is not sent.
    Uncertain,
}

/// Records an outcome; returns whether it is committed.
async fn propose_outcome(shared: &Shared, finish: &FinishClaim) -> bool {
    let proposed = shared.proposer.propose(Command::FinishClaim(finish.clone()));
    matches!(timeout(RECORD_TIMEOUT, proposed).await, Ok(Ok(_)))
}

/// Tries to record an outcome until it is committed or the claim has expired.
async fn record_later(shared: &Shared, finish: &FinishClaim, keep: Duration) {
    let end = Instant::now() + keep;
    let mut pause = RECORD_PAUSE;
    while Instant::now() < end {
        sleep(pause).await;
        shared.metrics.outcome_retries.inc();
        if propose_outcome(shared, finish).await {
            return;
        }
        pause = (pause * 2).min(MAX_RECORD_PAUSE);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn in_progress() -> Refusal {
    Refusal::new(ResultCode::InProgress, "the same call is in progress").retry_after_ms(IN_PROGRESS_RETRY_MS)
}

fn key_reused() -> Refusal {
    Refusal::new(ResultCode::KeyReused, "the idempotency key was used with another call")
}

fn no_quorum() -> Refusal {
    Refusal::new(ResultCode::NoQuorum, "no majority of voters is in reach").retry_after_ms(NO_QUORUM_RETRY_MS)
}

fn call_digest(request: &PlainRequest) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [request.method.as_bytes(), request.path.as_bytes(), &request.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

fn stored(answer: &PlainResponse) -> StoredResponse {
    let content_type = answer.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-type"));
    StoredResponse {
        status: answer.status,
        content_type: content_type.map(|(_, value)| value.clone()).unwrap_or_default(),
        body: answer.body.to_vec(),
    }
}

fn restored(answer: StoredResponse) -> PlainResponse {
    let headers = vec![("content-type".to_owned(), answer.content_type)];
    let headers = headers.into_iter().filter(|(_, value)| !value.is_empty()).collect();
    PlainResponse { status: answer.status, headers, body: answer.body.into() }
}
