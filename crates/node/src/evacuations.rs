//! Evacuated availability zones on this node: puts the marks of the agreed configuration in force, and counts what still
//! runs in the zones.

use std::collections::{BTreeMap, BTreeSet};

use daisysill_cluster::BootInstant;
use daisysill_core::{
    evacuation::{EvacuatedZones, EvacuationChange},
    ids::{InstanceId, ZoneName},
};
use daisysill_wire::http_types::EvacuatedZone;

use crate::{
    metrics::ZoneLabels,
    upstreams::{Inner, UpstreamTable},
};

/// The evacuated zones, and since when this node has known of each.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    zones: EvacuatedZones,
    known_since: BTreeMap<ZoneName, BootInstant>,
}

impl Evacuations {
    /// Returns whether a zone is evacuated.
    pub(crate) fn contains(&self, zone: &str) -> bool {
        !self.known_since.is_empty() && self.zones.contains(&ZoneName::from(zone))
    }

    /// Replaces the zones by those that are marked; returns what that changes.
    fn replace(&mut self, marks: &BTreeSet<InstanceId>) -> EvacuationChange {
        let change = self.zones.replace(marks);
        for zone in &change.ended {
            self.known_since.remove(zone);
        }
        for zone in &change.begun {
            self.known_since.insert(zone.clone(), BootInstant::now());
        }
        change
    }
}

impl Inner {
    /// Returns the number of requests of this node that run in a zone.
    fn in_flight_in(&self, zone: &ZoneName) -> u64 {
        let in_zone = self.entries.values().filter(|e| e.listed.availability_zone == zone.as_str());
        in_zone.map(|entry| entry.in_flight).sum()
    }
}

impl UpstreamTable {
    /// Puts the zones with a mark in force as evacuated.
    pub(crate) fn apply_evacuations(&self, marks: &BTreeSet<InstanceId>) {
        let mut inner = self.lock();
        let change = inner.evacuations.replace(marks);
        if change == EvacuationChange::default() {
            return;
        }
        for zone in &change.begun {
            log::info!("evacuation of zone {zone} begins, {} requests in flight", inner.in_flight_in(zone));
        }
        for zone in &change.ended {
            log::info!("evacuation of zone {zone} ends, {} requests in flight", inner.in_flight_in(zone));
            self.metrics.evacuated_in_flight.remove(&ZoneLabels { zone: zone.to_string() });
        }
        self.set_gauges(&inner);
        let Inner { entries, live, evacuations, .. } = &mut *inner;
        for (id, entry) in entries.iter_mut() {
            entry.evacuated = evacuations.contains(&entry.listed.availability_zone);
            self.update_view(live, id, entry);
        }
    }

    /// Returns whether an upstream or a store is in an evacuated zone.
    pub(crate) fn is_evacuated(&self, id: &InstanceId) -> bool {
        self.lock().entries.get(id).is_some_and(|entry| entry.evacuated)
    }

    /// Returns whether an upstream with this base URL is in an evacuated zone.
    pub(crate) fn is_url_evacuated(&self, url: &str) -> bool {
        let inner = self.lock();
        let mut evacuated = inner.entries.values().filter(|entry| entry.evacuated);
        evacuated.any(|entry| entry.listed.url.trim_end_matches('/') == url.trim_end_matches('/'))
    }

    /// Returns the evacuated zones for the admin API.
    pub(crate) fn evacuated_zones(&self) -> Vec<EvacuatedZone> {
        let inner = self.lock();
        let zones = inner.evacuations.known_since.iter().map(|(zone, since)| EvacuatedZone {
            zone: zone.to_string(),
            known_for_ms: u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX),
            in_flight: inner.in_flight_in(zone),
        });
        zones.collect()
    }

    /// Returns the names of the zones of all listed upstreams and stores.
    pub(crate) fn listed_zones(&self) -> BTreeSet<String> {
        let entries = &self.lock().entries;
        let listed = entries.values().filter(|entry| entry.state != "gone");
        listed.map(|entry| entry.listed.availability_zone.clone()).collect()
    }

    /// Updates the gauge of the requests that still run in evacuated zones.
    pub(crate) fn update_evacuation_gauges(&self) {
        // The lock is kept, so that the gauge of a zone whose evacuation ends meanwhile is not created again.
        self.set_gauges(&self.lock());
    }
    fn set_gauges(&self, inner: &Inner) {
        for zone in inner.evacuations.zones.iter() {
            let gauge =
                self.metrics.evacuated_in_flight.get_or_create(&ZoneLabels { zone: zone.to_string() });
            gauge.set(i64::try_from(inner.in_flight_in(zone)).unwrap_or(i64::MAX));
        }
    }
}
