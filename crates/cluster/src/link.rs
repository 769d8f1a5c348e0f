//! Connections to other nodes: opened on demand, closed when idle or without progress.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use daisysill_core::ids::{InstanceId, ZoneName};
use daisysill_wire::peer::PeerClient;
use futures::future::BoxFuture;
use socket2::{SockRef, TcpKeepalive};
use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
};
use tokio::{
    net::TcpStream,
    sync::{Mutex as AsyncMutex, Semaphore},
    task::AbortHandle,
    time::{Instant, timeout},
};

use crate::{
    config::PeerAddress,
    framing::SealedTransport,
    handshake::{self, SharedKey},
    metrics::ClusterMetrics,
};

/// Time for a TCP connection and its handshake: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time that sent bytes may stay unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time before the kernel probes a connection, and the time between its probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// A connection without calls for this time is closed, so that 380 nodes do not hold a full mesh.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// First and longest delay before a peer that could not be reached is tried again.
const RETRY_FIRST_MS: u64 = 50;
const RETRY_LONGEST_MS: u64 = 800;
/// Calls in progress to one peer at most; a further call fails at once as not sent.
const MAX_CALLS: usize = 512;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// Nothing of the call was sent.
    NotSent,
    /// It may have been received.
    Uncertain,
}

/// Sets the options that end a connection whose other side has gone silent.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_TIME))
}

#[derive(Clone, Debug)]
struct Connection {
    client: PeerClient,
    closed: Arc<AtomicBool>,
    /// Frames received, by which a slow answer is told from a silent connection.
    frames_in: Arc<AtomicU64>,
    dispatch: AbortHandle,
}

impl Connection {
    fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        self.dispatch.abort();
    }
}

#[derive(Debug, Default)]
struct Slot {
    connection: Option<Connection>,
    failures: u32,
    retry_at: Option<Instant>,
}

/// The connection to one other node.
#[derive(Debug)]
pub(crate) struct Link {
    /// The other node.
    pub(crate) name: InstanceId,
    /// Its availability zone.
    pub(crate) zone: ZoneName,
    address: SocketAddr,
    own: InstanceId,
    key: SharedKey,
    metrics: ClusterMetrics,
    slot: AsyncMutex<Slot>,
    last_use: Mutex<Instant>,
    calls: Semaphore,
}

impl Link {
    /// Calls the node and waits for at most `limit` for its answer. If nothing at all arrives in that time,
    /// the connection is closed, since an established connection may go silent while new ones work.
    pub(crate) async fn call<T, F>(&self, limit: Duration, request: F) -> Result<T, CallError>
    where
        F: FnOnce(PeerClient, Context) -> BoxFuture<'static, Result<T, RpcError>>,
    {
        let Ok(_permit) = self.calls.try_acquire() else { return Err(CallError::NotSent) };
        let connection = self.connection().await?;
        *self.last_use.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        let seen = connection.frames_in.load(Ordering::Relaxed);
        let mut context = context::current();
        // The outer timeout decides, since it follows the runtime's clock.
        context.deadline = std::time::Instant::now() + limit * 2;
        match timeout(limit, request(connection.client.clone(), context)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(RpcError::Send(_))) => Err(CallError::NotSent),
            Ok(Err(RpcError::Server(_))) => Err(CallError::Uncertain),
            Ok(Err(_)) => {
                connection.close();
                Err(CallError::Uncertain)
            }
            Err(_) => {
                if connection.frames_in.load(Ordering::Relaxed) == seen {
                    connection.close();
                }
                Err(CallError::Uncertain)
            }
        }
    }

    /// Closes the connection if nothing has used it for a while.
    pub(crate) fn close_idle(&self) {
        let last_use = *self.last_use.lock().unwrap_or_else(PoisonError::into_inner);
        if last_use.elapsed() < IDLE_TIMEOUT {
            return;
        }
        if let Ok(mut slot) = self.slot.try_lock()
            && let Some(connection) = slot.connection.take()
        {
            connection.close();
        }
    }

    async fn connection(&self) -> Result<Connection, CallError> {
        let mut slot = self.slot.lock().await;
        if let Some(connection) = &slot.connection
            && !connection.closed.load(Ordering::Relaxed)
            && !connection.dispatch.is_finished()
        {
            return Ok(connection.clone());
        }
        slot.connection = None;
        if slot.retry_at.is_some_and(|retry_at| Instant::now() < retry_at) {
            return Err(CallError::NotSent);
        }
        if let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT, self.open()).await {
            *slot = Slot { connection: Some(connection.clone()), ..Slot::default() };
            return Ok(connection);
        }
        slot.failures = slot.failures.saturating_add(1);
        let longest = (RETRY_FIRST_MS << slot.failures.min(10)).min(RETRY_LONGEST_MS);
        let delay = Duration::from_millis(rand::random_range(longest / 2..=longest));
        slot.retry_at = Some(Instant::now() + delay);
        Err(CallError::NotSent)
    }

    async fn open(&self) -> io::Result<Connection> {
        let stream = TcpStream::connect(self.address).await?;
        set_options(&stream)?;
        let session = handshake::connect(stream, self.key, &self.own, &self.name).await?;
        let transport = SealedTransport::new(session, self.metrics.clone());
        let frames_in = transport.frames_in();
        let client::NewClient { client, dispatch } = PeerClient::new(client::Config::default(), transport);
        let dispatch = tokio::spawn(async move {
            let _ = dispatch.await;
        });
        Ok(Connection { client, closed: Arc::default(), frames_in, dispatch: dispatch.abort_handle() })
    }

    async fn shut_down(&self) {
        if let Some(connection) = self.slot.lock().await.connection.take() {
            connection.close();
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(connection) = self.slot.get_mut().connection.take() {
            connection.close();
        }
    }
}

/// The links to all other nodes.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    inner: Arc<LinkTable>,
}

#[derive(Debug)]
struct LinkTable {
    own: InstanceId,
    key: SharedKey,
    metrics: ClusterMetrics,
    /// The nodes of the settings.
    known: BTreeMap<InstanceId, Arc<Link>>,
    /// Nodes whose name is their address; `None` if names are not addresses.
    addressed: Option<Mutex<BTreeMap<InstanceId, Arc<Link>>>>,
}

impl Links {
    /// Prepares a link to each of `peers`; no connection is opened yet. With `names_are_addresses`, a link to
    /// any other node is prepared when it is first asked for.
    pub(crate) fn new(
        own: &InstanceId,
        key: SharedKey,
        peers: &[PeerAddress],
        names_are_addresses: bool,
        metrics: &ClusterMetrics,
    ) -> Self {
        let mut table = LinkTable {
            own: own.clone(),
            key,
            metrics: metrics.clone(),
            known: BTreeMap::new(),
            addressed: names_are_addresses.then(Mutex::default),
        };
        for peer in peers.iter().filter(|peer| peer.name != *own) {
            table.known.insert(peer.name.clone(), Arc::new(table.link(peer)));
        }
        Self { inner: Arc::new(table) }
    }

    /// Returns the link to a node.
    pub(crate) fn get(&self, name: &InstanceId) -> Option<Arc<Link>> {
        if let Some(link) = self.inner.known.get(name) {
            return Some(Arc::clone(link));
        }
        let addressed = self.inner.addressed.as_ref().filter(|_| *name != self.inner.own)?;
        let address: SocketAddr = name.as_str().parse().ok()?;
        let mut links = addressed.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(name.clone()).or_insert_with(|| {
            let peer = PeerAddress { name: name.clone(), zone: ZoneName::from(""), address };
            Arc::new(self.inner.link(&peer))
        });
        Some(Arc::clone(link))
    }

    /// Returns the links to the nodes of the settings, ordered by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<Link>> {
        self.inner.known.values()
    }

    /// Closes all connections.
    pub(crate) async fn shut_down(&self) {
        let addressed: Vec<Arc<Link>> = self.inner.addressed.as_ref().map_or_else(Vec::new, |links| {
            links.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
        });
        for link in self.inner.known.values().chain(&addressed) {
            link.shut_down().await;
        }
    }
}

impl LinkTable {
    fn link(&self, peer: &PeerAddress) -> Link {
        Link {
            name: peer.name.clone(),
            zone: peer.zone.clone(),
            address: peer.address,
            own: self.own.clone(),
            key: self.key,
            metrics: self.metrics.clone(),
            slot: AsyncMutex::default(),
            last_use: Mutex::new(Instant::now()),
            calls: Semaphore::new(MAX_CALLS),
        }
    }
}
