//! Choice of an upstream for a request: one that likely has its prompt cached, unless that one is too busy.
//!
//! Upstreams are compared by the estimated time until they start to respond, in milliseconds, plus penalties, and by
//! how much longer a slow one takes for the request itself.
//! The gateway uses this choice; `daisysill-node` uses that of `route`.

use crate::slot_share::PROPAGATION_DELAY_MS;

/// Estimated time above the lowest estimate up to which a request still goes to its preferred upstream, in
/// multiples of the prefill time saved there.
const AFFINITY_FACTOR: f64 = 1.0;
/// Penalty for each recent failure of an upstream.
const FAILURE_PENALTY_MS: f64 = 150.0;
/// Penalty for an upstream whose slots are all in use, and in proportion for others: a fuller batch makes every
/// token slower.
const FULL_BATCH_PENALTY_MS: f64 = 80.0;
/// An upstream that has sent nothing for longer than this, with work in flight, is considered unreachable.
const SILENCE_LIMIT_MS: f64 = 400.0;
/// Minimum number of slots expected to become free, so that an upstream without work in flight can be drawn.
const MIN_FREED_SLOTS: f64 = 0.1;
/// Maximum distance from the lowest estimate for a candidate to be drawn.
const DRAW_RANGE_MS: f64 = 100.0;
/// Penalty for an upstream in another availability zone.
const OTHER_ZONE_PENALTY_MS: f64 = 1.5;
/// Maximum time that a slow upstream adds to or a fast one takes from this request's own work, so that an uncertain
/// speed does not send all long requests of a node to one upstream.
const MAX_OWN_WORK_CHANGE_MS: f64 = 200.0;
/// Least work of a request in flight, against division by zero.
const MIN_WORK_MS: f64 = 0.01;
/// Lowest speed that is used, against division by zero.
const MIN_SPEED: f64 = 0.01;

/// One upstream that may get the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests of all nodes in flight there, as far as known.
    pub in_flight: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Prompt tokens in flight there that still have to be prefilled.
    pub pending_prefill_tokens: u64,
    /// Time by which one request in flight delays the next one.
    pub ms_per_request: f64,
    /// Prompt tokens of this request that it likely has cached, or fetches from a store.
    pub cached_tokens: u64,
    /// Time to fetch the tokens that come from a store; 0 if none do.
    pub fetch_ms: f64,
    /// Whether it is in the zone of the store of the prompt's largest shared part.
    pub in_store_zone: bool,
    /// Number of recent failures, decayed over time.
    pub recent_failures: f64,
    /// Time for which a response was awaited from it and nothing arrived.
    pub silent_ms: f64,
    /// Whether it is in the zone of this node.
    pub own_zone: bool,
    /// Hash of the upstream and the request's shared prefix, equal on all nodes (rendezvous hashing); 0 without one.
    pub prefix_rank: u64,
    /// What was learned of its speed and of the work that it has.
    pub work: UpstreamWork,
}

/// Learned work and speed of an upstream; the default value is that of one of which nothing was learned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamWork {
    /// Speed relative to its service, see [`crate::upstream_speed`].
    pub speed: f64,
    /// Work of the requests in flight there; `None` if unknown.
    pub in_flight: Option<InFlightWork>,
    /// Work of this request besides the prefill, as time that an upstream of speed 1 needs for it; 0 if unknown.
    pub own_ms: f64,
}

impl Default for UpstreamWork {
    fn default() -> Self {
        Self { speed: 1.0, in_flight: None, own_ms: 0.0 }
    }
}

/// Work of the requests in flight at an upstream, as time that an upstream of speed 1 needs for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlightWork {
    requests: f64,
    sum_ms: f64,
    longest_ms: f64,
    /// Sum of the rates at which the requests end if each has a slot.
    ends_per_ms: f64,
}

impl InFlightWork {
    /// Adds requests that take `work_ms` each.
    pub fn add(&mut self, requests: u32, work_ms: f64) {
        if requests == 0 {
            return;
        }
        let (requests, work_ms) = (f64::from(requests), work_ms.max(MIN_WORK_MS));
        self.requests += requests;
        self.sum_ms += requests * work_ms;
        self.longest_ms = self.longest_ms.max(work_ms);
        self.ends_per_ms += requests / work_ms;
    }

    /// Returns the wait of one more request for one of `slots`.
    ///
    /// A long request occupies one slot while short ones pass through the others, so the wait follows the rate at
    /// which requests end. It is at least what is left to do in each slot before the last one gets free.
    ///
    /// ```
    /// use daisysill_core::placement::InFlightWork;
    /// let mut work = InFlightWork::default();
    /// work.add(4, 20.0);
    /// assert_eq!(work.wait_ms(8), 0.0);
    /// assert_eq!(work.wait_ms(4), 5.0);
    /// work.add(1, 1_200.0);
    /// assert_eq!(work.wait_ms(1), 1_280.0);
    /// assert!(work.wait_ms(4) < 20.0);
    /// ```
    pub fn wait_ms(&self, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let waiting = self.requests + 1.0 - slots;
        if waiting <= 0.0 || self.requests == 0.0 {
            return 0.0;
        }
        let by_rate_ms = waiting / slots * self.requests / self.ends_per_ms;
        let least_ms = (self.sum_ms - (slots - 1.0) * self.longest_ms) / slots;
        by_rate_ms.max(least_ms)
    }
}

/// The prompt of a request and the speed of its prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillDemand {
    /// Length of the prompt in tokens; 0 for a request to a plain service.
    pub prompt_tokens: u64,
    /// Leading prompt tokens that other requests share; 0 if there are none.
    pub shared_tokens: u64,
    /// Prefill speed of an engine.
    pub tokens_per_ms: f64,
}

/// The chosen candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChosenCandidate {
    /// Its index in the list of candidates.
    pub index: usize,
    /// Estimated time until it starts to respond, with penalties.
    pub estimate_ms: f64,
}

impl Candidate {
    /// Returns the slots that are expected to be free once other nodes learn of a new request. Requests that wait for a slot
    /// take those that become free until then.
    pub fn expected_free_slots(&self) -> f64 {
        let request_ms = (self.ms_per_request * f64::from(self.slots)).max(1.0);
        let running = f64::from(self.in_flight.min(self.slots));
        let ended = running * PROPAGATION_DELAY_MS as f64 / request_ms;
        let slots = f64::from(self.slots);
        (slots - f64::from(self.in_flight) + ended).clamp(MIN_FREED_SLOTS, slots.max(MIN_FREED_SLOTS))
    }

    /// Estimates the time until the upstream starts to respond, and adds the penalties.
    fn estimate_ms(&self, demand: &PrefillDemand) -> f64 {
        let prefill_tokens =
            demand.prompt_tokens.saturating_sub(self.cached_tokens) + self.pending_prefill_tokens;
        let prefill_ms = if demand.prompt_tokens == 0 {
            0.0
        } else {
            prefill_tokens as f64 / demand.tokens_per_ms.max(0.001)
        };
        let slot_usage = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        let zone_ms = if self.own_zone { 0.0 } else { OTHER_ZONE_PENALTY_MS };
        self.wait_ms() / self.speed()
            + slot_usage * FULL_BATCH_PENALTY_MS
            + prefill_ms / self.speed()
            + self.fetch_ms
            + zone_ms
            + self.recent_failures * FAILURE_PENALTY_MS
            + if self.silent_ms > SILENCE_LIMIT_MS { self.silent_ms } else { 0.0 }
    }

    /// Returns the wait for a slot at speed 1.
    fn wait_ms(&self) -> f64 {
        let waiting = f64::from((self.in_flight + 1).saturating_sub(self.slots));
        self.work.in_flight.map_or(waiting * self.ms_per_request, |work| work.wait_ms(self.slots))
    }

    /// Returns by how much this request's own work takes longer than at an upstream of speed 1.
    fn own_work_change_ms(&self) -> f64 {
        let change_ms = self.work.own_ms * (1.0 / self.speed() - 1.0);
        change_ms.clamp(-MAX_OWN_WORK_CHANGE_MS, MAX_OWN_WORK_CHANGE_MS)
    }

    /// Returns the weight in a draw: a slow upstream gets a smaller share of the requests.
    fn draw_weight(&self) -> f64 {
        self.expected_free_slots() * self.speed()
    }

    fn speed(&self) -> f64 {
        self.work.speed.max(MIN_SPEED)
    }
}

/// Chooses one of `candidates`, or `None` if there are none; `draw` is random over the whole range of `u64`.
///
/// Requests with the same prefix go to its preferred candidate. All nodes determine the same one without
/// communication, so the shared part of the prompt is prefilled once. If that candidate is full, or its wait
/// exceeds what the cache saves, the second preference is tried, and then one of the least busy candidates.
pub fn choose(candidates: &[Candidate], demand: &PrefillDemand, draw: u64) -> Option<ChosenCandidate> {
    let completion_ms =
        |candidate: &Candidate| candidate.estimate_ms(demand) + candidate.own_work_change_ms();
    let estimates: Vec<f64> = candidates.iter().map(completion_ms).collect();
    let lowest = estimates.iter().copied().fold(f64::INFINITY, f64::min);
    if demand.shared_tokens > 0 {
        let saved_ms = demand.shared_tokens as f64 / demand.tokens_per_ms.max(0.001);
        let preferences = preferred(candidates);
        let affine = preferences.into_iter().flatten().find(|index| {
            let candidate = &candidates[*index];
            let full = candidate.in_flight >= candidate.slots;
            !full && estimates[*index] <= lowest + AFFINITY_FACTOR * saved_ms.max(1.0)
        });
        if let Some(index) = affine {
            return Some(ChosenCandidate { index, estimate_ms: candidates[index].estimate_ms(demand) });
        }
    }
    let index = least_busy(candidates, &estimates, draw)?;
    Some(ChosenCandidate { index, estimate_ms: candidates[index].estimate_ms(demand) })
}

/// Returns the two candidates with the highest prefix rank. Those in the zone of the prompt's store rank before
/// all others, since a transfer between zones takes twice as long.
fn preferred(candidates: &[Candidate]) -> [Option<usize>; 2] {
    let rank = |index: usize| (candidates[index].in_store_zone, candidates[index].prefix_rank);
    let mut preferred = [None, None];
    for index in 0..candidates.len() {
        if preferred[0].is_none_or(|other| rank(index) > rank(other)) {
            preferred = [Some(index), preferred[0]];
        } else if preferred[1].is_none_or(|other| rank(index) > rank(other)) {
            preferred[1] = Some(index);
        }
    }
    preferred
}

/// Draws one of the candidates with nearly the lowest estimate, in proportion to their expected free slots and speed.
///
/// Nodes with the same, slightly outdated view would otherwise all choose the same upstream.
fn least_busy(candidates: &[Candidate], estimates: &[f64], draw: u64) -> Option<usize> {
    let lowest = estimates.iter().copied().fold(f64::INFINITY, f64::min);
    let is_nearly_lowest = |index: &usize| estimates[*index] <= lowest + DRAW_RANGE_MS;
    let nearly_lowest: Vec<usize> = (0..candidates.len()).filter(is_nearly_lowest).collect();
    let total: f64 = nearly_lowest.iter().map(|index| candidates[*index].draw_weight()).sum();
    let mut left = total * draw as f64 / u64::MAX as f64;
    let is_drawn = |index: &usize| {
        left -= candidates[*index].draw_weight();
        left <= 0.0
    };
    nearly_lowest.iter().copied().find(is_drawn).or(nearly_lowest.last().copied())
}
