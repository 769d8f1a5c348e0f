//! Voters over real TCP: cluster formation, failover, partitions, restarts.

use std::{collections::BTreeSet, time::Duration};

use daisysill_cluster::{ProposeError, Role};
use daisysill_control::{VoterChange, VoterRefusal, command::Reply};
use tokio::time::Instant;

use crate::common::{TestCluster, drain_command};

const THREE: &[&str] = &["a/z1", "b/z2", "c/z3"];

/// Guards against clusters of 1, 3 or 5 voters that do not form or whose nodes have different configurations.
#[tokio::test]
async fn clusters_of_1_3_and_5_voters_form_and_agree() {
    for voters in [&["a/z1"][..], THREE, &["a/z1", "b/z2", "c/z3", "d/z1", "e/z2"]] {
        let cluster = TestCluster::started(voters, &["o1/z1", "o2/z2"]).await;
        let version = cluster.drain("o1", "worker-1").await;
        let names: Vec<&str> = cluster.others("");
        cluster.wait_version(&names, version).await;
        for name in names {
            assert!(cluster.node(name).view().borrow().draining.contains(&"worker-1".into()), "{name}");
        }
    }
}

/// Guards against a cluster that elects no new leader after its leader stops, and against lost commits.
#[tokio::test]
async fn a_stopped_leader_is_replaced_without_lost_commits() {
    let mut cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    cluster.drain("o1", "before").await;
    let leader = cluster.leader().unwrap();
    cluster.stop(&leader);
    let version = cluster.drain("o1", "after").await;
    let rest: Vec<&str> = cluster.others(&leader);
    cluster.wait_version(&rest, version).await;
    for name in rest {
        let view = cluster.node(name).view().borrow().clone();
        assert_eq!(view.draining, BTreeSet::from(["before".into(), "after".into()]), "{name}");
    }
}

/// Guards against a partitioned leader that accepts commands or reports its configuration as current before it
/// detects the partition.
#[tokio::test]
async fn a_silently_partitioned_leader_accepts_nothing() {
    let cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    cluster.drain("o1", "before").await;
    let old = cluster.leader().unwrap();
    let others: Vec<&str> = cluster.others(&old);
    cluster.silence(&old, &others);
    let start = Instant::now();
    let lost = cluster.try_drain(&old, "lost").await;
    assert!(lost.is_err(), "{lost:?}");
    assert!(start.elapsed() < Duration::from_secs(6), "{:?}", start.elapsed());
    let version = cluster.drain("o1", "after").await;
    assert!(cluster.version(&old) < version);
    let is_stale = |cluster: &TestCluster| {
        let status = cluster.node(&old).status();
        !status.current && status.role != Role::Leader
    };
    cluster.wait("the old leader has stepped down and is not current", is_stale).await;
    cluster.restore(&old, &others);
    cluster.wait_version(&[old.as_str()], version).await;
    cluster.wait("the old leader is current again", |cluster| cluster.node(&old).status().current).await;
}

/// Guards against a follower that forces an election when its partition heals, or does not catch up.
#[tokio::test]
async fn a_partitioned_follower_catches_up_without_an_election() {
    let cluster = TestCluster::started(THREE, &[]).await;
    let leader = cluster.leader().unwrap();
    let follower = cluster.others(&leader)[0].to_owned();
    let others: Vec<&str> = cluster.others(&follower);
    cluster.cut(&follower, &others);
    let term = cluster.node(&leader).status().term;
    let mut version = cluster.version(&leader);
    for number in 0..20 {
        version = cluster.drain(&leader, &format!("worker-{number}")).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.restore(&follower, &others);
    cluster.wait_version(&[follower.as_str()], version).await;
    assert_eq!(cluster.leader(), Some(leader.clone()));
    assert_eq!(cluster.node(&leader).status().term, term);
}

/// Guards against accepted commands that are lost and refused ones that take effect, while leaders change.
#[tokio::test]
async fn proposals_during_elections_have_their_reported_outcome() {
    let mut cluster = TestCluster::started(THREE, &["o1/z1", "o2/z2"]).await;
    let mut accepted = BTreeSet::new();
    let mut refused = BTreeSet::new();
    for round in 0..4 {
        // At this time, every voter may still report a leader that has just stepped down.
        cluster.wait("a voter leads", |cluster| cluster.leader().is_some()).await;
        let leader = cluster.leader().unwrap();
        let through = |index: usize| if index.is_multiple_of(2) { "o1" } else { "o2" };
        let proposals = (0..24).map(|index| {
            let name = format!("worker-{round}-{index}");
            let handle = cluster.node(through(index)).clone();
            async move {
                tokio::time::sleep(Duration::from_millis(40 * index as u64)).await;
                let result = handle.propose(drain_command(&name)).await;
                (name, result)
            }
        });
        let proposals = tokio::spawn(futures::future::join_all(proposals.collect::<Vec<_>>()));
        tokio::time::sleep(Duration::from_millis(200)).await;
        if round % 2 == 0 {
            cluster.stop(&leader);
        } else {
            cluster.silence(&leader, &cluster.others(&leader));
        }
        for (name, result) in proposals.await.unwrap() {
            match result {
                Ok(Reply::Accepted(_)) => drop(accepted.insert(name)),
                Err(ProposeError::NotCommitted) => drop(refused.insert(name)),
                Err(ProposeError::Uncertain) => {}
                Ok(other) => panic!("{other:?}"),
            }
        }
        if round % 2 == 0 {
            cluster.start(&leader);
        } else {
            cluster.restore(&leader, &cluster.others(&leader));
        }
        let has_leader = |cluster: &TestCluster| {
            ["a", "b", "c"].iter().all(|name| cluster.node(name).status().leader.is_some())
        };
        cluster.wait("a leader known to all voters", has_leader).await;
    }
    let version = cluster.drain("o1", "last").await;
    cluster.wait_version(&["a", "b", "c", "o1", "o2"], version).await;
    assert!(accepted.len() > 40, "{}", accepted.len());
    for name in ["a", "b", "c", "o1", "o2"] {
        let draining = cluster.node(name).view().borrow().draining.clone();
        let draining: BTreeSet<String> = draining.iter().map(ToString::to_string).collect();
        assert!(accepted.is_subset(&draining), "lost on {name}: {:?}", accepted.difference(&draining));
        assert!(refused.is_disjoint(&draining), "on {name}: {:?}", refused.intersection(&draining));
    }
}

/// Guards against a command that is committed although it is reported as not committed, because its reply was lost and no
/// later attempt reached a leader. The caller of a non-idempotent request would be told that it has not run.
#[tokio::test]
async fn a_command_with_a_lost_reply_is_uncertain() {
    let cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    cluster.drain("o1", "before").await;
    // Longer than all attempts together. Connections that are opened meanwhile do not get through their handshake.
    cluster.delay_responses(Duration::from_secs(10));
    assert_eq!(cluster.try_drain("o1", "unclear").await, Err(ProposeError::Uncertain));
    cluster.delay_responses(Duration::ZERO);
    let is_committed = |cluster: &TestCluster| {
        let view = cluster.node("a").view();
        view.borrow().draining.contains(&"unclear".into())
    };
    cluster.wait("the command is committed", is_committed).await;
}

/// Guards against callers that hang or get an uncertain outcome while no leader exists.
#[tokio::test]
async fn without_a_majority_a_proposal_is_refused_in_time() {
    let mut cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    cluster.stop("b");
    cluster.stop("c");
    let no_leader = |cluster: &TestCluster| cluster.node("a").status().role != Role::Leader;
    cluster.wait("the last voter is not leader", no_leader).await;
    for name in ["a", "o1"] {
        let start = Instant::now();
        assert_eq!(cluster.try_drain(name, "worker-1").await, Err(ProposeError::NotCommitted), "{name}");
        assert!(start.elapsed() < Duration::from_secs(3), "{name}: {:?}", start.elapsed());
    }
}

/// Guards against state that is lost when all voters restart.
#[tokio::test]
async fn state_survives_a_restart_of_all_voters() {
    let mut cluster = TestCluster::started(THREE, &[]).await;
    let version = cluster.drain("a", "worker-1").await;
    for name in ["a", "b", "c"] {
        cluster.stop(name);
    }
    for name in ["a", "b", "c"] {
        cluster.start(name);
    }
    cluster.wait_version(&["a", "b", "c"], version).await;
    cluster.wait("all current", |c| ["a", "b", "c"].iter().all(|n| c.node(n).status().current)).await;
    assert!(cluster.drain("b", "worker-2").await > version);
    assert_eq!(cluster.drain("c", "worker-1").await, version);
}

/// Guards against a voter that still takes part after its disk has failed.
#[tokio::test]
async fn a_voter_with_a_failed_disk_halts_and_the_others_continue() {
    let cluster = TestCluster::started(THREE, &[]).await;
    let leader = cluster.leader().unwrap();
    let follower = cluster.others(&leader)[0].to_owned();
    std::fs::remove_dir_all(cluster.data_dir(&follower)).unwrap();
    // In the election that this causes each voter must store its vote, which fails on the follower.
    cluster.suspend(&leader, Duration::from_secs(3));
    let halted = |cluster: &TestCluster| cluster.node(&follower).status().role == Role::Halted;
    cluster.wait("the voter has halted", halted).await;
    let version = cluster.drain(&leader, "worker-1").await;
    cluster.wait_version(&["a", "b", "c"], version).await;
}

/// Guards against a voter that stays halted although its disk accepts writes again: changes are refused for good once a
/// second voter fails.
#[tokio::test]
async fn a_halted_voter_goes_on_once_its_disk_accepts_writes() {
    let mut cluster = TestCluster::started(THREE, &[]).await;
    let leader = cluster.leader().unwrap();
    let others: Vec<String> = cluster.others(&leader).into_iter().map(str::to_owned).collect();
    let folder = cluster.data_dir(&others[0]);
    // Folders in place of the files that are written first.
    let obstacles = ["disk-check", "hard-state.new"].map(|name| folder.join(name));
    for obstacle in &obstacles {
        std::fs::create_dir(obstacle).unwrap();
    }
    // In the election that this causes each voter must store its vote.
    cluster.suspend(&leader, Duration::from_secs(3));
    let is_halted = |cluster: &TestCluster| cluster.node(&others[0]).status().role == Role::Halted;
    cluster.wait("the voter has halted", is_halted).await;
    assert_eq!(cluster.node(&others[0]).metrics().failed_writes.get(), 1);
    cluster.drain(&others[1], "worker-1").await;
    assert!(is_halted(&cluster), "the voter goes on without its disk");
    for obstacle in &obstacles {
        std::fs::remove_dir(obstacle).unwrap();
    }
    cluster.wait("the voter goes on", |cluster| !is_halted(cluster)).await;
    assert_eq!(cluster.node(&others[0]).metrics().disk_recoveries.get(), 1);
    let has_checked_disk = |cluster: &TestCluster| !cluster.node(&others[0]).status().waits_for_peers;
    cluster.wait("its disk is confirmed", has_checked_disk).await;
    cluster.stop(&others[1]);
    let version = cluster.drain(&others[0], "worker-2").await;
    cluster.wait_version(&[&leader, &others[0]], version).await;
}

/// Guards against a cluster of three that cannot recover once one voter is lost and another has restarted, and against
/// voter changes that are refused without a reason.
#[tokio::test]
async fn a_trusted_disk_restores_a_majority_and_the_lost_voter_is_replaced() {
    let mut cluster = TestCluster::new(THREE, &["d/z3"]);
    let folder = cluster.data_dir("d");
    cluster.config("d").data_dir = Some(folder);
    for name in ["a", "b", "c", "d"] {
        cluster.start(name);
    }
    cluster.wait("a, b, c current", |c| ["a", "b", "c"].iter().all(|n| c.node(n).status().current)).await;
    cluster.drain("a", "before").await;
    for name in ["c", "b"] {
        cluster.stop(name);
    }
    cluster.start("b");
    let stuck =
        |cluster: &TestCluster| cluster.node("b").status().waits_for_peers && cluster.leader().is_none();
    cluster.wait("b waits for c", stuck).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(stuck(&cluster));
    cluster.stop("b");
    cluster.config("b").trust_disk = true;
    cluster.start("b");
    cluster.wait("a leader", |cluster| cluster.leader().is_some()).await;
    assert!(!cluster.node("b").status().waits_for_peers);

    let node = cluster.node("d").clone();
    // A new leader refuses voter changes until it has committed an entry in its term.
    let start = Instant::now();
    let early = loop {
        let early = node.change_voters(VoterChange::Promote("d".into())).await;
        if early != Ok(Reply::VotersRefused(VoterRefusal::ChangeInProgress)) {
            break early;
        }
        assert!(start.elapsed() < Duration::from_secs(10), "the leader commits nothing");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(early, Ok(Reply::VotersRefused(VoterRefusal::NotALearner)));
    for change in [
        VoterChange::AddLearner("d".into()),
        VoterChange::Promote("d".into()),
        VoterChange::Remove("c".into()),
    ] {
        let start = Instant::now();
        loop {
            match node.change_voters(change.clone()).await {
                Ok(Reply::Done) => break,
                Ok(Reply::VotersRefused(VoterRefusal::NotCaughtUp | VoterRefusal::ChangeInProgress)) => {}
                other => panic!("{change:?}: {other:?}"),
            }
            assert!(start.elapsed() < Duration::from_secs(10), "{change:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let voters = |name: &str| cluster.node(name).status().voters;
    cluster.wait("d knows the voters", |_| voters("d") == ["a".into(), "b".into(), "d".into()]).await;
    let version = cluster.drain("d", "after").await;
    cluster.wait_version(&["a", "b", "d"], version).await;
}

/// Guards against a learner that was removed and keeps the configuration of that time for good: no leader sends to it any more,
/// and it does not follow another node either.
#[tokio::test]
async fn a_removed_learner_follows_the_configuration() {
    let mut cluster = TestCluster::new(THREE, &["d/z3"]);
    let folder = cluster.data_dir("d");
    cluster.config("d").data_dir = Some(folder);
    for name in ["a", "b", "c", "d"] {
        cluster.start(name);
    }
    cluster.wait("all current", |c| ["a", "b", "c", "d"].iter().all(|n| c.node(n).status().current)).await;
    let node = cluster.node("a").clone();
    let change = async |change: VoterChange| {
        let start = Instant::now();
        while node.change_voters(change.clone()).await != Ok(Reply::Done) {
            assert!(start.elapsed() < Duration::from_secs(10), "{change:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    change(VoterChange::AddLearner("d".into())).await;
    cluster.wait("d is a learner", |c| c.node("d").status().learners.contains(&"d".into())).await;
    let version = cluster.drain("a", "before").await;
    cluster.wait_version(&["d"], version).await;
    change(VoterChange::Remove("d".into())).await;
    let version = cluster.drain("a", "after").await;
    cluster.wait_version(&["a", "b", "c", "d"], version).await;
}

/// Guards against a learner that was removed while it was cut off and asks the leader of that time, which has ended, to join
/// again, for good: no voter can be replaced.
#[tokio::test]
async fn a_removed_learner_joins_again_after_a_change_of_leader() {
    const NODES: [&str; 4] = ["a", "b", "c", "d"];
    let mut cluster = TestCluster::new(THREE, &["d/z3"]);
    let folder = cluster.data_dir("d");
    cluster.config("d").data_dir = Some(folder);
    for name in NODES {
        cluster.config(name).target_voters = Some(3);
        cluster.config(name).trust_disk = true;
        cluster.start(name);
    }
    let knows_leader = |c: &TestCluster| c.leader().is_some() && c.leader() == leader_of(c, "d");
    cluster.wait("d is a learner of the leader", knows_leader).await;
    let ended = cluster.leader().unwrap();
    cluster.cut("d", &["a", "b", "c"]);
    cluster.stop(&ended);
    cluster.wait("a new leader", |c| c.leader().is_some()).await;
    let removed = |c: &TestCluster| {
        c.leader().is_some_and(|leader| !c.node(&leader).status().learners.contains(&"d".into()))
    };
    cluster.wait("d is removed", removed).await;
    cluster.restore("d", &["a", "b", "c"]);
    let votes = |c: &TestCluster| {
        c.leader().is_some_and(|leader| c.node(&leader).status().voters.contains(&"d".into()))
    };
    cluster.wait("d votes in place of the node that ended", votes).await;
}

fn leader_of(cluster: &TestCluster, name: &str) -> Option<String> {
    let status = cluster.node(name).status();
    let is_learner = status.learners.iter().any(|learner| learner.as_str() == name);
    status.leader.filter(|_| is_learner).map(|leader| leader.to_string())
}

/// Guards against a cluster that is never formed because the disk of the first voter refused writes when it started.
#[tokio::test]
async fn a_cluster_is_formed_although_the_first_disk_is_full_at_the_start() {
    let mut cluster = TestCluster::new(THREE, &[]);
    let folder = cluster.data_dir("a");
    // Folders in place of the files that are written first.
    let obstacles = ["disk-check", "hard-state.new"].map(|name| folder.join(name));
    for obstacle in &obstacles {
        std::fs::create_dir_all(obstacle).unwrap();
    }
    for name in ["a", "b", "c"] {
        cluster.start(name);
    }
    let is_halted = |cluster: &TestCluster| cluster.node("a").status().role == Role::Halted;
    cluster.wait("the first voter has halted", is_halted).await;
    for obstacle in &obstacles {
        std::fs::remove_dir(obstacle).unwrap();
    }
    cluster.wait("the first voter goes on", |cluster| !is_halted(cluster)).await;
    cluster.wait("a leader", |cluster| cluster.leader().is_some()).await;
}
