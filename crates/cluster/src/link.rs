//! Connections to other nodes: opened on demand, closed when idle or unresponsive.

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

use daisysill_core::{
    call_backoff::CallBackoff,
    ids::{InstanceId, ZoneName},
    reconnect_backoff::ReconnectBackoff,
};
use daisysill_wire::peer::PeerClient;
use futures::{FutureExt, future::BoxFuture};
use socket2::{SockRef, TcpKeepalive};
use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
};
use tokio::{
    net::TcpStream,
    sync::{Mutex as AsyncMutex, Notify, Semaphore},
    task::AbortHandle,
    time::{Instant, timeout},
};

use crate::{
    config::PeerAddress,
    framing::AuthenticatedTransport,
    handshake::{self, SharedKey},
    metrics::ClusterMetrics,
};

/// Timeout for a TCP connection and its handshake: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time that sent bytes stay unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time before the kernel probes a connection, and the time between its probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// A connection without calls for this time is closed, so that 380 nodes do not maintain a full mesh.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of concurrent calls to one peer; a further call fails at once with `NotSent`.
const MAX_CONCURRENT_CALLS: usize = 512;

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The call was not sent.
    NotSent,
    /// The peer may have received the call.
    Uncertain,
}

/// Calls that peers of older builds do not know; such a peer ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NewerCall {
    TargetAges,
    EntryNodes,
    ColdUpstreams,
    AcquirePlace,
    GrantPermits,
    ReportOrigins,
    PollConfig,
    NameEntryNodes,
}

/// Why an exchange has no response.
enum ExchangeError {
    NotSent,
    /// No response in time.
    TimedOut,
    /// The peer refused the call.
    Refused,
    /// The connection ended.
    Ended,
}

impl From<ExchangeError> for CallError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent => Self::NotSent,
            ExchangeError::TimedOut | ExchangeError::Refused | ExchangeError::Ended => Self::Uncertain,
        }
    }
}

/// Sets the socket options that end a connection to an unresponsive peer.
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
    /// Number of frames received; distinguishes a slow response from an unresponsive connection.
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
struct ConnectionState {
    connection: Option<Connection>,
    backoff: ReconnectBackoff,
}

/// The connection to one other node.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) name: InstanceId,
    pub(crate) zone: ZoneName,
    address: SocketAddr,
    own: InstanceId,
    key: SharedKey,
    metrics: ClusterMetrics,
    state: AsyncMutex<ConnectionState>,
    /// Notified when the node has connected to this one.
    peer_connected: Notify,
    last_use: Mutex<Instant>,
    calls: Semaphore,
    newer_calls: Mutex<BTreeMap<NewerCall, CallBackoff>>,
    /// Origin of the backoffs' time.
    created: Instant,
}

impl Link {
    /// Calls the node and waits at most `limit` for the response. If no frame at all arrives in that time, the
    /// connection is closed, since an established connection may be dead while new ones work.
    pub(crate) async fn call<T, F>(&self, limit: Duration, request: F) -> Result<T, CallError>
    where
        F: FnOnce(PeerClient, Context) -> BoxFuture<'static, Result<T, RpcError>>,
    {
        Ok(self.exchange(limit, request).await?)
    }

    /// Makes a call that the node may not know, unless it ended the connection at the last such calls.
    pub(crate) async fn call_newer<T, F>(
        &self,
        call: NewerCall,
        limit: Duration,
        request: F,
    ) -> Result<T, CallError>
    where
        F: FnOnce(PeerClient, Context) -> BoxFuture<'static, Result<T, RpcError>>,
    {
        if !self.admits(call) {
            return Err(CallError::NotSent);
        }
        let result = self.exchange(limit, request).await;
        self.with_backoff(call, |backoff, now_ms| match &result {
            Ok(_) => backoff.record_answered(),
            Err(ExchangeError::Ended) => backoff.record_connection_ended(now_ms),
            Err(ExchangeError::NotSent | ExchangeError::TimedOut | ExchangeError::Refused) => {}
        });
        Ok(result?)
    }

    /// Returns whether a call that the node may not know is made now.
    pub(crate) fn admits(&self, call: NewerCall) -> bool {
        self.with_backoff(call, |backoff, now_ms| backoff.admits(now_ms))
    }

    /// Calls `act` with the backoff of a call and the current time in ms.
    fn with_backoff<T>(&self, call: NewerCall, act: impl FnOnce(&mut CallBackoff, u64) -> T) -> T {
        let now_ms = self.now_ms();
        let mut backoffs = self.newer_calls.lock().unwrap_or_else(PoisonError::into_inner);
        act(backoffs.entry(call).or_default(), now_ms)
    }

    async fn exchange<T, F>(&self, limit: Duration, request: F) -> Result<T, ExchangeError>
    where
        F: FnOnce(PeerClient, Context) -> BoxFuture<'static, Result<T, RpcError>>,
    {
        let Ok(_permit) = self.calls.try_acquire() else { return Err(ExchangeError::NotSent) };
        let connection = self.connection().await.map_err(|_| ExchangeError::NotSent)?;
        *self.last_use.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        let frames_before = connection.frames_in.load(Ordering::Relaxed);
        let mut context = context::current();
        // The timeout below decides, since it follows the runtime's clock.
        context.deadline = std::time::Instant::now() + limit * 2;
        match timeout(limit, request(connection.client.clone(), context)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(RpcError::Send(_))) => Err(ExchangeError::NotSent),
            Ok(Err(RpcError::Server(_))) => Err(ExchangeError::Refused),
            Ok(Err(_)) => {
                connection.close();
                Err(ExchangeError::Ended)
            }
            Err(_) => {
                if connection.frames_in.load(Ordering::Relaxed) == frames_before {
                    connection.close();
                }
                Err(ExchangeError::TimedOut)
            }
        }
    }

    /// Closes the connection if it has been idle for `IDLE_TIMEOUT`.
    pub(crate) fn close_idle(&self) {
        let last_use = *self.last_use.lock().unwrap_or_else(PoisonError::into_inner);
        if last_use.elapsed() < IDLE_TIMEOUT {
            return;
        }
        if let Ok(mut state) = self.state.try_lock()
            && let Some(connection) = state.connection.take()
        {
            connection.close();
        }
    }

    async fn connection(&self) -> Result<Connection, CallError> {
        let mut state = self.state.lock().await;
        if let Some(connection) = &state.connection
            && !connection.closed.load(Ordering::Relaxed)
            && !connection.dispatch.is_finished()
        {
            return Ok(connection.clone());
        }
        state.connection = None;
        if self.peer_connected.notified().now_or_never().is_some() {
            state.backoff.record_contact();
        }
        if !state.backoff.admits(self.now_ms()) {
            return Err(CallError::NotSent);
        }
        if let Some(connection) = self.try_open().await {
            *state = ConnectionState { connection: Some(connection.clone()), ..ConnectionState::default() };
            return Ok(connection);
        }
        state.backoff.record_failure(self.now_ms(), rand::random());
        Err(CallError::NotSent)
    }

    /// Opens a connection. Begins again if the node connects to this one meanwhile: the first packet was probably lost
    /// while its machine was down, and the kernel sends the next one only after a second.
    async fn try_open(&self) -> Option<Connection> {
        tokio::select! {
            biased;
            opened = timeout(CONNECT_TIMEOUT, self.open()) => return opened.ok()?.ok(),
            () = self.peer_connected.notified() => {}
        }
        timeout(CONNECT_TIMEOUT, self.open()).await.ok()?.ok()
    }

    /// Records that the node has connected to this one, so that it can probably be reached again.
    pub(crate) fn record_peer_connected(&self) {
        self.peer_connected.notify_one();
    }

    /// Returns the milliseconds since this link was created.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.created.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    async fn open(&self) -> io::Result<Connection> {
        let stream = TcpStream::connect(self.address).await?;
        set_options(&stream)?;
        let session = handshake::connect(stream, self.key, &self.own, &self.name).await?;
        let transport = AuthenticatedTransport::new(session, self.metrics.clone());
        let frames_in = transport.frames_in();
        let client::NewClient { client, dispatch } = PeerClient::new(client::Config::default(), transport);
        let dispatch = tokio::spawn(async move {
            let _ = dispatch.await;
        });
        Ok(Connection { client, closed: Arc::default(), frames_in, dispatch: dispatch.abort_handle() })
    }

    async fn shut_down(&self) {
        if let Some(connection) = self.state.lock().await.connection.take() {
            connection.close();
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(connection) = self.state.get_mut().connection.take() {
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
    /// Links to the nodes of the settings.
    configured: BTreeMap<InstanceId, Arc<Link>>,
    /// Links to other nodes, whose names are their addresses; `None` if names are not addresses.
    by_address: Option<Mutex<BTreeMap<InstanceId, Arc<Link>>>>,
}

impl Links {
    /// Creates a link to each of `peers`, without connecting. With `names_are_addresses`, a link to any other node
    /// is created on its first use.
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
            configured: BTreeMap::new(),
            by_address: names_are_addresses.then(Mutex::default),
        };
        for peer in peers.iter().filter(|peer| peer.name != *own) {
            table.configured.insert(peer.name.clone(), Arc::new(table.link(peer)));
        }
        Self { inner: Arc::new(table) }
    }

    /// Returns the link to a node; `None` for this node and for nodes without a known address.
    pub(crate) fn get(&self, name: &InstanceId) -> Option<Arc<Link>> {
        if let Some(link) = self.inner.configured.get(name) {
            return Some(Arc::clone(link));
        }
        let by_address = self.inner.by_address.as_ref().filter(|_| *name != self.inner.own)?;
        let address: SocketAddr = name.as_str().parse().ok()?;
        let mut links = by_address.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(name.clone()).or_insert_with(|| {
            let peer = PeerAddress { name: name.clone(), zone: ZoneName::from(""), address };
            Arc::new(self.inner.link(&peer))
        });
        Some(Arc::clone(link))
    }

    /// Records that a node has connected to this one. Creates no link.
    pub(crate) fn record_peer_connected(&self, name: &InstanceId) {
        if let Some(link) = self.inner.configured.get(name) {
            return link.record_peer_connected();
        }
        let Some(by_address) = &self.inner.by_address else { return };
        if let Some(link) = by_address.lock().unwrap_or_else(PoisonError::into_inner).get(name) {
            link.record_peer_connected();
        }
    }

    /// Returns the links to the nodes of the settings, ordered by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<Link>> {
        self.inner.configured.values()
    }

    pub(crate) async fn shut_down(&self) {
        let by_address: Vec<Arc<Link>> = self.inner.by_address.as_ref().map_or_else(Vec::new, |links| {
            links.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
        });
        for link in self.inner.configured.values().chain(&by_address) {
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
            state: AsyncMutex::default(),
            peer_connected: Notify::new(),
            last_use: Mutex::new(Instant::now()),
            calls: Semaphore::new(MAX_CONCURRENT_CALLS),
            newer_calls: Mutex::default(),
            created: Instant::now(),
        }
    }
}
