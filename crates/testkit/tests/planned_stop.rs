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
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

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

/// Sends a call to the plain service; returns its status, its result code and its run state.
async fn call_plain(deployment: &Deployment, path: &str, key: &str) -> (u16, u64, String) {
    let url = format!("{}/services/booth-app{path}", deployment.caller_url("sathorn-1"));
    let request = Client::default().post(url).bearer_auth(TOKEN).insert_header(("idempotency-key", key));
    let mut response = request.timeout(Duration::from_secs(20)).send_body("cue 7").await.unwrap();
    let status = response.status().as_u16();
    let (code, run_state) = error_of(&response.body().await.unwrap());
    (status, code, run_state)
}

/// Returns the result code and the run state in the body of a refusal.
fn error_of(body: &[u8]) -> (u64, String) {
    let body: Value = serde_json::from_slice(body).unwrap();
    let error = &body["error"];
    (error["code"].as_u64().unwrap(), error["run_state"].as_str().unwrap().to_owned())
}

/// Starts a deployment whose node stops within two seconds, and in which `/cues/*/fire` may run at most once.
async fn start_with_short_stop() -> Deployment {
    let mut config = DeploymentConfig::small();
    config.extra_node_settings.push_str("balancer_notice_ms = 0\nstop_timeout_s = 2\n");
    config.engine.token_ms = 100;
    let deployment = Deployment::start(config);
    deployment.wait_until_live().await;
    let rules = "[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire\n";
    assert!(deployment.publish("sathorn-1", &[("booth.ini", rules)]).await);
    deployment
}

/// Guards against a planned stop that cuts requests which last longer than it waits, without an answer: their callers
/// were not told whether they may have run.
#[actix_rt::test]
async fn requests_that_a_planned_stop_cannot_finish_get_an_answer() {
    let mut deployment = start_with_short_stop().await;
    deployment.upstreams.plain["booth-app-1"].set_delay_ms(15_000);
    let node = deployment.node("sathorn-1");
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        node.signal("TERM");
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        node.signal("TERM");
    };
    let (idempotent, claimed, whole, streamed, ()) = futures::join!(
        call_plain(&deployment, "/score", "k1"),
        call_plain(&deployment, "/cues/7/fire", "k2"),
        complete_at(&deployment, false),
        complete_at(&deployment, true),
        stop
    );
    assert_eq!(idempotent, (502, 1401, "may_have_run".to_owned()));
    assert_eq!(claimed, (409, 1403, "may_have_run".to_owned()));
    assert_eq!(whole.0, 502, "{whole:?}");
    assert_eq!(error_of(whole.1.as_bytes()), (1401, "may_have_run".to_owned()));
    assert_eq!(streamed.0, 200, "{streamed:?}");
    let last = streamed.1.trim_end().rsplit("data: ").next().unwrap();
    assert_eq!(error_of(last.as_bytes()), (1401, "may_have_run".to_owned()));
    assert_eq!(deployment.wait_for_end("sathorn-1", Duration::from_secs(10)).await, Some(0));
}

/// Sends a prompt whose response takes longer than the stop.
async fn complete_at(deployment: &Deployment, stream: bool) -> (u16, String) {
    complete(deployment.node("sathorn-1"), 100, stream).await
}

/// Guards against a planned stop that cuts a request whose body is still arriving: it has not run.
#[actix_rt::test]
async fn request_that_is_still_arriving_is_refused_at_the_end_of_a_planned_stop() {
    let mut deployment = start_with_short_stop().await;
    let address = deployment.node("sathorn-1").addresses.caller;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /services/booth-app/cues/7/fire HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TOKEN}\r\n\
         idempotency-key: k\r\nContent-Length: 5\r\n\r\ncu"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    deployment.node("sathorn-1").signal("TERM");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").expect("the request was cut without an answer");
    assert!(head.starts_with("HTTP/1.1 503 ") && head.contains("retry-after: "), "{answer}");
    assert_eq!(error_of(body.as_bytes()), (1306, "not_run".to_owned()));
    assert_eq!(deployment.wait_for_end("sathorn-1", Duration::from_secs(10)).await, Some(0));
}
