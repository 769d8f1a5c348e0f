//! Permits that the leader grants by demand to nodes that send to upstreams with a rate limit. Handles callers that are spread
//! unevenly over many nodes, where equal shares leave most of the rate unused.
//!
//! Grants and equal shares ([`crate::rate_share`]) are used at the same time. [`SendBound::divide`] divides the rate between
//! them so that both together stay within the bound without any message between nodes.

use std::collections::{BTreeMap, VecDeque};

/// Time for which a node may use a grant after it asked for it.
pub const GRANT_LIFETIME_MS: u64 = 150;
/// Least time between two requests of one node for grants for one upstream.
pub const MIN_ASK_INTERVAL_MS: u64 = 20;
/// The rate that applies is the lowest one reported within this time.
pub const REPORT_LIFETIME_MS: u64 = 1_000;
/// A permit that was due this long ago can still be granted, so that the time between two requests of nodes is not lost.
const CARRY_MS: f64 = 100.0;
/// A node that has not asked for this long does not count among those that ask.
const ASKER_LIFETIME_MS: u64 = 2_000;
/// Target number of requests per permit when many nodes ask. Fewer leave permits unrequested for `CARRY_MS`; more load the leader.
const ASKS_PER_PERMIT: f64 = 8.0;
/// Up to this many nodes may each ask for every permit. Callers' requests wait only briefly, so a node that asked later would often have
/// none left to send.
const MAX_UNSPREAD_ASKERS: usize = 16;
/// Longest time over which nodes spread their requests.
const MAX_SPREAD_MS: f64 = 4_000.0;
/// Part of the rate that is granted if the bound leaves room for it.
const GRANTED_PART: f64 = 0.93;
/// Largest part of the bound that grants may take.
const MAX_GRANTED_PART_OF_BOUND: f64 = 0.7;
/// Distance of the bound from the mean number of share permits, in standard deviations: permits become due at random, and exceed the
/// bound with a probability of 1e-6.
const SHARE_DEVIATIONS: f64 = 4.75;
/// The lowest rate of an issuer, in requests per second.
const MIN_GRANTED_PER_S: f64 = 0.001;

/// How many requests of all nodes together may arrive at one upstream within any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendBound {
    /// Length of the window.
    pub window_ms: u64,
    /// Number of requests.
    pub requests: f64,
    /// Time for which a permit of an equal share can be used.
    pub share_lifetime_ms: u64,
}

/// A rate, divided between grants and equal shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateDivision {
    /// Requests per second that the leader grants.
    pub granted_per_s: f64,
    /// Requests per second that the equal shares of all nodes add up to.
    pub shared_per_s: f64,
}

impl SendBound {
    /// Divides a rate so that grants and equal shares add up to at most `per_s`, and both used at the same time stay within
    /// the bound.
    ///
    /// ```
    /// use daisysill_core::rate_permits::SendBound;
    /// let bound = SendBound { window_ms: 1_000, requests: 9.5 * 1.5 + 5.0, share_lifetime_ms: 300 };
    /// let division = bound.divide(9.5);
    /// assert_eq!(division.granted_per_s, 9.5 * 0.93);
    /// assert!(division.shared_per_s > 0.4 && division.shared_per_s < 0.7);
    /// ```
    pub fn divide(&self, per_s: f64) -> RateDivision {
        let grant_span_s = (self.window_ms + GRANT_LIFETIME_MS) as f64 / 1_000.0 + CARRY_MS / 1_000.0;
        let most_granted = (self.requests * MAX_GRANTED_PART_OF_BOUND - 1.0) / grant_span_s;
        let granted_per_s = (per_s * GRANTED_PART).min(most_granted).max(0.0);
        let left = self.requests.floor() - (granted_per_s * grant_span_s + 1.0).floor();
        let share_span_s = (self.window_ms + self.share_lifetime_ms) as f64 / 1_000.0;
        let shared_per_s = poisson_mean(left) / share_span_s;
        RateDivision { granted_per_s, shared_per_s: shared_per_s.min(per_s - granted_per_s).max(0.0) }
    }
}

/// Returns the mean of a Poisson distribution that exceeds `most` with a probability of 1e-6 at most, by the approximation of
/// Wilson and Hilferty, which is on the low side here.
fn poisson_mean(most: f64) -> f64 {
    let count = most.max(0.0) + 1.0;
    let root = 1.0 - 1.0 / (9.0 * count) - SHARE_DEVIATIONS / (3.0 * count.sqrt());
    count * root.max(0.0).powi(3)
}

/// One node's request for permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitAsk {
    /// Identifies the node.
    pub asker: u64,
    /// The rate that may be granted to all nodes together, as the node knows it.
    pub granted_per_s: f64,
    /// Number of permits that it needs now.
    pub wanted: u32,
    /// A random number from 0 up to 1.
    pub draw: f64,
}

/// What an issuer answers to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Number of permits that are granted.
    pub permits: u32,
    /// Time after which the node should ask again.
    pub retry_ms: u64,
}

/// Grants the permits for one start of an upstream at a paced rate.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitIssuer {
    /// When the next permit is due.
    due_ms: f64,
    /// Reported rates with their times. Both increase, so that the first rate is the lowest.
    reports: VecDeque<(u64, f64)>,
    /// The nodes that ask, and when each last did.
    askers: BTreeMap<u64, u64>,
}

impl PermitIssuer {
    /// Starts without a due permit. The first one becomes due after a whole interval, since an earlier issuer may have granted
    /// one just before.
    pub fn new(now_ms: u64, granted_per_s: f64) -> Self {
        let due_ms = now_ms as f64 + interval_ms(granted_per_s) + CARRY_MS;
        Self { due_ms, reports: VecDeque::new(), askers: BTreeMap::new() }
    }

    /// Grants permits to a node. It should ask again when one is due, or later if many nodes ask, so that they don't all come
    /// for the same one.
    ///
    /// ```
    /// use daisysill_core::rate_permits::{Granted, PermitAsk, PermitIssuer};
    /// let mut issuer = PermitIssuer::new(0, 4.0);
    /// let ask = PermitAsk { asker: 1, granted_per_s: 4.0, wanted: 3, draw: 0.5 };
    /// assert_eq!(issuer.grant(0, &ask), Granted { permits: 0, retry_ms: 350 });
    /// assert_eq!(issuer.grant(350, &ask), Granted { permits: 1, retry_ms: 250 });
    /// assert_eq!(issuer.grant(400, &ask), Granted { permits: 0, retry_ms: 200 });
    /// ```
    pub fn grant(&mut self, now_ms: u64, ask: &PermitAsk) -> Granted {
        let interval_ms = interval_ms(self.lowest_report(now_ms, ask.granted_per_s));
        self.askers.insert(ask.asker, now_ms);
        self.askers.retain(|_, asked_ms| *asked_ms + ASKER_LIFETIME_MS >= now_ms);
        let now = now_ms as f64;
        // A rate that has risen applies at once.
        self.due_ms = self.due_ms.min(now + interval_ms + CARRY_MS);
        let mut permits = 0;
        while permits < ask.wanted && self.due_ms <= now {
            // A permit that was due earlier is lost.
            self.due_ms = self.due_ms.max(now - CARRY_MS) + interval_ms;
            permits += 1;
        }
        // At most some minutes, since the rate has a lower bound.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let retry_ms = ((self.due_ms - now).max(0.0) + self.spread_ms(interval_ms) * ask.draw).ceil() as u64;
        Granted { permits, retry_ms }
    }

    /// Returns the time over which the nodes that ask should spread their next requests.
    fn spread_ms(&self, interval_ms: f64) -> f64 {
        let others = self.askers.len().saturating_sub(MAX_UNSPREAD_ASKERS) as f64;
        (others * interval_ms / ASKS_PER_PERMIT).min(MAX_SPREAD_MS)
    }

    /// Records a reported rate, and returns the lowest recent one.
    fn lowest_report(&mut self, now_ms: u64, per_s: f64) -> f64 {
        while self.reports.back().is_some_and(|(_, known)| *known >= per_s) {
            self.reports.pop_back();
        }
        self.reports.push_back((now_ms, per_s));
        while self.reports.front().is_some_and(|(at_ms, _)| at_ms + REPORT_LIFETIME_MS < now_ms) {
            self.reports.pop_front();
        }
        self.reports.front().map_or(per_s, |(_, lowest)| *lowest)
    }
}

fn interval_ms(per_s: f64) -> f64 {
    1_000.0 / per_s.max(MIN_GRANTED_PER_S)
}

/// A grant that a node holds or has taken, by its expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Grant {
    expires_ms: u64,
}

impl Grant {
    /// Returns whether a request may still be sent under the grant.
    pub const fn is_valid(self, now_ms: u64) -> bool {
        now_ms < self.expires_ms
    }
}

/// The grants of one node for one start of an upstream. All times are of one clock that includes suspended time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldGrants {
    /// Number and time of the request that is open.
    asked: Option<(u64, u64)>,
    /// From when on the node may ask again.
    next_ask_ms: u64,
    held: VecDeque<Grant>,
}

impl HeldGrants {
    /// Records that the node asks now, with a request number that is used only once.
    pub const fn record_ask(&mut self, now_ms: u64, number: u64) {
        self.asked = Some((number, now_ms));
        self.next_ask_ms = now_ms + MIN_ASK_INTERVAL_MS;
    }

    /// Records the response to the request `number`; returns how many permits are usable. A response that is late, repeated or
    /// of an earlier request has none.
    ///
    /// ```
    /// use daisysill_core::rate_permits::{Granted, HeldGrants};
    /// let mut grants = HeldGrants::default();
    /// grants.record_ask(1_000, 7);
    /// let granted = Granted { permits: 1, retry_ms: 250 };
    /// assert_eq!(grants.record_answer(1_005, 7, granted), 1);
    /// assert_eq!(grants.record_answer(1_006, 7, granted), 0);
    /// assert!(grants.take(1_149).is_some_and(|grant| !grant.is_valid(1_150)));
    /// assert_eq!(grants.take(1_149), None);
    /// ```
    pub fn record_answer(&mut self, now_ms: u64, number: u64, granted: Granted) -> u32 {
        let Some((_, asked_ms)) = self.asked.take_if(|(open, _)| *open == number) else { return 0 };
        self.next_ask_ms = self.next_ask_ms.max(now_ms + granted.retry_ms);
        let grant = Grant { expires_ms: asked_ms + GRANT_LIFETIME_MS };
        if !grant.is_valid(now_ms) {
            return 0;
        }
        self.held.extend((0..granted.permits).map(|_| grant));
        granted.permits
    }

    /// Records that the request `number` has no response; the node asks again after `pause_ms`.
    pub fn record_failure(&mut self, now_ms: u64, number: u64, pause_ms: u64) {
        if self.asked.take_if(|(open, _)| *open == number).is_some() {
            self.next_ask_ms = self.next_ask_ms.max(now_ms + pause_ms);
        }
    }

    /// Returns the time until the node may ask again; 0 if it may now.
    pub const fn ask_wait_ms(&self, now_ms: u64) -> u64 {
        self.next_ask_ms.saturating_sub(now_ms)
    }

    /// Returns whether the node has asked and no response has arrived.
    pub const fn is_asking(&self) -> bool {
        self.asked.is_some()
    }

    /// Returns whether a valid grant is held.
    pub fn has_valid(&self, now_ms: u64) -> bool {
        self.held.iter().any(|grant| grant.is_valid(now_ms))
    }

    /// Takes the valid grant that expires first.
    pub fn take(&mut self, now_ms: u64) -> Option<Grant> {
        let index = self.held.iter().position(|grant| grant.is_valid(now_ms))?;
        self.held.remove(index)
    }

    /// Returns a grant that was not used.
    pub fn give_back(&mut self, grant: Grant) {
        self.held.push_front(grant);
    }

    /// Drops expired grants; returns their number.
    pub fn remove_expired(&mut self, now_ms: u64) -> usize {
        let before = self.held.len();
        self.held.retain(|grant| grant.is_valid(now_ms));
        before - self.held.len()
    }
}
