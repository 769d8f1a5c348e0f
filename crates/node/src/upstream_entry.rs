//! One upstream as a node sees it.

use std::collections::BTreeSet;

use daisysill_core::{
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    view::{UpstreamState, UpstreamView},
};
use daisysill_wire::http_types::{EngineLoad, InstanceKind, PlatformInstance, StoreUsage};

/// One upstream as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// As the platform lists it.
    pub(crate) listed: PlatformInstance,
    /// State of the upstream chart.
    pub(crate) state: String,
    /// Who says that it is leaving.
    pub(crate) leaving: BTreeSet<LeavingCause>,
    /// The last load report of an engine.
    pub(crate) load: Option<EngineLoad>,
    /// The last usage report of a store.
    pub(crate) usage: Option<StoreUsage>,
    /// What the view for decisions has of it.
    pub(crate) shown: Option<UpstreamView>,
    /// Where its cache events go on.
    pub(crate) next_event: u64,
    /// The incarnation whose cache events were read.
    pub(crate) incarnation: u64,
    /// Calls in progress.
    pub(crate) in_flight: u64,
}

/// Who says that an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LeavingCause {
    /// The platform's list.
    Listed,
    /// A drain mark.
    Drained,
    /// The upstream itself, to this node.
    RefusedHere,
    /// The upstream itself, to another node.
    RefusedElsewhere,
}

impl Entry {
    /// Creates the entry of an instance that is listed for the first time.
    pub(crate) fn new(listed: PlatformInstance) -> Self {
        Self {
            listed,
            state: "unknown".to_owned(),
            leaving: BTreeSet::new(),
            load: None,
            usage: None,
            shown: None,
            next_event: 0,
            incarnation: 0,
            in_flight: 0,
        }
    }

    /// Returns whether the upstream can get work: an engine must have told which weight version it runs.
    pub(crate) fn is_known(&self) -> bool {
        self.listed.kind != InstanceKind::Engine || self.load.is_some()
    }

    /// Returns whether the upstream refused work from this node because it is leaving.
    pub(crate) fn refused_here(&self) -> bool {
        self.leaving.contains(&LeavingCause::RefusedHere)
    }

    /// Sets whether a cause holds; returns whether it held before.
    pub(crate) fn set_leaving(&mut self, cause: LeavingCause, holds: bool) -> bool {
        if holds { !self.leaving.insert(cause) } else { self.leaving.remove(&cause) }
    }

    /// Returns the upstream as the decisions see it.
    pub(crate) fn view(&self, id: &InstanceId) -> UpstreamView {
        let load = self.load.as_ref();
        UpstreamView {
            id: id.clone(),
            service: ServiceName::from(self.listed.service.as_str()),
            zone: ZoneName::from(self.listed.availability_zone.as_str()),
            state: match self.state.as_str() {
                _ if !self.is_known() => UpstreamState::Down,
                "live" => UpstreamState::Live,
                "suspect" => UpstreamState::Suspect,
                "leaving" => UpstreamState::Leaving,
                _ => UpstreamState::Down,
            },
            weight_version: WeightVersion(load.map_or(0, |l| l.weight_version)),
        }
    }
}
