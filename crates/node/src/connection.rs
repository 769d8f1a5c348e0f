//! Options of TCP connections to upstreams.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time that sent bytes may stay unacknowledged before the kernel closes the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Sets the options that detect dead peers.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)
}
