//! Orders to a stand-in engine to load weights, with an optional check of the fencing number.

use std::sync::Arc;

use actix_web::{
    HttpResponse,
    web::{Data, Json},
};
use daisysill_wire::http_types::EngineOrder;

use crate::{engine::EngineState, util::lock};

/// An order that an engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// Kind of the order; only `load_weights` is known.
    pub kind: String,
    /// Fencing number of the control node that gave the order.
    pub fencing: u64,
    /// Weight version to load.
    pub weight_version: u64,
    /// Highest fencing number of the orders received before, also of refused ones.
    pub highest_fencing_before: u64,
    /// Whether the order was accepted.
    pub accepted: bool,
}

/// The loaded weights and the state of loading others.
#[derive(Debug)]
pub(crate) struct Weights {
    pub(crate) version: u64,
    pub(crate) loading: bool,
    highest_fencing: u64,
}

impl Weights {
    pub(crate) fn new(version: u64) -> Self {
        Self { version, loading: false, highest_fencing: 0 }
    }
}

/// Answers an order at once; the weights are loaded afterwards.
pub(crate) async fn order(order: Json<EngineOrder>, state: Data<EngineState>) -> HttpResponse {
    let (state, order) = (state.into_inner(), order.into_inner());
    let refusal = {
        let mut weights = lock(&state.weights);
        let refusal = refusal(&weights, &order, state.config.checks_fencing);
        lock(&state.records).orders.push(OrderRecord {
            kind: order.kind.clone(),
            fencing: order.fencing,
            weight_version: order.weight_version,
            highest_fencing_before: weights.highest_fencing,
            accepted: refusal.is_none(),
        });
        weights.highest_fencing = weights.highest_fencing.max(order.fencing);
        if refusal.is_none() {
            weights.loading = order.weight_version != weights.version;
        }
        refusal
    };
    if let Some((status, reason)) = refusal {
        return state.refuse(status, reason);
    }
    if lock(&state.weights).loading {
        actix_rt::spawn(load(state, order.weight_version));
    }
    HttpResponse::Ok().json(serde_json::json!({}))
}

/// Returns status and reason if the order must be refused.
fn refusal(weights: &Weights, order: &EngineOrder, checks_fencing: bool) -> Option<(u16, &'static str)> {
    if order.kind != "load_weights" {
        return Some((400, "unknown order"));
    }
    if checks_fencing && order.fencing < weights.highest_fencing {
        return Some((409, "old fencing number"));
    }
    weights.loading.then_some((503, "loading weights"))
}

/// Loads weights from the weight store; the loaded version stays if the store cannot be reached.
async fn load(state: Arc<EngineState>, weight_version: u64) {
    let url = &state.config.weight_store_url;
    if !url.is_empty() {
        let client = awc::Client::builder().disable_timeout().finish();
        let response = client.get(format!("{url}/v1/weights/{weight_version}")).send().await;
        if response.is_err() {
            lock(&state.weights).loading = false;
            return;
        }
    }
    let mut weights = lock(&state.weights);
    weights.version = weight_version;
    weights.loading = false;
}
