//! This node's shares of the engines' free slots and KV memory while these are scarce.

use std::rc::Rc;

use daisysill_core::{
    kv_memory_share::KvMemoryCounts,
    placement::Candidate,
    slot_share::{PROPAGATION_DELAY_MS, SlotCounts},
};

use crate::{
    caller_request::CallerRequest,
    forward::Gateway,
    placement::{EligibleUpstream, PlacementInputs},
    upstreams::Upstream,
};

impl Gateway {
    /// Takes one of this node's share of the free slots of engines; `false` if the share is used up.
    pub(crate) fn try_take_slot(
        &self,
        inputs: &PlacementInputs<'_>,
        current: &[Rc<Upstream>],
        candidates: &[Candidate],
    ) -> bool {
        let counts = SlotCounts {
            free: candidates
                .iter()
                .map(|candidate| candidate.slots.saturating_sub(candidate.in_flight))
                .sum(),
            expected_free: candidates.iter().map(Candidate::expected_free_slots).sum(),
            total: current.iter().map(|upstream| upstream.entry.slots).sum(),
            entry_nodes: self.entry_nodes(),
        };
        let mut shares = self.slot_shares.borrow_mut();
        shares.entry(inputs.request.service.clone()).or_default().try_take(self.now_ms(), &counts)
    }

    /// Returns the engines' KV memory as this node knows it. Only engines that may get the request count as becoming free:
    /// the others are full, and what they free brings them back among these.
    pub(crate) fn room<'a>(
        &self,
        inputs: &PlacementInputs<'_>,
        engines: usize,
        eligible: impl Iterator<Item = &'a EligibleUpstream>,
    ) -> KvMemoryCounts {
        let memory_tokens = inputs.engine.as_ref().map_or(0, |engine| engine.memory_tokens);
        let (free_tokens, used_tokens) = eligible.fold((0, 0), |(free, used), eligible| {
            (free + eligible.free_tokens, used + eligible.used_tokens)
        });
        KvMemoryCounts {
            free_tokens,
            expected_free_tokens: free_tokens as f64 + freed_tokens(used_tokens, inputs.request_ms),
            total_tokens: memory_tokens.saturating_mul(engines as u64),
            entry_nodes: self.entry_nodes(),
        }
    }

    /// Takes room for the request from this node's share of the engines' free KV memory; `false` if the share is used up.
    pub(crate) fn try_take_memory(&self, request: &CallerRequest, room: &KvMemoryCounts) -> bool {
        let mut shares = self.kv_memory_shares.borrow_mut();
        let share = shares.entry(request.service.clone()).or_default();
        share.try_take(self.now_ms(), request.tokens(), room)
    }
}

/// Returns the tokens of `used_tokens` that requests of `request_ms` free within the propagation delay.
fn freed_tokens(used_tokens: u64, request_ms: f64) -> f64 {
    let delay_ms = PROPAGATION_DELAY_MS as f64;
    used_tokens as f64 * delay_ms / request_ms.max(delay_ms)
}
