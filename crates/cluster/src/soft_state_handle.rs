//! The part of the handle that concerns soft state shared with entry nodes, and what the leader is asked.

use std::{sync::Arc, time::Duration};

use daisysill_control::Role as ReplicaRole;
use daisysill_wire::peer::{PublishedUpstreams, StoredPart, UpstreamCrash, UpstreamEntry, UpstreamLoad};
use tokio::sync::watch;

use crate::{clock::BootInstant, handle::ClusterHandle};

impl ClusterHandle {
    /// Returns the board that the leader shares, and its changes.
    pub fn published_upstreams(&self) -> watch::Receiver<Arc<PublishedUpstreams>> {
        self.inner.published_upstreams.subscribe()
    }

    /// Returns the time since the board was known to be current; `None` if there is none yet.
    pub fn published_upstreams_age(&self) -> Option<Duration> {
        self.inner.published_upstreams.age()
    }

    /// Shares upstreams that were listed at `at` with all nodes; for the leader.
    pub fn publish_upstreams(&self, upstreams: Vec<UpstreamEntry>, at: BootInstant) {
        self.inner.published_upstreams.publish(upstreams, at);
    }

    /// Replaces this node's work in flight, which the leader adds up.
    pub fn set_loads(&self, loads: Vec<UpstreamLoad>) {
        self.inner.soft_report.set_own_loads(loads);
    }

    /// Returns the work in flight of the other entry nodes at an upstream, named by the hash of its id.
    pub fn other_nodes_load(&self, upstream: u64) -> UpstreamLoad {
        self.inner.soft_report.other_nodes_load(upstream)
    }

    /// Returns where a part of a prompt lies, if this node has learned of that within `limit`.
    pub fn stored_part(&self, part: u64, limit: Duration) -> Option<StoredPart> {
        self.inner.soft_report.find(part, limit)
    }

    /// Notes that this node has used a stored part.
    pub fn record_part_use(&self, part: u64) {
        self.inner.soft_report.note_used(part);
    }

    /// Returns the clock of the upstreams in ms, not ahead of theirs; `None` until it is known.
    pub fn upstream_clock_ms(&self) -> Option<u64> {
        self.inner.soft_report.stores_clock_ms()
    }

    /// Starts to keep the catalog of stored parts; for the leader.
    pub fn open_catalog(&self) {
        let source = format!("{} {:x}", self.inner.proposer.name, rand::random::<u64>());
        self.inner.soft_report.open_catalog(source);
    }

    /// Stops to keep the catalog.
    pub fn close_catalog(&self) {
        self.inner.soft_report.close_catalog();
    }

    /// Publishes changes of the catalog: a part with where it lies, or with `None` if it must not be fetched any
    /// more. `clock` is the clock of a store in ms and a time at which it had been reached.
    pub fn publish_stored_parts(
        &self,
        changes: Vec<(u64, Option<StoredPart>)>,
        clock: Option<(u64, BootInstant)>,
    ) {
        self.inner.soft_report.publish(changes, clock);
    }

    /// Returns the stored parts that entry nodes have used since the last call.
    pub fn take_used_parts(&self) -> Vec<u64> {
        self.inner.soft_report.take_used_by_all()
    }

    /// Reports that a request was running when its upstream crashed.
    pub fn report_crash(&self, sighting: UpstreamCrash) {
        if self.is_leader() {
            let name = &self.inner.proposer.name;
            return self.inner.published_upstreams.heard(name, &[sighting]);
        }
        self.inner.sightings.add(sighting);
    }

    /// Returns the time since this node's configuration was known to be the newest that a majority had agreed
    /// on, on a clock that counts suspended time; `None` if it never was.
    pub fn config_age(&self) -> Option<Duration> {
        self.inner.gossip.views.confirmed_at().map(BootInstant::elapsed)
    }

    /// Returns whether a voter answers with a current configuration, and the changes of that.
    pub fn in_touch(&self) -> watch::Receiver<bool> {
        self.inner.in_touch.subscribe()
    }

    /// Returns whether this node's replica leads.
    pub fn is_leader(&self) -> bool {
        let replica = self.inner.replica.borrow();
        replica.status.as_ref().is_some_and(|status| status.role == ReplicaRole::Leader)
    }

    /// Returns whether this node's replica has stopped after a failed write.
    pub fn has_halted(&self) -> bool {
        let replica = self.inner.replica.borrow();
        replica.status.as_ref().is_some_and(|status| status.role == ReplicaRole::Halted)
    }
}
