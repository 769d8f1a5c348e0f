//! A stand-in for a plain service, with fault injection and a count of the requests that it ran.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use actix_web::{
    HttpRequest, HttpResponse,
    web::{self, Bytes, Data},
};
use futures::{StreamExt, stream};
use tokio::sync::oneshot;

use crate::{proxy::Proxy, server::StandInServer, util::lock};

/// Time for which a response waits for another one to be swapped with.
const SWAP_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for written bytes to be flushed before a response is truncated.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// A running stand-in for a plain service, which is reached through its own fault-injecting proxy.
#[derive(Debug)]
pub struct PlainService {
    _server: StandInServer,
    proxy: Proxy,
    state: Arc<State>,
}

/// The fault of a plain service, in effect until it is changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlainFault {
    /// Requests run and are answered.
    #[default]
    None,
    /// Requests are refused with the header that guarantees that they did not run.
    RefuseNotRun,
    /// As `RefuseNotRun`, with the header that says that the service is leaving.
    RefuseLeaving,
    /// Requests neither run nor are answered.
    HangBeforeRunning,
    /// Requests run but are not answered.
    HangAfterRunning,
    /// Requests run; the connection is closed within the response body.
    TruncateResponse,
    /// Two concurrent requests get each other's response.
    SwapResponses,
}

#[derive(Debug, Default)]
struct State {
    /// Number of runs, by idempotency key (empty for none) and body.
    runs: Mutex<BTreeMap<(String, String), u64>>,
    /// Values of the header `x-caller-mark` of requests that ran; callers give each send its own.
    marks: Mutex<BTreeSet<String>>,
    fault: Mutex<PlainFault>,
    delay_before_ms: AtomicU64,
    delay_after_ms: AtomicU64,
    refused: AtomicU64,
    /// The response that waits to be swapped, and the sender of the other one.
    pending_swap: Mutex<Option<(String, oneshot::Sender<String>)>>,
    swapped: AtomicBool,
}

impl PlainService {
    /// Starts the service, which answers every request with its method, path and body in one line.
    pub fn start() -> Self {
        let state: Arc<State> = Arc::default();
        let data = Data::from(Arc::clone(&state));
        let server = StandInServer::start(move |routes| {
            routes.app_data(data.clone()).default_service(web::route().to(run));
        });
        let proxy = Proxy::start(Some(server.address()));
        Self { _server: server, proxy, state }
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.proxy.url()
    }

    /// Returns the proxy in front of the service, for fault injection.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    /// Returns how often requests with this body ran.
    pub fn runs(&self, body: &str) -> u64 {
        lock(&self.state.runs).iter().filter(|((_, ran), _)| ran == body).map(|(_, count)| count).sum()
    }

    /// Returns how often each request ran, by idempotency key and body.
    pub fn runs_by_key(&self) -> BTreeMap<(String, String), u64> {
        lock(&self.state.runs).clone()
    }

    /// Returns whether a request ran whose header `x-caller-mark` has this value.
    pub fn has_run_mark(&self, mark: &str) -> bool {
        lock(&self.state.marks).contains(mark)
    }

    /// Returns the number of requests refused without running.
    pub fn refused(&self) -> u64 {
        self.state.refused.load(Ordering::Relaxed)
    }

    /// Returns whether `SwapResponses` has swapped two responses since the start.
    pub fn has_swapped(&self) -> bool {
        self.state.swapped.load(Ordering::Relaxed)
    }

    /// Delays each response by this time after the request ran.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.delay_after_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Delays each run by this time.
    pub fn set_delay_before_ms(&self, delay_ms: u64) {
        self.state.delay_before_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Sets the fault of requests that arrive from now on.
    pub fn set_fault(&self, fault: PlainFault) {
        *lock(&self.state.fault) = fault;
    }
}

async fn run(request: HttpRequest, body: Bytes, state: Data<State>) -> HttpResponse {
    let fault = *lock(&state.fault);
    if matches!(fault, PlainFault::RefuseNotRun | PlainFault::RefuseLeaving) {
        state.refused.fetch_add(1, Ordering::Relaxed);
        let mut refusal = HttpResponse::ServiceUnavailable();
        refusal.insert_header(("x-not-run", "1"));
        if fault == PlainFault::RefuseLeaving {
            refusal.insert_header(("x-leaving", "1"));
        }
        return refusal.finish();
    }
    if fault == PlainFault::HangBeforeRunning {
        return std::future::pending().await;
    }
    sleep_ms(&state.delay_before_ms).await;
    let body = String::from_utf8_lossy(&body).into_owned();
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let key = header("idempotency-key").to_owned();
    lock(&state.marks).insert(header("x-caller-mark").to_owned());
    *lock(&state.runs).entry((key, body.clone())).or_default() += 1;
    if fault == PlainFault::HangAfterRunning {
        return std::future::pending().await;
    }
    sleep_ms(&state.delay_after_ms).await;
    let own = format!("{} {} {body}", request.method(), request.uri());
    if fault == PlainFault::TruncateResponse {
        return truncated_response(own);
    }
    let response = if fault == PlainFault::SwapResponses { swap_response(&state, own).await } else { own };
    HttpResponse::Ok().content_type("text/plain").body(response)
}

/// Announces the full length but sends only the first byte.
fn truncated_response(response: String) -> HttpResponse {
    let (length, first) = (response.len() as u64, Bytes::from(response).slice(..1));
    let body = stream::once(async { Ok(first) }).chain(stream::once(async {
        actix_rt::time::sleep(FLUSH_DELAY).await;
        Err(std::io::Error::other("response truncated by an injected fault"))
    }));
    HttpResponse::Ok().content_type("text/plain").no_chunking(length).streaming(Box::pin(body))
}

async fn sleep_ms(delay_ms: &AtomicU64) {
    actix_rt::time::sleep(Duration::from_millis(delay_ms.load(Ordering::Relaxed))).await;
}

/// Returns the response of another request that gets this one, or this one if none arrives within `SWAP_TIMEOUT`.
async fn swap_response(state: &State, own: String) -> String {
    let waiting = lock(&state.pending_swap).take();
    if let Some((other, sender)) = waiting
        && sender.send(own.clone()).is_ok()
    {
        state.swapped.store(true, Ordering::Relaxed);
        return other;
    }
    let (sender, receiver) = oneshot::channel();
    *lock(&state.pending_swap) = Some((own.clone(), sender));
    match actix_rt::time::timeout(SWAP_TIMEOUT, receiver).await {
        Ok(Ok(other)) => other,
        _ => own,
    }
}
