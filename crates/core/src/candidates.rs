//! Selection of the upstreams that a routing decision weighs in full.
//!
//! A decision may have thousands of candidates. One pass over compact rows bounds the cost of each as if its
//! cache were empty; only the cheapest of these, and the upstreams that hold a prefix, are weighed in full.

use std::collections::BTreeMap;

use crate::{
    fill::{self, Source, Way, Work},
    ids::WeightVersion,
    num::pick,
    piece_index::{Holder, PieceKey},
    route::{RoutePolicy, RouteRequest},
    view::{ClusterView, Row, StoreView, UpstreamState, UpstreamView, holds},
};

/// Upstreams with an empty cache that are weighed in full.
const MAX_EMPTY: usize = 24;
/// Holders of a prefix that are weighed in full.
const MAX_HOLDERS: usize = 24;
/// Holders taken from a piece that more upstreams hold than this, by least wait.
const HOLDERS_PER_SHARED_PIECE: usize = 12;

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

/// What a decision prepares once for each weight version.
struct Version<'a> {
    keys: Vec<PieceKey>,
    /// Stores with the run of pieces each holds from every index on.
    stores: Vec<(&'a StoreView, Vec<usize>)>,
    /// The stores as an upstream with an empty cache sees them.
    sources: Vec<Source<'a>>,
}

struct Context<'a, 'r> {
    view: &'a ClusterView,
    request: &'r RouteRequest<'r>,
    policy: &'r RoutePolicy,
    versions: BTreeMap<WeightVersion, Version<'a>>,
    zone: Option<u16>,
    service: u16,
    wanted: UpstreamState,
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
        versions: versions(view, request, policy),
        zone: view.name_number(request.zone.as_str()),
        service,
        wanted: UpstreamState::Live,
        excluded: request.excluded.iter().filter_map(|id| view.upstream_slot(id)).collect(),
    };
    let ranking = context.rank(draw);
    if !ranking.candidates.is_empty() {
        return ranking;
    }
    context.wanted = UpstreamState::Suspect;
    context.rank(draw)
}

fn versions<'a>(
    view: &'a ClusterView,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
) -> BTreeMap<WeightVersion, Version<'a>> {
    let usable = request.pieces.iter().filter(|(v, _)| request.pinned_version.is_none_or(|pin| pin == **v));
    let prepared = usable.map(|(version, names)| {
        let keys: Vec<PieceKey> = names.iter().map(PieceKey::of).collect();
        let stores = view.store_runs(&keys);
        let sources = sources(&stores, 0, request, policy);
        (*version, Version { keys, stores, sources })
    });
    prepared.collect()
}

/// Returns the stores that hold the piece at `first` and those after it.
fn sources<'a>(
    stores: &[(&'a StoreView, Vec<usize>)],
    first: usize,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
) -> Vec<Source<'a>> {
    let runs = stores.iter().map(|(store, runs)| (*store, runs.get(first).copied().unwrap_or(0)));
    let held = runs.filter(|(_, run)| *run > 0);
    held.map(|(store, run)| Source::new(store, run, store.zone == *request.zone, policy)).collect()
}

impl<'a> Context<'a, '_> {
    fn rank(&self, draw: f64) -> Ranking<'a> {
        let (bounds, considered) = self.bounds();
        let mut slots = self.cheapest(&bounds, draw);
        let holders = self.holding_slots();
        slots.retain(|slot| !holders.contains(slot));
        let mut candidates: Vec<Candidate<'a>> =
            holders.iter().chain(&slots).filter_map(|slot| self.weigh(*slot)).collect();
        candidates.sort_by(|a, b| a.way.cost_us.total_cmp(&b.way.cost_us));
        Ranking { candidates, considered }
    }

    fn is_eligible(&self, slot: u16, row: &Row) -> bool {
        row.service == self.service
            && row.state == self.wanted
            && self.request.pinned_version.is_none_or(|version| row.weight_version == version)
            && !self.excluded.contains(&slot)
    }

    fn zone_us(&self, row: &Row) -> f64 {
        if Some(row.zone) == self.zone { 0.0 } else { self.policy.cross_zone_us }
    }

    /// Returns the cost of each slot as if its cache were empty, infinite where it is not eligible.
    fn bounds(&self) -> (Vec<f32>, usize) {
        let mut considered = 0;
        let mut last: Option<(WeightVersion, Option<&Version<'a>>)> = None;
        let mut bounds = Vec::with_capacity(self.view.row_count());
        for (slot, row) in self.view.rows().enumerate() {
            let slot = u16::try_from(slot).unwrap_or(u16::MAX);
            if !self.is_eligible(slot, row) {
                bounds.push(f32::INFINITY);
                continue;
            }
            considered += 1;
            let version = match last {
                Some((known, version)) if known == row.weight_version => version,
                _ => self.versions.get(&row.weight_version),
            };
            last = Some((row.weight_version, version));
            bounds.push(self.bound(row, version));
        }
        (bounds, considered)
    }

    #[allow(clippy::cast_possible_truncation)]
    fn bound(&self, row: &Row, version: Option<&Version<'a>>) -> f32 {
        let work = self.work(row, 0);
        let computed = fill::compute(&work, self.policy).cost_us;
        let sources = version.map_or(&[][..], |v| v.sources.as_slice());
        let cost = sources.iter().fold(computed, |cost, source| {
            cost.min(fill::restore(&work, source, 0, source.held_pieces, self.policy).cost_us)
        });
        (cost + self.zone_us(row)) as f32
    }

    /// Returns the slots within the near-tie factor of the lowest bound, and then the next cheapest.
    fn cheapest(&self, bounds: &[f32], draw: f64) -> Vec<u16> {
        let lowest = bounds.iter().copied().fold(f32::INFINITY, f32::min);
        if lowest.is_infinite() {
            return Vec::new();
        }
        #[allow(clippy::cast_possible_truncation)]
        let limit = lowest * self.policy.near_tie_factor.max(1.0) as f32;
        // Nodes start at different slots, so that a large group of equals is not cut to the same few.
        let start = pick(draw, bounds.len());
        let order = (start..bounds.len()).chain(0..start);
        let near = order.filter(|slot| bounds[*slot] <= limit).take(MAX_EMPTY);
        let mut slots: Vec<u16> = near.filter_map(|slot| u16::try_from(slot).ok()).collect();
        // Where load differs widely, few are near; one more lets a full weighing find a cheaper way.
        if let Some(at) = bounds.iter().position(|bound| *bound <= lowest) {
            let at = u16::try_from(at).unwrap_or(u16::MAX);
            if !slots.contains(&at) {
                slots.push(at);
            }
        }
        slots
    }

    /// Returns upstreams that hold the first piece, those with the longest prefix first.
    fn holding_slots(&self) -> Vec<u16> {
        let mut found: Vec<u16> = Vec::new();
        for version in self.versions.values() {
            for key in version.keys.iter().rev() {
                let holders = self.view.holders(*key);
                if holders.len() <= HOLDERS_PER_SHARED_PIECE {
                    self.add_holders(holders.iter().copied(), &mut found);
                } else {
                    self.add_holders(self.least_waiting(holders), &mut found);
                    break;
                }
                if found.len() >= MAX_HOLDERS {
                    break;
                }
            }
        }
        found
    }

    fn add_holders(&self, holders: impl Iterator<Item = Holder>, found: &mut Vec<u16>) {
        for holder in holders {
            let known = found.len() >= MAX_HOLDERS || found.contains(&holder.slot);
            if !known && self.is_holding(holder) {
                found.push(holder.slot);
            }
        }
    }

    fn is_holding(&self, holder: Holder) -> bool {
        // Stores are in the same index and have no row.
        let Some(row) = self.view.row_at(holder.slot) else { return false };
        row.epoch == holder.epoch && self.is_eligible(holder.slot, row)
    }

    fn least_waiting(&self, holders: &[Holder]) -> impl Iterator<Item = Holder> + use<> {
        let mut waits: Vec<(f64, Holder)> = Vec::with_capacity(HOLDERS_PER_SHARED_PIECE + 1);
        for holder in holders.iter().copied().filter(|holder| self.is_holding(*holder)) {
            let row = self.view.row(holder.slot);
            let wait_us = row.wait_us(self.request.now_ms) + self.zone_us(row);
            if waits.len() == HOLDERS_PER_SHARED_PIECE && wait_us >= waits[waits.len() - 1].0 {
                continue;
            }
            let at = waits.partition_point(|(known, _)| *known <= wait_us);
            waits.insert(at, (wait_us, holder));
            waits.truncate(HOLDERS_PER_SHARED_PIECE);
        }
        waits.into_iter().map(|(_, holder)| holder)
    }

    fn work(&self, row: &Row, cached_pieces: usize) -> Work {
        let cached_tokens = cached_pieces as u64 * self.policy.piece_tokens;
        Work {
            wait_us: row.wait_us(self.request.now_ms),
            us_per_token: row.us_per_token,
            missing_tokens: self.request.prompt_tokens.saturating_sub(cached_tokens),
        }
    }

    fn weigh(&self, slot: u16) -> Option<Candidate<'a>> {
        let upstream = self.view.upstream_at(slot)?;
        let row = self.view.row(slot);
        let version = self.versions.get(&row.weight_version);
        let keys = version.map_or(&[][..], |v| v.keys.as_slice());
        let holder = Holder { slot, epoch: row.epoch };
        let cached_pieces = keys.iter().take_while(|key| holds(self.view.holders(**key), holder)).count();
        let work = self.work(row, cached_pieces);
        let way = match version {
            None => fill::compute(&work, self.policy),
            Some(version) if cached_pieces == 0 => fill::best(&work, &version.sources, self.policy),
            Some(version) => {
                let sources = sources(&version.stores, cached_pieces, self.request, self.policy);
                fill::best(&work, &sources, self.policy)
            }
        };
        let way = Way { cost_us: way.cost_us + self.zone_us(row), ..way };
        let own_zone = Some(row.zone) == self.zone;
        Some(Candidate { upstream, own_zone, cached_pieces, wait_us: work.wait_us, way })
    }
}
