//! The places of a listener's connections, and what is counted about them.

use std::{
    collections::HashMap,
    future::poll_fn,
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use daisysill_core::{
    connection_table::{ConnectionId, ConnectionLimits, ConnectionTable, Opening},
    memory_budget::{MemoryBudget, MemoryReservation},
    message_framing::{FramingError, MAX_HEAD_BYTES},
};
use futures::task::AtomicWaker;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use tokio::net::TcpStream;

use super::{ended_log::EndedLog, stream::CallerStream, unread_statement::UnreadStatement};

/// Memory that a connection with a request in progress reserves: what is read ahead (8 KiB) and a part of the server's buffers.
const BUSY_CONNECTION_BYTES: usize = 16 * 1_024;

/// Times after which a connection without progress is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamLimits {
    /// Time for a head to arrive, from its first wait.
    pub head: Duration,
    /// Time for which a body may make no progress.
    pub body: Duration,
    /// Time for which a response may make no progress.
    pub write: Duration,
    /// The longest head of a request, in bytes.
    pub head_bytes: usize,
}

impl Default for StreamLimits {
    /// Above the 3 s of `header_timeout_ms` and the 15 s of `idle_timeout_ms` that configs usually have.
    fn default() -> Self {
        Self {
            head: Duration::from_secs(10),
            body: Duration::from_secs(20),
            write: Duration::from_secs(20),
            head_bytes: MAX_HEAD_BYTES,
        }
    }
}

/// Why a connection was ended by this node, beside the end of its last request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its response made no progress, since the client does not read.
    Unread,
    /// The head of a request did not arrive in time.
    SlowHead,
    /// The body of a request made no progress.
    SlowBody,
    /// The rest of a request that was answered early was too long.
    UnreadBody,
    /// The framing of a request cannot be followed.
    Framing(FramingError),
    /// Another connection got its place.
    Replaced,
    /// There was no place for it.
    NoPlace,
    /// There was no memory for it.
    NoMemory,
}

impl EndReason {
    /// Returns the `reason` used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unread => "unread",
            Self::SlowHead => "slow_head",
            Self::SlowBody => "slow_body",
            Self::UnreadBody => "unread_body",
            Self::Framing(error) => error.name(),
            Self::Replaced => "replaced",
            Self::NoPlace => "no_place",
            Self::NoMemory => "no_memory",
        }
    }
}

/// Labels of an ended connection.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EndLabels {
    /// See [`EndReason`].
    pub reason: &'static str,
}

/// Counts the connections of all listeners of a process; clones share the values.
#[derive(Clone, Debug, Default)]
pub struct ConnectionMetrics {
    /// Open connections.
    pub open: Gauge,
    /// Connections that this node ended.
    pub ended: Family<EndLabels, Counter>,
}

impl ConnectionMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("caller_connections", "Open connections of clients", self.open.clone());
        registry.register(
            "ended_connections",
            "Connections of clients that the node ended",
            self.ended.clone(),
        );
    }
}

/// Connections of a client that the node ended, as they are logged.
#[derive(Clone, Copy, Debug)]
pub struct EndedConnections {
    /// Name of the listener.
    pub listener: &'static str,
    /// Address of the client.
    pub client: IpAddr,
    /// See [`EndReason`]; that of the latest connection.
    pub reason: &'static str,
    /// How many connections were ended since the last log line about the client.
    pub count: u64,
}

impl EndedConnections {
    fn trace(&self) {
        let Self { listener, client, reason, count } = self;
        tracing::info!(event = "connection_ended", listener, client = %client, reason, count);
    }
}

/// The connections of a listener, or of several that share a limit; clones share them.
#[derive(Clone, Debug)]
pub struct CallerConnections {
    shared: Arc<Shared>,
    log: fn(&EndedConnections),
    allows_half_closed: bool,
    unread_statement: Option<UnreadStatement>,
}

#[derive(Debug)]
struct Shared {
    listener: &'static str,
    limits: StreamLimits,
    memory: MemoryBudget,
    metrics: ConnectionMetrics,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    closings: HashMap<ConnectionId, Arc<Closing>>,
    log: EndedLog,
}

/// Tells a connection that it has lost its place.
#[derive(Debug, Default)]
struct Closing {
    is_due: AtomicBool,
    waker: AtomicWaker,
}

impl CallerConnections {
    /// Starts with no connection. What requests in progress hold is reserved from `memory`.
    pub fn new(
        listener: &'static str,
        connections: ConnectionLimits,
        limits: StreamLimits,
        memory: MemoryBudget,
        metrics: ConnectionMetrics,
    ) -> Self {
        let table = ConnectionTable::new(connections);
        let state = Mutex::new(State { table, closings: HashMap::new(), log: EndedLog::default() });
        let shared = Arc::new(Shared { listener, limits, memory, metrics, state });
        Self { shared, log: EndedConnections::trace, allows_half_closed: false, unread_statement: None }
    }

    /// Serves clients that have closed their side and wait for responses. Otherwise such a client counts as disconnected, so that
    /// its work at the upstream is cancelled at once.
    #[must_use]
    pub fn with_half_closed(mut self) -> Self {
        self.allows_half_closed = true;
        self
    }

    pub(super) fn allows_half_closed(&self) -> bool {
        self.allows_half_closed
    }

    /// Sends `statement` before it closes a connection of which it has read nothing since the last response.
    #[must_use]
    pub fn with_unread_statement(mut self, statement: UnreadStatement) -> Self {
        self.unread_statement = Some(statement);
        self
    }

    pub(super) fn unread_statement(&self) -> Option<&UnreadStatement> {
        self.unread_statement.as_ref()
    }

    /// Logs ended connections with `log` instead of as trace events.
    #[must_use]
    pub fn with_log(mut self, log: fn(&EndedConnections)) -> Self {
        self.log = log;
        self
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.state().table.count()
    }

    /// Wraps a new connection.
    ///
    /// # Errors
    /// Fails if there is no place for it; it is then closed.
    pub fn accept(&self, stream: TcpStream) -> io::Result<(CallerStream<TcpStream>, Option<SocketAddr>)> {
        let peer = stream.peer_addr()?;
        match self.open(peer.ip()) {
            Ok(place) => Ok((CallerStream::new(stream, place, |socket| socket), Some(peer))),
            Err(error) => {
                if let Some(statement) = &self.unread_statement {
                    statement.send(stream, None);
                }
                Err(error)
            }
        }
    }

    /// Opens a connection from an address.
    ///
    /// # Errors
    /// Fails if there is no place for it.
    pub fn open(&self, client: IpAddr) -> io::Result<Place> {
        let closing = Arc::<Closing>::default();
        // Under one lock: another thread could otherwise replace the connection before it can be told so.
        let opened = {
            let mut state = self.state();
            match state.table.open(client) {
                Opening::Opened { id, replaces } => {
                    state.closings.insert(id, Arc::clone(&closing));
                    Some((id, replaces.and_then(|replaced| state.closings.remove(&replaced))))
                }
                Opening::Refused => None,
            }
        };
        let Some((id, replaced)) = opened else { return Err(self.record_end(client, EndReason::NoPlace)) };
        if let Some(replaced) = replaced {
            replaced.is_due.store(true, Ordering::Release);
            replaced.waker.wake();
        }
        self.shared.metrics.open.inc();
        let memory = self.shared.memory.reservation();
        Ok(Place { connections: self.clone(), id, client, closing, memory, is_idle: true })
    }

    /// Counts and logs a connection that this node ends; returns the error that ends it.
    fn record_end(&self, client: IpAddr, reason: EndReason) -> io::Error {
        let (listener, reason) = (self.shared.listener, reason.name());
        self.shared.metrics.ended.get_or_create(&EndLabels { reason }).inc();
        let line = self.state().log.line(client, Instant::now());
        if let Some(count) = line {
            (self.log)(&EndedConnections { listener, client, reason, count });
        }
        io::Error::new(io::ErrorKind::ConnectionAborted, reason)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of a connection; given back when it is dropped.
#[derive(Debug)]
pub struct Place {
    connections: CallerConnections,
    id: ConnectionId,
    client: IpAddr,
    closing: Arc<Closing>,
    memory: MemoryReservation,
    is_idle: bool,
}

impl Place {
    pub(super) fn limits(&self) -> StreamLimits {
        self.connections.shared.limits
    }

    pub(super) fn allows_half_closed(&self) -> bool {
        self.connections.allows_half_closed
    }

    /// Returns whether another connection got the place; `waker` is woken when it does.
    pub(super) fn is_lost(&self, waker: &Waker) -> bool {
        self.closing.waker.register(waker);
        self.closing.is_due.load(Ordering::Acquire)
    }

    /// Waits until another connection gets the place, while no transport uses it yet; counts and logs that this one ends.
    pub async fn lost(&self) -> io::Error {
        poll_fn(|context| if self.is_lost(context.waker()) { Poll::Ready(()) } else { Poll::Pending }).await;
        self.end(EndReason::Replaced)
    }

    /// Notes that a request has begun.
    ///
    /// # Errors
    /// Fails if there is no memory for it, or another connection got the place meanwhile.
    pub(super) fn begin_request(&mut self) -> Result<(), EndReason> {
        if self.is_idle {
            if !self.memory.try_resize(BUSY_CONNECTION_BYTES) {
                return Err(EndReason::NoMemory);
            }
            if !self.set_idle(false) {
                return Err(EndReason::Replaced);
            }
        }
        Ok(())
    }

    /// Notes that no request is in progress.
    pub(super) fn end_request(&mut self) {
        self.memory.release();
        self.set_idle(true);
    }

    /// Counts and logs that this node ends the connection; returns the error that ends it.
    pub(super) fn end(&self, reason: EndReason) -> io::Error {
        self.connections.record_end(self.client, reason)
    }

    pub(super) fn unread_statement(&self) -> Option<UnreadStatement> {
        self.connections.unread_statement().cloned()
    }

    /// Returns whether the connection still has its place.
    fn set_idle(&mut self, is_idle: bool) -> bool {
        let mut state = self.connections.state();
        if self.is_idle != is_idle {
            self.is_idle = is_idle;
            state.table.set_idle(self.id, is_idle);
        }
        state.closings.contains_key(&self.id)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connections.shared.metrics.open.dec();
        let mut state = self.connections.state();
        state.table.close(self.id);
        state.closings.remove(&self.id);
    }
}
