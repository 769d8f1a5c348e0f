//! The caller-facing HTTP API: authentication, parsing, and responses to prompts.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    error::PayloadError,
    web::{self, Bytes, Data, Payload, ServiceConfig as Routes},
};
use daisysill_core::{
    ids::ServiceName,
    memory_budget::{MemoryBudget, MemoryReservation},
    result_code::ResultCode,
};
use daisysill_gateway::body_buffer::{BodyBuffer, BufferError};
use daisysill_wire::http_types::{ChatCompletionRequest, CompletionRequest, Model, ModelList};
use futures::{StreamExt, stream};
use serde::de::DeserializeOwned;
use tokio::{
    sync::mpsc::{Receiver, channel},
    time::{Instant, timeout},
};

use crate::{
    auth::Customer,
    config::{LimitConfig, ServiceConfig, ServiceKind},
    dispatch::{Dispatch, PromptRequest, ResponseEvent},
    openai::{ResponseKind, ResponseWriter, chat_prompt},
    plain_dispatch,
    refusal::Refusal,
    request::RequestLifecycle,
    shared::Shared,
    sse::{done_event, json_event},
    upstream_api::{Engine, PlainService},
};

/// Maximum number of generated tokens if the request does not set one.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Longest deadline that a request may ask for; rule files have the same limit.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Time for requests in progress to end and give their memory back.
const NO_MEMORY_RETRY_MS: u64 = 500;
/// Tokens buffered for a slow caller before reading from its upstream pauses.
const RELAY_BUFFER_TOKENS: usize = 64;

/// The upstream clients of one worker thread.
#[derive(Clone)]
pub struct UpstreamClients {
    /// Client for model engines.
    pub engine: Rc<dyn Engine>,
    /// Client for plain services.
    pub plain: Rc<dyn PlainService>,
}

/// Registers the routes for callers; any other path gets the refusal `RouteUnknown`.
pub fn routes(routes: &mut Routes) {
    routes
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/completions", web::post().to(completion))
        .route("/v1/models", web::get().to(models))
        .route("/services/{service}/{path:.*}", web::route().to(plain_dispatch::handle))
        .default_service(web::route().to(unknown_route));
}

async fn unknown_route() -> HttpResponse {
    Refusal::new(ResultCode::RouteUnknown, "no such route").response()
}

async fn chat(
    request: HttpRequest,
    payload: Payload,
    shared: Data<Shared>,
    clients: Data<UpstreamClients>,
) -> HttpResponse {
    let shared = shared.into_inner();
    let parsed = authenticate_and_parse::<ChatCompletionRequest>(&request, payload, &shared).await;
    let ParsedRequest { customer, parsed, body } = match parsed {
        Ok(parsed) => parsed,
        Err(refusal) => return refusal.response(),
    };
    let params = PromptParams {
        kind: ResponseKind::Chat,
        body,
        prompt: chat_prompt(&parsed),
        model: parsed.model,
        stream: parsed.stream,
        max_tokens: parsed.max_tokens,
        adapter: parsed.adapter,
        deadline_ms: parsed.deadline_ms,
    };
    serve_prompt(&request, &shared, &clients, customer, params).await
}

async fn completion(
    request: HttpRequest,
    payload: Payload,
    shared: Data<Shared>,
    clients: Data<UpstreamClients>,
) -> HttpResponse {
    let shared = shared.into_inner();
    let parsed = authenticate_and_parse::<CompletionRequest>(&request, payload, &shared).await;
    let ParsedRequest { customer, parsed, body } = match parsed {
        Ok(parsed) => parsed,
        Err(refusal) => return refusal.response(),
    };
    let params = PromptParams {
        kind: ResponseKind::Text,
        body,
        prompt: parsed.prompt,
        model: parsed.model,
        stream: parsed.stream,
        max_tokens: parsed.max_tokens,
        adapter: parsed.adapter,
        deadline_ms: parsed.deadline_ms,
    };
    serve_prompt(&request, &shared, &clients, customer, params).await
}

async fn models(request: HttpRequest, shared: Data<Shared>) -> HttpResponse {
    let customer = match shared.authenticator.authenticate(&request) {
        Ok(customer) => customer,
        Err(refusal) => return refusal.response(),
    };
    let is_model = |name: &&ServiceName| {
        shared.config.services.get(*name).is_some_and(|service| service.kind == ServiceKind::Model)
    };
    let model = |name: &ServiceName| Model {
        id: name.to_string(),
        object: "model".to_owned(),
        created: 0,
        owned_by: "daisysill".to_owned(),
    };
    let data = customer.services().iter().filter(is_model).map(model).collect();
    HttpResponse::Ok().json(ModelList { object: "list".to_owned(), data })
}

/// The parameters that chat and text requests have in common.
struct PromptParams {
    kind: ResponseKind,
    /// Kept until the request ends, for the memory that is reserved with it.
    body: Bytes,
    prompt: String,
    model: String,
    stream: bool,
    max_tokens: Option<u32>,
    adapter: Option<String>,
    deadline_ms: Option<u64>,
}

/// A request whose body was parsed, and the body, which holds the memory that is reserved for it.
struct ParsedRequest<T> {
    customer: Customer,
    parsed: T,
    body: Bytes,
}

async fn authenticate_and_parse<T: DeserializeOwned>(
    request: &HttpRequest,
    payload: Payload,
    shared: &Shared,
) -> Result<ParsedRequest<T>, Refusal> {
    let customer = shared.authenticator.authenticate(request)?.clone();
    let body =
        shared.planned_stop.before_end(read_body(payload, &shared.config.limits, &shared.memory)).await?;
    let parsed = serde_json::from_slice(&body).map_err(|error| {
        Refusal::new(ResultCode::BodyMalformed, format!("the body is not valid: {error}"))
    })?;
    Ok(ParsedRequest { customer, parsed, body })
}

/// Reads a request body of at most `limits.body_bytes`, whose memory stays reserved for as long as it is kept.
///
/// # Errors
/// Refuses a body that is too large, ends early, pauses for longer than `limits.body_timeout_ms` or finds no memory.
pub async fn read_body(
    mut payload: Payload,
    limits: &LimitConfig,
    memory: &MemoryBudget,
) -> Result<Bytes, Refusal> {
    let limit_bytes = limits.body_bytes;
    let max_pause = Duration::from_millis(limits.body_timeout_ms);
    let mut body = BodyBuffer::new(memory, limit_bytes);
    loop {
        let chunk = timeout(max_pause, payload.next()).await.map_err(|_| {
            Refusal::new(ResultCode::BodyIncomplete, "the rest of the body did not arrive in time")
        })?;
        let Some(chunk) = chunk else { break };
        let chunk = chunk.map_err(|error| classify_payload_error(&error))?;
        body.push(&chunk).map_err(|error| match error {
            BufferError::TooLarge => {
                Refusal::new(ResultCode::BodyTooLarge, format!("the body exceeds {limit_bytes} bytes"))
            }
            BufferError::NoMemory => {
                let message = "the bodies of all requests take up the node's memory for them";
                Refusal::new(ResultCode::MemoryExhausted, message).retry_after_ms(NO_MEMORY_RETRY_MS)
            }
        })?;
    }
    Ok(body.finish())
}

fn classify_payload_error(error: &PayloadError) -> Refusal {
    match error {
        PayloadError::Overflow => Refusal::new(ResultCode::BodyTooLarge, "the body exceeds the limit"),
        _ => Refusal::new(ResultCode::BodyIncomplete, format!("the body is not complete: {error}")),
    }
}

async fn serve_prompt(
    request: &HttpRequest,
    shared: &Arc<Shared>,
    clients: &UpstreamClients,
    customer: Customer,
    params: PromptParams,
) -> HttpResponse {
    let service = ServiceName::from(params.model.as_str());
    let config = match check_model(shared, &customer, &service) {
        Ok(config) => config,
        Err(refusal) => return refusal.response(),
    };
    if let Err(refusal) = shared.check_config_known().and_then(|()| shared.check_capacity()) {
        return refusal.response();
    }
    let lifecycle = RequestLifecycle::new(shared, &customer.id, &service, traceparent(request));
    let writer = ResponseWriter::new(params.kind, &lifecycle.id, &params.model);
    let deadline_ms = params.deadline_ms.unwrap_or(shared.rules_of(&service).deadlines.request_ms);
    let deadline_ms = deadline_ms.min(MAX_DEADLINE_MS);
    let prompt = PromptRequest {
        prompt: params.prompt,
        max_tokens: params.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        adapter: params.adapter.unwrap_or_default(),
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
    };
    let (sender, receiver) = channel(RELAY_BUFFER_TOKENS);
    let dispatch = Dispatch::new(shared, Rc::clone(&clients.engine), lifecycle, prompt, config, sender);
    actix_rt::spawn(async move {
        dispatch.run().await;
        drop(params.body);
    });
    if params.stream {
        streamed_response(writer, receiver).await
    } else {
        full_response(&writer, receiver, shared.memory.reservation()).await
    }
}

fn check_model(
    shared: &Shared,
    customer: &Customer,
    service: &ServiceName,
) -> Result<ServiceConfig, Refusal> {
    match shared.config.services.get(service) {
        Some(config) if config.kind == ServiceKind::Model => {
            customer.check_service(service)?;
            Ok(config.clone())
        }
        _ => Err(Refusal::new(ResultCode::ModelUnknown, format!("no service offers the model {service}"))),
    }
}

/// Returns the caller's `traceparent` header, or an empty string.
pub fn traceparent(request: &HttpRequest) -> &str {
    request.headers().get("traceparent").and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// Collects the whole text; `memory` is reserved for it.
async fn full_response(
    writer: &ResponseWriter,
    mut receiver: Receiver<ResponseEvent>,
    mut memory: MemoryReservation,
) -> HttpResponse {
    let mut text = String::new();
    while let Some(event) = receiver.recv().await {
        match event {
            ResponseEvent::Token(token) => {
                text.push_str(&token);
                if !memory.try_resize(text.capacity()) {
                    let message = "the node has no memory for the answer";
                    return Refusal::new(ResultCode::UpstreamFailed, message).response();
                }
            }
            ResponseEvent::Refused(refusal) => return refusal.response(),
            ResponseEvent::Finished { finish_reason, usage } => {
                return match writer.full_body(&text, &finish_reason, &usage) {
                    Ok(body) => HttpResponse::Ok().content_type("application/json").body(body),
                    Err(error) => Refusal::new(ResultCode::Internal, error.to_string()).response(),
                };
            }
        }
    }
    Refusal::new(ResultCode::Internal, "the request ended without an answer").response()
}

/// Waits for the first token before sending the status, so that a refusal before it has its own HTTP status.
async fn streamed_response(writer: ResponseWriter, mut receiver: Receiver<ResponseEvent>) -> HttpResponse {
    let first = match receiver.recv().await {
        Some(ResponseEvent::Refused(refusal)) => return refusal.response(),
        Some(first) => first,
        None => return Refusal::new(ResultCode::Internal, "the request ended without an answer").response(),
    };
    let first_events = sse_events(&writer, &first, true);
    let rest = stream::unfold((receiver, writer), |(mut receiver, writer)| async move {
        let event = receiver.recv().await?;
        let events = sse_events(&writer, &event, false);
        Some((events, (receiver, writer)))
    });
    let events = stream::once(async { first_events }).chain(rest);
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-cache"))
        .streaming(events.map(|text| Ok::<_, actix_web::Error>(Bytes::from(text))))
}

fn sse_events(writer: &ResponseWriter, event: &ResponseEvent, first: bool) -> String {
    match event {
        ResponseEvent::Token(text) => writer.token_event(text, first),
        ResponseEvent::Finished { finish_reason, usage } => {
            writer.finish_event(finish_reason, usage) + &done_event()
        }
        // Without [DONE], so that a client does not treat the truncated stream as complete.
        ResponseEvent::Refused(refusal) => json_event(&refusal.body()),
    }
}
