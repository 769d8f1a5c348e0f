//! Heartbeats of many nodes with soft reports of maximum size.

use std::time::Duration;

use daisysill_wire::peer::{DispatchCount, SoftReport};
use tokio::time::{Instant, sleep};

use crate::common::TestCluster;

/// Maximum control traffic of one node, both directions.
const TARGET_BYTES_PER_S: u64 = 28_000;
const WATCH_TIME: Duration = Duration::from_secs(6);

/// Returns a report of nearly the maximum size; each `number` gives another one.
fn full_report(number: u64) -> SoftReport {
    let count = DispatchCount { tokens: 1_000_000 + number, window_ms: 250 };
    let counts = (0..59).map(|worker| (format!("worker-{worker:04}").as_str().into(), count.clone()));
    SoftReport { dispatched: counts.collect(), ..SoftReport::default() }
}

/// Guards against live nodes considered dead because soft reports use up the byte budget, and against control traffic
/// above its target.
#[tokio::test]
async fn full_reports_neither_displace_heartbeats_nor_exceed_the_target() {
    let names: Vec<String> = (1..=21).map(|number| format!("o{number:02}/z{}", number % 3)).collect();
    let observers: Vec<&str> = names.iter().map(String::as_str).collect();
    let cluster = TestCluster::started(&["a/z0", "b/z1", "c/z2"], &observers).await;
    let nodes: Vec<&str> = cluster.others("");
    let all_alive = |cluster: &TestCluster| {
        nodes.iter().all(|name| cluster.node(name).status().members.iter().all(|member| member.alive))
    };
    cluster.wait("all nodes know all others", all_alive).await;
    let bytes = |name: &str| {
        let metrics = cluster.node(name).metrics();
        metrics.total_bytes_in() + metrics.total_bytes_out()
    };
    let before: Vec<u64> = nodes.iter().map(|name| bytes(name)).collect();
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < WATCH_TIME {
        number += 1;
        for name in &nodes {
            cluster.node(name).set_soft_report(full_report(number));
        }
        sleep(Duration::from_millis(250)).await;
    }
    let seconds = start.elapsed().as_secs();
    for (name, before) in nodes.iter().zip(before) {
        let per_second = (bytes(name) - before) / seconds;
        assert!(per_second < TARGET_BYTES_PER_S, "{name}: {per_second} bytes/s");
    }
    assert!(all_alive(&cluster), "live nodes are considered dead");
}
