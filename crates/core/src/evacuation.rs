//! Evacuated availability zones: the IDs under which the replicated state marks them, and what a change of the marks begins and
//! ends. Handles the load of operators, who evacuate a few zones at a time.

use std::collections::BTreeSet;

use crate::ids::{InstanceId, ZoneName};

/// Precedes the name of the zone. No upstream has an ID with a space, so that a mark never applies to one.
const MARK_PREFIX: &str = "zone ";

/// Returns the ID under which the replicated state marks a zone as evacuated.
///
/// ```
/// use daisysill_core::evacuation::{marked_zones, zone_mark};
///
/// let marks = [zone_mark(&"north".into()), "worker-1".into()].into();
/// assert_eq!(marked_zones(&marks), ["north".into()].into());
/// ```
pub fn zone_mark(zone: &ZoneName) -> InstanceId {
    InstanceId::from(format!("{MARK_PREFIX}{zone}"))
}

/// Returns the zones that are marked as evacuated among the drain marks, most of which are of upstreams.
///
/// ```
/// use daisysill_core::evacuation::marked_zones;
///
/// assert!(marked_zones(&["zone-1".into()].into()).is_empty(), "the ID of an upstream");
/// ```
pub fn marked_zones(marks: &BTreeSet<InstanceId>) -> BTreeSet<ZoneName> {
    let names = marks.iter().filter_map(|mark| mark.as_str().strip_prefix(MARK_PREFIX));
    names.filter(|name| !name.is_empty()).map(ZoneName::from).collect()
}

/// What a change of the marks begins and ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zones whose evacuation comes into force.
    pub begun: Vec<ZoneName>,
    /// Zones whose evacuation ends.
    pub ended: Vec<ZoneName>,
}

/// The zones that get no new request.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones(BTreeSet<ZoneName>);

impl EvacuatedZones {
    /// Replaces the evacuated zones by those that are marked; returns what that changes.
    ///
    /// ```
    /// use daisysill_core::evacuation::{EvacuatedZones, zone_mark};
    ///
    /// let mut zones = EvacuatedZones::default();
    /// let change = zones.replace(&[zone_mark(&"north".into())].into());
    /// assert_eq!(change.begun, ["north".into()]);
    /// assert!(zones.contains(&"north".into()) && !zones.contains(&"south".into()));
    /// assert_eq!(zones.replace(&[].into()).ended, ["north".into()]);
    /// ```
    pub fn replace(&mut self, marks: &BTreeSet<InstanceId>) -> EvacuationChange {
        let marked = marked_zones(marks);
        let change = EvacuationChange {
            begun: marked.difference(&self.0).cloned().collect(),
            ended: self.0.difference(&marked).cloned().collect(),
        };
        self.0 = marked;
        change
    }

    /// Returns whether a zone is evacuated.
    ///
    /// ```
    /// use daisysill_core::evacuation::EvacuatedZones;
    ///
    /// assert!(!EvacuatedZones::default().contains(&"north".into()));
    /// ```
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.0.contains(zone)
    }

    /// Returns the evacuated zones in the order of their names.
    ///
    /// ```
    /// use daisysill_core::evacuation::EvacuatedZones;
    ///
    /// assert_eq!(EvacuatedZones::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &ZoneName> {
        self.0.iter()
    }
}
