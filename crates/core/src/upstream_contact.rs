//! Detection of a node that has lost its links to all upstreams, from failed connections and the bytes that arrive.
//!
//! One upstream that crashed, one that is silent or a zone that cannot be reached must not look like a lost link, so
//! connections must have failed to several upstreams in several zones, and none must have succeeded since.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{InstanceId, ZoneName};

/// Different upstreams, and zones, to which connections must have failed; all if fewer are listed.
const MIN_FAILED: usize = 3;
/// The same for probes, while bytes arrive from others: one upstream that crashed is no reason to probe.
const MIN_FAILED_TO_PROBE: usize = 2;
/// Failures before this time are no longer evidence; longer than the time between two probes and their timeout.
const FAILURE_WINDOW_MS: u64 = 1_500;
/// Time without a byte from any upstream after which the open connections count as lost too, and after which waiting
/// requests are a reason to probe.
const SILENCE_MS: u64 = 300;
/// Time between two probes once connections have failed.
const PROBE_INTERVAL_MS: u64 = 200;
/// Time between two probes while no upstream sends anything, but no connection has failed. Upstreams may take seconds to
/// answer.
const SILENCE_PROBE_INTERVAL_MS: u64 = 500;

/// How a node reaches the upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// There is no sign of a lost link.
    #[default]
    InTouch,
    /// New connections fail, but bytes arrive on open ones.
    NoNewConnections,
    /// New connections fail and no upstream sends anything.
    CutOff,
}

impl Reach {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::InTouch => "in_touch",
            Self::NoNewConnections => "no_new_connections",
            Self::CutOff => "cut_off",
        }
    }
}

/// What a node observes of all upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Number of upstreams that are listed.
    pub upstreams: usize,
    /// Number of zones in which they are.
    pub zones: usize,
    /// Time since a byte arrived from any upstream; `None` if none ever did.
    pub silent_ms: Option<u64>,
    /// Longest time for which a request at an upstream has waited for a byte; 0 without requests.
    pub longest_wait_ms: u64,
}

impl Observation {
    fn is_silent(&self) -> bool {
        self.silent_ms.is_none_or(|silent_ms| silent_ms >= SILENCE_MS)
    }
}

#[derive(Debug)]
struct Failure {
    zone: ZoneName,
    at_ms: u64,
}

/// Recent failed connections to upstreams.
#[derive(Debug, Default)]
pub struct UpstreamContact {
    failures: BTreeMap<InstanceId, Failure>,
    probed_at_ms: Option<u64>,
}

impl UpstreamContact {
    /// Records that an upstream did not accept a connection.
    pub fn record_failure(&mut self, upstream: &InstanceId, zone: &ZoneName, now_ms: u64) {
        let failure = Failure { zone: zone.clone(), at_ms: now_ms };
        self.failures.insert(upstream.clone(), failure);
    }

    /// Records that an upstream accepted a connection.
    pub fn record_connected(&mut self) {
        self.failures.clear();
    }

    /// Returns the number of different upstreams that did not accept a connection recently.
    pub fn failed_upstreams(&self) -> usize {
        self.failures.len()
    }

    /// Returns how the node reaches the upstreams.
    ///
    /// ```
    /// use daisysill_core::upstream_contact::{Observation, Reach, UpstreamContact};
    /// let mut contact = UpstreamContact::default();
    /// let seen = Observation { upstreams: 9, zones: 1, silent_ms: Some(400), longest_wait_ms: 400 };
    /// for upstream in ["a", "b", "c"] {
    ///     assert_eq!(contact.reach(&seen, 1_000), Reach::InTouch);
    ///     contact.record_failure(&upstream.into(), &"east".into(), 1_000);
    /// }
    /// assert_eq!(contact.reach(&seen, 1_000), Reach::CutOff);
    /// let answers = Observation { silent_ms: Some(10), ..seen };
    /// assert_eq!(contact.reach(&answers, 1_000), Reach::NoNewConnections);
    /// contact.record_connected();
    /// assert_eq!(contact.reach(&seen, 1_000), Reach::InTouch);
    /// ```
    pub fn reach(&mut self, seen: &Observation, now_ms: u64) -> Reach {
        self.failures.retain(|_, failure| now_ms.saturating_sub(failure.at_ms) < FAILURE_WINDOW_MS);
        let zones: BTreeSet<&ZoneName> = self.failures.values().map(|failure| &failure.zone).collect();
        let has_failed = seen.upstreams > 0
            && self.failures.len() >= MIN_FAILED.min(seen.upstreams)
            && zones.len() >= MIN_FAILED.min(seen.zones);
        match (has_failed, seen.is_silent()) {
            (false, _) => Reach::InTouch,
            (true, false) => Reach::NoNewConnections,
            (true, true) => Reach::CutOff,
        }
    }

    /// Returns to how many upstreams a connection is to be tried now, only to learn whether they can be reached.
    pub fn probes_due(&mut self, seen: &Observation, now_ms: u64) -> usize {
        let waits = seen.longest_wait_ms >= SILENCE_MS && seen.is_silent();
        let min_failed = if seen.is_silent() { 1 } else { MIN_FAILED_TO_PROBE.min(seen.upstreams.max(1)) };
        let (probes, interval_ms) = match (self.failures.len() >= min_failed, waits) {
            (true, _) => (MIN_FAILED, PROBE_INTERVAL_MS),
            (false, true) => (1, SILENCE_PROBE_INTERVAL_MS),
            (false, false) => return 0,
        };
        if self.probed_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < interval_ms) {
            return 0;
        }
        self.probed_at_ms = Some(now_ms);
        probes
    }

    /// Returns whether a connection to an upstream failed recently; others are probed first.
    pub fn has_failed(&self, upstream: &InstanceId) -> bool {
        self.failures.contains_key(upstream)
    }

    /// Returns whether a connection to an upstream in this zone failed recently; other zones are probed first.
    pub fn has_failed_in(&self, zone: &ZoneName) -> bool {
        self.failures.values().any(|failure| failure.zone == *zone)
    }
}
