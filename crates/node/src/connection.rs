//! TCP connections to upstreams with the socket options that detect dead peers.

use std::{io, time::Duration};

use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, ConnectorService};
use awc::http::Uri;
use futures::{FutureExt, future::LocalBoxFuture};
use socket2::{SockRef, TcpKeepalive};

/// Time that sent bytes may stay unacknowledged before the kernel closes the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Opens connections to upstreams with the socket options that detect dead peers.
#[derive(Clone, Default)]
pub struct UpstreamConnector {
    inner: ConnectorService,
}

impl Service<ConnectInfo<Uri>> for UpstreamConnector {
    type Response = Connection<Uri, TcpStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, request: ConnectInfo<Uri>) -> Self::Future {
        let connect = self.inner.call(request);
        async move {
            let connection = connect.await?;
            set_options(connection.io_ref()).map_err(ConnectError::Io)?;
            Ok(connection)
        }
        .boxed_local()
    }
}

/// Sets the options that detect dead peers.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)
}
