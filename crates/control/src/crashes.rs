//! Crashes of upstreams and the requests blocked for them, as part of the agreed state.
//!
//! Each node reports the requests that it knows of, so the reports of one crash arrive one after the other. A
//! crash is judged once its reports had time to arrive; judged by the first report alone, an innocent request
//! could be blocked in place of the one that took down the upstream.

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

/// Time in which all reports of a crash arrive. A node looks for 500 ms whether an upstream still runs, and
/// proposes for 500 ms at a time.
pub const REPORT_WINDOW_MS: u64 = 1_500;
/// Crashes that wait to be judged at most; the oldest is then judged at once.
const MAX_PENDING: usize = 64;
/// Fingerprints of one crash at most, and the bytes of each, so that the state stays bounded.
const MAX_FINGERPRINTS: usize = 256;
const MAX_FINGERPRINT_BYTES: usize = 128;
/// Judged crashes whose number of requests is remembered, as many as the table of judged crashes keeps.
const MAX_EVALUATED: usize = 256;
/// Crashes of one request after which it waits until all of them are judged.
const MIN_CRASHES_TO_WAIT: usize = 2;
/// Suspects that nodes are told of, the latest first; further ones run without permission.
const MAX_SUSPECTS: usize = 512;

value_types! {
    /// A crash whose reports are still arriving.
    pub struct PendingCrash {
        /// The reports so far, taken together.
        pub report: CrashReport,
        /// How long a request that caused it is blocked.
        pub block_ms: u64,
        /// When it was first reported, in log time.
        pub first_report_ms: u64,
        /// When it is judged, in log time.
        pub evaluate_at_ms: u64,
    }

    /// How many requests were reported for a crash that was judged; it may be reported again.
    pub struct EvaluatedCrash {
        /// The upstream.
        pub upstream: InstanceId,
        /// Its incarnation.
        pub incarnation: u64,
        /// The requests.
        pub requests: usize,
    }
}

/// What is known of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Crashes {
    /// The crashes that were judged, and the blocks.
    pub suspects: SuspectTable,
    /// The crashes that were not, oldest first.
    pub pending: Vec<PendingCrash>,
    /// The sizes of the judged crashes, oldest first.
    pub evaluated: VecDeque<EvaluatedCrash>,
    /// Runs in progress of requests that were part of a crash.
    pub runs: SuspectRuns,
}

/// Returns the short digest under which nodes are told of a suspect. Requests that share one by chance are only
/// asked for without need.
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
    /// Returns when the next crash is judged or the next block ends, in log time.
    pub(crate) fn next_change_ms(&self) -> Option<u64> {
        let judged = self.pending.iter().map(|crash| crash.evaluate_at_ms);
        judged.chain(self.suspects.blocked_requests().map(|(_, block)| block.until_ms)).min()
    }

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

    /// Judges what is due and lifts the blocks that have ended.
    fn evaluate_due(&mut self, now_ms: u64) {
        while self.pending.first().is_some_and(|crash| crash.evaluate_at_ms <= now_ms) {
            self.evaluate_oldest(now_ms);
        }
        self.suspects.expire(now_ms);
    }

    fn evaluate_oldest(&mut self, now_ms: u64) {
        let mut crash = self.pending.remove(0);
        let room = self.reserve_requests(&crash.report);
        while crash.report.running.len() > room {
            crash.report.running.pop_last();
        }
        // The time of the crash, not of the judgement, decides whether a request finished after it; the block
        // itself lasts from the crash too, unless it would then be over.
        let block_ms = crash.block_ms.max(now_ms.saturating_sub(crash.first_report_ms) + 1);
        self.suspects.record_crash(&crash.report, crash.first_report_ms, block_ms);
    }

    /// Returns how many requests of a report the table of judged crashes takes, which has no bound of its own.
    fn reserve_requests(&mut self, report: &CrashReport) -> usize {
        let same = |crash: &EvaluatedCrash| {
            crash.upstream == report.upstream && crash.incarnation == report.incarnation
        };
        let known = self.evaluated.iter().position(same).and_then(|position| self.evaluated.remove(position));
        let before = known.map_or(0, |crash| crash.requests);
        let room = report.running.len().min(MAX_FINGERPRINTS - before);
        self.evaluated.push_back(EvaluatedCrash {
            upstream: report.upstream.clone(),
            incarnation: report.incarnation,
            requests: before + room,
        });
        if self.evaluated.len() > MAX_EVALUATED {
            self.evaluated.pop_front();
        }
        room
    }

    /// Returns the blocked requests and until when. A request that was part of two crashes is held until the
    /// later one is judged, so that it cannot take down a third upstream meanwhile.
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
        let judged = self.suspects.blocked_requests().map(|(name, block)| (name.to_string(), block.until_ms));
        blocked.extend(judged);
        blocked
    }

    fn is_suspect(&self, fingerprint: &Fingerprint, now_ms: u64) -> bool {
        self.suspects.permission(fingerprint, now_ms, 0).permission != Permission::Run
    }

    /// Returns the requests that may have caused a crash, those of pending crashes first.
    fn suspects(&self) -> BTreeSet<u32> {
        let pending = self.pending.iter().rev().flat_map(|crash| crash.report.running.iter().cloned());
        let judged = self.suspects.suspects().into_iter();
        let mut suspects = BTreeSet::new();
        for fingerprint in pending.chain(judged) {
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

    /// Judges the crashes that are due.
    pub(crate) fn evaluate_crashes(&mut self) {
        if self.crashes.next_change_ms().is_some_and(|due_ms| due_ms <= self.now_ms) {
            self.crashes.evaluate_due(self.now_ms);
            self.update_config();
        }
    }

    fn update_config(&mut self) {
        let (blocked, suspects) = (self.crashes.blocked(), self.crashes.suspects());
        if blocked == self.config.blocked && suspects == self.config.suspects {
            return;
        }
        let config = Arc::make_mut(&mut self.config);
        config.blocked = blocked;
        config.suspects = suspects;
        config.version = ConfigVersion(self.applied_index);
    }
}
