//! Leaders without a majority, votes, disks, learners and snapshots in single scenarios.

use daisysill_core::ids::InstanceId;

use crate::{disk::Disk, sim::Sim};
use daisysill_control::{
    Input, ProposalFailure, Role, VoterChange,
    command::{Command, Reply},
};

fn isolate(sim: &mut Sim, name: &str) {
    for other in ["a", "b", "c", "d"] {
        sim.blocked.insert((name.into(), other.into()));
        sim.blocked.insert((other.into(), name.into()));
    }
}

fn role(sim: &Sim, name: &str) -> Role {
    sim.nodes[&name.into()].replica.as_ref().unwrap().status().role
}

/// Guards against a proposal that fails with `NotAppended` after it was appended or gets no reply, and against reads
/// at an isolated leader.
#[test]
fn an_isolated_leader_loses_its_lease_and_fails_its_proposals() {
    let mut sim = Sim::new(&["a", "b", "c"], 3);
    sim.bootstrap(&["a", "b", "c"]);
    let (a, b) = ("a".into(), "b".into());
    let refused = sim.propose_drain(&b, "refused");
    assert_eq!(sim.replies[&refused], Err(ProposalFailure::NotLeader(Some("a".into()))));
    let until_ms = sim.nodes[&a].replica.as_ref().unwrap().status().leader_until_ms.unwrap();
    assert!(until_ms > sim.now_ms);
    isolate(&mut sim, "a");
    let appended = sim.propose_drain(&a, "appended");
    let mut waiting = 0;
    for number in 0..5_000 {
        waiting = sim.propose_drain(&a, &number.to_string());
    }
    sim.run_without_faults(290);
    let until_ms = sim.nodes[&a].replica.as_ref().unwrap().status().leader_until_ms.unwrap();
    assert!(until_ms <= sim.now_ms, "an isolated leader still has its lease");
    sim.run_without_faults(500);
    assert_ne!(role(&sim, "a"), Role::Leader, "an isolated leader did not step down");
    assert_eq!(sim.replies[&appended], Err(ProposalFailure::Uncertain));
    assert_eq!(sim.replies[&waiting], Err(ProposalFailure::NotAppended));
    sim.run_without_faults(1_000);
    assert_ne!(sim.leader(), Some(a));
    sim.heal_and_check();
}

/// Guards against successful replies, messages and votes of a replica whose disk failed.
#[test]
fn a_replica_halts_after_a_failed_write() {
    let mut sim = Sim::new(&["a", "b", "c"], 4);
    sim.bootstrap(&["a", "b", "c"]);
    let a = "a".into();
    let proposal_id = sim.propose_drain(&a, "lost");
    let batch_id = sim.nodes[&a].pending.as_ref().unwrap().id;
    sim.step(&a, Input::BatchFailed { batch_id });
    assert_eq!(sim.replies[&proposal_id], Err(ProposalFailure::Uncertain));
    assert_eq!(role(&sim, "a"), Role::Halted);
    sim.network.retain(|(from, ..)| *from != a);
    sim.step(&a, Input::Tick);
    sim.step(&a, Input::BatchSynced { batch_id });
    let after = sim.propose_drain(&a, "after");
    assert_eq!(sim.replies[&after], Err(ProposalFailure::NotLeader(None)));
    assert!(sim.network.iter().all(|(from, ..)| *from != a), "a halted replica sent a message");
    sim.run_without_faults(1_500);
    assert!(sim.leader().is_some_and(|leader| leader != a));
}

/// Guards against votes and acknowledgements of a voter whose disk is empty.
#[test]
fn an_empty_disk_does_not_count() {
    let mut sim = Sim::new(&["a", "b", "c"], 5);
    sim.bootstrap(&["a", "b", "c"]);
    let b = "b".into();
    sim.crash(&b);
    sim.nodes.get_mut(&b).unwrap().disk = Disk::default();
    sim.start(&b);
    isolate(&mut sim, "c");
    let proposal_id = sim.propose_drain(&"a".into(), "change");
    sim.run_without_faults(3_000);
    assert_eq!(sim.replies[&proposal_id], Err(ProposalFailure::Uncertain));
    assert_eq!(sim.leader(), None, "a leader was elected by the vote of an empty disk");
    assert_eq!(role(&sim, "b"), Role::Learner);
}

/// Guards against a committed entry that is lost because its leader is down and another voter's disk is older.
#[test]
fn an_older_disk_does_not_vote_before_its_start_check() {
    let mut sim = Sim::new(&["a", "b", "c"], 6);
    sim.bootstrap(&["a", "b", "c"]);
    let (a, b) = ("a".into(), "b".into());
    let older = sim.nodes[&b].disk.clone();
    isolate(&mut sim, "c");
    let proposal_id = sim.propose_drain(&a, "change");
    sim.run_without_faults(100);
    assert!(matches!(sim.replies[&proposal_id], Ok(Reply::Accepted(_))));
    sim.crash(&a);
    sim.crash(&b);
    sim.nodes.get_mut(&b).unwrap().disk = older;
    sim.blocked.clear();
    sim.start(&b);
    sim.run_without_faults(3_000);
    assert_eq!(sim.leader(), None, "an older disk voted");
    sim.heal_and_check();
}

/// Guards against a learner that never gets the log, is promoted too early, or cannot replace a lost voter.
#[test]
fn a_lost_voter_is_replaced_by_a_learner_that_gets_a_snapshot() {
    let mut sim = Sim::new(&["a", "b", "c", "d"], 7);
    sim.bootstrap(&["a", "b", "c"]);
    let a = "a".into();
    for number in 0..100 {
        sim.propose_drain(&a, &format!("change-{number}"));
        sim.run_without_faults(10);
    }
    sim.crash(&"c".into());
    let learner = sim.change_voters(&a, VoterChange::AddLearner("d".into()));
    sim.run_without_faults(300);
    assert_eq!(sim.replies[&learner], Ok(Reply::Done));
    isolate(&mut sim, "d");
    sim.propose_drain(&a, "not at d");
    sim.run_without_faults(100);
    let early = sim.change_voters(&a, VoterChange::Promote("d".into()));
    assert_eq!(sim.replies[&early], Err(ProposalFailure::NotAppended), "d lacks an entry");
    sim.blocked.clear();
    for change in [
        VoterChange::Remove("c".into()),
        VoterChange::AddLearner("d".into()),
        VoterChange::Promote("d".into()),
        VoterChange::Promote("d".into()),
    ] {
        let proposal_id = sim.change_voters(&a, change);
        sim.run_without_faults(500);
        assert_eq!(sim.replies[&proposal_id], Ok(Reply::Done));
    }
    assert_eq!(role(&sim, "d"), Role::Follower);
    isolate(&mut sim, "b");
    sim.step(&a, Input::Propose { proposal_id: 0, command: Command::Noop });
    sim.run_without_faults(200);
    assert_eq!(sim.replies.get(&0), Some(&Ok(Reply::Done)), "the admitted voter does not count");
}

/// Guards against a vote sent before it is durable: after a crash the voter could vote for another candidate.
#[test]
fn a_vote_counts_only_once_it_is_synced() {
    let mut sim = Sim::new(&["a", "b", "c"], 8);
    sim.bootstrap(&["a", "b", "c"]);
    sim.crash(&"a".into());
    let names = ["b".into(), "c".into()];
    let votes_for_other = |sim: &Sim, name: &InstanceId| {
        let hard_state = sim.nodes[name].pending.as_ref().and_then(|batch| batch.hard_state.as_ref());
        hard_state.and_then(|hard| hard.voted_for.as_ref()).is_some_and(|voted| voted != name)
    };
    let mut voter = None;
    for _ in 0..200 {
        sim.pass_time(10);
        while !sim.network.is_empty() {
            sim.deliver();
        }
        voter = names.iter().find(|name| votes_for_other(&sim, name));
        if voter.is_some() {
            break;
        }
        for name in &names {
            sim.sync(name);
        }
    }
    let voter = voter.expect("no voter was asked for its vote");
    for _ in 0..10 {
        for name in names.iter().filter(|name| *name != voter) {
            sim.sync(name);
        }
        while !sim.network.is_empty() {
            sim.deliver();
        }
    }
    assert_eq!(sim.leader(), None, "a vote that is not durable was counted");
    sim.run_without_faults(2_000);
    assert!(sim.leader().is_some());
}

/// Guards against a leader whose own vote is not durable: after a crash it could lead the same term a second time, with other
/// entries.
#[test]
fn a_candidate_wins_only_with_its_own_durable_vote() {
    let names = ["a", "b", "c", "d", "e"];
    for seed in 0..10 {
        let mut sim = Sim::new(&names, seed);
        sim.bootstrap(&names);
        let leader = sim.leader().unwrap();
        sim.crash(&leader);
        let others: Vec<InstanceId> =
            names.iter().map(|name| InstanceId::from(*name)).filter(|name| *name != leader).collect();
        let votes_for_itself = |sim: &Sim, name: &InstanceId| {
            let hard_state = sim.nodes[name].pending.as_ref().and_then(|batch| batch.hard_state.as_ref());
            hard_state.is_some_and(|hard| hard.voted_for.as_ref() == Some(name))
        };
        let mut candidate = None;
        while candidate.is_none() {
            sim.pass_time(10);
            while candidate.is_none() && !sim.network.is_empty() {
                sim.deliver();
                candidate = others.iter().find(|name| votes_for_itself(&sim, name));
            }
        }
        let candidate = candidate.unwrap();
        for _ in 0..10 {
            while !sim.network.is_empty() {
                sim.deliver();
            }
            for name in others.iter().filter(|name| *name != candidate) {
                sim.sync(name);
            }
        }
        assert_eq!(sim.leader(), None, "seed {seed}: a candidate won without its own vote");
        sim.sync(candidate);
        assert_eq!(sim.leader().as_ref(), Some(candidate), "seed {seed}");
    }
}

/// Guards against a snapshot that replaces a longer log: acknowledged entries would be lost. Found by
/// `replaced_disks_lose_nothing`.
#[test]
fn a_snapshot_does_not_replace_a_longer_log() {
    let mut sim = Sim::new(&[], 9);
    // The snapshot fits into one message.
    sim.message_bytes = 8_000;
    for name in ["a", "b", "c"] {
        sim.add(name);
    }
    sim.bootstrap(&["a", "b", "c"]);
    let (a, b, c): (InstanceId, InstanceId, InstanceId) = ("a".into(), "b".into(), "c".into());
    for number in 0..11 {
        sim.propose_drain(&a, &format!("early-{number}"));
        sim.run_without_faults(10);
    }
    sim.run_without_faults(100);
    let synced =
        |sim: &Sim, name: &InstanceId| sim.nodes[name].replica.as_ref().unwrap().status().synced_index;
    let before = synced(&sim, &c);
    for number in 0..8 {
        sim.propose_drain(&a, &format!("late-{number}"));
    }
    let (appends, to_b): (Vec<_>, Vec<_>) =
        std::mem::take(&mut sim.network).into_iter().partition(|(_, to, _)| *to == c);
    sim.network = to_b;
    // a and b commit the entries one by one, so that a takes a snapshot before the last of them.
    sim.sync(&a);
    sim.sync(&a);
    for _ in 0..20 {
        sim.pass_time(10);
        while !sim.network.is_empty() {
            let (from, to, message) = sim.network.remove(0);
            if from != c && to != c {
                sim.step(&to, Input::Receive { from, message });
                sim.sync(&a);
                sim.sync(&b);
            }
        }
    }
    let disk = &sim.nodes[&a].disk.recovered;
    let position = disk.snapshot.as_ref().unwrap().position;
    assert!(
        position.index < before + 8,
        "the snapshot at {} does not precede c's last entry",
        position.index
    );
    assert!(disk.entries[0].position.index > before + 1, "c needs no snapshot");
    // c rejects a heartbeat, since it lacks the entries, and a sends its snapshot.
    sim.pass_time(60);
    for (from, to, message) in std::mem::take(&mut sim.network) {
        if to == c {
            sim.step(&to, Input::Receive { from, message });
        }
    }
    for (from, to, message) in std::mem::take(&mut sim.network) {
        if from == c {
            sim.step(&to, Input::Receive { from, message });
        }
    }
    let snapshot = std::mem::take(&mut sim.network);
    // The entries arrive late, but before the snapshot.
    for (from, _, message) in appends {
        sim.step(&c, Input::Receive { from, message });
    }
    sim.sync(&c);
    sim.sync(&c);
    assert_eq!(synced(&sim, &c), before + 8);
    for (from, to, message) in snapshot.into_iter().filter(|(_, to, _)| *to == c) {
        sim.step(&to, Input::Receive { from, message });
    }
    let last_index = sim.nodes[&c].replica.as_ref().unwrap().status().last_index;
    assert_eq!(last_index, before + 8, "acknowledged entries are lost");
    sim.heal_and_check();
}

/// Kills the leader of a cluster of three, and expects a committed change within `limit_ms` although syncs last `sync_ms`.
fn expect_commit_on_slow_disks(seed: u64, limit_ms: u64, sync_ms: impl Fn(&InstanceId) -> u64) {
    let mut sim = Sim::new(&["a", "b", "c"], seed);
    sim.bootstrap(&["a", "b", "c"]);
    let leader = sim.leader().unwrap();
    sim.crash(&leader);
    let lost_ms = sim.now_ms;
    let mut proposals = Vec::new();
    while !proposals.iter().any(|id| matches!(sim.replies.get(id), Some(Ok(Reply::Accepted(_))))) {
        assert!(sim.now_ms < lost_ms + limit_ms, "seed {seed}: no change was committed");
        if let Some(leader) = sim.leader() {
            proposals.push(sim.propose_drain(&leader, &format!("change-{}", proposals.len())));
        }
        sim.run_with_slow_syncs(100, &sync_ms);
    }
    sim.heal_and_check();
}

/// Guards against elections that never end on disks whose syncs take longer than an election timeout: each candidate started
/// a new election before the votes of the one before were synced (seen on a machine that was writing much: 27 terms in 15 s).
#[test]
fn voters_with_slow_disks_elect_a_leader_that_commits() {
    for seed in 0..40 {
        expect_commit_on_slow_disks(seed, 30_000, |_| 700);
    }
}

/// Guards against elections that never end if a sync takes several election timeouts.
#[test]
fn voters_whose_syncs_last_seconds_elect_a_leader() {
    const SYNC_MS: u64 = 5_000;
    // A split vote, the next vote, the leader's first entry and the change.
    const SYNCS: u64 = 4;
    const ELECTION_MS: u64 = 3_000;
    for seed in 0..40 {
        expect_commit_on_slow_disks(seed, SYNCS * SYNC_MS + ELECTION_MS, |_| SYNC_MS);
    }
}

/// Guards against a candidate on a fast disk that starts terms faster than the other voter's slow disk can sync its votes.
#[test]
fn a_fast_voter_waits_for_the_vote_of_a_slow_one() {
    for seed in 0..40 {
        for slow in ["a", "b", "c"] {
            let sync_ms = |name: &InstanceId| if name.as_str() == slow { 2_000 } else { 10 };
            expect_commit_on_slow_disks(seed, 15_000, sync_ms);
        }
    }
}

/// Guards against a cluster without a leader for good: a voter that restarts while the leader is being removed learned the
/// end of the leader's log, and waited for entries that only the removed leader held. Found by `faults_lose_nothing`.
#[test]
fn a_voter_does_not_wait_for_entries_of_a_removed_leader() {
    for seed in 0..300 {
        let mut sim = Sim::new(&["a", "b", "c"], seed);
        sim.bootstrap(&["a", "b", "c"]);
        let (a, b) = ("a".into(), "b".into());
        sim.crash(&b);
        sim.change_voters(&a, VoterChange::Remove("a".into()));
        sim.run_without_faults(20);
        sim.blocked.insert(("a".into(), "c".into()));
        for number in 0..10 {
            sim.propose_drain(&a, &format!("change-{number}"));
        }
        sim.start(&b);
        sim.loss_percent = 30;
        for _ in 0..100 {
            sim.pass_time(1);
            sim.deliver();
            for name in ["a", "b", "c"] {
                sim.sync(&name.into());
            }
        }
        sim.heal_and_check();
    }
}
