//! State that the listeners and actors of a node share.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
};

use daisysill_cluster::ClusterHandle;
use daisysill_core::{
    chart::{Chart, REQUEST_CHART, ROLE_CHART, UPSTREAM_CHART},
    ids::{ConfigVersion, InstanceId, ServiceName},
    memory_budget::MemoryBudget,
    result_code::ResultCode,
    rules::{RuleSet, ServiceRules},
    view::ClusterView,
};
use eyre::WrapErr;

use crate::{
    admission_control::AdmissionController, auth::Authenticator, claimed_requests::ClaimedRequests,
    config::Config, crash::BlockedRequests, directory::BlockDirectory, explain::ExplainLog,
    idle_pieces::IdlePieces, metrics::Metrics, planned_stop::PlannedStop, proposer::CommandProposer,
    refusal::Refusal, trace::Tracing, upstreams::UpstreamTable,
};

/// Retry delay suggested to callers while the node is at its limit of requests.
const OVERLOAD_RETRY_MS: u64 = 1_000;
/// Suggested retry delay while the configuration is not known yet.
const NO_CONFIG_RETRY_MS: u64 = 500;

/// State that the listeners and actors of a node share.
pub struct Shared {
    /// The settings that the process was started with.
    pub config: Config,
    /// Finds the customer of a bearer token.
    pub authenticator: Authenticator,
    /// Access to the agreed state and to the other nodes.
    pub cluster: ClusterHandle,
    /// Commits commands; the cluster outside tests.
    pub proposer: Arc<dyn CommandProposer>,
    /// Non-idempotent requests in progress on this node.
    pub claimed_requests: Arc<ClaimedRequests>,
    /// Wait queues and slots of each service.
    pub admission: Arc<AdmissionController>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Decisions of the latest requests.
    pub explain: ExplainLog,
    /// Upstreams and stores, with their states.
    pub upstreams: Arc<UpstreamTable>,
    /// Sealed blocks of each store.
    pub directory: Arc<BlockDirectory>,
    /// KV pieces that requests left in engines.
    pub idle_pieces: IdlePieces,
    /// Requests refused for a time because upstreams crashed while they ran.
    pub blocked_requests: BlockedRequests,
    /// Memory for the bytes of all requests and answers.
    pub memory: MemoryBudget,
    /// Tells requests in progress when a planned stop ends.
    pub planned_stop: PlannedStop,
    /// Starts the spans of requests.
    pub tracing: Tracing,
    /// State chart of a request.
    pub request_chart: Chart,
    lifecycle_chart: Chart,
    lifecycle_state: Mutex<String>,
    rules: Mutex<ParsedRules>,
}

impl Shared {
    /// Creates the shared state of a node that commits commands through `cluster`.
    ///
    /// # Errors
    /// Fails if a state chart file is not valid or the trace file cannot be opened.
    pub fn new(config: Config, cluster: ClusterHandle) -> eyre::Result<Self> {
        let proposer = Arc::new(cluster.clone());
        Self::with_proposer(config, cluster, proposer)
    }

    /// Creates the shared state of a node that commits commands through `proposer`.
    ///
    /// # Errors
    /// Fails if a state chart file is not valid or the trace file cannot be opened.
    pub fn with_proposer(
        config: Config,
        cluster: ClusterHandle,
        proposer: Arc<dyn CommandProposer>,
    ) -> eyre::Result<Self> {
        let metrics = Arc::new(Metrics::with_cluster(cluster.metrics()));
        let directory = Arc::<BlockDirectory>::default();
        let chart = Chart::parse(UPSTREAM_CHART)?;
        let upstreams = UpstreamTable::new(chart, Arc::clone(&metrics), Arc::clone(&directory));
        let memory = MemoryBudget::new(config.limits.memory_bytes);
        let dropped = metrics.dropped_spans.clone();
        let tracing = config.node.trace_file.as_ref().map(|path| Tracing::to_file(path, dropped));
        let tracing = tracing.transpose().wrap_err("cannot open the trace file")?.unwrap_or_default();
        Ok(Self {
            authenticator: Authenticator::new(&config),
            config,
            cluster,
            proposer,
            claimed_requests: Arc::default(),
            admission: Arc::new(AdmissionController::new(Arc::clone(&metrics))),
            metrics,
            explain: ExplainLog::default(),
            upstreams: Arc::new(upstreams),
            directory,
            idle_pieces: IdlePieces::default(),
            blocked_requests: BlockedRequests::default(),
            memory,
            planned_stop: PlannedStop::default(),
            tracing,
            request_chart: Chart::parse(REQUEST_CHART)?,
            lifecycle_chart: Chart::parse(ROLE_CHART)?,
            lifecycle_state: Mutex::new("starting".to_owned()),
            rules: Mutex::default(),
        })
    }

    /// Returns the life cycle state of this process, as the state chart names it.
    pub fn lifecycle_state(&self) -> String {
        self.lifecycle_state.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies an event to the life cycle of this process; one that the current state does not declare is
    /// only counted.
    pub fn lifecycle_event(&self, event: &str) {
        let mut state = self.lifecycle_state.lock().unwrap_or_else(PoisonError::into_inner);
        match self.lifecycle_chart.next(&state, event) {
            Ok(next) if next == *state => {}
            Ok(next) => {
                log::info!("node {}: {state} -> {next} on {event}", self.config.node.name);
                next.clone_into(&mut state);
            }
            Err(_) => {
                self.metrics.undeclared_events.inc();
            }
        }
    }

    /// Checks that the node has had a current configuration since its start: before, it knows neither the rules in force
    /// nor the evacuated zones.
    ///
    /// # Errors
    /// Refuses while the node starts or joins.
    pub fn check_config_known(&self) -> Result<(), Refusal> {
        match self.lifecycle_state().as_str() {
            "starting" | "joining" => {
                Err(Refusal::new(ResultCode::NoQuorum, "the configuration is not known yet")
                    .retry_after_ms(NO_CONFIG_RETRY_MS))
            }
            _ => Ok(()),
        }
    }

    /// Checks that the node may accept one more request.
    ///
    /// # Errors
    /// Refuses while as many requests are in progress as `in_flight_requests` allows.
    pub fn check_capacity(&self) -> Result<(), Refusal> {
        let limit = i64::try_from(self.config.limits.in_flight_requests).unwrap_or(i64::MAX);
        if self.metrics.in_flight.get() < limit {
            return Ok(());
        }
        let message = "this node has as many requests in progress as it may have";
        Err(Refusal::new(ResultCode::CustomerOverloaded, message).retry_after_ms(OVERLOAD_RETRY_MS))
    }

    /// Returns the names of the availability zones of this deployment: those of its nodes and of the listed upstreams.
    pub fn known_zones(&self) -> BTreeSet<String> {
        let cluster = &self.config.cluster;
        let nodes = cluster.peers.iter().map(|peer| &peer.zone).chain([&cluster.zone]);
        nodes.map(ToString::to_string).chain(self.upstreams.listed_zones()).collect()
    }

    /// Applies the drain marks of the newest configuration that this node has.
    pub fn apply_drain_marks(&self) {
        let config = Arc::clone(&self.cluster.view().borrow());
        self.upstreams.apply_drains(&config.draining);
    }

    /// Puts the evacuations of the newest configuration that this node has in force. Called before each choice and each
    /// send, since the drain marks are otherwise applied at intervals.
    pub(crate) fn apply_evacuations(&self) {
        let config = Arc::clone(&self.cluster.view().borrow());
        self.upstreams.apply_evacuations(&config.draining);
    }

    /// Returns the upstreams and stores for a choice, as [`UpstreamTable::view`].
    pub(crate) fn placement_view(&self) -> (ClusterView, u64) {
        self.apply_evacuations();
        self.upstreams.view()
    }

    /// Returns whether new work may be sent to an upstream or a store, as far as evacuations are concerned.
    pub(crate) fn may_send(&self, id: &InstanceId) -> bool {
        self.apply_evacuations();
        !self.upstreams.is_evacuated(id)
    }

    /// Returns the rules in force for a service; if this version of the program cannot parse them, the last
    /// ones that it could.
    pub fn rules_of(&self, service: &ServiceName) -> ServiceRules {
        let view = Arc::clone(&self.cluster.view().borrow());
        let mut parsed = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        // Parsed on use, so that no request is decided by rules older than the view.
        if parsed.version != Some(view.rules_version) {
            parsed.version = Some(view.rules_version);
            match RuleSet::parse(&view.rules) {
                Ok(rules) => parsed.rules = rules,
                // The agreed state refuses files with errors, so these come from a newer version of the
                // program.
                Err(errors) => log::error!(
                    "cannot parse the rule files in force, the former rules stay in use: {} errors",
                    errors.len()
                ),
            }
        }
        parsed.rules.of(service)
    }
}

/// The parsed rules in force, and the version they belong to.
#[derive(Debug, Default)]
struct ParsedRules {
    version: Option<ConfigVersion>,
    rules: RuleSet,
}
