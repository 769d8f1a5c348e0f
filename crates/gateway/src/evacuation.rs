//! Evacuated availability zones on an entry node: put the marks of the agreed configuration in force, and count what still runs
//! in the zones.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
};

use daisysill_core::{
    evacuation::{EvacuatedZones, EvacuationChange},
    ids::{InstanceId, ZoneName},
};

use crate::{
    forward::Gateway,
    metrics::ZoneLabels,
    upstreams::{Upstream, Upstreams},
};

/// The evacuated zones; clones share them, so that each upstream can tell whether its zone is one.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: Rc<RefCell<EvacuatedZones>>,
    /// Whether there are any; spares the look-up of a name for each upstream of each choice.
    has_any: Rc<Cell<bool>>,
}

impl Evacuations {
    /// Replaces the zones by those with a mark; returns what that changes.
    pub fn replace(&self, marks: &BTreeSet<InstanceId>) -> EvacuationChange {
        let mut zones = self.zones.borrow_mut();
        let change = zones.replace(marks);
        self.has_any.set(zones.iter().next().is_some());
        change
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.has_any.get() && self.zones.borrow().contains(zone)
    }

    /// Returns the names of the zones for the reason of a refusal; empty if there are none.
    pub(crate) fn description(&self) -> String {
        let names: Vec<String> = self.names().iter().map(ToString::to_string).collect();
        if names.is_empty() { String::new() } else { format!("; evacuated zones {}", names.join(", ")) }
    }

    fn names(&self) -> Vec<ZoneName> {
        self.zones.borrow().iter().cloned().collect()
    }
}

impl Upstreams {
    /// Returns the listed upstreams of a zone.
    fn in_zone(&self, zone: &ZoneName) -> Vec<Rc<Upstream>> {
        let by_service = self.by_service.borrow();
        by_service.values().flatten().filter(|upstream| upstream.entry.zone == *zone).cloned().collect()
    }

    /// Returns the number of requests of this node that run in a zone.
    pub fn in_flight_in(&self, zone: &ZoneName) -> u32 {
        self.in_zone(zone).iter().map(|upstream| upstream.in_flight()).sum()
    }
}

impl Gateway {
    /// Puts the zones with a mark in force as evacuated.
    pub(crate) fn install_evacuations(&self, marks: &BTreeSet<InstanceId>) {
        let change = self.upstreams.evacuations().replace(marks);
        for zone in &change.begun {
            let (upstreams, in_flight) = self.load_in(zone);
            let config_age_ms = self.cluster.config_age().map(|age| age.as_millis());
            tracing::info!(
                event = "evacuation_begun",
                zone = zone.as_str(),
                upstreams,
                in_flight,
                config_age_ms
            );
        }
        for zone in &change.ended {
            self.end_evacuation(zone);
        }
        self.update_evacuation_gauges();
    }

    /// Called when the evacuation of a zone ends. What this node knew of the upstreams there may be outdated: nothing was sent to
    /// them meanwhile, and they may have been started again.
    fn end_evacuation(&self, zone: &ZoneName) {
        let (upstreams, in_flight) = self.load_in(zone);
        tracing::info!(event = "evacuation_ended", zone = zone.as_str(), upstreams, in_flight);
        self.upstreams.mark_zone_unknown(zone, &self.process_clock);
        self.metrics.evacuated_in_flight.remove(&ZoneLabels { zone: zone.to_string() });
        self.wake_waiting();
    }

    fn load_in(&self, zone: &ZoneName) -> (usize, u32) {
        (self.upstreams.in_zone(zone).len(), self.upstreams.in_flight_in(zone))
    }

    /// Updates the gauge of the requests that still run in evacuated zones.
    pub(crate) fn update_evacuation_gauges(&self) {
        for zone in self.upstreams.evacuations().names() {
            let in_flight = self.upstreams.in_flight_in(&zone);
            let labels = ZoneLabels { zone: zone.to_string() };
            self.metrics.evacuated_in_flight.get_or_create(&labels).set(in_flight.into());
        }
    }
}
