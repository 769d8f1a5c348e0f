//! Leases: at most one holder at a time, also when the holder is partitioned or suspended.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use daisysill_cluster::{LeaseConfig, LeaseHolder};
use tokio::time::sleep;

use crate::common::TestCluster;

const THREE: &[&str] = &["a/z1", "b/z2", "c/z3"];
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

fn lease(cluster: &TestCluster, name: &str) -> Arc<LeaseHolder> {
    let config = LeaseConfig {
        role: "weights".to_owned(),
        duration: Duration::from_secs(2),
        order_timeout: ORDER_TIMEOUT,
    };
    Arc::new(LeaseHolder::start(cluster.node(name).clone(), name.into(), config))
}

async fn wait_held(lease: &LeaseHolder, cluster: &TestCluster) {
    cluster.wait("the lease is held", |_| lease.fencing().is_some()).await;
}

/// Guards against two holders at once, and against a new holder that does not wait out orders in flight.
#[tokio::test]
async fn a_partitioned_holder_stops_before_the_next_one_starts() {
    let cluster = TestCluster::started(THREE, &["o1/z1", "o2/z2"]).await;
    let first = lease(&cluster, "o1");
    wait_held(&first, &cluster).await;
    let second = lease(&cluster, "o2");
    sleep(Duration::from_secs(3)).await;
    assert!(first.fencing().is_some(), "the lease is renewed");
    assert_eq!(second.fencing(), None);

    let mut changes = first.held();
    cluster.silence("o1", &cluster.others("o1"));
    let start = Instant::now();
    let mut last_first = None;
    while second.fencing().is_none() {
        if first.fencing().is_some() {
            last_first = Some(Instant::now());
        }
        assert!(start.elapsed() < crate::common::SOON);
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(first.fencing(), None);
    let gap = last_first.unwrap().elapsed();
    assert!(gap >= ORDER_TIMEOUT, "the new holder started after {gap:?}");
    assert!(
        changes.has_changed().unwrap() && changes.borrow_and_update().is_none(),
        "the holder is notified to stop"
    );
}

/// Guards against a process that was suspended and then sends an order under an expired lease.
#[tokio::test]
async fn a_suspended_holder_has_no_lease_when_it_resumes() {
    let cluster = TestCluster::started(THREE, &["o1/z1", "o2/z2"]).await;
    // Its task runs on the thread of the node, which `suspend` blocks like a suspension.
    let first = lease(&cluster, "o1");
    wait_held(&first, &cluster).await;
    let number = first.fencing().unwrap();
    let second = lease(&cluster, "o2");
    cluster.suspend("o1", Duration::from_secs(5));
    sleep(Duration::from_millis(4_800)).await;
    assert_eq!(first.fencing(), None);
    wait_held(&second, &cluster).await;
    assert!(second.fencing().unwrap() > number);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(first.fencing(), None);
    assert!(second.fencing().is_some());
}

/// Guards against a lease that is lost or granted twice when the leader is suspended and resumes.
#[tokio::test]
async fn a_lease_outlives_a_suspended_leader() {
    let cluster = TestCluster::started(THREE, &["o1/z1"]).await;
    let lease = lease(&cluster, "o1");
    wait_held(&lease, &cluster).await;
    let number = lease.fencing().unwrap();
    let leader = cluster.leader().unwrap();
    cluster.suspend(&leader, Duration::from_secs(3));
    let elected = |cluster: &TestCluster| cluster.leader().is_some_and(|name| name != leader);
    cluster.wait("another leader", elected).await;
    wait_held(&lease, &cluster).await;
    sleep(Duration::from_secs(4)).await;
    assert!(lease.fencing().is_some_and(|fencing| fencing >= number));
    let leaders = ["a", "b", "c"]
        .iter()
        .filter(|name| cluster.node(name).status().role == daisysill_cluster::Role::Leader);
    assert_eq!(leaders.count(), 1);
}
