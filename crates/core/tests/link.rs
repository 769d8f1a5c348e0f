//! Tests of the division of a store link and of the order of its transfers.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{
    ids::InstanceId,
    link::{LinkBudget, LinkClass, LinkPolicy, LinkQueue},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const POLICY: LinkPolicy = LinkPolicy {
    bytes_per_s: 1_000_000,
    floor_percent: 30,
    background_percent: 5,
    propagation_ms: 100,
    stale_ms: 1_000,
};

fn nodes(count: usize) -> Vec<InstanceId> {
    (0..count).map(|at| InstanceId::from(format!("node-{at}"))).collect()
}

proptest! {
    #![proptest_config(Config { cases: 512, rng_seed: RngSeed::Fixed(3), ..Config::default() })]

    /// Guards against shares that add up to more than the budget while demand reports are in transit.
    #[test]
    fn shares_never_exceed_the_budget(
        count in 2..8_usize,
        events in proptest::collection::vec((0..8_usize, 0..2_000_000_u64, 1..80_u64), 1..60),
        delay in 0..100_u64,
    ) {
        let ids = nodes(count);
        let mut budgets: Vec<LinkBudget> =
            ids.iter().map(|id| LinkBudget::new(POLICY, id.clone(), &ids)).collect();
        let mut now_ms = 0;
        let mut in_transit: Vec<(u64, usize, u64)> = Vec::new();
        for (node, demand, pause_ms) in events {
            for _ in 0..pause_ms {
                now_ms += 1;
                for (_, from, demand) in in_transit.extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms) {
                    for budget in &mut budgets {
                        budget.record_demand(&ids[from], demand, now_ms);
                    }
                }
                let sum: u64 = budgets.iter().map(|b| b.share(now_ms).bytes_per_s).sum();
                prop_assert!(sum <= POLICY.bytes_per_s, "{sum} at {now_ms} ms");
            }
            let from = node % count;
            budgets[from].set_own_demand(demand, now_ms);
            in_transit.push((now_ms + delay, from, demand));
        }
    }
}

/// Guards against unused budget although one node has demand for it.
#[test]
fn a_node_gets_the_bandwidth_others_leave_unused() {
    let ids = nodes(2);
    let mut budget = LinkBudget::new(POLICY, ids[0].clone(), &ids);
    budget.record_demand(&ids[1], 0, 0);
    budget.set_own_demand(2_000_000, 0);
    assert_eq!(budget.share(50).bytes_per_s, 150_000, "the other node has not received the demand");
    assert_eq!(budget.share(100).bytes_per_s, 850_000);
    assert_eq!(budget.share(5_000).bytes_per_s, 500_000, "a node with a stale report keeps its even share");
}

/// Guards against a waiting caller's transfer that is queued behind exports, and against exports that starve.
#[test]
fn classes_have_strict_priority_except_for_the_background_minimum() {
    let mut queue = LinkQueue::new(10);
    (0..20).for_each(|_| {
        queue.book(LinkClass::BackgroundExport, 100, 1_000);
        queue.book(LinkClass::WaitingCaller, 100, 1_000);
    });
    queue.book(LinkClass::LiveCue, 100, 1_000);
    let order: Vec<LinkClass> = std::iter::from_fn(|| queue.start_next()).map(|s| s.class).collect();
    assert_eq!(order[0], LinkClass::LiveCue);
    let early = order[..20].iter().filter(|class| **class == LinkClass::BackgroundExport).count();
    assert!((1..=2).contains(&early), "{order:?}");
}

/// Guards against bandwidth that stays booked for a cancelled transfer.
#[test]
fn a_released_booking_frees_its_bytes() {
    let mut queue = LinkQueue::new(0);
    let first = queue.book(LinkClass::WaitingCaller, 1_000, 1_000);
    let second = queue.book(LinkClass::WaitingCaller, 1_000, 1_000);
    assert_eq!(second.finish_us, 2_000_000);
    queue.record_progress(first.id, 400);
    assert_eq!(queue.release(first.id), 600);
    assert_eq!((queue.release(first.id), queue.booked_bytes()), (0, 1_000));
    assert_eq!(queue.book(LinkClass::LiveCue, 1_000, 1_000).finish_us, 1_000_000);
}
