//! How many connections this node opens to another entry node, which closes further ones.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use daisysill_core::connection_table::ConnectionLimits;
use tokio::time::Instant;

/// Maximum number of connections to one other entry node.
const MAX_CONNECTIONS: usize = 256;
/// Time for which a node is taken to have no places beyond those that it had when it closed a connection.
const REDUCED_TIME: Duration = Duration::from_secs(1);

/// The limits on the connections to each other entry node.
#[derive(Debug)]
pub(crate) struct PeerLimits {
    max_connections: usize,
    reduced: RefCell<HashMap<SocketAddr, Reduced>>,
}

#[derive(Clone, Copy, Debug)]
struct Reduced {
    max_connections: usize,
    until: Instant,
}

impl PeerLimits {
    /// Starts with what an entry node accepts that has the same settings as this one. A part of that stays unused: a
    /// connection that was closed here keeps its place there until the other node has read so.
    pub(crate) fn new(accepted: ConnectionLimits) -> Self {
        let max_connections = accepted.by_address - accepted.by_address / 4;
        Self { max_connections: max_connections.clamp(1, MAX_CONNECTIONS), reduced: RefCell::default() }
    }

    /// Returns the maximum number of connections to an entry node.
    pub(crate) fn max_connections(&self, address: SocketAddr) -> usize {
        let reduced = self.reduced.borrow().get(&address).copied();
        let in_force = reduced.filter(|reduced| Instant::now() < reduced.until);
        in_force.map_or(self.max_connections, |reduced| reduced.max_connections)
    }

    /// Records that an entry node had no place for a connection, while it kept `open` others.
    pub(crate) fn record_closed(&self, address: SocketAddr, open: usize) {
        let max_connections = self.max_connections(address).min(open).max(1);
        let until = Instant::now() + REDUCED_TIME;
        self.reduced.borrow_mut().insert(address, Reduced { max_connections, until });
    }

    /// Forgets entry nodes that are not listed.
    pub(crate) fn retain(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        self.reduced.borrow_mut().retain(|address, _| is_listed(address));
    }
}
