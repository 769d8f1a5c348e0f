//! Disks that refuse writes for seconds, one after another, with voters that are kept by the rules of automatic membership.

use daisysill_control::{Input, ReplicaStatus, Role, VoterChange};
use daisysill_core::ids::InstanceId;

use crate::sim::Sim;

const NODES: [&str; 4] = ["a", "b", "c", "d"];
/// Time between two checks of the membership, and between two proposals.
const STEP_MS: u64 = 250;
/// Time in which a change must be accepted after the last disk has room.
const RECOVERY_MS: u64 = 4_000;

/// Which voters the disks are of that fill up.
#[derive(Clone, Copy, Debug)]
enum Order {
    EachInTurn,
    LeaderFirst,
}

/// A series of full disks.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    order: Order,
    full_ms: u64,
    gap_ms: u64,
    /// Whether the nodes follow the rules of automatic membership, and trust their disks.
    automatic: bool,
    voters: usize,
}

fn status(sim: &Sim, name: &str) -> ReplicaStatus {
    sim.nodes[&name.into()].replica.as_ref().unwrap().status()
}

/// Does what each node does at a check of the membership.
fn check_membership(sim: &mut Sim) {
    let Some(leader) = sim.leader() else { return };
    let names: Vec<InstanceId> = sim.nodes.keys().cloned().collect();
    for name in names {
        let status = status(sim, name.as_str());
        let change = match status.role {
            Role::Leader => status.due_change(&name, 3),
            Role::Learner if !status.voters.learners.contains(&name) => {
                Some(VoterChange::AddLearner(name.clone()))
            }
            _ => None,
        };
        if let Some(change) = change {
            sim.change_voters(&leader, change);
        }
    }
}

fn run(sim: &mut Sim, schedule: Schedule, ms: u64) {
    let end_ms = sim.now_ms + ms;
    while sim.now_ms < end_ms {
        sim.run_without_faults(STEP_MS.min(end_ms - sim.now_ms));
        if schedule.automatic {
            check_membership(sim);
        }
        let to = sim.leader().unwrap_or_else(|| "a".into());
        let change = format!("change-{}", sim.now_ms);
        sim.propose_drain(&to, &change);
    }
}

fn play(sim: &mut Sim, schedule: Schedule) {
    if schedule.automatic {
        for name in NODES {
            sim.trust_disk(name);
        }
    }
    sim.bootstrap(&NODES[..schedule.voters]);
    run(sim, schedule, 1_000);
    for round in 0..2 {
        for number in 0..schedule.voters {
            let leader = sim.leader();
            let name = match (schedule.order, leader) {
                (Order::LeaderFirst, Some(leader)) => leader,
                _ => NODES[(number + round) % schedule.voters].into(),
            };
            sim.fill_disk(&name);
            run(sim, schedule, schedule.full_ms);
            sim.empty_disk(&name);
            run(sim, schedule, schedule.gap_ms);
        }
    }
    run(sim, schedule, RECOVERY_MS);
    let leader = sim.leader().unwrap_or_else(|| panic!("{schedule:?}: no leader"));
    let proposal_id = sim.propose_drain(&leader, "after the last full disk");
    sim.run_without_faults(200);
    assert!(matches!(sim.replies.get(&proposal_id), Some(Ok(_))), "{schedule:?}");
    for name in NODES.iter().filter(|name| sim.nodes.contains_key(&(**name).into())) {
        let status = status(sim, name);
        assert!(!matches!(status.role, Role::Halted | Role::Candidate), "{schedule:?}, {name}: {status:?}");
    }
    sim.heal_and_check();
}

/// Guards against changes that are refused for good after the disks of voters were full for seconds, one after another,
/// also while a voter is removed, takes a snapshot or checks its log after a start.
#[test]
fn changes_are_accepted_again_after_full_disks() {
    for order in [Order::EachInTurn, Order::LeaderFirst] {
        for (full_ms, gap_ms) in [(300, 100), (1_000, 300), (2_500, 300), (3_000, 50), (4_000, 1_000)] {
            for (automatic, voters) in [(false, 3), (true, 3), (true, 4)] {
                let schedule = Schedule { order, full_ms, gap_ms, automatic, voters };
                for seed in 1..=2 {
                    let nodes = if automatic { &NODES[..] } else { &NODES[..voters] };
                    play(&mut Sim::new(nodes, seed), schedule);
                }
            }
        }
    }
}

/// Guards against a voter that goes on after a failed write with entries that its disk does not hold, or votes before a
/// term and a vote are durable that the kernel only shows.
#[test]
fn a_reopened_voter_forgets_what_was_not_written() {
    for seed in 1..=20 {
        let mut sim = Sim::new(&NODES[..3], seed);
        sim.bootstrap(&NODES[..3]);
        let leader = sim.leader().unwrap();
        sim.fill_disk(&leader);
        let lost = sim.propose_drain(&leader, "not written");
        sim.sync(&leader);
        assert_eq!(status(&sim, leader.as_str()).role, Role::Halted);
        let stored = sim.nodes[&leader].disk.recovered.entries.last().unwrap().position;
        sim.empty_disk(&leader);
        assert_eq!(status(&sim, leader.as_str()).last_index, stored.index);
        let first = sim.nodes[&leader].pending.as_ref().unwrap();
        assert!(first.hard_state.is_some(), "the hard state is not written again");
        assert!(sim.replies[&lost].is_err());
        sim.heal_and_check();
    }
}

/// Guards against a leader that goes on to lead while a write to its disk hangs: it answers no change, although the other voters
/// could.
#[test]
fn a_leader_with_a_hanging_disk_is_replaced() {
    for seed in 1..=5 {
        let mut sim = Sim::new(&NODES[..3], seed);
        sim.bootstrap(&NODES[..3]);
        let hanging = sim.leader().unwrap();
        let lost = sim.propose_drain(&hanging, "at the hanging leader");
        let sync_ms = |name: &InstanceId| if *name == hanging { 10_000 } else { 0 };
        sim.run_with_slow_syncs(RECOVERY_MS, sync_ms);
        let leader = sim.leader().unwrap();
        let proposal_id = sim.propose_drain(&leader, "after four seconds");
        sim.run_with_slow_syncs(1_000, sync_ms);
        let replies = [lost, proposal_id].map(|id| sim.replies.get(&id).cloned());
        assert!(matches!(replies[1], Some(Ok(_))), "{leader} leads, {hanging} hangs: {replies:?}");
    }
}

/// Guards against a first voter that forms its cluster twice in one term: its first write failed, and late replies of the first
/// attempt to form the cluster reach the replica that goes on.
#[test]
fn a_cluster_is_formed_once_although_the_first_write_fails() {
    let mut sim = Sim::new(&NODES[..3], 1);
    sim.run_without_faults(100);
    let first: InstanceId = "a".into();
    let bootstrap = |sim: &mut Sim| {
        let voters = NODES[..3].iter().map(|name| (*name).into()).collect();
        sim.step(&"a".into(), Input::Bootstrap { voters });
    };
    bootstrap(&mut sim);
    let probes = std::mem::take(&mut sim.network);
    for (from, to, message) in probes.iter().chain(&probes).cloned() {
        sim.step(&to, Input::Receive { from, message });
    }
    let mut replies = std::mem::take(&mut sim.network);
    let late = replies.split_off(2);
    for (from, to, message) in replies {
        sim.step(&to, Input::Receive { from, message });
    }
    assert_eq!(sim.leader(), Some(first.clone()));
    sim.propose_drain(&first, "of the first leadership");
    for _ in 0..6 {
        for (from, to, message) in std::mem::take(&mut sim.network) {
            sim.step(&to, Input::Receive { from, message });
        }
        for name in &NODES[1..3] {
            sim.sync(&(*name).into());
        }
    }
    sim.fill_disk(&first);
    sim.sync(&first);
    sim.empty_disk(&first);
    bootstrap(&mut sim);
    for (from, to, message) in late {
        sim.step(&to, Input::Receive { from, message });
    }
    sim.propose_drain(&first, "of the second leadership");
    sim.run_without_faults(100);
    sim.heal_and_check();
}
