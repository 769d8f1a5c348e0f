//! Malformed, oversized and truncated input of callers is refused with a result code, and nothing runs.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use awc::Client;
use daisysill_testkit::{caller::send_prompt, deployment::Deployment, deployment_config::DeploymentConfig};
use daisysill_wire::http_types::ErrorBody;

const NODE: &str = "sathorn-1";

async fn start() -> Deployment {
    let deployment = Deployment::start(DeploymentConfig::small());
    deployment.wait_until_ready().await;
    deployment
}

async fn post(deployment: &Deployment, path: &str, body: Vec<u8>) -> (u16, Option<ErrorBody>) {
    let url = format!("{}{path}", deployment.caller_url(NODE));
    let request = Client::default().post(url).bearer_auth(DeploymentConfig::token("opera-a"));
    let mut response = request.send_body(body).await.unwrap();
    let status = response.status().as_u16();
    (status, serde_json::from_slice(&response.body().await.unwrap_or_default()).ok())
}

/// Guards against a body that crashes the node, runs at an upstream or is refused without a result code.
#[actix_rt::test]
async fn malformed_bodies_are_refused_with_their_code() {
    let deployment = start().await;
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let cases: Vec<(&str, Vec<u8>, u32)> = vec![
        ("/v1/completions", b"".to_vec(), 1201),
        ("/v1/completions", b"{\"model\": \"lyric-llm\"}".to_vec(), 1201),
        ("/v1/completions", b"{\"model\": \"lyric-llm\", \"prompt\": \"\xff\"}".to_vec(), 1201),
        (
            "/v1/completions",
            b"{\"model\": \"lyric-llm\", \"prompt\": \"a\", \"max_tokens\": -1}".to_vec(),
            1201,
        ),
        ("/v1/completions", deep.into_bytes(), 1201),
        ("/v1/chat/completions", b"{\"model\": \"lyric-llm\", \"messages\": 7}".to_vec(), 1201),
        ("/v1/completions", b"{\"model\": \"nobody\", \"prompt\": \"a\"}".to_vec(), 1204),
        ("/v1/completions", vec![b' '; 9_000_000], 1202),
        ("/v2/completions", b"{}".to_vec(), 1205),
        ("/services/nobody/x", b"{}".to_vec(), 1205),
    ];
    for (path, body, code) in cases {
        let excerpt = String::from_utf8_lossy(&body[..body.len().min(60)]).into_owned();
        let (status, refusal) = post(&deployment, path, body).await;
        let error = refusal
            .unwrap_or_else(|| panic!("{path} {excerpt}: status {status} without a result code"))
            .error;
        assert_eq!((error.code, error.run_state.as_str()), (code, "not_run"), "{path} {excerpt}");
        assert!((400..500).contains(&status), "{path} {excerpt}: {status}");
    }
    let runs = deployment.upstreams.engines.values().map(|engine| engine.records().runs.len()).sum::<usize>();
    assert_eq!(runs, 0);
    assert!(send_prompt(&deployment, NODE, "still there", 3).await.matches_expected("still there", 3));
}

/// Guards against a truncated request that runs, or that keeps its connection open for ever.
#[actix_rt::test]
async fn truncated_requests_do_not_run() {
    let deployment = start().await;
    let address = deployment.node(NODE).addresses.caller;
    let token = DeploymentConfig::token("opera-a");
    let head = format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n");
    let body = "content-length: 500\r\n\r\n{\"model\": \"lyric-llm\", \"prompt\": \"a\"}";
    for text in [format!("{head}{body}"), head, "GARBAGE\r\n\r\n".to_owned()] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).unwrap();
        let response = String::from_utf8_lossy(&response).into_owned();
        assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert_eq!(deployment.upstreams.engines["lyric-llm-1"].records().runs.len(), 0);
    assert!(send_prompt(&deployment, NODE, "still there", 3).await.matches_expected("still there", 3));
}

/// Guards against a caller that sends no complete headers and keeps its connection open for ever.
#[actix_rt::test]
async fn a_caller_with_incomplete_headers_is_disconnected() {
    let deployment = start().await;
    let mut stream = TcpStream::connect(deployment.node(NODE).addresses.caller).unwrap();
    stream.write_all(b"POST /v1/completions HTTP/1.1\r\n").unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    assert!(!response.starts_with(b"HTTP/1.1 200"));
}
