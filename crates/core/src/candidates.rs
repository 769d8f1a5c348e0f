//! Selection of the upstreams that a routing decision weighs in full.
//!
//! A decision may have thousands of candidates. One pass over compact rows bounds the cost of each as if its
//! cache were empty; only the cheapest of these, and the upstreams that hold a prefix, are weighed in full.

use std::collections::BTreeMap;

use crate::{
    fill::{self, Way, Work},
    ids::WeightVersion,
    num::US_PER_MS,
    piece_index::Holder,
    prefix::Prefix,
    route::{RoutePolicy, RouteRequest},
    scan::{self, Eligibility, Scan},
    view::{ClusterView, UpstreamState, UpstreamView},
    view_row::{Row, kind},
};

/// Upstreams that are weighed in full.
const MAX_WEIGHED: usize = 16;
/// Holders that are looked at; bounds the time for prompts whose pieces very many upstreams hold.
const MAX_HOLDERS: usize = 16_384;

/// One upstream and its cheapest way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    /// The upstream.
    pub(crate) upstream: &'a UpstreamView,
    /// Whether it is in the zone of the node that decides.
    pub(crate) own_zone: bool,
    /// Leading pieces that its cache holds.
    pub(crate) cached_pieces: usize,
    /// Prefill time queued ahead.
    pub(crate) wait_us: f64,
    /// Its cheapest way.
    pub(crate) way: Way<'a>,
}

/// Candidates, cheapest first.
#[derive(Debug)]
pub(crate) struct Ranking<'a> {
    /// The candidates weighed in full.
    pub(crate) candidates: Vec<Candidate<'a>>,
    /// How many upstreams could have been chosen.
    pub(crate) considered: usize,
}

struct Context<'a, 'r> {
    view: &'a ClusterView,
    request: &'r RouteRequest<'r>,
    policy: &'r RoutePolicy,
    prefixes: BTreeMap<WeightVersion, Prefix<'a>>,
    eligibility: Eligibility,
    excluded: Vec<u16>,
}

/// Ranks the upstreams for a request; suspect ones only if no live one is left.
pub(crate) fn rank<'a>(
    view: &'a ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    draw: f64,
) -> Ranking<'a> {
    let Some(service) = view.name_number(request.service.as_str()) else {
        return Ranking { candidates: Vec::new(), considered: 0 };
    };
    let mut context = Context {
        view,
        request,
        policy,
        prefixes: prefixes(view, request, policy, service),
        eligibility: Eligibility {
            service,
            zone: view.name_number(request.zone.as_str()),
            wanted: UpstreamState::Live,
        },
        excluded: request.excluded.iter().filter_map(|id| view.upstream_slot(id)).collect(),
    };
    let ranking = context.rank(draw);
    if !ranking.candidates.is_empty() {
        return ranking;
    }
    context.eligibility.wanted = UpstreamState::Suspect;
    context.rank(draw)
}

fn prefixes<'a>(
    view: &'a ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    service: u16,
) -> BTreeMap<WeightVersion, Prefix<'a>> {
    let live = kind(service, UpstreamState::Live);
    // Engines of one service differ little in speed, so any of them serves to compare stores.
    let any = view.row_chunks().find_map(|rows| {
        let at = rows.kind.iter().position(|kind| *kind == live)?;
        Some(rows.us_per_token[at])
    });
    let us_per_token = any.unwrap_or(0.0);
    let usable = request.pieces.iter().filter(|(v, _)| request.pinned_version.is_none_or(|pin| pin == **v));
    usable
        .map(|(version, names)| (*version, Prefix::new(view, names, request, policy, us_per_token)))
        .collect()
}

impl<'a> Context<'a, '_> {
    fn rank(&self, draw: f64) -> Ranking<'a> {
        let mut scan = self.scan();
        self.count_caches(&mut scan);
        #[allow(clippy::cast_possible_truncation)]
        let factor = self.policy.near_tie_factor.max(1.0) as f32;
        let is_own_zone = |slot| self.view.zone(slot) == self.eligibility.zone;
        let slots = scan.cheapest(factor, draw, MAX_WEIGHED, is_own_zone);
        let mut candidates: Vec<Candidate<'a>> = slots.iter().filter_map(|slot| self.weigh(*slot)).collect();
        candidates.sort_by(|a, b| a.way.cost_us.total_cmp(&b.way.cost_us));
        Ranking { candidates, considered: scan.considered }
    }

    fn zone_us(&self, row: &Row) -> f64 {
        if Some(row.zone) == self.eligibility.zone { 0.0 } else { self.policy.cross_zone_us }
    }

    fn scan(&self) -> Scan {
        let prefix_of = |version: WeightVersion| self.prefixes.get(&version);
        let chunks = self.view.row_chunks();
        let mut scan = scan::scan(chunks, self.eligibility, self.request, self.policy, prefix_of);
        self.excluded.iter().for_each(|slot| scan.exclude(*slot));
        scan
    }

    /// Lowers the bounds of upstreams that hold pieces of the prompt.
    ///
    /// Caches evict from the end of a prefix, so holders of a piece mostly hold those before it. Going from the
    /// last piece to the first, a piece with no more holders than a later one adds nothing.
    fn count_caches(&self, scan: &mut Scan) {
        let mut looked_at = 0;
        for prefix in self.prefixes.values() {
            let mut most = 0;
            for (at, holders) in prefix.holders().iter().enumerate().rev() {
                if holders.len() <= most {
                    continue;
                }
                most = holders.len();
                looked_at += most;
                if looked_at > MAX_HOLDERS {
                    return;
                }
                let cached_tokens = (at as u64 + 1) * self.policy.piece_tokens;
                let missing_tokens = self.request.prompt_tokens.saturating_sub(cached_tokens) as f32;
                for holder in *holders {
                    let stale = || self.view.epoch(holder.slot) != holder.epoch;
                    scan.lower(holder.slot, missing_tokens, stale);
                }
            }
        }
    }

    fn work(&self, row: &Row, cached_pieces: usize) -> Work {
        let cached_tokens = cached_pieces as u64 * self.policy.piece_tokens;
        Work {
            wait_us: row.wait_us(self.request.now_ms as f64 * US_PER_MS),
            us_per_token: row.us_per_token,
            missing_tokens: self.request.prompt_tokens.saturating_sub(cached_tokens),
        }
    }

    fn weigh(&self, slot: u16) -> Option<Candidate<'a>> {
        let upstream = self.view.upstream_at(slot)?;
        let row = &self.view.row(slot);
        let prefix = self.prefixes.get(&row.weight_version);
        let cached_pieces = prefix.map_or(0, |p| p.cached_pieces(Holder { slot, epoch: row.epoch }));
        let work = self.work(row, cached_pieces);
        let way = match prefix {
            None => fill::compute(&work, self.policy),
            Some(prefix) if cached_pieces == 0 => fill::best(&work, prefix.sources(), self.policy),
            Some(prefix) => {
                let sources = prefix.sources_from(cached_pieces, self.request, self.policy, row.us_per_token);
                fill::best(&work, &sources, self.policy)
            }
        };
        let zone_us = self.zone_us(row);
        let way = Way { cost_us: way.cost_us + zone_us, estimate_us: way.estimate_us + zone_us, ..way };
        let own_zone = Some(row.zone) == self.eligibility.zone;
        Some(Candidate { upstream, own_zone, cached_pieces, wait_us: work.wait_us, way })
    }
}
