//! Reaches engines and stores over HTTP.

use std::{collections::VecDeque, time::Duration};

use awc::Client;
use daisysill_wire::http_types::{
    CacheEvents, EngineEvent, EngineLoad, EngineOrder, EngineRequest, ExportReply, ExportRequest,
    ImportReply, ImportRequest, StoreUsage,
};
use futures::{FutureExt, Stream, StreamExt, future::LocalBoxFuture, stream};

use crate::{
    http,
    sse::{DONE, EventSplitter},
    upstream_api::{AttemptError, AttemptResult, Engine, EngineStream, Store},
};

/// Time in which a transfer between an engine and a store must end.
const TRANSFER_TIMEOUT: Duration = Duration::from_mins(1);
/// Time in which an engine must accept an order; a new holder of the lease waits it out.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Reaches engines and stores over HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    client: Client,
    /// Opens a connection for each call, so that none meets a pooled connection that went silent.
    unpooled: Client,
}

impl HttpEngine {
    /// Creates an adapter over a client.
    pub fn new(client: Client) -> Self {
        Self { client, unpooled: http::client() }
    }

    async fn start(
        &self,
        url: &str,
        request: &EngineRequest,
        traceparent: &str,
    ) -> AttemptResult<EngineStream> {
        let mut post = self.unpooled.post(format!("{url}/v1/completions")).force_close();
        if !traceparent.is_empty() {
            post = post.insert_header(("traceparent", traceparent));
        }
        let response = post.send_json(request).await.map_err(|e| http::sort_send_error(&e))?;
        if !response.status().is_success() {
            return Err(http::sort_error_status(&response));
        }
        Ok(events(response.map(|chunk| chunk.map_err(|e| AttemptError::Failed(e.to_string())))).boxed_local())
    }
}

impl Engine for HttpEngine {
    fn generate<'a>(
        &'a self,
        url: &'a str,
        request: &'a EngineRequest,
        traceparent: &'a str,
    ) -> LocalBoxFuture<'a, AttemptResult<EngineStream>> {
        self.start(url, request, traceparent).boxed_local()
    }

    fn cancel<'a>(&'a self, url: &'a str, id: &'a str) -> LocalBoxFuture<'a, AttemptResult<()>> {
        async move { http::delete(&self.client, &format!("{url}/v1/requests/{id}")).await }.boxed_local()
    }

    fn load<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<EngineLoad>> {
        async move {
            let url = format!("{url}/v1/load");
            match http::get_json(&self.client, &url).await {
                // The pooled connection may have gone silent; only a new one tells of the engine.
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
        async move { http::get_json(&self.client, &format!("{url}/v1/cache-events?after={after}")).await }
            .boxed_local()
    }

    fn export<'a>(
        &'a self,
        url: &'a str,
        request: &'a ExportRequest,
    ) -> LocalBoxFuture<'a, AttemptResult<ExportReply>> {
        async move {
            let url = format!("{url}/v1/kv/export");
            http::post_json(&self.client, &url, request, TRANSFER_TIMEOUT).await
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
            http::post_json(&self.client, &url, request, TRANSFER_TIMEOUT).await
        }
        .boxed_local()
    }

    fn order<'a>(&'a self, url: &'a str, order: &'a EngineOrder) -> LocalBoxFuture<'a, AttemptResult<()>> {
        async move {
            let url = format!("{url}/v1/orders");
            http::post_json::<_, serde_json::Value>(&self.client, &url, order, ORDER_TIMEOUT).await.map(drop)
        }
        .boxed_local()
    }
}

impl Store for HttpEngine {
    fn usage<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<StoreUsage>> {
        async move { http::get_json(&self.client, &format!("{url}/v1/usage")).await }.boxed_local()
    }

    fn free<'a>(
        &'a self,
        url: &'a str,
        name: &'a str,
        generation: u64,
    ) -> LocalBoxFuture<'a, AttemptResult<()>> {
        async move { http::delete(&self.client, &format!("{url}/v1/blocks/{name}/{generation}")).await }
            .boxed_local()
    }
}

/// Turns the bytes of an engine's answer into events; a stream that ends without `[DONE]` is an error.
fn events<S>(bytes: S) -> impl Stream<Item = AttemptResult<EngineEvent>>
where
    S: Stream<Item = AttemptResult<actix_web::web::Bytes>> + Unpin,
{
    let state = (bytes, EventSplitter::default(), VecDeque::<String>::new(), false);
    stream::unfold(state, |(mut bytes, mut splitter, mut ready, mut ended)| async move {
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
                return Some((event, (bytes, splitter, ready, ended)));
            }
            match bytes.next().await {
                Some(Ok(chunk)) => {
                    let Ok(events) = splitter.push(&chunk) else {
                        let error = AttemptError::Failed("event exceeds the limit".to_owned());
                        return Some((Err(error), (bytes, splitter, ready, true)));
                    };
                    ready.extend(events);
                }
                Some(Err(error)) => return Some((Err(error), (bytes, splitter, ready, true))),
                None => {
                    let error = AttemptError::Failed("the stream ended early".to_owned());
                    return Some((Err(error), (bytes, splitter, ready, true)));
                }
            }
        }
    })
}
