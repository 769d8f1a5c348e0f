//! Places (slots) of the upstreams of one plain service, which the leader grants to entry nodes from one queue.
//!
//! Handles many nodes that share few slots: each learns of the others' requests later than a request lasts, so that
//! without the queue some upstreams reject requests while others are idle.

mod upstream_places;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use self::upstream_places::{UpstreamPlaces, record_sample};

/// Urgency of requests that will be late: they get the places that no other request waits for.
pub const LATE_URGENCY: u8 = 10;
/// Requests that wait for a place of one service; a further one is refused.
const MAX_WAITING: usize = 512;
/// Requests beyond which no late one is queued, so that these leave room for those that can be in time.
const MAX_LATE_WAITING: usize = MAX_WAITING / 2;
/// A request may take longer than the mean time by this factor.
const LATE_MARGIN: f64 = 1.2;
/// Assumed time for which places are held, before the first release.
const DEFAULT_HOLD_MS: f64 = 50.0;
/// Upstreams without a place that no request has named for this time are forgotten.
const RETENTION_MS: u64 = 60_000;
/// Lower bound of the retry-after time of a refused request.
const MIN_RETRY_AFTER_MS: u64 = 50;
/// Upper bound of that time.
const MAX_RETRY_AFTER_MS: u64 = 2_000;

crate::value_types! {
    /// An upstream at which a request may get a place.
    #[derive(Copy)]
    pub struct PlaceCandidate {
        /// Hash of its id, as in load reports.
        pub upstream: u64,
        /// Requests that it runs concurrently.
        pub slots: u32,
    }

    /// Why a place is released.
    #[derive(Copy)]
    pub enum PlaceEnd {
        /// The response has ended.
        Ended,
        /// The upstream has rejected the request: it runs others that the queue doesn't know of.
        Rejected,
        /// The request was not sent or failed, so that the time for which the place was held shows nothing.
        Failed,
    }
}

/// A request for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceDemand {
    /// The upstreams that may run the request.
    pub candidates: Vec<PlaceCandidate>,
    /// For this time it may wait for the place.
    pub max_wait_ms: u64,
    /// Time until its response is due; an upstream at which places are held for longer does not get it.
    pub goal_ms: u64,
    /// Time until the request ends for certain; the place is then free again even if it is not released.
    pub deadline_ms: u64,
    /// Urgency from 0, the most urgent, to 9, or [`LATE_URGENCY`].
    pub urgency: u8,
}

/// A granted place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceGrant {
    /// The ticket of the request.
    pub ticket: u64,
    /// The upstream of the place.
    pub upstream: u64,
    /// How long the request has waited.
    pub waited_ms: u64,
}

/// What became of a new request for a place.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlaceDecision {
    /// Places that were granted now, to this request or to earlier ones.
    pub grants: Vec<PlaceGrant>,
    /// Set if the request is refused since it would be late: time after which its caller should come back. A request that
    /// is neither granted a place nor refused waits.
    pub retry_after_ms: Option<u64>,
}

/// Order in which requests get places.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitKey {
    urgency: u8,
    due_ms: u64,
    ticket: u64,
}

#[derive(Debug)]
struct Waiting {
    candidates: Vec<PlaceCandidate>,
    since_ms: u64,
    /// When its response is due.
    goal_at_ms: u64,
    expires_ms: u64,
}

#[derive(Debug)]
struct HeldPlace {
    upstream: u64,
    granted_ms: u64,
    expires_ms: u64,
}

/// The places of one service.
///
/// ```
/// use daisysill_core::place_queue::{PlaceCandidate, PlaceDecision, PlaceDemand, PlaceEnd, PlaceQueue};
/// let mut queue = PlaceQueue::default();
/// let demand = PlaceDemand {
///     candidates: vec![PlaceCandidate { upstream: 7, slots: 1 }],
///     max_wait_ms: 100,
///     goal_ms: 150,
///     deadline_ms: 1_500,
///     urgency: 3,
/// };
/// assert_eq!(queue.acquire(0, 1, demand.clone()).grants[0].upstream, 7);
/// // The second request waits until the place is released.
/// assert_eq!(queue.acquire(5, 2, demand), PlaceDecision::default());
/// assert_eq!(queue.release(30, 1, PlaceEnd::Ended)[0].ticket, 2);
/// ```
#[derive(Debug, Default)]
pub struct PlaceQueue {
    upstreams: HashMap<u64, UpstreamPlaces>,
    held: HashMap<u64, HeldPlace>,
    expiries: BTreeSet<(u64, u64)>,
    waiting: BTreeMap<WaitKey, Waiting>,
    keys: HashMap<u64, WaitKey>,
    /// Mean time for which places were held at all upstreams.
    hold_ms: Option<f64>,
    expired: u64,
}

impl PlaceQueue {
    /// Takes a request for a place into the queue, or refuses it if it would be late. `ticket` identifies the request and
    /// then its place.
    pub fn acquire(&mut self, now_ms: u64, ticket: u64, demand: PlaceDemand) -> PlaceDecision {
        for candidate in &demand.candidates {
            self.record_named(now_ms, *candidate);
        }
        let due_ms = now_ms.saturating_add(demand.max_wait_ms);
        let key = WaitKey { urgency: demand.urgency, due_ms, ticket };
        let capacity_per_ms = self.capacity_per_ms(now_ms, &demand.candidates);
        let expires_ms = now_ms.saturating_add(demand.deadline_ms);
        let goal_at_ms = now_ms.saturating_add(demand.goal_ms);
        let waiting = Waiting { candidates: demand.candidates, since_ms: now_ms, goal_at_ms, expires_ms };
        self.waiting.insert(key, waiting);
        self.keys.insert(ticket, key);
        let grants = self.grant_free(now_ms);
        let ahead = self.waiting.range(..key).count();
        let wait_ms = capacity_per_ms.map_or(0.0, |rate| (ahead as f64 + 1.0) / rate);
        let max_waiting = if demand.urgency == LATE_URGENCY { MAX_LATE_WAITING } else { MAX_WAITING };
        let is_late = wait_ms > demand.max_wait_ms as f64 || self.waiting.len() > max_waiting;
        let is_refused = is_late && self.cancel(ticket);
        PlaceDecision { grants, retry_after_ms: is_refused.then(|| retry_after_ms(wait_ms)) }
    }

    /// Releases a place; returns the grants to requests that waited. Unknown tickets, as those of an earlier leader, have
    /// no effect.
    pub fn release(&mut self, now_ms: u64, ticket: u64, end: PlaceEnd) -> Vec<PlaceGrant> {
        let Some(place) = self.held.remove(&ticket) else { return Vec::new() };
        self.expiries.remove(&(place.expires_ms, ticket));
        if let Some(upstream) = self.upstreams.get_mut(&place.upstream) {
            upstream.granted = upstream.granted.saturating_sub(1);
            match end {
                PlaceEnd::Ended => {
                    let held_ms = now_ms.saturating_sub(place.granted_ms) as f64;
                    upstream.record_hold(now_ms, held_ms);
                    record_sample(&mut self.hold_ms, held_ms);
                }
                PlaceEnd::Rejected => {
                    let hold_ms = upstream.hold_ms(now_ms).or(self.hold_ms).unwrap_or(DEFAULT_HOLD_MS);
                    upstream.rejected_until_ms.push_back(now_ms + rounded_ms(hold_ms));
                }
                PlaceEnd::Failed => {}
            }
        }
        self.grant_free(now_ms)
    }

    /// Removes a request that no longer waits; returns whether it still did.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        self.keys.remove(&ticket).is_some_and(|key| self.waiting.remove(&key).is_some())
    }

    /// Records an upstream that a request names, so that the loads reported for it are counted.
    pub fn record_named(&mut self, now_ms: u64, candidate: PlaceCandidate) {
        let places = self.upstreams.entry(candidate.upstream).or_default();
        (places.slots, places.named_ms) = (candidate.slots, now_ms);
    }

    /// Records the requests in flight that the nodes report, by upstream; upstreams that are not named have none.
    pub fn record_reported(&mut self, now_ms: u64, reported: impl Fn(u64) -> u32) {
        self.upstreams
            .retain(|_, places| places.granted > 0 || now_ms < places.named_ms.saturating_add(RETENTION_MS));
        for (upstream, places) in &mut self.upstreams {
            places.reported = reported(*upstream);
        }
    }

    /// Grants places that became free without a release: those that expired, and those of requests without a place that
    /// are no longer reported.
    pub fn grant_free(&mut self, now_ms: u64) -> Vec<PlaceGrant> {
        self.expire(now_ms);
        let mut free: HashMap<u64, u32> = HashMap::with_capacity(self.upstreams.len());
        for (upstream, places) in &mut self.upstreams {
            let count = places.slots.saturating_sub(places.in_use(now_ms));
            if count > 0 {
                free.insert(*upstream, count);
            }
        }
        let mut chosen = Vec::new();
        for (key, waiting) in &self.waiting {
            if free.is_empty() {
                break;
            }
            // A request that waited for too long is about to be refused.
            if now_ms > key.due_ms {
                continue;
            }
            let left_ms = waiting.goal_at_ms.saturating_sub(now_ms) as f64;
            let fastest = self.fastest(now_ms, &waiting.candidates, &free, left_ms);
            let Some(upstream) = fastest else { continue };
            if let Some(count) = free.get_mut(&upstream) {
                *count -= 1;
                if *count == 0 {
                    free.remove(&upstream);
                }
            }
            chosen.push((*key, upstream));
        }
        chosen.into_iter().filter_map(|(key, upstream)| self.grant(now_ms, key, upstream)).collect()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of places in use by requests that acquired them.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns the number of places that expired without a release.
    pub fn expired(&self) -> u64 {
        self.expired
    }

    fn grant(&mut self, now_ms: u64, key: WaitKey, upstream: u64) -> Option<PlaceGrant> {
        let waiting = self.waiting.remove(&key)?;
        self.keys.remove(&key.ticket);
        let places = self.upstreams.entry(upstream).or_default();
        places.granted += 1;
        places.recent_peak.record(now_ms, places.granted);
        let place = HeldPlace { upstream, granted_ms: now_ms, expires_ms: waiting.expires_ms };
        self.expiries.insert((place.expires_ms, key.ticket));
        self.held.insert(key.ticket, place);
        Some(PlaceGrant { ticket: key.ticket, upstream, waited_ms: now_ms.saturating_sub(waiting.since_ms) })
    }

    /// Frees the places whose requests have ended for certain.
    fn expire(&mut self, now_ms: u64) {
        while let Some((expires_ms, ticket)) = self.expiries.first().copied()
            && expires_ms <= now_ms
        {
            self.expiries.pop_first();
            if let Some(place) = self.held.remove(&ticket) {
                self.expired += 1;
                if let Some(places) = self.upstreams.get_mut(&place.upstream) {
                    places.granted = places.granted.saturating_sub(1);
                }
            }
        }
    }

    /// Returns the candidate with a free slot at which places are held for the shortest time, weighted by the part of its
    /// slots in use, so that a new upstream and one that became faster are used as well. One at which the request would be
    /// late does not count, unless it would be late at all candidates.
    fn fastest(
        &self,
        now_ms: u64,
        candidates: &[PlaceCandidate],
        free: &HashMap<u64, u32>,
        left_ms: f64,
    ) -> Option<u64> {
        let known_ms = |candidate: &PlaceCandidate| self.upstreams.get(&candidate.upstream)?.hold_ms(now_ms);
        let is_late = |candidate: &PlaceCandidate| {
            known_ms(candidate).is_some_and(|known_ms| known_ms * LATE_MARGIN > left_ms)
        };
        let is_always_late = candidates.iter().all(is_late);
        let cost = |candidate: &PlaceCandidate| {
            let free = *free.get(&candidate.upstream)?;
            let hold_ms = known_ms(candidate).or(self.hold_ms).unwrap_or(DEFAULT_HOLD_MS);
            let cost = hold_ms * (2.0 - f64::from(free) / f64::from(candidate.slots.max(1)));
            (is_always_late || !is_late(candidate)).then_some((candidate.upstream, cost))
        };
        let costs = candidates.iter().filter_map(cost);
        costs.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(upstream, _)| upstream)
    }

    /// Returns the rate at which places of the candidates are released while all are in use; `None` while it is unknown.
    fn capacity_per_ms(&self, now_ms: u64, candidates: &[PlaceCandidate]) -> Option<f64> {
        let rate = |candidate: &PlaceCandidate| {
            let places = self.upstreams.get(&candidate.upstream);
            let known_ms = places.and_then(|places| places.hold_ms(now_ms));
            Some(f64::from(candidate.slots) / known_ms.or(self.hold_ms)?.max(1.0))
        };
        let total: f64 = candidates.iter().map(rate).sum::<Option<f64>>()?;
        (total > 0.0).then_some(total)
    }
}

/// Returns the time after which a caller finds a shorter queue.
fn retry_after_ms(wait_ms: f64) -> u64 {
    rounded_ms(wait_ms).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}

fn rounded_ms(time_ms: f64) -> u64 {
    // Bounded by the deadlines of requests.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let rounded = time_ms.max(0.0).round() as u64;
    rounded
}
