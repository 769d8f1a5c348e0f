//! Crashes of upstreams, and the suspect and blocked requests that follow from them, as part of the agreed state.
//!
//! Each node reports the requests that it had running, so the reports of one crash arrive one by one. A crash is
//! pending until all had time to arrive, then it is evaluated: the first report alone could block a request that did
//! not cause the crash.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use daisysill_core::{
    ids::{ConfigVersion, InstanceId},
    suspect::{CrashReport, Fingerprint, Permission, SuspectTable},
    value_types,
};

use crate::{
    command::{EndSuspectRun, Reply, ReportCrash, RunRefusal, StartSuspectRun},
    state::AgreedState,
    suspect_runs::SuspectRuns,
};

/// Time from the first report of a crash to its evaluation. A node takes up to 500 ms to check whether an upstream
/// still runs, and up to 500 ms for each attempt to propose its report.
pub const REPORT_WINDOW_MS: u64 = 1_500;
/// Maximum pending crashes; beyond it, the oldest is evaluated early.
const MAX_PENDING: usize = 64;
/// Maximum fingerprints of a crash and bytes of a fingerprint; further or longer ones are ignored, which bounds the
/// state.
const MAX_FINGERPRINTS: usize = 256;
const MAX_FINGERPRINT_BYTES: usize = 128;
/// Maximum evaluated crashes remembered; equals the capacity of [`SuspectTable`].
const MAX_EVALUATED: usize = 256;
/// Number of pending crashes of a request at which it must wait until they are evaluated.
const MIN_CRASHES_TO_WAIT: usize = 2;
/// Maximum suspect requests in the configuration, the latest first; further ones run without permission.
const MAX_SUSPECTS: usize = 512;

value_types! {
    /// A crash that is not evaluated yet.
    pub struct PendingCrash {
        /// Union of the reports so far.
        pub report: CrashReport,
        /// How long a request is blocked as the cause, from the first report on.
        pub block_ms: u64,
        /// Log time of the first report; stands for the time of the crash.
        pub first_report_ms: u64,
        /// Log time of the evaluation.
        pub evaluate_at_ms: u64,
    }

    /// The number of requests reported for an evaluated crash; later reports of it count against the same limit.
    pub struct EvaluatedCrash {
        /// The crashed upstream.
        pub upstream: InstanceId,
        /// Incarnation that crashed.
        pub incarnation: u64,
        /// Fingerprints taken into the suspect table.
        pub requests: usize,
    }
}

/// Crashes of upstreams and the requests that may have caused them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Crashes {
    /// Evaluated crashes, and blocks.
    pub suspects: SuspectTable,
    /// Crashes not evaluated yet, oldest first.
    pub pending: Vec<PendingCrash>,
    /// Sizes of the evaluated crashes, oldest first.
    pub evaluated: VecDeque<EvaluatedCrash>,
    /// Runs of suspect requests in progress.
    pub runs: SuspectRuns,
}

/// Returns the digest by which the configuration names a suspect request. It is short, so requests may share one; the
/// only effect is a needless request for permission.
///
/// ```
/// use daisysill_control::crashes::suspect_digest;
/// assert_ne!(suspect_digest("request-a"), suspect_digest("request-b"));
/// ```
pub fn suspect_digest(fingerprint: &str) -> u32 {
    let [first, second, third, fourth, ..] = *blake3::hash(fingerprint.as_bytes()).as_bytes();
    u32::from_le_bytes([first, second, third, fourth])
}

impl Crashes {
    /// Returns the log time at which the next crash is evaluated or the next block ends.
    pub(crate) fn next_change_ms(&self) -> Option<u64> {
        let evaluations = self.pending.iter().map(|crash| crash.evaluate_at_ms);
        evaluations.chain(self.suspects.blocked_requests().map(|(_, block)| block.until_ms)).min()
    }

    /// Merges a report into its pending crash, or adds a new one.
    fn add(&mut self, report: &ReportCrash, now_ms: u64) {
        let known = self.pending.iter_mut().find(|crash| {
            crash.report.upstream == report.upstream && crash.report.incarnation == report.incarnation
        });
        if let Some(crash) = known {
            merge_report(&mut crash.report, report);
            return;
        }
        let mut merged = CrashReport {
            upstream: report.upstream.clone(),
            incarnation: report.incarnation,
            running: [].into(),
        };
        merge_report(&mut merged, report);
        let evaluate_at_ms = now_ms.saturating_add(REPORT_WINDOW_MS);
        let crash = PendingCrash {
            report: merged,
            block_ms: report.block_ms,
            first_report_ms: now_ms,
            evaluate_at_ms,
        };
        self.pending.push(crash);
        if self.pending.len() > MAX_PENDING {
            self.evaluate_oldest(now_ms);
        }
    }

    /// Evaluates the crashes that are due and lifts expired blocks.
    fn evaluate_due(&mut self, now_ms: u64) {
        while self.pending.first().is_some_and(|crash| crash.evaluate_at_ms <= now_ms) {
            self.evaluate_oldest(now_ms);
        }
        self.suspects.expire(now_ms);
    }

    fn evaluate_oldest(&mut self, now_ms: u64) {
        let mut crash = self.pending.remove(0);
        let limit = self.reserve_requests(&crash.report);
        while crash.report.running.len() > limit {
            crash.report.running.pop_last();
        }
        // The time of the crash, not of its evaluation, decides whether a request finished after it. The block starts
        // at the crash too, but is extended if it would have expired by now.
        let block_ms = crash.block_ms.max(now_ms.saturating_sub(crash.first_report_ms) + 1);
        self.suspects.record_crash(&crash.report, crash.first_report_ms, block_ms);
    }

    /// Returns how many requests of a report the suspect table may take, and counts them. The table itself does not
    /// limit the requests of a crash.
    fn reserve_requests(&mut self, report: &CrashReport) -> usize {
        let same = |crash: &EvaluatedCrash| {
            crash.upstream == report.upstream && crash.incarnation == report.incarnation
        };
        let known = self.evaluated.iter().position(same).and_then(|position| self.evaluated.remove(position));
        let before = known.map_or(0, |crash| crash.requests);
        let added = report.running.len().min(MAX_FINGERPRINTS - before);
        self.evaluated.push_back(EvaluatedCrash {
            upstream: report.upstream.clone(),
            incarnation: report.incarnation,
            requests: before + added,
        });
        if self.evaluated.len() > MAX_EVALUATED {
            self.evaluated.pop_front();
        }
        added
    }

    /// Returns the blocked requests with the end of each block, in log time. A request that was part of two crashes is
    /// blocked until the later one is evaluated, so that it cannot crash a third upstream meanwhile.
    fn blocked(&self) -> BTreeMap<String, u64> {
        let mut blocked = BTreeMap::new();
        for (position, crash) in self.pending.iter().enumerate() {
            for fingerprint in &crash.report.running {
                let before = self.pending[..position].iter();
                let pending = before.filter(|other| other.report.running.contains(fingerprint)).count();
                if pending > 0 || self.is_suspect(fingerprint, crash.first_report_ms) {
                    blocked.insert(fingerprint.to_string(), crash.evaluate_at_ms);
                }
            }
        }
        let evaluated =
            self.suspects.blocked_requests().map(|(name, block)| (name.to_string(), block.until_ms));
        blocked.extend(evaluated);
        blocked
    }

    /// Returns whether the evaluated crashes restrict the runs of a request.
    fn is_suspect(&self, fingerprint: &Fingerprint, now_ms: u64) -> bool {
        self.suspects.permission(fingerprint, now_ms, 0).permission != Permission::Run
    }

    /// Returns the digests of the suspect requests, those of pending crashes first.
    fn suspects(&self) -> BTreeSet<u32> {
        let pending = self.pending.iter().rev().flat_map(|crash| crash.report.running.iter().cloned());
        let evaluated = self.suspects.suspects().into_iter();
        let mut suspects = BTreeSet::new();
        for fingerprint in pending.chain(evaluated) {
            if suspects.len() < MAX_SUSPECTS {
                suspects.insert(suspect_digest(fingerprint.as_str()));
            }
        }
        suspects
    }

    fn start_run(&mut self, start: &StartSuspectRun, now_ms: u64) -> Result<(), RunRefusal> {
        self.runs.expire(now_ms);
        if self.runs.contains(&start.attempt) {
            return Ok(());
        }
        let fingerprint: Fingerprint = start.fingerprint.as_str().into();
        let pending = self.pending.iter().filter(|crash| crash.report.running.contains(&fingerprint)).count();
        let running = self.runs.count(&start.fingerprint);
        let permission = self.suspects.permission(&fingerprint, now_ms, running).permission;
        let alone = permission == Permission::RunAlone;
        let must_wait = match permission {
            Permission::Blocked { .. } => return Err(RunRefusal::Blocked),
            Permission::Wait => true,
            Permission::Run => pending >= MIN_CRASHES_TO_WAIT || (pending > 0 && running > 0),
            Permission::RunApart { .. } | Permission::RunAlone => pending > 0 || running > 0,
        };
        if must_wait {
            return Err(RunRefusal::Wait);
        }
        self.runs.start(start, alone, now_ms)
    }

    /// Ends a run. A completed one clears its request of the crashes reported before the run started.
    fn end_run(&mut self, end: &EndSuspectRun, now_ms: u64) {
        let Some(run) = self.runs.end(&end.attempt) else { return };
        if !end.finished {
            return;
        }
        let fingerprint: Fingerprint = run.fingerprint.as_str().into();
        for crash in self.pending.iter_mut().filter(|crash| crash.first_report_ms < run.started_ms) {
            crash.report.running.remove(&fingerprint);
        }
        self.suspects.record_finish(
            &fingerprint,
            run.started_ms,
            end.block_ms.max(now_ms - run.started_ms + 1),
        );
    }
}

/// Adds the fingerprints of a report, up to the limits.
fn merge_report(merged: &mut CrashReport, report: &ReportCrash) {
    for fingerprint in report.fingerprints.iter().filter(|f| f.len() <= MAX_FINGERPRINT_BYTES) {
        if merged.running.len() < MAX_FINGERPRINTS {
            merged.running.insert(fingerprint.as_str().into());
        }
    }
}

impl AgreedState {
    pub(crate) fn report_crash(&mut self, report: &ReportCrash) -> Reply {
        self.crashes.add(report, self.now_ms);
        let before = self.config.version;
        self.update_config();
        if self.config.version == before { Reply::Done } else { Reply::Accepted(self.config.version) }
    }

    pub(crate) fn start_suspect_run(&mut self, start: &StartSuspectRun) -> Reply {
        match self.crashes.start_run(start, self.now_ms) {
            Ok(()) => Reply::RunPermitted,
            Err(refusal) => Reply::RunRefused(refusal),
        }
    }

    pub(crate) fn end_suspect_run(&mut self, end: &EndSuspectRun) -> Reply {
        self.crashes.end_run(end, self.now_ms);
        self.update_config();
        Reply::Done
    }

    /// Returns the log time at which the next crash is evaluated, or the next block or evidence ends.
    pub(crate) fn next_crash_change_ms(&self) -> Option<u64> {
        self.crashes.next_change_ms().into_iter().chain(self.crashing_parts.next_expiry_ms()).min()
    }

    /// Evaluates the crashes that are due, and lifts expired blocks.
    pub(crate) fn evaluate_crashes(&mut self) {
        if self.next_crash_change_ms().is_some_and(|due_ms| due_ms <= self.now_ms) {
            self.crashes.evaluate_due(self.now_ms);
            self.crashing_parts.expire(self.now_ms);
            self.update_config();
        }
    }

    /// Makes blocks and suspects a new configuration version if they have changed.
    pub(crate) fn update_config(&mut self) {
        let (mut blocked, mut suspects) = (self.crashes.blocked(), self.crashes.suspects());
        blocked.extend(self.blocked_parts());
        suspects.extend(self.suspect_parts());
        if blocked == self.config.blocked && suspects == self.config.suspects {
            return;
        }
        let config = Arc::make_mut(&mut self.config);
        config.blocked = blocked;
        config.suspects = suspects;
        config.version = ConfigVersion(self.applied_index);
    }
}
