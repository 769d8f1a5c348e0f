//! Requests end to end: caller, daisysilld process, upstream and back.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use awc::Client;
use daisysill_testkit::{deployment::Deployment, deployment_config::DeploymentConfig, engine::expected_text};
use serde_json::{Value, json};

const TOKEN: &str = "opera-a-token";
const NODE: &str = "sathorn-1";

async fn start() -> Deployment {
    let deployment = Deployment::start(DeploymentConfig::small());
    deployment.wait_until_live().await;
    deployment
}

async fn post(deployment: &Deployment, path: &str, body: &Value) -> (u16, Vec<u8>) {
    let request = Client::default().post(format!("{}{path}", deployment.caller_url(NODE)));
    let request = request.bearer_auth(TOKEN).timeout(Duration::from_secs(20));
    let mut response = request.send_json(body).await.unwrap();
    (response.status().as_u16(), response.body().await.unwrap().to_vec())
}

/// Guards against a failure anywhere on the path from a caller through a node to an engine and back.
#[actix_rt::test]
async fn a_prompt_gets_its_complete_response() {
    let deployment = start().await;
    let body = json!({"model": "lyric-llm", "prompt": "la la", "max_tokens": 5});
    let (status, response) = post(&deployment, "/v1/completions", &body).await;
    let response: Value = serde_json::from_slice(&response).unwrap();
    assert_eq!(status, 200, "{response}");
    assert_eq!(response["choices"][0]["text"], expected_text("la la", 5));
    assert_eq!(deployment.upstreams.engines["lyric-llm-1"].completed(), 1);
}

/// Guards against streams that lose or repeat events, or lack the end mark.
#[actix_rt::test]
async fn a_streamed_chat_ends_with_its_end_mark() {
    let deployment = start().await;
    let message = json!({"role": "user", "content": "hello"});
    let body = json!({"model": "lyric-llm", "messages": [message], "max_tokens": 3, "stream": true});
    let (status, response) = post(&deployment, "/v1/chat/completions", &body).await;
    let text = String::from_utf8(response).unwrap();
    assert_eq!(status, 200);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(text.matches("\"content\"").count(), 3, "{text}");
}

/// Guards against a cue that fires twice when its caller resends it.
#[actix_rt::test]
async fn a_resent_cue_runs_once_and_gets_the_stored_response() {
    let deployment = start().await;
    let rules = "[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire\n";
    assert!(deployment.publish(NODE, &[("booth.ini", rules)]).await);

    let mut responses = Vec::new();
    for _ in 0..2 {
        let request =
            Client::default().post(format!("{}/services/booth-app/cues/7/fire", deployment.caller_url(NODE)));
        let request = request.bearer_auth(TOKEN).insert_header(("idempotency-key", "k1"));
        let mut response = request.send_body("cue 7").await.unwrap();
        responses.push((response.status().as_u16(), response.body().await.unwrap()));
    }
    assert_eq!(responses[0], responses[1]);
    assert_eq!(deployment.upstreams.plain["booth-app-1"].runs("cue 7"), 1);
}

/// Guards against refusals without a result code, and against serving callers that send no token.
#[actix_rt::test]
async fn refusals_carry_their_result_code() {
    let deployment = start().await;
    let no_token = Client::default()
        .post(format!("{}/v1/completions", deployment.caller_url(NODE)))
        .send_body("{}")
        .await
        .unwrap();
    assert_eq!(no_token.headers().get("x-daisysill-result-code").unwrap(), "1101");
    let (status, body) = post(&deployment, "/v1/completions", &json!({"model": "other", "prompt": ""})).await;
    let body: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(
        (status, &body["error"]["code"], &body["error"]["run_state"]),
        (404, &json!(1204), &json!("not_run"))
    );
}
