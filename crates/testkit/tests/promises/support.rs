//! Deployments, cuts, plain calls and publishes that the tests share.

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

/// Rules under which a cue fires at most once.
pub(crate) const CUE_RULES: &str = "[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire\n";
/// Promise P9 at today's size.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(2);
/// Tokens of each answer.
const TOKENS: u32 = 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Which traffic between a node and all others is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    Both,
    Inbound,
    Outbound,
}

/// What a caller or an operator was told.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    /// 0 if no answer came.
    pub status: u16,
    pub code: u64,
    pub run_state: String,
    pub retry_after_ms: Option<u64>,
    pub body: Value,
    pub text: String,
    pub elapsed: Duration,
    /// The mark with which the stand-in records this send.
    pub mark: String,
}

/// Returns nodes over three zones, the first of them voters, with engines and two plain services.
pub(crate) fn config(nodes: usize, voters: usize, engines: usize) -> DeploymentConfig {
    let mut config = DeploymentConfig::bangkok();
    config.nodes.truncate(nodes);
    for (index, node) in config.nodes.iter_mut().enumerate() {
        node.voter = index < voters;
    }
    let mut left = engines;
    config.upstreams.retain(|plan| {
        let is_kept = plan.kind != InstanceKind::Engine || left > 0;
        left -= usize::from(is_kept && plan.kind == InstanceKind::Engine);
        is_kept && !(plan.kind == InstanceKind::Store && engines == 1)
    });
    config
}

/// Starts nodes with one engine and two plain services.
pub(crate) async fn start(nodes: usize, voters: usize) -> Deployment {
    start_with(config(nodes, voters, 1)).await
}

/// Starts a deployment and waits until its nodes are ready.
pub(crate) async fn start_with(config: DeploymentConfig) -> Deployment {
    let deployment = Deployment::start(config);
    deployment.wait_until_live().await;
    deployment
}

/// Waits until a majority follows a leader and returns its name.
pub(crate) async fn leader(deployment: &Deployment) -> String {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let statuses = deployment.statuses().await;
        let newest = statuses.values().flatten().filter(|status| status.role == "leader");
        if let Some(leader) = newest.max_by_key(|status| status.term) {
            return leader.name.clone();
        }
        assert!(Instant::now() < end, "no leader: {statuses:?}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Holds back or lets go on the traffic between one node and all others.
pub(crate) fn set_cut(deployment: &Deployment, node: &str, cut: Cut, silent: bool) {
    let behaviour = DirectionFaults { silent, ..DirectionFaults::default() };
    for other in deployment.node_names().iter().filter(|other| *other != node) {
        let (own, others) = (deployment.peer_link(node, other), deployment.peer_link(other, node));
        if cut != Cut::Inbound {
            own.set(Direction::Forward, behaviour);
            others.set(Direction::Backward, behaviour);
        }
        if cut != Cut::Outbound {
            own.set(Direction::Backward, behaviour);
            others.set(Direction::Forward, behaviour);
        }
    }
}

/// Fires a cue through a node.
pub(crate) async fn fire(deployment: &Deployment, node: &str, key: &str, body: &str) -> Told {
    let url = format!("{}/services/booth-app/cues/7/fire", deployment.caller_url(node));
    fire_at(url, key.to_owned(), body.to_owned()).await
}

/// Fires a cue at a URL, with a mark of this send for the stand-in.
pub(crate) async fn fire_at(url: String, key: String, body: String) -> Told {
    static MARKS: AtomicU64 = AtomicU64::new(0);
    let mark = MARKS.fetch_add(1, Ordering::Relaxed).to_string();
    let request = Client::default().post(url).bearer_auth(DeploymentConfig::token("opera-1"));
    let request = request.insert_header(("idempotency-key", key)).timeout(CALL_TIMEOUT);
    let request = request.insert_header(("x-caller-mark", mark.clone()));
    told(request.send_body(body), mark).await
}

/// Publishes one file through a node.
pub(crate) async fn publish(
    deployment: &Deployment,
    node: &str,
    change: &str,
    base: u64,
    text: &str,
) -> Told {
    let url = format!("http://{}/admin/v1/rules", deployment.node(node).addresses.admin);
    let file = json!({"name": "booth.ini", "text": text});
    let body = json!({"change_id": change, "base_version": base, "files": [file]});
    told(Client::builder().timeout(CALL_TIMEOUT).finish().post(url).send_json(&body), String::new()).await
}

async fn told(request: awc::SendClientRequest, mark: String) -> Told {
    let began = Instant::now();
    let (status, bytes) = match request.await {
        Ok(mut answer) => (answer.status().as_u16(), answer.body().await.unwrap_or_default()),
        Err(_) => (0, Bytes::new()),
    };
    let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    Told {
        status,
        code: body["error"]["code"].as_u64().unwrap_or_default(),
        run_state: body["error"]["run_state"].as_str().unwrap_or_default().to_owned(),
        retry_after_ms: body["error"]["retry_after_ms"].as_u64(),
        text: String::from_utf8_lossy(&bytes).into_owned(),
        elapsed: began.elapsed(),
        body,
        mark,
    }
}

/// Publishes the cue rules and waits until they are in force on every running node.
pub(crate) async fn publish_cue_rules(deployment: &Deployment) -> u64 {
    publish_first(deployment, CUE_RULES).await
}

/// Publishes rules on no earlier ones and waits until they are in force.
pub(crate) async fn publish_first(deployment: &Deployment, text: &str) -> u64 {
    let node = leader(deployment).await;
    let told = publish(deployment, &node, "first", 0, text).await;
    assert_eq!(told.status, 200, "{told:?}");
    let version = told.body["version"].as_u64().unwrap();
    wait_in_force(deployment, version, IN_FORCE).await;
    version
}

/// Sets the weight version of the model through a node.
pub(crate) async fn set_weights(deployment: &Deployment, node: &str, base: u64, version: u64) {
    let url = format!("http://{}/admin/v1/weights", deployment.node(node).addresses.admin);
    let (change, service) = (format!("weights-{version}"), &deployment.config.model);
    let body = json!({"change_id": change, "base_version": base, "service": service, "version": version});
    let told = told(Client::default().post(url).send_json(&body), String::new()).await;
    assert_eq!(told.status, 200, "{told:?}");
}

/// Streams a prompt of one customer through a node.
pub(crate) async fn ask_as(deployment: &Deployment, node: &str, customer: &str, text: &str) -> PromptOutcome {
    let (url, token) = (deployment.caller_url(node), DeploymentConfig::token(customer));
    let (model, deadline) = (deployment.config.model.as_str(), Duration::from_secs(10));
    let call = PromptRequest { url: &url, token: &token, model, prompt: text, max_tokens: TOKENS, deadline };
    prompt(&Client::default(), &call).await
}

/// Fails unless the answer is whole and all of it is that of one weight version.
pub(crate) fn check_answer(outcome: &PromptOutcome, text: &str, versions: &[u64]) {
    let whole = versions.iter().any(|v| outcome.text == expected_text_of(text, u64::from(TOKENS), *v));
    assert!(outcome.is_complete && whole, "{outcome:?}");
}

/// Returns the version of the rules that each running node shows.
pub(crate) async fn shown(deployment: &Deployment) -> Vec<(String, u64)> {
    let statuses = deployment.statuses().await.into_iter();
    statuses.map(|(name, status)| (name, status.map_or(0, |status| status.rules_version))).collect()
}

/// Waits until every running node shows this version of the rules.
pub(crate) async fn wait_in_force(deployment: &Deployment, version: u64, limit: Duration) {
    let end = Instant::now() + limit;
    loop {
        let shown = shown(deployment).await;
        if shown.iter().all(|(_, shown)| *shown == version) {
            return;
        }
        assert!(Instant::now() < end, "version {version} is not in force after {limit:?}: {shown:?}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Fails if a call ran twice, or a send ran that was refused as not run.
pub(crate) fn check_runs(deployment: &Deployment, told: &[Told]) {
    for (call, runs) in deployment.upstreams.plain_runs() {
        assert!(runs <= 1, "{call:?} ran {runs} times");
    }
    for told in told.iter().filter(|told| told.run_state == "not_run") {
        let ran = deployment.upstreams.plain.values().any(|plain| plain.has_run_mark(&told.mark));
        assert!(!ran, "refused as not run, but it ran: {told:?}");
    }
}
