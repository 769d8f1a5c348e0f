//! Routing decision: the upstream that gets a request, and how its cache is filled with the prompt's prefix.
//!
//! The cost of an upstream is its estimated time to first token plus a weight for each computed token.
//! `daisysill-node` uses this decision; the gateway uses that of `placement`.

use std::collections::BTreeMap;

use crate::{
    block::BlockName,
    candidates::{Candidate, Ranking, rank, unranked},
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    num::{US_PER_S, pick, whole},
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

/// A candidate of a decision, with the terms of its cost.
///
/// Without a fetch that overlaps with prefill, the estimate is the longer of `wait_us` and `fetch_us`, plus `prefill_us` and
/// `zone_us`; the cost adds `compute_weight_us`.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateTerms {
    /// The evaluated upstream.
    pub upstream: InstanceId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether `draw` may choose it.
    pub near_equal: bool,
    /// Prefill time queued ahead of the request.
    pub wait_us: f64,
    /// Prefill time of the tokens that are neither cached nor fetched.
    pub prefill_us: f64,
    /// Prefill speed.
    pub prefill_tokens_per_s: u64,
    /// Prompt tokens believed to be in its cache.
    pub cached_tokens: u64,
    /// Prompt tokens that it computes.
    pub computed_tokens: u64,
    /// Time until the fetched pieces have arrived; 0 if none are fetched.
    pub fetch_us: f64,
    /// Number of pieces fetched from the store.
    pub fetched_pieces: usize,
    /// The store; `None` if nothing is fetched.
    pub store: Option<InstanceId>,
    /// Penalty for another zone.
    pub zone_us: f64,
    /// The rule file's weight of the computed tokens.
    pub compute_weight_us: f64,
    /// Estimated time to first token in microseconds, with the penalty for another zone.
    pub estimate_us: f64,
    /// The estimate plus the weight for computed tokens.
    pub cost_us: f64,
}

/// A decision with the candidates that it was made from.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainedDecision {
    /// What [`choose`] returns for the same arguments.
    pub decision: Option<Decision>,
    /// The candidates, cheapest first. Those that the choice rules out by a lower bound are evaluated for the explanation
    /// only, up to a limit.
    pub candidates: Vec<CandidateTerms>,
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
    select(&ranking, policy, draw)
}

/// As [`choose`], with the terms of the candidates.
///
/// ```
/// use std::collections::BTreeMap;
/// use daisysill_core::{route::{self, RoutePolicy, RouteRequest}, view::ClusterView};
///
/// let request = RouteRequest {
///     service: &"lyric-llm".into(),
///     zone: &"bkk-sathorn".into(),
///     pieces: &BTreeMap::new(),
///     prompt_tokens: 1_000,
///     pinned_version: None,
///     excluded: &[],
///     now_ms: 0,
/// };
/// let policy = RoutePolicy {
///     piece_tokens: 100,
///     piece_bytes: 10_000,
///     recompute_weight_us: 0.0,
///     cross_zone_us: 1_000.0,
///     prefill_during_restore: false,
///     near_tie_factor: route::NEAR_TIE_FACTOR,
/// };
/// let explained = route::explain(&ClusterView::default(), &request, &policy, 0.5);
/// assert!(explained.decision.is_none() && explained.candidates.is_empty());
/// ```
pub fn explain(
    view: &ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    draw: f64,
) -> ExplainedDecision {
    let ranking = rank(view, request, policy, draw);
    let near = near_equal(&ranking, policy);
    let is_near = |candidate: &Candidate<'_>| near.iter().any(|n| n.upstream.id == candidate.upstream.id);
    let others = unranked(view, request, policy, &ranking);
    let all = ranking.candidates.iter().chain(&others);
    let mut candidates: Vec<CandidateTerms> = all.map(|c| terms(c, is_near(c), policy)).collect();
    candidates.sort_by(|a, b| a.cost_us.total_cmp(&b.cost_us));
    ExplainedDecision { decision: select(&ranking, policy, draw), candidates }
}

fn select(ranking: &Ranking<'_>, policy: &RoutePolicy, draw: f64) -> Option<Decision> {
    let near = near_equal(ranking, policy);
    let chosen = near.get(pick(draw, near.len()))?;
    Some(decide(chosen, ranking.eligible, near.len(), policy))
}

/// Returns the candidates among which a draw chooses. A near-tie with an upstream of the own zone is never resolved in favour
/// of another zone.
fn near_equal<'r, 'a>(ranking: &'r Ranking<'a>, policy: &RoutePolicy) -> Vec<&'r Candidate<'a>> {
    let Some(lowest) = ranking.candidates.first() else { return Vec::new() };
    let limit_us = lowest.plan.cost_us * policy.near_tie_factor.max(1.0);
    let is_near = |c: &&Candidate<'_>| c.plan.cost_us <= limit_us && (c.own_zone || !lowest.own_zone);
    ranking.candidates.iter().filter(is_near).collect()
}

fn terms(candidate: &Candidate<'_>, near_equal: bool, policy: &RoutePolicy) -> CandidateTerms {
    let plan = &candidate.plan;
    let computed_tokens = plan.computed_tokens as f64;
    CandidateTerms {
        upstream: candidate.upstream.id.clone(),
        zone: candidate.upstream.zone.clone(),
        near_equal,
        wait_us: candidate.wait_us,
        prefill_us: computed_tokens * candidate.us_per_token,
        prefill_tokens_per_s: whole((US_PER_S / candidate.us_per_token).round()),
        cached_tokens: candidate.cached_pieces as u64 * policy.piece_tokens,
        computed_tokens: plan.computed_tokens,
        fetch_us: plan.transfer_us,
        fetched_pieces: plan.restored_pieces,
        store: plan.store.map(|store| store.id.clone()),
        zone_us: candidate.zone_us,
        compute_weight_us: computed_tokens * policy.recompute_weight_us,
        estimate_us: plan.estimate_us,
        cost_us: plan.cost_us,
    }
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
