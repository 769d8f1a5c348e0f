//! The pass over all rows of a routing decision.

use crate::{
    fill::Source,
    num::US_PER_MS,
    prefix::{MAX_SOURCES, Prefix},
    route::{RoutePolicy, RouteRequest},
    view::UpstreamState,
    view_row::Row,
};

/// The result of the pass, by slot; infinite where an upstream is not eligible.
pub(crate) struct Scan {
    /// Prefill time queued ahead, with the cost of crossing zones.
    pub(crate) waits: Vec<f32>,
    /// Cost as if the cache were empty.
    pub(crate) bounds: Vec<f32>,
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
    ready_us: f64,
    tokens: f64,
}

/// Computing everything, and restoring all that each source holds. A fixed size keeps the pass free of branches.
type CoarseWays = [CoarseWay; MAX_SOURCES + 1];

fn coarse_ways(sources: &[Source<'_>], prompt_tokens: u64, policy: &RoutePolicy) -> CoarseWays {
    let compute = CoarseWay { ready_us: 0.0, tokens: prompt_tokens as f64 };
    let mut ways = [compute; MAX_SOURCES + 1];
    for (way, source) in ways.iter_mut().skip(1).zip(sources) {
        let restored_tokens = source.held_pieces as u64 * policy.piece_tokens;
        way.ready_us = source.transfer_us(source.held_pieces);
        way.tokens = prompt_tokens.saturating_sub(restored_tokens) as f64;
    }
    ways
}

/// Scans all rows, given as chunks in slot order.
#[allow(clippy::cast_possible_truncation)]
pub(crate) fn scan<'a, 'p>(
    chunks: impl Iterator<Item = &'a [Row]>,
    eligibility: Eligibility,
    request: &RouteRequest<'_>,
    policy: &RoutePolicy,
    prefix_of: impl Fn(&Row) -> Option<&'p Prefix<'p>>,
) -> Scan {
    let mut scan = Scan { waits: Vec::new(), bounds: Vec::new(), considered: 0 };
    let now_us = request.now_ms as f64 * US_PER_MS;
    let mut version = None;
    let mut ways = coarse_ways(&[], request.prompt_tokens, policy);
    for chunk in chunks {
        scan.waits.reserve(chunk.len());
        scan.bounds.reserve(chunk.len());
        for row in chunk {
            let pinned = request.pinned_version.is_some_and(|pin| pin != row.weight_version);
            if row.service != eligibility.service || row.state != eligibility.wanted || pinned {
                scan.waits.push(f32::INFINITY);
                scan.bounds.push(f32::INFINITY);
                continue;
            }
            // Neighbours mostly run the same version, so the ways are prepared only where it changes.
            if version != Some(row.weight_version) {
                version = Some(row.weight_version);
                let sources = prefix_of(row).map_or(&[][..], Prefix::sources);
                ways = coarse_ways(sources, request.prompt_tokens, policy);
            }
            let wait_us = row.wait_us(now_us);
            let token_us = row.us_per_token + policy.recompute_weight_us;
            let cost = |way: &CoarseWay| wait_us.max(way.ready_us) + way.tokens * token_us;
            let cost_us = ways.iter().map(cost).fold(f64::INFINITY, f64::min);
            let zone_us = if Some(row.zone) == eligibility.zone { 0.0 } else { policy.cross_zone_us };
            scan.waits.push((wait_us + zone_us) as f32);
            scan.bounds.push((cost_us + zone_us) as f32);
            scan.considered += 1;
        }
    }
    scan
}

impl Scan {
    /// Makes a slot ineligible.
    pub(crate) fn exclude(&mut self, slot: u16) {
        let slot = usize::from(slot);
        self.considered -= usize::from(self.bounds[slot].is_finite());
        self.waits[slot] = f32::INFINITY;
        self.bounds[slot] = f32::INFINITY;
    }
}
