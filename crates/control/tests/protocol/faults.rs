//! The whole protocol under random faults: message loss, duplication and reordering, one-way partitions, crashes that
//! lose unsynced writes, restarts, voter changes and replaced disks.

use crate::{disk::Disk, sim::Sim};
use daisysill_control::{Input, VoterChange};
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// An event of a simulation; nodes are indexes into `NAMES`.
#[derive(Clone, Debug)]
enum Event {
    /// Milliseconds that pass.
    Time(u64),
    /// Number of messages to deliver.
    Deliver(u8),
    Sync(usize),
    Crash(usize),
    Start(usize),
    /// Drops all messages from the first node to the second.
    Block(usize, usize),
    Isolate(usize),
    Heal,
    /// Percentage of messages lost, and of messages duplicated.
    Loss(u64),
    Drain(usize, u8),
    Claim(usize, u8),
    /// Proposes the newest claim of a key once more.
    RepeatClaim(usize, u8),
    /// Ends the attempt of the newest claim of a key.
    EndAttempt(usize, u8),
    AddLearner(usize),
    Promote(usize),
    Remove(usize),
    /// Keeps a copy of a disk, unless there is one.
    Backup(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let node = || 0..NAMES.len();
    prop_oneof![
        12 => (10_u64..200).prop_map(Event::Time),
        30 => (1_u8..40).prop_map(Event::Deliver),
        20 => node().prop_map(Event::Sync),
        3 => node().prop_map(Event::Crash),
        4 => node().prop_map(Event::Start),
        2 => (node(), node()).prop_map(|(a, b)| Event::Block(a, b)),
        2 => node().prop_map(Event::Isolate),
        3 => Just(Event::Heal),
        1 => (0_u64..30).prop_map(Event::Loss),
        10 => (node(), any::<u8>()).prop_map(|(node, change)| Event::Drain(node, change)),
        4 => (node(), 0_u8..20).prop_map(|(node, key)| Event::Claim(node, key)),
        3 => (node(), 0_u8..20).prop_map(|(node, key)| Event::RepeatClaim(node, key)),
        3 => (node(), 0_u8..20).prop_map(|(node, key)| Event::EndAttempt(node, key)),
        2 => node().prop_map(Event::AddLearner),
        2 => node().prop_map(Event::Promote),
        2 => node().prop_map(Event::Remove),
        2 => node().prop_map(Event::Backup),
    ]
}

fn change(sim: &mut Sim, change: VoterChange) {
    if let Some(leader) = sim.leader() {
        sim.change_voters(&leader, change);
    }
}

fn newest_claim(sim: &Sim, key: u8) -> Option<u64> {
    let key = format!("key-{key}");
    sim.claims.iter().rfind(|(_, (claimed, _))| *claimed == key).map(|(proposal_id, _)| *proposal_id)
}

fn apply(sim: &mut Sim, event: &Event) {
    let name = |node: &usize| NAMES[*node].into();
    let leader = sim.leader();
    match event {
        Event::Time(ms) => sim.pass_time(*ms),
        Event::Deliver(count) => (0..*count).for_each(|_| sim.deliver()),
        Event::Sync(node) => sim.sync(&name(node)),
        Event::Crash(node) => sim.crash(&name(node)),
        Event::Start(node) => {
            if sim.nodes[&name(node)].replica.is_none() {
                sim.start(&name(node));
            }
        }
        Event::Block(from, to) => {
            sim.blocked.insert((name(from), name(to)));
        }
        Event::Isolate(node) => {
            for other in NAMES {
                sim.blocked.insert((other.into(), name(node)));
                sim.blocked.insert((name(node), other.into()));
            }
        }
        Event::Heal => sim.blocked.clear(),
        Event::Loss(percent) => sim.loss_percent = *percent,
        Event::Drain(node, change) => {
            let to = if change % 4 == 0 { name(node) } else { leader.unwrap_or_else(|| name(node)) };
            sim.propose_drain(&to, &format!("change-{change}"));
        }
        Event::Claim(node, key) => {
            let to = if key % 4 == 0 { name(node) } else { leader.unwrap_or_else(|| name(node)) };
            sim.propose_claim(&to, &format!("key-{key}"));
        }
        Event::RepeatClaim(node, key) => {
            let to = leader.unwrap_or_else(|| name(node));
            if let Some(proposal_id) = newest_claim(sim, *key) {
                sim.repeat_claim(&to, proposal_id);
            }
        }
        Event::EndAttempt(node, key) => {
            let to = leader.unwrap_or_else(|| name(node));
            if let Some(proposal_id) = newest_claim(sim, *key) {
                sim.end_attempt(&to, proposal_id);
            }
        }
        Event::AddLearner(node) => change(sim, VoterChange::AddLearner(name(node))),
        Event::Promote(node) => change(sim, VoterChange::Promote(name(node))),
        Event::Remove(node) => change(sim, VoterChange::Remove(name(node))),
        Event::Backup(node) => {
            let node = sim.nodes.get_mut(&name(node)).unwrap();
            node.backup.get_or_insert_with(|| node.disk.clone());
        }
    }
}

fn run(cases: u32, strategy: impl Strategy<Value = (u64, Vec<Event>)>, test: impl Fn(u64, &[Event])) {
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 2_000, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&strategy, |(seed, events)| {
        test(seed, &events);
        Ok(())
    });
    match result {
        Ok(()) => {}
        Err(TestError::Fail(reason, (seed, events))) => panic!("{reason}; seed {seed}, {events:?}"),
        Err(error) => panic!("{error}"),
    }
}

/// Guards against lost acknowledged entries, refused claims that are committed, two leaders in a term, diverging logs, a commit
/// index or configuration
/// version that goes back, a claim granted to two attempts, and a cluster that does not recover.
#[test]
fn faults_lose_nothing() {
    run(2_000, (any::<u64>(), collection::vec(event(), 50..250)), |seed, events| {
        let mut sim = Sim::new(&NAMES, seed);
        sim.bootstrap(&["a", "b", "c"]);
        for event in events {
            apply(&mut sim, event);
        }
        sim.heal_and_check();
    });
}

/// Guards against votes and acknowledgements of a voter whose disk was replaced by an older or empty one.
#[test]
fn replaced_disks_lose_nothing() {
    let strategy = (any::<u64>(), collection::vec(event(), 50..200));
    run(1_000, strategy, |seed, events| {
        let mut sim = Sim::new(&NAMES, seed);
        sim.bootstrap(&["a", "b", "c"]);
        let replaced = NAMES[usize::try_from(seed % 3).unwrap()].into();
        let (before, after) = events.split_at(events.len() / 2);
        let keeps_voters = |event: &&Event| !matches!(event, Event::Promote(_) | Event::Remove(_));
        for event in before.iter().filter(keeps_voters) {
            apply(&mut sim, event);
        }
        sim.crash(&replaced);
        let node = sim.nodes.get_mut(&replaced).unwrap();
        let older = node.backup.take();
        node.disk = if seed % 2 == 0 { Disk::default() } else { older.unwrap_or_default() };
        sim.start(&replaced);
        for event in after.iter().filter(keeps_voters) {
            apply(&mut sim, event);
        }
        // The replaced disk does not count, so the others have to form the majority.
        sim.trust_disks_except(&replaced);
        sim.heal_and_check();
    });
}

/// Guards against malformed messages that have an effect.
#[test]
fn damaged_messages_are_dropped() {
    let mut sim = Sim::new(&["a"], 1);
    sim.bootstrap(&["a"]);
    let before = sim.nodes[&"a".into()].replica.as_ref().unwrap().status().last_index;
    for length in 0..40 {
        sim.step(&"a".into(), Input::Receive { from: "b".into(), message: vec![255; length] });
    }
    assert_eq!(sim.nodes[&"a".into()].replica.as_ref().unwrap().status().last_index, before);
}
