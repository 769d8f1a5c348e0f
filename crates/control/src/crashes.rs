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
const MAX_UNSETTLED: usize = 64;
/// Fingerprints of one crash at most, and the bytes of each, so that the state stays bounded.
const MAX_FINGERPRINTS: usize = 256;
const MAX_FINGERPRINT_BYTES: usize = 128;
/// Judged crashes whose number of requests is remembered, as many as the table of judged crashes keeps.
const MAX_JUDGED: usize = 256;
/// Crashes of one request after which it waits until all of them are judged.
const CRASHES_TO_WAIT: usize = 2;
/// Suspects that nodes are told of, the latest first; further ones run without permission.
const MAX_SUSPECTS: usize = 512;

value_types! {
    /// A crash whose reports are still arriving.
    pub struct UnsettledCrash {
        /// The reports so far, taken together.
        pub report: CrashReport,
        /// How long a request that caused it is blocked.
        pub block_ms: u64,
        /// When it was first reported, in log time.
        pub at_ms: u64,
        /// When it is judged, in log time.
        pub judged_ms: u64,
    }

    /// How many requests were reported for a crash that was judged; it may be reported again.
    pub struct JudgedCrash {
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
    pub judged: SuspectTable,
    /// The crashes that were not, oldest first.
    pub unsettled: Vec<UnsettledCrash>,
    /// The sizes of the judged crashes, oldest first.
    pub sizes: VecDeque<JudgedCrash>,
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
        let judged = self.unsettled.iter().map(|crash| crash.judged_ms);
        judged.chain(self.judged.blocked_requests().map(|(_, block)| block.until_ms)).min()
    }

    fn add(&mut self, report: &ReportCrash, now_ms: u64) {
        let known = self.unsettled.iter_mut().find(|crash| {
            crash.report.upstream == report.upstream && crash.report.incarnation == report.incarnation
        });
        if let Some(crash) = known {
            extend(&mut crash.report, report);
            return;
        }
        let mut merged = CrashReport {
            upstream: report.upstream.clone(),
            incarnation: report.incarnation,
            running: [].into(),
        };
        extend(&mut merged, report);
        let judged_ms = now_ms.saturating_add(REPORT_WINDOW_MS);
        let crash = UnsettledCrash { report: merged, block_ms: report.block_ms, at_ms: now_ms, judged_ms };
        self.unsettled.push(crash);
        if self.unsettled.len() > MAX_UNSETTLED {
            self.judge_oldest(now_ms);
        }
    }

    /// Judges what is due and lifts the blocks that have ended.
    fn settle(&mut self, now_ms: u64) {
        while self.unsettled.first().is_some_and(|crash| crash.judged_ms <= now_ms) {
            self.judge_oldest(now_ms);
        }
        self.judged.expire(now_ms);
    }

    fn judge_oldest(&mut self, now_ms: u64) {
        let mut crash = self.unsettled.remove(0);
        let room = self.take_room(&crash.report);
        while crash.report.running.len() > room {
            crash.report.running.pop_last();
        }
        // The time of the crash, not of the judgement, decides whether a request finished after it; the block
        // itself lasts from the crash too, unless it would then be over.
        let block_ms = crash.block_ms.max(now_ms.saturating_sub(crash.at_ms) + 1);
        self.judged.record_crash(&crash.report, crash.at_ms, block_ms);
    }

    /// Returns how many requests of a report the table of judged crashes takes, which has no bound of its own.
    fn take_room(&mut self, report: &CrashReport) -> usize {
        let same = |crash: &JudgedCrash| {
            crash.upstream == report.upstream && crash.incarnation == report.incarnation
        };
        let known = self.sizes.iter().position(same).and_then(|position| self.sizes.remove(position));
        let before = known.map_or(0, |crash| crash.requests);
        let room = report.running.len().min(MAX_FINGERPRINTS - before);
        self.sizes.push_back(JudgedCrash {
            upstream: report.upstream.clone(),
            incarnation: report.incarnation,
            requests: before + room,
        });
        if self.sizes.len() > MAX_JUDGED {
            self.sizes.pop_front();
        }
        room
    }

    /// Returns the blocked requests and until when. A request that was part of two crashes is held until the
    /// later one is judged, so that it cannot take down a third upstream meanwhile.
    fn blocked(&self) -> BTreeMap<String, u64> {
        let mut blocked = BTreeMap::new();
        for (position, crash) in self.unsettled.iter().enumerate() {
            for fingerprint in &crash.report.running {
                let before = self.unsettled[..position].iter();
                let unsettled = before.filter(|other| other.report.running.contains(fingerprint)).count();
                if unsettled > 0 || self.is_suspect(fingerprint, crash.at_ms) {
                    blocked.insert(fingerprint.to_string(), crash.judged_ms);
                }
            }
        }
        let judged = self.judged.blocked_requests().map(|(name, block)| (name.to_string(), block.until_ms));
        blocked.extend(judged);
        blocked
    }

    fn is_suspect(&self, fingerprint: &Fingerprint, now_ms: u64) -> bool {
        self.judged.permission(fingerprint, now_ms, 0).permission != Permission::Run
    }

    /// Returns the requests that may have caused a crash, those of unjudged crashes first.
    fn suspects(&self) -> BTreeSet<u32> {
        let unsettled = self.unsettled.iter().rev().flat_map(|crash| crash.report.running.iter().cloned());
        let judged = self.judged.suspects().into_iter();
        let mut suspects = BTreeSet::new();
        for fingerprint in unsettled.chain(judged) {
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
        let unjudged =
            self.unsettled.iter().filter(|crash| crash.report.running.contains(&fingerprint)).count();
        let running = self.runs.of(&start.fingerprint);
        let permission = self.judged.permission(&fingerprint, now_ms, running).permission;
        let alone = permission == Permission::RunAlone;
        let must_wait = match permission {
            Permission::Blocked { .. } => return Err(RunRefusal::Blocked),
            Permission::Wait => true,
            Permission::Run => unjudged >= CRASHES_TO_WAIT || (unjudged > 0 && running > 0),
            Permission::RunApart { .. } | Permission::RunAlone => unjudged > 0 || running > 0,
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
        for crash in self.unsettled.iter_mut().filter(|crash| crash.at_ms < run.started_ms) {
            crash.report.running.remove(&fingerprint);
        }
        self.judged.record_finish(
            &fingerprint,
            run.started_ms,
            end.block_ms.max(now_ms - run.started_ms + 1),
        );
    }
}

fn extend(merged: &mut CrashReport, report: &ReportCrash) {
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
        self.update_blocks();
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
        self.update_blocks();
        Reply::Done
    }

    /// Judges the crashes that are due.
    pub(crate) fn settle_crashes(&mut self) {
        if self.crashes.next_change_ms().is_some_and(|due_ms| due_ms <= self.now_ms) {
            self.crashes.settle(self.now_ms);
            self.update_blocks();
        }
    }

    fn update_blocks(&mut self) {
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
