//! Nodes without a replica: relays, monotonic versions, partitions, gossip, graceful shutdown.

use std::time::Duration;

use daisysill_cluster::Role;
use daisysill_core::ids::ConfigVersion;
use daisysill_wire::peer::{DispatchCount, SoftReport};
use tokio::time::{Instant, sleep};

use crate::common::{TestCluster, drain_command};

const THREE: &[&str] = &["a/z1", "b/z2", "c/z3"];
const ZONE: &[&str] = &["o1/z1", "o2/z1", "o3/z1", "o4/z1", "o5/z1"];

/// Guards against followers that receive no further configuration after the node that they follow fails.
#[tokio::test]
async fn followers_survive_the_loss_of_their_relays() {
    let mut cluster = TestCluster::started(THREE, ZONE).await;
    let version = cluster.drain("o5", "before").await;
    cluster.wait_version(&["o3", "o4", "o5"], version).await;
    cluster.stop("o1");
    let version = cluster.drain("o5", "one relay left").await;
    cluster.wait_version(&["o2", "o3", "o4", "o5"], version).await;
    cluster.stop("o2");
    let version = cluster.drain("o5", "both relays lost").await;
    cluster.wait_version(&["o3", "o4", "o5"], version).await;
}

/// Guards against voters that serve every node of a large zone: only its relays may follow a voter.
#[tokio::test]
async fn only_the_relays_follow_a_voter() {
    let cluster = TestCluster::started(THREE, ZONE).await;
    let alive = |cluster: &TestCluster| {
        ["o1", "o2", "o3", "o4", "o5"]
            .iter()
            .all(|name| cluster.node(name).status().members.iter().all(|member| member.alive))
    };
    cluster.wait("all nodes know all others", alive).await;
    // Polls started before the relays were known last up to a second.
    sleep(Duration::from_millis(2_500)).await;
    for _ in 0..20 {
        let at_voters: i64 = ["a", "b", "c"].iter().map(|n| cluster.node(n).metrics().followers.get()).sum();
        assert!(at_voters <= 2, "{at_voters} followers at the voters");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a node that returns to an older configuration when only a source with an older one is reachable.
#[tokio::test]
async fn a_follower_never_goes_back_to_an_older_version() {
    let mut cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    let version = cluster.drain("o1", "old").await;
    cluster.wait_version(&["a", "b", "c", "o1"], version).await;
    let leader = cluster.leader().unwrap();
    let behind = cluster.others(&leader).into_iter().find(|name| *name != "o1").unwrap().to_owned();
    let rest: Vec<&str> = cluster.others(&behind).into_iter().filter(|name| *name != "o1").collect();
    cluster.cut(&behind, &rest);
    // It cannot poll the follower either, but the follower can poll it.
    cluster.cut_direction(&behind, "o1");
    let newer = cluster.drain(&leader, "new").await;
    cluster.wait_version(&["o1"], newer).await;
    let view = cluster.node("o1").view();
    let seen = tokio::spawn(assert_versions_from(view, newer));
    for name in ["a", "b", "c"] {
        if name != behind {
            cluster.stop(name);
        }
    }
    assert!(cluster.version(&behind) < newer);
    // The follower polls the voter that is behind repeatedly and receives only the older version.
    sleep(Duration::from_secs(4)).await;
    assert!(cluster.version(&behind) < newer);
    assert_eq!(cluster.version("o1"), newer);
    seen.abort();
    assert!(seen.await.unwrap_err().is_cancelled());
}

/// Panics as soon as a version below `newest` is put in force.
async fn assert_versions_from(
    mut view: tokio::sync::watch::Receiver<std::sync::Arc<daisysill_control::state::ConfigView>>,
    newest: ConfigVersion,
) {
    while view.changed().await.is_ok() {
        assert!(view.borrow_and_update().version >= newest);
    }
}

/// Guards against an isolated zone that reports its configuration as current, and against a node that starts there
/// and does not get the configuration from its neighbours.
#[tokio::test]
async fn an_isolated_zone_keeps_and_shares_its_configuration() {
    let mut cluster = TestCluster::started(THREE, &["o1/z4", "o2/z4"]).await;
    let version = cluster.drain("o1", "worker-1").await;
    cluster.wait_version(&["o1", "o2"], version).await;
    let voters = ["a", "b", "c"];
    cluster.silence("o1", &voters);
    cluster.silence("o2", &voters);
    cluster.stop("o2");
    let stale = |cluster: &TestCluster| !cluster.node("o1").status().current;
    cluster.wait("o1 reports that it is not current", stale).await;
    assert_eq!(cluster.version("o1"), version);
    cluster.start("o2");
    assert!(!cluster.node("o2").status().current, "current before it has polled any node");
    cluster.wait_version(&["o2"], version).await;
    cluster.restore("o1", &voters);
    cluster.restore("o2", &voters);
    let current = |cluster: &TestCluster| ["o1", "o2"].iter().all(|n| cluster.node(n).status().current);
    cluster.wait("both are current again", current).await;
}

/// Guards against a configuration that looks recent because the response that confirms it lay in the socket while the node was frozen:
/// its age was counted from its arrival.
#[tokio::test]
async fn a_response_from_before_a_freeze_confirms_nothing_later() {
    const FREEZE: Duration = Duration::from_secs(4);
    /// The voters hold a poll for up to a second.
    const MAX_POLL: Duration = Duration::from_millis(1_500);
    let cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    let handle = cluster.node("o1").clone();
    cluster.drain("o1", "worker-1").await;
    cluster.suspend("o1", FREEZE);
    let frozen_at = Instant::now();
    // The response to the poll in progress arrives in the socket; nothing reaches the node after that.
    sleep(MAX_POLL).await;
    cluster.silence("o1", &["a", "b", "c"]);
    while frozen_at.elapsed() < FREEZE + Duration::from_secs(1) {
        let age = handle.config_age().unwrap();
        let youngest = frozen_at.elapsed().saturating_sub(MAX_POLL);
        assert!(
            age >= youngest,
            "the configuration looks {age:?} old, {:?} after the freeze began",
            frozen_at.elapsed()
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a restarted node that reports itself as current before it has the newest version in its zone.
#[tokio::test]
async fn a_restarted_follower_is_current_only_with_the_newest_version() {
    let mut cluster = TestCluster::started(THREE, &["o1/z1", "o2/z1"]).await;
    for round in 0..5 {
        cluster.stop("o2");
        let version = cluster.drain("o1", &format!("worker-{round}")).await;
        cluster.wait_version(&["o1"], version).await;
        cluster.start("o2");
        let start = Instant::now();
        while !cluster.node("o2").status().current {
            assert!(start.elapsed() < crate::common::SOON);
            sleep(Duration::from_millis(1)).await;
        }
        assert!(cluster.version("o2") >= version);
    }
}

/// Guards against soft reports or changes of them that do not reach every node, and against a failed node that is
/// not detected.
#[tokio::test]
async fn soft_reports_and_liveness_reach_every_node() {
    let mut cluster = TestCluster::started(THREE, &["o1/z1", "o2/z2", "o3/z3", "o4/z4"]).await;
    for tokens in [7, 11] {
        let mut soft_report = SoftReport::default();
        soft_report.dispatched.insert("worker-1".into(), DispatchCount { tokens, window_ms: 250 });
        cluster.node("o4").set_soft_report(soft_report.clone());
        let arrived = |cluster: &TestCluster| {
            cluster.others("o4").iter().all(|name| {
                let reports = cluster.node(name).soft_reports();
                reports.iter().any(|r| {
                    r.name.as_str() == "o4" && r.soft_report == soft_report && r.age < Duration::from_secs(5)
                })
            })
        };
        cluster.wait("the report of o4 on all nodes", arrived).await;
    }
    cluster.stop("o4");
    let dead = |cluster: &TestCluster| {
        ["a", "b", "c", "o1", "o2", "o3"].iter().all(|name| {
            let members = cluster.node(name).status().members;
            members.iter().all(|member| member.alive == (member.name.as_str() != "o4"))
        })
    };
    cluster.wait("only o4 considered dead", dead).await;
}

/// Guards against a planned stop that waits for a disk that hangs, and stops all other tasks of the node meanwhile.
#[tokio::test]
async fn a_voter_whose_disk_hangs_leaves_in_time() {
    let cluster = TestCluster::started(THREE, &[]).await;
    let leader = cluster.leader().unwrap();
    let others: Vec<&str> = cluster.others(&leader);
    // Opening a pipe for writing blocks until something reads it.
    let pipe = cluster.data_dir(others[0]).join("hard-state.new");
    assert!(std::process::Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    // In the election that this causes each voter must store its vote.
    cluster.suspend(&leader, Duration::from_secs(3));
    cluster.drain(others[1], "worker-1").await;
    cluster.node(others[0]).leave(None).await;
    // Answered by the tasks of the node that leaves, while its disk still hangs.
    let proposed = cluster.try_drain(others[0], "worker-2").await;
    // Lets the blocked write go on and fail, whatever the outcome.
    let renamed = pipe.with_extension("renamed");
    std::fs::rename(&pipe, &renamed).unwrap();
    std::fs::read(&renamed).unwrap();
    assert!(matches!(proposed, Ok(daisysill_control::command::Reply::Accepted(_))), "{proposed:?}");
}

/// Guards against a planned stop of the leader that loses proposals or is not announced.
#[tokio::test]
async fn a_leader_that_leaves_hands_over() {
    let cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    let start = Instant::now();
    let leader = cluster.leader().unwrap();
    let others: Vec<&str> = cluster.others(&leader);
    let proposals = (0..20).map(|index| {
        let handle = cluster.node("o1").clone();
        async move {
            sleep(Duration::from_millis(50 * index)).await;
            let sent_at = start.elapsed();
            let result = handle.propose(drain_command(&format!("worker-{index}"))).await;
            (result, sent_at, start.elapsed())
        }
    });
    let proposals = tokio::spawn(futures::future::join_all(proposals.collect::<Vec<_>>()));
    sleep(Duration::from_millis(300)).await;
    let leaves_at = start.elapsed();
    cluster.node(&leader).leave(None).await;
    let left_at = start.elapsed();
    assert_ne!(cluster.node(&leader).status().role, Role::Leader);
    let new_leader = cluster.node(&leader).status().leader.map(|name| name.to_string());
    assert!(new_leader.is_some_and(|name| name != leader && cluster.leader() == Some(name)));
    let announced = |cluster: &TestCluster| {
        others.iter().all(|name| {
            let members = cluster.node(name).status().members;
            members.iter().any(|member| member.name.as_str() == leader && member.leaving)
        })
    };
    cluster.wait("all nodes know that the leader leaves", announced).await;
    for (result, sent_at, ended_at) in proposals.await.unwrap() {
        assert!(
            matches!(result, Ok(daisysill_control::command::Reply::Accepted(_))),
            "{result:?}, proposed from {sent_at:?} to {ended_at:?}; the leader left from {leaves_at:?} to {left_at:?}"
        );
    }
}
