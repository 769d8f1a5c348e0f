//! Connection pool: idle connections to upstreams, and the number of open ones for each.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use daisysill_core::memory_budget::MemoryBudget;
use prometheus_client::metrics::counter::Counter;

use crate::{connection::UpstreamConnection, contact::Contact};

/// Below the 1 s after which TCP resends a lost SYN; another upstream is tried sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout for upstreams that announce none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum idle time of a connection that is reused for a request that must not run twice. If an upstream closes a
/// connection sooner than announced, such a request may have run and cannot be retried.
const MAX_FRESH_IDLE: Duration = Duration::from_secs(1);

/// Why no connection could be checked out.
#[derive(Debug)]
pub(crate) enum CheckoutError {
    /// This node has as many open connections to the upstream as it may.
    LimitReached,
    /// The upstream did not accept a new connection in time, or none was tried since all of them fail.
    ConnectFailed,
}

/// What decides which connections may carry a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestIdentity<'a> {
    /// Its ID, which answers repeat.
    pub(crate) id: Option<&'a str>,
    /// Whether it must not run twice.
    pub(crate) at_most_once: bool,
}

/// Connections to one address.
#[derive(Debug, Default)]
struct AddressPool {
    idle: Vec<UpstreamConnection>,
    /// Number of open connections, idle ones and those in use.
    open: usize,
}

impl AddressPool {
    /// Closes the connection that has been idle for longest; `false` if none is idle.
    fn close_idle(&mut self) -> bool {
        let has_idle = !self.idle.is_empty();
        if has_idle {
            self.idle.remove(0);
            self.open -= 1;
        }
        has_idle
    }
}

/// Connections by the address of the upstream.
#[derive(Debug, Default)]
struct AddressPools {
    pools: HashMap<SocketAddr, AddressPool>,
}

/// Counts of a pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolMetrics {
    /// Connections that were begun, also if they failed.
    pub(crate) opened: Counter,
    /// Idle connections that were not used for a request, since they had carried it before.
    pub(crate) repeats_avoided: Counter,
}

/// Connections of this node to all upstreams.
#[derive(Clone, Debug)]
pub struct Pool {
    addresses: Rc<RefCell<AddressPools>>,
    metrics: PoolMetrics,
    /// How this node reaches the upstreams; `None` for connections to other nodes.
    contact: Option<Rc<Contact>>,
    /// For the bytes that connections have received.
    memory: MemoryBudget,
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(metrics: PoolMetrics, contact: Option<Rc<Contact>>, memory: MemoryBudget) -> Self {
        Self { addresses: Rc::default(), metrics, contact, memory }
    }

    /// Takes an idle connection that may carry the request, or opens one if fewer than `max_open` are open to the address or
    /// an idle one can be closed for it.
    pub(crate) async fn checkout(
        &self,
        address: SocketAddr,
        max_open: usize,
        request: RequestIdentity<'_>,
    ) -> Result<PooledConnection, CheckoutError> {
        if let Some(connection) = self.take_idle(address, request) {
            return Ok(PooledConnection {
                connection: Some(connection),
                address,
                addresses: Rc::clone(&self.addresses),
            });
        }
        if self.contact.as_ref().is_some_and(|contact| !contact.may_connect()) {
            return Err(CheckoutError::ConnectFailed);
        }
        {
            let mut addresses = self.addresses.borrow_mut();
            let pool = addresses.pools.entry(address).or_default();
            if pool.open >= max_open && !pool.close_idle() {
                return Err(CheckoutError::LimitReached);
            }
            pool.open += 1;
        }
        // Dropping `pooled`, also while connecting, decrements `open` again.
        let mut pooled =
            PooledConnection { connection: None, address, addresses: Rc::clone(&self.addresses) };
        self.metrics.opened.inc();
        match UpstreamConnection::connect(address, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                pooled.connection = Some(connection.with_memory(self.memory.reservation()));
                if let Some(contact) = &self.contact {
                    contact.record_connected();
                }
                Ok(pooled)
            }
            Err(error) => {
                tracing::debug!(event = "connect_failed", %address, error = %error.kind());
                Err(CheckoutError::ConnectFailed)
            }
        }
    }

    /// Returns the number of open connections to an address, idle ones and those in use.
    pub(crate) fn open_connections(&self, address: SocketAddr) -> usize {
        self.addresses.borrow().pools.get(&address).map_or(0, |pool| pool.open)
    }

    fn take_idle(&self, address: SocketAddr, request: RequestIdentity<'_>) -> Option<UpstreamConnection> {
        let mut addresses = self.addresses.borrow_mut();
        let pool = addresses.pools.get_mut(&address)?;
        // The last ones were used most recently.
        for at in (0..pool.idle.len()).rev() {
            let connection = &mut pool.idle[at];
            let fresh = !request.at_most_once || connection.idle_for() < MAX_FRESH_IDLE;
            if !fresh || connection.is_expired(DEFAULT_IDLE_TIMEOUT) || !connection.is_reusable() {
                pool.idle.remove(at);
                pool.open -= 1;
            } else if connection.carried().admits(request.id) {
                return Some(pool.idle.remove(at));
            } else {
                self.metrics.repeats_avoided.inc();
            }
        }
        None
    }

    /// Closes idle connections that have expired or whose upstream is no longer listed.
    pub fn sweep(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        let mut addresses = self.addresses.borrow_mut();
        for (address, pool) in &mut addresses.pools {
            let before = pool.idle.len();
            let listed = is_listed(address);
            pool.idle.retain(|connection| listed && !connection.is_expired(DEFAULT_IDLE_TIMEOUT));
            pool.open -= before - pool.idle.len();
        }
        addresses.pools.retain(|_, pool| pool.open > 0);
    }
}

/// A connection in use. It is closed if it is dropped without [`PooledConnection::release`].
#[derive(Debug)]
pub(crate) struct PooledConnection {
    connection: Option<UpstreamConnection>,
    address: SocketAddr,
    addresses: Rc<RefCell<AddressPools>>,
}

impl PooledConnection {
    /// Returns the connection; fails only while it is still being opened.
    pub(crate) fn get(&mut self) -> Result<&mut UpstreamConnection, io::ErrorKind> {
        self.connection.as_mut().ok_or(io::ErrorKind::NotConnected)
    }

    /// Returns the number of the connection in the logs; `None` while it is still being opened.
    pub(crate) fn number(&self) -> Option<u64> {
        self.connection.as_ref().map(UpstreamConnection::number)
    }

    /// Returns the connection to the pool if it can be used again.
    pub(crate) fn release(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        let mut addresses = self.addresses.borrow_mut();
        let Some(pool) = addresses.pools.get_mut(&self.address) else { return };
        if connection.is_reusable() {
            connection.set_idle();
            pool.idle.push(connection);
        } else {
            pool.open = pool.open.saturating_sub(1);
        }
        drop(addresses);
        // Keeps `drop` from decrementing `open` a second time.
        self.address = SocketAddr::from(([0, 0, 0, 0], 0));
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let mut addresses = self.addresses.borrow_mut();
        if let Some(pool) = addresses.pools.get_mut(&self.address) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}
