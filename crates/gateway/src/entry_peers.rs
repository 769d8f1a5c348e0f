//! The other entry nodes, which serve this node's callers while it does not reach the upstreams.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use daisysill_core::{
    connection_table::ConnectionLimits,
    ids::{InstanceId, ZoneName},
    memory_budget::MemoryBudget,
    upstream_contact::Reach,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::{forward::Gateway, metrics::GatewayMetrics, peer_limits::PeerLimits, peer_zones, pool::Pool};

/// Interval at which this node checks whether it has to ask for the other entry nodes.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two questions while this node reaches the upstreams.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// The same while it knows no other entry node.
const FIRST_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// The same while it does not reach the upstreams; the answers leave out the nodes that are cut off too.
const CUT_OFF_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two questions to one node for its zone.
const ZONE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a node is not turned to after it could not serve a request, unless no other is left.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Interval at which a request that waits for room at an entry node looks again, since limits are raised without an event.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The other entry nodes as last listed, with what this node's requests showed of them.
#[derive(Debug)]
pub(crate) struct EntryPeers {
    /// Port on which all entry nodes take requests of each other; `None` if the deployment has none.
    port: Option<u16>,
    addresses: RefCell<Vec<SocketAddr>>,
    /// The zones of those that have stated them, and when.
    zones: RefCell<HashMap<SocketAddr, (ZoneName, Instant)>>,
    /// Number of this node's requests in progress at each.
    in_flight: Rc<RefCell<HashMap<SocketAddr, usize>>>,
    /// Until when each is not turned to.
    avoided: RefCell<HashMap<SocketAddr, Instant>>,
    limits: PeerLimits,
    /// Notified whenever a request of this node has ended at one.
    request_ended: Rc<Notify>,
    pool: Pool,
    is_known: Rc<Cell<bool>>,
}

impl EntryPeers {
    /// Starts without other entry nodes; `is_known` is set once the list of entry nodes was read. `accepted` are the connections
    /// that an entry node with the same settings accepts from others.
    pub(crate) fn new(
        port: Option<u16>,
        accepted: ConnectionLimits,
        metrics: &GatewayMetrics,
        is_known: Rc<Cell<bool>>,
        memory: MemoryBudget,
    ) -> Self {
        Self {
            port,
            addresses: RefCell::default(),
            zones: RefCell::default(),
            in_flight: Rc::default(),
            avoided: RefCell::default(),
            limits: PeerLimits::new(accepted),
            request_ended: Rc::default(),
            pool: Pool::new(metrics.of_pool(&metrics.peer_connections), None, memory),
            is_known,
        }
    }

    /// Returns the connections to the other entry nodes.
    pub(crate) fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the maximum number of connections to another entry node.
    pub(crate) fn max_connections(&self, address: SocketAddr) -> usize {
        self.limits.max_connections(address)
    }

    /// Records that an entry node had no place for a connection, which is closed.
    pub(crate) fn record_no_room(&self, address: SocketAddr) {
        self.limits.record_closed(address, self.pool.open_connections(address));
    }

    /// Same as [`Self::choose`], but waits as long as `may_wait` while all nodes that could be chosen have as many requests of
    /// this node as they have places for.
    pub(crate) async fn choose_with_room(
        &self,
        tried: &[SocketAddr],
        is_allowed: impl Fn(Option<&ZoneName>) -> bool,
        may_wait: impl Fn() -> bool,
    ) -> Option<ChosenPeer> {
        loop {
            let request_ended = self.request_ended.notified();
            if let Some(peer) = self.choose(tried, &is_allowed) {
                return Some(peer);
            }
            if !may_wait() || !self.has_untried(tried, &is_allowed) {
                return None;
            }
            let _ = timeout(ROOM_CHECK_INTERVAL, request_ended).await;
        }
    }

    fn has_untried(&self, tried: &[SocketAddr], is_allowed: impl Fn(Option<&ZoneName>) -> bool) -> bool {
        let zones = self.zones.borrow();
        let zone_of = |address: &SocketAddr| zones.get(address).map(|(zone, _)| zone);
        let addresses = self.addresses.borrow();
        addresses.iter().any(|address| !tried.contains(address) && is_allowed(zone_of(address)))
    }

    /// Returns the entry nodes whose zone is not known or was stated long ago.
    pub(crate) fn to_ask_for_zone(&self) -> Vec<SocketAddr> {
        let zones = self.zones.borrow();
        let is_known = |address: &SocketAddr| {
            zones.get(address).is_some_and(|(_, stated_at)| stated_at.elapsed() < ZONE_INTERVAL)
        };
        self.addresses.borrow().iter().filter(|address| !is_known(address)).copied().collect()
    }

    /// Records the zones that entry nodes have stated.
    pub(crate) fn record_zones(&self, zones: HashMap<SocketAddr, ZoneName>) {
        let now = Instant::now();
        let stated = zones.into_iter().map(|(address, zone)| (address, (zone, now)));
        self.zones.borrow_mut().extend(stated);
    }

    /// Returns whether the zone of any entry node, `None` if it is unknown, is allowed.
    pub(crate) fn any_in(&self, is_allowed: impl Fn(Option<&ZoneName>) -> bool) -> bool {
        let zones = self.zones.borrow();
        let zone_of = |address: &SocketAddr| zones.get(address).map(|(zone, _)| zone);
        self.addresses.borrow().iter().any(|address| is_allowed(zone_of(address)))
    }

    /// Chooses an entry node that was not tried and whose zone, `None` if it is unknown, is allowed: one that could serve
    /// requests lately before one that could not, then the one with the fewest requests of this node.
    fn choose(
        &self,
        tried: &[SocketAddr],
        is_allowed: impl Fn(Option<&ZoneName>) -> bool,
    ) -> Option<ChosenPeer> {
        let zones = self.zones.borrow();
        let zone_of = |address: &SocketAddr| zones.get(address).map(|(zone, _)| zone);
        let now = Instant::now();
        let avoided = self.avoided.borrow();
        let in_flight = self.in_flight.borrow();
        let addresses = self.addresses.borrow();
        let untried =
            addresses.iter().filter(|address| !tried.contains(address) && is_allowed(zone_of(address)));
        let load_of = |address: &SocketAddr| in_flight.get(address).copied().unwrap_or(0);
        let has_room = |address: &&SocketAddr| load_of(address) < self.limits.max_connections(**address);
        let chosen = untried.filter(has_room).min_by_key(|address| {
            let is_avoided = avoided.get(address).is_some_and(|until| now < *until);
            (is_avoided, load_of(address), rand::random::<u32>())
        });
        let address = *chosen?;
        drop(in_flight);
        *self.in_flight.borrow_mut().entry(address).or_default() += 1;
        let (in_flight, request_ended) = (Rc::clone(&self.in_flight), Rc::clone(&self.request_ended));
        Some(ChosenPeer { address, in_flight, request_ended })
    }

    /// Records that an entry node could not serve a request of this node.
    pub(crate) fn avoid(&self, address: SocketAddr) {
        self.avoided.borrow_mut().insert(address, Instant::now() + AVOID_TIME);
    }

    /// Replaces the list by the named nodes; an empty list says only that nobody could be asked.
    fn replace(&self, names: &[InstanceId]) {
        let Some(port) = self.port else { return };
        let parsed = names.iter().filter_map(|name| name.as_str().parse::<SocketAddr>().ok());
        let addresses: Vec<SocketAddr> = parsed.map(|peer| SocketAddr::new(peer.ip(), port)).collect();
        if addresses.is_empty() {
            return;
        }
        let listed: HashSet<SocketAddr> = addresses.iter().copied().collect();
        self.avoided.borrow_mut().retain(|address, _| listed.contains(address));
        self.zones.borrow_mut().retain(|address, _| listed.contains(address));
        self.limits.retain(|address| listed.contains(address));
        self.is_known.set(true);
        *self.addresses.borrow_mut() = addresses;
    }
}

/// An entry node that was chosen; counts a request as in progress there until it is dropped.
#[derive(Debug)]
pub(crate) struct ChosenPeer {
    pub(crate) address: SocketAddr,
    in_flight: Rc<RefCell<HashMap<SocketAddr, usize>>>,
    request_ended: Rc<Notify>,
}

impl Drop for ChosenPeer {
    fn drop(&mut self) {
        let mut in_flight = self.in_flight.borrow_mut();
        let Some(count) = in_flight.get_mut(&self.address) else { return };
        *count -= 1;
        if *count == 0 {
            in_flight.remove(&self.address);
        }
        // One request has room; the others look again at their next check at the latest.
        self.request_ended.notify_one();
    }
}

/// Follows the list of entry nodes until the task is aborted; while this node reaches no upstream, the control nodes learn
/// so with each question.
pub(crate) async fn follow_entry_peers(gateway: Rc<Gateway>) {
    let mut asked: Option<(Instant, Reach)> = None;
    let peers = &gateway.peers;
    while peers.port.is_some() {
        let reach = gateway.contact.reach();
        let interval = match (reach, peers.is_known.get()) {
            (Reach::NoNewConnections | Reach::CutOff, _) => CUT_OFF_LIST_INTERVAL,
            (Reach::InTouch, true) => LIST_INTERVAL,
            (Reach::InTouch, false) => FIRST_LIST_INTERVAL,
        };
        if asked.is_none_or(|(at, before)| at.elapsed() >= interval || before != reach) {
            asked = Some((Instant::now(), reach));
            let names = gateway.cluster.entry_nodes(reach != Reach::InTouch).await;
            peers.replace(&names);
            let listed = peers.addresses.borrow().clone();
            peers.pool.sweep(|address| listed.contains(address));
            peer_zones::learn(&gateway).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
}
