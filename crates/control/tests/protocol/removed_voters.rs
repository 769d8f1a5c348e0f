//! Voters that were removed while nothing reached them: they learn of it from the others, and are admitted again.

use daisysill_control::{ReplicaStatus, Role, VoterChange};
use daisysill_core::ids::InstanceId;

use crate::sim::Sim;

const VOTERS: [&str; 4] = ["a", "b", "c", "d"];
/// Time in which a removed voter that reaches the others must have stopped acting as a voter.
const LEARNING_MS: u64 = 2_000;

/// How a voter misses its removal.
#[derive(Clone, Copy, Debug)]
enum Absence {
    /// Cut off; its process runs on.
    Cut,
    /// Stopped, and started again from its own folder.
    Restart,
    /// Suspended; its process goes on later as if no time had passed.
    Freeze,
}

fn status(sim: &Sim, name: &str) -> ReplicaStatus {
    sim.nodes[&name.into()].replica.as_ref().unwrap().status()
}

fn set_cut(sim: &mut Sim, name: &str, cut: bool) {
    for other in VOTERS.iter().filter(|other| **other != name) {
        for pair in [(name.into(), (*other).into()), ((*other).into(), name.into())] {
            if cut {
                sim.blocked.insert(pair);
            } else {
                sim.blocked.remove(&pair);
            }
        }
    }
}

fn change_until_done(sim: &mut Sim, change: &VoterChange) {
    for _ in 0..20 {
        sim.run_until_leader();
        let leader = sim.leader().unwrap();
        let proposal_id = sim.change_voters(&leader, change.clone());
        sim.run_without_faults(200);
        if matches!(sim.replies.get(&proposal_id), Some(Ok(_))) {
            return;
        }
    }
    panic!("{change:?} is not done");
}

/// Removes `absent` from four voters while nothing reaches it; returns its name. `absent` led before if `leads`.
fn remove_while_absent(sim: &mut Sim, absence: Absence, leads: bool) -> String {
    sim.bootstrap(&VOTERS);
    let leader = sim.leader().unwrap();
    let other = VOTERS.iter().find(|name| **name != leader.as_str()).unwrap();
    let absent = if leads { leader.to_string() } else { (*other).to_owned() };
    let name: InstanceId = absent.as_str().into();
    let suspended = match absence {
        Absence::Cut => None,
        Absence::Restart => {
            sim.crash(&name);
            None
        }
        Absence::Freeze => sim.nodes.get_mut(&name).unwrap().replica.take(),
    };
    set_cut(sim, &absent, true);
    change_until_done(sim, &VoterChange::Remove(name.clone()));
    sim.run_without_faults(500);
    match absence {
        Absence::Cut => {}
        Absence::Restart => sim.start(&name),
        Absence::Freeze => sim.nodes.get_mut(&name).unwrap().replica = suspended,
    }
    set_cut(sim, &absent, false);
    absent
}

fn for_each_absence(test: impl Fn(&mut Sim, Absence, bool)) {
    for absence in [Absence::Cut, Absence::Restart, Absence::Freeze] {
        for leads in [false, true] {
            for seed in 1..=20 {
                test(&mut Sim::new(&VOTERS, seed), absence, leads);
            }
        }
    }
}

/// Guards against a removed voter that never gets the entry of its removal and stays a candidate for good.
#[test]
fn a_removed_voter_learns_of_its_removal_from_any_voter() {
    for_each_absence(|sim, absence, leads| {
        let absent = remove_while_absent(sim, absence, leads);
        let term = status(sim, sim.leader().unwrap().as_str()).term;
        sim.run_without_faults(LEARNING_MS);
        let removed = status(sim, &absent);
        assert_eq!(removed.role, Role::Learner, "{absence:?}, led: {leads}: {removed:?}");
        let leader = status(sim, sim.leader().unwrap().as_str());
        assert_eq!(leader.term, term, "{absence:?}, led: {leads}: it disturbed the others");
    });
}

/// Guards against a removed voter that is not taken back, or does not vote after that.
#[test]
fn a_removed_voter_is_admitted_again_and_votes() {
    for_each_absence(|sim, absence, leads| {
        let absent = remove_while_absent(sim, absence, leads);
        sim.run_without_faults(LEARNING_MS);
        change_until_done(sim, &VoterChange::AddLearner(absent.as_str().into()));
        sim.run_without_faults(1_000);
        change_until_done(sim, &VoterChange::Promote(absent.as_str().into()));
        sim.run_without_faults(1_000);
        assert!(matches!(status(sim, &absent).role, Role::Follower | Role::Leader), "{absence:?}");
        // One of four ends: the other three are a majority only if the readmitted one counts.
        let leader = sim.leader().unwrap();
        let lost = VOTERS.iter().find(|name| **name != leader.as_str() && **name != absent).unwrap();
        sim.crash(&(*lost).into());
        sim.run_until_leader();
        let leader = sim.leader().unwrap();
        let proposal_id = sim.propose_drain(&leader, "with the readmitted voter");
        sim.run_without_faults(500);
        assert!(sim.replies[&proposal_id].is_ok(), "{absence:?}, led: {leads}");
        sim.heal_and_check();
    });
}

/// Guards against a leader that is elected, or goes on, with the vote of a removed voter.
#[test]
fn a_removed_voter_gives_no_vote() {
    for_each_absence(|sim, absence, leads| {
        let absent = remove_while_absent(sim, absence, leads);
        sim.run_without_faults(LEARNING_MS);
        let present: Vec<&str> = VOTERS.into_iter().filter(|name| *name != absent).collect();
        // One voter of three and the removed one reach each other only.
        for name in &present[1..] {
            set_cut(sim, name, true);
        }
        sim.run_without_faults(3_000);
        let minority = [present[0], absent.as_str()].map(|name| status(sim, name).role);
        assert!(!minority.contains(&Role::Leader), "{absence:?}, led: {leads}: {minority:?}");
        sim.heal_and_check();
    });
}

/// Guards against a member that names its last leader for good after it was excluded: its proposals, with them its request to
/// join, go to that node only, and it does not follow the configuration of others.
#[test]
fn a_learner_that_no_leader_sends_to_names_none() {
    for seed in 1..=5 {
        let mut sim = Sim::new(&VOTERS, seed);
        sim.bootstrap(&VOTERS[..3]);
        change_until_done(&mut sim, &VoterChange::AddLearner("d".into()));
        sim.run_without_faults(500);
        assert_eq!(status(&sim, "d").leader, sim.leader());
        change_until_done(&mut sim, &VoterChange::Remove("d".into()));
        sim.run_without_faults(5_000);
        assert_eq!(status(&sim, "d").leader, None, "{:?}", status(&sim, "d"));
    }
}

/// Guards against the same for a voter that was removed before its start check had passed.
#[test]
fn a_voter_removed_during_its_start_check_names_no_leader() {
    for seed in 1..=5 {
        let mut sim = Sim::new(&VOTERS, seed);
        sim.bootstrap(&VOTERS);
        let leader = sim.leader().unwrap();
        let absent = *VOTERS.iter().find(|name| **name != leader.as_str()).unwrap();
        let others: Vec<&str> = VOTERS.into_iter().filter(|name| *name != absent).collect();
        // It hears the leader, but too few peers to confirm its disk.
        sim.crash(&absent.into());
        for name in others.iter().filter(|name| **name != leader.as_str()) {
            sim.blocked.insert(((*name).into(), absent.into()));
        }
        sim.start(&absent.into());
        sim.run_without_faults(500);
        let checking = status(&sim, absent);
        assert!(checking.waits_for_peers && checking.leader.is_some(), "{checking:?}");
        change_until_done(&mut sim, &VoterChange::Remove(absent.into()));
        sim.run_without_faults(5_000);
        let removed = status(&sim, absent);
        assert_eq!((removed.role, &removed.leader), (Role::Learner, &None), "{removed:?}");
    }
}
