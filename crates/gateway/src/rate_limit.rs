//! The rate limit that an upstream names in its responses, for all nodes together, and this node's share of it.

use std::{cell::Cell, time::Duration};

use daisysill_cluster::BootInstant;
use daisysill_core::{
    rate_permits::{RateDivision, SendBound},
    rate_share::{MIN_RATE_PER_S, PERMIT_LIFETIME_MS, RateShare},
};
use tokio::time::Instant;

use crate::duration::millis;

/// Window in which an upstream counts requests against its limit.
const WINDOW_MS: u64 = 4_000;
/// The requests of a window may exceed the limit by this factor and this number.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

/// The rate limit of one upstream, as its responses to this node state it.
#[derive(Debug, Default)]
pub struct RateLimit {
    named: Cell<Option<NamedLimit>>,
}

#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    per_s: f64,
    /// What is granted of it, and what the equal shares add up to.
    division: RateDivision,
    /// When a response first named a limit, on a clock that includes suspended time: permits expire meanwhile.
    first_named_at: BootInstant,
    /// When a response last named a limit.
    last_named_at: Instant,
    share: RateShare,
}

/// How a response changed the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The upstream names a limit, or another one than before.
    Named {
        /// Requests per second.
        per_s: f64,
    },
    /// The upstream names none any more.
    Lifted,
}

impl RateLimit {
    /// Returns the requests per second that the upstream takes; `None` if it names no limit.
    pub fn per_s(&self) -> Option<f64> {
        self.named.get().map(|named| named.per_s)
    }

    /// Returns the requests per second that the leader may grant to all nodes together; `None` if there is no limit.
    pub fn granted_per_s(&self) -> Option<f64> {
        self.named.get().map(|named| named.division.granted_per_s)
    }

    /// Returns the time until this node's share has a permit, as one of `nodes` nodes; zero if it has one.
    pub fn wait(&self, nodes: u32) -> Duration {
        let Some(mut named) = self.named.get() else { return Duration::ZERO };
        Duration::from_millis(named.share.wait_ms(named.now_ms(), named.division.shared_per_s, nodes))
    }

    /// Takes a permit of the share of this node, one of `nodes`; `false` if none is due.
    pub fn try_take(&self, nodes: u32) -> bool {
        let Some(mut named) = self.named.get() else { return true };
        let is_taken = named.share.try_take(named.now_ms(), named.division.shared_per_s, nodes);
        self.named.set(Some(named));
        is_taken
    }

    /// Records what a response to a request sent at `sent_at` names; returns the change, if it is one.
    ///
    /// A response without a limit lifts it only if its request was sent after the limit was last named: responses on
    /// different connections may overtake each other.
    pub fn record(&self, named_per_s: Option<f64>, sent_at: Instant) -> Option<LimitChange> {
        let known = self.named.get();
        match (named_per_s, known) {
            (Some(per_s), Some(known)) => {
                self.named.set(Some(NamedLimit {
                    per_s,
                    division: divide(per_s),
                    last_named_at: Instant::now(),
                    ..known
                }));
                let is_new = known.per_s.to_bits() != per_s.to_bits();
                is_new.then_some(LimitChange::Named { per_s })
            }
            (Some(per_s), None) => {
                self.named.set(Some(NamedLimit::new(per_s)));
                Some(LimitChange::Named { per_s })
            }
            (None, Some(known)) if sent_at >= known.last_named_at => {
                self.named.set(None);
                Some(LimitChange::Lifted)
            }
            (None, Some(_) | None) => None,
        }
    }
}

impl NamedLimit {
    fn new(per_s: f64) -> Self {
        let (first_named_at, last_named_at) = (BootInstant::now(), Instant::now());
        let share = RateShare::new(0, rand::random()).beside_grants();
        Self { per_s, division: divide(per_s), first_named_at, last_named_at, share }
    }

    /// Returns the milliseconds since the limit was first named, the clock of the share.
    fn now_ms(&self) -> u64 {
        millis(self.first_named_at.elapsed())
    }
}

/// Divides a limit. One of zero leaves a request now and then, whose response would tell that the limit has ended.
fn divide(per_s: f64) -> RateDivision {
    let per_s = per_s.max(MIN_RATE_PER_S);
    let requests = per_s * OVERSHOOT * WINDOW_MS as f64 / 1_000.0 + SLACK;
    SendBound { window_ms: WINDOW_MS, requests, share_lifetime_ms: PERMIT_LIFETIME_MS }.divide(per_s)
}
