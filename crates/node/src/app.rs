//! Starts a node, serves until a signal arrives, and stops gracefully.

use std::{fs, net::SocketAddr, path::Path, pin::pin, rc::Rc, sync::Arc, time::Duration};

use actix::Actor;
use actix_server::Server;
use actix_web::{
    App,
    dev::{ServerHandle, Service},
    http::ConnectionType,
    web::Data,
};
use daisysill_cluster::{Cluster, LeaseHolder};
use daisysill_core::{connection_table::ConnectionLimits, memory_budget::MemoryBudget};
use daisysill_gateway::callers::{CallerConnections, ListenerConfig};
use eyre::WrapErr;
use serde::Serialize;
use tokio::time::{Instant, timeout_at};

use crate::{
    admin_api,
    caller_api::{self, UpstreamClients},
    config::Config,
    engine_client::{GENERATION_PATH, HttpEngine},
    exit_code::ExitCode,
    exporter::Exporter,
    http::{self, SendGate},
    listener::{self, Listener},
    monitor::UpstreamMonitor,
    options::Options,
    plain_client::HttpPlainService,
    planned_stop::FINAL_ANSWER_TIME,
    platform_client::HttpPlatform,
    rollout::{self, Rollout},
    shared::Shared,
};

/// Interval between checks for claimed requests in progress during a stop.
const CLAIMED_REQUEST_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Worker threads of the callers' listener.
const CALLER_THREADS: usize = 1;
/// Time for which a connection may be idle between two requests.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Time for the head of the first request on a connection of the admin listener.
const ADMIN_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections of operators, readiness checks and scrapes, which are few.
const ADMIN_CONNECTIONS: usize = 128;

/// Runs the process with the given command line; prints settings errors to standard error.
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

/// Addresses that a node listens on; port 0 of the settings is replaced by the port in use.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BoundAddresses {
    /// Listener for callers.
    pub caller: SocketAddr,
    /// Listener for operators, the balancer and metrics.
    pub admin: SocketAddr,
    /// Listener for other nodes.
    pub peer: SocketAddr,
}

/// A node that serves until [`RunningNode::stop`].
pub struct RunningNode {
    /// Addresses of its listeners.
    pub addresses: BoundAddresses,
    shared: Arc<Shared>,
    callers: ServerHandle,
    admin: ServerHandle,
}

/// Starts the listeners and actors of a node.
///
/// # Errors
/// Fails if an address cannot be bound, the durable state is damaged, or a certificate or a file of the
/// settings cannot be used.
pub async fn start(config: Config) -> eyre::Result<RunningNode> {
    let (cluster, peer) = Cluster::start(config.cluster.clone())
        .await
        .wrap_err("cannot start the node's part of the cluster")?;
    let shared = Arc::new(Shared::new(config, cluster)?);
    shared.lifecycle_event("settings_checked");
    let client = http::client();
    let memory = shared.memory.clone();
    let engine = Rc::new(HttpEngine::new(client.clone()).with_memory(memory.clone()));
    let plain = Rc::new(HttpPlainService::new(memory.clone()));
    let platform = Rc::new(HttpPlatform::new(client));
    UpstreamMonitor::new(Arc::clone(&shared), engine.clone(), engine.clone(), plain, platform).start();
    Exporter::new(Arc::clone(&shared), engine.clone(), engine.clone()).start();
    let holder = shared.config.node.name.clone();
    let lease = LeaseHolder::start(shared.cluster.clone(), holder, rollout::lease_config());
    Rollout::new(Arc::clone(&shared), engine, Rc::new(lease)).start();

    let data = Data::from(Arc::clone(&shared));
    let admin_data = data.clone();
    let admin_app = move || App::new().app_data(admin_data.clone()).configure(admin_api::routes);
    let node = &shared.config.node;
    let admin_listener = Listener::bind("admin", node.admin_listen, node.admin_tls.as_ref())?;
    let admin_address = admin_listener.address();
    let admin = Server::build().workers(1).disable_signals();
    let admin = admin_listener.serve(admin, admin_config(&shared), admin_app)?;
    let caller_app = move || {
        let client = http::client();
        let clients = UpstreamClients {
            engine: Rc::new(HttpEngine::new(client).with_memory(memory.clone()).with_gate(send_gate(&data))),
            plain: Rc::new(HttpPlainService::new(memory.clone())),
        };
        let shared = Arc::clone(&data);
        let app = App::new().app_data(data.clone()).app_data(Data::new(clients));
        app.wrap_fn(move |request, service| {
            let (shared, response) = (Arc::clone(&shared), service.call(request));
            async move {
                let mut response = response.await?;
                if shared.lifecycle_state() == "draining" {
                    // The caller then reconnects, and the balancer sends its next request to another node.
                    response.response_mut().head_mut().set_connection_type(ConnectionType::Close);
                }
                Ok(response)
            }
        })
        .configure(caller_api::routes)
    };
    let caller_listener = Listener::bind("caller", node.caller_listen, node.caller_tls.as_ref())?;
    let addresses = BoundAddresses { caller: caller_listener.address(), admin: admin_address, peer };
    let callers =
        Server::build().workers(CALLER_THREADS).shutdown_timeout(node.stop_timeout_s).disable_signals();
    let callers = caller_listener.serve(callers, caller_config(&shared), caller_app)?;
    let (callers, admin) = (callers.run(), admin.run());
    let node = RunningNode { addresses, shared, callers: callers.handle(), admin: admin.handle() };
    actix_rt::spawn(callers);
    actix_rt::spawn(admin);
    actix_rt::spawn(watch_cluster(Arc::clone(&node.shared)));
    if let Some(path) = &node.shared.config.node.ready_file {
        write_ready_file(path, &addresses)?;
    }
    log::info!("node {} listening for callers on {}", node.shared.config.node.name, addresses.caller);
    Ok(node)
}

/// Returns the check that keeps prompts from zones whose evacuation began while a connection was opened.
fn send_gate(shared: &Arc<Shared>) -> SendGate {
    let shared = Arc::clone(shared);
    Rc::new(move |uri| {
        shared.apply_evacuations();
        let uri = uri.to_string();
        !shared.upstreams.is_url_evacuated(uri.strip_suffix(GENERATION_PATH).unwrap_or(&uri))
    })
}

/// Returns how the connections of callers are served.
fn caller_config(shared: &Shared) -> ListenerConfig {
    let limits = &shared.config.connections;
    let connections = CallerConnections::new(
        "caller",
        ConnectionLimits::new(limits.max_connections),
        limits.stream_limits,
        shared.memory.clone(),
        shared.metrics.connections.clone(),
    );
    ListenerConfig {
        connections: connections.with_log(listener::log_ended),
        keep_alive: KEEP_ALIVE,
        head_timeout: Duration::from_millis(shared.config.limits.header_timeout_ms),
    }
}

/// Returns how the connections of the admin listener are served. A node that has no memory for requests still answers them.
fn admin_config(shared: &Shared) -> ListenerConfig {
    let connections = CallerConnections::new(
        "admin",
        ConnectionLimits::new(ADMIN_CONNECTIONS),
        shared.config.connections.stream_limits,
        MemoryBudget::unlimited(),
        shared.metrics.connections.clone(),
    );
    ListenerConfig {
        connections: connections.with_log(listener::log_ended).with_half_closed(),
        keep_alive: KEEP_ALIVE,
        head_timeout: ADMIN_HEAD_TIMEOUT,
    }
}

async fn serve(config: Config) -> eyre::Result<()> {
    let node = start(config).await?;
    wait_for_signal().await?;
    node.stop().await;
    Ok(())
}

impl RunningNode {
    /// Stops gracefully: waits for requests in progress.
    pub async fn stop(self) {
        self.shared.lifecycle_event("stop");
        // Still serves new requests, until the balancer has seen that the node is not ready.
        let notice = Duration::from_millis(self.shared.config.node.balancer_notice_ms);
        tokio::time::sleep(notice).await;
        self.callers.pause().await;
        let end = Instant::now() + Duration::from_secs(self.shared.config.node.stop_timeout_s);
        self.finish_requests(end).await;
        self.shared.cluster.leave(None).await;
        self.admin.stop(false).await;
        self.shared.tracing.flush().await;
        self.shared.lifecycle_event("finished");
    }

    /// Closes the callers' listener and waits for requests in progress. Those that last longer are answered shortly
    /// before `end`.
    async fn finish_requests(&self, end: Instant) {
        let final_answers_at = end.checked_sub(FINAL_ANSWER_TIME).unwrap_or(end);
        // Claimed requests go on after their caller disconnects; stopping the worker threads would abort them.
        self.wait_for_claimed_requests(final_answers_at).await;
        if self.shared.claimed_requests.count() > 0 {
            self.shared.planned_stop.announce_end();
            self.wait_for_claimed_requests(end).await;
        }
        let mut stopped = pin!(self.callers.stop(true));
        if timeout_at(final_answers_at, &mut stopped).await.is_err() {
            self.shared.planned_stop.announce_end();
            let _ = timeout_at(end, stopped).await;
        }
    }

    async fn wait_for_claimed_requests(&self, end: Instant) {
        while self.shared.claimed_requests.count() > 0 && Instant::now() < end {
            tokio::time::sleep(CLAIMED_REQUEST_CHECK_INTERVAL).await;
        }
    }

    /// Returns the state that the node's listeners and actors share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }
}

/// Interval between checks whether this node is up to date with the cluster.
const CLUSTER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reports to the life cycle when the cluster state becomes current, and when it no longer is.
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

/// Waits for SIGTERM or SIGINT. SIGHUP is only logged, since a running process does not apply changed settings.
async fn wait_for_signal() -> eyre::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot handle SIGINT")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("cannot handle SIGHUP")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("SIGHUP: no setting applies while the process runs"),
        }
    }
}

/// Writes the addresses as JSON to a temporary file and renames it, so that a reader never sees half a file.
fn write_ready_file(path: &Path, addresses: &BoundAddresses) -> eyre::Result<()> {
    let partial = path.with_extension("partial");
    fs::write(&partial, serde_json::to_string(addresses)?).wrap_err("cannot write the ready file")?;
    fs::rename(&partial, path).wrap_err("cannot rename the ready file")
}
