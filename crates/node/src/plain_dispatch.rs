//! Requests to plain services: admission, choice of an upstream, and retries of idempotent ones.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    http::StatusCode,
    web::{Data, Path, Payload},
};
use daisysill_core::{
    ids::{InstanceId, ServiceName, ZoneName},
    result_code::{ResultCode, RunState},
    rules::ServiceRules,
    view::{ClusterView, UpstreamState, UpstreamView},
};
use daisysill_gateway::body_buffer::BodyInPieces;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, timeout_at};

use crate::{
    admission_control::{AdmissionRequest, AdmissionSlot},
    caller_api::{UpstreamClients, read_body, traceparent},
    claim,
    config::ServiceKind,
    dispatch::{NO_UPSTREAM_RETRY_MS, no_upstream},
    plain_client::is_end_to_end,
    refusal::Refusal,
    request::RequestLifecycle,
    shared::Shared,
    upstream_api::{AttemptError, PlainRequest, PlainResponse, PlainService, SendChecks},
};

/// Serves one request to a plain service.
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
    result.map_or_else(|refusal| refusal.response(), |response| to_http(&response))
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
    // Without the rules in force, a non-idempotent request would be treated as idempotent and retried.
    shared.check_config_known()?;
    let body =
        shared.planned_stop.before_end(read_body(payload, &shared.config.limits, &shared.memory)).await?;
    shared.check_capacity()?;
    let rules = shared.rules_of(&service);
    let mut dispatch = PlainDispatch {
        slot: None,
        lifecycle: RequestLifecycle::new(shared, &customer.id, &service, traceparent(request)),
        deadline: Instant::now() + Duration::from_millis(rules.deadlines.request_ms),
        shared: Arc::clone(shared),
        plain: Rc::clone(&clients.plain),
        rules,
        may_have_run: false,
        request: PlainRequest {
            method: request.method().to_string(),
            path: received_path(request),
            headers: forwarded_headers(request),
            body,
        },
    };
    if let Err(refusal) = dispatch.admit(config.slots).await {
        return dispatch.finish(Err(refusal));
    }
    let key = request.headers().get(&dispatch.rules.never_twice.key_header).and_then(|v| v.to_str().ok());
    if dispatch.rules.never_twice.covers(request.method().as_str(), &canonical_path(path)) {
        let key = key.map(str::to_owned);
        return claim::run(dispatch, key).await;
    }
    let result = tokio::select! {
        biased;
        result = dispatch.run_idempotent() => result,
        () = shared.planned_stop.near_end() => Err(Refusal::cut_short(dispatch.may_have_run)),
    };
    dispatch.finish(result)
}

/// A request to a plain service in progress.
pub(crate) struct PlainDispatch {
    /// Held until the request ends, even if its caller disconnects; `None` before admission.
    pub(crate) slot: Option<AdmissionSlot>,
    pub(crate) lifecycle: RequestLifecycle,
    pub(crate) shared: Arc<Shared>,
    pub(crate) plain: Rc<dyn PlainService>,
    pub(crate) rules: ServiceRules,
    pub(crate) deadline: Instant,
    /// Whether an upstream may have run the request; the attempt in progress counts.
    pub(crate) may_have_run: bool,
    pub(crate) request: PlainRequest,
}

impl PlainDispatch {
    /// Waits for a slot; a refusal is recorded for `daisysill explain` too.
    async fn admit(&mut self, slots: u64) -> Result<(), Refusal> {
        let request = AdmissionRequest {
            customer: &self.lifecycle.customer,
            service: &self.lifecycle.service,
            shares: &self.rules.shares,
            slots,
            deadline: self.deadline,
        };
        let admitted = self.shared.planned_stop.before_end(self.shared.admission.admit(&request)).await;
        let reason = admitted.as_ref().map_or_else(|refusal| &refusal.message, |slot| &slot.reason);
        self.lifecycle.record_admission(reason);
        self.slot = Some(admitted?);
        Ok(())
    }

    /// Serves an idempotent request, retrying at other upstreams up to `max_attempts`.
    async fn run_idempotent(&mut self) -> Result<PlainResponse, Refusal> {
        self.lifecycle.apply_event("admitted");
        let mut excluded = Vec::new();
        let mut last_error = None;
        for _ in 0..self.rules.retries.max_attempts {
            let Some(upstream) = self.choose(&excluded) else { break };
            match self.send(&upstream, None).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    self.lifecycle.record_decision(&format!("{upstream}: {error}"));
                    self.lifecycle.apply_event("failed");
                    excluded.push(upstream);
                    last_error = Some(error);
                }
            }
        }
        Err(last_error.map_or_else(no_upstream, |error| attempt_refusal(&error)))
    }

    /// Chooses a random upstream, preferring live over suspect ones and then those in this zone.
    pub(crate) fn choose(&mut self, excluded: &[InstanceId]) -> Option<InstanceId> {
        let (view, _) = self.shared.placement_view();
        let pool = candidates(&view, &self.lifecycle.service, &self.shared.config.node.zone, excluded);
        let chosen = pool.choose(&mut rand::rng())?;
        self.lifecycle.record_decision(&choice_reason(&chosen.id, pool.len()));
        self.lifecycle.apply_event("chosen");
        self.lifecycle.apply_event("restored");
        Some(chosen.id.clone())
    }

    /// Sends the request once; with a dispatch deadline, the first byte is sent before it or not at all.
    pub(crate) async fn send(
        &mut self,
        upstream: &InstanceId,
        dispatch_deadline: Option<Instant>,
    ) -> Result<PlainResponse, AttemptError> {
        let Some(url) = self.shared.upstreams.url(upstream) else {
            return Err(AttemptError::NotSent("the upstream is gone".to_owned()));
        };
        let _guard = self.shared.upstreams.dispatch(upstream, 0);
        let span = self.lifecycle.span.child("attempt");
        span.set("upstream", upstream.as_str());
        let had_run = std::mem::replace(&mut self.may_have_run, true);
        let check = || self.shared.may_send(upstream);
        let checks = SendChecks { deadline: dispatch_deadline, may_send: &check };
        let exchange = self.plain.send_checked(&url, &self.request, span.traceparent(), checks);
        let result = timeout_at(self.deadline, exchange).await.unwrap_or(Err(AttemptError::Silent));
        if let Err(error) = &result {
            span.set("error", error.to_string());
            self.may_have_run = had_run || !error.is_not_run();
        }
        if let Err(AttemptError::Refused { leaving: true, .. }) = &result {
            self.shared.upstreams.event(upstream, "refused");
        }
        let response = result?;
        self.lifecycle.apply_event("first_byte");
        Ok(response)
    }

    /// Records the result in the life cycle and the slot, and returns it.
    pub(crate) fn finish(
        mut self,
        mut result: Result<PlainResponse, Refusal>,
    ) -> Result<PlainResponse, Refusal> {
        match &mut result {
            Ok(_) => {
                if let Some(slot) = &mut self.slot {
                    slot.record_served();
                }
                if !self.lifecycle.is_answered() {
                    self.lifecycle.apply_event("finished");
                }
                self.lifecycle.set_result(ResultCode::Ok);
            }
            Err(refusal) => {
                if self.may_have_run && refusal.run_state == RunState::NotRun {
                    // An earlier attempt may have been executed although the last one was not.
                    refusal.run_state = RunState::MayHaveRun;
                }
                if let (Some(slot), ResultCode::UpstreamRefused | ResultCode::DeadlineExceeded) =
                    (&mut self.slot, refusal.code)
                {
                    slot.record_overload();
                }
                self.lifecycle.apply_event("refused");
                self.lifecycle.set_result(refusal.code);
            }
        }
        result
    }
}

/// Returns the upstreams among which a request is sent to a random one: live before suspect ones, then those in `zone`.
pub(crate) fn candidates<'v>(
    view: &'v ClusterView,
    service: &ServiceName,
    zone: &ZoneName,
    excluded: &[InstanceId],
) -> Vec<&'v UpstreamView> {
    let in_state = |state| -> Vec<&UpstreamView> {
        let of_service = view.upstreams().filter(|u| u.service == *service);
        of_service.filter(|u| u.state == state && !excluded.contains(&u.id)).collect()
    };
    let mut upstreams = in_state(UpstreamState::Live);
    if upstreams.is_empty() {
        // An upstream that missed a ping is better than none.
        upstreams = in_state(UpstreamState::Suspect);
    }
    let same_zone: Vec<_> = upstreams.iter().copied().filter(|u| u.zone == *zone).collect();
    if same_zone.is_empty() { upstreams } else { same_zone }
}

/// Returns the reason of a choice among `count` candidates, in one line for `daisysill explain`.
pub(crate) fn choice_reason(chosen: &InstanceId, count: usize) -> String {
    format!("{chosen} of {count} plain upstreams")
}

/// Returns the refusal that reports a failed attempt to the caller.
pub(crate) fn attempt_refusal(error: &AttemptError) -> Refusal {
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

fn to_http(response: &PlainResponse) -> HttpResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in &response.headers {
        builder.insert_header((name.as_str(), value.as_str()));
    }
    builder.body(BodyInPieces::new(response.body.clone()))
}

/// Returns the path and query as received, without `/services/{service}`.
fn received_path(request: &HttpRequest) -> String {
    let uri = request.uri();
    let rest = uri.path().splitn(4, '/').nth(3).unwrap_or_default();
    uri.query().map_or_else(|| format!("/{rest}"), |query| format!("/{rest}?{query}"))
}

/// Normalizes a path for comparison with the rules: an upstream may treat `/cues//7/./fire/` as `/cues/7/fire`,
/// so other spellings of the path of a non-idempotent request must match too.
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

fn forwarded_headers(request: &HttpRequest) -> Vec<(String, String)> {
    let headers = request.headers().iter().filter(|(name, _)| is_end_to_end(name.as_str()));
    headers.filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned()))).collect()
}
