//! The HTTP interface for callers.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    error::PayloadError,
    web::{self, Bytes, Data, Payload, ServiceConfig as Routes},
};
use daisysill_core::{ids::ServiceName, result_code::ResultCode};
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
    openai::{AnswerKind, AnswerWriter, chat_prompt},
    plain_dispatch,
    refusal::Refusal,
    request::RequestLifecycle,
    shared::Shared,
    sse::{done_event, json_event},
    upstream_api::{Engine, PlainService},
};

/// Tokens generated when the caller names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Longest time that a caller may give a request; rule files allow no more either.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Tokens that wait for a slow caller before its upstream is held back.
const RELAY_BUFFER_TOKENS: usize = 64;

/// Adapters of one worker thread.
#[derive(Clone)]
pub struct UpstreamClients {
    /// Reaches model engines.
    pub engine: Rc<dyn Engine>,
    /// Reaches plain services.
    pub plain: Rc<dyn PlainService>,
}

/// Adds the routes for callers.
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
    let (customer, body) = match parsed {
        Ok(parsed) => parsed,
        Err(refusal) => return refusal.response(),
    };
    let call = PromptCall {
        kind: AnswerKind::Chat,
        prompt: chat_prompt(&body),
        model: body.model,
        stream: body.stream,
        max_tokens: body.max_tokens,
        adapter: body.adapter,
        deadline_ms: body.deadline_ms,
    };
    serve_prompt(&request, &shared, &clients, customer, call).await
}

async fn completion(
    request: HttpRequest,
    payload: Payload,
    shared: Data<Shared>,
    clients: Data<UpstreamClients>,
) -> HttpResponse {
    let shared = shared.into_inner();
    let parsed = authenticate_and_parse::<CompletionRequest>(&request, payload, &shared).await;
    let (customer, body) = match parsed {
        Ok(parsed) => parsed,
        Err(refusal) => return refusal.response(),
    };
    let call = PromptCall {
        kind: AnswerKind::Text,
        prompt: body.prompt,
        model: body.model,
        stream: body.stream,
        max_tokens: body.max_tokens,
        adapter: body.adapter,
        deadline_ms: body.deadline_ms,
    };
    serve_prompt(&request, &shared, &clients, customer, call).await
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

/// A chat or text request in common form.
struct PromptCall {
    kind: AnswerKind,
    prompt: String,
    model: String,
    stream: bool,
    max_tokens: Option<u32>,
    adapter: Option<String>,
    deadline_ms: Option<u64>,
}

async fn authenticate_and_parse<T: DeserializeOwned>(
    request: &HttpRequest,
    payload: Payload,
    shared: &Shared,
) -> Result<(Customer, T), Refusal> {
    let customer = shared.authenticator.authenticate(request)?.clone();
    let body = read_body(payload, &shared.config.limits).await?;
    let parsed = serde_json::from_slice(&body).map_err(|error| {
        Refusal::new(ResultCode::BodyMalformed, format!("the body is not valid: {error}"))
    })?;
    Ok((customer, parsed))
}

/// Reads a body within the limits.
///
/// # Errors
/// Refuses a body that is too large, ends early or stops arriving.
pub async fn read_body(mut payload: Payload, limits: &LimitConfig) -> Result<Bytes, Refusal> {
    let limit_bytes = limits.body_bytes;
    let pause = Duration::from_millis(limits.body_timeout_ms);
    let mut body = web::BytesMut::new();
    loop {
        let chunk = timeout(pause, payload.next()).await.map_err(|_| {
            Refusal::new(ResultCode::BodyIncomplete, "the rest of the body did not arrive in time")
        })?;
        let Some(chunk) = chunk else { break };
        let chunk = chunk.map_err(|error| sort_payload_error(&error))?;
        if body.len() + chunk.len() > limit_bytes {
            let message = format!("the body exceeds {limit_bytes} bytes");
            return Err(Refusal::new(ResultCode::BodyTooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn sort_payload_error(error: &PayloadError) -> Refusal {
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
    call: PromptCall,
) -> HttpResponse {
    let service = ServiceName::from(call.model.as_str());
    let config = match check_model(shared, &customer, &service) {
        Ok(config) => config,
        Err(refusal) => return refusal.response(),
    };
    if let Err(refusal) = shared.check_capacity() {
        return refusal.response();
    }
    let life = RequestLifecycle::new(shared, &customer.id, &service, traceparent(request));
    let writer = AnswerWriter::new(call.kind, &life.id, &call.model);
    let deadline_ms = call.deadline_ms.unwrap_or(shared.rules_of(&service).deadlines.request_ms);
    let deadline_ms = deadline_ms.min(MAX_DEADLINE_MS);
    let prompt = PromptRequest {
        prompt: call.prompt,
        max_tokens: call.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        adapter: call.adapter.unwrap_or_default(),
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
    };
    let (sender, receiver) = channel(RELAY_BUFFER_TOKENS);
    let dispatch = Dispatch::new(shared, Rc::clone(&clients.engine), life, prompt, config, sender);
    actix_rt::spawn(dispatch.run());
    if call.stream { stream_answer(writer, receiver).await } else { whole_answer(&writer, receiver).await }
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

/// Returns the caller's trace context, or an empty one.
pub fn traceparent(request: &HttpRequest) -> &str {
    request.headers().get("traceparent").and_then(|v| v.to_str().ok()).unwrap_or_default()
}

async fn whole_answer(writer: &AnswerWriter, mut receiver: Receiver<ResponseEvent>) -> HttpResponse {
    let mut text = String::new();
    while let Some(delivery) = receiver.recv().await {
        match delivery {
            ResponseEvent::Token(token) => text.push_str(&token),
            ResponseEvent::Refused(refusal) => return refusal.response(),
            ResponseEvent::Finished { finish_reason, usage } => {
                return match writer.whole(&text, &finish_reason, &usage) {
                    Ok(body) => HttpResponse::Ok().content_type("application/json").body(body),
                    Err(error) => Refusal::new(ResultCode::Internal, error.to_string()).response(),
                };
            }
        }
    }
    Refusal::new(ResultCode::Internal, "the request ended without an answer").response()
}

/// Waits for the first token, so that a refusal before it still has its own HTTP status, then streams.
async fn stream_answer(writer: AnswerWriter, mut receiver: Receiver<ResponseEvent>) -> HttpResponse {
    let first = match receiver.recv().await {
        Some(ResponseEvent::Refused(refusal)) => return refusal.response(),
        Some(first) => first,
        None => return Refusal::new(ResultCode::Internal, "the request ended without an answer").response(),
    };
    let first_events = delivery_events(&writer, &first, true);
    let rest = stream::unfold((receiver, writer), |(mut receiver, writer)| async move {
        let delivery = receiver.recv().await?;
        let events = delivery_events(&writer, &delivery, false);
        Some((events, (receiver, writer)))
    });
    let events = stream::once(async { first_events }).chain(rest);
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-cache"))
        .streaming(events.map(|text| Ok::<_, actix_web::Error>(Bytes::from(text))))
}

fn delivery_events(writer: &AnswerWriter, delivery: &ResponseEvent, first: bool) -> String {
    match delivery {
        ResponseEvent::Token(text) => writer.token_event(text, first),
        ResponseEvent::Finished { finish_reason, usage } => {
            writer.finish_event(finish_reason, usage) + &done_event()
        }
        // The stream ends without [DONE], so that a client does not take it for a whole answer.
        ResponseEvent::Refused(refusal) => json_event(&refusal.body()),
    }
}
