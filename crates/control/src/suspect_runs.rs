//! Runs of suspect requests in progress, at most one per request. A request that was part of two crashes runs at an
//! upstream without other suspect requests, so that a third crash shows which one caused it. Requests of a single crash
//! may run side by side: most crashes have a cause outside the requests, and all of them must be able to continue.

use std::collections::BTreeMap;

use daisysill_core::{
    ids::{AttemptId, InstanceId},
    value_types,
};

use crate::command::{RunRefusal, StartSuspectRun};

/// Maximum runs in progress; further ones have to wait.
const MAX_RUNS: usize = 1_024;
/// Upper limit on the time limit of a run.
const MAX_RUN_MS: u64 = 600_000;

value_types! {
    /// A run of a suspect request.
    pub struct SuspectRun {
        /// Fingerprint of the request.
        pub fingerprint: String,
        /// The upstream that it was permitted for.
        pub upstream: InstanceId,
        /// Whether no other suspect request may run at the upstream.
        pub alone: bool,
        /// Log time of the permission.
        pub started_ms: u64,
        /// Log time at which it counts as ended without a report.
        pub expires_ms: u64,
    }

    /// Runs in progress, by attempt.
    #[derive(Default)]
    pub struct SuspectRuns {
        runs: BTreeMap<AttemptId, SuspectRun>,
    }
}

impl SuspectRuns {
    /// Drops the runs whose time limit has passed.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.runs.retain(|_, run| run.expires_ms > now_ms);
    }

    /// Returns whether the run of an attempt is in progress.
    pub(crate) fn contains(&self, attempt: &AttemptId) -> bool {
        self.runs.contains_key(attempt)
    }

    /// Returns the number of runs of a request in progress.
    pub(crate) fn count(&self, fingerprint: &str) -> usize {
        self.runs.values().filter(|run| run.fingerprint == fingerprint).count()
    }

    /// Adds a run, unless it or another run at its upstream has to be alone.
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

    /// Removes a run; returns `None` if it is not in progress.
    pub(crate) fn end(&mut self, attempt: &AttemptId) -> Option<SuspectRun> {
        self.runs.remove(attempt)
    }
}
