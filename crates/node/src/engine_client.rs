//! HTTP client for engines and stores.

use std::{collections::VecDeque, time::Duration};

use daisysill_core::memory_budget::{MemoryBudget, MemoryReservation};
use daisysill_wire::http_types::{
    CacheEvents, EngineEvent, EngineLoad, EngineOrder, EngineRequest, ExportReply, ExportRequest,
    ImportReply, ImportRequest, StoreUsage,
};
use futures::{FutureExt, Stream, StreamExt, future::LocalBoxFuture, stream};

use crate::{
    http::{self, PollClient, SendGate, UnpooledClient},
    sse::{DONE, EventSplitter},
    upstream_api::{AttemptError, AttemptResult, Engine, EngineStream, Store},
};

/// Path of the requests that generate tokens.
pub(crate) const GENERATION_PATH: &str = "/v1/completions";
/// Limit on a transfer between an engine and a store.
const TRANSFER_TIMEOUT: Duration = Duration::from_mins(1);
/// Limit on an engine's acceptance of an order; a new holder of the order lease waits this
/// long, since an order of the former holder may still be in flight.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client for engines and stores.
#[derive(Clone)]
pub struct HttpEngine {
    /// For polls; keeps connections.
    polls: PollClient,
    /// For requests with an effect, and for a poll whose connection failed or went silent.
    unpooled: UnpooledClient,
    /// As `unpooled`, for generation only.
    generation: UnpooledClient,
    /// For events that are not complete yet.
    memory: MemoryBudget,
}

impl HttpEngine {
    /// Uses `polls` and its pool for polls; each other request opens a connection.
    pub fn new(polls: PollClient) -> Self {
        let (unpooled, generation) = (UnpooledClient::default(), UnpooledClient::default());
        Self { polls, unpooled, generation, memory: MemoryBudget::unlimited() }
    }

    /// Asks `gate` before each generation, on the open connection, whether it may still be sent.
    #[must_use]
    pub fn with_gate(self, gate: SendGate) -> Self {
        Self { generation: UnpooledClient::with_gate(gate), ..self }
    }

    /// Reserves the memory of incomplete events in `memory`; a stream that finds no room fails.
    #[must_use]
    pub fn with_memory(self, memory: MemoryBudget) -> Self {
        Self { memory, ..self }
    }

    async fn start_generation(
        &self,
        url: &str,
        request: &EngineRequest,
        traceparent: &str,
    ) -> AttemptResult<EngineStream> {
        let url = format!("{url}{GENERATION_PATH}");
        let bytes = http::post_for_stream(&self.generation, &url, request, traceparent).await?;
        let bytes = bytes.boxed_local();
        Ok(events(bytes, self.memory.reservation()).boxed_local())
    }
}

impl Engine for HttpEngine {
    fn generate<'a>(
        &'a self,
        url: &'a str,
        request: &'a EngineRequest,
        traceparent: &'a str,
    ) -> LocalBoxFuture<'a, AttemptResult<EngineStream>> {
        self.start_generation(url, request, traceparent).boxed_local()
    }

    fn cancel<'a>(&'a self, url: &'a str, id: &'a str) -> LocalBoxFuture<'a, AttemptResult<()>> {
        async move { http::delete(&self.unpooled, &format!("{url}/v1/requests/{id}")).await }.boxed_local()
    }

    fn load<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<EngineLoad>> {
        async move {
            let url = format!("{url}/v1/load");
            match http::poll_json(&self.polls, &url).await {
                // The pooled connection may be dead; only a new one shows whether the engine is.
                Err(AttemptError::Failed(_) | AttemptError::Silent) => {
                    http::get_json(&self.unpooled, &url).await
                }
                other => other,
            }
        }
        .boxed_local()
    }

    fn cache_events<'a>(
        &'a self,
        url: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, AttemptResult<CacheEvents>> {
        async move { http::poll_json(&self.polls, &format!("{url}/v1/cache-events?after={after}")).await }
            .boxed_local()
    }

    fn export<'a>(
        &'a self,
        url: &'a str,
        request: &'a ExportRequest,
    ) -> LocalBoxFuture<'a, AttemptResult<ExportReply>> {
        async move {
            let url = format!("{url}/v1/kv/export");
            http::post_json(&self.unpooled, &url, request, TRANSFER_TIMEOUT).await
        }
        .boxed_local()
    }

    fn import<'a>(
        &'a self,
        url: &'a str,
        request: &'a ImportRequest,
    ) -> LocalBoxFuture<'a, AttemptResult<ImportReply>> {
        async move {
            let url = format!("{url}/v1/kv/import");
            http::post_json(&self.unpooled, &url, request, TRANSFER_TIMEOUT).await
        }
        .boxed_local()
    }

    fn order<'a>(&'a self, url: &'a str, order: &'a EngineOrder) -> LocalBoxFuture<'a, AttemptResult<()>> {
        async move {
            let url = format!("{url}/v1/orders");
            http::post_json::<_, serde_json::Value>(&self.unpooled, &url, order, ORDER_TIMEOUT)
                .await
                .map(drop)
        }
        .boxed_local()
    }
}

impl Store for HttpEngine {
    fn usage<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<StoreUsage>> {
        async move { http::poll_json(&self.polls, &format!("{url}/v1/usage")).await }.boxed_local()
    }

    fn free<'a>(
        &'a self,
        url: &'a str,
        name: &'a str,
        generation: u64,
    ) -> LocalBoxFuture<'a, AttemptResult<()>> {
        async move { http::delete(&self.unpooled, &format!("{url}/v1/blocks/{name}/{generation}")).await }
            .boxed_local()
    }
}

/// Decodes the body of an engine's response into events; a stream that ends without `[DONE]` is an error. `memory` is reserved for an
/// event that is not complete.
fn events<S>(bytes: S, memory: MemoryReservation) -> impl Stream<Item = AttemptResult<EngineEvent>>
where
    S: Stream<Item = AttemptResult<actix_web::web::Bytes>> + Unpin,
{
    let splitter = (EventSplitter::default(), memory);
    let state = (bytes, splitter, VecDeque::<String>::new(), false);
    stream::unfold(state, |(mut bytes, (mut splitter, mut memory), mut ready, mut ended)| async move {
        loop {
            if ended {
                return None;
            }
            if let Some(data) = ready.pop_front() {
                if data == DONE {
                    return None;
                }
                let event = serde_json::from_str(&data).map_err(|error| {
                    AttemptError::Failed(format!("event is not the expected JSON: {error}"))
                });
                ended = event.is_err();
                return Some((event, (bytes, (splitter, memory), ready, ended)));
            }
            match bytes.next().await {
                Some(Ok(chunk)) => {
                    let Ok(events) = splitter.push(&chunk) else {
                        let error = AttemptError::Failed("event exceeds the limit".to_owned());
                        return Some((Err(error), (bytes, (splitter, memory), ready, true)));
                    };
                    if !memory.try_resize(splitter.pending_bytes()) {
                        let error = AttemptError::Failed("the node has no memory for the event".to_owned());
                        return Some((Err(error), (bytes, (splitter, memory), ready, true)));
                    }
                    ready.extend(events);
                }
                Some(Err(error)) => return Some((Err(error), (bytes, (splitter, memory), ready, true))),
                None => {
                    let error = AttemptError::Failed("the stream ended early".to_owned());
                    return Some((Err(error), (bytes, (splitter, memory), ready, true)));
                }
            }
        }
    })
}
