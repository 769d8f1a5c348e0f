//! Tests of the choice of poll sources: hundreds of entry nodes in several zones, and control nodes that fail.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::BTreeMap;

use daisysill_core::{
    ids::{InstanceId, ZoneName},
    poll_source::{PollOutcome, PollSources},
};

const ZONES: usize = 5;
const ENTRY_NODES: usize = 300;

fn zone(number: usize) -> ZoneName {
    format!("z{number}").into()
}

fn control(number: usize) -> InstanceId {
    format!("c{number}").into()
}

/// One control node in each zone; the entry nodes know only the first three.
fn entry_nodes() -> Vec<PollSources> {
    let seeds: Vec<InstanceId> = (0..3).map(control).collect();
    let node = |number| PollSources::new(format!("e{number}").into(), zone(number % ZONES), seeds.clone());
    (0..ENTRY_NODES).map(node).collect()
}

fn polled(nodes: &[PollSources], now_ms: u64) -> BTreeMap<InstanceId, usize> {
    let mut counts = BTreeMap::new();
    for node in nodes {
        *counts.entry(node.choose(None, now_ms).unwrap()).or_default() += 1;
    }
    counts
}

fn know_all(nodes: &mut [PollSources]) {
    for node in nodes {
        node.set_control_nodes((0..ZONES).map(|number| (control(number), zone(number))));
    }
}

/// Guards against a leader that hundreds of nodes poll: at 295 nodes it stood still for longer than an election
/// timeout, and each successor did.
#[test]
fn entry_nodes_divide_among_the_control_nodes() {
    let mut nodes = entry_nodes();
    let at_start = polled(&nodes, 0);
    assert_eq!(at_start.len(), 3, "all seeds are polled while nothing else is known");
    assert!(at_start.values().all(|count| *count < ENTRY_NODES / 2), "{at_start:?}");
    know_all(&mut nodes);
    let counts = polled(&nodes, 0);
    assert_eq!(counts.len(), ZONES);
    assert!(counts.values().all(|count| *count == ENTRY_NODES / ZONES), "{counts:?}");
}

/// Guards against a wave: when a control node fails, its entry nodes must not all turn to the same other one.
#[test]
fn entry_nodes_of_a_failed_control_node_spread_over_the_others() {
    let mut nodes = entry_nodes();
    know_all(&mut nodes);
    for node in &mut nodes {
        if node.choose(None, 0) == Some(control(1)) {
            node.record(&control(1), PollOutcome::Unreachable, 0);
        }
    }
    let counts = polled(&nodes, 10);
    let own = ENTRY_NODES / ZONES;
    assert!(!counts.contains_key(&control(1)));
    assert!(counts.values().all(|count| *count < own + own / 2), "{counts:?}");
    assert_eq!(polled(&nodes, 3_500)[&control(1)], own, "they return once the pause has ended");
}

/// Guards against a zone that is cut off and loses contact with its own control node too: polls of the unreachable
/// ones must not take the time of polls of the one that answers.
#[test]
fn a_node_without_current_sources_mostly_polls_the_one_that_answers() {
    let mut nodes = entry_nodes();
    know_all(&mut nodes);
    let node = &mut nodes[2];
    let (mut now_ms, mut answered) = (0, 0);
    let mut polls = 0;
    while now_ms < 30_000 {
        polls += 1;
        let source = node.choose(None, now_ms).unwrap();
        if source == control(2) {
            answered += 1;
            now_ms += 140;
            node.record(&source, PollOutcome::Outdated, now_ms);
        } else {
            now_ms += 600;
            node.record(&source, PollOutcome::Unreachable, now_ms);
        }
    }
    assert!(answered * 2 >= polls, "{answered} of {polls} polls were answered");
}

/// Guards against a control node that keeps polling a leader that has stopped.
#[test]
fn the_leader_is_preferred_until_it_fails() {
    let mut sources = PollSources::new(control(0), zone(0), (0..3).map(control).collect());
    assert_eq!(sources.choose(Some(&control(4)), 0), Some(control(4)));
    sources.record(&control(4), PollOutcome::Unreachable, 0);
    let next = sources.choose(Some(&control(4)), 0).unwrap();
    assert!(next == control(1) || next == control(2), "not itself, and not the stopped leader: {next}");
    sources.record(&control(4), PollOutcome::Current, 100);
    assert_eq!(sources.choose(Some(&control(4)), 100), Some(control(4)));
}
