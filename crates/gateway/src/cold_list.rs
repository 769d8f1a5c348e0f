//! Follows which upstreams are cold, and tells the choice.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use daisysill_core::{
    cold_start::ColdState,
    ids::{ServiceName, ZoneName},
};
use tokio::time::{Instant, timeout};

use crate::{
    cold::ColdRules,
    duration::millis,
    forward::Gateway,
    placement::Placement,
    process_clock::ProcessClock,
    upstreams::{Upstream, Upstreams},
};

/// Longest time between two updates of the gauge and the log.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of entry nodes while their real number is unknown: the largest deployment.
const MAX_ENTRY_NODES: u32 = 300;
/// Time after the first list for which the number is unknown. A leader that has just started learns it within this time.
const NODE_COUNT_DELAY: Duration = Duration::from_secs(2);

impl Gateway {
    /// Returns the limit of a service's cold upstreams; `None` if there is none.
    pub(crate) fn cold_rules(&self, service: &ServiceName) -> Option<ColdRules> {
        let table = self.routing.table()?;
        let limit = table.service(service)?.cold?;
        Some(ColdRules {
            clock: Rc::clone(&self.process_clock),
            nodes: self.cold_share_nodes(),
            division: self.bounds.cold.divide(limit.per_1000_s as f64 / 1_000.0),
            cold_start_ms: limit.start_ms,
            has_left_out: Cell::default(),
        })
    }

    /// Returns the number of entry nodes that share the rate of a cold upstream. With too low a number, as a node or the
    /// leader may have right after its start, the nodes together would exceed the rate.
    fn cold_share_nodes(&self) -> u32 {
        let known = self.peak_entry_nodes();
        if self.is_node_count_known() { known } else { known.max(MAX_ENTRY_NODES) }
    }

    /// Returns whether the leader has published a list a while ago, so that its number of entry nodes is complete.
    pub(crate) fn is_node_count_known(&self) -> bool {
        self.node_count_known_at.get().is_some_and(|at| Instant::now() >= at)
    }

    /// Records that the leader has published a list, with the number of entry nodes.
    pub(crate) fn record_node_count(&self) {
        let known_at = self.node_count_known_at.get().unwrap_or_else(|| Instant::now() + NODE_COUNT_DELAY);
        self.node_count_known_at.set(Some(known_at));
    }

    /// Counts a choice that found no place since shares of cold upstreams were used up.
    pub(crate) fn record_cold_hold(&self, rules: Option<&ColdRules>, placement: &Placement) {
        let has_place = matches!(placement, Placement::At(_));
        if !has_place && rules.is_some_and(|rules| rules.has_left_out.get()) {
            self.metrics.cold_share_exhausted.inc();
        }
    }

    /// Records that an upstream may have restarted, and be cold.
    pub(crate) fn mark_possibly_cold(&self, upstream: &Upstream) {
        upstream.hints().cold.mark_unknown(&self.process_clock);
    }

    /// Tells the listed upstreams what the newest reading of the list says, logs which have become cold or warm, and updates
    /// the gauge.
    pub(crate) fn apply_cold_reading(&self) {
        let reading = Arc::clone(&self.cluster.cold_readings().borrow());
        let read_ms = reading.read_at.map(|at| self.process_clock.at_ms(at));
        let (mut limited, mut is_unknown) = (0, false);
        for (service, upstreams) in self.upstreams.by_service.borrow().iter() {
            let Some(rules) = self.cold_rules(service) else { continue };
            for upstream in upstreams {
                let gate = &upstream.hints().cold;
                if let (Some(read_ms), Some(left)) = (read_ms, reading.left(&upstream.entry)) {
                    gate.record_list(&self.process_clock, read_ms, millis(left));
                }
                let state = gate.state(&rules);
                if gate.changed_state(&rules).is_some() {
                    let state = state_name(state);
                    tracing::info!(event = "cold_state", upstream = upstream.entry.id.as_str(), state);
                }
                limited += i64::from(state != ColdState::Warm);
                is_unknown |= state == ColdState::Unknown;
            }
        }
        self.metrics.cold_upstreams.set(limited);
        self.cluster.await_cold_reading(is_unknown);
    }
}

/// Follows the readings of the list that this node learns of.
pub(crate) async fn follow_cold_upstreams(gateway: Rc<Gateway>) {
    let mut readings = gateway.cluster.cold_readings();
    loop {
        readings.borrow_and_update();
        gateway.apply_cold_reading();
        if let Ok(Err(_)) = timeout(UPDATE_INTERVAL, readings.changed()).await {
            return;
        }
    }
}

impl Upstreams {
    /// Records that all upstreams of a zone may be cold, as after an evacuation.
    pub fn mark_zone_unknown(&self, zone: &ZoneName, clock: &ProcessClock) {
        let by_service = self.by_service.borrow();
        let in_zone = by_service.values().flatten().filter(|upstream| upstream.entry.zone == *zone);
        in_zone.for_each(|upstream| upstream.hints().cold.mark_unknown(clock));
    }
}

/// Returns the name of a state in the log.
const fn state_name(state: ColdState) -> &'static str {
    match state {
        ColdState::Cold => "cold",
        ColdState::Warm => "warm",
        ColdState::Unknown => "unknown",
    }
}
