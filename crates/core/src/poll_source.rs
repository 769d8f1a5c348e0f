//! Choice of the control node that a node polls for the configuration and the soft state.
//!
//! A single control node cannot answer hundreds of entry nodes, so each entry node polls one in its own availability
//! zone, which passes on what it has from the leader. When that one fails, its entry nodes spread evenly over the
//! others.

use std::{
    collections::{BTreeMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

use crate::ids::{InstanceId, ZoneName};

/// Time for which a source that did not answer is not polled again while there are others.
const UNREACHABLE_PAUSE_MS: u64 = 3_000;
/// The same for a source that answered, but has lost contact with the majority or the leader.
const OUTDATED_PAUSE_MS: u64 = 300;

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The source has the current configuration and soft state.
    Current,
    /// The source answered, but what it has is too old.
    Outdated,
    /// The source did not answer in time.
    Unreachable,
}

/// The control nodes that one node may poll, and when those that failed may be polled again.
#[derive(Clone, Debug)]
pub struct PollSources {
    own_name: InstanceId,
    own_zone: ZoneName,
    /// Control nodes in contact with the leader, with their zones.
    control_nodes: BTreeMap<InstanceId, ZoneName>,
    /// Other nodes that may answer: voters and the nodes of the settings.
    others: Vec<InstanceId>,
    retry_at_ms: BTreeMap<InstanceId, u64>,
}

impl PollSources {
    /// Creates the sources of a node that knows only `seeds`.
    pub fn new(own_name: InstanceId, own_zone: ZoneName, seeds: Vec<InstanceId>) -> Self {
        Self {
            own_name,
            own_zone,
            control_nodes: BTreeMap::new(),
            others: seeds,
            retry_at_ms: BTreeMap::new(),
        }
    }

    /// Replaces the control nodes that are in contact with the leader.
    pub fn set_control_nodes(&mut self, nodes: impl IntoIterator<Item = (InstanceId, ZoneName)>) {
        self.control_nodes = nodes.into_iter().collect();
    }

    /// Returns the number of control nodes that are in contact with the leader.
    pub fn control_nodes(&self) -> usize {
        self.control_nodes.len()
    }

    /// Adds nodes that may answer while no control node does.
    pub fn add_others(&mut self, names: &[InstanceId]) {
        for name in names {
            if !self.others.contains(name) {
                self.others.push(name.clone());
            }
        }
    }

    /// Records how a poll ended.
    pub fn record(&mut self, source: &InstanceId, outcome: PollOutcome, now_ms: u64) {
        let pause_ms = match outcome {
            PollOutcome::Current => {
                self.retry_at_ms.remove(source);
                return;
            }
            PollOutcome::Outdated => OUTDATED_PAUSE_MS,
            PollOutcome::Unreachable => UNREACHABLE_PAUSE_MS,
        };
        self.retry_at_ms.insert(source.clone(), now_ms + pause_ms);
    }

    /// Returns the source to poll now: the first by preference that has not failed recently, or else the one whose
    /// pause ends first. `leader` is preferred to all others, if given; `None` if no source is known.
    ///
    /// ```
    /// use daisysill_core::poll_source::{PollOutcome, PollSources};
    /// let mut sources = PollSources::new("e1".into(), "east".into(), vec!["c1".into()]);
    /// sources.set_control_nodes([("c1".into(), "west".into()), ("c2".into(), "east".into())]);
    /// assert_eq!(sources.choose(None, 0), Some("c2".into()));
    /// sources.record(&"c2".into(), PollOutcome::Unreachable, 0);
    /// assert_eq!(sources.choose(None, 10), Some("c1".into()));
    /// ```
    pub fn choose(&self, leader: Option<&InstanceId>, now_ms: u64) -> Option<InstanceId> {
        let others = self.others.iter().filter(|name| !self.control_nodes.contains_key(*name));
        let known = self.control_nodes.keys().chain(others).chain(leader);
        let candidates = known.filter(|name| **name != self.own_name);
        let best = candidates.min_by_key(|name| {
            let pause_ms = self.retry_at_ms.get(*name).map_or(0, |at_ms| at_ms.saturating_sub(now_ms));
            (pause_ms, Some(*name) != leader, self.distance(name), self.rank(name))
        });
        best.cloned()
    }

    /// Returns 0 for control nodes in this node's zone, 1 for those in other zones, and 2 for other nodes.
    fn distance(&self, name: &InstanceId) -> u8 {
        match self.control_nodes.get(name) {
            Some(zone) if *zone == self.own_zone => 0,
            Some(_) => 1,
            None => 2,
        }
    }

    /// Returns a number that orders sources differently on each node, so that nodes spread evenly over them.
    fn rank(&self, name: &InstanceId) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.own_name, name).hash(&mut hasher);
        hasher.finish()
    }
}
