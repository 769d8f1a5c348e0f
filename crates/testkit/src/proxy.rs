//! A TCP proxy that cuts, silences, delays and slows down what passes through it.

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

/// Time after which a failed accept is tried again.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);
/// Time in which a closed listener refuses connections, and time between two checks.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// One direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects to the side that listens.
    Forward,
    /// From the side that listens to the side that connects.
    Backward,
}

/// How one direction behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionFaults {
    /// Whether bytes are held back; they go on when this ends, as after a network partition.
    pub silent: bool,
    /// Added to the way of every byte.
    pub delay: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct LinkState {
    pub(crate) target: Option<SocketAddr>,
    forward: DirectionFaults,
    backward: DirectionFaults,
    /// Connections with a lower number stay silent for ever.
    silent_below: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut {
    /// Whether the connecting side sees the connection end.
    pub(crate) client: bool,
    /// Whether the listening side sees it.
    pub(crate) server: bool,
    pub(crate) reset: bool,
}

/// A TCP proxy with faults on demand; it stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    listener: Mutex<Option<AbortHandle>>,
    /// Keeps the port while the proxy is closed.
    _reservation: Socket,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) state: watch::Sender<LinkState>,
    cuts: broadcast::Sender<Cut>,
    forward_rate: RateLimiter,
    backward_rate: RateLimiter,
    accepted: Mutex<u64>,
    runtime: Handle,
}

impl Proxy {
    /// Starts a proxy to a target that may be set later.
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
        Self { address, shared, listener: Mutex::new(Some(listener)), _reservation: reservation }
    }

    /// Returns where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of an HTTP target.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sends new connections to another target, for a process that restarted on another port.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.state.send_modify(|state| state.target = Some(target));
    }

    /// Sets how one direction behaves, for existing and new connections.
    pub fn set(&self, direction: Direction, behaviour: DirectionFaults) {
        self.shared.state.send_modify(|state| match direction {
            Direction::Forward => state.forward = behaviour,
            Direction::Backward => state.backward = behaviour,
        });
    }

    /// Holds back both directions or lets them go on.
    pub fn set_silent(&self, silent: bool) {
        self.shared.state.send_modify(|state| {
            state.forward.silent = silent;
            state.backward.silent = silent;
        });
    }

    /// Limits one direction, all connections together; 0 means no limit.
    pub fn set_rate(&self, direction: Direction, bytes_per_s: u64) {
        self.shared.rate(direction).set(bytes_per_s);
    }

    /// Returns the bytes that passed in one direction.
    pub fn passed_bytes(&self, direction: Direction) -> u64 {
        self.shared.rate(direction).passed_bytes()
    }

    /// Returns how many connections were accepted.
    pub fn accepted(&self) -> u64 {
        *lock(&self.shared.accepted)
    }

    /// Makes existing connections silent for ever without a reset, while new ones work.
    pub fn silence_existing(&self) {
        let accepted = self.accepted();
        self.shared.state.send_modify(|state| state.silent_below = accepted);
    }

    /// Ends existing connections at both sides, by a reset or by an orderly close.
    pub fn cut(&self, reset: bool) {
        // An error means that there is no connection to cut.
        let _ = self.shared.cuts.send(Cut { client: true, server: true, reset });
    }

    /// Ends existing connections for the receiver of one direction only; the other side hears nothing.
    pub fn cut_direction(&self, direction: Direction, reset: bool) {
        let client = direction == Direction::Backward;
        let _ = self.shared.cuts.send(Cut { client, server: !client, reset });
    }

    /// Refuses new connections and resets existing ones, as when the target's machine is gone.
    pub fn close(&self) {
        if let Some(listener) = lock(&self.listener).take() {
            listener.abort();
            self.wait_until_refused();
        }
        self.cut(true);
    }

    /// The task that holds the listener ends a moment after the abort; until then a connection still opens.
    fn wait_until_refused(&self) {
        let end = std::time::Instant::now() + CLOSE_TIMEOUT;
        while std::net::TcpStream::connect(self.address).is_ok() && std::time::Instant::now() < end {
            std::thread::sleep(CLOSE_CHECK_INTERVAL);
        }
    }

    /// Listens again on the same port after `close`.
    ///
    /// # Panics
    /// Panics if the earlier listener does not free the port in time.
    pub fn reopen(&self) {
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

    pub(crate) fn behaviour(&self, direction: Direction) -> DirectionFaults {
        let state = self.state.borrow();
        match direction {
            Direction::Forward => state.forward,
            Direction::Backward => state.backward,
        }
    }

    /// Waits until a connection's bytes may pass.
    pub(crate) async fn passable(&self, direction: Direction, number: u64) {
        let mut state = self.state.subscribe();
        let open = state.wait_for(|state| {
            let behaviour = if direction == Direction::Forward { state.forward } else { state.backward };
            !behaviour.silent && number >= state.silent_below
        });
        // An error means that the proxy is gone; its connections end with it.
        let _ = open.await;
    }
}

/// Binds a socket that never listens: connections to its port are refused, nobody else is given the port, and a
/// listener can be bound beside it since both allow that.
fn reserve_port() -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    Ok(socket)
}

/// Binds without a race against the abort of an earlier listener, which frees the port a little later.
fn listen(shared: &Arc<Shared>, address: SocketAddr) -> std::io::Result<AbortHandle> {
    const BIND_ATTEMPTS: usize = 200;
    let mut bound = std::net::TcpListener::bind(address);
    for _ in 0..BIND_ATTEMPTS {
        if bound.is_ok() {
            break;
        }
        thread::sleep(Duration::from_millis(10));
        bound = std::net::TcpListener::bind(address);
    }
    let listener = bound?;
    listener.set_nonblocking(true)?;
    let serving = Arc::clone(shared);
    let task = shared.runtime.spawn(async move {
        let Ok(listener) = TcpListener::from_std(listener) else { return };
        loop {
            // A client that gave up in the backlog, or a full descriptor table, must not end the listener.
            let Ok((client, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            let number = {
                let mut accepted = lock(&serving.accepted);
                *accepted += 1;
                *accepted - 1
            };
            tokio::spawn(serve(Arc::clone(&serving), client, number, serving.cuts.subscribe()));
        }
    });
    Ok(task.abort_handle())
}

/// Returns one of the threads that all proxies share.
fn runtime() -> Handle {
    static HANDLES: OnceLock<Vec<Handle>> = OnceLock::new();
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let handles = HANDLES.get_or_init(|| (0..PROXY_THREADS).map(|_| start_runtime()).collect());
    handles[NEXT.fetch_add(1, Ordering::Relaxed) % handles.len()].clone()
}

fn start_runtime() -> Handle {
    let (sender, receiver) = std_mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        sender.send(runtime.handle().clone()).unwrap();
        runtime.block_on(std::future::pending::<()>());
    });
    receiver.recv().unwrap()
}
