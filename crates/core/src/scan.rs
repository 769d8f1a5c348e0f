//! The pass of a routing decision over the rows of all upstreams, which bounds their costs.
//!
//! Costs are estimates in microseconds, kept as `f32` so that the compiler vectorises the arithmetic.

use std::ops::Range;

use crate::{
    fill::RestoreSource,
    ids::WeightVersion,
    num::{US_PER_MS, pick},
    prefix::{MAX_SOURCES, Prefix},
    route::{RoutePolicy, RouteRequest},
    view::{CHUNK, UpstreamState},
    view_row::{Rows, kind},
};

/// Factor by which a full evaluation may lower a cost below its bound: overlapped prefill and restore take at
/// least half the time of the longer of the two.
const REFINEMENT_FACTOR: f32 = 2.0;
/// One part in this many of the evaluated upstreams is reserved for those that are not near-equal.
const RESERVED_DIVISOR: usize = 4;

/// Multiplies a draw so that other digits of it select the first chunk; a prime, so that no number of chunks
/// divides it.
const DRAW_SCALE: f64 = 7_919.0;

/// The result of the pass by row, with infinite costs where an upstream is not eligible.
pub(crate) struct Scan {
    /// Prefill time queued ahead plus the penalty for another zone.
    wait_us: Vec<f32>,
    /// Cost of computing one token, with the rule file's weight.
    token_us: Vec<f32>,
    /// Cost of the cheapest coarse plan known so far.
    bound_us: Vec<f32>,
    /// The lowest bound of each chunk of rows.
    chunk_lowest_us: Vec<f32>,
    /// Number of eligible upstreams.
    pub(crate) eligible: usize,
}

/// The criteria for eligible rows, and the zone that costs no penalty.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Eligibility {
    /// Index of the service's name in the view.
    pub(crate) service: u16,
    /// Index of the deciding node's zone in the view; `None` if the view has no such zone.
    pub(crate) zone: Option<u16>,
    /// The required state.
    pub(crate) state: UpstreamState,
}

/// A plan without partial restore: prefill starts at `ready_us` and computes `tokens` tokens.
#[derive(Clone, Copy, Debug)]
struct CoarsePlan {
    ready_us: f32,
    tokens: f32,
}

/// Computing everything, and restoring all that each source holds. The fixed size avoids branches in the pass.
type CoarsePlans = [CoarsePlan; 1 + MAX_SOURCES];

#[allow(clippy::cast_possible_truncation)]
fn coarse_plans(sources: &[RestoreSource<'_>], prompt_tokens: u64, policy: &RoutePolicy) -> CoarsePlans {
    let compute = CoarsePlan { ready_us: 0.0, tokens: prompt_tokens as f32 };
    let mut plans = [compute; MAX_SOURCES + 1];
    for (plan, source) in plans.iter_mut().skip(1).zip(sources) {
        let restored_tokens = source.held_pieces as u64 * policy.piece_tokens;
        plan.ready_us = source.transfer_us(source.held_pieces) as f32;
        plan.tokens = prompt_tokens.saturating_sub(restored_tokens) as f32;
    }
    plans
}

// Comparisons instead of `f32::min` and `f32::max`, whose handling of NaN costs several instructions per row.
fn lower(a: f32, b: f32) -> f32 {
    if a < b { a } else { b }
}

fn higher(a: f32, b: f32) -> f32 {
    if a > b { a } else { b }
}

/// Returns the lowest value. Eight independent minima avoid a dependency from each value to the next.
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

/// Scans all rows, given as chunks of `CHUNK` rows in the order of their indices.
pub(crate) fn scan<'a, 'p>(
    chunks: impl ExactSizeIterator<Item = &'a Rows>,
    eligibility: Eligibility,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    prefix_of: impl Fn(WeightVersion) -> Option<&'p Prefix<'p>>,
) -> Scan {
    let column = || Vec::with_capacity(chunks.len() * CHUNK);
    let mut scan = Scan {
        wait_us: column(),
        token_us: column(),
        bound_us: column(),
        chunk_lowest_us: Vec::with_capacity(chunks.len()),
        eligible: 0,
    };
    let mut columns = Columns { wait_us: [0.0; CHUNK], token_us: [0.0; CHUNK], bounds: [0.0; CHUNK] };
    let mut version = None;
    let mut plans = coarse_plans(&[], request.prompt_tokens, policy);
    for chunk in chunks {
        scan.eligible += columns.gather(chunk, eligibility, request, policy);
        let mut lowest = f32::INFINITY;
        let mut at = 0;
        // Neighbouring rows mostly have the same version, so a chunk rarely has more than one run.
        for run in chunk.weight_version.chunk_by(|a, b| a == b) {
            if version != Some(run[0]) {
                version = Some(run[0]);
                let sources = prefix_of(run[0]).map_or(&[][..], Prefix::sources);
                plans = coarse_plans(sources, request.prompt_tokens, policy);
            }
            lowest = lower(columns.bound(at..at + run.len(), &plans), lowest);
            at += run.len();
        }
        scan.wait_us.extend_from_slice(&columns.wait_us);
        scan.token_us.extend_from_slice(&columns.token_us);
        scan.bound_us.extend_from_slice(&columns.bounds);
        scan.chunk_lowest_us.push(lowest);
    }
    scan
}

/// Working columns of one chunk; separate arrays let the compiler vectorise the arithmetic.
struct Columns {
    wait_us: [f32; CHUNK],
    token_us: [f32; CHUNK],
    /// First the penalty for another zone, infinite where the row is not eligible; then the bound.
    bounds: [f32; CHUNK],
}

impl Columns {
    /// Fills the columns and returns the number of eligible rows.
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
        let wanted = kind(eligibility.service, eligibility.state);
        for (cost_us, (kind, zone)) in self.bounds.iter_mut().zip(rows.kind.iter().zip(&rows.zone)) {
            let zone_us = if *zone == own_zone { 0.0 } else { cross_us };
            *cost_us = if *kind == wanted { zone_us } else { f32::INFINITY };
        }
        if let Some(pin) = request.pinned_version {
            let others = self.bounds.iter_mut().zip(&rows.weight_version).filter(|(_, v)| **v != pin);
            others.for_each(|(cost_us, _)| *cost_us = f32::INFINITY);
        }
        for (token_us, row_us) in self.token_us.iter_mut().zip(&rows.us_per_token) {
            *token_us = (row_us + weight_us) as f32;
        }
        for (wait, (drained_at_us, cost_us)) in
            self.wait_us.iter_mut().zip(rows.drained_at_us.iter().zip(&self.bounds))
        {
            *wait = higher((drained_at_us - now_us) as f32, 0.0) + cost_us;
        }
        self.bounds.iter().map(|cost_us| usize::from(cost_us.is_finite())).sum()
    }

    /// Computes the bounds of the rows in `range` from the coarse plans and returns the lowest.
    fn bound(&mut self, range: Range<usize>, plans: &CoarsePlans) -> f32 {
        let wait_us = &self.wait_us[range.clone()];
        let token_us = &self.token_us[range.clone()];
        for ((cost_us, wait), token_us) in self.bounds[range.clone()].iter_mut().zip(wait_us).zip(token_us) {
            // Both operands include the penalty for another zone.
            let cost = |plan: &CoarsePlan| higher(*wait, plan.ready_us + *cost_us) + plan.tokens * token_us;
            *cost_us = lower(lower(cost(&plans[0]), cost(&plans[1])), cost(&plans[2]));
        }
        lowest_of(&self.bounds[range])
    }
}

impl Scan {
    /// Makes an upstream that already failed the request ineligible.
    pub(crate) fn exclude(&mut self, index: u16) {
        let index = usize::from(index);
        self.eligible -= usize::from(self.bound_us[index].is_finite());
        self.wait_us[index] = f32::INFINITY;
        self.bound_us[index] = f32::INFINITY;
        let chunk = index / CHUNK;
        let chunk_bounds = &self.bound_us[chunk * CHUNK..(chunk + 1) * CHUNK];
        self.chunk_lowest_us[chunk] = chunk_bounds.iter().copied().fold(f32::INFINITY, lower);
    }

    /// Lowers the bound of an upstream whose cache lacks `missing_tokens`, unless `stale` reports that the record of
    /// its cache is out of date.
    pub(crate) fn lower_bound(&mut self, index: u16, missing_tokens: f32, stale: impl FnOnce() -> bool) {
        let index = usize::from(index);
        let Some(bound) = self.bound_us.get_mut(index) else { return };
        let cost_us = self.wait_us[index] + missing_tokens * self.token_us[index];
        if cost_us < *bound && !stale() {
            *bound = cost_us;
            let chunk = &mut self.chunk_lowest_us[index / CHUNK];
            *chunk = lower(cost_us, *chunk);
        }
    }

    /// Returns the indices of up to `count` upstreams: first those whose bound is within `near_tie_factor` of the
    /// lowest, then those with the next lowest bounds.
    ///
    /// If an upstream of the own zone has the lowest bound, the first group contains only upstreams of the own
    /// zone. The chunk to start at depends on `draw`, so that different nodes select different upstreams of a large
    /// group of equals.
    pub(crate) fn cheapest(
        &self,
        near_tie_factor: f32,
        draw: f64,
        count: usize,
        is_own_zone: impl Fn(usize) -> bool,
    ) -> Vec<u16> {
        let lowest = self.chunk_lowest_us.iter().copied().fold(f32::INFINITY, lower);
        if lowest.is_infinite() {
            return Vec::new();
        }
        let (near_us, refined_us) = (lowest * near_tie_factor, lowest * near_tie_factor * REFINEMENT_FACTOR);
        let prefer_own = self.indices_within(lowest, 0.0).any(&is_own_zone);
        let preferred = self.indices_within(near_us, draw).filter(|index| !prefer_own || is_own_zone(*index));
        let mut indices: Vec<usize> = preferred.take(count - count / RESERVED_DIVISOR).collect();
        let others = self.lowest_others(refined_us, draw, count - indices.len(), &indices);
        indices.extend(others);
        indices.into_iter().filter_map(|index| u16::try_from(index).ok()).collect()
    }

    /// Returns the indices of up to `count` upstreams with the lowest bounds, none above `limit_us` or in `excluded`.
    fn lowest_others(&self, mut limit_us: f32, draw: f64, count: usize, excluded: &[usize]) -> Vec<usize> {
        let mut found: Vec<(f32, usize)> = Vec::with_capacity(count + 1);
        for chunk in self.chunks_from(draw) {
            // The limit falls as cheaper upstreams are found, so most chunks are skipped.
            if self.chunk_lowest_us[chunk] > limit_us {
                continue;
            }
            for index in chunk * CHUNK..(chunk + 1) * CHUNK {
                let bound = self.bound_us[index];
                if bound > limit_us || excluded.contains(&index) {
                    continue;
                }
                let at = found.partition_point(|(lower, _)| *lower <= bound);
                found.insert(at, (bound, index));
                found.truncate(count);
                if found.len() == count {
                    limit_us = found.last().map_or(limit_us, |(last, _)| *last);
                }
            }
        }
        found.into_iter().map(|(_, index)| index).collect()
    }

    /// Iterates over the indices of the eligible upstreams.
    pub(crate) fn eligible_indices(&self) -> impl Iterator<Item = u16> {
        let finite = self.bound_us.iter().enumerate().filter(|(_, bound_us)| bound_us.is_finite());
        finite.filter_map(|(index, _)| u16::try_from(index).ok())
    }

    /// Iterates over all chunks, beginning with the one that `draw` selects.
    fn chunks_from(&self, draw: f64) -> impl Iterator<Item = usize> + use<> {
        let chunks = self.chunk_lowest_us.len();
        // The draw also selects among the upstreams found; scaling it keeps the two choices independent.
        let start = pick((draw * DRAW_SCALE).fract(), chunks);
        (start..chunks).chain(0..start)
    }

    /// Iterates over the indices of rows with a bound up to `limit_us`, beginning with the chunk that `draw` selects.
    fn indices_within(&self, limit_us: f32, draw: f64) -> impl Iterator<Item = usize> {
        let usable = self.chunks_from(draw).filter(move |chunk| self.chunk_lowest_us[*chunk] <= limit_us);
        let indices = usable.flat_map(|chunk| chunk * CHUNK..(chunk + 1) * CHUNK);
        indices.filter(move |index| self.bound_us[*index] <= limit_us)
    }
}
