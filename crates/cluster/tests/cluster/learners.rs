//! Nodes whose replica does not vote: their configuration stays current.

use std::{fs, time::Duration};

use daisysill_cluster::Role;
use tokio::time::{Instant, sleep};

use crate::common::TestCluster;

const FIVE: &[&str] = &["a/z1", "b/z2", "c/z3", "d/z1", "e/z2"];
/// Longer than a configuration without confirmation counts as current (6 s).
const OBSERVATION: Duration = Duration::from_secs(9);

/// Starts five voters, one of them anew with an empty disk; returns its name.
async fn start_with_an_empty_disk(cluster: &mut TestCluster) -> String {
    cluster.drain("a", "before").await;
    let leader = cluster.leader().unwrap();
    let replaced = cluster.others(&leader)[0].to_owned();
    cluster.stop(&replaced);
    fs::remove_dir_all(cluster.data_dir(&replaced)).unwrap();
    cluster.start(&replaced);
    let has_log = |cluster: &TestCluster| {
        let status = cluster.node(&replaced).status();
        status.current && status.leader.as_ref() == Some(&leader.as_str().into()) && status.applied_index > 0
    };
    cluster.wait("the node with the empty disk has its log from the leader", has_log).await;
    replaced
}

async fn stays_current(cluster: &TestCluster, name: &str) {
    let start = Instant::now();
    while start.elapsed() < OBSERVATION {
        let status = cluster.node(name).status();
        assert_eq!(status.role, Role::Learner);
        assert!(status.current, "not current after {:?}, leader {:?}", start.elapsed(), status.leader);
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a voter with an empty disk that is isolated 6 s after its start, although its leader sends to it.
#[tokio::test]
async fn a_voter_with_an_empty_disk_stays_current() {
    let mut cluster = TestCluster::started(FIVE, &[]).await;
    let replaced = start_with_an_empty_disk(&mut cluster).await;
    stays_current(&cluster, &replaced).await;
    let version = cluster.drain(&replaced, "after").await;
    cluster.wait_version(&[replaced.as_str()], version).await;
}

/// Guards against a learner that follows no other node when its leader is lost.
#[tokio::test]
async fn a_voter_with_an_empty_disk_stays_current_without_its_leader() {
    let mut cluster = TestCluster::started(FIVE, &[]).await;
    let replaced = start_with_an_empty_disk(&mut cluster).await;
    let leader = cluster.leader().unwrap();
    cluster.silence(&replaced, &[leader.as_str()]);
    stays_current(&cluster, &replaced).await;
    let through = cluster.others(&leader).into_iter().find(|name| *name != replaced).unwrap();
    let version = cluster.drain(through, "after").await;
    cluster.wait_version(&[replaced.as_str()], version).await;
}
