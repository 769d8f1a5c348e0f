//! Decides at an entry node whether a request to a plain service acquires a place from the leader.
//!
//! Requests to a service that is not busy have no additional hop. After the leader has not answered in time, this node does not ask it
//! for a while.

/// Time for which a service counts as busy after it last was. Known loads fluctuate around the limit.
const BUSY_HOLD_MS: u64 = 2_000;
/// A service with fewer slots than entry nodes is busy if at least this part of them is in use.
const FEW_SLOTS_BUSY_FRACTION: f64 = 0.5;
/// The same for other services, whose slots are scarce only when almost all are in use.
const MANY_SLOTS_BUSY_FRACTION: f64 = 0.9;
/// Time for which the leader is not asked after it did not answer in time; doubled with each further one.
const INITIAL_BACKOFF_MS: u64 = 200;
/// Upper bound of that time.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Doublings after which the upper bound is reached.
const MAX_DOUBLINGS: u32 = 4;
/// Part of the goal of a request that it may wait for a place, at most.
const MAX_WAIT_GOAL_SHARE: f64 = 0.7;
/// The same at least, so that requests that take about as long as their goal get places as well.
const MIN_WAIT_GOAL_SHARE: f64 = 0.2;
/// Time that a request needs after its place was granted, in multiples of the mean time of a request.
const WORK_MARGIN: f64 = 1.5;

/// Longest wait of a request that will be late, in multiples of its goal. A caller that is refused in the end has waited in vain.
const MAX_LATE_WAIT_GOALS: u64 = 2;

/// The slots of a service as one node knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceUse {
    /// Requests of all nodes in flight, as far as known.
    pub in_flight: u32,
    /// Slots of all upstreams that may get the request.
    pub slots: u32,
    /// Entry nodes that share the slots.
    pub entry_nodes: u32,
}

impl ServiceUse {
    fn is_busy(&self) -> bool {
        let has_few_slots = self.slots < self.entry_nodes;
        let fraction = if has_few_slots { FEW_SLOTS_BUSY_FRACTION } else { MANY_SLOTS_BUSY_FRACTION };
        f64::from(self.in_flight) >= fraction * f64::from(self.slots)
    }
}

/// What one node remembers of one service to decide whether it asks the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlaceUse {
    busy_until_ms: u64,
    paused_until_ms: u64,
    /// Requests for places in a row that were not answered.
    unanswered: u32,
}

impl PlaceUse {
    /// Returns whether a request acquires a place. A node without others does not, since it knows all requests.
    ///
    /// ```
    /// use daisysill_core::place_use::{PlaceUse, ServiceUse};
    /// let mut places = PlaceUse::default();
    /// let idle = ServiceUse { in_flight: 2, slots: 18, entry_nodes: 80 };
    /// assert!(!places.asks(0, &idle));
    /// assert!(places.asks(0, &ServiceUse { in_flight: 9, ..idle }));
    /// // The leader does not answer in time.
    /// places.record_unanswered(100);
    /// assert!(!places.asks(299, &idle));
    /// assert!(places.asks(300, &idle));
    /// ```
    pub fn asks(&mut self, now_ms: u64, service: &ServiceUse) -> bool {
        if service.entry_nodes <= 1 {
            return false;
        }
        if service.is_busy() {
            self.busy_until_ms = now_ms + BUSY_HOLD_MS;
        }
        now_ms < self.busy_until_ms && now_ms >= self.paused_until_ms
    }

    /// Records that an upstream rejected a request of this node, so that its slots are scarce.
    pub fn record_rejection(&mut self, now_ms: u64) {
        self.busy_until_ms = now_ms + BUSY_HOLD_MS;
    }

    /// Records that the leader is not known, can't be reached or did not answer in time.
    pub fn record_unanswered(&mut self, now_ms: u64) {
        // Requests that asked at the same time count once.
        if now_ms >= self.paused_until_ms {
            let pause_ms = INITIAL_BACKOFF_MS << self.unanswered.min(MAX_DOUBLINGS);
            self.paused_until_ms = now_ms + pause_ms.min(MAX_BACKOFF_MS);
            self.unanswered += 1;
        }
    }

    /// Records that the leader answered.
    pub fn record_answer(&mut self) {
        (self.unanswered, self.paused_until_ms) = (0, 0);
    }
}

/// Returns how long after its arrival a request may still get a place and be answered in time.
///
/// ```
/// use daisysill_core::place_use::latest_start_ms;
/// assert_eq!(latest_start_ms(150, 30.0), 105);
/// assert_eq!(latest_start_ms(150, 80.0), 30);
/// ```
pub fn latest_start_ms(goal_ms: u64, request_ms: f64) -> u64 {
    let goal_ms = goal_ms as f64;
    let latest_ms = (goal_ms - WORK_MARGIN * request_ms)
        .clamp(MIN_WAIT_GOAL_SHARE * goal_ms, MAX_WAIT_GOAL_SHARE * goal_ms);
    // At most the goal.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let latest_ms = latest_ms as u64;
    latest_ms
}

/// Returns how long a request that will be late may wait for a place and still be answered before its deadline, which is
/// `deadline_ms` away.
///
/// ```
/// use daisysill_core::place_use::longest_late_wait_ms;
/// assert_eq!(longest_late_wait_ms(150, 1_500, 30.0), 300);
/// assert_eq!(longest_late_wait_ms(150, 200, 30.0), 155);
/// assert_eq!(longest_late_wait_ms(150, 40, 30.0), 0);
/// ```
pub fn longest_late_wait_ms(goal_ms: u64, deadline_ms: u64, request_ms: f64) -> u64 {
    let left_ms = (deadline_ms as f64 - WORK_MARGIN * request_ms).max(0.0);
    // At most the time until the deadline.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let left_ms = left_ms as u64;
    left_ms.min(goal_ms.saturating_mul(MAX_LATE_WAIT_GOALS))
}
