//! The methods of the handle for soft state shared between the leader and entry nodes, and for freshness and role.

use std::{sync::Arc, time::Duration};

use daisysill_control::Role as ReplicaRole;
use daisysill_core::ids::{ServiceName, SoftwareVersion, WeightVersion};
use daisysill_wire::peer::{
    ColdUpstream, PublishedUpstreams, Spread, StoredPart, StreamOrigin, UpstreamCrash, UpstreamEntry,
    UpstreamLoad, UpstreamSoftware,
};
use tokio::sync::watch;

use crate::{
    clock::BootInstant, cold::ColdReading, handle::ClusterHandle, outcome_queue::TimedOutcome,
    software::start_of, view_store::ConfirmedView,
};

impl ClusterHandle {
    /// Returns a receiver of the upstreams that the leader publishes.
    pub fn published_upstreams(&self) -> watch::Receiver<Arc<PublishedUpstreams>> {
        self.inner.published.subscribe()
    }

    /// Returns the time since the published upstreams were known to be current; `None` before the first publication.
    pub fn published_upstreams_age(&self) -> Option<Duration> {
        self.inner.published.age()
    }

    /// Records the software versions of listed upstreams. To be called before the list is published or used.
    pub fn record_software(&self, software: Vec<UpstreamSoftware>) {
        self.inner.soft_state.software.record(software);
    }

    /// Returns the software version of an upstream; `None` if it is not known.
    pub fn software_of(&self, upstream: &UpstreamEntry) -> Option<SoftwareVersion> {
        self.inner.soft_state.software.get(&start_of(upstream))
    }

    /// Records how long each upstream stays cold, by a list read at `at`. To be called before the list is published or used.
    pub fn record_cold(&self, times: Vec<ColdUpstream>, at: BootInstant) {
        self.inner.soft_state.cold.record(times, at);
    }

    /// Returns a receiver of the newest reading of the list that says which upstreams are cold.
    pub fn cold_readings(&self) -> watch::Receiver<Arc<ColdReading>> {
        self.inner.soft_state.cold.subscribe()
    }

    /// Sets whether this node waits for a newer reading, since it does not know the state of some upstream.
    pub fn await_cold_reading(&self, is_awaited: bool) {
        self.inner.soft_state.cold.set_awaited(is_awaited);
    }

    /// Records that a stream, given by a hash, began at a software version, and reports it to the control nodes.
    pub fn record_stream_origin(&self, stream: u64, software: SoftwareVersion) {
        let origins = vec![StreamOrigin { stream, software }];
        self.inner.soft_state.origins.record(origins, Spread::ToControlNodes);
    }

    /// Returns the software version at which a stream of a service began, given by its hash; `None` if neither this node nor
    /// a control node in reach can tell.
    pub async fn stream_origin(&self, stream: u64, service: &ServiceName) -> Option<SoftwareVersion> {
        if let Some(software) = self.inner.soft_state.origins.find(stream) {
            return Some(software);
        }
        let (peers, service) = (self.inner.origin_peers.clone(), service.clone());
        // Runs on the cluster's runtime, to which the connections belong.
        let question = self.inner.runtime.spawn(async move { peers.ask(stream, &service).await });
        question.await.ok().flatten()
    }

    /// Publishes upstreams that the platform listed at `at` to all nodes. To be called by the leader only.
    pub fn publish_upstreams(&self, upstreams: Vec<UpstreamEntry>, at: BootInstant) {
        self.inner.soft_state.software.prune(&upstreams);
        self.inner.soft_state.record_listed(at, &upstreams);
        let has_newly_cold = self.inner.soft_state.cold.take_newly_cold();
        self.inner.published.publish(upstreams, at, has_newly_cold);
    }

    /// Replaces this node's work in flight, by upstream; the leader adds up that of all nodes.
    pub fn set_loads(&self, loads: Vec<UpstreamLoad>) {
        self.inner.soft_state.set_own_loads(loads);
    }

    /// Returns the work in flight of the other entry nodes at an upstream, given by the hash of its id; zero if the
    /// totals are too old.
    pub fn other_nodes_load(&self, upstream: u64) -> UpstreamLoad {
        self.inner.soft_state.other_nodes_load(upstream)
    }

    /// Returns the location of a stored part, if this node's catalog was updated within `limit`.
    pub fn stored_part(&self, part: u64, limit: Duration) -> Option<StoredPart> {
        self.inner.soft_state.find(part, limit)
    }

    /// Records that this node has used a stored part; reported to the leader with the next poll.
    pub fn record_part_use(&self, part: u64) {
        self.inner.soft_state.record_use(part);
    }

    /// Returns a lower bound of the clock of upstreams and stores; `None` until it is known.
    pub fn upstream_clock_ms(&self) -> Option<u64> {
        self.inner.soft_state.upstream_clock_ms()
    }

    /// Starts to maintain the catalog of stored parts. To be called by the leader only. It continues with a recent
    /// copy of the previous leader's catalog, which [`Self::publish_store`] then corrects; without one it is empty.
    pub fn open_catalog(&self) {
        let source = format!("{} {:x}", self.inner.proposer.name, rand::random::<u64>());
        self.inner.soft_state.open_catalog(source);
    }

    /// Stops maintaining the catalog; entry nodes then receive no further updates from this node.
    pub fn close_catalog(&self) {
        self.inner.soft_state.close_catalog();
    }

    /// Publishes changes of the catalog: the hash of a part with its location, or with `None` if it must no longer be
    /// fetched. `clock` is a reading of a store's clock in ms and a time not before the reading.
    pub fn publish_stored_parts(
        &self,
        changes: Vec<(u64, Option<StoredPart>)>,
        clock: Option<(u64, BootInstant)>,
    ) {
        self.inner.soft_state.publish(changes, clock);
    }

    /// Publishes the complete content of a store, identified by the hash of its address; its other parts must no longer
    /// be fetched.
    pub fn publish_store(&self, store: u32, content: Vec<StoredPart>) {
        self.inner.soft_state.publish_store(store, content);
    }

    /// Returns the uses of stored parts that entry nodes have reported since the previous call.
    pub fn take_used_parts(&self) -> Vec<u64> {
        self.inner.soft_state.take_reported_uses()
    }

    /// Reports that a request was running when its upstream crashed.
    pub fn report_crash(&self, crash: UpstreamCrash) {
        if self.is_leader() {
            let _context = self.inner.runtime.enter();
            return self.inner.published.publish_crashes_soon(&[crash]);
        }
        self.inner.crash_queue.add(crash);
    }

    /// Reports that a request with these parts of its prompt was running when its upstream crashed. It was sent at
    /// `sent_at` or later; its connection broke at `broke_at`.
    pub fn report_broken_prompt(
        &self,
        parts: Vec<u64>,
        crash: UpstreamCrash,
        sent_at: BootInstant,
        broke_at: BootInstant,
    ) {
        self.report_outcome(TimedOutcome::broken(parts, crash, sent_at, broke_at));
    }

    /// Reports that a request has completed which is known by these keys: its fingerprint and the parts of its prompt.
    pub fn report_completion(&self, keys: Vec<u64>) {
        self.report_outcome(TimedOutcome::completed(keys));
    }

    fn report_outcome(&self, outcome: TimedOutcome) {
        if self.is_leader() {
            let _context = self.inner.runtime.enter();
            return self.inner.published.record_outcomes(&[outcome]);
        }
        self.inner.outcome_queue.add([outcome]);
    }

    /// Returns when a model's target version was set; `None` while this node does not know it, as right after its start.
    pub fn target_version_set_at(&self, model: &str, version: WeightVersion) -> Option<BootInstant> {
        self.inner.gossip.views.target_ages.set_at(model, version)
    }

    /// Returns since when engines with a version of a model's weights are outdated, if they are: when the first newer
    /// version was set. `None` while this node does not know it.
    pub fn weights_outdated_since(&self, model: &str, version: WeightVersion) -> Option<BootInstant> {
        self.inner.gossip.views.target_ages.outdated_since(model, version)
    }

    /// Returns the configuration in force on this node with its confirmation. What is decided by data that was taken from a
    /// configuration is as recent as the confirmation that came with that configuration, not as [`Self::config_age`].
    pub fn confirmed_view(&self) -> ConfirmedView {
        self.inner.gossip.views.confirmed_view()
    }

    /// Returns the time, suspended time included, since this node's configuration was known to be the newest that a
    /// majority agreed on; `None` if it never was. For logs and reports; see [`Self::confirmed_view`].
    pub fn config_age(&self) -> Option<Duration> {
        self.inner.gossip.views.confirmed_at().map(BootInstant::elapsed)
    }

    /// Returns a receiver of whether a recent poll returned a current configuration and current upstreams.
    pub fn control_contact(&self) -> watch::Receiver<bool> {
        self.inner.control_contact.subscribe()
    }

    /// Returns whether this node's replica is the leader.
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
