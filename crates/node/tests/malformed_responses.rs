//! Malformed responses of engines, stores, plain services and the platform's list, and sound ones, on each kind of call.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod support {
    pub(crate) mod upstream_requests;
}

use daisysill_node::{
    engine_client::HttpEngine,
    http,
    plain_client::HttpPlainService,
    platform_client::HttpPlatform,
    upstream_api::{AttemptError, AttemptResult, Engine, PlainService, Platform, Store},
};
use daisysill_testkit::{
    malformed_responses::{Body, malformed_responses, sound_responses},
    response_server::{Delivery, ResponseServer},
};
use daisysill_wire::http_types::{EngineOrder, ExportRequest, ImportRequest};
use futures::StreamExt;
use support::upstream_requests::{engine_request, plain_request};

const JSON_FIELDS: &str = "Content-Type: application/json\r\n";
const EVENT_FIELDS: &str = "Content-Type: text/event-stream\r\n";
/// A body that all calls with a JSON response accept.
const JSON: &str = r#"{"queue_tokens":0,"running":0,"prefill_tokens_per_s":1,"weight_version":1,"report_age_ms":0,
    "incarnation":1,"events":[],"next_seq":1,"blocks":[],"imported":0,"bytes":0,"disk_bytes":0,"disk_limit_bytes":1,
    "link_bytes_per_s":1,"memory_bytes":0,"memory_limit_bytes":1,"instances":[]}"#;
const EVENT: &str = "data: {\"attempt_id\":\"att-1\",\"text\":\"la\",\"token_index\":0}\n\n";
/// The last event, and the line end behind a comment that fills up its part of the body.
const LAST_EVENT: &str = "\n\ndata: [DONE]\n\n";

/// A call of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Load,
    CacheEvents,
    Usage,
    Instances,
    Export,
    Import,
    Order,
    Free,
    Cancel,
    Generate,
    Plain,
}

impl Call {
    const ALL: [Self; 11] = [
        Self::Load,
        Self::CacheEvents,
        Self::Usage,
        Self::Instances,
        Self::Export,
        Self::Import,
        Self::Order,
        Self::Free,
        Self::Cancel,
        Self::Generate,
        Self::Plain,
    ];

    /// Returns whether it uses connections that earlier calls left open.
    const fn is_poll(self) -> bool {
        matches!(self, Self::Load | Self::CacheEvents | Self::Usage | Self::Instances)
    }

    /// Returns the fields and the body of its responses.
    fn content(self) -> (&'static str, Body) {
        match self {
            Self::Generate => (EVENT_FIELDS, Body::of_parts(EVENT, LAST_EVENT)),
            _ => (JSON_FIELDS, Body::json(JSON)),
        }
    }

    async fn make(self, clients: &Clients, url: &str) -> AttemptResult<()> {
        let Clients { engine, platform, plain } = clients;
        let export = ExportRequest { generation: 1, pieces: Vec::new(), store_url: String::new() };
        let import =
            ImportRequest { blocks: Vec::new(), store_url: String::new(), transfer_id: "xfer-1".to_owned() };
        let order = EngineOrder { fencing: 1, kind: "load_weights".to_owned(), weight_version: 2 };
        match self {
            Self::Load => engine.load(url).await.map(drop),
            Self::CacheEvents => engine.cache_events(url, 0).await.map(drop),
            Self::Usage => engine.usage(url).await.map(drop),
            Self::Instances => platform.instances(url).await.map(drop),
            Self::Export => engine.export(url, &export).await.map(drop),
            Self::Import => engine.import(url, &import).await.map(drop),
            Self::Order => engine.order(url, &order).await,
            Self::Free => engine.free(url, "block", 1).await,
            Self::Cancel => engine.cancel(url, "att-1").await,
            Self::Generate => generate(engine, url).await,
            Self::Plain => plain.send(url, &plain_request(), "").await.map(drop),
        }
    }
}

async fn generate(engine: &HttpEngine, url: &str) -> AttemptResult<()> {
    let mut events = engine.generate(url, &engine_request(), "").await?;
    while let Some(event) = events.next().await {
        event?;
    }
    Ok(())
}

struct Clients {
    engine: HttpEngine,
    platform: HttpPlatform,
    plain: HttpPlainService,
}

impl Clients {
    fn new() -> Self {
        let polls = http::client();
        Self {
            engine: HttpEngine::new(polls.clone()),
            platform: HttpPlatform::new(polls),
            plain: HttpPlainService::default(),
        }
    }
}

/// Makes a call whose response arrives in this way; returns its result and the number of requests that it took.
async fn result_of(
    call: Call,
    server: &ResponseServer,
    response: Vec<u8>,
    delivery: Delivery,
) -> (AttemptResult<()>, usize) {
    let (clients, url) = (Clients::new(), format!("http://{}", server.address()));
    server.respond(response, delivery);
    if delivery == Delivery::Second {
        call.make(&clients, &url).await.unwrap();
    }
    server.take_requests();
    let result = call.make(&clients, &url).await;
    (result, server.take_requests())
}

/// Returns how the responses to a call are sent. Only polls use a connection twice, and that of the load is repeated on a new one.
fn deliveries(call: Call) -> impl Iterator<Item = Delivery> {
    let uses_connection_twice = call.is_poll() && call != Call::Load;
    Delivery::ALL.into_iter().filter(move |delivery| uses_connection_twice || *delivery != Delivery::Second)
}

fn server_for(call: Call) -> ResponseServer {
    let (fields, body) = call.content();
    ResponseServer::start(sound_responses()[0].bytes(fields, &body))
}

/// Guards against a malformed response that counts as an answer, and against one after which the request is sent once more, or
/// counts as not run.
#[actix_rt::test]
async fn malformed_response_is_a_failure() {
    let mut passed = Vec::new();
    for call in Call::ALL {
        let server = server_for(call);
        let (fields, body) = call.content();
        for malformed in malformed_responses() {
            for delivery in deliveries(call) {
                let bytes = malformed.bytes(fields, &body);
                let (result, requests) = result_of(call, &server, bytes, delivery).await;
                let case = format!("{call:?}, {delivery:?}, {}, {}", malformed.reason, malformed.name);
                match result {
                    Ok(()) => passed.push(format!("{case}: counts as an answer")),
                    Err(error) if error.is_not_run() => passed.push(format!("{case}: {error}")),
                    Err(_) if !call.is_poll() && requests != 1 => {
                        passed.push(format!("{case}: {requests} requests"));
                    }
                    Err(_) => {}
                }
            }
        }
    }
    assert!(passed.is_empty(), "{}:\n{}", passed.len(), passed.join("\n"));
}

/// Guards against a sound response that is refused since its spelling is rare.
#[actix_rt::test]
async fn sound_response_is_an_answer() {
    let mut failed = Vec::new();
    for call in Call::ALL {
        let server = server_for(call);
        let (fields, body) = call.content();
        for sound in sound_responses() {
            for delivery in deliveries(call) {
                let (result, _) = result_of(call, &server, sound.bytes(fields, &body), delivery).await;
                if let Err(error) = result {
                    let error: AttemptError = error;
                    failed.push(format!("{call:?}, {delivery:?}, {}: {error}", sound.name));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{}:\n{}", failed.len(), failed.join("\n"));
}
