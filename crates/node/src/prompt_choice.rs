//! The choice of an upstream for a prompt. Requests that are served and `daisysill where` use the same code.

use std::collections::BTreeMap;

use daisysill_core::{
    block::{BlockName, BlockScope, piece_names},
    ids::{CustomerId, InstanceId, ServiceName, WeightVersion, ZoneName},
    route::{self, Decision, ExplainedDecision, RoutePolicy, RouteRequest},
    rules::ServiceRules,
    view::ClusterView,
};

use crate::config::ServiceConfig;

/// Routing cost of another availability zone, in microseconds.
const CROSS_ZONE_US: f64 = 1_000.0;

/// A prompt as far as the choice depends on it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PromptContent<'a> {
    /// Its text; for a chat, all its messages joined.
    Text(&'a str),
    /// The names of its complete pieces, and its length.
    Pieces { names: &'a [BlockName], tokens: u64 },
}

/// What the choice depends on, apart from the upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptChoice<'a> {
    pub(crate) customer: &'a CustomerId,
    pub(crate) service: &'a ServiceName,
    /// Name of a fine-tuned adapter; empty for the base model.
    pub(crate) adapter: &'a str,
    pub(crate) content: PromptContent<'a>,
    pub(crate) config: &'a ServiceConfig,
    pub(crate) rules: &'a ServiceRules,
    /// The zone of this node.
    pub(crate) zone: &'a ZoneName,
    /// The weight version that a run in progress must keep.
    pub(crate) pinned_version: Option<WeightVersion>,
    /// Upstreams that already failed the request.
    pub(crate) excluded: &'a [InstanceId],
}

impl<'a> PromptChoice<'a> {
    /// Chooses an upstream; `None` if none may take the request.
    pub(crate) fn choose(&self, view: &ClusterView, now_ms: u64, draw: f64) -> Option<Decision> {
        let pieces = self.pieces_by_version(view);
        route::choose(view, &self.route_request(&pieces, now_ms), &self.policy(), draw)
    }

    /// As [`Self::choose`], with the candidates and the terms of their costs.
    pub(crate) fn explain(&self, view: &ClusterView, now_ms: u64, draw: f64) -> ExplainedDecision {
        let pieces = self.pieces_by_version(view);
        route::explain(view, &self.route_request(&pieces, now_ms), &self.policy(), draw)
    }

    /// Returns what the names of the prompt's pieces depend on.
    pub(crate) fn scope(&self, weight_version: WeightVersion) -> BlockScope<'a> {
        BlockScope { customer: self.customer, service: self.service, adapter: self.adapter, weight_version }
    }

    /// Returns the bytes of text of one piece.
    pub(crate) fn piece_bytes(&self) -> usize {
        usize::try_from(self.config.piece_tokens * self.config.bytes_per_token).unwrap_or(usize::MAX)
    }

    /// Returns the block names of the prompt's complete pieces for each weight version of the service's upstreams.
    /// Names differ by customer, service, adapter and weight version.
    pub(crate) fn pieces_by_version(&self, view: &ClusterView) -> BTreeMap<WeightVersion, Vec<BlockName>> {
        let mut pieces = BTreeMap::new();
        for upstream in view.upstreams().filter(|u| u.service == *self.service) {
            pieces.entry(upstream.weight_version).or_insert_with(|| match self.content {
                PromptContent::Text(text) => {
                    piece_names(&self.scope(upstream.weight_version), text, self.piece_bytes())
                }
                PromptContent::Pieces { names, .. } => names.to_vec(),
            });
        }
        pieces
    }

    fn route_request<'r>(
        &'r self,
        pieces: &'r BTreeMap<WeightVersion, Vec<BlockName>>,
        now_ms: u64,
    ) -> RouteRequest<'r> {
        RouteRequest {
            service: self.service,
            zone: self.zone,
            pieces,
            prompt_tokens: match self.content {
                PromptContent::Text(text) => (text.len() as u64).div_ceil(self.config.bytes_per_token),
                PromptContent::Pieces { tokens, .. } => tokens,
            },
            pinned_version: self.pinned_version,
            excluded: self.excluded,
            now_ms,
        }
    }

    fn policy(&self) -> RoutePolicy {
        RoutePolicy {
            piece_tokens: self.config.piece_tokens,
            piece_bytes: self.config.piece_bytes,
            recompute_weight_us: self.rules.costs.recompute_weight_us as f64,
            cross_zone_us: CROSS_ZONE_US,
            prefill_during_restore: false,
            near_tie_factor: route::NEAR_TIE_FACTOR,
        }
    }
}

/// Returns the reason of a decision with the age of the load report that it is based on.
pub(crate) fn reason(view: &ClusterView, now_ms: u64, decision: &Decision) -> String {
    let basis = view.load_basis(&decision.upstream).map(|basis| basis.reason(now_ms));
    format!("{}; {}", decision.reason, basis.unwrap_or_default())
}
