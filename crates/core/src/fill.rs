//! Plans for filling an upstream's KV cache with the prefix of a request, and their costs.
//!
//! Missing pieces of the prompt are computed by the engine (prefill) or restored from a store. All times are
//! estimates in microseconds.

use std::fmt;

use crate::{
    num::{US_PER_S, whole},
    route::RoutePolicy,
    view::StoreView,
};

/// How the missing prefix of a request gets into an upstream's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// All missing tokens are computed.
    Compute,
    /// All missing pieces that the store holds are restored.
    Restore,
    /// Only the first of the missing pieces that the store holds are restored.
    PartialRestore,
    /// The first missing pieces are computed while the store transfers the ones after them.
    Overlapped,
}

impl fmt::Display for Fill {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Compute => "compute",
            Self::Restore => "restore",
            Self::PartialRestore => "partial restore",
            Self::Overlapped => "restore and prefill side by side",
        })
    }
}

/// A store that holds consecutive missing pieces, and its link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RestoreSource<'a> {
    /// The store to read from.
    pub(crate) store: &'a StoreView,
    /// Number of consecutive missing pieces it holds, from the first missing one.
    pub(crate) held_pieces: usize,
    /// Delay before the first byte: transfers booked ahead on the link, and the penalty for another zone.
    pub(crate) start_us: f64,
    /// Transfer time of one piece.
    pub(crate) piece_us: f64,
}

impl<'a> RestoreSource<'a> {
    /// Derives the transfer times; `own_zone` tells whether the store is in the zone of the deciding node.
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

    /// Returns the time until the first `pieces` missing pieces have arrived.
    pub(crate) fn transfer_us(&self, pieces: usize) -> f64 {
        self.start_us + pieces as f64 * self.piece_us
    }
}

/// The prefill work of a request at one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillWork {
    /// Prefill time queued ahead of the request.
    pub(crate) wait_us: f64,
    /// Prefill time of one token at this upstream.
    pub(crate) us_per_token: f64,
    /// Prompt tokens that the upstream's cache does not hold.
    pub(crate) missing_tokens: u64,
}

/// One way to fill the cache, and its cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillPlan<'a> {
    /// Which of the missing tokens are restored.
    pub(crate) fill: Fill,
    /// The store to read from; `None` if nothing is restored.
    pub(crate) store: Option<&'a StoreView>,
    /// Missing pieces that are computed before the first restored one.
    pub(crate) leading_pieces: usize,
    /// Number of restored pieces.
    pub(crate) restored_pieces: usize,
    /// Time until the restored pieces have arrived; overlaps with the queue ahead.
    pub(crate) transfer_us: f64,
    /// Number of computed tokens.
    pub(crate) computed_tokens: u64,
    /// Estimated time to first token.
    pub(crate) estimate_us: f64,
    /// The estimate plus the rule file's weight for computed tokens.
    pub(crate) cost_us: f64,
}

/// Returns the plan that computes all missing tokens.
pub(crate) fn compute_only<'a>(work: &PrefillWork, policy: &RoutePolicy) -> FillPlan<'a> {
    let estimate_us = work.wait_us + work.missing_tokens as f64 * work.us_per_token;
    FillPlan {
        fill: Fill::Compute,
        store: None,
        leading_pieces: 0,
        restored_pieces: 0,
        transfer_us: 0.0,
        computed_tokens: work.missing_tokens,
        estimate_us,
        cost_us: estimate_us + work.missing_tokens as f64 * policy.recompute_weight_us,
    }
}

/// A split of the missing tokens into computed leading pieces, restored pieces and computed rest.
#[derive(Clone, Copy, Debug)]
struct Split {
    leading_pieces: usize,
    restored_pieces: usize,
}

impl Split {
    /// Returns the estimated time to first token and the number of computed tokens.
    ///
    /// The transfer overlaps with the queue ahead and, where the engine allows it, with the prefill of the
    /// leading pieces.
    fn estimate_us(self, work: &PrefillWork, source: &RestoreSource<'_>, piece_tokens: f64) -> (f64, f64) {
        let leading_tokens = self.leading_pieces as f64 * piece_tokens;
        let rest_tokens =
            (work.missing_tokens as f64 - leading_tokens - self.restored_pieces as f64 * piece_tokens)
                .max(0.0);
        let leading_us = work.wait_us + leading_tokens * work.us_per_token;
        let ready_us = leading_us.max(source.transfer_us(self.restored_pieces));
        (ready_us + rest_tokens * work.us_per_token, leading_tokens + rest_tokens)
    }

    fn plan<'a>(self, work: &PrefillWork, source: &RestoreSource<'a>, policy: &RoutePolicy) -> FillPlan<'a> {
        let (estimate_us, computed_tokens) = self.estimate_us(work, source, policy.piece_tokens as f64);
        let fill = match (self.leading_pieces, self.restored_pieces == source.held_pieces) {
            (0, true) => Fill::Restore,
            (0, false) => Fill::PartialRestore,
            _ => Fill::Overlapped,
        };
        FillPlan {
            fill,
            store: Some(source.store),
            leading_pieces: self.leading_pieces,
            restored_pieces: self.restored_pieces,
            transfer_us: source.transfer_us(self.restored_pieces),
            computed_tokens: whole(computed_tokens),
            estimate_us,
            cost_us: estimate_us + computed_tokens * policy.recompute_weight_us,
        }
    }
}

/// Returns the plan with the lowest cost over all sources.
pub(crate) fn cheapest<'a>(
    work: &PrefillWork,
    sources: &[RestoreSource<'a>],
    policy: &RoutePolicy,
) -> FillPlan<'a> {
    let computed = compute_only(work, policy);
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
        // More restored pieces come first, so that equal costs favour less prefill.
        for restored_pieces in (1..=source.held_pieces).rev() {
            try_split(Split { leading_pieces: 0, restored_pieces });
            if policy.prefill_during_restore && restored_pieces < source.held_pieces {
                try_split(Split { leading_pieces: source.held_pieces - restored_pieces, restored_pieces });
            }
        }
    }
    chosen.map_or(computed, |(source, split)| split.plan(work, source, policy))
}
