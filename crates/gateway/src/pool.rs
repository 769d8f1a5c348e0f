//! Idle connections to upstreams, and how many are open to each.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use crate::{connection::UpstreamConnection, metrics::GatewayMetrics};

/// Time for a new connection. A lost opening packet is sent again only after one second; another upstream is
/// tried sooner.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// How long an idle connection is kept where the upstream names no limit.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// A request that runs at most once gets a connection that was in use this lately, or a new one: an upstream
/// that drops a connection sooner than it said would turn the request into one that may have run.
const FRESH_IDLE: Duration = Duration::from_secs(1);

/// Why there is no connection.
#[derive(Debug)]
pub(crate) enum NoConnection {
    /// The upstream has as many as it accepts from this node.
    Full,
    /// It could not be reached.
    Failed,
}

#[derive(Debug, Default)]
struct Upstream {
    idle: Vec<UpstreamConnection>,
    open: usize,
}

#[derive(Debug, Default)]
struct Table {
    upstreams: HashMap<SocketAddr, Upstream>,
}

/// The connections of this node to all upstreams.
#[derive(Clone, Debug)]
pub struct Pool {
    table: Rc<RefCell<Table>>,
    metrics: GatewayMetrics,
}

impl Pool {
    /// Starts without connections.
    pub fn new(metrics: GatewayMetrics) -> Self {
        Self { table: Rc::default(), metrics }
    }

    /// Takes an idle connection or opens one. At most `most` are open to one upstream.
    pub(crate) async fn checkout(
        &self,
        address: SocketAddr,
        most: usize,
        runs_once: bool,
    ) -> Result<Lent, NoConnection> {
        if let Some(connection) = self.take_idle(address, runs_once) {
            return Ok(Lent { connection: Some(connection), address, table: Rc::clone(&self.table) });
        }
        {
            let mut table = self.table.borrow_mut();
            let upstream = table.upstreams.entry(address).or_default();
            if upstream.open >= most {
                return Err(NoConnection::Full);
            }
            upstream.open += 1;
        }
        // From here on the drop of `lent` gives the place back.
        let mut lent = Lent { connection: None, address, table: Rc::clone(&self.table) };
        self.metrics.connections_opened.inc();
        match UpstreamConnection::connect(address, CONNECT_LIMIT).await {
            Ok(connection) => {
                lent.connection = Some(connection);
                Ok(lent)
            }
            Err(error) => {
                tracing::debug!(event = "connect_failed", %address, error = %error.kind());
                Err(NoConnection::Failed)
            }
        }
    }

    fn take_idle(&self, address: SocketAddr, runs_once: bool) -> Option<UpstreamConnection> {
        let mut table = self.table.borrow_mut();
        let upstream = table.upstreams.get_mut(&address)?;
        while let Some(mut connection) = upstream.idle.pop() {
            let fresh = !runs_once || connection.idle_for() < FRESH_IDLE;
            if fresh && !connection.is_expired(DEFAULT_IDLE_LIMIT) && connection.is_reusable() {
                return Some(connection);
            }
            upstream.open -= 1;
        }
        None
    }

    /// Closes idle connections that have expired or whose upstream is gone.
    pub fn sweep(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        let mut table = self.table.borrow_mut();
        for (address, upstream) in &mut table.upstreams {
            let before = upstream.idle.len();
            let listed = is_listed(address);
            upstream.idle.retain(|connection| listed && !connection.is_expired(DEFAULT_IDLE_LIMIT));
            upstream.open -= before - upstream.idle.len();
        }
        table.upstreams.retain(|_, upstream| upstream.open > 0);
    }
}

/// A connection in use. Dropped without [`Lent::give_back`], it is closed.
#[derive(Debug)]
pub(crate) struct Lent {
    connection: Option<UpstreamConnection>,
    address: SocketAddr,
    table: Rc<RefCell<Table>>,
}

impl Lent {
    /// Returns the connection.
    pub(crate) fn get(&mut self) -> Result<&mut UpstreamConnection, io::ErrorKind> {
        self.connection.as_mut().ok_or(io::ErrorKind::NotConnected)
    }

    /// Returns the connection to the pool if it can be used again.
    pub(crate) fn give_back(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        let mut table = self.table.borrow_mut();
        let Some(upstream) = table.upstreams.get_mut(&self.address) else { return };
        if connection.is_reusable() {
            connection.set_idle();
            upstream.idle.push(connection);
        } else {
            upstream.open = upstream.open.saturating_sub(1);
        }
        drop(table);
        // The place was settled above.
        self.address = SocketAddr::from(([0, 0, 0, 0], 0));
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        let mut table = self.table.borrow_mut();
        if let Some(upstream) = table.upstreams.get_mut(&self.address) {
            upstream.open = upstream.open.saturating_sub(1);
        }
    }
}
