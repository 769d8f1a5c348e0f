//! An entry node whose link to its control node is slow, as one that is almost full.

#![allow(unreachable_pub, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
#[path = "cluster/forwarder.rs"]
mod forwarder;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use daisysill_cluster::{BootInstant, Cluster, ClusterConfig, ClusterHandle, PeerAddress};
use daisysill_control::command::{Command, PublishDocument, Reply};
use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::UpstreamEntry;
use forwarder::Forwarder;
use tempfile::TempDir;
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

/// Below the time after which a call to a control node has failed.
const RESPONSE_DELAY_MS: u64 = 400;
/// Time that packets wait on a link that is almost full: less than 0.5 s there and less than 0.5 s back.
const FULL_LINK_DELAY_MS: u64 = 900;
/// Time by which a confirmed configuration must be in force (`config_apply_ms`).
const APPLY_LIMIT: Duration = Duration::from_millis(2_500);
/// Time between two lists with a new upstream.
const LIST_INTERVAL: Duration = Duration::from_millis(250);
const DOCUMENTS: u64 = 12;
/// Time after which a configuration counts as never in force.
const TIMEOUT: Duration = Duration::from_secs(8);

fn config(own: SocketAddr, control: &str) -> ClusterConfig {
    ClusterConfig {
        name: InstanceId::from(own.to_string()),
        zone: "z1".into(),
        data_dir: None,
        peer_listen: own,
        peers: Vec::new(),
        bootstrap_voters: vec![control.into()],
        bootstrap: true,
        trust_disk: true,
        names_are_addresses: false,
        target_voters: Some(1),
        secret: "test".to_owned(),
    }
}

/// Starts a control node and an entry node, with the link from the latter to the former.
async fn start(folder: &TempDir, net: u8) -> (ClusterHandle, ClusterHandle, Arc<Forwarder>) {
    let address = |host: u8| SocketAddr::from(([127, 79, net, host], 8_300));
    let name = address(1).to_string();
    let of_control = ClusterConfig { data_dir: Some(folder.path().to_owned()), ..config(address(1), &name) };
    let (control, _) = Cluster::start(of_control).await.unwrap();
    let link = Arc::<Forwarder>::default();
    *link.target.lock().unwrap() = Some(address(1));
    let listener = TcpListener::bind(address(3)).await.unwrap();
    tokio::spawn(Arc::clone(&link).run(listener));
    let peer = PeerAddress { name: name.as_str().into(), zone: "z1".into(), address: address(3) };
    let of_entry = ClusterConfig { peers: vec![peer], ..config(address(2), &name) };
    (control, Cluster::start(of_entry).await.unwrap().0, link)
}

fn upstream(number: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("i-{number}").as_str().into(),
        started_unix_ms: number,
        service: "plain".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z1".into(),
        slots: 4,
        draining: false,
        loading: false,
        models: [].into(),
    }
}

/// Asserts that documents are in force in time on an entry node whose calls are answered so late. `net` is the third octet of
/// the addresses.
async fn assert_in_force_in_time(net: u8, response_delay_ms: u64) {
    let folder = TempDir::new().unwrap();
    let (control, entry, link) = start(&folder, net).await;
    let start = Instant::now();
    while !control.is_leader() || entry.config_age().is_none() {
        assert!(start.elapsed() < Duration::from_secs(10), "the nodes don't find each other");
        sleep(Duration::from_millis(20)).await;
    }
    link.response_delay_ms.store(response_delay_ms, Ordering::SeqCst);
    let lists = async {
        for number in 1.. {
            control.publish_upstreams(vec![upstream(number)], BootInstant::now());
            sleep(LIST_INTERVAL).await;
        }
    };
    let documents = async {
        let mut longest = Duration::ZERO;
        for version in 1..=DOCUMENTS {
            sleep(Duration::from_millis(130 * version % 700)).await;
            let document = PublishDocument { version, body: b"document".to_vec() };
            let reply = control.propose(Command::PublishDocument(document)).await.unwrap();
            assert_eq!(reply, Reply::Done);
            let confirmed = Instant::now();
            let mut view = entry.view();
            let in_force =
                view.wait_for(|view| view.document.as_ref().is_some_and(|known| known.version >= version));
            timeout(TIMEOUT, in_force).await.expect("the configuration does not arrive").unwrap();
            longest = longest.max(confirmed.elapsed());
        }
        longest
    };
    let longest = tokio::select! {
        longest = documents => longest,
        () = lists => unreachable!("lists go on"),
    };
    println!("in force after {longest:?} at most");
    assert!(longest < APPLY_LIMIT, "in force {longest:?} after its confirmation");
}

/// Guards against a confirmed configuration that waits, poll after poll, for the software versions, the cold upstreams and whatever
/// else is asked for beside it, one after the other.
#[tokio::test]
async fn a_configuration_does_not_wait_for_what_is_asked_for_beside_it() {
    assert_in_force_in_time(1, RESPONSE_DELAY_MS).await;
}

/// Guards against a configuration that does not arrive since all polls fail, while packets wait on a link that is almost full.
#[tokio::test]
async fn a_configuration_arrives_over_a_link_that_is_almost_full() {
    assert_in_force_in_time(2, FULL_LINK_DELAY_MS).await;
}
