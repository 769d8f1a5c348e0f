//! A TCP proxy that injects faults: resets, silence, delay and limited rate.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicUsize, Ordering},
        mpsc as std_mpsc,
    },
    thread,
    time::Duration,
};

use socket2::{Domain, Socket, Type};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle},
    sync::{broadcast, watch},
    task::AbortHandle,
};

use crate::{
    proxy_relay::serve,
    util::{RateLimiter, lock},
};

/// Threads that all proxies of a process share.
const PROXY_THREADS: usize = 2;

/// Delay until a failed accept is retried.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);
/// Time in which a closed listener must refuse connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Period at which that is checked.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A direction through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the target.
    Forward,
    /// From the target to the connecting side.
    Backward,
}

/// The faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionFaults {
    /// Whether bytes are held back; they are delivered when this ends, as after a network partition.
    pub silent: bool,
    /// Time by which every byte is delayed.
    pub delay: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct LinkState {
    /// Without a target, accepted connections are closed.
    pub(crate) target: Option<SocketAddr>,
    forward: DirectionFaults,
    backward: DirectionFaults,
    /// Connections accepted under a lower id stay silent for good.
    silent_below: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionCut {
    /// Whether the connecting side's connection ends.
    pub(crate) client: bool,
    /// Whether the connection to the target ends.
    pub(crate) server: bool,
    /// Whether it ends by a reset instead of an orderly close.
    pub(crate) reset: bool,
}

/// A TCP proxy on a loopback port that it keeps for its lifetime; stopped when dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    listener: Mutex<Option<AbortHandle>>,
    /// Keeps the port reserved while the proxy is closed.
    _reservation: Socket,
    /// A listener that never accepts, with connections that fill its queue, while new connections hang.
    full_queue: Mutex<Vec<Socket>>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) state: watch::Sender<LinkState>,
    cuts: broadcast::Sender<ConnectionCut>,
    forward_rate: RateLimiter,
    backward_rate: RateLimiter,
    accepted: Mutex<u64>,
    runtime: Handle,
}

impl Proxy {
    /// Starts a proxy; without a target, connections are closed until `set_target`.
    ///
    /// # Panics
    /// Panics if no port can be bound.
    pub fn start(target: Option<SocketAddr>) -> Self {
        let state = LinkState {
            target,
            forward: DirectionFaults::default(),
            backward: DirectionFaults::default(),
            silent_below: 0,
        };
        let shared = Arc::new(Shared {
            state: watch::Sender::new(state),
            cuts: broadcast::Sender::new(16),
            forward_rate: RateLimiter::new(0),
            backward_rate: RateLimiter::new(0),
            accepted: Mutex::new(0),
            runtime: runtime(),
        });
        let reservation = reserve_port().unwrap();
        let address = reservation.local_addr().unwrap().as_socket().unwrap();
        let listener = listen(&shared, address).unwrap();
        Self {
            address,
            shared,
            listener: Mutex::new(Some(listener)),
            _reservation: reservation,
            full_queue: Mutex::default(),
        }
    }

    /// Returns the socket address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL by which an HTTP target is reached through the proxy.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the target of new connections, such as a process that restarted on another port.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.state.send_modify(|state| state.target = Some(target));
    }

    /// Sets the faults of one direction, for existing and new connections.
    pub fn set(&self, direction: Direction, faults: DirectionFaults) {
        self.shared.state.send_modify(|state| match direction {
            Direction::Forward => state.forward = faults,
            Direction::Backward => state.backward = faults,
        });
    }

    /// Starts or ends silence in both directions; a delay stays as it is.
    pub fn set_silent(&self, silent: bool) {
        self.shared.state.send_modify(|state| {
            state.forward.silent = silent;
            state.backward.silent = silent;
        });
    }

    /// Limits the total rate of all connections in one direction; 0 means no limit.
    pub fn set_rate(&self, direction: Direction, bytes_per_s: u64) {
        self.shared.rate(direction).set(bytes_per_s);
    }

    /// Returns the bytes of all connections in one direction so far.
    pub fn passed_bytes(&self, direction: Direction) -> u64 {
        self.shared.rate(direction).passed_bytes()
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        *lock(&self.shared.accepted)
    }

    /// Makes existing connections silent for good, without a reset; new ones work.
    pub fn silence_existing(&self) {
        let accepted = self.accepted();
        self.shared.state.send_modify(|state| state.silent_below = accepted);
    }

    /// Ends existing connections on both sides, by a reset or an orderly close.
    pub fn cut(&self, reset: bool) {
        // Sending fails only if there is no connection to cut.
        let _ = self.shared.cuts.send(ConnectionCut { client: true, server: true, reset });
    }

    /// Ends existing connections on the receiving side of a direction only; the other side's stay open and silent.
    pub fn cut_direction(&self, direction: Direction, reset: bool) {
        let client = direction == Direction::Backward;
        let _ = self.shared.cuts.send(ConnectionCut { client, server: !client, reset });
    }

    /// Refuses new connections and resets existing ones, as when the target's process is gone.
    pub fn close(&self) {
        self.refuse_new();
        self.cut(true);
    }

    /// Refuses new connections; existing ones go on.
    pub fn refuse_new(&self) {
        if let Some(listener) = lock(&self.listener).take() {
            listener.abort();
            self.wait_until_refused();
        }
    }

    /// Lets new connections hang, as behind a partition; existing ones go on.
    ///
    /// # Panics
    /// Panics if the port cannot be listened on.
    pub fn hang_new(&self) {
        self.refuse_new();
        let mut queue = lock(&self.full_queue);
        if queue.is_empty() {
            *queue = fill_queue(self.address).unwrap();
        }
    }

    /// Waits until the aborted task has dropped the listener; until then connections are still accepted.
    fn wait_until_refused(&self) {
        let end = std::time::Instant::now() + CLOSE_TIMEOUT;
        while std::net::TcpStream::connect(self.address).is_ok() && std::time::Instant::now() < end {
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
    }

    /// Listens on the same port again after `close`, `refuse_new` or `hang_new`; does nothing if the proxy is open.
    ///
    /// # Panics
    /// Panics if the earlier listener does not free the port in time.
    pub fn reopen(&self) {
        lock(&self.full_queue).clear();
        let mut listener = lock(&self.listener);
        if listener.is_none() {
            *listener = Some(listen(&self.shared, self.address).unwrap());
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.close();
    }
}

impl Shared {
    pub(crate) fn rate(&self, direction: Direction) -> &RateLimiter {
        match direction {
            Direction::Forward => &self.forward_rate,
            Direction::Backward => &self.backward_rate,
        }
    }

    pub(crate) fn faults(&self, direction: Direction) -> DirectionFaults {
        let state = self.state.borrow();
        match direction {
            Direction::Forward => state.forward,
            Direction::Backward => state.backward,
        }
    }

    /// Waits until bytes of a connection may pass in a direction.
    pub(crate) async fn wait_until_open(&self, direction: Direction, connection_id: u64) {
        let mut state = self.state.subscribe();
        let open = state.wait_for(|state| {
            let faults = if direction == Direction::Forward { state.forward } else { state.backward };
            !faults.silent && connection_id >= state.silent_below
        });
        // Waiting fails only if the proxy was dropped, which ends its connections.
        let _ = open.await;
    }
}

/// Binds a socket that never listens: connections to its port are refused, the kernel gives the port to nobody else,
/// and a listener can bind to it too, since both set `SO_REUSEADDR`.
fn reserve_port() -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    Ok(socket)
}

/// Binds a listener that never accepts, and fills its queue; the kernel then drops further requests for a connection.
fn fill_queue(address: SocketAddr) -> std::io::Result<Vec<Socket>> {
    /// More than fit into the queue of a listener with a backlog of 0.
    const FILLERS: usize = 4;
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    listener.set_reuse_address(true)?;
    listener.bind(&address.into())?;
    listener.listen(0)?;
    let mut sockets = vec![listener];
    for _ in 0..FILLERS {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        // Fails with an error that says the connection is in progress.
        let _ = filler.connect(&address.into());
        sockets.push(filler);
    }
    Ok(sockets)
}

/// Binds a listener and serves it. Retries for 2 s, since an aborted earlier listener frees the port a little later.
fn listen(shared: &Arc<Shared>, address: SocketAddr) -> std::io::Result<AbortHandle> {
    const MAX_BIND_ATTEMPTS: usize = 200;
    let mut bound = std::net::TcpListener::bind(address);
    for _ in 0..MAX_BIND_ATTEMPTS {
        if bound.is_ok() {
            break;
        }
        thread::sleep(Duration::from_millis(10));
        bound = std::net::TcpListener::bind(address);
    }
    let listener = bound?;
    listener.set_nonblocking(true)?;
    let task_shared = Arc::clone(shared);
    let task = shared.runtime.spawn(async move {
        let Ok(listener) = TcpListener::from_std(listener) else { return };
        loop {
            // A client that aborted in the backlog or a full descriptor table must not end the listener.
            let Ok((client, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            let connection_id = {
                let mut accepted = lock(&task_shared.accepted);
                *accepted += 1;
                *accepted - 1
            };
            tokio::spawn(serve(
                Arc::clone(&task_shared),
                client,
                connection_id,
                task_shared.cuts.subscribe(),
            ));
        }
    });
    Ok(task.abort_handle())
}

/// Returns the runtime of one of the shared proxy threads, in turn.
fn runtime() -> Handle {
    static HANDLES: OnceLock<Vec<Handle>> = OnceLock::new();
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let handles = HANDLES.get_or_init(|| (0..PROXY_THREADS).map(|_| start_runtime()).collect());
    handles[NEXT.fetch_add(1, Ordering::Relaxed) % handles.len()].clone()
}

/// Starts a thread with a runtime that lives as long as the process.
fn start_runtime() -> Handle {
    let (sender, receiver) = std_mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        sender.send(runtime.handle().clone()).unwrap();
        runtime.block_on(std::future::pending::<()>());
    });
    receiver.recv().unwrap()
}
