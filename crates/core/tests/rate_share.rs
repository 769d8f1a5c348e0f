//! Tests of the rate share: nodes that don't talk to each other keep to one rate limit together.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::rate_share::RateShare;
use proptest::{prelude::*, test_runner::Config};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const STEP_MS: u64 = 50;
/// Long enough for each of the nodes of a large deployment to get a permit.
const DURATION_MS: u64 = 600_000;
const SPAN_MS: u64 = 4_000;

/// When requests reach an upstream whose limit `nodes` nodes share; each node has requests in each step in which `demand`
/// returns `true`.
fn arrivals(
    seed: u64,
    limit_per_s: f64,
    nodes: u32,
    duration_ms: u64,
    demand: impl Fn(u64) -> bool,
) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut shares: Vec<RateShare> = (0..nodes).map(|_| RateShare::new(0, random.random())).collect();
    let mut sent_ms = Vec::new();
    for now_ms in (0..duration_ms).step_by(usize::try_from(STEP_MS).unwrap()) {
        if !demand(now_ms) {
            continue;
        }
        for share in &mut shares {
            while share.try_take(now_ms, limit_per_s, nodes) {
                sent_ms.push(now_ms);
            }
        }
    }
    sent_ms
}

/// Returns the most arrivals within a span; `sent_ms` is in order.
fn most_within_span(sent_ms: &[u64]) -> usize {
    let end_of = |from_ms: u64| sent_ms.partition_point(|at_ms| *at_ms < from_ms + SPAN_MS);
    sent_ms.iter().enumerate().map(|(index, from_ms)| end_of(*from_ms) - index).max().unwrap_or(0)
}

fn allowed(limit_per_s: f64) -> f64 {
    limit_per_s * SPAN_MS as f64 / 1_000.0 * 1.5 + 5.0
}

/// Guards against nodes that each keep to the limit, but exceed it together, at the sizes of small and large deployments.
#[test]
fn many_nodes_keep_to_one_limit_together() {
    for nodes in [1, 6, 7, 67, 295] {
        for limit_per_s in [0.5, 1.0, 2.8, 4.2, 40.0] {
            let sent_ms = arrivals(7, limit_per_s, nodes, DURATION_MS, |_| true);
            let most = most_within_span(&sent_ms);
            assert!(most as f64 <= allowed(limit_per_s), "{nodes} nodes, {limit_per_s}/s: {most}");
            let mean_per_s = sent_ms.len() as f64 * 1_000.0 / DURATION_MS as f64;
            assert!(mean_per_s > limit_per_s * 0.9, "{nodes} nodes, {limit_per_s}/s: only {mean_per_s}/s");
        }
    }
}

/// Guards against nodes that save up permits while no requests come, and send all of them at once in a burst.
#[test]
fn burst_after_a_pause_keeps_to_the_limit() {
    for nodes in [6, 295] {
        for limit_per_s in [0.5, 2.8, 4.2] {
            let is_burst = |now_ms: u64| now_ms % 60_000 > 50_000;
            let sent_ms = arrivals(11, limit_per_s, nodes, 300_000, is_burst);
            let most = most_within_span(&sent_ms);
            assert!(most as f64 <= allowed(limit_per_s), "{nodes} nodes, {limit_per_s}/s: {most}");
        }
    }
}

/// Guards against a limit of zero that is never tried again, so that its end stays unknown.
#[test]
fn limit_of_zero_leaves_a_request_now_and_then() {
    let sent_ms = arrivals(3, 0.0, 6, 60_000, |_| true);
    assert!((6..=24).contains(&sent_ms.len()), "{}", sent_ms.len());
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, ..Config::default() })]

    /// Guards against a permit that is announced for a time at which it can't be taken, or that comes twice.
    #[test]
    fn permit_is_due_after_the_announced_wait(
        phase in 0.0..1.0f64,
        steps in prop::collection::vec((0..5_000u64, 0.0..50.0f64, 1..300u32), 1..40),
    ) {
        let mut share = RateShare::new(0, phase);
        let mut now_ms = 0;
        for (step_ms, limit_per_s, nodes) in steps {
            now_ms += step_ms;
            let wait_ms = share.wait_ms(now_ms, limit_per_s, nodes);
            prop_assert_eq!(share.try_take(now_ms, limit_per_s, nodes), wait_ms == 0);
            if wait_ms > 0 {
                now_ms += wait_ms;
                prop_assert!(share.try_take(now_ms + 1, limit_per_s, nodes));
            }
        }
    }
}
