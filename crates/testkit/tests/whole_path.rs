//! A request is served end to end through a real daisysilld process.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use awc::Client;
use daisysill_testkit::{
    engine::{Engine, EngineConfig, expected_text},
    environment::{Environment, NodeProcess},
    plain::PlainService,
    platform::Platform,
};
use daisysill_wire::border::InstanceKind;
use serde_json::{Value, json};

const TOKEN: &str = "opera-a-token";

struct Deployment {
    environment: Environment,
    engine: Engine,
    plain: PlainService,
    _platform: Platform,
    node: NodeProcess,
}

impl Deployment {
    fn start() -> Self {
        let (environment, platform) = (Environment::new(), Platform::start());
        let (engine, plain) = (Engine::start(EngineConfig::default()), PlainService::start());
        platform.add(InstanceKind::Engine, "lyric-llm", "lyric-1", "bkk-sathorn", &engine.url());
        platform.add(InstanceKind::Plain, "booth-app", "booth-1", "bkk-sathorn", &plain.url());
        let node = environment.start_node("sathorn-1", &settings(&platform.url()));
        Self { environment, engine, plain, _platform: platform, node }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.node.addresses.caller)
    }

    async fn wait_for_upstreams(&self) {
        let url = format!("http://{}/admin/v1/status", self.node.addresses.admin);
        for _ in 0..500 {
            let status: Value = Client::default().get(&url).send().await.unwrap().json().await.unwrap();
            let live =
                status["upstreams"].as_array().unwrap().iter().filter(|u| u["state"] == "live").count();
            if live == 2 && status["life_cycle"] == "ready" {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("upstreams are not live\n{}", self.environment.log("sathorn-1"));
    }

    async fn post(&self, path: &str, body: &Value) -> (u16, Vec<u8>) {
        let request =
            Client::default().post(self.url(path)).bearer_auth(TOKEN).timeout(Duration::from_secs(20));
        let mut response = request.send_json(body).await.unwrap();
        (response.status().as_u16(), response.body().await.unwrap().to_vec())
    }
}

fn settings(platform: &str) -> String {
    let digest = blake3::hash(TOKEN.as_bytes()).to_hex();
    format!(
        "[node]\nname = sathorn-1\navailability_zone = bkk-sathorn\ncaller_listen = 127.0.0.1:0\n\
         admin_listen = 127.0.0.1:0\nready_file = READY_FILE\n\
         [cluster]\npeer_listen = 127.0.0.1:0\nsecret = test\nbootstrap_voters = sathorn-1\n\
         [platform]\nurl = {platform}\npoll_ms = 50\n\
         [service.lyric-llm]\nkind = model\npoll_ms = 50\n[service.booth-app]\nkind = plain\n\
         [customer.opera-a]\ntoken_digest = {digest}\nservices = lyric-llm, booth-app\n"
    )
}

/// Guards against any break in the path from a caller through a node to an engine and back.
#[actix_rt::test]
async fn a_prompt_is_answered_whole() {
    let deployment = Deployment::start();
    deployment.wait_for_upstreams().await;
    let body = json!({"model": "lyric-llm", "prompt": "la la", "max_tokens": 5});
    let (status, answer) = deployment.post("/v1/completions", &body).await;
    let answer: Value = serde_json::from_slice(&answer).unwrap();
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["choices"][0]["text"], expected_text("la la", 5));
    assert_eq!(deployment.engine.completed(), 1);
}

/// Guards against streams that lose, repeat or fail to end their events.
#[actix_rt::test]
async fn a_streamed_chat_ends_with_done() {
    let deployment = Deployment::start();
    deployment.wait_for_upstreams().await;
    let message = json!({"role": "user", "content": "hello"});
    let body = json!({"model": "lyric-llm", "messages": [message], "max_tokens": 3, "stream": true});
    let (status, answer) = deployment.post("/v1/chat/completions", &body).await;
    let text = String::from_utf8(answer).unwrap();
    assert_eq!(status, 200);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(text.matches("\"content\"").count(), 3, "{text}");
}

/// Guards against a cue that fires twice when its caller resends it.
#[actix_rt::test]
async fn a_resent_cue_runs_once_and_gets_the_stored_answer() {
    let deployment = Deployment::start();
    deployment.wait_for_upstreams().await;
    let rules = "[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire\n";
    deployment.environment.write("rules/booth.ini", rules);
    let folder = deployment.environment.path().join("rules").display().to_string();
    let output = deployment.environment.cli(&deployment.node, &["publish", "--wait", &folder]);
    assert!(output.status.success(), "{output:?}");

    let mut answers = Vec::new();
    for _ in 0..2 {
        let request = Client::default().post(deployment.url("/services/booth-app/cues/7/fire"));
        let request = request.bearer_auth(TOKEN).insert_header(("idempotency-key", "k1"));
        let mut response = request.send_body("cue 7").await.unwrap();
        answers.push((response.status().as_u16(), response.body().await.unwrap()));
    }
    assert_eq!(answers[0], answers[1]);
    assert_eq!(deployment.plain.runs("cue 7"), 1);
}

/// Guards against refusals without a result code, and against serving callers without a token.
#[actix_rt::test]
async fn refusals_carry_their_result_code() {
    let deployment = Deployment::start();
    let no_token = Client::default().post(deployment.url("/v1/completions")).send_body("{}").await.unwrap();
    assert_eq!(no_token.headers().get("x-daisysill-result-code").unwrap(), "1101");
    let (status, body) = deployment.post("/v1/completions", &json!({"model": "other", "prompt": ""})).await;
    let body: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(
        (status, &body["error"]["code"], &body["error"]["run_state"]),
        (404, &json!(1204), &json!("not_run"))
    );
}
