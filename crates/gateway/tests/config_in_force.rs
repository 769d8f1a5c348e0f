//! What decides about a request while a newer configuration is confirmed that the thread of the callers has not followed yet.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::{Arc, mpsc},
    time::{Duration, Instant},
};

use actix_web::http::header::HeaderMap;
use daisysill_cluster::{Cluster, ClusterConfig, ClusterHandle, ClusterMetrics};
use daisysill_control::{
    command::{Command, PublishDocument, SetDrain},
    state::ConfigView,
};
use daisysill_core::{
    cold_start::ColdBounds,
    evacuation::zone_mark,
    regions::ZoneRegions,
    result_code::ResultCode,
    retry_budget::RetryBudgetPolicy,
    routing::{CallKind, CallerLimits, Customer, Route, RoutingSpec, Service, ServiceSpec, Target},
};
use daisysill_gateway::{
    callers::StreamLimits,
    config::Bounds,
    discovery::DocumentFormat,
    forward::Gateway,
    header_codec::{AttemptHeaders, HeaderCodec, RequestHeaders, ResponseHeaders},
    metrics::GatewayMetrics,
    regions::Regions,
    routing_state::RoutingState,
    upstreams::Upstreams,
};
use daisysill_wire::peer::UpstreamEntry;
use tokio::{
    runtime::{Builder, Handle},
    task::LocalSet,
};

const LIMIT: Duration = Duration::from_secs(10);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
const HOST: &str = "a.example";
const PATH: &str = "/cues/7";

struct NoHeaders;

impl HeaderCodec for NoHeaders {
    fn decode_request(&self, _: &HeaderMap) -> Result<RequestHeaders, String> {
        Err("not used".to_owned())
    }

    fn forwards(&self, _: &str) -> bool {
        false
    }

    fn encode_attempt(&self, _: &AttemptHeaders<'_>, _: &mut Vec<u8>) {}

    fn decode_response<'a>(&self, _: &'a [httparse::Header<'a>]) -> ResponseHeaders<'a> {
        ResponseHeaders::default()
    }
}

/// Documents that consist of their version and the keys of one customer, separated by spaces.
struct KeyList;

impl DocumentFormat for KeyList {
    fn decode(&self, body: &[u8]) -> Result<RoutingSpec, String> {
        let text = std::str::from_utf8(body).map_err(|error| error.to_string())?;
        let (version, keys) = text.split_once(' ').ok_or("no version")?;
        Ok(RoutingSpec {
            version: version.parse().map_err(|_| format!("no number: {version}"))?,
            routes: vec![Route {
                name: "cues".to_owned(),
                host: HOST.to_owned(),
                path_prefix: "/cues/".to_owned(),
                kind: CallKind::Idempotent,
                timeout_ms: 1_500,
                goal_ms: 300,
                event_gap_goal_ms: None,
                priority: 0,
                targets: vec![Target { service: "booth".into(), weight: 1 }],
                max_attempts: 1,
                public: false,
                allowed_regions: None,
            }],
            services: vec![Service {
                name: "booth".into(),
                max_connections: 8,
                spec: ServiceSpec::Plain,
                cold: None,
            }],
            customers: Some(vec![Customer {
                name: "office".into(),
                keys: keys.split(' ').map(str::to_owned).collect(),
                priority: None,
                isolated: false,
                allowed_regions: None,
            }]),
            limits: CallerLimits {
                header_bytes: 16_384,
                body_bytes: 65_536,
                header_timeout_ms: 3_000,
                idle_timeout_ms: 15_000,
            },
        })
    }
}

/// A cluster whose tasks run on a thread of their own, as those of an entry node do.
struct TestCluster {
    cluster: ClusterHandle,
    runtime: Handle,
}

impl TestCluster {
    fn start() -> Self {
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            let cluster = runtime.block_on(start_cluster());
            sender.send(Self { cluster, runtime: runtime.handle().clone() }).unwrap();
            runtime.block_on(std::future::pending::<()>());
        });
        receiver.recv().unwrap()
    }

    /// Commits a command and blocks this thread until a configuration with it is confirmed, so that no task of this thread runs
    /// meanwhile.
    fn commit_while_blocked(&self, command: Command, is_in: impl Fn(&ConfigView) -> bool) {
        let (started, proposer) = (Instant::now(), self.cluster.clone());
        self.runtime.spawn(async move { proposer.propose(command).await.unwrap() });
        let is_confirmed = || {
            is_in(&self.cluster.view().borrow())
                && self.cluster.config_age().is_some_and(|age| age < started.elapsed())
        };
        while !is_confirmed() {
            assert!(started.elapsed() < LIMIT, "the command is not in force");
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    fn publish_while_blocked(&self, version: u64, body: &str) {
        let command = Command::PublishDocument(PublishDocument { version, body: body.as_bytes().to_vec() });
        self.commit_while_blocked(command, |view| {
            view.document.as_ref().is_some_and(|document| document.version == version)
        });
    }
}

/// Starts a cluster whose only node leads it.
async fn start_cluster() -> ClusterHandle {
    let config = ClusterConfig {
        name: "alone".into(),
        zone: "z1".into(),
        data_dir: None,
        peer_listen: ([127, 0, 0, 1], 0).into(),
        peers: Vec::new(),
        bootstrap_voters: vec!["alone".into()],
        bootstrap: true,
        trust_disk: true,
        names_are_addresses: false,
        target_voters: None,
        secret: "test".to_owned(),
    };
    let (cluster, _) = Cluster::start(config).await.unwrap();
    let started = Instant::now();
    while cluster.propose(Command::Noop).await.is_err() {
        assert!(started.elapsed() < LIMIT, "no leader");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    cluster
}

fn gateway(cluster: &ClusterHandle) -> Rc<Gateway> {
    let bounds = Bounds {
        max_config_age: Duration::from_secs(4),
        retry_budget: RetryBudgetPolicy { ratio: 0.1, window_ms: 1_000, slack: 1.0 },
        shutdown_timeout: Duration::from_secs(1),
        order_lease: Duration::from_secs(1),
        rollout_limit: Duration::from_secs(1),
        cold: ColdBounds::default(),
        memory_bytes: 1 << 30,
        max_connections: 16,
        stream_limits: StreamLimits::default(),
    };
    let regions = Regions { zones: ZoneRegions::default(), own_zone: "z1".into() };
    let metrics = GatewayMetrics::new(&ClusterMetrics::default());
    let routing = RoutingState::new(cluster.clone(), Arc::new(KeyList));
    let upstreams = Upstreams::new("z1".into());
    Rc::new(Gateway::new(Arc::new(NoHeaders), routing, bounds, upstreams, regions, None, metrics))
}

fn entry(id: &str, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        started_unix_ms: 1,
        service: "booth".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        slots: 8,
        draining: false,
        loading: false,
        models: BTreeMap::new(),
    }
}

/// Runs a test with a gateway that follows a cluster and has the document `1 key-1 key-2`.
async fn with_gateway(test: impl FnOnce(&TestCluster, &Gateway)) {
    let cluster = TestCluster::start();
    let run = async {
        let gateway = gateway(&cluster.cluster);
        tokio::task::spawn_local(gateway.routing.clone().follow(|_| ()));
        cluster.publish_while_blocked(1, "1 key-1 key-2");
        while gateway.routing.table().is_none() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        assert!(gateway.admit(HOST, PATH, Some("key-1")).is_ok());
        test(&cluster, &gateway);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a request that the routing table of an older configuration admits once a newer one is confirmed, because the
/// task that replaces the table has not run yet: after a freeze, requests are ready on its thread before it.
#[tokio::test]
async fn key_that_the_confirmed_configuration_lacks_is_refused_before_the_table_was_followed() {
    with_gateway(|cluster, gateway| {
        cluster.publish_while_blocked(2, "2 key-2");
        let refusal = gateway.admit(HOST, PATH, Some("key-1")).expect_err("the key was taken away");
        assert_eq!(refusal.code, ResultCode::TokenUnknown);
        assert!(gateway.admit(HOST, PATH, Some("key-2")).is_ok(), "the newest table is known");
    })
    .await;
}

/// Guards against an older routing table that counts as fresh because a newer configuration is confirmed whose document this
/// build cannot read.
#[tokio::test]
async fn confirmation_of_an_unreadable_document_does_not_make_the_older_table_fresh() {
    with_gateway(|cluster, gateway| {
        cluster.publish_while_blocked(2, "unreadable");
        let refusal = gateway.admit(HOST, PATH, Some("key-1")).expect_err("the key may have been taken away");
        assert_eq!(refusal.code, ResultCode::NoQuorum);
        cluster.publish_while_blocked(3, "3 key-1");
        assert!(gateway.admit(HOST, PATH, Some("key-1")).is_ok(), "the next document can be read");
    })
    .await;
}

/// Guards against a request that goes to a zone whose evacuation is confirmed, because the task that puts evacuations in force has
/// not run yet.
#[tokio::test]
async fn evacuation_is_in_force_for_the_next_request_before_it_was_followed() {
    with_gateway(|cluster, gateway| {
        gateway.upstreams.replace(&[entry("a", "north"), entry("b", "south")]);
        let mark = zone_mark(&"south".into());
        let set = SetDrain { change: "change-1".into(), upstream: mark.clone(), draining: true };
        cluster.commit_while_blocked(Command::SetDrain(set), |view| view.draining.contains(&mark));
        assert!(gateway.admit(HOST, PATH, Some("key-1")).is_ok());
        let accepting = gateway.upstreams.accepting(&"booth".into());
        let ids: Vec<&str> = accepting.iter().map(|upstream| upstream.entry.id.as_str()).collect();
        assert_eq!(ids, ["a"]);
    })
    .await;
}
