//! Tests of the rejection guard: nodes that learn of each other's requests late share the slots of upstreams that tolerate
//! few rejections.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::VecDeque;

use daisysill_core::rejection_guard::{RejectionGuard, RejectionShare, SlotUse};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const STEP_MS: u64 = 5;
/// Time until a node knows of the requests of the others.
const DELAY_MS: u64 = 130;
const DURATION_MS: u64 = 20_000;
/// When the upstream begins to reject everything, in the test of that.
const SHORTAGE_MS: u64 = 1_000;
/// Mean time of a request.
const REQUEST_MS: f64 = 300.0;

/// How often nodes have requests.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// All nodes always have requests that wait.
    Steady,
    /// Each node has some for a time, and then none for a time.
    Bursts,
}

impl Demand {
    fn has_requests(self, node: usize, now_ms: u64) -> bool {
        match self {
            Self::Steady => true,
            // Nodes begin their bursts at different times, many of them at once.
            Self::Bursts => (now_ms / 700 + node as u64 * 7).is_multiple_of(3),
        }
    }
}

/// A node with its requests that run, by the time at which they end.
#[derive(Clone, Default)]
struct Node {
    guard: RejectionGuard,
    running: Vec<u64>,
    /// The numbers of its requests in flight at earlier steps, the present one last.
    history: VecDeque<u32>,
}

impl Node {
    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap()
    }

    /// Returns the number of its requests in flight that the others know of.
    fn known(&self) -> u32 {
        self.history.front().copied().unwrap_or(0)
    }
}

/// One upstream and the nodes that send to it more than it can run.
struct Simulation {
    random: StdRng,
    slots: u32,
    entry_nodes: u32,
    max_rejections_per_s: f64,
    demand: Demand,
    nodes: Vec<Node>,
    rejected_ms: Vec<u64>,
    served: u64,
}

impl Simulation {
    fn new(slots: u32, entry_nodes: u32, max_rejections_per_s: f64, demand: Demand) -> Self {
        Self {
            random: StdRng::seed_from_u64(u64::from(slots * 1_000 + entry_nodes)),
            slots,
            entry_nodes,
            max_rejections_per_s,
            demand,
            nodes: vec![Node::default(); usize::try_from(entry_nodes).unwrap()],
            rejected_ms: Vec::new(),
            served: 0,
        }
    }

    /// Plays all nodes in turn, starting at a random one; the upstream runs `free_slots` requests at a time.
    fn run(mut self, free_slots: impl Fn(u64) -> u32) -> Self {
        for now_ms in (0..DURATION_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            let known: u32 = self.nodes.iter().map(Node::known).sum();
            let mut in_flight: u32 = self.nodes.iter().map(Node::in_flight).sum();
            let first = self.random.random_range(0..self.nodes.len());
            for offset in 0..self.nodes.len() {
                let node = (first + offset) % self.nodes.len();
                let before = self.nodes[node].in_flight();
                self.nodes[node].running.retain(|end_ms| *end_ms > now_ms);
                let ended = before - self.nodes[node].in_flight();
                in_flight -= ended;
                (0..ended).for_each(|_| self.nodes[node].guard.record_freed(now_ms));
                if self.demand.has_requests(node, now_ms) {
                    let others = known - self.nodes[node].known();
                    self.send(node, now_ms, others, &mut in_flight, free_slots(now_ms));
                }
            }
            for node in &mut self.nodes {
                let present = node.in_flight();
                node.history.push_back(present);
                if node.history.len() > usize::try_from(DELAY_MS / STEP_MS).unwrap() {
                    node.history.pop_front();
                }
            }
        }
        self
    }

    /// Sends requests of one node as long as it may; the upstream rejects those for which no slot is free.
    fn send(&mut self, node: usize, now_ms: u64, others: u32, in_flight: &mut u32, free_slots: u32) {
        let node = &mut self.nodes[node];
        loop {
            let (slots, entry_nodes) = (self.slots, self.entry_nodes);
            let known = SlotUse { slots, own: node.in_flight(), others, entry_nodes };
            if !node.guard.admits(now_ms, &known, self.random.random()) {
                return;
            }
            node.guard.take(now_ms);
            if *in_flight < free_slots {
                let took_ms = -REQUEST_MS * (1.0 - self.random.random::<f64>()).ln();
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                node.running.push(now_ms + took_ms as u64 + 1);
                *in_flight += 1;
                self.served += 1;
            } else {
                self.rejected_ms.push(now_ms);
                let max_rejections_per_s = self.max_rejections_per_s;
                let share = RejectionShare { max_rejections_per_s, entry_nodes };
                node.guard.record_rejection(now_ms, &share, self.random.random());
            }
        }
    }

    /// Returns the most rejections within a second.
    fn most_rejections(&self) -> usize {
        let end_of = |from_ms: u64| self.rejected_ms.partition_point(|at_ms| *at_ms < from_ms + 1_000);
        let counts = self.rejected_ms.iter().enumerate().map(|(index, from_ms)| end_of(*from_ms) - index);
        counts.max().unwrap_or(0)
    }

    /// Returns the share of the slots that was in use on average.
    fn usage(&self) -> f64 {
        self.served as f64 * REQUEST_MS / (DURATION_MS as f64 * f64::from(self.slots))
    }
}

/// Guards against nodes that together have more requests rejected than the upstream tolerates, because each fills the same
/// free slots; and against slots that stay empty instead.
#[test]
fn many_nodes_stay_below_the_tolerated_rejections() {
    for entry_nodes in [1, 2, 6, 30, 300] {
        for slots in [1, 4, 8, 64] {
            for demand in [Demand::Steady, Demand::Bursts] {
                let run = Simulation::new(slots, entry_nodes, 2.0, demand).run(|_| slots);
                let (most, usage) = (run.most_rejections(), run.usage());
                let played = format!("{entry_nodes} nodes, {slots} slots, {demand:?}");
                assert!(most <= 2, "{played}: {most} rejections in a second");
                assert!(usage > 0.3, "{played}: only {usage} of the slots in use");
            }
        }
    }
}

/// Guards against nodes that go on to send to an upstream that rejects more than they expect, since it runs less than its slots
/// say.
#[test]
fn nodes_that_are_rejected_hold_back() {
    for entry_nodes in [1, 6, 30] {
        for max_rejections_per_s in [1.0, 3.0, 8.0] {
            let run = Simulation::new(16, entry_nodes, max_rejections_per_s, Demand::Steady)
                .run(|now_ms| if now_ms < SHORTAGE_MS { 16 } else { 0 });
            let later = run.rejected_ms.iter().filter(|at_ms| **at_ms >= DURATION_MS / 2).count();
            let allowed = max_rejections_per_s * (DURATION_MS / 2) as f64 / 1_000.0;
            assert!(
                later as f64 <= allowed,
                "{entry_nodes} nodes, {max_rejections_per_s}/s: {later} rejections"
            );
        }
    }
}
