//! One entry of the upstream table: what this node knows about an instance.

use std::collections::BTreeSet;

use daisysill_core::{
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    view::{UpstreamState, UpstreamView},
};
use daisysill_wire::http_types::{EngineLoad, InstanceKind, PlatformInstance, StoreUsage};

/// An upstream or a store.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The instance as the platform last listed it.
    pub(crate) listed: PlatformInstance,
    /// State of the upstream state chart.
    pub(crate) state: String,
    /// Who reports the instance as leaving; empty if nobody does.
    pub(crate) leaving: BTreeSet<LeavingSource>,
    /// The last load report of an engine.
    pub(crate) load: Option<EngineLoad>,
    /// The last usage report of a store.
    pub(crate) usage: Option<StoreUsage>,
    /// What the placement view was last updated with.
    pub(crate) last_view: Option<UpstreamView>,
    /// Sequence number from which the next poll reads cache events.
    pub(crate) next_event: u64,
    /// Incarnation of the engine process whose cache events were last applied.
    pub(crate) incarnation: u64,
    /// Dispatches of this node in progress.
    pub(crate) in_flight: u64,
    /// Whether its availability zone is evacuated. Kept apart from `state`, so that orders go on.
    pub(crate) evacuated: bool,
}

/// Whether an upstream may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    Live,
    /// It missed a poll, and gets requests only if no upstream is live.
    Suspect,
    /// An engine whose weight version is not known yet.
    VersionUnknown,
    Evacuated,
    Leaving,
    Unreachable,
}

/// Who reports an upstream as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LeavingSource {
    /// The platform's list.
    PlatformList,
    /// An operator's drain mark.
    DrainMark,
    /// The upstream, by refusing a request of this node.
    OwnRefusal,
    /// The upstream, by refusing a request of another node.
    PeerRefusal,
}

impl Entry {
    /// Creates the entry of an instance that is listed for the first time; its state is `unknown`.
    pub(crate) fn new(listed: PlatformInstance) -> Self {
        Self {
            listed,
            state: "unknown".to_owned(),
            leaving: BTreeSet::new(),
            load: None,
            usage: None,
            last_view: None,
            next_event: 0,
            incarnation: 0,
            in_flight: 0,
            evacuated: false,
        }
    }

    /// Returns whether enough is known to send requests: of an engine, the weight version it runs.
    pub(crate) fn is_usable(&self) -> bool {
        self.listed.kind != InstanceKind::Engine || self.load.is_some()
    }

    /// Returns whether this is a store that KV pieces may be fetched from and exported to.
    pub(crate) fn is_reachable_store(&self) -> bool {
        self.listed.kind == InstanceKind::Store && self.state == "live" && !self.evacuated
    }

    /// Returns whether the upstream refused work from this node because it is leaving.
    pub(crate) fn refused_here(&self) -> bool {
        self.leaving.contains(&LeavingSource::OwnRefusal)
    }

    /// Sets whether `source` reports the upstream as leaving; returns whether it did before.
    pub(crate) fn set_leaving(&mut self, source: LeavingSource, leaving: bool) -> bool {
        if leaving { !self.leaving.insert(source) } else { self.leaving.remove(&source) }
    }

    /// Returns whether the upstream may get requests, and why not.
    pub(crate) fn availability(&self) -> Availability {
        match self.state.as_str() {
            _ if !self.is_usable() => Availability::VersionUnknown,
            _ if self.evacuated => Availability::Evacuated,
            "live" => Availability::Live,
            "suspect" => Availability::Suspect,
            "leaving" => Availability::Leaving,
            _ => Availability::Unreachable,
        }
    }

    /// Returns why the upstream gets no requests, for `daisysill where`; `None` if it may.
    pub(crate) fn exclusion(&self) -> Option<String> {
        let reason = match self.availability() {
            Availability::Live | Availability::Suspect => return None,
            Availability::VersionUnknown => "no load report yet, so that its weight version is not known",
            Availability::Evacuated => "its zone is evacuated",
            Availability::Unreachable => return Some(format!("cannot be reached (state {})", self.state)),
            Availability::Leaving => match self.leaving.first() {
                Some(LeavingSource::PlatformList) => "listed as leaving",
                Some(LeavingSource::DrainMark) => "draining",
                Some(LeavingSource::OwnRefusal | LeavingSource::PeerRefusal) | None => {
                    "leaving: it refused a request for that reason"
                }
            },
        };
        Some(reason.to_owned())
    }

    /// Returns the upstream as placement decisions see it; one that cannot get requests yet is down.
    pub(crate) fn view(&self, id: &InstanceId) -> UpstreamView {
        let load = self.load.as_ref();
        UpstreamView {
            id: id.clone(),
            service: ServiceName::from(self.listed.service.as_str()),
            zone: ZoneName::from(self.listed.availability_zone.as_str()),
            state: match self.availability() {
                Availability::Live => UpstreamState::Live,
                Availability::Suspect => UpstreamState::Suspect,
                Availability::Evacuated | Availability::Leaving => UpstreamState::Leaving,
                Availability::VersionUnknown | Availability::Unreachable => UpstreamState::Down,
            },
            weight_version: WeightVersion(load.map_or(0, |l| l.weight_version)),
        }
    }
}
