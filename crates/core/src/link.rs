//! Division of a store link's bandwidth among nodes.
//!
//! Every node computes its max-min fair share from the demands that the nodes report to each other. A higher
//! demand takes effect only after every other node has had time to learn of it, a lower one immediately.
//! Therefore the shares never add up to more than the budget while reports arrive within `propagation_ms`.

use std::collections::BTreeMap;

use crate::ids::InstanceId;

pub use crate::link_queue::{Booking, BookingId, LinkClass, LinkQueue, Started};

/// The bandwidth budget of one store link and the rules for its division.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkPolicy {
    /// Budget for all nodes together, in bytes per second.
    pub bytes_per_s: u64,
    /// Percent of the budget that is divided evenly, whatever the demand.
    pub floor_percent: u64,
    /// Minimum percent of a node's share for background transfers.
    pub background_percent: u64,
    /// Time within which a demand report reaches every other node.
    pub propagation_ms: u64,
    /// Age above which a report is stale; its node then counts with unlimited demand and keeps its even share.
    pub stale_ms: u64,
}

/// The latest demand report of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkDemand {
    /// Bandwidth that the node could use, in bytes per second.
    pub demand_bytes_per_s: u64,
    /// When the report arrived, on the clock of the receiving node.
    pub received_ms: u64,
}

/// This node's share of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkShare {
    /// Bandwidth that this node may use, in bytes per second.
    pub bytes_per_s: u64,
    /// One line for `daisysill explain` with the figures behind the share.
    pub reason: String,
}

/// One node's record of the demands on one link.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    policy: LinkPolicy,
    own: InstanceId,
    others: BTreeMap<InstanceId, LinkDemand>,
    /// Own demands with their times, oldest first: the newest that every node knows, and those after it.
    own_demands: Vec<(u64, u64)>,
}

impl LinkBudget {
    /// Creates a budget. Each other node counts with unlimited demand until its first report, so it keeps its even
    /// share.
    ///
    /// ```
    /// use daisysill_core::link::{LinkBudget, LinkPolicy};
    /// let policy = LinkPolicy {
    ///     bytes_per_s: 1_000, floor_percent: 50, background_percent: 5, propagation_ms: 500, stale_ms: 3_000,
    /// };
    /// let nodes = ["node-a".into(), "node-b".into()];
    /// let budget = LinkBudget::new(policy, "node-a".into(), &nodes);
    /// assert_eq!(budget.share(0).bytes_per_s, 250);
    /// ```
    pub fn new(policy: LinkPolicy, own: InstanceId, nodes: &[InstanceId]) -> Self {
        let mut budget = Self { policy, own, others: BTreeMap::new(), own_demands: vec![(0, 0)] };
        budget.set_nodes(nodes, 0);
        budget
    }

    /// Sets which nodes use the link; a new one counts with unlimited demand until its first report.
    pub fn set_nodes(&mut self, nodes: &[InstanceId], now_ms: u64) {
        self.others.retain(|id, _| nodes.contains(id));
        for node in nodes.iter().filter(|node| **node != self.own) {
            let unlimited = LinkDemand { demand_bytes_per_s: u64::MAX, received_ms: now_ms };
            self.others.entry(node.clone()).or_insert(unlimited);
        }
    }

    /// Changes the budget, for instance because the link became slower.
    pub fn set_bytes_per_s(&mut self, bytes_per_s: u64) {
        self.policy.bytes_per_s = bytes_per_s;
    }

    /// Records a demand report of another node; reports of nodes that do not use the link are ignored.
    pub fn record_demand(&mut self, from: &InstanceId, demand_bytes_per_s: u64, now_ms: u64) {
        if let Some(demand) = self.others.get_mut(from) {
            *demand = LinkDemand { demand_bytes_per_s, received_ms: now_ms };
        }
    }

    /// Sets this node's demand, which the caller reports to the other nodes from now on.
    pub fn set_own_demand(&mut self, demand_bytes_per_s: u64, now_ms: u64) {
        self.own_demands.push((now_ms, demand_bytes_per_s));
        self.drop_superseded(now_ms);
    }

    /// Returns this node's present share.
    pub fn share(&self, now_ms: u64) -> LinkShare {
        let own_demand = self.effective_own_demand(now_ms);
        let count = self.others.len() as u64 + 1;
        let floor = self.policy.bytes_per_s * self.policy.floor_percent.min(100) / 100 / count;
        let pool = self.policy.bytes_per_s - floor * count;
        let others =
            self.others.values().map(|demand| self.effective_demand(demand, now_ms).saturating_sub(floor));
        let extra = max_min_share(pool, own_demand.saturating_sub(floor), others);
        let bytes_per_s = floor + extra;
        let stale = self.others.values().filter(|demand| self.is_stale(demand, now_ms)).count();
        let reason = format!(
            "{bytes_per_s} of {} bytes/s: floor {floor} for each of {count} nodes, {extra} left unused by \
             others, {stale} nodes not heard of",
            self.policy.bytes_per_s
        );
        LinkShare { bytes_per_s, reason }
    }

    fn effective_demand(&self, demand: &LinkDemand, now_ms: u64) -> u64 {
        if self.is_stale(demand, now_ms) { u64::MAX } else { demand.demand_bytes_per_s }
    }

    fn is_stale(&self, demand: &LinkDemand, now_ms: u64) -> bool {
        now_ms.saturating_sub(demand.received_ms) > self.policy.stale_ms
    }

    /// Returns the lowest own demand that some other node may still use in its computation.
    fn effective_own_demand(&self, now_ms: u64) -> u64 {
        let first = self.newest_known(now_ms);
        self.own_demands[first..].iter().map(|(_, demand)| *demand).min().unwrap_or(0)
    }

    fn drop_superseded(&mut self, now_ms: u64) {
        self.own_demands.drain(..self.newest_known(now_ms));
    }

    /// Returns the index of the newest own demand that every node has learned of; 0 if there is none.
    fn newest_known(&self, now_ms: u64) -> usize {
        let is_known = |(at_ms, _): &(u64, u64)| at_ms + self.policy.propagation_ms <= now_ms;
        self.own_demands.iter().rposition(is_known).unwrap_or(0)
    }
}

/// Returns the max-min fair share of `pool` for the demand `own` beside the demands `others`.
fn max_min_share(pool: u64, own: u64, others: impl Iterator<Item = u64>) -> u64 {
    let mut demands: Vec<u64> = others.collect();
    demands.sort_unstable();
    let mut left = pool;
    let mut sharers = demands.len() as u64 + 1;
    for demand in demands {
        let even = left / sharers;
        if demand >= even || demand >= own {
            break;
        }
        left -= demand;
        sharers -= 1;
    }
    own.min(left / sharers)
}
