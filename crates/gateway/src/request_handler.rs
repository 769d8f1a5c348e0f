//! Requests of callers on an entry node: read, sent on, and answered.

use std::{rc::Rc, time::Duration};

use actix_web::{HttpRequest, HttpResponse, body::BodyStream, http::header::HeaderName, web};
use bytes::{Bytes, BytesMut};
use daisysill_core::{result_code::ResultCode, routing::CallKind};
use tokio::time::{Instant, timeout_at};

use crate::{
    caller_request::{Call, Progress, encode_head, fingerprint},
    entry_node::EntryState,
    exchange::Answer,
    forward::deadline_refusal,
    refusal::Refusal,
    relay::relay,
};

/// Bytes of an upstream's answer that is read whole before it is passed on.
const MAX_WHOLE_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;
/// Bytes of a request before the first configuration has said otherwise.
const DEFAULT_BODY_BYTES: usize = 1_024 * 1_024;
/// A request that comes later than this after the signal to stop might not be finished in time; it is refused.
const LAST_REQUEST: Duration = Duration::from_millis(2_600);
/// Its caller may come back at once, to another node.
const STOP_RETRY_MS: u64 = 20;

impl EntryState {
    /// Whether callers are told to open a new connection, which may lead to another node.
    fn sheds_connections(&self) -> bool {
        self.stopping.get().is_some() || !self.was_ready.get()
    }

    /// Serves one request, or refuses it.
    pub(crate) async fn serve(&self, request: &HttpRequest, payload: web::Payload) -> HttpResponse {
        let arrived = Instant::now();
        self.gateway.metrics.in_flight.inc();
        let request_id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
        let result = match self.read_call(request, payload, arrived).await {
            Ok(call) => self.answer(Rc::new(call)).await,
            Err(refusal) => Err(refusal),
        };
        match result {
            Ok(response) => response,
            Err(refusal) => {
                self.gateway.metrics.in_flight.dec();
                self.gateway.metrics.finished(refusal.code.name());
                tracing::info!(
                    event = "refused",
                    request_id,
                    code = refusal.code.number(),
                    status = refusal.status().as_u16(),
                    retry_after_ms = refusal.retry_after_ms,
                    reason = refusal.reason,
                    after_ms = arrived.elapsed().as_millis(),
                );
                refusal.response(request_id, self.sheds_connections())
            }
        }
    }

    async fn read_call(
        &self,
        request: &HttpRequest,
        payload: web::Payload,
        arrived: Instant,
    ) -> Result<Call, Refusal> {
        let gateway = &self.gateway;
        let table = gateway.routing.table();
        let limit = table.as_ref().map_or(DEFAULT_BODY_BYTES, |table| table.limits().body_bytes);
        let body = match payload.to_bytes_limited(limit).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(Refusal::new(ResultCode::BodyIncomplete, error.to_string())),
            Err(_) => return Err(Refusal::new(ResultCode::BodyTooLarge, format!("over {limit} bytes"))),
        };
        if self.stopping.get().is_some_and(|since| since.elapsed() >= LAST_REQUEST) {
            return Err(Refusal::not_run(
                ResultCode::ShuttingDown,
                "the node is about to end",
                STOP_RETRY_MS,
            ));
        }
        let Some(table) = table else {
            return Err(Refusal::not_run(ResultCode::NoQuorum, "no configuration yet", 500));
        };
        let headers = gateway
            .dialect
            .0
            .decode_call(request.headers())
            .map_err(|error| Refusal::new(ResultCode::BodyMalformed, error))?;
        let host = request.headers().get("host").and_then(|host| host.to_str().ok()).unwrap_or("");
        let host = host.split(':').next().unwrap_or("");
        let path = request.uri().path();
        let (route, customer) = gateway.admit(&table, host, path, headers.key.as_deref())?;
        let Some(service) = route.pick_service(rand::random()).cloned() else {
            return Err(Refusal::new(ResultCode::RouteUnknown, "the route has no target"));
        };
        let method = request.method().as_str().to_owned();
        let target = request.uri().path_and_query().map_or(path, |target| target.as_str());
        let head = encode_head(gateway.dialect.0.as_ref(), &method, target, request.headers(), &body);
        let wait_ms = headers.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        Ok(Call {
            fingerprint: fingerprint(path, customer.as_deref(), &body),
            deadline: arrived + Duration::from_millis(wait_ms),
            headers,
            method,
            head,
            body,
            route,
            service,
            customer,
            arrived,
        })
    }

    async fn answer(&self, call: Rc<Call>) -> Result<HttpResponse, Refusal> {
        let gateway = &self.gateway;
        let mut progress = Progress::default();
        loop {
            let resume_after = call.headers.resume_after.as_deref();
            let sending = gateway.send(&call, &mut progress, resume_after);
            let Ok(sent) = timeout_at(call.deadline, sending).await else {
                // Dropped while it was being sent; it may have run.
                progress.may_have_run += 1;
                return Err(deadline_refusal(&progress));
            };
            let answer = sent?;
            if answer.head.status.is_server_error() && Self::tries_elsewhere(&call, &mut progress, &answer) {
                continue;
            }
            gateway.metrics.answer_seconds.observe(call.arrived.elapsed().as_secs_f64());
            Self::log_answer(&call, &progress, &answer);
            let streams =
                matches!(call.route.kind, CallKind::Stream { .. }) && answer.head.status.is_success();
            if streams {
                return Ok(self.stream(Rc::clone(&call), answer, progress));
            }
            match self.whole(&call, answer, &mut progress).await {
                Some(response) => return Ok(response),
                None if progress.may_have_run >= call.route.max_attempts || !may_repeat(&call) => {
                    return Err(Refusal::new(ResultCode::UpstreamFailed, "the answer broke off"));
                }
                None => {}
            }
        }
    }

    /// Whether a request that an upstream has failed is sent to another one.
    fn tries_elsewhere(call: &Call, progress: &mut Progress, answer: &Answer) -> bool {
        let upstream = &answer.in_flight.upstream;
        if !may_repeat(call) || progress.may_have_run + 1 >= call.route.max_attempts {
            return false;
        }
        progress.may_have_run += 1;
        progress.tried.push(upstream.entry.id.clone());
        tracing::info!(
            event = "failed_answer",
            request_id = call.headers.request_id.as_deref(),
            upstream = upstream.entry.id.as_str(),
            status = answer.head.status.as_u16(),
        );
        true
    }

    fn log_answer(call: &Call, progress: &Progress, answer: &Answer) {
        let upstream = &answer.in_flight.upstream;
        tracing::info!(
            event = "answered",
            request_id = call.headers.request_id.as_deref(),
            route = call.route.name,
            customer = call.customer.as_ref().map(|customer| customer.name.as_str()),
            upstream = upstream.entry.id.as_str(),
            status = answer.head.status.as_u16(),
            version = answer.weight_version.map(|version| version.0),
            in_flight = upstream.in_flight(),
            waited_ms = progress.waited.as_millis(),
            after_ms = call.arrived.elapsed().as_millis(),
        );
    }

    fn stream(&self, call: Rc<Call>, answer: Answer, progress: Progress) -> HttpResponse {
        let mut builder = self.response_head(&answer);
        let body = relay(Rc::clone(&self.gateway), call, answer, progress);
        builder.body(BodyStream::new(Box::pin(body)))
    }

    /// Reads an answer whole and passes it on; `None` if it broke off.
    async fn whole(
        &self,
        call: &Rc<Call>,
        mut answer: Answer,
        progress: &mut Progress,
    ) -> Option<HttpResponse> {
        let body = timeout_at(call.deadline, read_whole(&mut answer)).await.ok().flatten();
        let upstream = Rc::clone(&answer.in_flight.upstream);
        let Some(body) = body else {
            progress.may_have_run += 1;
            progress.tried.push(upstream.entry.id.clone());
            upstream.failed();
            self.gateway.check_for_crash(call, &upstream);
            return None;
        };
        if answer.head.status.is_success() {
            upstream.succeeded();
        }
        self.gateway.note_finished(call, call.arrived.elapsed());
        let response = self.response_head(&answer).body(body);
        answer.lent.give_back();
        self.gateway.metrics.in_flight.dec();
        self.gateway.metrics.finished("relayed");
        Some(response)
    }

    fn response_head(&self, answer: &Answer) -> actix_web::HttpResponseBuilder {
        let mut builder = HttpResponse::build(answer.head.status);
        for (name, value) in &answer.head.headers {
            if let Ok(name) = HeaderName::from_bytes(name) {
                builder.append_header((name, value.as_ref()));
            }
        }
        if self.sheds_connections() {
            builder.force_close();
        }
        builder
    }
}

fn may_repeat(call: &Call) -> bool {
    matches!(call.route.kind, CallKind::Idempotent | CallKind::Stream { resumable: true })
}

async fn read_whole(answer: &mut Answer) -> Option<Bytes> {
    let connection = answer.lent.get().ok()?;
    let mut whole = BytesMut::new();
    while let Some(bytes) = connection.read_body().await.ok()? {
        whole.extend_from_slice(&bytes);
        if whole.len() > MAX_WHOLE_ANSWER_BYTES {
            return None;
        }
    }
    connection.is_complete().then(|| whole.freeze())
}
