//! Whether an upstream counts as cold. Handles upstreams that crash under more than a few requests per second for some
//! seconds after their start, while callers of many entry nodes send.
//!
//! The list of upstreams says how long each one stays cold. It lags, so what a node sees itself comes first: after a broken
//! connection or an interruption of the node the state is unknown, and counts as cold, until a later list says otherwise.

use crate::rate_permits::{RateDivision, SendBound};

/// A list shows a change at the latest when it is read this long after it.
pub const LIST_LAG_MS: u64 = 1_000;
/// Time for which a node may use a permit for a cold upstream. Short, so that few nodes hold an unused one at a time.
pub const COLD_PERMIT_LIFETIME_MS: u64 = 300;
/// Window in which the requests to a cold upstream are bounded.
const WINDOW_MS: u64 = 1_000;

/// A process whose clock was not read for longer than this was interrupted. It is read every 25 ms otherwise.
const MAX_CLOCK_GAP_MS: u64 = 1_000;

/// What a node knows of the state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdState {
    /// The list says that it is cold.
    Cold,
    /// The list says that it is not cold, or an upstream without a statement has been known for long enough.
    Warm,
    /// It may be cold, and counts as such.
    Unknown,
}

/// The requests that a cold upstream may get in a second: `overshoot` times its rate, and `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor of the rate that the upstream tolerates.
    pub overshoot: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

impl ColdBounds {
    /// Divides the rate of an upstream that tolerates `per_s` while it is cold between grants and the equal shares.
    ///
    /// ```
    /// use daisysill_core::cold_start::ColdBounds;
    /// let division = ColdBounds { overshoot: 1.5, slack: 5.0 }.divide(9.5);
    /// assert!(division.granted_per_s > 8.5 && division.shared_per_s > 0.4);
    /// assert!(ColdBounds::default().divide(9.5).granted_per_s < 5.0);
    /// ```
    pub fn divide(&self, per_s: f64) -> RateDivision {
        let requests = per_s * self.overshoot + self.slack;
        SendBound { window_ms: WINDOW_MS, requests, share_lifetime_ms: COLD_PERMIT_LIFETIME_MS }.divide(per_s)
    }
}

/// A statement of the list about one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Statement {
    read_ms: u64,
    cold_until_ms: u64,
}

/// What a node knows of one start of an upstream. All times are of one clock that includes suspended time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    first_seen_ms: u64,
    statement: Option<Statement>,
    doubted_ms: Option<u64>,
}

impl ColdStart {
    /// Starts with an upstream that this node sees for the first time at `now_ms`.
    pub const fn new(now_ms: u64) -> Self {
        Self { first_seen_ms: now_ms, statement: None, doubted_ms: None }
    }

    /// Records that a list read at `read_ms` says that the upstream stays cold for `left_ms`; 0 if it is warm. An older
    /// list than the last one is ignored.
    pub fn record_list(&mut self, read_ms: u64, left_ms: u64) {
        if self.statement.is_none_or(|known| known.read_ms <= read_ms) {
            self.statement = Some(Statement { read_ms, cold_until_ms: read_ms.saturating_add(left_ms) });
        }
    }

    /// Records that the upstream may have become cold at `now_ms`, unseen by the lists read so far.
    pub fn mark_unknown(&mut self, now_ms: u64) {
        self.doubted_ms = self.doubted_ms.max(Some(now_ms));
    }

    /// Returns whether the upstream was marked as unknown and no list that was read late enough has been recorded since.
    ///
    /// ```
    /// use daisysill_core::cold_start::ColdStart;
    /// let mut start = ColdStart::new(0);
    /// start.mark_unknown(100);
    /// start.record_list(1_000, 0);
    /// assert!(start.is_doubted());
    /// start.record_list(1_100, 0);
    /// assert!(!start.is_doubted());
    /// ```
    pub fn is_doubted(&self) -> bool {
        self.doubted_ms.is_some_and(|doubted_ms| {
            let shows = |list: Statement| list.read_ms >= doubted_ms.saturating_add(LIST_LAG_MS);
            !self.statement.is_some_and(shows)
        })
    }

    /// Returns the state at `now_ms`. Without a statement of a list, as from a leader of an older build, the upstream counts
    /// as cold for `cold_start_ms` after it was first seen or last marked as unknown.
    ///
    /// ```
    /// use daisysill_core::cold_start::{ColdStart, ColdState};
    /// let mut start = ColdStart::new(0);
    /// assert_eq!(start.state(100, 3_000), ColdState::Unknown);
    /// start.record_list(200, 2_000);
    /// assert_eq!(start.state(2_100, 3_000), ColdState::Cold);
    /// assert_eq!(start.state(2_200, 3_000), ColdState::Warm);
    /// start.mark_unknown(5_000);
    /// start.record_list(5_900, 0);
    /// assert_eq!(start.state(5_900, 3_000), ColdState::Unknown);
    /// start.record_list(6_000, 0);
    /// assert_eq!(start.state(6_000, 3_000), ColdState::Warm);
    /// ```
    pub fn state(&self, now_ms: u64, cold_start_ms: u64) -> ColdState {
        let Some(statement) = self.statement else {
            let since_ms = self.first_seen_ms.max(self.doubted_ms.unwrap_or(0));
            let is_over = now_ms >= since_ms.saturating_add(cold_start_ms);
            return if is_over { ColdState::Warm } else { ColdState::Unknown };
        };
        if now_ms < statement.cold_until_ms {
            return ColdState::Cold;
        }
        if self.is_doubted() { ColdState::Unknown } else { ColdState::Warm }
    }
}

/// Notices interruptions of the process from the times of its clock: a suspension, or a second without processor time. The two
/// cannot be told apart by the clock, and upstreams may have become cold unseen in either.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockGaps {
    last_ms: u64,
    interrupted_ms: Option<u64>,
}

impl ClockGaps {
    /// Records that the clock was read.
    pub fn record(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.last_ms) > MAX_CLOCK_GAP_MS {
            self.interrupted_ms = Some(now_ms);
        }
        self.last_ms = now_ms;
    }

    /// Returns the end of the last interruption.
    ///
    /// ```
    /// use daisysill_core::cold_start::ClockGaps;
    /// let mut gaps = ClockGaps::default();
    /// gaps.record(1_000);
    /// assert_eq!(gaps.interrupted_ms(), None);
    /// gaps.record(2_001);
    /// assert_eq!(gaps.interrupted_ms(), Some(2_001));
    /// ```
    pub const fn interrupted_ms(&self) -> Option<u64> {
        self.interrupted_ms
    }
}
