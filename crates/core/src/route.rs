//! Choice of an upstream and of how its cache gets the request's prefix.

use std::collections::BTreeMap;

use crate::{
    block::BlockName,
    candidates::{Candidate, rank},
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    num::{pick, whole},
    view::ClusterView,
};

pub use crate::fill::Fill;

/// What is known of a request when an upstream is chosen for it.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The service asked for.
    pub service: &'a ServiceName,
    /// The zone of the node that decides.
    pub zone: &'a ZoneName,
    /// Names of the whole pieces of the prompt, first to last, for each weight version in service.
    pub pieces: &'a BTreeMap<WeightVersion, Vec<BlockName>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The weight version that a run in progress keeps; `None` for a new request.
    pub pinned_version: Option<WeightVersion>,
    /// Upstreams that already failed this request.
    pub excluded: &'a [InstanceId],
    /// The time on the clock of the view's load reports.
    pub now_ms: u64,
}

/// How a rule file weighs the two costs, and the constants of the service.
#[derive(Clone, Copy, Debug)]
pub struct RoutePolicy {
    /// Tokens in a piece.
    pub piece_tokens: u64,
    /// Bytes of one exported piece.
    pub piece_bytes: u64,
    /// Cost of one recomputed token, in microseconds of time to first token.
    pub recompute_weight_us: f64,
    /// What another zone must save to be chosen, in microseconds.
    pub cross_zone_us: f64,
    /// Whether the engine computes the front of a prompt while later pieces arrive.
    pub prefill_during_restore: bool,
    /// Candidates within this factor of the lowest cost count as equal.
    pub near_tie_factor: f64,
}

/// The near-tie factor in use; `docs/decisions.md` has the comparison.
pub const NEAR_TIE_FACTOR: f64 = 1.15;

/// Pieces to import from a store for the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestorePlan {
    /// The store to read from.
    pub store: InstanceId,
    /// Index of the first piece to import; pieces before it that are not cached are computed meanwhile.
    pub first_piece: usize,
    /// Number of pieces to import.
    pub piece_count: usize,
}

/// The chosen upstream and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The upstream that gets the attempt.
    pub upstream: InstanceId,
    /// The weight version it runs; the attempt demands it.
    pub weight_version: WeightVersion,
    /// How the cache is filled.
    pub fill: Fill,
    /// What to restore, if anything.
    pub restore: Option<RestorePlan>,
    /// Tokens found in the upstream's cache.
    pub cached_tokens: u64,
    /// Tokens that will be computed again.
    pub recomputed_tokens: u64,
    /// Estimated time to first token in microseconds.
    pub estimate_us: u64,
    /// One line for `daisysill explain` and the trace span.
    pub reason: String,
}

/// An upstream with the cost of its cheapest way, as ranked for a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct RankedUpstream {
    /// The upstream.
    pub upstream: InstanceId,
    /// Estimated time to first token in microseconds.
    pub estimate_us: f64,
    /// The estimate with the weight for recomputed tokens and the zone.
    pub cost_us: f64,
}

/// Chooses the upstream with the lowest cost; `draw` in `0.0..1.0` breaks near-ties.
///
/// Returns `None` when no upstream of the service may take new work.
pub fn choose(
    view: &ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    draw: f64,
) -> Option<Decision> {
    let ranking = rank(view, request, policy, draw);
    let lowest = ranking.candidates.first()?;
    let limit_us = lowest.way.cost_us * policy.near_tie_factor.max(1.0);
    // A tie is never broken towards another zone.
    let near: Vec<&Candidate<'_>> = ranking
        .candidates
        .iter()
        .filter(|c| c.way.cost_us <= limit_us && (c.own_zone || !lowest.own_zone))
        .collect();
    let chosen = near.get(pick(draw, near.len()))?;
    Some(decide(chosen, ranking.considered, near.len(), policy))
}

/// Returns the upstreams that a decision weighs in full, cheapest first.
pub fn ranked(
    view: &ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    draw: f64,
) -> Vec<RankedUpstream> {
    let ranking = rank(view, request, policy, draw);
    let upstreams = ranking.candidates.iter().map(|c| RankedUpstream {
        upstream: c.upstream.id.clone(),
        estimate_us: c.way.estimate_us,
        cost_us: c.way.cost_us,
    });
    upstreams.collect()
}

fn decide(chosen: &Candidate<'_>, considered: usize, near: usize, policy: &RoutePolicy) -> Decision {
    let way = &chosen.way;
    let cached_tokens = chosen.cached_pieces as u64 * policy.piece_tokens;
    let restore = way.store.map(|store| RestorePlan {
        store: store.id.clone(),
        first_piece: chosen.cached_pieces + way.front_pieces,
        piece_count: way.pieces,
    });
    let source = restore.as_ref().map_or_else(
        || "nothing restored".to_owned(),
        |plan| format!("{} pieces restored from {}", plan.piece_count, plan.store),
    );
    let zone = if chosen.own_zone { "own zone" } else { "other zone" };
    let estimate_us = whole(way.estimate_us);
    Decision {
        reason: format!(
            "{} of {considered} candidates ({near} near-equal, {zone}): {}, {cached_tokens} tokens cached, \
             {source}, {} tokens computed, wait {} us, first token estimated after {estimate_us} us",
            chosen.upstream.id,
            way.fill,
            way.computed_tokens,
            whole(chosen.wait_us),
        ),
        upstream: chosen.upstream.id.clone(),
        weight_version: chosen.upstream.weight_version,
        fill: way.fill,
        restore,
        cached_tokens,
        recomputed_tokens: way.computed_tokens,
        estimate_us,
    }
}
