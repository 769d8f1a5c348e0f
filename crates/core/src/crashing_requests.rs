//! Finds the requests that crash the upstreams that run them.
//!
//! A crash breaks all requests at its upstream, most of them sound, and callers may send equal requests again and again. So a
//! request that completes is cleared of all crashes before, and evidence expires. A request that crashes some upstreams and
//! completes at others is therefore not blocked.

use std::collections::{BTreeMap, BTreeSet};

use crate::crashing_parts::{CrashedProcess, expiry_ms};

/// Crashes after which a request that has not completed since the first of them is blocked.
pub const CRASHES_TO_BLOCK: u32 = 3;
/// Maximum number of requests with evidence; the one with the fewest crashes and the oldest last one gives way to a new one.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of crashes remembered for a request.
const MAX_CRASHES_OF_REQUEST: usize = 64;

value_types! {
    /// Crashes under one request since an equal one completed last.
    #[derive(Default)]
    struct Evidence {
        crashes: BTreeSet<CrashedProcess>,
        last_crash_ms: u64,
    }

    /// Evidence against requests, by fingerprint, as the node that decides for all collects it.
    ///
    /// ```
    /// use daisysill_core::{crashing_parts::CrashedProcess, crashing_requests::CrashingRequests};
    /// let process = CrashedProcess { upstream: "i-1".into(), started_unix_ms: 0 };
    /// let mut requests = CrashingRequests::default();
    /// requests.record_crash(7, process, 100);
    /// assert_eq!(requests.counts().collect::<Vec<_>>(), [(7, 1)]);
    /// requests.record_completion(7);
    /// assert_eq!(requests.counts().count(), 0);
    /// ```
    #[derive(Default)]
    pub struct CrashingRequests {
        by_fingerprint: BTreeMap<u64, Evidence>,
    }
}

impl CrashingRequests {
    /// Records that a process crashed while it ran a request; several nodes may report the same crash.
    pub fn record_crash(&mut self, fingerprint: u64, process: CrashedProcess, now_ms: u64) {
        if self.by_fingerprint.len() >= MAX_REQUESTS && !self.by_fingerprint.contains_key(&fingerprint) {
            self.evict();
        }
        let evidence = self.by_fingerprint.entry(fingerprint).or_default();
        if evidence.crashes.len() < MAX_CRASHES_OF_REQUEST && evidence.crashes.insert(process) {
            evidence.last_crash_ms = now_ms;
        }
    }

    fn evict(&mut self) {
        let weakest = self
            .by_fingerprint
            .iter()
            .min_by_key(|(_, evidence)| (evidence.crashes.len(), evidence.last_crash_ms))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = weakest {
            self.by_fingerprint.remove(&fingerprint);
        }
    }

    /// Records that a request has completed.
    pub fn record_completion(&mut self, fingerprint: u64) {
        self.by_fingerprint.remove(&fingerprint);
    }

    /// Discards evidence that has expired at `now_ms`, on the clock of the crashes.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_fingerprint.retain(|_, evidence| expiry_ms(evidence.last_crash_ms) > now_ms);
    }

    /// Iterates over the requests with evidence and the number of their crashes: [`CRASHES_TO_BLOCK`] or more for those that
    /// are blocked.
    pub fn counts(&self) -> impl Iterator<Item = (u64, u32)> {
        let count = |evidence: &Evidence| u32::try_from(evidence.crashes.len()).unwrap_or(u32::MAX);
        self.by_fingerprint.iter().map(move |(fingerprint, evidence)| (*fingerprint, count(evidence)))
    }
}
