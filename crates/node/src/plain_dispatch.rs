//! Calls to plain services, among them those that run at most once.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    http::StatusCode,
    web::{Data, Path, Payload},
};
use daisysill_core::{
    ids::{InstanceId, ServiceName},
    result_code::ResultCode,
    rules::ServiceRules,
    view::{UpstreamState, UpstreamView},
};
use rand::seq::IndexedRandom;
use tokio::time::{Instant, timeout_at};

use crate::{
    admission_control::{AdmissionRequest, AdmissionSlot},
    caller_api::{UpstreamClients, read_body, traceparent},
    claim,
    config::ServiceKind,
    plain_client::is_end_to_end,
    refusal::Refusal,
    request::RequestLifecycle,
    shared::Shared,
    upstream_api::{AttemptError, PlainRequest, PlainResponse, PlainService},
};

/// When to come back if no upstream is available.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// When to come back while the rules are not known yet.
const NO_RULES_RETRY_MS: u64 = 500;

/// Serves one call to a plain service.
pub async fn handle(
    request: HttpRequest,
    path: Path<(String, String)>,
    payload: Payload,
    shared: Data<Shared>,
    clients: Data<UpstreamClients>,
) -> HttpResponse {
    let shared = shared.into_inner();
    let (service, path) = path.into_inner();
    let result = serve(&request, &service, &path, payload, &shared, &clients).await;
    result.map_or_else(|refusal| refusal.response(), |answer| to_http(&answer))
}

async fn serve(
    request: &HttpRequest,
    service: &str,
    path: &str,
    payload: Payload,
    shared: &Arc<Shared>,
    clients: &UpstreamClients,
) -> Result<PlainResponse, Refusal> {
    let customer = shared.authenticator.authenticate(request)?;
    let service = ServiceName::from(service);
    let config = shared.config.services.get(&service).filter(|config| config.kind == ServiceKind::Plain);
    let Some(config) = config else {
        return Err(Refusal::new(ResultCode::RouteUnknown, format!("no plain service {service}")));
    };
    customer.check_service(&service)?;
    if matches!(shared.lifecycle_state().as_str(), "starting" | "joining") {
        // Without the rules in force, a call that must run once would pass as one that may be repeated.
        return Err(Refusal::new(ResultCode::NoQuorum, "the rules in force are not known yet")
            .retry_after_ms(NO_RULES_RETRY_MS));
    }
    let body = read_body(payload, &shared.config.limits).await?;
    shared.check_capacity()?;
    let rules = shared.rules_of(&service);
    let mut send = PlainDispatch {
        slot: None,
        life: RequestLifecycle::new(shared, &customer.id, &service, traceparent(request)),
        deadline: Instant::now() + Duration::from_millis(rules.deadlines.request_ms),
        shared: Arc::clone(shared),
        plain: Rc::clone(&clients.plain),
        rules,
        request: PlainRequest {
            method: request.method().to_string(),
            path: path_as_received(request),
            headers: passed_headers(request),
            body,
        },
    };
    if let Err(refusal) = send.admit(config.slots).await {
        return send.finish(Err(refusal));
    }
    let key = request.headers().get(&send.rules.never_twice.key_header).and_then(|v| v.to_str().ok());
    if send.rules.never_twice.covers(request.method().as_str(), &canonical_path(path)) {
        let key = key.map(str::to_owned);
        return claim::run(send, key).await;
    }
    let result = send.run_repeatable().await;
    send.finish(result)
}

/// One call to a plain service in progress.
pub(crate) struct PlainDispatch {
    /// Held until the call ends, also after its caller has gone.
    pub(crate) slot: Option<AdmissionSlot>,
    pub(crate) life: RequestLifecycle,
    pub(crate) shared: Arc<Shared>,
    pub(crate) plain: Rc<dyn PlainService>,
    pub(crate) rules: ServiceRules,
    pub(crate) deadline: Instant,
    pub(crate) request: PlainRequest,
}

impl PlainDispatch {
    /// Waits for a slot.
    async fn admit(&mut self, slots: u64) -> Result<(), Refusal> {
        let request = AdmissionRequest {
            customer: &self.life.customer,
            service: &self.life.service,
            shares: &self.rules.shares,
            slots,
            deadline: self.deadline,
        };
        let admitted = self.shared.admission.admit(&request).await;
        let reason = admitted.as_ref().map_or_else(|refusal| &refusal.message, |slot| &slot.reason);
        self.life.admission(reason);
        self.slot = Some(admitted?);
        Ok(())
    }

    /// Serves a call that may be repeated.
    async fn run_repeatable(&mut self) -> Result<PlainResponse, Refusal> {
        self.life.event("admitted");
        let mut excluded = Vec::new();
        let mut last_error = None;
        for _ in 0..self.rules.retries.max_attempts {
            let Some(upstream) = self.choose(&excluded) else { break };
            match self.send(&upstream, None).await {
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

    /// Chooses a live upstream, one in this zone if there is any.
    pub(crate) fn choose(&mut self, excluded: &[InstanceId]) -> Option<InstanceId> {
        let (view, _) = self.shared.upstreams.view();
        let in_state = |state| -> Vec<&UpstreamView> {
            let of_service = view.upstreams().filter(|u| u.service == self.life.service);
            of_service.filter(|u| u.state == state && !excluded.contains(&u.id)).collect()
        };
        let mut upstreams = in_state(UpstreamState::Live);
        if upstreams.is_empty() {
            // One that missed a ping is better than none.
            upstreams = in_state(UpstreamState::Suspect);
        }
        let near: Vec<_> =
            upstreams.iter().copied().filter(|u| u.zone == self.shared.config.node.zone).collect();
        let pool = if near.is_empty() { upstreams } else { near };
        let chosen = pool.choose(&mut rand::rng())?;
        self.life.decision(&format!("{} of {} plain upstreams", chosen.id, pool.len()));
        self.life.event("chosen");
        self.life.event("restored");
        Some(chosen.id.clone())
    }

    /// Sends the call once; with a dispatch deadline, only if its first byte leaves before it.
    pub(crate) async fn send(
        &mut self,
        upstream: &InstanceId,
        dispatch_deadline: Option<Instant>,
    ) -> Result<PlainResponse, AttemptError> {
        let Some(url) = self.shared.upstreams.url(upstream) else {
            return Err(AttemptError::NotSent("the upstream is gone".to_owned()));
        };
        let _guard = self.shared.upstreams.dispatch(upstream, 0);
        let span = self.life.span.child("attempt");
        span.set("upstream", upstream.as_str());
        let send = match dispatch_deadline {
            Some(deadline) => self.plain.send_before(&url, &self.request, span.traceparent(), deadline),
            None => self.plain.send(&url, &self.request, span.traceparent()),
        };
        let result = timeout_at(self.deadline, send).await.unwrap_or(Err(AttemptError::Silent));
        if let Err(error) = &result {
            span.set("error", error.to_string());
        }
        if let Err(AttemptError::Refused { leaving: true, .. }) = &result {
            self.shared.upstreams.event(upstream, "refused");
        }
        let answer = result?;
        self.life.event("first_byte");
        Ok(answer)
    }

    /// Records the result and returns it.
    pub(crate) fn finish(mut self, result: Result<PlainResponse, Refusal>) -> Result<PlainResponse, Refusal> {
        match &result {
            Ok(_) => {
                if let Some(slot) = &mut self.slot {
                    slot.served();
                }
                if !self.life.is_answered() {
                    self.life.event("finished");
                }
                self.life.result(ResultCode::Ok);
            }
            Err(refusal) => {
                if let (Some(slot), ResultCode::UpstreamRefused | ResultCode::DeadlineExceeded) =
                    (&mut self.slot, refusal.code)
                {
                    slot.overloaded();
                }
                self.life.event("refused");
                self.life.result(refusal.code);
            }
        }
        result
    }
}

/// Returns the refusal for a call that no upstream could take.
pub(crate) fn no_upstream() -> Refusal {
    Refusal::new(ResultCode::NoUpstream, "no upstream of the service is available")
        .retry_after_ms(NO_UPSTREAM_RETRY_MS)
}

/// Returns the refusal that tells the caller of a failed attempt.
pub(crate) fn failure(error: &AttemptError) -> Refusal {
    match error {
        AttemptError::NotSent(_) => no_upstream(),
        AttemptError::Refused { message, retry_after_ms, .. } => {
            Refusal::new(ResultCode::UpstreamRefused, message.as_str())
                .retry_after_ms(retry_after_ms.unwrap_or(NO_UPSTREAM_RETRY_MS))
        }
        AttemptError::Silent => {
            Refusal::new(ResultCode::DeadlineExceeded, "the upstream did not answer in time")
        }
        AttemptError::TooLate => {
            Refusal::new(ResultCode::DispatchTooLate, "the call could not be sent in time").retry_after_ms(0)
        }
        AttemptError::Failed(message) => Refusal::new(ResultCode::UpstreamFailed, message.as_str()),
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

/// Returns path and query as the caller sent them, without `/services/{service}`.
fn path_as_received(request: &HttpRequest) -> String {
    let uri = request.uri();
    let rest = uri.path().splitn(4, '/').nth(3).unwrap_or_default();
    uri.query().map_or_else(|| format!("/{rest}"), |query| format!("/{rest}?{query}"))
}

/// Returns the path to compare with the rules: an upstream may take `/cues//7/./fire/` for `/cues/7/fire`,
/// so other spellings of a path that runs at most once are covered too.
///
/// ```
/// use daisysill_node::plain_dispatch::canonical_path;
/// assert_eq!(canonical_path("cues//7/./fire/"), "/cues/7/fire");
/// assert_eq!(canonical_path("x/../cues%2F7/fire"), "/cues/7/fire");
/// ```
pub fn canonical_path(path: &str) -> String {
    let path = path.replace("%2F", "/").replace("%2f", "/");
    let mut segments = Vec::new();
    for segment in path.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            segment => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/"))
}

fn passed_headers(request: &HttpRequest) -> Vec<(String, String)> {
    let headers = request.headers().iter().filter(|(name, _)| is_end_to_end(name.as_str()));
    headers.filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned()))).collect()
}
