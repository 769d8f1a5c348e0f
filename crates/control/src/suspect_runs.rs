//! Runs in progress of requests that were part of a crash: at most one a request. A request that was part of two crashes
//! runs at an upstream without other such requests, so that a third crash tells which request caused it. After one
//! crash, requests may run side by side: most crashes have a cause outside them, and all of them must go on.

use std::collections::BTreeMap;

use daisysill_core::{
    ids::{AttemptId, InstanceId},
    value_types,
};

use crate::command::{RunRefusal, StartSuspectRun};

/// Runs remembered at most; further ones wait.
const MAX_RUNS: usize = 1_024;
/// Time after which a run counts as ended, whatever the asking node allows for it.
const MAX_RUN_MS: u64 = 600_000;

value_types! {
    /// A run in progress.
    pub struct SuspectRun {
        /// The request.
        pub fingerprint: String,
        /// Where it runs.
        pub upstream: InstanceId,
        /// Whether no other such request may run beside it.
        pub alone: bool,
        /// When it was permitted, in log time.
        pub started_ms: u64,
        /// When it counts as ended if nobody reports its end, in log time.
        pub expires_ms: u64,
    }

    /// The runs in progress by the attempt that makes them.
    #[derive(Default)]
    pub struct SuspectRuns {
        runs: BTreeMap<AttemptId, SuspectRun>,
    }
}

impl SuspectRuns {
    /// Drops the runs whose end nobody reported in time.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.runs.retain(|_, run| run.expires_ms > now_ms);
    }

    /// Returns whether an attempt is running.
    pub(crate) fn contains(&self, attempt: &AttemptId) -> bool {
        self.runs.contains_key(attempt)
    }

    /// Returns how many runs of a request are in progress.
    pub(crate) fn count(&self, fingerprint: &str) -> usize {
        self.runs.values().filter(|run| run.fingerprint == fingerprint).count()
    }

    /// Notes a run, unless one of it and another in progress at its upstream has to be alone.
    pub(crate) fn start(
        &mut self,
        start: &StartSuspectRun,
        alone: bool,
        now_ms: u64,
    ) -> Result<(), RunRefusal> {
        if self.runs.values().any(|run| run.upstream == start.upstream && (alone || run.alone)) {
            return Err(RunRefusal::UpstreamTaken);
        }
        if self.runs.len() >= MAX_RUNS {
            return Err(RunRefusal::Wait);
        }
        let run = SuspectRun {
            fingerprint: start.fingerprint.clone(),
            upstream: start.upstream.clone(),
            alone,
            started_ms: now_ms,
            expires_ms: now_ms.saturating_add(start.limit_ms.min(MAX_RUN_MS)),
        };
        self.runs.insert(start.attempt.clone(), run);
        Ok(())
    }

    /// Forgets a run; returns it if it was known.
    pub(crate) fn end(&mut self, attempt: &AttemptId) -> Option<SuspectRun> {
        self.runs.remove(attempt)
    }
}
