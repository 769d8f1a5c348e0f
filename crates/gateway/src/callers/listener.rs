//! Listeners whose connections are wrapped.

use std::{fmt::Debug, future::ready, io, net::SocketAddr, time::Duration};

use actix_http::{Extensions, HttpServiceBuilder, Request, Response, body::BoxBody, error::DispatchError};
use actix_server::{GracefulShutdownSignal, ServerBuilder};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, fn_service, map_config};
use actix_web::{body::MessageBody, dev::AppConfig};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

use super::{connections::CallerConnections, stream::CallerStream};

/// Time for the server to close a connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How the connections of a listener are served.
#[derive(Clone, Debug)]
pub struct ListenerConfig {
    /// Places and limits of the connections.
    pub connections: CallerConnections,
    /// Time for which a connection may be idle between two requests.
    pub keep_alive: Duration,
    /// Time for the head of the first request.
    pub head_timeout: Duration,
}

/// Adds a listener to a server. `app` is called for each worker thread, on that thread.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn bind<F, I, S, B>(
    server: ServerBuilder,
    name: &'static str,
    address: SocketAddr,
    app: F,
) -> io::Result<ServerBuilder>
where
    F: Fn() -> (I, ListenerConfig) + Send + Clone + 'static,
    I: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig> + 'static,
    S::Future: 'static,
    S::Error: Into<Response<BoxBody>> + 'static,
    S::InitError: Debug,
    S::Response: Into<Response<B>> + 'static,
    <S::Service as Service<Request>>::Future: 'static,
    B: MessageBody + 'static,
{
    server.bind(name, address, move || {
        let (app, config) = app();
        let connections = config.connections.clone();
        plain(connections).and_then(http_service(app, &config, address, None))
    })
}

/// A connection that the HTTP server serves, and its client.
pub type AcceptedStream<T> = (CallerStream<T>, Option<SocketAddr>);

/// Returns the service that accepts connections without TLS.
pub fn plain(
    connections: CallerConnections,
) -> impl ServiceFactory<
    TcpStream,
    Config = (),
    Response = AcceptedStream<TcpStream>,
    Error = DispatchError,
    InitError = (),
> {
    fn_service(move |stream: TcpStream| ready(connections.accept(stream).map_err(DispatchError::Io)))
}

/// Returns the service that serves the accepted connections of a listener. With `stop`, a graceful stop of the server closes
/// those that are idle.
pub fn http_service<T, I, S, B>(
    app: I,
    config: &ListenerConfig,
    address: SocketAddr,
    stop: Option<GracefulShutdownSignal>,
) -> impl ServiceFactory<AcceptedStream<T>, Config = (), Response = (), Error = DispatchError, InitError = ()>
+ use<T, I, S, B>
where
    T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    I: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig> + 'static,
    S::Future: 'static,
    S::Error: Into<Response<BoxBody>> + 'static,
    S::InitError: Debug,
    S::Response: Into<Response<B>> + 'static,
    <S::Service as Service<Request>>::Future: 'static,
    B: MessageBody + 'static,
{
    let mut http = HttpServiceBuilder::default()
        .keep_alive(config.keep_alive)
        .client_request_timeout(config.head_timeout)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(config.connections.allows_half_closed())
        .local_addr(address)
        .on_connect_ext(|stream: &CallerStream<T>, data: &mut Extensions| {
            data.insert(stream.held_requests());
        });
    if let Some(stop) = stop {
        http = http.graceful_shutdown_signal(move || {
            let stop = stop.clone();
            async move { stop.notified().await }
        });
    }
    http.h1(map_config(app, |()| AppConfig::default()))
}
