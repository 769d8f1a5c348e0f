//! Starts a node, serves until it is told to stop, and stops without cutting requests.

use std::{fs, net::SocketAddr, path::Path, rc::Rc, sync::Arc, time::Duration};

use actix::Actor;
use actix_web::{
    App, HttpServer,
    dev::{ServerHandle, Service},
    http::ConnectionType,
    web::Data,
};
use daisysill_cluster::{Cluster, LeaseHolder};
use eyre::WrapErr;
use serde::Serialize;
use tokio::time::Instant;

use crate::{
    admin_api,
    caller_api::{self, UpstreamClients},
    config::Config,
    engine_client::HttpEngine,
    exit_code::ExitCode,
    exporter::Exporter,
    http,
    monitor::UpstreamMonitor,
    options::Options,
    plain_client::HttpPlainService,
    platform_client::HttpPlatform,
    rollout::{self, Rollout},
    shared::Shared,
    tls::{self, ReloadingCertificate},
};

/// Time between two looks at the claimed calls in progress during a stop.
const CLAIMED_REQUEST_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Threads that serve callers.
const CALLER_THREADS: usize = 1;

/// Runs the process as the command line asks.
pub fn run(options: &Options) -> ExitCode {
    if let Some(text) = &options.print {
        print!("{text}");
        return ExitCode::Success;
    }
    let Some(path) = &options.settings_path else { return ExitCode::Usage };
    let config = match Config::load(path) {
        Ok(config) => config,
        Err(errors) => {
            for error in &errors {
                eprintln!("{error}");
            }
            return ExitCode::Settings;
        }
    };
    if options.check_only {
        println!("{}: settings are valid", path.display());
        return ExitCode::Success;
    }
    match actix::System::new().block_on(serve(config)) {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::Failure
        }
    }
}

/// Addresses a node listens on.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BoundAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
}

/// A running node.
pub struct RunningNode {
    /// Where it listens.
    pub addresses: BoundAddresses,
    shared: Arc<Shared>,
    callers: ServerHandle,
    admin: ServerHandle,
}

/// Binds a listener, with TLS if a certificate is set. The type of a server cannot be named in a function.
macro_rules! bind {
    ($server:expr, $address:expr, $tls:expr, $message:literal) => {
        match $tls {
            Some(files) => {
                let certificate = ReloadingCertificate::load(files)?;
                actix_rt::spawn(tls::reload_on_change(Arc::downgrade(&certificate)));
                $server.bind_rustls_0_23($address, certificate.server_config()?).wrap_err($message)?
            }
            None => $server.bind($address).wrap_err($message)?,
        }
    };
}

/// Starts all listeners and actors of a node.
///
/// # Errors
/// Fails if an address cannot be bound or the durable state is damaged.
pub async fn start(config: Config) -> eyre::Result<RunningNode> {
    let (cluster, peer) =
        Cluster::start(config.cluster.clone()).await.wrap_err("the cluster does not start")?;
    let shared = Arc::new(Shared::new(config, cluster)?);
    shared.lifecycle_event("settings_checked");
    let client = http::client();
    let engine = Rc::new(HttpEngine::new(client.clone()));
    let plain = Rc::new(HttpPlainService);
    let platform = Rc::new(HttpPlatform::new(client));
    UpstreamMonitor::new(Arc::clone(&shared), engine.clone(), engine.clone(), plain, platform).start();
    Exporter::new(Arc::clone(&shared), engine.clone(), engine.clone()).start();
    let holder = shared.config.node.name.clone();
    let lease = LeaseHolder::start(shared.cluster.clone(), holder, rollout::lease_config());
    Rollout::new(Arc::clone(&shared), engine, Rc::new(lease)).start();

    let data = Data::from(Arc::clone(&shared));
    let admin_data = data.clone();
    let admin = HttpServer::new(move || App::new().app_data(admin_data.clone()).configure(admin_api::routes))
        .workers(1)
        .disable_signals();
    let node = &shared.config.node;
    let admin = bind!(admin, node.admin_listen, &node.admin_tls, "the admin address cannot be bound");
    let limits = &shared.config.limits;
    let callers = HttpServer::new(move || {
        let client = http::client();
        let clients = UpstreamClients {
            engine: Rc::new(HttpEngine::new(client.clone())),
            plain: Rc::new(HttpPlainService),
        };
        let shared = Arc::clone(&data);
        let app = App::new().app_data(data.clone()).app_data(Data::new(clients));
        app.wrap_fn(move |request, service| {
            let (shared, response) = (Arc::clone(&shared), service.call(request));
            async move {
                let mut response = response.await?;
                if shared.lifecycle_state() == "draining" {
                    // The caller's next request goes to another node.
                    response.response_mut().head_mut().set_connection_type(ConnectionType::Close);
                }
                Ok(response)
            }
        })
        .configure(caller_api::routes)
    })
    .workers(CALLER_THREADS)
    .client_request_timeout(Duration::from_millis(limits.header_timeout_ms))
    .shutdown_timeout(shared.config.node.stop_timeout_s)
    // A caller that disconnects while it waits is noticed at once, and its upstream work cancelled.
    .h1_allow_half_closed(false)
    .disable_signals();
    let callers = bind!(callers, node.caller_listen, &node.caller_tls, "the caller address cannot be bound");

    let addresses = BoundAddresses { caller: first_address(&callers.addrs())?, admin: first_address(&admin.addrs())?, peer };
    let (callers, admin) = (callers.run(), admin.run());
    let node = RunningNode { addresses, shared, callers: callers.handle(), admin: admin.handle() };
    actix_rt::spawn(callers);
    actix_rt::spawn(admin);
    actix_rt::spawn(watch_cluster(Arc::clone(&node.shared)));
    if let Some(path) = &node.shared.config.node.ready_file {
        write_ready_file(path, &addresses)?;
    }
    log::info!("node {} listens for callers on {}", node.shared.config.node.name, addresses.caller);
    Ok(node)
}

async fn serve(config: Config) -> eyre::Result<()> {
    let node = start(config).await?;
    wait_for_signal().await?;
    node.stop().await;
    Ok(())
}

impl RunningNode {
    /// Stops without cutting requests.
    pub async fn stop(self) {
        self.shared.lifecycle_event("stop");
        // Requests that arrive meanwhile are served: the balancer has not taken notice yet.
        let notice = Duration::from_millis(self.shared.config.node.balancer_notice_ms);
        tokio::time::sleep(notice).await;
        self.callers.pause().await;
        self.wait_for_claimed_requests().await;
        // Graceful: waits for requests in progress, up to the configured time.
        self.callers.stop(true).await;
        self.shared.cluster.leave().await;
        self.admin.stop(false).await;
        self.shared.tracing.flush().await;
        self.shared.lifecycle_event("finished");
    }

    /// Waits for calls whose callers may have gone, since stopping the worker threads would cut them.
    async fn wait_for_claimed_requests(&self) {
        let end = Instant::now() + Duration::from_secs(self.shared.config.node.stop_timeout_s);
        while self.shared.claimed_requests.count() > 0 && Instant::now() < end {
            tokio::time::sleep(CLAIMED_REQUEST_CHECK_INTERVAL).await;
        }
    }

    /// Returns what the node's parts share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }
}

/// Time between two looks at the cluster's state.
const CLUSTER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

async fn watch_cluster(shared: Arc<Shared>) {
    loop {
        let current = shared.cluster.status().current;
        match (shared.lifecycle_state().as_str(), current) {
            ("joining" | "isolated", true) => shared.lifecycle_event("view_current"),
            ("ready", false) => shared.lifecycle_event("view_lost"),
            _ => {}
        }
        tokio::time::sleep(CLUSTER_CHECK_INTERVAL).await;
    }
}

async fn wait_for_signal() -> eyre::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals cannot be received")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("signals cannot be received")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn first_address(addresses: &[SocketAddr]) -> eyre::Result<SocketAddr> {
    addresses.first().copied().ok_or_else(|| eyre::eyre!("no address was bound"))
}

/// Writes the addresses aside and renames, so that a reader never sees half a file.
fn write_ready_file(path: &Path, addresses: &BoundAddresses) -> eyre::Result<()> {
    let partial = path.with_extension("partial");
    fs::write(&partial, serde_json::to_string(addresses)?).wrap_err("the ready file cannot be written")?;
    fs::rename(&partial, path).wrap_err("the ready file cannot be renamed")
}
