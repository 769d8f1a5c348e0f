//! The pass over all rows of a routing decision.

use std::ops::Range;

use crate::{
    fill::Source,
    ids::WeightVersion,
    num::{US_PER_MS, pick},
    prefix::{MAX_SOURCES, Prefix},
    route::{RoutePolicy, RouteRequest},
    view::{CHUNK, UpstreamState},
    view_row::{Rows, kind},
};

/// Factor by which a full weighing may lower a cost below its bound: prefill and restore side by side take at
/// least half of the longer of the two.
const REFINEMENT_FACTOR: f32 = 2.0;
/// One part in this many of the weighed upstreams is left to those that are not near-equal.
const RESERVED_DIVISOR: usize = 4;

/// Shifts the digits of a draw that select the first chunk; a prime, so that no number of chunks divides it.
const DRAW_DIGITS: f64 = 7_919.0;

/// The result of the pass, by slot; infinite where an upstream is not eligible.
pub(crate) struct Scan {
    /// Prefill time queued ahead, with the cost of crossing zones.
    waits: Vec<f32>,
    /// Cost of computing one token.
    token_us: Vec<f32>,
    /// Cost of the cheapest way known so far.
    bounds: Vec<f32>,
    /// The lowest bound of each chunk of rows.
    chunk_lowest: Vec<f32>,
    /// Number of eligible upstreams.
    pub(crate) considered: usize,
}

/// Which rows are eligible, and what the request costs apart from the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Eligibility {
    /// Number of the service's name.
    pub(crate) service: u16,
    /// Number of the own zone's name.
    pub(crate) zone: Option<u16>,
    /// The state an upstream must have.
    pub(crate) wanted: UpstreamState,
}

/// A way without partial restore: prefill may start at `ready_us` and then takes `tokens` tokens.
#[derive(Clone, Copy, Debug)]
struct CoarseWay {
    ready_us: f32,
    tokens: f32,
}

/// Computing everything, and restoring all that each source holds. A fixed size keeps the pass free of branches.
type CoarseWays = [CoarseWay; 1 + MAX_SOURCES];

#[allow(clippy::cast_possible_truncation)]
fn coarse_ways(sources: &[Source<'_>], prompt_tokens: u64, policy: &RoutePolicy) -> CoarseWays {
    let compute = CoarseWay { ready_us: 0.0, tokens: prompt_tokens as f32 };
    let mut ways = [compute; MAX_SOURCES + 1];
    for (way, source) in ways.iter_mut().skip(1).zip(sources) {
        let restored_tokens = source.held_pieces as u64 * policy.piece_tokens;
        way.ready_us = source.transfer_us(source.held_pieces) as f32;
        way.tokens = prompt_tokens.saturating_sub(restored_tokens) as f32;
    }
    ways
}

// Comparisons instead of `f32::min` and `f32::max`, whose treatment of NaN costs several instructions a row.
fn lower(a: f32, b: f32) -> f32 {
    if a < b { a } else { b }
}

fn higher(a: f32, b: f32) -> f32 {
    if a > b { a } else { b }
}

/// Returns the lowest value. Several minima side by side do not wait for each other.
fn lowest_of(values: &[f32]) -> f32 {
    let mut lowest = [f32::INFINITY; 8];
    let parts = values.chunks_exact(lowest.len());
    let rest = parts.remainder().iter().copied().fold(f32::INFINITY, lower);
    for part in parts {
        for (lowest, value) in lowest.iter_mut().zip(part) {
            *lowest = lower(*value, *lowest);
        }
    }
    lowest.into_iter().fold(rest, lower)
}

/// Scans all rows, given as chunks of `CHUNK` rows in slot order.
pub(crate) fn scan<'a, 'p>(
    chunks: impl ExactSizeIterator<Item = &'a Rows>,
    eligibility: Eligibility,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    prefix_of: impl Fn(WeightVersion) -> Option<&'p Prefix<'p>>,
) -> Scan {
    let column = || Vec::with_capacity(chunks.len() * CHUNK);
    let mut scan = Scan {
        waits: column(),
        token_us: column(),
        bounds: column(),
        chunk_lowest: Vec::with_capacity(chunks.len()),
        considered: 0,
    };
    let mut columns = Columns { waits: [0.0; CHUNK], token_us: [0.0; CHUNK], added: [0.0; CHUNK] };
    let mut version = None;
    let mut ways = coarse_ways(&[], request.prompt_tokens, policy);
    for chunk in chunks {
        scan.considered += columns.gather(chunk, eligibility, request, policy);
        let mut lowest = f32::INFINITY;
        let mut at = 0;
        // Neighbours mostly run the same version, so a chunk has one run of rows, rarely more.
        for run in chunk.weight_version.chunk_by(|a, b| a == b) {
            if version != Some(run[0]) {
                version = Some(run[0]);
                let sources = prefix_of(run[0]).map_or(&[][..], Prefix::sources);
                ways = coarse_ways(sources, request.prompt_tokens, policy);
            }
            lowest = lower(columns.bound(at..at + run.len(), &ways), lowest);
            at += run.len();
        }
        scan.waits.extend_from_slice(&columns.waits);
        scan.token_us.extend_from_slice(&columns.token_us);
        scan.bounds.extend_from_slice(&columns.added);
        scan.chunk_lowest.push(lowest);
    }
    scan
}

/// Columns of a chunk's rows, apart from each other so that the compiler vectorises the arithmetic.
struct Columns {
    waits: [f32; CHUNK],
    token_us: [f32; CHUNK],
    /// Cost of crossing zones, infinite where the row is not eligible; then the bound.
    added: [f32; CHUNK],
}

impl Columns {
    /// Fills the columns from rows and returns how many are eligible.
    #[allow(clippy::cast_possible_truncation)]
    fn gather(
        &mut self,
        rows: &Rows,
        eligibility: Eligibility,
        request: &RouteRequest<'_>,
        policy: &RoutePolicy,
    ) -> usize {
        let now_us = request.now_ms as f64 * US_PER_MS;
        let (weight_us, cross_us) = (policy.recompute_weight_us, policy.cross_zone_us as f32);
        let own_zone = eligibility.zone.map_or(u32::MAX, u32::from);
        let wanted = kind(eligibility.service, eligibility.wanted);
        for (added, (kind, zone)) in self.added.iter_mut().zip(rows.kind.iter().zip(&rows.zone)) {
            let zone_us = if *zone == own_zone { 0.0 } else { cross_us };
            *added = if *kind == wanted { zone_us } else { f32::INFINITY };
        }
        if let Some(pin) = request.pinned_version {
            let others = self.added.iter_mut().zip(&rows.weight_version).filter(|(_, v)| **v != pin);
            others.for_each(|(added, _)| *added = f32::INFINITY);
        }
        for (token_us, row_us) in self.token_us.iter_mut().zip(&rows.us_per_token) {
            *token_us = (row_us + weight_us) as f32;
        }
        for (wait, (drained_us, added)) in self.waits.iter_mut().zip(rows.drained_us.iter().zip(&self.added))
        {
            *wait = higher((drained_us - now_us) as f32, 0.0) + added;
        }
        self.added.iter().map(|added| usize::from(added.is_finite())).sum()
    }

    /// Adds the cost of the cheapest coarse way to the rows in `range` and returns the lowest result.
    fn bound(&mut self, range: Range<usize>, ways: &CoarseWays) -> f32 {
        let waits = &self.waits[range.clone()];
        let token_us = &self.token_us[range.clone()];
        for ((added, wait), token_us) in self.added[range.clone()].iter_mut().zip(waits).zip(token_us) {
            // Both sides contain the cost of crossing zones.
            let cost = |way: &CoarseWay| higher(*wait, way.ready_us + *added) + way.tokens * token_us;
            *added = lower(lower(cost(&ways[0]), cost(&ways[1])), cost(&ways[2]));
        }
        lowest_of(&self.added[range])
    }
}

impl Scan {
    /// Makes a slot ineligible.
    pub(crate) fn exclude(&mut self, slot: u16) {
        let slot = usize::from(slot);
        self.considered -= usize::from(self.bounds[slot].is_finite());
        self.waits[slot] = f32::INFINITY;
        self.bounds[slot] = f32::INFINITY;
        let chunk = slot / CHUNK;
        let bounds = &self.bounds[chunk * CHUNK..(chunk + 1) * CHUNK];
        self.chunk_lowest[chunk] = bounds.iter().copied().fold(f32::INFINITY, lower);
    }

    /// Lowers the bound of a slot whose cache leaves `missing_tokens` to compute, unless `stale` says that
    /// the cache is gone.
    pub(crate) fn lower(&mut self, slot: u16, missing_tokens: f32, stale: impl FnOnce() -> bool) {
        let slot = usize::from(slot);
        let Some(bound) = self.bounds.get_mut(slot) else { return };
        let cost_us = self.waits[slot] + missing_tokens * self.token_us[slot];
        if cost_us < *bound && !stale() {
            *bound = cost_us;
            let chunk = &mut self.chunk_lowest[slot / CHUNK];
            *chunk = lower(cost_us, *chunk);
        }
    }

    /// Returns up to `count` slots: those whose bound is within `factor` of the lowest, then the next cheapest.
    ///
    /// Of the former, those of the own zone go first if one of them is the lowest. Nodes start at different
    /// chunks, so that a large group of equals is not cut to the same few.
    pub(crate) fn cheapest(
        &self,
        factor: f32,
        draw: f64,
        count: usize,
        is_own_zone: impl Fn(usize) -> bool,
    ) -> Vec<u16> {
        let lowest = self.chunk_lowest.iter().copied().fold(f32::INFINITY, lower);
        if lowest.is_infinite() {
            return Vec::new();
        }
        let (near, wide) = (lowest * factor, lowest * factor * REFINEMENT_FACTOR);
        let prefer_own = self.slots_within(lowest, 0.0).any(&is_own_zone);
        let preferred = self.slots_within(near, draw).filter(|slot| !prefer_own || is_own_zone(*slot));
        let mut slots: Vec<usize> = preferred.take(count - count / RESERVED_DIVISOR).collect();
        let others = self.lowest_others(wide, draw, count - slots.len(), &slots);
        slots.extend(others);
        slots.into_iter().filter_map(|slot| u16::try_from(slot).ok()).collect()
    }

    /// Returns up to `count` slots with the lowest bounds up to `limit`, without those in `known`.
    fn lowest_others(&self, mut limit: f32, draw: f64, count: usize, known: &[usize]) -> Vec<usize> {
        let mut found: Vec<(f32, usize)> = Vec::with_capacity(count + 1);
        for chunk in self.chunks_from(draw) {
            // The limit falls as cheaper slots are found, so most chunks are passed over.
            if self.chunk_lowest[chunk] > limit {
                continue;
            }
            for slot in chunk * CHUNK..(chunk + 1) * CHUNK {
                let bound = self.bounds[slot];
                if bound > limit || known.contains(&slot) {
                    continue;
                }
                let at = found.partition_point(|(lower, _)| *lower <= bound);
                found.insert(at, (bound, slot));
                found.truncate(count);
                if found.len() == count {
                    limit = found.last().map_or(limit, |(last, _)| *last);
                }
            }
        }
        found.into_iter().map(|(_, slot)| slot).collect()
    }

    /// Iterates over all chunks, beginning with the one that `draw` selects.
    fn chunks_from(&self, draw: f64) -> impl Iterator<Item = usize> + use<> {
        let chunks = self.chunk_lowest.len();
        // The draw also selects among the slots found; other digits of it keep the two choices independent.
        let start = pick((draw * DRAW_DIGITS).fract(), chunks);
        (start..chunks).chain(0..start)
    }

    /// Iterates over the slots with a bound up to `limit`, from the chunk that `draw` selects on.
    fn slots_within(&self, limit: f32, draw: f64) -> impl Iterator<Item = usize> {
        let usable = self.chunks_from(draw).filter(move |chunk| self.chunk_lowest[*chunk] <= limit);
        let slots = usable.flat_map(|chunk| chunk * CHUNK..(chunk + 1) * CHUNK);
        slots.filter(move |slot| self.bounds[*slot] <= limit)
    }
}
