//! Calls to plain services, among them those that run at most once.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    http::StatusCode,
    web::{Data, Path, Payload},
};
use daisysill_cluster::ProposeError;
use daisysill_control::command::{
    Claim, ClaimKey, ClaimOutcome, ClaimState, Command, FinishClaim, Reply, StoredAnswer,
};
use daisysill_core::{
    ids::{AttemptId, InstanceId, ServiceName},
    result_code::{ResultCode, RunState},
    rules::ServiceRules,
    view::UpstreamState,
};
use rand::seq::IndexedRandom;
use tokio::time::{Instant, timeout_at};

use crate::{
    caller_api::{Adapters, read_body, traceparent},
    config::ServiceKind,
    plain_client::is_end_to_end,
    refusal::Refusal,
    request::{RequestLife, new_id},
    shared::Shared,
    upstream_edge::{AttemptError, PlainRequest, PlainResponse, PlainService},
};

/// Time between asking for a claim and the last moment at which its call may be sent.
const DISPATCH_WINDOW: Duration = Duration::from_secs(2);
/// When to come back while no majority is in reach.
const NO_QUORUM_RETRY_MS: u64 = 2_000;
/// When to come back if no upstream is available.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// When to ask again for a call that is in progress.
const IN_PROGRESS_RETRY_MS: u64 = 500;

/// Serves one call to a plain service.
pub async fn handle(
    request: HttpRequest,
    path: Path<(String, String)>,
    payload: Payload,
    shared: Data<Shared>,
    adapters: Data<Adapters>,
) -> HttpResponse {
    let shared = shared.into_inner();
    let (service, path) = path.into_inner();
    let result = serve(&request, &service, &path, payload, &shared, &adapters).await;
    result.map_or_else(|refusal| refusal.response(), |answer| to_http(&answer))
}

async fn serve(
    request: &HttpRequest,
    service: &str,
    path: &str,
    payload: Payload,
    shared: &Arc<Shared>,
    adapters: &Adapters,
) -> Result<PlainResponse, Refusal> {
    let customer = shared.authenticator.authenticate(request)?;
    let service = ServiceName::from(service);
    let kind = shared.config.services.get(&service).map(|config| config.kind);
    if kind != Some(ServiceKind::Plain) {
        return Err(Refusal::new(ResultCode::RouteUnknown, format!("no plain service {service}")));
    }
    customer.check_service(&service)?;
    if shared.role() == "draining" {
        return Err(Refusal::new(ResultCode::ShuttingDown, "this node is shutting down").retry_after_ms(0));
    }
    let body = read_body(payload, shared.config.limits.body_bytes).await?;
    let rules = shared.rules_of(&service);
    let mut call = PlainCall {
        life: RequestLife::new(shared, &customer.id, &service),
        deadline: Instant::now() + Duration::from_millis(rules.deadlines.request_ms),
        shared: Arc::clone(shared),
        plain: Rc::clone(&adapters.plain),
        rules,
        traceparent: traceparent(request),
        request: PlainRequest {
            method: request.method().to_string(),
            path: path_and_query(path, request.query_string()),
            headers: passed_headers(request),
            body,
        },
    };
    let key = request.headers().get(&call.rules.never_twice.key_header).and_then(|v| v.to_str().ok());
    let covered = call.rules.never_twice.covers(request.method().as_str(), &format!("/{path}"));
    let result = if covered { call.run_once(key).await } else { call.run_repeatable().await };
    call.finish(result)
}

/// One call to a plain service in progress.
struct PlainCall {
    life: RequestLife,
    shared: Arc<Shared>,
    plain: Rc<dyn PlainService>,
    rules: ServiceRules,
    deadline: Instant,
    traceparent: String,
    request: PlainRequest,
}

impl PlainCall {
    /// Serves a call that may be repeated.
    async fn run_repeatable(&mut self) -> Result<PlainResponse, Refusal> {
        self.life.event("admitted");
        let mut excluded = Vec::new();
        let mut last_error = None;
        for _ in 0..self.rules.retries.max_attempts {
            let Some(upstream) = self.choose(&excluded) else { break };
            match self.send(&upstream).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    self.life.decision(&format!("{upstream}: {error}"));
                    self.life.event("failed");
                    excluded.push(upstream);
                    last_error = Some(error);
                }
            }
        }
        Err(last_error.map_or_else(no_upstream, |error| failure(&error)))
    }

    /// Serves a call that may not be repeated.
    async fn run_once(&mut self, key: Option<&str>) -> Result<PlainResponse, Refusal> {
        let Some(key) = key.filter(|key| !key.is_empty()) else {
            let header = &self.rules.never_twice.key_header;
            let message = format!("this call runs at most once and needs the header {header}");
            return Err(Refusal::new(ResultCode::KeyMissing, message));
        };
        self.life.event("claim_needed");
        let key = ClaimKey {
            customer: self.life.customer.clone(),
            service: self.life.service.clone(),
            key: key.to_owned(),
        };
        let attempt = AttemptId::from(new_id("att"));
        let dispatch_deadline = Instant::now() + DISPATCH_WINDOW;
        if let Some(answer) = self.claim(&key, &attempt).await? {
            self.life.event("stored_answer");
            return Ok(answer);
        }
        self.life.event("claimed");
        let result = self.send_claimed(dispatch_deadline).await;
        let outcome = match &result {
            Ok(answer) => ClaimOutcome::Answered(stored(answer)),
            Err(refusal) if refusal.run_state == RunState::NotRun => ClaimOutcome::NotRun,
            Err(_) => ClaimOutcome::Unknown,
        };
        let finish = Command::FinishClaim(FinishClaim { key, attempt, outcome });
        if let Err(error) = self.shared.cluster.propose(finish).await {
            // The claim stays in progress: resends are told so, and the call never runs again.
            self.life.decision(&format!("the outcome of the claim was not recorded: {error}"));
        }
        result
    }

    /// Claims the call; returns the stored answer if there is one.
    async fn claim(&mut self, key: &ClaimKey, attempt: &AttemptId) -> Result<Option<PlainResponse>, Refusal> {
        let claim = Claim {
            key: key.clone(),
            body_digest: call_digest(&self.request),
            attempt: attempt.clone(),
            holder: self.shared.config.node.name.clone(),
            keep_ms: self.rules.never_twice.keep_s * 1_000,
        };
        match self.shared.cluster.propose(Command::Claim(claim)).await {
            Ok(Reply::Claimed) => Ok(None),
            Ok(Reply::ClaimExists(ClaimState::Answered(answer))) => Ok(Some(restored(answer))),
            Ok(Reply::ClaimExists(ClaimState::InProgress)) => {
                Err(Refusal::new(ResultCode::InProgress, "the same call is in progress")
                    .retry_after_ms(IN_PROGRESS_RETRY_MS))
            }
            Ok(Reply::ClaimExists(ClaimState::Unknown)) => Err(Refusal::new(
                ResultCode::OutcomeUnknown,
                "an earlier send of this call has an unknown outcome; it is not sent again",
            )),
            Ok(Reply::KeyReused) => {
                Err(Refusal::new(ResultCode::KeyReused, "the idempotency key was used with another call"))
            }
            Ok(Reply::ClaimsFull) => Err(Refusal::new(ResultCode::ClaimsFull, "the table of claims is full")
                .retry_after_ms(NO_QUORUM_RETRY_MS)),
            Ok(_) => Err(Refusal::new(ResultCode::Internal, "unexpected reply to a claim")),
            // Not a byte has gone to the upstream, whatever became of the claim itself.
            Err(ProposeError::NotCommitted | ProposeError::Uncertain) => {
                Err(Refusal::new(ResultCode::NoQuorum, "no majority of voters is in reach")
                    .retry_after_ms(NO_QUORUM_RETRY_MS))
            }
        }
    }

    /// Sends a claimed call at most once; tries another upstream only while no byte was sent.
    async fn send_claimed(&mut self, dispatch_deadline: Instant) -> Result<PlainResponse, Refusal> {
        let mut excluded = Vec::new();
        loop {
            let Some(upstream) = self.choose(&excluded) else { return Err(no_upstream()) };
            // A process that was frozen since it asked for the claim must not send late.
            if Instant::now() >= dispatch_deadline {
                return Err(Refusal::new(ResultCode::DispatchTooLate, "the call could not be sent in time")
                    .retry_after_ms(0));
            }
            match self.send(&upstream).await {
                Ok(answer) => return Ok(answer),
                Err(error) if error.is_not_run() => {
                    self.life.decision(&format!("{upstream}: {error}"));
                    self.life.event("failed");
                    excluded.push(upstream);
                }
                Err(error) => return Err(failure(&error)),
            }
        }
    }

    fn choose(&mut self, excluded: &[InstanceId]) -> Option<InstanceId> {
        let view = self.shared.upstreams.view();
        let usable = |u: &&daisysill_core::view::UpstreamView| {
            u.service == self.life.service && u.state == UpstreamState::Live && !excluded.contains(&u.id)
        };
        let upstreams: Vec<_> = view.upstreams().filter(usable).collect();
        let near: Vec<_> =
            upstreams.iter().copied().filter(|u| u.zone == self.shared.config.node.zone).collect();
        let pool = if near.is_empty() { upstreams } else { near };
        let chosen = pool.choose(&mut rand::rng())?;
        self.life.decision(&format!("{} of {} plain upstreams", chosen.id, pool.len()));
        self.life.event("chosen");
        self.life.event("restored");
        Some(chosen.id.clone())
    }

    async fn send(&mut self, upstream: &InstanceId) -> Result<PlainResponse, AttemptError> {
        let Some(url) = self.shared.upstreams.url(upstream) else {
            return Err(AttemptError::NotSent("the upstream is gone".to_owned()));
        };
        let _guard = self.shared.upstreams.dispatch(upstream, 0);
        let call = self.plain.call(&url, &self.request, &self.traceparent);
        let answer = timeout_at(self.deadline, call).await.map_err(|_| AttemptError::Silent)??;
        self.life.event("first_byte");
        Ok(answer)
    }

    fn finish(mut self, result: Result<PlainResponse, Refusal>) -> Result<PlainResponse, Refusal> {
        match &result {
            Ok(_) => {
                self.life.event("finished");
                self.life.result(ResultCode::Ok);
            }
            Err(refusal) => {
                self.life.event("refused");
                self.life.result(refusal.code);
            }
        }
        result
    }
}

fn no_upstream() -> Refusal {
    Refusal::new(ResultCode::NoUpstream, "no upstream of the service is available")
        .retry_after_ms(NO_UPSTREAM_RETRY_MS)
}

fn failure(error: &AttemptError) -> Refusal {
    match error {
        AttemptError::NotSent(_) => no_upstream(),
        AttemptError::Refused { message, retry_after_ms, .. } => {
            Refusal::new(ResultCode::UpstreamRefused, message.as_str())
                .retry_after_ms(retry_after_ms.unwrap_or(NO_UPSTREAM_RETRY_MS))
        }
        AttemptError::Silent => {
            Refusal::new(ResultCode::DeadlineExceeded, "the upstream did not answer in time")
        }
        AttemptError::Failed(message) => Refusal::new(ResultCode::UpstreamFailed, message.as_str()),
    }
}

fn call_digest(request: &PlainRequest) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [request.method.as_bytes(), request.path.as_bytes(), &request.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

fn stored(answer: &PlainResponse) -> StoredAnswer {
    let content_type = answer.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-type"));
    StoredAnswer {
        status: answer.status,
        content_type: content_type.map(|(_, value)| value.clone()).unwrap_or_default(),
        body: answer.body.to_vec(),
    }
}

fn restored(answer: StoredAnswer) -> PlainResponse {
    PlainResponse {
        status: answer.status,
        headers: vec![("content-type".to_owned(), answer.content_type)],
        body: answer.body.into(),
    }
}

fn to_http(answer: &PlainResponse) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in &answer.headers {
        builder.insert_header((name.as_str(), value.as_str()));
    }
    builder.body(answer.body.clone())
}

fn path_and_query(path: &str, query: &str) -> String {
    if query.is_empty() { format!("/{path}") } else { format!("/{path}?{query}") }
}

fn passed_headers(request: &HttpRequest) -> Vec<(String, String)> {
    let headers = request.headers().iter().filter(|(name, _)| is_end_to_end(name.as_str()));
    headers.filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned()))).collect()
}
