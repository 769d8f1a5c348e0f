//! Restored KV blocks, crashing prompts, silent connections and weight loading through a daisysilld process.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use awc::Client;
use daisysill_testkit::{
    engine::{Engine, EngineConfig, expected_text},
    environment::{Environment, NodeProcess},
    platform::Platform,
    store::{Store, StoreConfig},
};
use daisysill_wire::http_types::InstanceKind;
use serde_json::{Value, json};

const TOKEN: &str = "opera-a-token";
const RULES: &str = "[service]\nname = lyric-llm\n[rest]\naccelerator_s = 4\n\
     [costs]\nrecompute_weight_us = 1000\n[deadlines]\nprogress_ms = 500\n[retries]\nmax_attempts = 4\n";

struct Deployment {
    environment: Environment,
    node: NodeProcess,
    engines: Vec<Engine>,
    store: Store,
    _platform: Platform,
}

impl Deployment {
    async fn start(engines: usize) -> Self {
        let (environment, platform) = (Environment::new(), Platform::start());
        let config = EngineConfig {
            token_ms: 10,
            piece_tokens: 100,
            piece_bytes: 10_000,
            crash_marker: "poison".to_owned(),
            crash_down_ms: 60_000,
            ..EngineConfig::default()
        };
        let engines: Vec<Engine> = (0..engines).map(|_| Engine::start(config.clone())).collect();
        for (index, engine) in engines.iter().enumerate() {
            let id = format!("lyric-{index}");
            platform.add(InstanceKind::Engine, "lyric-llm", &id, "bkk-sathorn", &engine.url());
        }
        let store = Store::start(StoreConfig::default());
        platform.add(InstanceKind::Store, "score-cache", "score-1", "bkk-sathorn", &store.url());
        let digest = blake3::hash(TOKEN.as_bytes()).to_hex();
        let settings = format!(
            "[node]\nname = sathorn-1\navailability_zone = bkk-sathorn\ncaller_listen = 127.0.0.1:0\n\
             admin_listen = 127.0.0.1:0\nready_file = READY_FILE\n\
             [cluster]\npeer_listen = 127.0.0.1:0\nsecret = test\nbootstrap_voters = sathorn-1\n\
             [platform]\nurl = {}\npoll_ms = 50\n\
             [service.lyric-llm]\nkind = model\npoll_ms = 50\npiece_tokens = 100\npiece_bytes = 10000\n\
             [service.score-cache]\nkind = store\n\
             [customer.opera-a]\ntoken_digest = {digest}\nservices = lyric-llm\n",
            platform.url()
        );
        let node = environment.start_node("sathorn-1", &settings);
        let deployment = Self { environment, node, engines, store, _platform: platform };
        let live = deployment.engines.len() + 1;
        deployment.wait_until_live(live).await;
        deployment.environment.write("rules/lyric.ini", RULES);
        let folder = deployment.environment.path().join("rules").display().to_string();
        let output = deployment.environment.cli(&deployment.node, &["publish", "--wait", &folder]);
        assert!(output.status.success(), "{output:?}");
        deployment
    }

    async fn wait_until_live(&self, count: usize) {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let status: Value = serde_json::from_str(&self.admin("/admin/v1/status").await).unwrap();
            let listed = status["upstreams"].as_array().unwrap().iter();
            if listed.filter(|u| u["state"] == "live").count() == count && status["life_cycle"] == "ready" {
                return;
            }
            assert!(Instant::now() < deadline, "{status}\n{}", self.environment.log("sathorn-1"));
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn admin(&self, path: &str) -> String {
        let url = format!("http://{}{path}", self.node.addresses.admin);
        let body = Client::default().get(url).send().await.unwrap().body().limit(1 << 24).await.unwrap();
        String::from_utf8(body.to_vec()).unwrap()
    }

    async fn metric(&self, name: &str) -> u64 {
        let text = self.admin("/metrics").await;
        let line = text.lines().find(|line| line.starts_with(&format!("daisysill_{name} "))).unwrap();
        line.rsplit(' ').next().unwrap().parse().unwrap()
    }

    async fn complete(&self, prompt: &str, tokens: u64) -> Value {
        let url = format!("http://{}/v1/completions", self.node.addresses.caller);
        let body = json!({"model": "lyric-llm", "prompt": prompt, "max_tokens": tokens});
        let request = Client::default().post(url).bearer_auth(TOKEN).timeout(Duration::from_secs(30));
        request.send_json(&body).await.unwrap().json().await.unwrap()
    }
}

/// Guards against a cached prefix that is lost once an engine evicts it, and against damaged blocks that are used
/// or that fail the request.
#[actix_rt::test]
async fn evicted_pieces_are_restored_and_damaged_blocks_are_recomputed() {
    let deployment = Deployment::start(1).await;
    let (engine, prompt) = (&deployment.engines[0], "la la ".repeat(400));
    let expected = expected_text(&prompt, 3);
    assert_eq!(deployment.complete(&prompt, 3).await["choices"][0]["text"], expected);
    let deadline = Instant::now() + Duration::from_secs(10);
    while deployment.store.sealed_blocks() < 6 {
        assert!(Instant::now() < deadline, "{} blocks sealed", deployment.store.sealed_blocks());
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    // The node still has to receive the reply to the export and the cache events.
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    engine.evict_all();
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let response = deployment.complete(&prompt, 3).await;
    assert_eq!(response["choices"][0]["text"], expected);
    let explain = deployment.admin("/admin/v1/explain").await;
    assert_eq!(response["usage"]["cached_tokens"], 600, "{explain}");
    assert_eq!(deployment.metric("restored_bytes_total").await, 60_000);

    deployment.store.damage_blocks();
    engine.evict_all();
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let response = deployment.complete(&prompt, 3).await;
    assert_eq!(
        (&response["choices"][0]["text"], &response["usage"]["cached_tokens"]),
        (&json!(expected), &json!(0))
    );
    let reads = engine.records().block_reads;
    assert_eq!(reads.iter().filter(|read| read.used).count(), 6);
    assert!(reads.iter().any(|read| !read.used));
}

/// Guards against one request that crashes every engine, and against a block that also hits other requests.
#[actix_rt::test]
async fn a_request_that_crashes_engines_is_blocked_after_two() {
    let deployment = Deployment::start(4).await;
    let refused = deployment.complete("poison", 5).await;
    let crashes: u64 = deployment.engines.iter().map(|engine| engine.records().crashes).sum();
    assert_eq!((&refused["error"]["code"], crashes), (&json!(1307), 2), "{refused}");
    assert_eq!(deployment.complete("poison", 5).await["error"]["code"], 1307);
    assert_eq!(deployment.complete("la", 2).await["choices"][0]["text"], expected_text("la", 2));
    let crashes: u64 = deployment.engines.iter().map(|engine| engine.records().crashes).sum();
    assert_eq!(crashes, 2);
}

/// Guards against a stream that hangs, or whose engine is treated as failed, because its connection lost its state:
/// it carries no more data while new connections work.
#[actix_rt::test]
async fn a_stream_on_a_silent_connection_continues_over_a_new_one() {
    let deployment = Deployment::start(1).await;
    let silence = async {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        deployment.engines[0].proxy().silence_existing();
    };
    let (response, ()) = futures::future::join(deployment.complete("la la", 100), silence).await;
    assert_eq!(response["choices"][0]["text"], expected_text("la la", 100), "{response}");
    assert_eq!(deployment.metric("silent_connections_total").await, 1);
}

/// Guards against a target version that engines never load, and against orders without a fencing number.
#[actix_rt::test]
async fn every_engine_loads_the_target_version() {
    let deployment = Deployment::start(3).await;
    let output = deployment.environment.cli(&deployment.node, &["weights", "lyric-llm", "0", "2"]);
    assert!(output.status.success(), "{output:?}");
    let deadline = Instant::now() + Duration::from_secs(40);
    while deployment.engines.iter().any(|engine| engine.weight_version() != 2) {
        assert!(Instant::now() < deadline, "{}", deployment.environment.log("sathorn-1"));
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let orders: Vec<_> = deployment.engines.iter().flat_map(|engine| engine.records().orders).collect();
    assert_eq!(orders.len(), 3, "{orders:?}");
    assert!(orders.iter().all(|order| order.fencing > 0 && order.accepted), "{orders:?}");
    let response = deployment.complete("la", 1).await;
    assert!(response["choices"][0]["text"].as_str().unwrap().contains("v2."), "{response}");
}
