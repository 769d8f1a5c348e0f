//! The HTTP listeners of the own interface: their sockets, TLS and bounded connections.

use std::{
    fmt::Debug,
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
};

use actix_http::{Request, Response, body::BoxBody, error::DispatchError};
use actix_rt::net::TcpStream;
use actix_server::ServerBuilder;
use actix_service::{
    IntoService, IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, fn_factory,
};
use actix_tls::accept::{
    TlsError,
    rustls_0_23::{Acceptor, AcceptorService, TlsStream},
};
use actix_web::{body::MessageBody, dev::AppConfig};
use daisysill_gateway::callers::{
    AcceptedStream, CallerConnections, CallerStream, EndedConnections, ListenerConfig, http_service, plain,
};
use eyre::WrapErr;
use socket2::{Domain, Socket, Type};

use crate::tls::{self, ReloadingCertificate, TlsConfig};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// A bound listener that is not served yet.
pub(crate) struct Listener {
    name: &'static str,
    socket: TcpListener,
    address: SocketAddr,
    tls: Option<Acceptor>,
}

impl Listener {
    /// Binds a listener, with TLS if a certificate is set.
    ///
    /// # Errors
    /// Fails if the address cannot be bound, or the certificate cannot be used.
    pub(crate) fn bind(
        name: &'static str,
        address: SocketAddr,
        certificate: Option<&TlsConfig>,
    ) -> eyre::Result<Self> {
        let tls = certificate.map(acceptor).transpose()?;
        let socket = bind(address).wrap_err_with(|| format!("cannot bind the {name} address"))?;
        let address = socket.local_addr()?;
        Ok(Self { name, socket, address, tls })
    }

    /// Returns the address, with the port in use.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds the listener to a server. `app` is called for each worker thread, on that thread.
    ///
    /// # Errors
    /// Fails if the socket cannot be used.
    pub(crate) fn serve<F, I, S, B>(
        self,
        server: ServerBuilder,
        config: ListenerConfig,
        app: F,
    ) -> io::Result<ServerBuilder>
    where
        F: Fn() -> I + Send + Clone + 'static,
        I: IntoServiceFactory<S, Request>,
        S: ServiceFactory<Request, Config = AppConfig> + 'static,
        S::Future: 'static,
        S::Error: Into<Response<BoxBody>> + 'static,
        S::InitError: Debug,
        S::Response: Into<Response<B>> + 'static,
        <S::Service as Service<Request>>::Future: 'static,
        B: MessageBody + 'static,
    {
        let Self { name, socket, address, tls } = self;
        let stop = server.graceful_shutdown_signal();
        let connections = config.connections.clone();
        match tls {
            Some(acceptor) => server.listen(name, socket, move || {
                let http = http_service(app(), &config, address, Some(stop.clone()));
                encrypted(connections.clone(), acceptor.clone()).and_then(http)
            }),
            None => server.listen(name, socket, move || {
                let http = http_service(app(), &config, address, Some(stop.clone()));
                plain(connections.clone()).and_then(http)
            }),
        }
    }
}

/// Logs connections that the node ended.
pub(crate) fn log_ended(ended: &EndedConnections) {
    let EndedConnections { listener, client, reason, count } = ended;
    log::info!("{listener}: connections of {client} ended: {count}, the latest as {reason}");
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // A restarted node binds its port although connections of its predecessor are not forgotten yet.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Returns the acceptor of a listener with TLS, whose certificate is loaded again when its files change.
fn acceptor(files: &TlsConfig) -> eyre::Result<Acceptor> {
    let certificate = ReloadingCertificate::load(files)?;
    actix_rt::spawn(tls::reload_on_change(Arc::downgrade(&certificate)));
    Ok(Acceptor::new(certificate.server_config()?))
}

/// Returns the service that accepts connections with TLS.
fn encrypted(
    connections: CallerConnections,
    acceptor: Acceptor,
) -> impl ServiceFactory<
    TcpStream,
    Config = (),
    Response = AcceptedStream<TlsStream<TcpStream>>,
    Error = DispatchError,
    InitError = (),
> {
    fn_factory(move || {
        let (connections, acceptor) = (connections.clone(), acceptor.clone());
        async move {
            let acceptor = Rc::new(ServiceFactory::<TcpStream>::new_service(&acceptor, ()).await?);
            let accept = move |stream| accept_encrypted(connections.clone(), Rc::clone(&acceptor), stream);
            Ok(accept.into_service())
        }
    })
}

/// Takes a place before the handshake, so that connections in a handshake are bounded too.
async fn accept_encrypted(
    connections: CallerConnections,
    acceptor: Rc<AcceptorService>,
    stream: TcpStream,
) -> Result<AcceptedStream<TlsStream<TcpStream>>, DispatchError> {
    let peer = stream.peer_addr().map_err(DispatchError::Io)?;
    let place = connections.open(peer.ip()).map_err(DispatchError::Io)?;
    let handshake = tokio::select! {
        handshake = acceptor.call(stream) => handshake.map_err(handshake_error),
        error = place.lost() => Err(error),
    };
    let stream = handshake.map_err(DispatchError::Io)?;
    Ok((CallerStream::new(stream, place, |stream| stream.get_ref().0), Some(peer)))
}

fn handshake_error<E>(error: TlsError<io::Error, E>) -> io::Error {
    match error {
        TlsError::Tls(error) => error,
        TlsError::Timeout | TlsError::Service(_) => io::ErrorKind::TimedOut.into(),
    }
}
