//! Selection of the upstreams that a routing decision weighs in full.
//!
//! A decision may have thousands of candidates. One pass over compact rows bounds the cost of each as if its
//! cache were empty; only the cheapest of these, and the upstreams that hold a prefix, are weighed in full.

use std::collections::BTreeMap;

use crate::{
    fill::{self, Way, Work},
    ids::WeightVersion,
    num::{US_PER_MS, pick},
    piece_index::Holder,
    prefix::Prefix,
    route::{RoutePolicy, RouteRequest},
    scan::{self, Eligibility, Scan},
    view::{ClusterView, UpstreamState, UpstreamView},
    view_row::Row,
};

/// Upstreams with an empty cache that are weighed in full.
const MAX_EMPTY: usize = 16;
/// Holders of a prefix that are weighed in full.
const MAX_HOLDERS: usize = 16;
/// Holders taken from a piece that more upstreams hold than this, by least wait.
const HOLDERS_PER_SHARED_PIECE: usize = 8;

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
    let mut rows = view.row_chunks().flatten();
    // Engines of one service differ little in speed, so any of them serves to compare stores.
    let us_per_token = rows.find(|row| row.service == service).map_or(0.0, |row| row.us_per_token);
    let usable = request.pieces.iter().filter(|(v, _)| request.pinned_version.is_none_or(|pin| pin == **v));
    usable
        .map(|(version, names)| (*version, Prefix::new(view, names, request, policy, us_per_token)))
        .collect()
}

impl<'a> Context<'a, '_> {
    fn rank(&self, draw: f64) -> Ranking<'a> {
        let scan = self.scan();
        let holders = self.holding_slots(&scan);
        let mut slots = self.cheapest(&scan, draw);
        slots.retain(|slot| !holders.contains(slot));
        let mut candidates: Vec<Candidate<'a>> =
            holders.iter().chain(&slots).filter_map(|slot| self.weigh(*slot)).collect();
        candidates.sort_by(|a, b| a.way.cost_us.total_cmp(&b.way.cost_us));
        Ranking { candidates, considered: scan.considered }
    }

    fn zone_us(&self, row: &Row) -> f64 {
        if Some(row.zone) == self.eligibility.zone { 0.0 } else { self.policy.cross_zone_us }
    }

    fn scan(&self) -> Scan {
        let prefix_of = |row: &Row| self.prefixes.get(&row.weight_version);
        let chunks = self.view.row_chunks();
        let mut scan = scan::scan(chunks, self.eligibility, self.request, self.policy, prefix_of);
        self.excluded.iter().for_each(|slot| scan.exclude(*slot));
        scan
    }

    /// Returns slots within the near-tie factor of the lowest bound.
    #[allow(clippy::cast_possible_truncation)]
    fn cheapest(&self, scan: &Scan, draw: f64) -> Vec<u16> {
        let bounds = &scan.bounds;
        let lowest = bounds.iter().copied().fold(f32::INFINITY, f32::min);
        if lowest.is_infinite() {
            return Vec::new();
        }
        let limit = lowest * self.policy.near_tie_factor.max(1.0) as f32;
        // Nodes start at different slots, so that a large group of equals is not cut to the same few.
        let start = pick(draw, bounds.len());
        let order = (start..bounds.len()).chain(0..start);
        let near = order.filter(|slot| bounds[*slot] <= limit).take(MAX_EMPTY);
        near.filter_map(|slot| u16::try_from(slot).ok()).collect()
    }

    /// Returns upstreams that hold pieces of the prompt, those that hold later ones first.
    fn holding_slots(&self, scan: &Scan) -> Vec<u16> {
        let mut found: Vec<u16> = Vec::new();
        for prefix in self.prefixes.values() {
            for holders in prefix.holders().iter().rev() {
                if found.len() >= MAX_HOLDERS {
                    break;
                }
                if holders.len() > HOLDERS_PER_SHARED_PIECE {
                    self.add_holders(least_waiting(holders, scan), scan, &mut found);
                    break;
                }
                self.add_holders(holders.iter().copied(), scan, &mut found);
            }
        }
        found
    }

    fn add_holders(&self, holders: impl Iterator<Item = Holder>, scan: &Scan, found: &mut Vec<u16>) {
        for holder in holders {
            let usable = is_eligible_slot(scan, holder) && self.view.row(holder.slot).epoch == holder.epoch;
            if usable && found.len() < MAX_HOLDERS && !found.contains(&holder.slot) {
                found.push(holder.slot);
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
        let row = self.view.row(slot);
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

/// Stores are in the same index as upstreams, but beyond the rows.
fn is_eligible_slot(scan: &Scan, holder: Holder) -> bool {
    scan.waits.get(usize::from(holder.slot)).is_some_and(|wait| wait.is_finite())
}

fn least_waiting(holders: &[Holder], scan: &Scan) -> impl Iterator<Item = Holder> + use<> {
    let mut least: Vec<(f32, Holder)> = Vec::with_capacity(HOLDERS_PER_SHARED_PIECE + 1);
    let mut limit = f32::INFINITY;
    for holder in holders {
        let wait = scan.waits.get(usize::from(holder.slot)).copied().unwrap_or(f32::INFINITY);
        if wait >= limit || wait.is_infinite() {
            continue;
        }
        let at = least.partition_point(|(known, _)| *known <= wait);
        least.insert(at, (wait, *holder));
        if least.len() > HOLDERS_PER_SHARED_PIECE {
            least.pop();
            limit = least[least.len() - 1].0;
        }
    }
    least.into_iter().map(|(_, holder)| holder)
}
