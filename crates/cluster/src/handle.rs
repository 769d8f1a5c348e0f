//! Starts the cluster tasks of a node, and the handle through which the rest of the node uses them.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use daisysill_control::{
    Recovered, Replica, ReplicaConfig, VoterChange,
    command::{Command, Reply},
    state::ConfigView,
    storage,
};
use daisysill_core::{ids::ConfigVersion, poll_source::PollSources};
use daisysill_wire::peer::SoftReport;
use eyre::WrapErr;
use tokio::{
    net::TcpListener,
    runtime::Handle,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::timeout,
};

pub use crate::status::{ClusterStatus, MemberState, PeerReport, ProposeError, Role};
use crate::{
    clock::BootInstant,
    config::ClusterConfig,
    driver::{Driver, DriverConfig, INPUT_QUEUE_LEN, OPEN_ERROR},
    driver_input::{DriverInput, ReplicaView},
    entry_nodes::CutOffNodes,
    follow::Follower,
    gossip::Gossip,
    handshake::SharedKey,
    link::Links,
    members::Members,
    membership,
    metrics::ClusterMetrics,
    observer::{CrashQueue, Observer},
    origin_peers::OriginPeers,
    origin_reports,
    outbox::Outbox,
    outcome_queue::OutcomeQueue,
    place_table::PlaceTable,
    propose::{LeaderHint, Proposal, Proposer},
    published_upstreams::PublishedStore,
    relays::{RelayReporter, Relays},
    server::{self, ServerState},
    soft_state::SoftState,
    status::STALE_AFTER,
    storage_thread::{StorageEvent, StorageThread},
    view_store::ViewStore,
};

/// Interval of a leader's heartbeats.
const HEARTBEAT_MS: u64 = 100;
/// Minimum election timeout. The maximum is twice that, so that a new leader is elected within about a second.
const ELECTION_TIMEOUT_MS: u64 = 400;
/// Timeout of a proposal in case the proposer's own timeouts do not end it.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a node as a cluster member.
#[derive(Debug)]
pub struct Cluster;

impl Cluster {
    /// Starts the peer listener and all tasks; returns the handle and the bound address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound, the data folder cannot be opened or a bootstrap voter has none.
    pub async fn start(config: ClusterConfig) -> eyre::Result<(ClusterHandle, SocketAddr)> {
        let listener =
            TcpListener::bind(config.peer_listen).await.wrap_err("cannot bind the peer address")?;
        let address = listener.local_addr()?;
        let metrics = ClusterMetrics::default();
        let key = SharedKey::new(&config.secret);
        let links = Links::new(&config.name, key, &config.peers, config.names_are_addresses, &metrics);
        let members = Arc::new(Members::new(&config, unix_time_ms()));
        let views = Arc::new(ViewStore::new());
        let leader = LeaderHint::default();
        let (status, replica) = watch::channel(ReplicaView::default());
        let parts = start_driver(&config, &links, &views, &metrics, status)?;
        let driver = parts.as_ref().map(|parts| parts.inputs.clone());
        let proposer = Proposer::new(&config, driver, &links, &leader, &replica);
        let (relays, soft_state) = (Arc::new(Relays::default()), Arc::new(SoftState::default()));
        let published = Arc::new(PublishedStore::new(&config.name, Arc::clone(&relays)));
        let (crash_queue, outcome_queue) = (CrashQueue::default(), OutcomeQueue::default());
        let source = watch::channel(None).0;
        let origin_peers = OriginPeers::new(&config.name, &links, &replica, source.subscribe());
        let state = ServerState {
            published: Arc::clone(&published),
            soft_state: Arc::clone(&soft_state),
            relays: Arc::clone(&relays),
            origin_peers: origin_peers.clone(),
            cut_off_nodes: CutOffNodes::default(),
            crash_queue: crash_queue.clone(),
            outcome_queue: outcome_queue.clone(),
            places: PlaceTable::new(&metrics.places),
            name: config.name.clone(),
            zone: config.zone.clone(),
            key,
            members: Arc::clone(&members),
            views: Arc::clone(&views),
            proposer: proposer.clone(),
            metrics: metrics.clone(),
        };
        let gossip = Gossip::new(&config, &links, &members, &views, &metrics);
        let caught_up = Arc::new(watch::channel(None).0);
        let follower = Follower {
            name: config.name.clone(),
            zone: config.zone.clone(),
            bootstrap_voters: config.bootstrap_voters.clone(),
            links: links.clone(),
            members: Arc::clone(&members),
            views: Arc::clone(&views),
            leader: leader.clone(),
            replica: replica.clone(),
            caught_up: Arc::clone(&caught_up),
        };
        let control_contact = watch::channel(false).0;
        let mut tasks = vec![tokio::spawn(server::serve(listener, Arc::new(state)))];
        if let Some(target_voters) = config.target_voters {
            let observer = Observer {
                name: config.name.clone(),
                sources: poll_sources(&config),
                links: links.clone(),
                views: Arc::clone(&views),
                published: Arc::clone(&published),
                soft_state: Arc::clone(&soft_state),
                leader: leader.clone(),
                replica: replica.clone(),
                crash_queue: crash_queue.clone(),
                outcome_queue: outcome_queue.clone(),
                control_contact: control_contact.clone(),
                source,
            };
            if parts.is_some() {
                let reporter = RelayReporter::new(&observer, config.zone.clone(), relays);
                tasks.push(tokio::spawn(reporter.run()));
                tasks.push(tokio::spawn(membership::run(proposer.clone(), replica.clone(), target_voters)));
            }
            let reporting = origin_reports::run(origin_peers.clone(), Arc::clone(&soft_state));
            tasks.push(tokio::spawn(reporting));
            tasks.push(tokio::spawn(observer.run()));
        } else {
            tasks.push(tokio::spawn(gossip.clone().run()));
            tasks.push(tokio::spawn(follower.run()));
        }
        if let Some(parts) = parts {
            tasks.push(parts.spawn(&config));
        }
        let inner = Inner {
            names_are_addresses: config.names_are_addresses,
            runtime: Handle::current(),
            proposer,
            gossip,
            leader,
            replica,
            published,
            soft_state,
            origin_peers,
            crash_queue,
            outcome_queue,
            control_contact,
            caught_up,
            metrics,
            tasks: Mutex::new(tasks),
        };
        Ok((ClusterHandle { inner: Arc::new(inner) }, address))
    }
}

struct DriverParts {
    driver: Driver,
    inputs: mpsc::Sender<DriverInput>,
    receiver: mpsc::Receiver<DriverInput>,
    storage_events: mpsc::UnboundedReceiver<StorageEvent>,
}

impl DriverParts {
    /// Starts the driver. The first of the bootstrap voters by name forms a new cluster.
    fn spawn(self, config: &ClusterConfig) -> JoinHandle<()> {
        let is_first = config.bootstrap && config.bootstrap_voters.iter().min() == Some(&config.name);
        let voters = if is_first { config.bootstrap_voters.clone() } else { Vec::new() };
        tokio::spawn(self.driver.run(voters, self.receiver, self.storage_events))
    }
}

fn poll_sources(config: &ClusterConfig) -> PollSources {
    PollSources::new(config.name.clone(), config.zone.clone(), config.bootstrap_voters.clone())
}

fn start_driver(
    config: &ClusterConfig,
    links: &Links,
    views: &Arc<ViewStore>,
    metrics: &ClusterMetrics,
    status: watch::Sender<ReplicaView>,
) -> eyre::Result<Option<DriverParts>> {
    let alone = config.peers.is_empty() && config.bootstrap_voters == [config.name.clone()];
    let (storage, recovered) = match &config.data_dir {
        Some(folder) => {
            let (storage, recovered) = storage::open(folder).wrap_err(OPEN_ERROR)?;
            (Some(storage), recovered)
        }
        None if alone => {
            log::warn!("the only node has no data folder: its state is lost when it stops");
            (None, Recovered::default())
        }
        None if config.bootstrap_voters.contains(&config.name) && config.target_voters.is_none() => {
            eyre::bail!("{} is a bootstrap voter but has no data folder", config.name);
        }
        None => return Ok(None),
    };
    let replica_config = ReplicaConfig {
        heartbeat_ms: HEARTBEAT_MS,
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        trust_disk: config.trust_disk,
        target_voters: config.target_voters,
        ..ReplicaConfig::new(config.name.clone())
    };
    let replica = Replica::new(replica_config, recovered, 0, rand::random());
    let (storage, storage_events) = StorageThread::start(storage, metrics.clone())?;
    let outbox = Outbox::new(links.clone(), metrics.clone());
    let (inputs, receiver) = mpsc::channel(INPUT_QUEUE_LEN);
    let views = Arc::clone(views);
    // With automatic membership the node polls the leader, whose own report of its freshness is stricter than mere
    // contact with it.
    let trusts_leader_contact = config.target_voters.is_none();
    let driver_config = DriverConfig { election_timeout_ms: ELECTION_TIMEOUT_MS, trusts_leader_contact };
    let driver = Driver::new(replica, driver_config, storage, outbox, views, metrics.clone(), status);
    Ok(Some(DriverParts { driver, inputs, receiver, storage_events }))
}

/// Returns the present Unix time, which tells successive starts of this process apart.
fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Access to the cluster; clones share their state.
#[derive(Clone, Debug)]
pub struct ClusterHandle {
    pub(crate) inner: Arc<Inner>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) names_are_addresses: bool,
    pub(crate) runtime: Handle,
    pub(crate) proposer: Proposer,
    pub(crate) gossip: Gossip,
    pub(crate) leader: LeaderHint,
    pub(crate) replica: watch::Receiver<ReplicaView>,
    pub(crate) published: Arc<PublishedStore>,
    pub(crate) soft_state: Arc<SoftState>,
    pub(crate) origin_peers: OriginPeers,
    pub(crate) crash_queue: CrashQueue,
    pub(crate) outcome_queue: OutcomeQueue,
    pub(crate) control_contact: watch::Sender<bool>,
    caught_up: Arc<watch::Sender<Option<BootInstant>>>,
    metrics: ClusterMetrics,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl ClusterHandle {
    /// Commits a command through the leader and returns the reply.
    ///
    /// # Errors
    /// The error tells whether the command may have been committed.
    pub async fn propose(&self, command: Command) -> Result<Reply, ProposeError> {
        self.propose_on_runtime(Proposal::Command(command)).await
    }

    /// Changes the voters through the leader. The reply to a change already in effect is `Done`.
    ///
    /// # Errors
    /// The error tells whether the change may have been committed.
    pub async fn change_voters(&self, change: VoterChange) -> Result<Reply, ProposeError> {
        self.propose_on_runtime(Proposal::Voters(change)).await
    }

    async fn propose_on_runtime(&self, proposal: Proposal) -> Result<Reply, ProposeError> {
        let proposer = self.inner.proposer.clone();
        // Runs on the cluster's runtime: connections must outlive the caller's thread, and a caller that gives up
        // must not interrupt its proposal.
        let proposal = self.inner.runtime.spawn(async move { proposer.propose(proposal).await });
        match timeout(PROPOSE_TIMEOUT, proposal).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(ProposeError::Uncertain),
        }
    }

    /// Returns a receiver of the configuration in force on this node.
    pub fn view(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.inner.gossip.views.subscribe()
    }

    /// Returns the state of the cluster as seen by this node.
    pub fn status(&self) -> ClusterStatus {
        let replica = self.inner.replica.borrow().status.clone();
        let members = self.inner.gossip.members.list().into_iter().map(|member| MemberState {
            name: member.name,
            zone: member.zone,
            alive: member.alive,
            leaving: member.leaving,
            config_version: member.config_version,
            last_heard: member.last_heard,
            soft_report: member.soft_report,
        });
        let known_leader = replica.as_ref().and_then(|status| status.leader.clone());
        ClusterStatus {
            role: replica.as_ref().map_or(Role::Observer, |status| status.role.into()),
            term: replica.as_ref().map_or(0, |status| status.term),
            leader: known_leader.or_else(|| self.inner.leader.get()),
            commit_index: replica.as_ref().map_or(0, |status| status.commit_index),
            applied_index: replica.as_ref().map_or(0, |status| status.applied_index),
            voters: replica.as_ref().map_or_else(Vec::new, |s| s.voters.voters.keys().cloned().collect()),
            learners: replica.as_ref().map_or_else(Vec::new, |s| s.voters.learners.iter().cloned().collect()),
            waits_for_peers: replica.as_ref().is_some_and(|status| status.waits_for_peers),
            disk_outdated: replica.as_ref().is_some_and(|status| status.disk_outdated),
            current: self.is_current(),
            members: members.collect(),
        }
    }

    fn is_current(&self) -> bool {
        let views = &self.inner.gossip.views;
        // A node that started without contact to a voter uses the configuration of its zone, and stops being
        // current after the same time as a node partitioned later. Without any configuration it is never current.
        let started = (*self.inner.caught_up.borrow()).filter(|_| views.version() > ConfigVersion(0));
        self.inner.caught_up.borrow().is_some()
            && views.confirmed_at().max(started).is_some_and(|at| at.elapsed() < STALE_AFTER)
    }

    /// Replaces the soft report that this node sends to the others.
    pub fn set_soft_report(&self, soft_report: SoftReport) {
        self.inner.gossip.members.set_soft_report(soft_report);
    }

    /// Returns the soft reports of the other live nodes.
    pub fn soft_reports(&self) -> Vec<PeerReport> {
        let live = self.inner.gossip.members.list().into_iter().filter(|member| member.alive);
        let report = |member: crate::members::Member| {
            let age = member.soft_report_at?.elapsed();
            Some(PeerReport { name: member.name, age, soft_report: member.soft_report })
        };
        live.filter_map(report).collect()
    }

    /// Returns the metrics of this node's cluster tasks.
    pub fn metrics(&self) -> &ClusterMetrics {
        &self.inner.metrics
    }

    /// Stops all tasks without notice and closes the data folder, as the end of the process would.
    pub async fn stop(&self) {
        let tasks = std::mem::take(&mut *self.inner.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        for task in &tasks {
            task.abort();
        }
        for task in tasks {
            let _ = task.await;
        }
        self.inner.proposer.links.shut_down().await;
    }
}
