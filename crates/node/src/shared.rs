//! What all listeners and actors of one node share.

use std::sync::{Arc, Mutex, PoisonError};

use daisysill_cluster::ClusterHandle;
use daisysill_core::{
    chart::{Chart, ChartError, REQUEST_CHART, ROLE_CHART, UPSTREAM_CHART},
    ids::{ConfigVersion, ServiceName},
    rules::{RuleSet, ServiceRules},
};

use crate::{
    agreement::Agreement, auth::Authenticator, claimed_calls::ClaimedCalls, config::Config,
    explain::ExplainLog, metrics::Metrics, upstreams::UpstreamTable,
};

/// What all listeners and actors of one node share.
pub struct Shared {
    /// The settings.
    pub config: Config,
    /// Customers by token.
    pub authenticator: Authenticator,
    /// Access to the cluster.
    pub cluster: ClusterHandle,
    /// Commits commands; the cluster outside tests.
    pub agreement: Arc<dyn Agreement>,
    /// Calls that run at most once and are in progress here.
    pub claimed_calls: Arc<ClaimedCalls>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Why the latest requests were served as they were.
    pub explain: ExplainLog,
    /// Upstreams and stores.
    pub upstreams: Arc<UpstreamTable>,
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
    /// Fails if a state chart file is not valid.
    pub fn new(config: Config, cluster: ClusterHandle) -> Result<Self, ChartError> {
        let agreement = Arc::new(cluster.clone());
        Self::with_agreement(config, cluster, agreement)
    }

    /// Builds the shared state with another way to commit commands.
    ///
    /// # Errors
    /// Fails if a state chart file is not valid.
    pub fn with_agreement(
        config: Config,
        cluster: ClusterHandle,
        agreement: Arc<dyn Agreement>,
    ) -> Result<Self, ChartError> {
        let metrics = Arc::new(Metrics::default());
        let upstreams = UpstreamTable::new(Chart::parse(UPSTREAM_CHART)?, Arc::clone(&metrics));
        Ok(Self {
            authenticator: Authenticator::new(&config),
            config,
            cluster,
            agreement,
            claimed_calls: Arc::default(),
            metrics,
            explain: ExplainLog::default(),
            upstreams: Arc::new(upstreams),
            request_chart: Chart::parse(REQUEST_CHART)?,
            role_chart: Chart::parse(ROLE_CHART)?,
            role: Mutex::new("starting".to_owned()),
            rules: Mutex::default(),
        })
    }

    /// Returns the life cycle state of this process.
    pub fn role(&self) -> String {
        self.role.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Feeds an event to the life cycle of this process.
    pub fn role_event(&self, event: &str) {
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
