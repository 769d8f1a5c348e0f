//! Replicas that may not campaign, after their leader has fallen silent.

use daisysill_control::{ReplicaStatus, Role, VoterChange};

use crate::sim::Sim;

const VOTERS: [&str; 5] = ["a", "b", "c", "d", "e"];
/// The longest election timeout is 600 ms.
const SILENCE_MS: u64 = 1_000;

fn status(sim: &Sim, name: &str) -> ReplicaStatus {
    sim.nodes[&name.into()].replica.as_ref().unwrap().status()
}

fn isolate(sim: &mut Sim, name: &str) {
    for other in sim.nodes.keys().filter(|other| other.as_str() != name) {
        sim.blocked.insert((name.into(), other.clone()));
        sim.blocked.insert((other.clone(), name.into()));
    }
}

/// Guards against a learner that names a silent leader for good, so that its node asks no other for the configuration.
#[test]
fn a_learner_does_not_name_a_silent_leader() {
    let mut sim = Sim::new(&VOTERS, 1);
    sim.bootstrap(&VOTERS);
    sim.add("f");
    let leader = sim.leader().unwrap();
    sim.change_voters(&leader, VoterChange::AddLearner("f".into()));
    sim.run_without_faults(500);
    let learner = status(&sim, "f");
    assert_eq!((learner.role, learner.leader), (Role::Learner, Some(leader)));
    isolate(&mut sim, "f");
    sim.run_without_faults(SILENCE_MS);
    assert_eq!(status(&sim, "f").leader, None);
    sim.heal_and_check();
}

/// Guards against a voter that lacks entries and so may not campaign, and that names a silent leader for good: its node
/// would report its old configuration as the newest.
#[test]
fn a_voter_that_lacks_entries_does_not_name_a_silent_leader() {
    let mut sim = Sim::new(&VOTERS, 2);
    sim.bootstrap(&VOTERS);
    let leader = sim.leader().unwrap();
    let behind = VOTERS.into_iter().find(|name| *name != leader.as_str()).unwrap();
    sim.crash(&behind.into());
    for number in 0..15 {
        sim.propose_drain(&leader, &format!("change {number}"));
    }
    sim.run_without_faults(500);
    // Without its acknowledgements the leader sends the same entries again and again.
    sim.blocked.insert((behind.into(), leader.clone()));
    sim.start(&behind.into());
    sim.run_without_faults(500);
    let voter = status(&sim, behind);
    assert!(voter.last_index < status(&sim, leader.as_str()).commit_index, "{voter:?}");
    assert_eq!((voter.role, voter.leader), (Role::Follower, Some(leader)));
    isolate(&mut sim, behind);
    sim.run_without_faults(SILENCE_MS);
    assert_eq!(status(&sim, behind).leader, None);
    sim.heal_and_check();
}
