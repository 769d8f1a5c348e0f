//! Routing decision: the upstream that gets a request, and how its cache is filled with the prompt's prefix.
//!
//! The cost of an upstream is its estimated time to first token plus a weight for each computed token.
//! `daisysill-node` uses this decision; the gateway uses that of `placement`.

use std::collections::BTreeMap;

use crate::{
    block::BlockName,
    candidates::{Candidate, rank},
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    num::{pick, whole},
    view::ClusterView,
};

pub use crate::fill::Fill;

/// The properties of a request that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The requested service.
    pub service: &'a ServiceName,
    /// The zone of the deciding node.
    pub zone: &'a ZoneName,
    /// Names of the complete pieces of the prompt in order, for each weight version in service.
    pub pieces: &'a BTreeMap<WeightVersion, Vec<BlockName>>,
    /// Length of the whole prompt.
    pub prompt_tokens: u64,
    /// The weight version that a run in progress must keep; `None` for a new request.
    pub pinned_version: Option<WeightVersion>,
    /// Upstreams that already failed this request.
    pub excluded: &'a [InstanceId],
    /// The current time on the clock of the view's load reports.
    pub now_ms: u64,
}

/// The cost weights of the rule file and the constants of the service.
#[derive(Clone, Copy, Debug)]
pub struct RoutePolicy {
    /// Tokens in a piece.
    pub piece_tokens: u64,
    /// Bytes of one exported piece.
    pub piece_bytes: u64,
    /// Cost of one recomputed token, in microseconds of time to first token.
    pub recompute_weight_us: f64,
    /// Penalty for another zone: the microseconds that an upstream or store there must save to be chosen.
    pub cross_zone_us: f64,
    /// Whether the engine can compute the first pieces of a prompt while later ones are being restored.
    pub prefill_during_restore: bool,
    /// Candidates whose cost is within this factor of the lowest count as equal; values below 1 count as 1.
    pub near_tie_factor: f64,
}

/// The default near-tie factor; `docs/decisions.md` compares it with others.
pub const NEAR_TIE_FACTOR: f64 = 1.15;

/// Pieces to import from a store for the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestorePlan {
    /// The store to read from.
    pub store: InstanceId,
    /// Index of the first piece to import; uncached pieces before it are computed in the meantime.
    pub first_piece: usize,
    /// Number of pieces to import.
    pub piece_count: usize,
}

/// The chosen upstream, the fill of its cache and the reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The upstream that gets the attempt.
    pub upstream: InstanceId,
    /// The weight version it runs; the attempt requires this version.
    pub weight_version: WeightVersion,
    /// How the missing prefix gets into the cache.
    pub fill: Fill,
    /// The import from a store; `None` if all missing tokens are computed.
    pub restore: Option<RestorePlan>,
    /// Prompt tokens believed to be in the upstream's cache.
    pub cached_tokens: u64,
    /// Prompt tokens that the upstream has to compute.
    pub recomputed_tokens: u64,
    /// Estimated time to first token in microseconds.
    pub estimate_us: u64,
    /// One line for `daisysill explain` and the trace span, with the figures behind the choice.
    pub reason: String,
}

/// An upstream with the cost of its cheapest fill plan.
#[derive(Clone, Debug, PartialEq)]
pub struct RankedUpstream {
    /// The evaluated upstream.
    pub upstream: InstanceId,
    /// Estimated time to first token in microseconds, with the penalty for another zone.
    pub estimate_us: f64,
    /// The estimate plus the weight for computed tokens.
    pub cost_us: f64,
}

/// Chooses the upstream with the lowest cost; `draw` in `0.0..1.0` breaks near-ties.
///
/// Returns `None` if no upstream of the service may take new work.
pub fn choose(
    view: &ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    draw: f64,
) -> Option<Decision> {
    let ranking = rank(view, request, policy, draw);
    let lowest = ranking.candidates.first()?;
    let limit_us = lowest.plan.cost_us * policy.near_tie_factor.max(1.0);
    // A near-tie with an upstream of the own zone is never resolved in favour of another zone.
    let near: Vec<&Candidate<'_>> = ranking
        .candidates
        .iter()
        .filter(|c| c.plan.cost_us <= limit_us && (c.own_zone || !lowest.own_zone))
        .collect();
    let chosen = near.get(pick(draw, near.len()))?;
    Some(decide(chosen, ranking.eligible, near.len(), policy))
}

/// Returns the upstreams that a decision evaluates in full, cheapest first.
pub fn ranked(
    view: &ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    draw: f64,
) -> Vec<RankedUpstream> {
    let ranking = rank(view, request, policy, draw);
    let upstreams = ranking.candidates.iter().map(|c| RankedUpstream {
        upstream: c.upstream.id.clone(),
        estimate_us: c.plan.estimate_us,
        cost_us: c.plan.cost_us,
    });
    upstreams.collect()
}

fn decide(chosen: &Candidate<'_>, eligible: usize, near: usize, policy: &RoutePolicy) -> Decision {
    let plan = &chosen.plan;
    let cached_tokens = chosen.cached_pieces as u64 * policy.piece_tokens;
    let restore = plan.store.map(|store| RestorePlan {
        store: store.id.clone(),
        first_piece: chosen.cached_pieces + plan.leading_pieces,
        piece_count: plan.restored_pieces,
    });
    let source = restore.as_ref().map_or_else(
        || "nothing restored".to_owned(),
        |restore| format!("{} pieces restored from {}", restore.piece_count, restore.store),
    );
    let zone = if chosen.own_zone { "own zone" } else { "other zone" };
    let estimate_us = whole(plan.estimate_us);
    Decision {
        reason: format!(
            "{} of {eligible} candidates ({near} near-equal, {zone}): {}, {cached_tokens} tokens cached, \
             {source}, {} tokens computed, wait {} us, first token estimated after {estimate_us} us",
            chosen.upstream.id,
            plan.fill,
            plan.computed_tokens,
            whole(chosen.wait_us),
        ),
        upstream: chosen.upstream.id.clone(),
        weight_version: chosen.upstream.weight_version,
        fill: plan.fill,
        restore,
        cached_tokens,
        recomputed_tokens: plan.computed_tokens,
        estimate_us,
    }
}
