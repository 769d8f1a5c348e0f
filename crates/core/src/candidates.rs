//! Selection of the upstreams whose cost a routing decision evaluates in full.
//!
//! A decision may have thousands of candidates. One pass over compact rows bounds the cost of each as if its
//! cache were empty, and the bounds of upstreams that hold a prefix are lowered. Only the upstreams with the
//! lowest bounds are evaluated in full.

use std::collections::BTreeMap;

use crate::{
    fill::{self, FillPlan, PrefillWork},
    ids::WeightVersion,
    num::US_PER_MS,
    piece_index::Holder,
    prefix::Prefix,
    route::{RoutePolicy, RouteRequest},
    scan::{self, Eligibility, Scan},
    view::{ClusterView, UpstreamState, UpstreamView},
    view_row::{Row, kind},
};

/// Upstreams that are evaluated in full.
const MAX_EVALUATED: usize = 16;
/// Upstreams that are evaluated only for an explanation.
const MAX_EXPLAINED: usize = 256;
/// Limit on the holders examined, which bounds the time for prompts whose pieces very many upstreams hold.
const MAX_HOLDERS: usize = 16_384;

/// An upstream with its cheapest fill plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    /// The upstream, eligible when the ranking was made.
    pub(crate) upstream: &'a UpstreamView,
    /// Whether it is in the zone of the deciding node.
    pub(crate) own_zone: bool,
    /// Number of leading pieces of the prompt in its cache.
    pub(crate) cached_pieces: usize,
    /// Prefill time queued ahead of the request.
    pub(crate) wait_us: f64,
    /// Prefill time of one token.
    pub(crate) us_per_token: f64,
    /// Penalty for another zone.
    pub(crate) zone_us: f64,
    /// Its cheapest fill plan; costs include the penalty for another zone.
    pub(crate) plan: FillPlan<'a>,
}

/// The result of `rank`.
#[derive(Debug)]
pub(crate) struct Ranking<'a> {
    /// The candidates evaluated in full, cheapest first.
    pub(crate) candidates: Vec<Candidate<'a>>,
    /// Number of eligible upstreams, evaluated or not.
    pub(crate) eligible: usize,
    /// The state of the eligible upstreams.
    state: UpstreamState,
}

struct Context<'a, 'r> {
    view: &'a ClusterView,
    request: &'r RouteRequest<'r>,
    policy: &'r RoutePolicy,
    prefixes: BTreeMap<WeightVersion, Prefix<'a>>,
    eligibility: Eligibility,
    excluded: Vec<u16>,
}

/// Ranks the live upstreams for a request, or the suspect ones if no live one is eligible.
///
/// `draw` in `0.0..1.0` varies the selection among upstreams of nearly equal cost.
pub(crate) fn rank<'a>(
    view: &'a ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    draw: f64,
) -> Ranking<'a> {
    let Some(mut context) = Context::new(view, request, policy, UpstreamState::Live) else {
        return Ranking { candidates: Vec::new(), eligible: 0, state: UpstreamState::Live };
    };
    let ranking = context.rank(draw);
    if !ranking.candidates.is_empty() {
        return ranking;
    }
    context.eligibility.state = UpstreamState::Suspect;
    context.rank(draw)
}

/// Evaluates the eligible upstreams that a ranking left out, at most [`MAX_EXPLAINED`], in no particular order.
pub(crate) fn unranked<'a>(
    view: &'a ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    ranking: &Ranking<'_>,
) -> Vec<Candidate<'a>> {
    let Some(context) = Context::new(view, request, policy, ranking.state) else { return Vec::new() };
    let is_ranked = |index: &u16| {
        let upstream = view.upstream_at(*index);
        upstream.is_some_and(|u| ranking.candidates.iter().any(|c| c.upstream.id == u.id))
    };
    let scan = context.scan();
    let others = scan.eligible_indices().filter(|index| !is_ranked(index)).take(MAX_EXPLAINED);
    others.filter_map(|index| context.evaluate(index)).collect()
}

fn prefixes<'a>(
    view: &'a ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    service: u16,
) -> BTreeMap<WeightVersion, Prefix<'a>> {
    let live = kind(service, UpstreamState::Live);
    // Engines of one service differ little in speed, so the speed of any of them serves to compare stores.
    let sample = view.row_chunks().find_map(|rows| {
        let at = rows.kind.iter().position(|kind| *kind == live)?;
        Some(rows.us_per_token[at])
    });
    let us_per_token = sample.unwrap_or(0.0);
    let usable = request.pieces.iter().filter(|(v, _)| request.pinned_version.is_none_or(|pin| pin == **v));
    usable
        .map(|(version, names)| (*version, Prefix::new(view, names, request, policy, us_per_token)))
        .collect()
}

impl<'a, 'r> Context<'a, 'r> {
    /// Prepares the evaluation of upstreams in a state; `None` if no upstream has had the service.
    fn new(
        view: &'a ClusterView,
        request: &'r RouteRequest<'r>,
        policy: &'r RoutePolicy,
        state: UpstreamState,
    ) -> Option<Self> {
        let service = view.name_index(request.service.as_str())?;
        let zone = view.name_index(request.zone.as_str());
        Some(Self {
            view,
            request,
            policy,
            prefixes: prefixes(view, request, policy, service),
            eligibility: Eligibility { service, zone, state },
            excluded: request.excluded.iter().filter_map(|id| view.upstream_index(id)).collect(),
        })
    }

    fn rank(&self, draw: f64) -> Ranking<'a> {
        let mut scan = self.scan();
        self.apply_cached_prefixes(&mut scan);
        #[allow(clippy::cast_possible_truncation)]
        let near_tie_factor = self.policy.near_tie_factor.max(1.0) as f32;
        let is_own_zone = |index| self.view.zone(index) == self.eligibility.zone;
        let indices = scan.cheapest(near_tie_factor, draw, MAX_EVALUATED, is_own_zone);
        let mut candidates: Vec<Candidate<'a>> =
            indices.iter().filter_map(|index| self.evaluate(*index)).collect();
        candidates.sort_by(|a, b| a.plan.cost_us.total_cmp(&b.plan.cost_us));
        Ranking { candidates, eligible: scan.eligible, state: self.eligibility.state }
    }

    fn zone_us(&self, row: &Row) -> f64 {
        if Some(row.zone) == self.eligibility.zone { 0.0 } else { self.policy.cross_zone_us }
    }

    fn scan(&self) -> Scan {
        let prefix_of = |version: WeightVersion| self.prefixes.get(&version);
        let chunks = self.view.row_chunks();
        let mut scan = scan::scan(chunks, self.eligibility, self.request, self.policy, prefix_of);
        self.excluded.iter().for_each(|index| scan.exclude(*index));
        scan
    }

    /// Lowers the bounds of upstreams that hold pieces of the prompt.
    ///
    /// Caches evict from the end of a prefix, so holders of a piece mostly hold those before it. Pieces are
    /// therefore examined from last to first, and one with no more holders than a later one is skipped.
    fn apply_cached_prefixes(&self, scan: &mut Scan) {
        let mut examined = 0;
        for prefix in self.prefixes.values() {
            let mut most_holders = 0;
            for (at, holders) in prefix.holders().iter().enumerate().rev() {
                if holders.len() <= most_holders {
                    continue;
                }
                most_holders = holders.len();
                examined += most_holders;
                if examined > MAX_HOLDERS {
                    return;
                }
                let cached_tokens = (at as u64 + 1) * self.policy.piece_tokens;
                let missing_tokens = self.request.prompt_tokens.saturating_sub(cached_tokens) as f32;
                for holder in *holders {
                    let stale = || self.view.epoch(holder.index) != holder.epoch;
                    scan.lower_bound(holder.index, missing_tokens, stale);
                }
            }
        }
    }

    fn prefill_work(&self, row: &Row, cached_pieces: usize) -> PrefillWork {
        let cached_tokens = cached_pieces as u64 * self.policy.piece_tokens;
        PrefillWork {
            wait_us: row.wait_us(self.request.now_ms as f64 * US_PER_MS),
            us_per_token: row.us_per_token,
            missing_tokens: self.request.prompt_tokens.saturating_sub(cached_tokens),
        }
    }

    fn evaluate(&self, index: u16) -> Option<Candidate<'a>> {
        let upstream = self.view.upstream_at(index)?;
        let row = &self.view.row(index);
        let prefix = self.prefixes.get(&row.weight_version);
        let cached_pieces = prefix.map_or(0, |p| p.cached_pieces(Holder { index, epoch: row.epoch }));
        let work = self.prefill_work(row, cached_pieces);
        let plan = match prefix {
            None => fill::compute_only(&work, self.policy),
            Some(prefix) if cached_pieces == 0 => fill::cheapest(&work, prefix.sources(), self.policy),
            Some(prefix) => {
                let sources = prefix.sources_from(cached_pieces, self.request, self.policy, row.us_per_token);
                fill::cheapest(&work, &sources, self.policy)
            }
        };
        let zone_us = self.zone_us(row);
        let plan =
            FillPlan { cost_us: plan.cost_us + zone_us, estimate_us: plan.estimate_us + zone_us, ..plan };
        let own_zone = Some(row.zone) == self.eligibility.zone;
        let PrefillWork { wait_us, us_per_token, .. } = work;
        Some(Candidate { upstream, own_zone, cached_pieces, wait_us, us_per_token, zone_us, plan })
    }
}
