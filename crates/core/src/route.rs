//! Choice of an upstream and of how its cache gets the request's prefix.

use std::collections::BTreeMap;

use crate::{
    block::BlockName,
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    view::{ClusterView, StoreView, UpstreamState, UpstreamView},
};

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
    /// Cost of crossing to another zone, in microseconds.
    pub cross_zone_us: f64,
}

/// Pieces to import from a store before the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestorePlan {
    /// The store to read from.
    pub store: InstanceId,
    /// Index of the first piece to import.
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
    /// What to restore first, if anything.
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

/// One way to serve the request at one upstream.
struct Candidate<'a> {
    upstream: &'a UpstreamView,
    restore: Option<(&'a StoreView, usize)>,
    cached_pieces: usize,
    recomputed_tokens: u64,
    estimate_us: f64,
    cost_us: f64,
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
    let eligible = |wanted| {
        let upstreams = view.upstreams.iter().filter(move |u| u.state == wanted);
        let upstreams = upstreams.filter(|u| is_eligible(u, request));
        upstreams.map(|u| best_candidate(u, view, request, policy)).collect::<Vec<_>>()
    };
    let mut candidates = eligible(UpstreamState::Live);
    if candidates.is_empty() {
        candidates = eligible(UpstreamState::Suspect);
    }
    candidates.sort_by(|a, b| a.cost_us.total_cmp(&b.cost_us));
    let near = candidates.partition_point(|c| c.cost_us <= candidates[0].cost_us * NEAR_TIE_FACTOR);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let picked = (draw * near as f64) as usize;
    candidates.get(picked.min(near.saturating_sub(1))).map(|c| decide(c, candidates.len(), policy))
}

/// Candidates within this factor of the lowest cost count as equal, so that nodes that read the same
/// report do not all choose the same upstream.
const NEAR_TIE_FACTOR: f64 = 1.05;

fn is_eligible(upstream: &UpstreamView, request: &RouteRequest<'_>) -> bool {
    upstream.service == *request.service
        && !request.excluded.contains(&upstream.id)
        && request.pinned_version.is_none_or(|version| upstream.weight_version == version)
}

fn best_candidate<'a>(
    upstream: &'a UpstreamView,
    view: &'a ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
) -> Candidate<'a> {
    let pieces = request.pieces.get(&upstream.weight_version).map_or(&[][..], Vec::as_slice);
    let cached_pieces = pieces.iter().take_while(|p| upstream.pieces.contains(*p)).count();
    let plain = candidate(upstream, None, cached_pieces, request, policy);
    let stores = view.stores.iter().filter(|s| s.reachable);
    stores.fold(plain, |best, store| {
        let wanted = &pieces[cached_pieces..];
        let held = wanted.iter().take_while(|p| store.pieces.contains(*p)).count();
        if held == 0 {
            return best;
        }
        let with_restore = candidate(upstream, Some((store, held)), cached_pieces, request, policy);
        if with_restore.cost_us < best.cost_us { with_restore } else { best }
    })
}

fn candidate<'a>(
    upstream: &'a UpstreamView,
    restore: Option<(&'a StoreView, usize)>,
    cached_pieces: usize,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
) -> Candidate<'a> {
    let restored_pieces = restore.map_or(0, |(_, count)| count);
    let kept_tokens = (cached_pieces + restored_pieces) as u64 * policy.piece_tokens;
    let recomputed_tokens = request.prompt_tokens.saturating_sub(kept_tokens);
    let queue_tokens = upstream.reported_queue_tokens + upstream.dispatched_tokens;
    let speed = upstream.prefill_tokens_per_s.max(1) as f64;
    let prefill_us = (queue_tokens + recomputed_tokens) as f64 / speed * US_PER_S;
    let transfer_us = restore.map_or(0.0, |(store, count)| {
        let bytes = store.booked_bytes + count as u64 * policy.piece_bytes;
        bytes as f64 / store.link_bytes_per_s.max(1) as f64 * US_PER_S
    });
    let zone_us = if upstream.zone == *request.zone { 0.0 } else { policy.cross_zone_us };
    let estimate_us = prefill_us + transfer_us + zone_us;
    let cost_us = estimate_us + recomputed_tokens as f64 * policy.recompute_weight_us;
    Candidate { upstream, restore, cached_pieces, recomputed_tokens, estimate_us, cost_us }
}

const US_PER_S: f64 = 1_000_000.0;

fn decide(chosen: &Candidate<'_>, candidate_count: usize, policy: &RoutePolicy) -> Decision {
    let cached_tokens = chosen.cached_pieces as u64 * policy.piece_tokens;
    let restore = chosen.restore.map(|(store, piece_count)| RestorePlan {
        store: store.id.clone(),
        first_piece: chosen.cached_pieces,
        piece_count,
    });
    let source = restore.as_ref().map_or_else(
        || "nothing restored".to_owned(),
        |plan| format!("{} pieces restored from {}", plan.piece_count, plan.store),
    );
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let estimate_us = chosen.estimate_us.max(0.0) as u64;
    Decision {
        reason: format!(
            "{} of {candidate_count} candidates: {cached_tokens} tokens cached, {source}, {} tokens computed, \
             first token estimated after {estimate_us} us",
            chosen.upstream.id, chosen.recomputed_tokens,
        ),
        upstream: chosen.upstream.id.clone(),
        weight_version: chosen.upstream.weight_version,
        restore,
        cached_tokens,
        recomputed_tokens: chosen.recomputed_tokens,
        estimate_us,
    }
}
