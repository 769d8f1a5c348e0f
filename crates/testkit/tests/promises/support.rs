//! Shared helpers: deployments, network partitions, requests to plain services, published rules.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use actix_web::web::Bytes;
use awc::Client;
use daisysill_testkit::{
    caller::{PromptOutcome, PromptRequest, prompt},
    deployment::Deployment,
    deployment_config::DeploymentConfig,
    engine::expected_text_of,
    proxy::{Direction, DirectionFaults},
};
use daisysill_wire::http_types::InstanceKind;
use serde_json::{Value, json};

/// Rules that make firing a cue a non-idempotent request.
pub(crate) const CUE_RULES: &str = "[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire\n";
/// Time in which published rules are in force on every node at today's size (P9).
pub(crate) const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Tokens of each response.
const TOKENS: u32 = 20;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// The traffic between a node and all others that a partition holds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Partition {
    Both,
    Inbound,
    Outbound,
}

/// The response to a caller or an operator.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    /// 0 if no response came.
    pub status: u16,
    pub code: u64,
    pub run_state: String,
    pub retry_after_ms: Option<u64>,
    pub body: Value,
    pub text: String,
    pub elapsed: Duration,
    /// Value of `x-caller-mark`, by which the plain stand-in records that this request ran.
    pub mark: String,
}

/// Returns nodes in three zones, the first `voters` of them voters, with engines and two plain services.
pub(crate) fn config(nodes: usize, voters: usize, engines: usize) -> DeploymentConfig {
    let mut config = DeploymentConfig::bangkok();
    config.nodes.truncate(nodes);
    for (index, node) in config.nodes.iter_mut().enumerate() {
        node.voter = index < voters;
    }
    let mut remaining = engines;
    config.upstreams.retain(|plan| {
        let is_kept = plan.kind != InstanceKind::Engine || remaining > 0;
        remaining -= usize::from(is_kept && plan.kind == InstanceKind::Engine);
        is_kept && !(plan.kind == InstanceKind::Store && engines == 1)
    });
    config
}

/// Starts nodes with one engine and two plain services.
pub(crate) async fn start(nodes: usize, voters: usize) -> Deployment {
    start_with(config(nodes, voters, 1)).await
}

/// Starts a deployment and waits until its nodes are ready and its engines live.
pub(crate) async fn start_with(config: DeploymentConfig) -> Deployment {
    let deployment = Deployment::start(config);
    deployment.wait_until_live().await;
    deployment
}

/// Waits until a node reports that it leads; returns the leader of the newest term.
pub(crate) async fn leader(deployment: &Deployment) -> String {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let statuses = deployment.statuses().await;
        let leaders = statuses.values().flatten().filter(|status| status.role == "leader");
        if let Some(leader) = leaders.max_by_key(|status| status.term) {
            return leader.name.clone();
        }
        assert!(Instant::now() < deadline, "no leader: {statuses:?}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts (`silent`) or ends a partition between one node and all others.
pub(crate) fn set_partition(deployment: &Deployment, node: &str, partition: Partition, silent: bool) {
    let faults = DirectionFaults { silent, ..DirectionFaults::default() };
    for other in deployment.node_names().iter().filter(|other| *other != node) {
        let (own, others) = (deployment.peer_link(node, other), deployment.peer_link(other, node));
        if partition != Partition::Inbound {
            own.set(Direction::Forward, faults);
            others.set(Direction::Backward, faults);
        }
        if partition != Partition::Outbound {
            own.set(Direction::Backward, faults);
            others.set(Direction::Forward, faults);
        }
    }
}

/// Fires a cue through a node.
pub(crate) async fn fire_cue(deployment: &Deployment, node: &str, key: &str, body: &str) -> Response {
    let url = format!("{}/services/booth-app/cues/7/fire", deployment.caller_url(node));
    fire_cue_at(url, key.to_owned(), body.to_owned()).await
}

/// Fires a cue at a URL, with a mark of its own for the plain stand-in.
pub(crate) async fn fire_cue_at(url: String, key: String, body: String) -> Response {
    static MARKS: AtomicU64 = AtomicU64::new(0);
    let mark = MARKS.fetch_add(1, Ordering::Relaxed).to_string();
    let request = Client::default().post(url).bearer_auth(DeploymentConfig::token("opera-1"));
    let request = request.insert_header(("idempotency-key", key)).timeout(REQUEST_TIMEOUT);
    let request = request.insert_header(("x-caller-mark", mark.clone()));
    send(request.send_body(body), mark).await
}

/// Publishes one rule file through a node.
pub(crate) async fn publish(
    deployment: &Deployment,
    node: &str,
    change: &str,
    base: u64,
    text: &str,
) -> Response {
    let url = format!("http://{}/admin/v1/rules", deployment.node(node).addresses.admin);
    let file = json!({"name": "booth.ini", "text": text});
    let body = json!({"change_id": change, "base_version": base, "files": [file]});
    send(Client::builder().timeout(REQUEST_TIMEOUT).finish().post(url).send_json(&body), String::new()).await
}

async fn send(request: awc::SendClientRequest, mark: String) -> Response {
    let started = Instant::now();
    let (status, bytes) = match request.await {
        Ok(mut response) => (response.status().as_u16(), response.body().await.unwrap_or_default()),
        Err(_) => (0, Bytes::new()),
    };
    let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    Response {
        status,
        code: body["error"]["code"].as_u64().unwrap_or_default(),
        run_state: body["error"]["run_state"].as_str().unwrap_or_default().to_owned(),
        retry_after_ms: body["error"]["retry_after_ms"].as_u64(),
        text: String::from_utf8_lossy(&bytes).into_owned(),
        elapsed: started.elapsed(),
        body,
        mark,
    }
}

/// Publishes the cue rules and waits until they are in force on every running node; returns their version.
pub(crate) async fn publish_cue_rules(deployment: &Deployment) -> u64 {
    publish_first(deployment, CUE_RULES).await
}

/// Publishes the first rules (base version 0) and waits until they are in force; returns their version.
pub(crate) async fn publish_first(deployment: &Deployment, text: &str) -> u64 {
    let node = leader(deployment).await;
    let response = publish(deployment, &node, "first", 0, text).await;
    assert_eq!(response.status, 200, "{response:?}");
    let version = response.body["version"].as_u64().unwrap();
    wait_until_in_force(deployment, version, IN_FORCE_TIMEOUT).await;
    version
}

/// Sets the target version of the model through a node.
pub(crate) async fn set_target_version(deployment: &Deployment, node: &str, base: u64, version: u64) {
    let url = format!("http://{}/admin/v1/weights", deployment.node(node).addresses.admin);
    let (change, service) = (format!("weights-{version}"), &deployment.config.model);
    let body = json!({"change_id": change, "base_version": base, "service": service, "version": version});
    let response = send(Client::default().post(url).send_json(&body), String::new()).await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// Streams a prompt of one customer through a node to its end.
pub(crate) async fn send_prompt_as(
    deployment: &Deployment,
    node: &str,
    customer: &str,
    text: &str,
) -> PromptOutcome {
    let (url, token) = (deployment.caller_url(node), DeploymentConfig::token(customer));
    let (model, deadline) = (deployment.config.model.as_str(), Duration::from_secs(10));
    let request =
        PromptRequest { url: &url, token: &token, model, prompt: text, max_tokens: TOKENS, deadline };
    prompt(&Client::default(), &request).await
}

/// Fails unless the response is complete and has the text of one of these weight versions, unmixed.
pub(crate) fn check_response(outcome: &PromptOutcome, text: &str, versions: &[u64]) {
    let is_expected = versions.iter().any(|v| outcome.text == expected_text_of(text, u64::from(TOKENS), *v));
    assert!(outcome.is_complete && is_expected, "{outcome:?}");
}

/// Returns the rules version that each running node reports; 0 if it does not answer.
pub(crate) async fn rules_versions(deployment: &Deployment) -> Vec<(String, u64)> {
    let statuses = deployment.statuses().await.into_iter();
    statuses.map(|(name, status)| (name, status.map_or(0, |status| status.rules_version))).collect()
}

/// Waits until every running node reports this rules version; fails after the limit.
pub(crate) async fn wait_until_in_force(deployment: &Deployment, version: u64, limit: Duration) {
    let deadline = Instant::now() + limit;
    loop {
        let reported = rules_versions(deployment).await;
        if reported.iter().all(|(_, reported)| *reported == version) {
            return;
        }
        assert!(Instant::now() < deadline, "version {version} is not in force after {limit:?}: {reported:?}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Fails if a request ran twice, or one ran that was refused as `not_run`.
pub(crate) fn check_runs(deployment: &Deployment, responses: &[Response]) {
    for (request, runs) in deployment.upstreams.plain_runs() {
        assert!(runs <= 1, "{request:?} ran {runs} times");
    }
    for response in responses.iter().filter(|response| response.run_state == "not_run") {
        let ran = deployment.upstreams.plain.values().any(|plain| plain.has_run_mark(&response.mark));
        assert!(!ran, "refused as not run, but it ran: {response:?}");
    }
}
