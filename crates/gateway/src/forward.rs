//! Admits and forwards requests: chooses an upstream, sends the request, and decides after a failure whether to retry.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};

use daisysill_cluster::ClusterHandle;
use daisysill_core::{
    fetch_backoff::FetchBackoff, ids::ServiceName, kv_memory_share::KvMemoryShare,
    link_booking::LinkBookings, memory_budget::MemoryBudget, overload::Overload, place_use::PlaceUse,
    slot_share::SlotShare, upstream_contact::Reach, wait_queue::WaitQueue,
    zone_reachability::ZoneReachability,
};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use crate::{
    attempt::Attempt,
    caller_request::{AttemptHistory, CallerRequest},
    config::Bounds,
    contact::Contact,
    duration::millis,
    entry_peers::EntryPeers,
    exchange::{AttemptError, UpstreamResponse},
    header_codec::HeaderCodec,
    metrics::GatewayMetrics,
    node_share::{NODE_PEAK_RETENTION, RETRY_NODE_PEAK_RETENTION, retry_budget_refusal},
    open_streams::OpenStreams,
    peak_count::PeakCount,
    permits::PermitDemand,
    placement::{ChosenUpstream, Placement},
    pool::Pool,
    process_clock::ProcessClock,
    refusal::Refusal,
    regions::Regions,
    retry_budgets::RetryBudgets,
    routing_state::RoutingState,
    upstreams::Upstreams,
    waiting::rate_limit_refusal,
};

/// One part in this many of the node's memory is for the bytes of requests and responses. The rest is for the program, its state,
/// the buffers of the callers' connections and of the kernel.
const REQUEST_MEMORY_FRACTION: usize = 4;

/// State shared by all requests on this node.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) header_codec: SharedCodec,
    /// Access to the agreed configuration and to the state that nodes exchange.
    pub cluster: ClusterHandle,
    /// Limits that the deployment sets.
    pub bounds: Bounds,
    /// Routing table and target versions in force.
    pub routing: RoutingState,
    /// The upstreams that are listed at present.
    pub upstreams: Upstreams,
    /// Connections to the upstreams.
    pub pool: Pool,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    pub(crate) retries: Rc<RetryBudgets>,
    /// Requests that wait for capacity at an upstream, by service.
    pub(crate) waiting: RefCell<HashMap<ServiceName, WaitQueue<oneshot::Sender<()>>>>,
    /// Availability zones that are unreachable from this node.
    pub(crate) zone_reachability: RefCell<ZoneReachability>,
    /// How this node reaches the upstreams.
    pub(crate) contact: Rc<Contact>,
    /// The other entry nodes.
    pub(crate) peers: EntryPeers,
    /// The zones with their regions.
    pub(crate) regions: Regions,
    /// Notified whenever a request is no longer in flight at its upstream.
    pub(crate) request_ended: Rc<Notify>,
    /// Parts whose saving this node requested recently, and when.
    pub(crate) recent_saves: RefCell<HashMap<u64, Instant>>,
    /// Fetches to skip per store, since earlier ones were late.
    pub(crate) fetch_backoff: RefCell<FetchBackoff>,
    /// This node's fetches in progress.
    pub(crate) link_bookings: RefCell<LinkBookings>,
    /// This node's share of the free slots while they are scarce, by service.
    pub(crate) slot_shares: RefCell<HashMap<ServiceName, SlotShare>>,
    /// This node's share of the engines' free KV memory while it is scarce, by service.
    pub(crate) kv_memory_shares: RefCell<HashMap<ServiceName, KvMemoryShare>>,
    /// When this node asks the leader for places, by service.
    pub(crate) place_uses: RefCell<HashMap<ServiceName, PlaceUse>>,
    /// How long each service has lacked capacity.
    pub(crate) overloads: RefCell<HashMap<ServiceName, Overload>>,
    /// The highest recent number of entry nodes.
    pub(crate) entry_node_peak: PeakCount,
    /// The highest number of entry nodes in a longer time, by which they divide the slack of the retry budget.
    pub(crate) retry_node_peak: PeakCount,
    /// The clock by which shares, permits and budgets count.
    pub(crate) process_clock: Rc<ProcessClock>,
    /// Permits that this node needs of the leader.
    pub(crate) permits: PermitDemand,
    /// From when on the leader's number of entry nodes is complete; `None` before the first list.
    pub(crate) node_count_known_at: Cell<Option<Instant>>,
    /// Streams on their way to callers.
    pub(crate) open_streams: OpenStreams,
    /// Memory for the bytes of all requests and responses.
    pub(crate) memory: MemoryBudget,
    /// Number of requests that wait for a fresh configuration.
    pub(crate) config_waits: Cell<usize>,
    started: Instant,
}

/// Wraps the header codec for `Debug`.
pub(crate) struct SharedCodec(pub(crate) Arc<dyn HeaderCodec>);

impl std::fmt::Debug for SharedCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedCodec")
    }
}

impl Gateway {
    /// Starts with the configuration of `routing`; `upstreams` is normally still empty. On `peer_port` entry nodes take requests of
    /// each other.
    pub fn new(
        header_codec: Arc<dyn HeaderCodec>,
        routing: RoutingState,
        bounds: Bounds,
        upstreams: Upstreams,
        regions: Regions,
        peer_port: Option<u16>,
        metrics: GatewayMetrics,
    ) -> Self {
        let contact = Rc::new(Contact::default());
        let entry_node_connections = bounds.entry_node_connections();
        let (policy, process_clock) = (bounds.retry_budget, Rc::<ProcessClock>::default());
        let memory = MemoryBudget::new(bounds.memory_bytes / REQUEST_MEMORY_FRACTION);
        Self {
            header_codec: SharedCodec(header_codec),
            cluster: routing.cluster().clone(),
            bounds,
            routing,
            upstreams,
            pool: Pool::new(
                metrics.of_pool(&metrics.connections_opened),
                Some(Rc::clone(&contact)),
                memory.clone(),
            ),
            peers: EntryPeers::new(
                peer_port,
                entry_node_connections,
                &metrics,
                contact.peers_flag(),
                memory.clone(),
            ),
            regions,
            contact,
            metrics,
            retries: Rc::new(RetryBudgets::new(policy, Rc::clone(&process_clock))),
            waiting: RefCell::default(),
            zone_reachability: RefCell::default(),
            request_ended: Rc::default(),
            recent_saves: RefCell::default(),
            fetch_backoff: RefCell::default(),
            link_bookings: RefCell::default(),
            slot_shares: RefCell::default(),
            kv_memory_shares: RefCell::default(),
            place_uses: RefCell::default(),
            overloads: RefCell::default(),
            entry_node_peak: PeakCount::new(NODE_PEAK_RETENTION),
            retry_node_peak: PeakCount::new(RETRY_NODE_PEAK_RETENTION),
            process_clock,
            permits: PermitDemand::default(),
            node_count_known_at: Cell::default(),
            open_streams: OpenStreams::default(),
            memory,
            config_waits: Cell::default(),
            started: Instant::now(),
        }
    }

    /// Sends a request until an upstream responds or no further attempt is allowed; `begun` is the first
    /// attempt, if one is in progress already. A stream resumes after the event `resume_after`.
    pub(crate) async fn send(
        self: &Rc<Self>,
        request: &Rc<CallerRequest>,
        history: &mut AttemptHistory,
        begun: Option<Attempt<'_>>,
        resume_after: Option<&str>,
    ) -> Result<UpstreamResponse, Refusal> {
        let mut begun = begun;
        let mut last_error = None;
        loop {
            let attempt = if let Some(attempt) = begun.take() {
                attempt
            } else {
                let place = self.wait_for_place(request, history, last_error).await?;
                self.begin_attempt(request, history, place, resume_after)
            };
            let error = match self.finish_attempt(request, history, attempt, resume_after).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            last_error = Some(error);
            if let Some(refusal) = self.final_refusal(request, history, error) {
                return Err(refusal);
            }
        }
    }

    /// Chooses an upstream for the next attempt; waits for capacity if that helps.
    async fn wait_for_place(
        &self,
        request: &CallerRequest,
        history: &mut AttemptHistory,
        last_error: Option<AttemptError>,
    ) -> Result<Box<ChosenUpstream>, Refusal> {
        loop {
            // Before all checks, since it may wait.
            let place = self.acquire_place(request, history).await?;
            self.update_config();
            if let Some(refusal) = self.block_refusal(request, history) {
                return Err(refusal);
            }
            if self.passes_on(request) && self.contact.reach() == Reach::CutOff {
                return Err(self.no_upstream_refusal(request, history, last_error));
            }
            let placement = match place {
                Some(place) => self.place_at(request, history, place),
                None => self.place(request, history),
            };
            let mut chosen = match placement {
                Placement::At(chosen) => chosen,
                Placement::NoCapacity if self.passes_on(request) => {
                    return Err(self.no_capacity_refusal(request, history));
                }
                Placement::NoCapacity if self.wait_for_capacity(request, history).await => continue,
                Placement::NoCapacity => return Err(self.no_capacity_refusal(request, history)),
                Placement::RateLimited(wait) if self.wait_for_rate_limit(request, history, wait).await => {
                    continue;
                }
                Placement::RateLimited(wait) => {
                    return Err(rate_limit_refusal(request, history, wait.retry()));
                }
                Placement::NoneAccepting if self.wait_for_first_list(request).await => continue,
                Placement::NoneAccepting => {
                    return Err(self.no_upstream_refusal(request, history, last_error));
                }
            };
            if history.sends.is_retry() {
                let Some(permit) = self.try_take_retry(request) else {
                    return Err(retry_budget_refusal(history));
                };
                chosen.retry_permit = permit;
            }
            // Checked again before each attempt, since the process may have been suspended after admission.
            if let Some(refusal) = self.key_refusal(request, history) {
                return Err(refusal);
            }
            return Ok(chosen);
        }
    }

    /// Returns the milliseconds since this node started.
    pub(crate) fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }
}
