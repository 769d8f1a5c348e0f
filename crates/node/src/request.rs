//! The life cycle of one request on the node that received it.

use std::sync::Arc;

use daisysill_core::{
    ids::{CustomerId, ServiceName},
    result_code::ResultCode,
};
use daisysill_wire::http_types::Explanation;
use rand::RngExt;
use tokio::time::Instant;

use crate::{metrics::ResultLabels, shared::Shared, trace::TraceSpan};

/// The life cycle of one request; finished exactly once, when dropped at the latest.
pub struct RequestLifecycle {
    shared: Arc<Shared>,
    /// The request's id.
    pub id: String,
    /// The customer.
    pub customer: CustomerId,
    /// The service.
    pub service: ServiceName,
    /// When the request arrived.
    pub arrived: Instant,
    /// The span that covers the request on this node.
    pub span: TraceSpan,
    state: String,
    states: Vec<String>,
    decisions: Vec<String>,
    result: ResultCode,
}

impl RequestLifecycle {
    /// Starts the life cycle of an authenticated request.
    pub fn new(
        shared: &Arc<Shared>,
        customer: &CustomerId,
        service: &ServiceName,
        traceparent: &str,
    ) -> Self {
        shared.metrics.in_flight.inc();
        let mut life = Self {
            shared: Arc::clone(shared),
            id: new_id("req"),
            customer: customer.clone(),
            service: service.clone(),
            arrived: Instant::now(),
            span: shared.tracing.span_from("request", traceparent),
            state: "received".to_owned(),
            states: vec!["received".to_owned()],
            decisions: Vec::new(),
            result: ResultCode::Internal,
        };
        life.span.set("request_id", life.id.as_str());
        life.span.set("customer", customer.as_str());
        life.span.set("service", service.as_str());
        life.event("authenticated");
        life
    }

    /// Feeds an event; one that the state does not declare is counted and ignored.
    pub fn event(&mut self, event: &str) {
        match self.shared.request_chart.next(&self.state, event) {
            Ok(next) if next == self.state => {}
            Ok(next) => {
                next.clone_into(&mut self.state);
                self.states.push(self.state.clone());
            }
            Err(_) => {
                self.shared.metrics.undeclared_events.inc();
            }
        }
    }

    /// Returns whether part of the answer has arrived in the current attempt.
    pub fn is_relaying(&self) -> bool {
        self.state == "relaying"
    }

    /// Returns whether the request has its answer, for instance a stored one.
    pub fn is_answered(&self) -> bool {
        self.state == "answered"
    }

    /// Records the reason of a decision.
    pub fn decision(&mut self, reason: &str) {
        self.decisions.push(reason.to_owned());
    }

    /// Records the reason of the admission, or of its refusal.
    pub fn admission(&mut self, reason: &str) {
        self.span.child("admission").set("reason", reason);
        self.decision(reason);
    }

    /// Records the result; the last one recorded counts.
    pub fn result(&mut self, result: ResultCode) {
        self.result = result;
    }
}

impl Drop for RequestLifecycle {
    fn drop(&mut self) {
        self.shared.metrics.in_flight.dec();
        self.span.set("result", self.result.name());
        let labels =
            ResultLabels { service: self.service.to_string(), result: self.result.name().to_owned() };
        self.shared.metrics.requests.get_or_create(&labels).inc();
        self.shared.explain.add(Explanation {
            request_id: std::mem::take(&mut self.id),
            customer: self.customer.to_string(),
            service: self.service.to_string(),
            states: std::mem::take(&mut self.states),
            decisions: std::mem::take(&mut self.decisions),
            result_code: u32::from(self.result.number()),
        });
    }
}

/// Returns a new id that no other node uses.
pub fn new_id(prefix: &str) -> String {
    format!("{prefix}-{:032x}", rand::rng().random::<u128>())
}
