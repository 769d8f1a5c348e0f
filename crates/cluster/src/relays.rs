//! Control nodes as relays between the leader and the entry nodes.
//!
//! Each control node answers the polls of some entry nodes, reports the sum of their soft state to the leader, and
//! learns which other control nodes do the same.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::ids::{InstanceId, ZoneName};
use daisysill_wire::peer::{ControlNode, PeerClient, RelayReply, RelayReport};
use futures::FutureExt;
use tokio::{sync::watch, time::sleep};

use crate::{
    clock::BootInstant, driver_input::ReplicaView, link::Links, observer::Observer, propose::LeaderHint,
    published_upstreams::PublishedStore, soft_state::SoftState,
};

/// A control node that has not reported for this time is no longer handed out to entry nodes.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two reports while the entry nodes have work in flight. Part of the delay with which nodes know of
/// each other's requests.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two reports otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Relay {
    reported_at: BootInstant,
    zone: ZoneName,
    entry_nodes: u32,
}

#[derive(Debug, Default)]
struct Inner {
    /// Control nodes that reported to this node as the leader.
    reporting: BTreeMap<InstanceId, Relay>,
    /// The control nodes that the leader named.
    named: Vec<ControlNode>,
}

/// The control nodes that answer polls, as far as this node knows.
#[derive(Debug, Default)]
pub(crate) struct Relays(Mutex<Inner>);

impl Relays {
    /// Records the report of a control node to this node as the leader.
    pub(crate) fn record(&self, name: &InstanceId, report: &RelayReport) {
        let relay = Relay {
            reported_at: BootInstant::now(),
            zone: report.zone.clone(),
            entry_nodes: report.entry_nodes,
        };
        self.lock().reporting.insert(name.clone(), relay);
    }

    /// Returns the leader `own` and the control nodes that recently reported to it.
    pub(crate) fn reporting(&self, own: ControlNode) -> Vec<ControlNode> {
        let mut inner = self.lock();
        inner.discard_outdated();
        let others = inner.reporting.iter();
        let others = others.map(|(name, relay)| ControlNode { name: name.clone(), zone: relay.zone.clone() });
        std::iter::once(own).chain(others).collect()
    }

    /// Returns the number of entry nodes that recently polled the reporting control nodes.
    pub(crate) fn entry_nodes(&self) -> u32 {
        let mut inner = self.lock();
        inner.discard_outdated();
        inner.reporting.values().map(|relay| relay.entry_nodes).sum()
    }

    /// Returns whether a node is known as a control node.
    pub(crate) fn is_control_node(&self, name: &InstanceId) -> bool {
        let inner = self.lock();
        inner.reporting.contains_key(name) || inner.named.iter().any(|node| node.name == *name)
    }

    /// Returns the control nodes that the leader named last.
    pub(crate) fn named(&self) -> Vec<ControlNode> {
        self.lock().named.clone()
    }

    /// Replaces the control nodes that the leader names.
    fn set_named(&self, nodes: Vec<ControlNode>) {
        let mut inner = self.lock();
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
    fn discard_outdated(&mut self) {
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
        loop {
            let is_busy = match self.leader() {
                Some(leader) => self.report(&leader).await,
                None => false,
            };
            sleep(if is_busy { BUSY_INTERVAL } else { IDLE_INTERVAL }).await;
        }
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
