//! What control nodes tell of where streams began.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod nodes;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use daisysill_cluster::{BootInstant, ClusterHandle};
use daisysill_wire::peer::{UpstreamEntry, UpstreamSoftware, UpstreamStart};
use tokio::time::{sleep, timeout};

use crate::nodes::{LIMIT, TestNodes, wait};

/// Time in which a control node passes on what it was told about streams.
const TIME_TO_COPY: Duration = Duration::from_millis(500);
/// Time after which a version that was the only one for as long can have begun all streams that may be taken up.
const TIME_OF_ONE_VERSION: Duration = Duration::from_secs(32);
/// Time between two readings of the list.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// A stream whose origin nobody knows.
const UNKNOWN: u64 = 7;

/// Waits until an entry node can tell where a stream began.
async fn wait_for_origin(entry: &ClusterHandle, stream: u64, software: &str) {
    let start = Instant::now();
    while entry.stream_origin(stream, &"lyric".into()).await != Some(software.into()) {
        assert!(start.elapsed() < LIMIT, "stream {stream} does not begin at {software}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against streams whose software version is forgotten when the node that began them and a control node are lost.
#[tokio::test]
async fn origin_of_a_stream_outlives_its_entry_node_and_a_control_node() {
    let nodes = TestNodes::start(9).await;
    nodes.settle().await;
    for (zone, stream) in (0..nodes.entries.len()).zip(100..) {
        nodes.entries[zone][0].record_stream_origin(stream, format!("v{zone}").as_str().into());
    }
    for entry in nodes.all_entries() {
        for (zone, stream) in (0..nodes.entries.len()).zip(100..) {
            wait_for_origin(entry, stream, &format!("v{zone}")).await;
        }
    }
    sleep(TIME_TO_COPY).await;
    let lost = nodes.other_zones()[0];
    nodes.entries[lost][0].stop().await;
    nodes.controls[lost].stop().await;
    for entry in nodes.entries.iter().flat_map(|of_zone| &of_zone[1..]) {
        for (zone, stream) in (0..nodes.entries.len()).zip(100..) {
            wait_for_origin(entry, stream, &format!("v{zone}")).await;
        }
    }
}

/// Guards against a guess where a stream of unknown origin began, by control nodes that have not seen the list for long.
#[tokio::test]
async fn unknown_origin_is_not_guessed() {
    let nodes = TestNodes::start(10).await;
    nodes.settle().await;
    for entry in nodes.all_entries() {
        assert_eq!(entry.stream_origin(7, &"lyric".into()).await, None);
    }
}

/// Has the leader publish the list of the service `lyric` as read now, with an upstream of each of these software versions.
async fn publish(nodes: &TestNodes, versions: &[&str]) {
    let software = versions.iter().map(|version| UpstreamSoftware {
        start: UpstreamStart { id: format!("i-{version}").as_str().into(), started_unix_ms: 1 },
        software: (*version).into(),
    });
    let software = software.collect();
    publish_knowing(nodes, versions, software).await;
}

/// Publishes such a list; the leader learns these software versions only.
async fn publish_knowing(nodes: &TestNodes, versions: &[&str], software: Vec<UpstreamSoftware>) {
    wait("a leader", || nodes.controls.iter().any(ClusterHandle::is_leader)).await;
    let listed = versions.iter().map(|version| UpstreamEntry {
        id: format!("i-{version}").as_str().into(),
        started_unix_ms: 1,
        service: "lyric".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z1".into(),
        slots: 4,
        draining: false,
        loading: false,
        models: [].into(),
    });
    nodes.leader().record_software(software);
    nodes.leader().publish_upstreams(listed.collect(), BootInstant::now());
}

/// Starts nodes whose leader has listed the version `v1` only for long enough.
async fn start_with_one_version(net: u8) -> TestNodes {
    let nodes = TestNodes::start_with(net, 1).await;
    nodes.settle().await;
    let start = Instant::now();
    while start.elapsed() < TIME_OF_ONE_VERSION {
        publish(&nodes, &["v1"]).await;
        sleep(READ_INTERVAL).await;
    }
    nodes
}

/// Guards against a stream that began at an upstream of a new version and goes on at the one before, because the list that
/// the asked control node has was read before the new version joined: the node that began the stream read it later.
#[tokio::test]
async fn version_that_joined_after_the_last_reading_is_not_ruled_out() {
    let nodes = start_with_one_version(12).await;
    let service = "lyric".into();
    for entry in nodes.entries.iter().map(|of_zone| &of_zone[0]) {
        publish(&nodes, &["v1"]).await;
        sleep(READ_INTERVAL).await;
        let question = entry.stream_origin(UNKNOWN, &service);
        let next_reading = async {
            sleep(READ_INTERVAL).await;
            publish(&nodes, &["v1", "v2"]).await;
        };
        let (found, ()) = tokio::join!(question, next_reading);
        assert_eq!(found, None);
    }
}

/// Guards against the same where the software version of an upstream that joined is not known.
#[tokio::test]
async fn upstream_of_an_unknown_version_is_not_ruled_out() {
    let nodes = start_with_one_version(15).await;
    let service = "lyric".into();
    let question = nodes.entries[0][0].stream_origin(UNKNOWN, &service);
    let next_readings = async {
        for _ in 0..6 {
            sleep(READ_INTERVAL).await;
            publish_knowing(&nodes, &["v1", "v2"], Vec::new()).await;
        }
    };
    let (found, ()) = tokio::join!(question, next_readings);
    assert_eq!(found, None);
}

/// Guards against a control node that is cut off from the leader, and takes the old list for one that was read just now.
#[tokio::test]
async fn control_node_that_is_cut_off_does_not_rule_out_other_versions() {
    let nodes = start_with_one_version(13).await;
    let asking = nodes.other_zones()[0];
    publish(&nodes, &["v1"]).await;
    sleep(Duration::from_millis(100)).await;
    for zone in (0..nodes.controls.len()).filter(|zone| *zone != asking) {
        nodes.controls[zone].stop().await;
    }
    for _ in 0..10 {
        assert_eq!(nodes.entries[asking][0].stream_origin(UNKNOWN, &"lyric".into()).await, None);
        sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against take-ups that are refused although there was only one version, or that wait for long.
#[tokio::test]
async fn only_version_is_found_with_the_next_reading() {
    let nodes = start_with_one_version(14).await;
    let service = "lyric".into();
    let asking = nodes.all_entries().map(|entry| entry.stream_origin(UNKNOWN, &service));
    let answers = futures::future::join_all(asking);
    let reading = async {
        loop {
            sleep(READ_INTERVAL).await;
            publish(&nodes, &["v1"]).await;
        }
    };
    tokio::select! {
        answers = timeout(2 * READ_INTERVAL, answers) => {
            assert!(answers.unwrap().iter().all(|answer| *answer == Some("v1".into())));
        }
        () = reading => {}
    }
}
