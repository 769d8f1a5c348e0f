//! The ways to fill an upstream's cache for a request, and what each costs.

use std::fmt;

use crate::{
    num::{US_PER_S, whole},
    route::RoutePolicy,
    view::StoreView,
};

/// How the prefix of a request gets into an upstream's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// Nothing is restored: what the cache holds is used, the rest is computed.
    Compute,
    /// Every piece that the store holds is restored.
    Restore,
    /// Only the first pieces that the store holds are restored.
    PartialRestore,
    /// The first missing pieces are computed while the store sends the ones after them.
    SideBySide,
}

impl fmt::Display for Fill {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Compute => "compute",
            Self::Restore => "restore",
            Self::PartialRestore => "partial restore",
            Self::SideBySide => "restore and prefill side by side",
        })
    }
}

/// A store that holds a run of the missing pieces.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source<'a> {
    /// The store.
    pub(crate) store: &'a StoreView,
    /// Number of missing pieces it holds, from the first missing one.
    pub(crate) held_pieces: usize,
    /// Time until the link has sent what is booked ahead, and the way to another zone.
    pub(crate) start_us: f64,
    /// Time the link takes for one piece.
    pub(crate) piece_us: f64,
}

impl<'a> Source<'a> {
    /// Describes a store's link as a decision in `zone` sees it.
    pub(crate) fn new(
        store: &'a StoreView,
        held_pieces: usize,
        own_zone: bool,
        policy: &RoutePolicy,
    ) -> Self {
        let us_per_byte = US_PER_S / store.link_bytes_per_s.max(1) as f64;
        let zone_us = if own_zone { 0.0 } else { policy.cross_zone_us };
        Self {
            store,
            held_pieces,
            start_us: store.booked_bytes as f64 * us_per_byte + zone_us,
            piece_us: policy.piece_bytes as f64 * us_per_byte,
        }
    }

    /// Returns the time until `pieces` pieces have arrived.
    pub(crate) fn transfer_us(&self, pieces: usize) -> f64 {
        self.start_us + pieces as f64 * self.piece_us
    }
}

/// What a way of filling the cache needs to know of the upstream and the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    /// Prefill time queued ahead.
    pub(crate) wait_us: f64,
    /// Prefill time per token.
    pub(crate) us_per_token: f64,
    /// Prompt tokens that the cache does not hold.
    pub(crate) missing_tokens: u64,
}

/// One way and its cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Way<'a> {
    /// The kind of way.
    pub(crate) fill: Fill,
    /// The store that is read.
    pub(crate) store: Option<&'a StoreView>,
    /// Missing pieces that are computed before the first restored one.
    pub(crate) front_pieces: usize,
    /// Pieces restored.
    pub(crate) pieces: usize,
    /// Tokens that are computed.
    pub(crate) computed_tokens: u64,
    /// Estimated time to first token.
    pub(crate) estimate_us: f64,
    /// The estimate with the rule file's weight for computed tokens.
    pub(crate) cost_us: f64,
}

/// Returns the way without a store.
pub(crate) fn compute<'a>(work: &Work, policy: &RoutePolicy) -> Way<'a> {
    let estimate_us = work.wait_us + work.missing_tokens as f64 * work.us_per_token;
    Way {
        fill: Fill::Compute,
        store: None,
        front_pieces: 0,
        pieces: 0,
        computed_tokens: work.missing_tokens,
        estimate_us,
        cost_us: estimate_us + work.missing_tokens as f64 * policy.recompute_weight_us,
    }
}

/// A split of the missing tokens: computed in front, restored, computed after both.
#[derive(Clone, Copy, Debug)]
struct Split {
    front_pieces: usize,
    pieces: usize,
}

impl Split {
    /// Returns the estimate and the tokens computed.
    ///
    /// The transfer runs while the queue drains and, where the engine allows it, while the front is computed.
    fn estimate_us(self, work: &Work, source: &Source<'_>, piece_tokens: f64) -> (f64, f64) {
        let front_tokens = self.front_pieces as f64 * piece_tokens;
        let rest_tokens =
            (work.missing_tokens as f64 - front_tokens - self.pieces as f64 * piece_tokens).max(0.0);
        let front_us = work.wait_us + front_tokens * work.us_per_token;
        let ready_us = front_us.max(source.transfer_us(self.pieces));
        (ready_us + rest_tokens * work.us_per_token, front_tokens + rest_tokens)
    }

    fn way<'a>(self, work: &Work, source: &Source<'a>, policy: &RoutePolicy) -> Way<'a> {
        let (estimate_us, computed_tokens) = self.estimate_us(work, source, policy.piece_tokens as f64);
        let fill = match (self.front_pieces, self.pieces == source.held_pieces) {
            (0, true) => Fill::Restore,
            (0, false) => Fill::PartialRestore,
            _ => Fill::SideBySide,
        };
        Way {
            fill,
            store: Some(source.store),
            front_pieces: self.front_pieces,
            pieces: self.pieces,
            computed_tokens: whole(computed_tokens),
            estimate_us,
            cost_us: estimate_us + computed_tokens * policy.recompute_weight_us,
        }
    }
}

/// Returns the cheapest way over all sources.
pub(crate) fn best<'a>(work: &Work, sources: &[Source<'a>], policy: &RoutePolicy) -> Way<'a> {
    let computed = compute(work, policy);
    let piece_tokens = policy.piece_tokens as f64;
    let mut lowest_us = computed.cost_us;
    let mut chosen = None;
    for source in sources {
        let mut try_split = |split: Split| {
            let (estimate_us, computed_tokens) = split.estimate_us(work, source, piece_tokens);
            let cost_us = estimate_us + computed_tokens * policy.recompute_weight_us;
            if cost_us < lowest_us {
                lowest_us = cost_us;
                chosen = Some((source, split));
            }
        };
        // More pieces first, so that equal costs leave the accelerator the least work.
        for pieces in (1..=source.held_pieces).rev() {
            try_split(Split { front_pieces: 0, pieces });
            if policy.prefill_during_restore && pieces < source.held_pieces {
                try_split(Split { front_pieces: source.held_pieces - pieces, pieces });
            }
        }
    }
    chosen.map_or(computed, |(source, split)| split.way(work, source, policy))
}
