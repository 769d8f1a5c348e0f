//! Tells from failed connections that a whole availability zone is out of reach.
//!
//! While a zone is cut off, each of its upstreams would cost some requests a connection timeout of their own. After
//! a few different upstreams of a zone could not be reached and none answered since, the zone as a whole is avoided,
//! apart from a probe now and then.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{InstanceId, ZoneName};

/// Different upstreams that must have failed.
const FAILED_UPSTREAMS: usize = 3;
/// A zone out of reach is tried with one request this often.
const PROBE_INTERVAL_MS: u64 = 400;
/// Failures this far apart have nothing to do with each other.
const MEMORY_MS: u64 = 3_000;

#[derive(Debug, Default)]
struct Zone {
    record_failure: BTreeSet<InstanceId>,
    last_failure_ms: u64,
    next_probe_ms: u64,
}

/// What is known of the zones.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    zones: BTreeMap<ZoneName, Zone>,
}

impl ZoneReachability {
    /// Notes that an upstream did not accept a connection in time.
    pub fn record_failure(&mut self, zone: &ZoneName, upstream: &InstanceId, now_ms: u64) {
        let state = self.zones.entry(zone.clone()).or_default();
        if now_ms.saturating_sub(state.last_failure_ms) > MEMORY_MS {
            state.record_failure.clear();
        }
        state.record_failure.insert(upstream.clone());
        state.last_failure_ms = now_ms;
        state.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
    }

    /// Notes that an upstream of a zone has answered.
    pub fn record_answer(&mut self, zone: &ZoneName) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.record_failure.clear();
        }
    }

    /// Returns whether requests may go to a zone now. A probe that is granted is not granted again at once.
    ///
    /// ```
    /// use daisysill_core::zone_reachability::ZoneReachability;
    /// let mut reach = ZoneReachability::default();
    /// let zone = "east".into();
    /// for upstream in ["a", "b", "c"] {
    ///     reach.failed(&zone, &upstream.into(), 0);
    /// }
    /// assert!(!reach.admits(&zone, 100));
    /// assert!(reach.admits(&zone, 500) && !reach.admits(&zone, 510));
    /// reach.answered(&zone);
    /// assert!(reach.admits(&zone, 520));
    /// ```
    pub fn admits(&mut self, zone: &ZoneName, now_ms: u64) -> bool {
        let Some(state) = self.zones.get_mut(zone) else { return true };
        if state.record_failure.len() < FAILED_UPSTREAMS
            || now_ms.saturating_sub(state.last_failure_ms) > MEMORY_MS
        {
            return true;
        }
        let probes = now_ms >= state.next_probe_ms;
        if probes {
            state.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
        }
        probes
    }
}
