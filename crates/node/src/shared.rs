//! What all listeners and actors of one node share.

use std::sync::{Arc, Mutex, PoisonError};

use daisysill_cluster::ClusterHandle;
use daisysill_core::{
    chart::{Chart, ChartError, REQUEST_CHART, ROLE_CHART, UPSTREAM_CHART},
    ids::ServiceName,
    rules::{RuleSet, ServiceRules},
};

use crate::{
    auth::Authenticator, config::Config, explain::ExplainLog, metrics::Metrics, upstreams::UpstreamTable,
};

/// What all listeners and actors of one node share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub config: Config,
    /// Customers by token.
    pub authenticator: Authenticator,
    /// Access to the cluster.
    pub cluster: ClusterHandle,
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
    rules: Mutex<Arc<RuleSet>>,
}

impl Shared {
    /// Builds the shared state.
    ///
    /// # Errors
    /// Fails if a state chart file is not valid.
    pub fn new(config: Config, cluster: ClusterHandle) -> Result<Self, ChartError> {
        let metrics = Arc::new(Metrics::default());
        let upstreams = UpstreamTable::new(Chart::parse(UPSTREAM_CHART)?, Arc::clone(&metrics));
        Ok(Self {
            authenticator: Authenticator::new(&config),
            config,
            cluster,
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
        self.rules.lock().unwrap_or_else(PoisonError::into_inner).of(service)
    }

    /// Follows the configuration and parses each new set of rule files once.
    pub async fn follow_rules(self: Arc<Self>) {
        let mut view = self.cluster.view();
        loop {
            let files = view.borrow_and_update().rules.clone();
            // The agreed state refuses files with errors, so a failure here means an older program version.
            match RuleSet::parse(&files) {
                Ok(rules) => *self.rules.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(rules),
                Err(errors) => log::error!("rule files in force are not understood: {} errors", errors.len()),
            }
            if view.changed().await.is_err() {
                return;
            }
        }
    }
}
