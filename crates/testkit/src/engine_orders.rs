//! Orders to a stand-in engine: loading of weights, with and without a check of the fencing number.

use std::sync::Arc;

use actix_web::{
    HttpResponse,
    web::{Data, Json},
};
use daisysill_wire::http_types::EngineOrder;

use crate::{engine::EngineState, util::lock};

/// An order that an engine got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// What was ordered.
    pub kind: String,
    /// Its fencing number.
    pub fencing: u64,
    /// The weight version to load.
    pub weight_version: u64,
    /// The highest fencing number seen before it.
    pub highest_fencing_before: u64,
    /// Whether it was carried out.
    pub accepted: bool,
}

/// The weights in service and on their way.
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

/// Accepts an order at once and carries it out afterwards.
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

fn refusal(weights: &Weights, order: &EngineOrder, checks_fencing: bool) -> Option<(u16, &'static str)> {
    if order.kind != "load_weights" {
        return Some((400, "unknown order"));
    }
    if checks_fencing && order.fencing < weights.highest_fencing {
        return Some((409, "old fencing number"));
    }
    weights.loading.then_some((503, "loading weights"))
}

async fn load(state: Arc<EngineState>, weight_version: u64) {
    let url = &state.config.weight_store_url;
    if !url.is_empty() {
        let request = awc::Client::builder().disable_timeout().finish();
        let answer = request.get(format!("{url}/v1/weights/{weight_version}")).send().await;
        if answer.is_err() {
            lock(&state.weights).loading = false;
            return;
        }
    }
    let mut weights = lock(&state.weights);
    weights.version = weight_version;
    weights.loading = false;
}
