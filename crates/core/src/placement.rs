//! Chooses an upstream for a request: where its prompt is likely cached, unless that upstream is too busy.

use crate::slot_share::NEWS_DELAY_MS;

/// Work beyond the least busy candidate up to which a request still goes where its prompt is cached, in units of
/// the time saved there.
const PATIENCE: f64 = 1.0;
/// Added to the estimate of an upstream that failed lately, for each failure.
const FAILURE_PENALTY_MS: f64 = 150.0;
/// Added to the estimate of an upstream whose places are all taken; in proportion for others. A fuller batch makes
/// every token slower.
const FULL_BATCH_MS: f64 = 80.0;
/// An upstream with work in flight that has sent nothing for this time is taken for unreachable.
const SILENCE_LIMIT_MS: f64 = 400.0;
/// An upstream that is chosen from has this many open places at least, so that one without work can be drawn.
const MIN_OPEN_PLACES: f64 = 0.1;
/// Candidates are drawn from those whose estimate is at most this much above the least.
const DRAWN_WITHIN_MS: f64 = 100.0;
/// Added to the estimate of an upstream in another availability zone.
const OTHER_ZONE_PENALTY_MS: f64 = 1.5;

/// What is known of one upstream that may take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests in flight there, as far as known.
    pub in_flight: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Prompt tokens in flight there that it has yet to read.
    pub pending_prefill_tokens: u64,
    /// Time that one request in flight adds to the wait of the next.
    pub ms_per_request: f64,
    /// Prompt tokens of this request that it has cached, as far as known, or fetches from a store.
    pub cached_tokens: u64,
    /// Time that it takes to fetch what it does not have cached.
    pub fetch_ms: f64,
    /// Whether it is in the availability zone of the store that holds the shared part of the prompt.
    pub in_store_zone: bool,
    /// Failures lately; fades with time.
    pub recent_failures: f64,
    /// Time for which something was awaited from it and nothing came.
    pub silent_ms: f64,
    /// Whether it is in the availability zone of this node.
    pub own_zone: bool,
    /// Rank of the upstream for the session of the request: a hash of both, equal on all nodes.
    pub session_rank: u64,
}

/// What the request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillDemand {
    /// Prompt tokens; 0 for a plain call.
    pub prompt_tokens: u64,
    /// Leading prompt tokens that other requests share.
    pub shared_tokens: u64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub tokens_per_ms: f64,
}

/// The chosen candidate and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Estimated time until it begins to answer.
    pub estimate_ms: f64,
}

impl Candidate {
    /// Returns the free places, and those that become free before other nodes know of new placements.
    pub fn expected_free_slots(&self) -> f64 {
        let request_ms = self.ms_per_request * f64::from(self.slots);
        let ending = f64::from(self.in_flight) * NEWS_DELAY_MS as f64 / request_ms.max(NEWS_DELAY_MS as f64);
        f64::from(self.slots.saturating_sub(self.in_flight)) + ending.max(MIN_OPEN_PLACES)
    }

    /// Estimates the time until the upstream begins to answer.
    fn estimate_ms(&self, need: &PrefillDemand) -> f64 {
        let waiting = f64::from((self.in_flight + 1).saturating_sub(self.slots));
        let unread = need.prompt_tokens.saturating_sub(self.cached_tokens) + self.pending_prefill_tokens;
        let reading_ms =
            if need.prompt_tokens == 0 { 0.0 } else { unread as f64 / need.tokens_per_ms.max(0.001) };
        let share = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        let zone_ms = if self.own_zone { 0.0 } else { OTHER_ZONE_PENALTY_MS };
        waiting * self.ms_per_request
            + share * FULL_BATCH_MS
            + reading_ms
            + self.fetch_ms
            + zone_ms
            + self.recent_failures * FAILURE_PENALTY_MS
            + if self.silent_ms > SILENCE_LIMIT_MS { self.silent_ms } else { 0.0 }
    }
}

/// Chooses among `candidates`. `draw` is a random number.
///
/// A session has a home: the candidate with the highest rank. All nodes agree on it without talking to each
/// other, so its prompt is read once. The home is left when the wait there exceeds what the cache saves.
pub fn choose(candidates: &[Candidate], need: &PrefillDemand, draw: u64) -> Option<Choice> {
    let estimates: Vec<f64> = candidates.iter().map(|candidate| candidate.estimate_ms(need)).collect();
    let least = estimates.iter().copied().fold(f64::INFINITY, f64::min);
    if need.shared_tokens > 0 {
        let saved_ms = need.shared_tokens as f64 / need.tokens_per_ms.max(0.001);
        let homes = ranked_homes(candidates);
        let home = homes.into_iter().flatten().find(|index| {
            let candidate = &candidates[*index];
            let full = candidate.in_flight >= candidate.slots;
            !full && estimates[*index] <= least + PATIENCE * saved_ms.max(1.0)
        });
        if let Some(index) = home {
            return Some(Choice { index, estimate_ms: estimates[index] });
        }
    }
    least_busy(candidates, &estimates, draw)
}

/// The two highest-ranked candidates; those near the store of the prompt go before all others, since a transfer
/// between availability zones takes twice as long.
fn ranked_homes(candidates: &[Candidate]) -> [Option<usize>; 2] {
    let rank = |index: usize| (candidates[index].in_store_zone, candidates[index].session_rank);
    let mut homes = [None, None];
    for index in 0..candidates.len() {
        if homes[0].is_none_or(|home| rank(index) > rank(home)) {
            homes = [Some(index), homes[0]];
        } else if homes[1].is_none_or(|home| rank(index) > rank(home)) {
            homes[1] = Some(index);
        }
    }
    homes
}

/// Draws one of the candidates whose estimates are nearly the least, in proportion to their open places: nodes with the
/// same view, which is a little old, would otherwise all choose the same upstream.
fn least_busy(candidates: &[Candidate], estimates: &[f64], draw: u64) -> Option<Choice> {
    let least = estimates.iter().copied().fold(f64::INFINITY, f64::min);
    let is_near = |index: &usize| estimates[*index] <= least + DRAWN_WITHIN_MS;
    let near: Vec<usize> = (0..candidates.len()).filter(is_near).collect();
    let total: f64 = near.iter().map(|index| candidates[*index].expected_free_slots()).sum();
    let mut left = total * draw as f64 / u64::MAX as f64;
    let is_drawn = |index: &usize| {
        left -= candidates[*index].expected_free_slots();
        left <= 0.0
    };
    let index = near.iter().copied().find(is_drawn).or(near.last().copied())?;
    Some(Choice { index, estimate_ms: estimates[index] })
}
