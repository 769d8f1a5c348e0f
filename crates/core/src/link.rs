//! Bandwidth of a store's link: what one node may use of it, and which of its transfers goes first.
//!
//! Nodes divide a link by reports that lag. A node that wants more uses it only after the others had time to
//! hear its claim; one that wants less stops first and reports then. So the shares never add up to more than
//! the budget while reports arrive within `settle_ms`.

use std::collections::BTreeMap;

use crate::ids::InstanceId;

pub use crate::link_queue::{Booking, BookingId, LinkClass, LinkQueue, Started};

/// The budget of one store link and how it is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkPolicy {
    /// Bytes per second that all nodes together may use.
    pub bytes_per_s: u64,
    /// Percent of the budget that is divided evenly whatever the demand.
    pub floor_percent: u64,
    /// Percent of a node's share that background transfers get at least.
    pub background_percent: u64,
    /// Time within which a report reaches every other node.
    pub settle_ms: u64,
    /// Silence after which a node is taken to want its whole even share.
    pub stale_ms: u64,
}

/// What a node wants of a link, as it tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkClaim {
    /// Bytes per second it could use.
    pub demand_bytes_per_s: u64,
    /// When it was heard, on the clock of the node that keeps it.
    pub heard_ms: u64,
}

/// A node's share of a link, with the reason in one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkShare {
    /// Bytes per second this node may use.
    pub bytes_per_s: u64,
    /// One line for `daisysill explain`.
    pub reason: String,
}

/// One node's knowledge of the claims on one link.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    policy: LinkPolicy,
    own: InstanceId,
    others: BTreeMap<InstanceId, LinkClaim>,
    /// Own claims that may still be unknown to others, oldest first; the last one is the present claim.
    claimed: Vec<(u64, u64)>,
}

impl LinkBudget {
    /// Starts with every node of `nodes` unheard of, so that each counts with its even share.
    ///
    /// ```
    /// use daisysill_core::link::{LinkBudget, LinkPolicy};
    /// let policy = LinkPolicy {
    ///     bytes_per_s: 1_000, floor_percent: 50, background_percent: 5, settle_ms: 500, stale_ms: 3_000,
    /// };
    /// let nodes = ["node-a".into(), "node-b".into()];
    /// let budget = LinkBudget::new(policy, "node-a".into(), &nodes);
    /// assert_eq!(budget.share(0).bytes_per_s, 250);
    /// ```
    pub fn new(policy: LinkPolicy, own: InstanceId, nodes: &[InstanceId]) -> Self {
        let mut budget = Self { policy, own, others: BTreeMap::new(), claimed: vec![(0, 0)] };
        budget.set_nodes(nodes, 0);
        budget
    }

    /// Sets which nodes use the link; a new one counts with its even share until it is heard of.
    pub fn set_nodes(&mut self, nodes: &[InstanceId], now_ms: u64) {
        self.others.retain(|id, _| nodes.contains(id));
        for node in nodes.iter().filter(|node| **node != self.own) {
            let whole = LinkClaim { demand_bytes_per_s: u64::MAX, heard_ms: now_ms };
            self.others.entry(node.clone()).or_insert(whole);
        }
    }

    /// Changes the budget, for instance because the link has slowed down.
    pub fn set_bytes_per_s(&mut self, bytes_per_s: u64) {
        self.policy.bytes_per_s = bytes_per_s;
    }

    /// Takes another node's claim.
    pub fn heard(&mut self, from: &InstanceId, demand_bytes_per_s: u64, now_ms: u64) {
        if let Some(claim) = self.others.get_mut(from) {
            *claim = LinkClaim { demand_bytes_per_s, heard_ms: now_ms };
        }
    }

    /// Sets the own claim, which is to be reported to the others from now on.
    pub fn claim(&mut self, demand_bytes_per_s: u64, now_ms: u64) {
        self.claimed.push((now_ms, demand_bytes_per_s));
        self.forget_settled(now_ms);
    }

    /// Returns what this node may use now.
    pub fn share(&self, now_ms: u64) -> LinkShare {
        let demand = self.settled_demand(now_ms);
        let count = self.others.len() as u64 + 1;
        let floor = self.policy.bytes_per_s * self.policy.floor_percent.min(100) / 100 / count;
        let pool = self.policy.bytes_per_s - floor * count;
        let others = self.others.values().map(|claim| self.effective(claim, now_ms).saturating_sub(floor));
        let extra = max_min_share(pool, demand.saturating_sub(floor), others);
        let bytes_per_s = floor + extra;
        let stale = self.others.values().filter(|claim| self.is_stale(claim, now_ms)).count();
        let reason = format!(
            "{bytes_per_s} of {} bytes/s: floor {floor} for each of {count} nodes, {extra} left unused by \
             others, {stale} nodes not heard of",
            self.policy.bytes_per_s
        );
        LinkShare { bytes_per_s, reason }
    }

    fn effective(&self, claim: &LinkClaim, now_ms: u64) -> u64 {
        if self.is_stale(claim, now_ms) { u64::MAX } else { claim.demand_bytes_per_s }
    }

    fn is_stale(&self, claim: &LinkClaim, now_ms: u64) -> bool {
        now_ms.saturating_sub(claim.heard_ms) > self.policy.stale_ms
    }

    /// Returns the lowest own claim that some other node may still count with.
    fn settled_demand(&self, now_ms: u64) -> u64 {
        let first = self.first_unsettled(now_ms);
        self.claimed[first..].iter().map(|(_, demand)| *demand).min().unwrap_or(0)
    }

    fn forget_settled(&mut self, now_ms: u64) {
        self.claimed.drain(..self.first_unsettled(now_ms));
    }

    /// Returns the index of the newest claim that every node has heard.
    fn first_unsettled(&self, now_ms: u64) -> usize {
        let settled = |(at_ms, _): &(u64, u64)| at_ms + self.policy.settle_ms <= now_ms;
        self.claimed.iter().rposition(settled).unwrap_or(0)
    }
}

/// Returns one claimant's max-min fair part of `pool`.
fn max_min_share(pool: u64, own: u64, others: impl Iterator<Item = u64>) -> u64 {
    let mut demands: Vec<u64> = others.collect();
    demands.sort_unstable();
    let mut left = pool;
    let mut claimants = demands.len() as u64 + 1;
    for demand in demands {
        let even = left / claimants;
        if demand >= even || demand >= own {
            break;
        }
        left -= demand;
        claimants -= 1;
    }
    own.min(left / claimants)
}
