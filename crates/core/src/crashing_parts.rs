//! Finds the parts of prompts that crash the upstreams that answer on them.
//!
//! A crash breaks all requests at its upstream, most of them sound, and sound requests share the other parts of those that
//! crash. Three things tell the parts apart: a request that completes clears all its parts; crashes that one part explains
//! count against no other; and many upstreams that end at the same time are no evidence against what they had in common.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// Crashes in succession, under different requests, after which a part that none has completed with is blocked.
pub const CRASHES_TO_BLOCK: u32 = 3;
/// How long evidence lasts after the last crash under a part, and so how long the part stays blocked.
pub const EVIDENCE_TIMEOUT: Duration = Duration::from_mins(10);
/// Maximum number of parts with evidence; further ones are ignored until evidence expires.
const MAX_PARTS: usize = 4_096;

/// Maximum number of crashes and of requests remembered for a part.
const MAX_CRASHES_OF_PART: usize = 64;

value_types! {
    /// A process that crashed.
    #[derive(PartialOrd, Ord)]
    pub struct CrashedProcess {
        /// The upstream.
        pub upstream: InstanceId,
        /// Start of the process, in Unix milliseconds or as any number that differs from its other starts.
        pub started_unix_ms: u64,
    }

    /// A request that was running at an upstream when the upstream crashed.
    pub struct BrokenRun {
        /// The process that crashed.
        pub process: CrashedProcess,
        /// Equal for identical requests.
        pub fingerprint: u64,
        /// When the request was sent, in milliseconds of any clock.
        pub sent_ms: u64,
        /// When its connection broke, on the same clock.
        pub broke_ms: u64,
    }

    /// The latest crash of a process.
    #[derive(Copy)]
    struct LatestCrash {
        number: u32,
        broke_ms: u64,
    }

    /// Crashes under one part since a request with it completed last.
    #[derive(Default)]
    struct Evidence {
        crashes: BTreeSet<CrashId>,
        /// Those that counted as successive.
        counted: BTreeSet<CrashId>,
        /// Requests that were broken; the culprit's part is in fewer than one that many sound requests share.
        requests: BTreeSet<u64>,
        /// Highest index of the part in a prompt. If parts are prefixes, the longest one that explains the crashes is held
        /// responsible.
        index: u32,
        last_fingerprint: u64,
        last_broke_ms: u64,
    }
}

/// One of the crashes of a process, which may be listed with its old start for a while after a restart.
type CrashId = (CrashedProcess, u32);

/// Evidence against parts of prompts, as the node that decides for all collects it.
///
/// ```
/// use daisysill_core::crashing_parts::{BrokenRun, CRASHES_TO_BLOCK, CrashedProcess, CrashingParts};
/// let (sound, bad) = (1, 2);
/// let mut parts = CrashingParts::default();
/// for number in 0..3 {
///     let process = CrashedProcess { upstream: format!("i-{number}").as_str().into(), started_unix_ms: 0 };
///     let run = BrokenRun { process, fingerprint: number, sent_ms: number * 100, broke_ms: number * 100 + 50 };
///     parts.record_crash(&[sound, bad], &run);
///     parts.record_completion(&[sound]);
/// }
/// assert_eq!(parts.counts().get(&bad), Some(&CRASHES_TO_BLOCK));
/// assert_eq!(parts.counts().get(&sound), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashingParts {
    latest_crashes: BTreeMap<CrashedProcess, LatestCrash>,
    by_part: BTreeMap<u64, Evidence>,
}

impl CrashingParts {
    /// Records a broken run of a request with these parts, in the order in which its prompt has them.
    pub fn record_crash(&mut self, parts: &[u64], run: &BrokenRun) {
        let crash = self.identify(run);
        for (index, part) in (0..).zip(parts) {
            if self.by_part.len() >= MAX_PARTS && !self.by_part.contains_key(part) {
                continue;
            }
            let evidence = self.by_part.entry(*part).or_default();
            evidence.index = evidence.index.max(index);
            evidence.record(run, &crash);
        }
    }

    /// Returns which crash broke the run: a new one if the run was sent after the process crashed before.
    fn identify(&mut self, run: &BrokenRun) -> CrashId {
        let first = LatestCrash { number: 0, broke_ms: run.broke_ms };
        let latest = self.latest_crashes.entry(run.process.clone()).or_insert(first);
        if run.sent_ms >= latest.broke_ms {
            *latest = LatestCrash { number: latest.number + 1, broke_ms: run.broke_ms };
        }
        (run.process.clone(), latest.number)
    }

    /// Records that a request with these parts has completed.
    pub fn record_completion(&mut self, parts: &[u64]) {
        for part in parts {
            self.by_part.remove(part);
        }
    }

    /// Discards evidence that has expired at `now_ms`, on the clock of the runs.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_part.retain(|_, evidence| expiry_ms(evidence.last_broke_ms) > now_ms);
        self.latest_crashes.retain(|_, crash| expiry_ms(crash.broke_ms) > now_ms);
    }

    /// Returns when evidence expires next; `None` if there is none.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.by_part.values().map(|evidence| expiry_ms(evidence.last_broke_ms)).min()
    }

    /// Returns when the evidence against a part expires unless it crashes another upstream; `None` if there is none.
    pub fn expiry_of_ms(&self, part: u64) -> Option<u64> {
        self.by_part.get(&part).map(|evidence| expiry_ms(evidence.last_broke_ms))
    }

    /// Returns the crashes by part: [`CRASHES_TO_BLOCK`] or more for those that are blocked, fewer for others.
    pub fn counts(&self) -> BTreeMap<u64, u32> {
        let mut counts: BTreeMap<u64, u32> = self
            .by_part
            .iter()
            .map(|(part, evidence)| (*part, evidence.successive().min(CRASHES_TO_BLOCK - 1)))
            .collect();
        for part in self.culprits() {
            counts.insert(part, self.by_part[&part].successive());
        }
        counts
    }

    /// Returns the fewest parts that explain the crashes: again and again the one with the most unexplained crashes. If
    /// that one lacks a crash to be blocked, it is waited for, and no other part is blocked for the same crashes.
    fn culprits(&self) -> Vec<u64> {
        let is_candidate = |evidence: &Evidence| evidence.successive() + 1 >= CRASHES_TO_BLOCK;
        let mut candidates: Vec<(u64, &Evidence)> = self
            .by_part
            .iter()
            .filter(|(_, evidence)| is_candidate(evidence))
            .map(|(part, evidence)| (*part, evidence))
            .collect();
        let mut explained = BTreeSet::new();
        let mut culprits = Vec::new();
        loop {
            let unexplained = |evidence: &Evidence| evidence.crashes.difference(&explained).count();
            let best = candidates.iter().enumerate().max_by_key(|(_, (_, evidence))| {
                (unexplained(evidence), Reverse(evidence.requests.len()), evidence.index)
            });
            let Some((index, (part, evidence))) = best else { return culprits };
            if unexplained(evidence) < CRASHES_TO_BLOCK as usize {
                return culprits;
            }
            if evidence.successive() >= CRASHES_TO_BLOCK {
                culprits.push(*part);
            }
            explained.extend(evidence.crashes.iter().cloned());
            candidates.swap_remove(index);
        }
    }
}

impl Evidence {
    /// Returns the number of crashes under different requests, each sent after the crash before.
    fn successive(&self) -> u32 {
        u32::try_from(self.counted.len()).unwrap_or(u32::MAX)
    }

    fn record(&mut self, run: &BrokenRun, crash: &CrashId) {
        insert_bounded(&mut self.requests, run.fingerprint);
        insert_bounded(&mut self.crashes, crash.clone());
        let follows = run.sent_ms >= self.last_broke_ms && run.fingerprint != self.last_fingerprint;
        if (self.counted.is_empty() || follows) && !self.counted.contains(crash) {
            insert_bounded(&mut self.counted, crash.clone());
            self.last_fingerprint = run.fingerprint;
            self.last_broke_ms = run.broke_ms;
        }
    }
}

/// Inserts a value unless the set holds [`MAX_CRASHES_OF_PART`].
fn insert_bounded<T: Ord>(values: &mut BTreeSet<T>, value: T) {
    if values.len() < MAX_CRASHES_OF_PART {
        values.insert(value);
    }
}

/// Returns when evidence expires whose last crash was at `last_broke_ms`.
pub(crate) fn expiry_ms(last_broke_ms: u64) -> u64 {
    let timeout_ms = u64::try_from(EVIDENCE_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    last_broke_ms.saturating_add(timeout_ms)
}
