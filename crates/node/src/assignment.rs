//! The next step for a prompt: an attempt at an upstream that may run it, or waiting for one that is silent.

use std::sync::Arc;

use daisysill_control::{command::RunRefusal, crashes::REPORT_WINDOW_MS};
use daisysill_core::{ids::InstanceId, result_code::ResultCode, route::Decision};
use futures::FutureExt;
use tokio::time::Instant;

use crate::{
    crash::{GrantedRun, PlannedRun, RunPermission},
    dispatch::{Dispatch, NO_UPSTREAM_RETRY_MS},
    exchange::Exchange,
    prompt_runs::{Block, find_block},
    refusal::Refusal,
    upstreams::DispatchGuard,
};

/// What to do next about a prompt.
pub(crate) enum NextStep {
    /// Makes an attempt at another upstream, or over a new connection.
    Attempt(Box<Assignment>),
    /// Waits for the silent upstream, since no other one can take over.
    AwaitSilent(Box<Exchange>),
    Refuse(Refusal),
}

/// Who serves the prompt, and what is known about the upstream when the attempt begins.
pub(crate) struct Assignment {
    pub(crate) decision: Decision,
    /// Base URL of the chosen upstream.
    pub(crate) url: String,
    /// Incarnation of the upstream; a changed one shows that it crashed.
    pub(crate) incarnation: u64,
    /// When the attempt began, for the evidence of a crash under it.
    pub(crate) began: Instant,
    /// The permission to run, if one was needed.
    pub(crate) run: Option<GrantedRun>,
    /// Counts the request as in flight at the upstream.
    pub(crate) guard: Option<DispatchGuard>,
}

/// Why a request that was part of a crash must not run at the chosen upstream.
enum RunDenial {
    /// It may run at another upstream.
    TryElsewhere,
    /// It must not run anywhere now.
    Refused(Refusal),
}

impl Dispatch {
    /// Chooses the next attempt within the limits of the service's rules. Without one, waits for the silent upstream
    /// if there is one.
    pub(crate) async fn next_step(&mut self) -> NextStep {
        if self.silent_has_progressed()
            && let Some(exchange) = self.silent.take()
        {
            return NextStep::AwaitSilent(exchange);
        }
        let refusal = loop {
            // Checked before each attempt: the request may have crashed the upstream of the last one.
            if let Some(refusal) = self.block() {
                return NextStep::Refuse(refusal);
            }
            // A refusal before execution does not count as an attempt, since all engines that load new weights may
            // refuse in turn. The loop still ends, as that upstream is excluded.
            let may_attempt =
                self.attempts < self.rules.retries.max_attempts && !self.awaits_only_run().await;
            let decision = if may_attempt { self.choose() } else { None };
            let Some(decision) = decision else { break self.refusal() };
            match self.assign(decision).await {
                Ok(assignment) => {
                    if self.silent.is_some() {
                        self.end_attempt();
                    }
                    self.lifecycle.apply_event("chosen");
                    return NextStep::Attempt(Box::new(assignment));
                }
                Err(RunDenial::TryElsewhere) => {}
                Err(RunDenial::Refused(refusal)) => break refusal,
            }
        };
        self.silent.take().map_or(NextStep::Refuse(refusal), NextStep::AwaitSilent)
    }

    /// Returns whether the silent attempt went on or failed meanwhile.
    fn silent_has_progressed(&mut self) -> bool {
        let index = self.delivered_tokens;
        self.silent.as_mut().is_some_and(|exchange| exchange.arrival(index).now_or_never().is_some())
    }

    /// Returns whether the request was part of a crash, so that it may run at its silent upstream only.
    ///
    /// If that became known after the attempt began, its run is reported, so that no other node permits one meanwhile.
    async fn awaits_only_run(&mut self) -> bool {
        let Some(silent) = &self.silent else { return false };
        if silent.assignment.run.is_some() {
            return true;
        }
        let run = match self.planned_run(silent.upstream()).request_permission(&self.shared).await {
            RunPermission::NotNeeded => return false,
            RunPermission::Granted(run) => Some(run.began_before()),
            // Requested again at the next check.
            RunPermission::Refused(_) | RunPermission::NoQuorum => None,
        };
        if let Some(silent) = &mut self.silent {
            silent.assignment.run = run;
        }
        true
    }

    fn planned_run<'a>(&'a self, upstream: &'a InstanceId) -> PlannedRun<'a> {
        PlannedRun {
            upstream,
            fingerprint: &self.fingerprint,
            rules: &self.rules,
            deadline: self.request.deadline,
        }
    }

    /// Prepares an attempt; an upstream that may not run the request is excluded.
    async fn assign(&mut self, decision: Decision) -> Result<Assignment, RunDenial> {
        let upstreams = Arc::clone(&self.shared.upstreams);
        let run = match self.request_permission(&decision).await {
            Err(RunDenial::TryElsewhere) => None,
            permission => Some(permission?),
        };
        let (Some(run), Some(url)) = (run, upstreams.url(&decision.upstream)) else {
            self.excluded.push(decision.upstream);
            return Err(RunDenial::TryElsewhere);
        };
        Ok(Assignment {
            url,
            // Read before the attempt: after a crash, the load report may already be that of the new process.
            incarnation: upstreams.incarnation(&decision.upstream),
            began: Instant::now(),
            run,
            guard: Some(upstreams.dispatch(&decision.upstream, decision.recomputed_tokens)),
            decision,
        })
    }

    /// Returns the refusal of a request that is blocked, or whose prompt has a blocked prefix.
    pub(crate) fn block(&mut self) -> Option<Refusal> {
        let view = Arc::clone(&self.shared.cluster.view().borrow());
        let is_blocked = |name: &str| self.shared.blocked_requests.contains(&view.blocked, name, &self.rules);
        let block = find_block(&view.blocked, &self.fingerprint, || self.parts(), is_blocked)?;
        if let Block::Prefix(part) = block {
            self.lifecycle.record_decision(&format!("the prefix {part:x} of the prompt is blocked"));
        }
        Some(block.refusal())
    }

    /// Requests permission to run at the chosen upstream, which a request that was part of a crash needs.
    async fn request_permission(&mut self, decision: &Decision) -> Result<Option<GrantedRun>, RunDenial> {
        match self.planned_run(&decision.upstream).request_permission(&self.shared).await {
            RunPermission::NotNeeded => Ok(None),
            RunPermission::Granted(run) => Ok(Some(run)),
            RunPermission::Refused(RunRefusal::UpstreamTaken) => {
                self.lifecycle
                    .record_decision(&format!("{}: runs another request of a crash", decision.upstream));
                Err(RunDenial::TryElsewhere)
            }
            RunPermission::Refused(RunRefusal::Wait) => Err(RunDenial::Refused(waits_for_crash())),
            RunPermission::Refused(RunRefusal::Blocked) => Err(RunDenial::Refused(Block::Request.refusal())),
            RunPermission::NoQuorum => Err(RunDenial::Refused(no_quorum())),
        }
    }
}

fn waits_for_crash() -> Refusal {
    let message = "the request was part of a crash whose reports are arriving, or is running elsewhere";
    Refusal::new(ResultCode::RequestBlocked, message).retry_after_ms(REPORT_WINDOW_MS)
}

fn no_quorum() -> Refusal {
    let message = "the request was part of a crash, and no majority is in reach to permit another run";
    Refusal::new(ResultCode::NoQuorum, message).retry_after_ms(NO_UPSTREAM_RETRY_MS)
}
