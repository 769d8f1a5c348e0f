//! A planned stop (SIGTERM) of a daisysilld process, as its callers see it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use awc::Client;
use daisysill_testkit::{
    deployment::Deployment,
    deployment_config::DeploymentConfig,
    engine::{Engine, EngineConfig},
    environment::{Environment, NodeProcess},
    platform::Platform,
};
use daisysill_wire::http_types::InstanceKind;
use serde_json::{Value, json};

const TOKEN: &str = "opera-a-token";

async fn wait_until_live(environment: &Environment, node: &NodeProcess) {
    let url = format!("http://{}/admin/v1/status", node.addresses.admin);
    for _ in 0..500 {
        let status: Value = Client::default().get(&url).send().await.unwrap().json().await.unwrap();
        if status["upstreams"][0]["state"] == "live" && status["life_cycle"] == "ready" {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the engine did not become live\n{}", environment.log("sathorn-1"));
}

async fn complete(node: &NodeProcess, tokens: u64, stream: bool) -> (u16, String) {
    let url = format!("http://{}/v1/completions", node.addresses.caller);
    let body = json!({"model": "lyric-llm", "prompt": "la", "max_tokens": tokens, "stream": stream});
    let request = Client::default().post(url).bearer_auth(TOKEN).timeout(Duration::from_secs(30));
    let mut response = request.send_json(&body).await.unwrap();
    let text = response.body().await.unwrap();
    (response.status().as_u16(), String::from_utf8(text.to_vec()).unwrap())
}

/// Guards against a stop that cuts a stream, refuses requests within the balancer's notice time, loses the last
/// spans, or does not exit with success.
#[actix_rt::test]
async fn a_planned_stop_interrupts_no_request() {
    let (environment, platform) = (Environment::new(), Platform::start());
    let engine = Engine::start(EngineConfig { token_ms: 10, ..EngineConfig::default() });
    platform.add(InstanceKind::Engine, "lyric-llm", "lyric-1", "bkk-sathorn", &engine.url());
    let digest = blake3::hash(TOKEN.as_bytes()).to_hex();
    let mut node = environment.start_node(
        "sathorn-1",
        &format!(
            "[node]\nname = sathorn-1\navailability_zone = bkk-sathorn\ncaller_listen = 127.0.0.1:0\n\
             admin_listen = 127.0.0.1:0\nready_file = READY_FILE\nbalancer_notice_ms = 500\ntrace_file = {}\n\
             [cluster]\npeer_listen = 127.0.0.1:0\nsecret = test\nbootstrap_voters = sathorn-1\n\
             [platform]\nurl = {}\npoll_ms = 50\n[service.lyric-llm]\nkind = model\npoll_ms = 50\n\
             [customer.opera-a]\ntoken_digest = {digest}\nservices = lyric-llm\n",
            environment.path().join("traces.jsonl").display(),
            platform.url()
        ),
    );
    wait_until_live(&environment, &node).await;
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        node.signal("TERM");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let url = format!("http://{}/readyz", node.addresses.admin);
        let ready_status = Client::default().get(url).send().await.unwrap().status().as_u16();
        (ready_status, complete(&node, 3, false).await.0)
    };
    let ((status, text), (ready_status, late_status)) =
        futures::future::join(complete(&node, 200, true), stop).await;
    assert_eq!((ready_status, late_status), (503, 200));
    assert_eq!(status, 200);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(node.wait(Duration::from_secs(20)), Some(0));
    let traces = std::fs::read_to_string(environment.path().join("traces.jsonl")).unwrap();
    assert_eq!(traces.matches("\"name\":\"request\"").count(), 2, "{traces}");
    assert!(traces.ends_with('\n'));
}

/// Guards against a stop that aborts a claimed request because its caller has disconnected.
#[actix_rt::test]
async fn a_planned_stop_waits_for_a_claimed_request_without_a_caller() {
    let mut config = DeploymentConfig::small();
    config.extra_node_settings = "balancer_notice_ms = 0\n".to_owned();
    let mut deployment = Deployment::start(config);
    deployment.wait_until_live().await;
    let rules = "[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire\n";
    assert!(deployment.publish("sathorn-1", &[("booth.ini", rules)]).await);

    deployment.upstreams.plain["booth-app-1"].set_delay_ms(2_000);
    let started = Instant::now();
    let url = format!("{}/services/booth-app/cues/7/fire", deployment.caller_url("sathorn-1"));
    let request = Client::default().post(url).bearer_auth(TOKEN).insert_header(("idempotency-key", "k"));
    let response = actix_rt::time::timeout(Duration::from_millis(500), request.send_body("cue 7")).await;
    assert!(response.is_err());
    assert_eq!(deployment.upstreams.plain["booth-app-1"].runs("cue 7"), 1);
    assert_eq!(deployment.stop("sathorn-1", Duration::from_secs(20)), Some(0));
    assert!(started.elapsed() >= Duration::from_secs(2), "{:?}", started.elapsed());
}
