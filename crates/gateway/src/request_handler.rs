//! Handles callers' requests on an entry node: reads and admits a request, forwards it, and relays the response or
//! answers with a refusal.

use std::{rc::Rc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        ConnectionType,
        header::{HeaderName, HeaderValue},
    },
    web,
};
use bytes::Bytes;
use daisysill_core::{
    ids::SoftwareVersion, result_code::ResultCode, routing::CallKind, upstream_contact::Reach,
};
use futures::StreamExt;
use tokio::time::{Instant, timeout_at};

use crate::{
    admission::Admitted,
    body_buffer::{BodyBuffer, BodyInPieces, BufferError},
    buffered::NoBody,
    caller_request::{AttemptHistory, CallerRequest, encode_head, fingerprint, part_keys},
    callers::HeldRequests,
    entry_node::EntryState,
    exchange::UpstreamResponse,
    fresh_config::Arrival,
    peer_headers::{PassedOn, SENDS, UNABLE},
    placement::ChosenUpstream,
    refusal::{Refusal, promises_not_run},
    refusal_rules::{
        STALE_RETRY_MS, cut_off_refusal, deadline_refusal, shutdown_refusal, unconfirmed_refusal,
    },
    relay::relay,
    silence::log_failed_answer,
    stream_body::stream_body,
    unanswered::{UnansweredRequest, refuse_on_panic},
};

/// Maximum size of a request body until the first configuration arrives.
const DEFAULT_BODY_BYTES: usize = 1_024 * 1_024;
/// Requests that arrive later than this after the signal to stop are refused: they might not finish before the process
/// is killed.
const REFUSE_AFTER: Duration = Duration::from_millis(2_600);

/// Time for requests in progress to end and give their memory back.
const NO_MEMORY_RETRY_MS: u64 = 500;

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// Its caller.
    Caller,
    /// Another entry node, which passed it on.
    EntryNode,
}

impl EntryState {
    /// Returns whether the response closes the caller's connection, so that the load balancer can pick another node. A
    /// connection stays open while a further request has arrived on it.
    fn closes_connection(&self, http: &HttpRequest) -> bool {
        let has_more = http.conn_data::<HeldRequests>().is_some_and(HeldRequests::are_held);
        (self.stop.has_begun() || !self.was_ready.get()) && !has_more
    }

    /// Serves one request, which came from `origin`.
    pub(crate) async fn serve(
        &self,
        http: &HttpRequest,
        payload: web::Payload,
        origin: Origin,
    ) -> HttpResponse {
        let mut response = self.answer_request(http, payload, origin).await;
        if self.closes_connection(http) {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    /// Answers one request; refusals are counted and logged here.
    async fn answer_request(
        &self,
        http: &HttpRequest,
        payload: web::Payload,
        origin: Origin,
    ) -> HttpResponse {
        let arrived = Instant::now();
        let request_id = http.headers().get("x-request-id").and_then(|id| id.to_str().ok());
        let unanswered = UnansweredRequest::new(&self.gateway, request_id, arrived);
        let mut history = AttemptHistory::default();
        let answer = async {
            let request = self.read_request(http, payload, arrived, origin).await?;
            history = AttemptHistory::after_passing(request.passed_on);
            if request.passed_on.is_none() {
                self.gateway.retries.record_request(&request.service);
            }
            self.forward(http, Rc::new(request), &mut history).await
        };
        let result = tokio::select! {
            biased;
            result = refuse_on_panic(answer) => result,
            // Drops the attempt in progress, so that its upstream cancels it.
            () = self.stop.near_end() => Err(shutdown_refusal(&history)),
        };
        unanswered.answered();
        match result {
            Ok(response) => response,
            Err(refusal) => {
                self.gateway.metrics.in_flight.dec();
                self.gateway.metrics.record_result(refusal.code.name());
                tracing::info!(
                    event = "refused",
                    request_id,
                    code = refusal.code.number(),
                    status = refusal.status().as_u16(),
                    retry_after_ms = refusal.retry_after_ms,
                    reason = refusal.reason,
                    run_state = refusal.run_state.name(),
                    may_have_run = history.may_have_run,
                    is_attempt_open = history.is_attempt_open,
                    refusals = history.refusals,
                    unreachable = history.unreachable,
                    after_ms = arrived.elapsed().as_millis(),
                );
                let mut response = refusal.response(request_id);
                if origin == Origin::EntryNode && self.is_unable(&refusal) && !history.may_have_run_here() {
                    let headers = response.headers_mut();
                    headers.insert(HeaderName::from_static(UNABLE), HeaderValue::from_static("1"));
                    headers.insert(HeaderName::from_static(SENDS), history.sends.sent().into());
                }
                response
            }
        }
    }

    /// Returns whether a refusal is for a reason of this node only, so that another entry node may serve the request.
    fn is_unable(&self, refusal: &Refusal) -> bool {
        match refusal.code {
            ResultCode::ShuttingDown | ResultCode::NoQuorum => true,
            ResultCode::NoUpstream => self.gateway.contact.reach() != Reach::InTouch,
            _ => false,
        }
    }

    /// Reads the body, then admits the request and picks its service.
    async fn read_request(
        &self,
        http: &HttpRequest,
        payload: web::Payload,
        arrived: Instant,
        origin: Origin,
    ) -> Result<CallerRequest, Refusal> {
        let gateway = &self.gateway;
        let limit = gateway.routing.table().map_or(DEFAULT_BODY_BYTES, |table| table.limits().body_bytes);
        let body = self.read_body(payload, limit).await?;
        if self.stop.elapsed() >= REFUSE_AFTER {
            return Err(shutdown_refusal(&AttemptHistory::default()));
        }
        let Some(table) = gateway.first_table(arrived).await else {
            return Err(Refusal::not_run(ResultCode::NoQuorum, "no configuration yet", 500));
        };
        let passed_on = match origin {
            Origin::Caller => None,
            Origin::EntryNode => {
                gateway.metrics.taken_over.inc();
                Some(decode_passed_on(http)?)
            }
        };
        if passed_on.is_some_and(|passed_on| passed_on.config_version > table.version()) {
            let reason =
                format!("the configuration {} is older than that of the entry node", table.version());
            return Err(Refusal::not_run(ResultCode::NoQuorum, reason, STALE_RETRY_MS));
        }
        let headers = gateway
            .header_codec
            .0
            .decode_request(http.headers())
            .map_err(|error| Refusal::new(ResultCode::BodyMalformed, error))?;
        let host = http.headers().get("host").and_then(|host| host.to_str().ok()).unwrap_or("");
        let host = host.split(':').next().unwrap_or("");
        let path = http.uri().path();
        let key = headers.key.as_deref();
        let Admitted { route, customer, config_version } = if passed_on.is_some() {
            // Another entry node may serve it at once.
            gateway.admit(host, path, key)?
        } else {
            let arrival = Arrival { arrived, host, path, key, deadline_ms: headers.deadline_ms };
            gateway.admit_when_fresh(&arrival).await?
        };
        let Some(service) = route.pick_service(rand::random()).cloned() else {
            return Err(Refusal::new(ResultCode::RouteUnknown, "the route has no target"));
        };
        let method = http.method().as_str().to_owned();
        let target = http.uri().path_and_query().map_or(path, |target| target.as_str());
        let head = encode_head(gateway.header_codec.0.as_ref(), &method, target, http.headers(), &body);
        let left_ms = passed_on.map_or(u64::MAX, |passed_on| passed_on.deadline_ms);
        let wait_ms = headers.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms).min(left_ms);
        Ok(CallerRequest {
            fingerprint: fingerprint(path, customer.as_deref(), &body),
            part_keys: part_keys(headers.prompt.as_ref()),
            deadline: arrived + Duration::from_millis(wait_ms),
            headers,
            method,
            head,
            body,
            route,
            service,
            customer,
            config_version,
            passed_on,
            arrived,
        })
    }

    /// Reads the whole body of a request.
    async fn read_body(&self, mut payload: web::Payload, limit: usize) -> Result<Bytes, Refusal> {
        let mut buffer = BodyBuffer::new(&self.gateway.memory, limit);
        while let Some(bytes) = payload.next().await {
            let bytes = bytes.map_err(|error| Refusal::new(ResultCode::BodyIncomplete, error.to_string()))?;
            buffer.push(&bytes).map_err(|error| {
                self.gateway.metrics.record_dropped_body(error);
                match error {
                    BufferError::TooLarge => {
                        Refusal::new(ResultCode::BodyTooLarge, format!("over {limit} bytes"))
                    }
                    BufferError::NoMemory => {
                        let reason = format!("{} bytes are reserved", self.gateway.memory.used_bytes());
                        Refusal::not_run(ResultCode::MemoryExhausted, reason, NO_MEMORY_RETRY_MS)
                    }
                }
            })?;
        }
        Ok(buffer.finish())
    }

    async fn forward(
        &self,
        http: &HttpRequest,
        request: Rc<CallerRequest>,
        history: &mut AttemptHistory,
    ) -> Result<HttpResponse, Refusal> {
        let gateway = &self.gateway;
        if gateway.contact.reach() == Reach::CutOff
            && (request.passed_on.is_some() || gateway.contact.has_peers())
        {
            let answer =
                if gateway.passes_on(&request) { self.pass_on(http, &request, history).await } else { None };
            if let Some(answer) = answer {
                return answer;
            }
            // While the request waited for another node, this one may have reached its upstreams again.
            if gateway.contact.reach() == Reach::CutOff {
                return Err(cut_off_refusal(history));
            }
        }
        let software = gateway.software_requirement(&request, history).await?;
        let resumed_at = request.takes_up_stream().then_some(request.arrived);
        history.software = software;
        history.resumed_at = resumed_at;
        let resume_after = request.headers.resume_after.as_deref();
        let mut begun = None;
        loop {
            let sending = gateway.send(&request, history, begun.take(), resume_after);
            let Ok(sent) = timeout_at(request.deadline, sending).await else {
                // The attempt in progress was dropped; its upstream may have run the request.
                history.may_have_run += 1;
                return Err(deadline_refusal(history));
            };
            let response = match sent {
                Ok(response) => response,
                Err(refusal) => return self.pass_on_refused(http, &request, history, refusal).await,
            };
            if response.head.status.is_server_error()
                && let Some(place) = self.try_elsewhere(&request, history, &response)
            {
                begun = Some(gateway.begin_attempt(&request, history, place, resume_after));
                continue;
            }
            gateway.metrics.answer_seconds.observe(request.arrived.elapsed().as_secs_f64());
            self.log_response(&request, history, &response);
            if request.at_most_once() && promises_not_run(response.head.status) {
                return Err(unconfirmed_refusal(response, history).await);
            }
            let streams =
                matches!(request.route.kind, CallKind::Stream { .. }) && response.head.status.is_success();
            if streams {
                return Ok(self.relay_stream(Rc::clone(&request), response, std::mem::take(history)));
            }
            match self.relay_buffered(&request, response, history).await {
                Ok(relayed) => return Ok(relayed),
                Err(NoBody::Moved(attempt)) => begun = Some(attempt),
                Err(NoBody::Failed)
                    if history.may_have_run >= request.route.max_attempts || !may_retry(&request) =>
                {
                    return Err(Refusal::new(ResultCode::UpstreamFailed, "the response ended early"));
                }
                Err(NoBody::Failed) => {}
            }
        }
    }

    /// Returns where a request that got a server error is retried, and records the failed attempt if it is. Otherwise the error
    /// is the answer.
    fn try_elsewhere(
        &self,
        request: &CallerRequest,
        history: &mut AttemptHistory,
        response: &UpstreamResponse,
    ) -> Option<Box<ChosenUpstream>> {
        if !may_retry(request) {
            return None;
        }
        let left = history.after_leaving(&response.in_flight.upstream.entry.id);
        let place = self.gateway.take_next_upstream(request, &left)?;
        *history = left;
        log_failed_answer(request, response);
        Some(place)
    }

    fn log_response(&self, request: &CallerRequest, history: &AttemptHistory, response: &UpstreamResponse) {
        let upstream = &response.in_flight.upstream;
        let software = self.gateway.cluster.software_of(&upstream.entry);
        tracing::info!(
            event = "answered",
            request_id = request.headers.request_id.as_deref(),
            route = request.route.name,
            customer = request.customer.as_ref().map(|customer| customer.name.as_str()),
            upstream = upstream.entry.id.as_str(),
            connection = response.pooled.number(),
            status = response.head.status.as_u16(),
            may_have_run = history.may_have_run,
            refusals = history.refusals,
            framing = response.head.framing.name(),
            version = response.weight_version.map(|version| version.0),
            software = software.as_ref().map(SoftwareVersion::as_str),
            resumes = request.headers.resumes.as_deref(),
            in_flight = upstream.in_flight(),
            waited_ms = history.waited.as_millis(),
            after_ms = request.arrived.elapsed().as_millis(),
        );
    }

    fn relay_stream(
        &self,
        request: Rc<CallerRequest>,
        response: UpstreamResponse,
        history: AttemptHistory,
    ) -> HttpResponse {
        let mut builder = Self::response_head(&response);
        let body = relay(Rc::clone(&self.gateway), request, response, history);
        builder.body(stream_body(body))
    }

    /// Buffers the whole response and relays it, unless it is incomplete, too large or past the deadline.
    async fn relay_buffered<'a>(
        &'a self,
        request: &'a Rc<CallerRequest>,
        mut response: UpstreamResponse,
        history: &mut AttemptHistory,
    ) -> Result<HttpResponse, NoBody<'a>> {
        let upstream = Rc::clone(&response.in_flight.upstream);
        let buffered = self.gateway.buffer_body(request, &mut response, history).await;
        let body = buffered.inspect_err(|_| {
            upstream.record_failure();
            self.gateway.check_for_crash(request, &upstream);
        })?;
        if response.head.status.is_success() {
            upstream.record_success();
            self.gateway.record_completion(request, history);
            self.gateway.check_for_crash_after_answer(request, history, &upstream);
            self.gateway.record_duration(request, request.arrived.elapsed());
            self.gateway.record_plain_work(request, &response.in_flight);
        }
        let relayed = Self::response_head(&response).body(BodyInPieces::new(body));
        response.pooled.release();
        self.gateway.metrics.in_flight.dec();
        self.gateway.metrics.record_result("relayed");
        Ok(relayed)
    }

    fn response_head(response: &UpstreamResponse) -> actix_web::HttpResponseBuilder {
        Self::forwarded_head(&response.head)
    }
}

pub(crate) fn may_retry(request: &CallerRequest) -> bool {
    matches!(request.route.kind, CallKind::Idempotent | CallKind::Stream { resumable: true })
}

/// Reads the statements of the entry node that passed the request on.
fn decode_passed_on(http: &HttpRequest) -> Result<PassedOn, Refusal> {
    let missing = || Refusal::new(ResultCode::BodyMalformed, "not passed on by an entry node");
    PassedOn::decode(http.headers()).ok_or_else(missing)
}
