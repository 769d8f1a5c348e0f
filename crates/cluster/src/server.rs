//! Accepts connections of other nodes and serves their requests.

use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use daisysill_control::{
    VoterChange,
    command::{Command, Reply},
};
use daisysill_core::{
    ids::{ConfigVersion, InstanceId, ServiceName, SoftwareVersion, ZoneName},
    origin_log::ProcessId,
};
use daisysill_wire::peer::{
    ColdReply, ControlNode, EntryNodesQuestion, FollowReply, ForwardError, Heartbeat, HeldReply,
    ObserveReply, ObserveRequest, Peer, PeerRequest, PeerResponse, PermitGrants, PermitRequests, PlaceAnswer,
    PlaceRelease, PlaceRequest, PromptOutcome, PublishedUpstreams, RelayReply, RelayReport, ReportedOrigin,
    Spread, StreamOrigin, TargetAge, UpstreamSoftware, UpstreamStart,
};
use futures::StreamExt;
use tarpc::{
    ClientMessage, Response,
    context::Context,
    server::{BaseChannel, Channel, Config},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    clock::BootInstant,
    driver_input::{DriverInput, ReplicaView},
    entry_nodes::{self, CutOffNodes},
    framing::AuthenticatedTransport,
    handshake::{self, SharedKey},
    link::{CallError, set_options},
    members::Members,
    metrics::ClusterMetrics,
    observer::CrashQueue,
    origin_peers::OriginPeers,
    outcome_queue::{OutcomeQueue, TimedOutcome},
    place_table::PlaceTable,
    polls::{FollowerCount, MAX_POLL_MS, millis},
    propose::{Proposal, Proposer},
    published_upstreams::PublishedStore,
    relays::Relays,
    soft_state::SoftState,
    view_store::ViewStore,
};

/// Timeout of a handshake; an unauthenticated client cannot hold a connection for longer.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent handshakes; further connections are closed at once.
const MAX_HANDSHAKES: usize = 64;
/// Maximum number of concurrent requests on one connection; further ones are refused.
const MAX_CONCURRENT_REQUESTS: usize = 1_024;
/// A connection without a received frame for this time is closed. Clients close idle connections earlier.
const RECEIVE_TIMEOUT: Duration = Duration::from_mins(1);
/// Timeout of a forwarded proposal; the forwarding node waits a little less.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// State of the node that the server uses.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// Name of this node.
    pub(crate) name: InstanceId,
    pub(crate) zone: ZoneName,
    pub(crate) key: SharedKey,
    pub(crate) members: Arc<Members>,
    pub(crate) views: Arc<ViewStore>,
    pub(crate) proposer: Proposer,
    pub(crate) published: Arc<PublishedStore>,
    /// Work in flight and stored parts.
    pub(crate) soft_state: Arc<SoftState>,
    pub(crate) relays: Arc<Relays>,
    pub(crate) origin_peers: OriginPeers,
    pub(crate) cut_off_nodes: CutOffNodes,
    /// Crashes that entry nodes reported to this node, to be passed on to the leader.
    pub(crate) crash_queue: CrashQueue,
    /// Outcomes of prompts, likewise.
    pub(crate) outcome_queue: OutcomeQueue,
    /// The places that this node grants while it leads.
    pub(crate) places: PlaceTable,
    pub(crate) metrics: ClusterMetrics,
}

/// Accepts connections until the task is aborted, which also closes them.
pub(crate) async fn serve(listener: TcpListener, state: Arc<ServerState>) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let mut connections = JoinSet::new();
    loop {
        let accepted = listener.accept().await;
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else { continue };
                let state = Arc::clone(&state);
                connections.spawn(async move {
                    let session = accept_handshake(stream, &state).await;
                    drop(permit);
                    match session {
                        Ok(session) => serve_connection(session, state).await,
                        Err(_) => drop(state.metrics.refused_connections.inc()),
                    }
                });
            }
            // For example out of file descriptors; an immediate retry would spin.
            Err(_) => sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn accept_handshake(stream: TcpStream, state: &ServerState) -> io::Result<handshake::Session> {
    set_options(&stream)?;
    timeout(HANDSHAKE_TIMEOUT, handshake::accept(stream, state.key, &state.name)).await?
}

async fn serve_connection(session: handshake::Session, state: Arc<ServerState>) {
    let peer = session.peer.clone();
    state.proposer.links.record_peer_connected(&peer);
    let transport: AuthenticatedTransport<ClientMessage<PeerRequest>, Response<PeerResponse>> =
        AuthenticatedTransport::new(session, state.metrics.clone());
    let frames_in = transport.frames_in();
    let channel =
        BaseChannel::new(Config::default(), transport).max_concurrent_requests(MAX_CONCURRENT_REQUESTS);
    let mut requests = JoinSet::new();
    let server = PeerServer { peer, state };
    let mut execute = std::pin::pin!(channel.execute(server.serve()));
    let mut frames_before = 0;
    loop {
        tokio::select! {
            request = execute.next() => {
                let Some(request) = request else { return };
                while requests.try_join_next().is_some() {}
                requests.spawn(request);
            }
            () = sleep(RECEIVE_TIMEOUT) => {
                let now = frames_in.load(Ordering::Relaxed);
                if now == frames_before {
                    return;
                }
                frames_before = now;
            }
        }
    }
}

#[derive(Clone)]
struct PeerServer {
    peer: InstanceId,
    state: Arc<ServerState>,
}

impl Peer for PeerServer {
    async fn replicate(self, _: Context, messages: Vec<Vec<u8>>) {
        let Some(driver) = &self.state.proposer.driver else { return };
        // The sender is the node authenticated by the handshake, whatever a message claims.
        if driver.try_send(DriverInput::Receive { from: self.peer, messages }).is_err() {
            self.state.metrics.dropped_messages.inc();
        }
    }

    async fn propose(self, _: Context, command: Command) -> Result<Reply, ForwardError> {
        self.state.propose_local(Proposal::Command(command)).await
    }

    async fn change_voters(self, _: Context, change: VoterChange) -> Result<Reply, ForwardError> {
        self.state.propose_local(Proposal::Voters(change)).await
    }

    async fn follow(self, _: Context, after: ConfigVersion, wait_ms: u64) -> FollowReply {
        self.state.hold_poll(after, wait_ms).await;
        self.state.follow_reply(after)
    }

    async fn observe(self, _: Context, request: ObserveRequest, wait_ms: u64) -> ObserveReply {
        let state = &self.state;
        state.record_poll(&request);
        state.soft_state.record_report(&request.node, request.loads, &request.used_parts);
        let mut views = state.views.subscribe();
        let mut published_changes = state.published.subscribe();
        let (source, number) = &request.published_after;
        let is_changed =
            |published: &Arc<PublishedUpstreams>| published.number != *number || published.source != *source;
        if wait_ms > 0 {
            let _follower = FollowerCount::new(&state.metrics);
            let change = async {
                tokio::select! {
                    _ = views.wait_for(|view| view.version > request.config_after) => {}
                    _ = published_changes.wait_for(is_changed) => {}
                }
            };
            let _ = timeout(Duration::from_millis(wait_ms.min(MAX_POLL_MS)), change).await;
        }
        // The ages are read before the content, so that they never make the content look newer than it is.
        let age = state.views.confirmed_at().map(BootInstant::elapsed);
        let published_age = state.published.age();
        let replica: ReplicaView = state.proposer.replica.borrow().clone();
        let status = replica.status.as_ref();
        let published = state.published.get();
        ObserveReply {
            update: state.views.update_since(request.config_after),
            age_ms: age.map(millis),
            leader: status.and_then(|status| status.leader.clone()),
            voters: status.map_or_else(Vec::new, |status| status.voters.voters.keys().cloned().collect()),
            published_upstreams: is_changed(&published).then_some(published),
            published_age_ms: published_age.map(millis),
            loads: state.soft_state.totals(),
            stored: state.soft_state.stored_parts_update(&request.stored_after),
        }
    }

    async fn leader_stopped(self, _: Context, term: u64, campaign: bool) {
        let Some(driver) = &self.state.proposer.driver else { return };
        let _ = driver.try_send(DriverInput::LeaderStopped { from: self.peer, term, campaign });
    }

    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        if heartbeat.from == self.peer {
            self.state.members.receive(heartbeat);
        }
        self.state.members.heartbeat_for(&self.peer)
    }

    async fn relay(self, _: Context, report: RelayReport) -> RelayReply {
        let state = &self.state;
        if !state.is_leader() {
            return RelayReply { is_leader: false, loads: Vec::new(), control_nodes: Vec::new() };
        }
        state.relays.record(&self.peer, &report);
        state.soft_state.record_relay(&self.peer, report.loads, &report.used_parts);
        RelayReply {
            is_leader: true,
            loads: state.soft_state.totals(),
            control_nodes: state.relays.reporting(state.as_control_node()),
        }
    }

    async fn name_entry_nodes(self, _: Context, nodes: Vec<InstanceId>) {
        self.state.relays.record_names(&self.peer, nodes);
    }

    async fn prompt_outcomes(self, _: Context, outcomes: Vec<PromptOutcome>) {
        let outcomes = outcomes.into_iter().map(TimedOutcome::received);
        if self.state.is_leader() {
            self.state.published.record_outcomes(&outcomes.collect::<Vec<_>>());
        } else {
            self.state.outcome_queue.add(outcomes);
        }
    }

    async fn software_of(self, _: Context, upstreams: Vec<UpstreamStart>) -> Vec<UpstreamSoftware> {
        self.state.soft_state.software.known(upstreams)
    }

    async fn stream_origins(self, _: Context, origins: Vec<StreamOrigin>, spread: Spread) {
        self.state.soft_state.origins.record(origins, spread);
    }

    async fn stream_origin(
        self,
        _: Context,
        stream: u64,
        service: ServiceName,
        spread: Spread,
    ) -> Option<SoftwareVersion> {
        let asked_at = BootInstant::now();
        let known = &self.state.soft_state.origins;
        let found = known.find(stream);
        if found.is_some() || spread == Spread::None {
            return found;
        }
        let found = self.state.origin_peers.ask(stream, &service).await;
        if found.is_some() {
            return found;
        }
        let sole = known.sole_version(asked_at, &service).await;
        // Its entry node may have reported it meanwhile.
        known.find(stream).or(sole)
    }

    async fn target_ages(self, _: Context) -> Vec<TargetAge> {
        self.state.views.target_ages.ages()
    }

    async fn entry_nodes(self, _: Context, question: EntryNodesQuestion) -> Vec<InstanceId> {
        let ServerState { published, cut_off_nodes, origin_peers, .. } = self.state.as_ref();
        entry_nodes::answer(question, published, cut_off_nodes, origin_peers).await
    }

    async fn cold_upstreams(self, _: Context, upstreams: Vec<UpstreamStart>) -> ColdReply {
        self.state.soft_state.cold.answer(upstreams)
    }

    async fn grant_permits(self, _: Context, requests: PermitRequests) -> PermitGrants {
        self.state.soft_state.permits.grant(&self.peer, requests, &self.state.metrics)
    }

    async fn control_nodes(self, _: Context) -> Vec<ControlNode> {
        if self.state.is_leader() {
            return self.state.relays.reporting(self.state.as_control_node());
        }
        self.state.relays.named()
    }

    async fn acquire_place(self, _: Context, request: PlaceRequest) -> PlaceAnswer {
        let Some(term) = self.state.leading_term() else { return PlaceAnswer::NotLeader };
        self.state.places.acquire(term, &self.state.soft_state, request).await
    }

    async fn release_places(self, _: Context, releases: Vec<PlaceRelease>) {
        self.state.places.release(&releases);
    }

    async fn poll_config(self, _: Context, after: ConfigVersion, wait_ms: u64) -> HeldReply {
        let received_at = BootInstant::now();
        self.state.hold_poll(after, wait_ms).await;
        // Before the age is read: a suspension between the two makes the configuration look older, not newer.
        let held_ms = millis(received_at.elapsed());
        HeldReply { reply: self.state.follow_reply(after), held_ms }
    }

    async fn report_origins(self, _: Context, origins: Vec<ReportedOrigin>, spread: Spread) -> ProcessId {
        self.state.soft_state.origins.record_reported(origins, spread)
    }
}

impl ServerState {
    fn is_leader(&self) -> bool {
        self.leading_term().is_some()
    }

    /// Returns the term in which this node leads; `None` if it does not.
    fn leading_term(&self) -> Option<u64> {
        let replica = self.proposer.replica.borrow();
        let status = replica.status.as_ref()?;
        (status.leader.as_ref() == Some(&self.name)).then_some(status.term)
    }

    fn as_control_node(&self) -> ControlNode {
        ControlNode { name: self.name.clone(), zone: self.zone.clone() }
    }

    /// Records a poll. Crashes are counted by the leader; another node passes them on.
    fn record_poll(&self, request: &ObserveRequest) {
        self.published.record_poll(&request.node);
        if self.is_leader() {
            self.published.publish_crashes_soon(&request.crashes);
            return;
        }
        request.crashes.iter().for_each(|crash| self.crash_queue.add(crash.clone()));
    }

    /// Proposes to this node's replica and maps the failures for the forwarding node.
    async fn propose_local(&self, proposal: Proposal) -> Result<Reply, ForwardError> {
        let deadline = Instant::now() + PROPOSE_TIMEOUT;
        match self.proposer.propose_local(proposal, deadline).await {
            Ok(result) => result,
            Err(CallError::NotSent) => Err(ForwardError::NotAppended),
            Err(CallError::Uncertain) => Err(ForwardError::Uncertain),
        }
    }
}
