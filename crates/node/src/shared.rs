//! What all listeners and actors of one node share.

use std::sync::{Arc, Mutex, PoisonError};

use daisysill_cluster::ClusterHandle;
use daisysill_core::{
    chart::{Chart, REQUEST_CHART, ROLE_CHART, UPSTREAM_CHART},
    ids::{ConfigVersion, ServiceName},
    result_code::ResultCode,
    rules::{RuleSet, ServiceRules},
};
use eyre::WrapErr;

use crate::{
    admission_control::AdmissionController, auth::Authenticator, claimed_requests::ClaimedRequests,
    config::Config, crash::BlockedRequests, directory::BlockDirectory, explain::ExplainLog,
    idle_pieces::IdlePieces, metrics::Metrics, proposer::CommandProposer, refusal::Refusal, trace::Tracing,
    upstreams::UpstreamTable,
};
/// When to come back while a node is full.
const OVERLOAD_RETRY_MS: u64 = 1_000;

/// What all listeners and actors of one node share.
pub struct Shared {
    /// The settings.
    pub config: Config,
    /// Customers by token.
    pub authenticator: Authenticator,
    /// Access to the cluster.
    pub cluster: ClusterHandle,
    /// Commits commands; the cluster outside tests.
    pub proposer: Arc<dyn CommandProposer>,
    /// Calls that run at most once and are in progress here.
    pub claimed_requests: Arc<ClaimedRequests>,
    /// Queues and slots of each service.
    pub admission: Arc<AdmissionController>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Why the latest requests were served as they were.
    pub explain: ExplainLog,
    /// Upstreams and stores.
    pub upstreams: Arc<UpstreamTable>,
    /// Sealed blocks in stores.
    pub directory: Arc<BlockDirectory>,
    /// Context that rests in engines.
    pub idle_pieces: IdlePieces,
    /// Requests blocked because they took down upstreams.
    pub blocked_requests: BlockedRequests,
    /// Starts spans.
    pub tracing: Tracing,
    /// The life cycle of a request.
    pub request_chart: Chart,
    role_chart: Chart,
    role: Mutex<String>,
    rules: Mutex<ParsedRules>,
}

impl Shared {
    /// Builds the shared state.
    ///
    /// # Errors
    /// Fails if a state chart file is not valid or the trace file cannot be opened.
    pub fn new(config: Config, cluster: ClusterHandle) -> eyre::Result<Self> {
        let proposer = Arc::new(cluster.clone());
        Self::with_proposer(config, cluster, proposer)
    }

    /// Builds the shared state with another way to commit commands.
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
        let dropped = metrics.dropped_spans.clone();
        let tracing = config.node.trace_file.as_ref().map(|path| Tracing::to_file(path, dropped));
        let tracing = tracing.transpose().wrap_err("the trace file cannot be written")?.unwrap_or_default();
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
            tracing,
            request_chart: Chart::parse(REQUEST_CHART)?,
            role_chart: Chart::parse(ROLE_CHART)?,
            role: Mutex::new("starting".to_owned()),
            rules: Mutex::default(),
        })
    }

    /// Returns the life cycle state of this process.
    pub fn lifecycle_state(&self) -> String {
        self.role.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Feeds an event to the life cycle of this process.
    pub fn lifecycle_event(&self, event: &str) {
        let mut role = self.role.lock().unwrap_or_else(PoisonError::into_inner);
        match self.role_chart.next(&role, event) {
            Ok(next) if next == *role => {}
            Ok(next) => {
                log::info!("node {}: {role} -> {next} on {event}", self.config.node.name);
                next.clone_into(&mut role);
            }
            Err(_) => {
                self.metrics.undeclared_events.inc();
            }
        }
    }

    /// Checks that the node may take one more request.
    ///
    /// # Errors
    /// Refuses while as many requests are in progress as the settings allow.
    pub fn check_capacity(&self) -> Result<(), Refusal> {
        let limit = i64::try_from(self.config.limits.in_flight_requests).unwrap_or(i64::MAX);
        if self.metrics.in_flight.get() < limit {
            return Ok(());
        }
        let message = "this node has as many requests in progress as it may have";
        Err(Refusal::new(ResultCode::CustomerOverloaded, message).retry_after_ms(OVERLOAD_RETRY_MS))
    }

    /// Returns the rules in force for a service.
    pub fn rules_of(&self, service: &ServiceName) -> ServiceRules {
        let view = Arc::clone(&self.cluster.view().borrow());
        let mut parsed = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        // Parsed where they are used, so that no call is judged by rules older than the view.
        if parsed.version != Some(view.rules_version) {
            parsed.version = Some(view.rules_version);
            match RuleSet::parse(&view.rules) {
                Ok(rules) => parsed.rules = rules,
                // The agreed state refuses files with errors, so this means an older program version.
                Err(errors) => log::error!("rule files in force are not understood: {} errors", errors.len()),
            }
        }
        parsed.rules.of(service)
    }
}

/// The rules in force, parsed once for each version.
#[derive(Debug, Default)]
struct ParsedRules {
    version: Option<ConfigVersion>,
    rules: RuleSet,
}
