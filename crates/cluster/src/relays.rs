//! Control nodes as relays between the leader and the entry nodes.
//!
//! Each control node answers the polls of some entry nodes, reports the sum of their soft state to the leader, and
//! learns which other control nodes do the same.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::ids::{InstanceId, ZoneName};
use daisysill_wire::peer::{ControlNode, PeerClient, RelayReply, RelayReport};
use futures::{FutureExt, future::join};
use tokio::{sync::watch, time::sleep};

use crate::{
    clock::BootInstant,
    driver_input::ReplicaView,
    link::{Links, NewerCall},
    observer::Observer,
    propose::LeaderHint,
    published_upstreams::PublishedStore,
    soft_state::SoftState,
};

/// A control node that has not reported for this time is no longer handed out to entry nodes.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// A node that was last known as a control node this long ago may be an entry node; longer than one counts that ended.
const CONTROL_NODE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two reports while the entry nodes have work in flight. Part of the delay with which nodes know of
/// each other's requests.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two reports otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a change of the entry nodes that poll is reported.
const NAMES_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which unchanged names are reported again, since the leader may have started anew.
const NAMES_REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Relay {
    reported_at: BootInstant,
    zone: ZoneName,
    /// Number of entry nodes that poll it.
    entry_nodes: u32,
    /// Their names; `None` from a build that does not state them.
    names: Option<Vec<InstanceId>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Control nodes that reported to this node as the leader.
    reporting: BTreeMap<InstanceId, Relay>,
    /// The control nodes that the leader named.
    named: Vec<ControlNode>,
    /// When each node was last known as a control node that reports or is named.
    seen_at: BTreeMap<InstanceId, BootInstant>,
}

/// The control nodes that answer polls, as far as this node knows.
#[derive(Debug, Default)]
pub(crate) struct Relays(Mutex<Inner>);

impl Relays {
    /// Records the report of a control node to this node as the leader.
    pub(crate) fn record(&self, name: &InstanceId, report: &RelayReport) {
        let mut inner = self.lock();
        inner.mark_seen(name);
        let names = inner.reporting.remove(name).and_then(|known| known.names);
        let relay = Relay {
            reported_at: BootInstant::now(),
            zone: report.zone.clone(),
            entry_nodes: report.entry_nodes,
            names,
        };
        inner.reporting.insert(name.clone(), relay);
    }

    /// Records which entry nodes poll a control node that reports to this node as the leader.
    pub(crate) fn record_names(&self, name: &InstanceId, nodes: Vec<InstanceId>) {
        if let Some(relay) = self.lock().reporting.get_mut(name) {
            relay.names = Some(nodes);
        }
    }

    /// Returns the leader `own` and the control nodes that recently reported to it.
    pub(crate) fn reporting(&self, own: ControlNode) -> Vec<ControlNode> {
        let mut inner = self.lock();
        inner.discard_outdated();
        let others = inner.reporting.iter();
        let others = others.map(|(name, relay)| ControlNode { name: name.clone(), zone: relay.zone.clone() });
        std::iter::once(own).chain(others).collect()
    }

    /// Returns the number of entry nodes that recently polled this node, which has the names `own`, or the reporting control nodes. One
    /// that went from one to another counts once.
    pub(crate) fn count_entry_nodes(&self, own: &[InstanceId]) -> u32 {
        let mut inner = self.lock();
        inner.discard_outdated();
        let reported = inner.reporting.values().filter_map(|relay| relay.names.as_ref()).flatten();
        let reported = reported.filter(|name| !inner.is_control_node(name));
        let names: BTreeSet<&InstanceId> = reported.chain(own).collect();
        let unnamed: u32 = inner
            .reporting
            .values()
            .filter(|relay| relay.names.is_none())
            .map(|relay| relay.entry_nodes)
            .sum();
        u32::try_from(names.len()).unwrap_or(u32::MAX).saturating_add(unnamed)
    }

    /// Returns whether a node is known as a control node.
    pub(crate) fn is_control_node(&self, name: &InstanceId) -> bool {
        self.lock().is_control_node(name)
    }

    /// Returns the control nodes that the leader named last.
    pub(crate) fn named(&self) -> Vec<ControlNode> {
        self.lock().named.clone()
    }

    /// Replaces the control nodes that the leader names.
    fn set_named(&self, nodes: Vec<ControlNode>) {
        let mut inner = self.lock();
        for node in &nodes {
            inner.mark_seen(&node.name);
        }
        if inner.named != nodes {
            let names: Vec<&str> = nodes.iter().map(|node| node.name.as_str()).collect();
            log::info!("control nodes that answer polls: {}", names.join(", "));
            inner.named = nodes;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn mark_seen(&mut self, name: &InstanceId) {
        self.seen_at.insert(name.clone(), BootInstant::now());
    }

    fn is_control_node(&self, name: &InstanceId) -> bool {
        self.seen_at.get(name).is_some_and(|at| at.elapsed() < CONTROL_NODE_TIMEOUT)
            || self.named.iter().any(|node| node.name == *name)
    }

    fn discard_outdated(&mut self) {
        self.seen_at.retain(|_, at| at.elapsed() < CONTROL_NODE_TIMEOUT);
        self.reporting.retain(|_, relay| relay.reported_at.elapsed() < REPORT_TIMEOUT);
    }
}

/// Reports to the leader on behalf of a control node.
#[derive(Clone, Debug)]
pub(crate) struct RelayReporter {
    /// Name of this node.
    name: InstanceId,
    zone: ZoneName,
    links: Links,
    published: Arc<PublishedStore>,
    soft_state: Arc<SoftState>,
    relays: Arc<Relays>,
    replica: watch::Receiver<ReplicaView>,
    /// The leader as the polls report it, while the replica knows none because it has halted.
    leader: LeaderHint,
}

impl RelayReporter {
    /// Creates the reporter of a control node in `zone`, which shares its state with `observer`.
    pub(crate) fn new(observer: &Observer, zone: ZoneName, relays: Arc<Relays>) -> Self {
        Self {
            name: observer.name.clone(),
            zone,
            links: observer.links.clone(),
            published: Arc::clone(&observer.published),
            soft_state: Arc::clone(&observer.soft_state),
            relays,
            replica: observer.replica.clone(),
            leader: observer.leader.clone(),
        }
    }

    /// Reports until the task is aborted, except while this node leads or knows no leader.
    pub(crate) async fn run(self) {
        join(self.report_loads(), self.name_entry_nodes()).await;
    }

    async fn report_loads(&self) {
        loop {
            let is_busy = match self.leader() {
                Some(leader) => self.report(&leader).await,
                None => false,
            };
            sleep(if is_busy { BUSY_INTERVAL } else { IDLE_INTERVAL }).await;
        }
    }

    /// Names the entry nodes that poll this node to the leader.
    async fn name_entry_nodes(&self) {
        let mut reported: Option<(InstanceId, Vec<InstanceId>, BootInstant)> = None;
        loop {
            sleep(NAMES_INTERVAL).await;
            let Some(leader) = self.leader() else { continue };
            let names = self.published.polling_names();
            let is_known = reported.as_ref().is_some_and(|(to, known, at)| {
                *to == leader && *known == names && at.elapsed() < NAMES_REPEAT_INTERVAL
            });
            if !is_known && self.report_names(&leader, names.clone()).await {
                reported = Some((leader, names, BootInstant::now()));
            }
        }
    }

    /// Returns whether the leader has the names.
    async fn report_names(&self, leader: &InstanceId, names: Vec<InstanceId>) -> bool {
        let Some(link) = self.links.get(leader) else { return false };
        let call = |client: PeerClient, context| {
            async move { client.name_entry_nodes(context, names).await }.boxed()
        };
        link.call_newer(NewerCall::NameEntryNodes, CALL_TIMEOUT, call).await.is_ok()
    }

    fn leader(&self) -> Option<InstanceId> {
        let known = self.replica.borrow().status.as_ref()?.leader.clone();
        known.or_else(|| self.leader.get()).filter(|leader| *leader != self.name)
    }

    /// Reports to the leader; returns whether entry nodes have work in flight.
    async fn report(&self, leader: &InstanceId) -> bool {
        let Some(link) = self.links.get(leader) else { return false };
        let (loads, used_parts) = self.soft_state.relay_report();
        let reported = loads.clone();
        let report = RelayReport {
            zone: self.zone.clone(),
            entry_nodes: self.published.polling_entry_nodes(),
            loads,
            used_parts,
        };
        let call = |client: PeerClient, context| async move { client.relay(context, report).await }.boxed();
        // The next report replaces this one; only the uses of stored parts in it are lost, which are hints.
        let Ok(reply) = link.call(CALL_TIMEOUT, call).await else { return false };
        let RelayReply { is_leader: true, loads: totals, control_nodes } = reply else { return false };
        self.soft_state.apply_relay_totals(&totals, &reported);
        self.relays.set_named(control_nodes);
        !totals.is_empty()
    }
}
