//! A stand-in for a plain service that counts what it ran and fails on demand.

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

/// How long an answer waits for another one to be crossed with.
const CROSSING_WAIT: Duration = Duration::from_millis(500);

/// Time in which written bytes leave before an answer is cut.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// A stand-in for a plain service.
#[derive(Debug)]
pub struct PlainService {
    _server: StandInServer,
    link: Proxy,
    state: Arc<State>,
}

/// What a plain service does wrong, each until changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlainFault {
    /// Answers as it should.
    #[default]
    None,
    /// Refuses without running, and says so.
    RefuseNotRun,
    /// Refuses because it is leaving, and says so.
    RefuseLeaving,
    /// Never answers and does not run the call.
    HangBeforeRunning,
    /// Runs the call and never answers.
    HangAfterRunning,
    /// Runs the call and closes the connection in the middle of the answer.
    TruncateResponse,
    /// Exchanges the answers of two calls in progress.
    SwapResponses,
}

#[derive(Debug, Default)]
struct State {
    /// Runs by idempotency key (empty for none) and body.
    runs: Mutex<BTreeMap<(String, String), u64>>,
    /// Marks of callers' sends that ran, from the header `x-caller-mark`.
    marks: Mutex<BTreeSet<String>>,
    fault: Mutex<PlainFault>,
    delay_before_ms: AtomicU64,
    delay_after_ms: AtomicU64,
    refused: AtomicU64,
    /// The answer that waits for another one, and where that one goes.
    crossing: Mutex<Option<(String, oneshot::Sender<String>)>>,
    crossed: AtomicBool,
}

impl PlainService {
    /// Starts the service; it answers every path with a line that repeats method, path and body.
    pub fn start() -> Self {
        let state: Arc<State> = Arc::default();
        let data = Data::from(Arc::clone(&state));
        let server = StandInServer::start(move |routes| {
            routes.app_data(data.clone()).default_service(web::route().to(run));
        });
        let link = Proxy::start(Some(server.address()));
        Self { _server: server, link, state }
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.link.url()
    }

    /// Returns the link between the service and everything else, for faults.
    pub fn link(&self) -> &Proxy {
        &self.link
    }

    /// Returns how often a call with this body ran.
    pub fn runs(&self, body: &str) -> u64 {
        lock(&self.state.runs).iter().filter(|((_, ran), _)| ran == body).map(|(_, count)| count).sum()
    }

    /// Returns how often each call ran, by idempotency key and body.
    pub fn runs_by_key(&self) -> BTreeMap<(String, String), u64> {
        lock(&self.state.runs).clone()
    }

    /// Returns whether a send ran that carried this mark in the header `x-caller-mark`.
    pub fn has_run_mark(&self, mark: &str) -> bool {
        lock(&self.state.marks).contains(mark)
    }

    /// Returns how many calls were refused without running.
    pub fn refused(&self) -> u64 {
        self.state.refused.load(Ordering::Relaxed)
    }

    /// Returns whether two answers have been exchanged.
    pub fn has_swapped(&self) -> bool {
        self.state.crossed.load(Ordering::Relaxed)
    }

    /// Makes each call take this long after it ran and before it is answered.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.delay_after_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Makes each call wait this long before it runs.
    pub fn set_delay_before_ms(&self, delay_ms: u64) {
        self.state.delay_before_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Sets what goes wrong from now on.
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
        return cut_answer(own);
    }
    let answer = if fault == PlainFault::SwapResponses { crossed(&state, own).await } else { own };
    HttpResponse::Ok().content_type("text/plain").body(answer)
}

/// Announces the whole length and sends its first byte only.
fn cut_answer(answer: String) -> HttpResponse {
    let (length, first) = (answer.len() as u64, Bytes::from(answer).slice(..1));
    let body = stream::once(async { Ok(first) }).chain(stream::once(async {
        actix_rt::time::sleep(FLUSH_TIME).await;
        Err(std::io::Error::other("cut on demand"))
    }));
    HttpResponse::Ok().content_type("text/plain").no_chunking(length).streaming(Box::pin(body))
}

async fn sleep_ms(delay_ms: &AtomicU64) {
    actix_rt::time::sleep(Duration::from_millis(delay_ms.load(Ordering::Relaxed))).await;
}

/// Exchanges this answer with that of another call, if one comes in time.
async fn crossed(state: &State, own: String) -> String {
    let waiting = lock(&state.crossing).take();
    if let Some((other, sender)) = waiting
        && sender.send(own.clone()).is_ok()
    {
        state.crossed.store(true, Ordering::Relaxed);
        return other;
    }
    let (sender, receiver) = oneshot::channel();
    *lock(&state.crossing) = Some((own.clone(), sender));
    match actix_rt::time::timeout(CROSSING_WAIT, receiver).await {
        Ok(Ok(other)) => other,
        _ => own,
    }
}
