//! Counts and logs the responses that this process refuses.

use std::{fmt::Display, sync::LazyLock};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};

use crate::fault::ResponseFault;

/// Labels of a refused response.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct FaultLabels {
    /// Name of the fault.
    pub reason: &'static str,
}

/// Shared by all clients of the process.
static REFUSED: LazyLock<Family<FaultLabels, Counter>> = LazyLock::new(Family::default);

/// Returns the count of refused responses, to be registered as a metric.
///
/// ```
/// use daisysill_http::{FaultLabels, ResponseFault, record_refusal, refused_responses};
/// record_refusal(ResponseFault::Length, "10.0.0.1:8080", Some("r1"));
/// let labels = FaultLabels { reason: "length" };
/// assert_eq!(refused_responses().get_or_create(&labels).get(), 1);
/// ```
pub fn refused_responses() -> Family<FaultLabels, Counter> {
    REFUSED.clone()
}

/// Counts and logs a response of `peer` that is refused, with the ID of the request that it was to answer, if that has one.
pub fn record_refusal(fault: ResponseFault, peer: impl Display, request_id: Option<&str>) {
    let reason = fault.name();
    REFUSED.get_or_create(&FaultLabels { reason }).inc();
    let request_id = request_id.unwrap_or("-");
    log::warn!("response_refused reason={reason} peer={peer} request_id={request_id}");
}
