//! Detection of unreachable availability zones from failed connections.
//!
//! While a zone is cut off, each of its upstreams would cost some requests a connection timeout. Once several
//! different upstreams of a zone could not be reached and none has answered since, the whole zone is avoided, apart
//! from periodic probes.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{InstanceId, ZoneName};

/// Different upstreams that must have failed before their zone is considered unreachable.
const MIN_FAILED_UPSTREAMS: usize = 3;
/// Interval at which a request may probe an unreachable zone.
const PROBE_INTERVAL_MS: u64 = 400;
/// Failures further apart than this are considered unrelated.
const FAILURE_WINDOW_MS: u64 = 3_000;

#[derive(Debug, Default)]
struct Zone {
    failed_upstreams: BTreeSet<InstanceId>,
    last_failure_ms: u64,
    next_probe_ms: u64,
}

/// Recent connection failures of all zones.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    zones: BTreeMap<ZoneName, Zone>,
}

impl ZoneReachability {
    /// Records that an upstream did not accept a connection in time.
    pub fn record_failure(&mut self, zone: &ZoneName, upstream: &InstanceId, now_ms: u64) {
        let state = self.zones.entry(zone.clone()).or_default();
        if now_ms.saturating_sub(state.last_failure_ms) > FAILURE_WINDOW_MS {
            state.failed_upstreams.clear();
        }
        state.failed_upstreams.insert(upstream.clone());
        state.last_failure_ms = now_ms;
        state.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
    }

    /// Records that an upstream of a zone answered, which makes the zone reachable.
    pub fn record_response(&mut self, zone: &ZoneName) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.failed_upstreams.clear();
        }
    }

    /// Returns whether a request may go to a zone. For an unreachable zone that admits one probe per interval.
    ///
    /// ```
    /// use daisysill_core::zone_reachability::ZoneReachability;
    /// let mut reachability = ZoneReachability::default();
    /// let zone = "east".into();
    /// for upstream in ["a", "b", "c"] {
    ///     reachability.record_failure(&zone, &upstream.into(), 0);
    /// }
    /// assert!(!reachability.admits(&zone, 100));
    /// assert!(reachability.admits(&zone, 500) && !reachability.admits(&zone, 510));
    /// reachability.record_response(&zone);
    /// assert!(reachability.admits(&zone, 520));
    /// ```
    pub fn admits(&mut self, zone: &ZoneName, now_ms: u64) -> bool {
        if self.is_reachable(zone, now_ms) {
            return true;
        }
        let Some(state) = self.zones.get_mut(zone) else { return true };
        let may_probe = now_ms >= state.next_probe_ms;
        if may_probe {
            state.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
        }
        may_probe
    }

    /// Returns whether a zone seems reachable. Unlike [`Self::admits`], this takes no probe.
    ///
    /// ```
    /// use daisysill_core::zone_reachability::ZoneReachability;
    /// assert!(ZoneReachability::default().is_reachable(&"zone-a".into(), 0));
    /// ```
    pub fn is_reachable(&self, zone: &ZoneName, now_ms: u64) -> bool {
        self.zones.get(zone).is_none_or(|state| {
            state.failed_upstreams.len() < MIN_FAILED_UPSTREAMS
                || now_ms.saturating_sub(state.last_failure_ms) > FAILURE_WINDOW_MS
        })
    }
}
