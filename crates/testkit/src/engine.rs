//! A stand-in for a model engine: its configuration, its records for tests, and its HTTP interface.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use actix_web::{
    HttpResponse,
    web::{self, Data, Path, Query},
};
use daisysill_wire::http_types::EngineLoad;
use serde::Deserialize;

use crate::{
    engine_cache::Cache,
    engine_orders::{self, OrderRecord, Weights},
    engine_run::{self, RunRecord},
    engine_transfer::{self, BlockRead},
    paths,
    proxy::Proxy,
    server::StandInServer,
    slots::Slots,
    util::{RateLimiter, lock},
};

pub use crate::engine_run::{expected_text, expected_text_of};

/// Speeds, sizes and limits of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Prefill rate in prompt tokens per second; prompts are prefilled one at a time.
    pub prefill_tokens_per_s: u64,
    /// Decode time of a token while the request is alone in the batch.
    pub token_ms: u64,
    /// Most requests in the batch; others wait by priority.
    pub batch_limit: usize,
    /// Increase of the decode time in a full batch, in percent; proportionally less in a smaller one.
    pub full_batch_slowdown_percent: u64,
    /// Prompt tokens that a KV piece covers.
    pub piece_tokens: u64,
    /// Size of an exported piece.
    pub piece_bytes: usize,
    /// Prompt bytes that count as one token; the engine has no tokenizer.
    pub bytes_per_token: u64,
    /// Capacity of the prefix cache, in pieces.
    pub cache_pieces: usize,
    /// Rate of the link to the stores; 0 means no limit.
    pub link_bytes_per_s: u64,
    /// Age up to which a load report is served again before a new one is made.
    pub load_lag_ms: u64,
    /// Delay until a cache event can be read.
    pub event_delay_ms: u64,
    /// Interval at which delayed cache events become readable together; 0 means each at its own time.
    pub event_burst_ms: u64,
    /// Cache events whose sequence number is a multiple of this are lost; 0 loses none.
    pub event_gap_every: u64,
    /// Weight version that is loaded at the start.
    pub weight_version: u64,
    /// Base URL of the weight store; if empty, weights load at once.
    pub weight_store_url: String,
    /// Whether orders with a lower fencing number than an earlier one are refused.
    pub checks_fencing: bool,
    /// A prompt that contains this text crashes the engine after its prefill; empty disables this.
    pub crash_marker: String,
    /// Time for which a crash by `crash_marker` leaves the engine unreachable.
    pub crash_down_ms: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 20_000,
            token_ms: 2,
            batch_limit: 64,
            full_batch_slowdown_percent: 100,
            piece_tokens: 2_000,
            piece_bytes: 262_144,
            bytes_per_token: 4,
            cache_pieces: 64,
            link_bytes_per_s: 0,
            load_lag_ms: 0,
            event_delay_ms: 0,
            event_burst_ms: 0,
            event_gap_every: 0,
            weight_version: 1,
            weight_store_url: String::new(),
            checks_fencing: false,
            crash_marker: String::new(),
            crash_down_ms: 500,
        }
    }
}

/// Faults of an engine's streams, in effect until they are changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// Each event is sent twice.
    pub duplicate: bool,
    /// Each event is sent again after the next one.
    pub late: bool,
    /// Each event is preceded by one that has another attempt's id and wrong text.
    pub foreign: bool,
    /// The connection is closed after this many tokens of the stream, without an end mark.
    pub cut_after_tokens: Option<u64>,
    /// The stream sends nothing more after this many tokens, and stays open.
    pub hang_after_tokens: Option<u64>,
    /// Number of further streams that are cut or hang; those after them are complete.
    pub broken_streams: u64,
}

/// A running stand-in engine, which is reached through its own fault-injecting proxy.
#[derive(Debug)]
pub struct Engine {
    server: StandInServer,
    state: Arc<EngineState>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) config: EngineConfig,
    pub(crate) proxy: Proxy,
    pub(crate) cache: Mutex<Cache>,
    pub(crate) batch: Arc<Slots>,
    /// The single slot that a prompt holds during its prefill.
    pub(crate) prefill: Arc<Slots>,
    /// Prompt tokens that wait for prefill or are being prefilled.
    pub(crate) queue_tokens: AtomicU64,
    pub(crate) link: RateLimiter,
    pub(crate) incarnation: AtomicU64,
    pub(crate) leaving: AtomicBool,
    pub(crate) faults: Mutex<StreamFaults>,
    /// Ids of cancelled attempts and transfers.
    pub(crate) cancelled: Mutex<BTreeSet<String>>,
    pub(crate) weights: Mutex<Weights>,
    pub(crate) records: Mutex<EngineRecords>,
    /// The last load report and when it was made.
    report: Mutex<Option<(Instant, EngineLoad)>>,
}

/// What an engine recorded since its start, across crashes.
#[derive(Clone, Debug, Default)]
pub struct EngineRecords {
    /// Attempts that got a slot in the batch, in that order.
    pub runs: Vec<RunRecord>,
    /// Orders in their order of arrival.
    pub orders: Vec<OrderRecord>,
    /// Blocks read completely from stores.
    pub block_reads: Vec<BlockRead>,
    /// Number of attempts and orders refused without running, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Attempts that named pieces which the cache holds under another customer's salt.
    pub foreign_salts: u64,
    /// Attempts that named cached pieces of another weight version.
    pub foreign_versions: u64,
    /// Bytes of transfers that were cancelled or failed, and of imported pieces that were evicted before use.
    pub wasted_bytes: u64,
    /// Bytes of blocks read completely from stores, whether they were verified or not.
    pub imported_bytes: u64,
    /// Bytes of pieces written to stores and sealed.
    pub exported_bytes: u64,
    /// Prompt tokens that had to be prefilled.
    pub computed_tokens: u64,
    /// Prompt tokens whose KV pieces were cached.
    pub cached_tokens: u64,
    /// Number of crashes, by `kill` or by `crash_marker`.
    pub crashes: u64,
}

impl Engine {
    /// Starts an engine with an empty cache and incarnation 1.
    pub fn start(config: EngineConfig) -> Self {
        let state = Arc::new(EngineState {
            proxy: Proxy::start(None),
            cache: Mutex::new(Cache::new(&config)),
            batch: Slots::new(config.batch_limit.max(1)),
            prefill: Slots::new(1),
            queue_tokens: AtomicU64::new(0),
            link: RateLimiter::new(config.link_bytes_per_s),
            incarnation: AtomicU64::new(1),
            leaving: AtomicBool::new(false),
            faults: Mutex::default(),
            cancelled: Mutex::default(),
            weights: Mutex::new(Weights::new(config.weight_version)),
            records: Mutex::default(),
            report: Mutex::default(),
            config,
        });
        let data = Data::from(Arc::clone(&state));
        let server = StandInServer::start(move |routes| {
            routes
                .app_data(data.clone())
                .app_data(web::JsonConfig::default().limit(1_073_741_824))
                .route(paths::COMPLETIONS, web::post().to(engine_run::complete))
                .route(paths::REQUEST, web::delete().to(cancel))
                .route(paths::LOAD, web::get().to(load))
                .route(paths::CACHE_EVENTS, web::get().to(cache_events))
                .route(paths::KV_EXPORT, web::post().to(engine_transfer::export))
                .route(paths::KV_IMPORT, web::post().to(engine_transfer::import))
                .route(paths::ORDERS, web::post().to(engine_orders::order));
        });
        state.proxy.set_target(server.address());
        Self { server, state }
    }

    /// Returns the base URL, which leads through the engine's proxy.
    pub fn url(&self) -> String {
        self.state.proxy.url()
    }

    /// Returns the proxy's socket address, which is that of `url`.
    pub fn address(&self) -> SocketAddr {
        self.state.proxy.address()
    }

    /// Returns the base URL that bypasses the proxy, for benchmarks.
    pub fn direct_url(&self) -> String {
        self.server.url()
    }

    /// Returns the proxy in front of the engine, for fault injection.
    pub fn proxy(&self) -> &Proxy {
        &self.state.proxy
    }

    /// Returns the number of attempts that were streamed to their end.
    pub fn completed(&self) -> u64 {
        lock(&self.state.records).runs.iter().filter(|run| run.finished).count() as u64
    }

    /// Returns the number of cancelled attempts and transfers.
    pub fn cancelled(&self) -> usize {
        lock(&self.state.cancelled).len()
    }

    /// Returns a copy of the records.
    pub fn records(&self) -> EngineRecords {
        lock(&self.state.records).clone()
    }

    /// Returns the weight version that the engine serves.
    pub fn weight_version(&self) -> u64 {
        lock(&self.state.weights).version
    }

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> usize {
        self.state.batch.taken()
    }

    /// Returns the number of requests that wait for a slot in the batch.
    pub fn waiting(&self) -> usize {
        self.state.batch.waiting()
    }

    /// Returns the number of pieces in the prefix cache.
    pub fn cached_pieces(&self) -> usize {
        lock(&self.state.cache).len()
    }

    /// Evicts all pieces of the prefix cache, with an event for each.
    pub fn evict_all(&self) {
        lock(&self.state.cache).evict_all();
    }

    /// Sets the faults of streams that start from now on.
    pub fn set_stream_faults(&self, faults: StreamFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Changes the rate of the link to the stores; 0 means no limit.
    pub fn set_link_bytes_per_s(&self, bytes_per_s: u64) {
        self.state.link.set(bytes_per_s);
    }

    /// Makes the engine refuse new requests because it is leaving; those in progress finish.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Crashes the engine: it is unreachable until `restart`, and then has an empty cache and a new incarnation.
    pub fn kill(&self) {
        self.state.crash();
    }

    /// Makes a killed engine reachable again, on the same port.
    pub fn restart(&self) {
        self.state.proxy.reopen();
    }
}

impl EngineState {
    pub(crate) fn crash(&self) {
        // Counted before the connections close: a caller may learn of the crash and read the count within milliseconds.
        lock(&self.records).crashes += 1;
        self.proxy.close();
        self.incarnation.fetch_add(1, Ordering::Relaxed);
        *lock(&self.cache) = Cache::new(&self.config);
        lock(&self.report).take();
    }

    pub(crate) fn is_cancelled(&self, id: &str) -> bool {
        lock(&self.cancelled).contains(id)
    }

    /// Returns a refusal with the header that guarantees that nothing ran, and counts it.
    pub(crate) fn refuse(&self, status: u16, reason: &str) -> HttpResponse {
        *lock(&self.records).refusals.entry(reason.to_owned()).or_default() += 1;
        let status = actix_web::http::StatusCode::from_u16(status).unwrap();
        let mut refusal = HttpResponse::build(status);
        refusal.insert_header(("x-not-run", "1"));
        if reason == "leaving" {
            refusal.insert_header(("x-leaving", "1"));
        }
        refusal.body(format!("{reason}\n"))
    }

    fn current_load(&self) -> EngineLoad {
        EngineLoad {
            queue_tokens: self.queue_tokens.load(Ordering::Relaxed),
            running: self.batch.taken() as u64,
            prefill_tokens_per_s: self.config.prefill_tokens_per_s,
            weight_version: lock(&self.weights).version,
            report_age_ms: 0,
            incarnation: self.incarnation.load(Ordering::Relaxed),
        }
    }
}

async fn cancel(id: Path<String>, state: Data<EngineState>) -> HttpResponse {
    lock(&state.cancelled).insert(id.into_inner());
    HttpResponse::Ok().finish()
}

/// Serves the last report until its age reaches `load_lag_ms`, then a new one.
async fn load(state: Data<EngineState>) -> HttpResponse {
    let lag = Duration::from_millis(state.config.load_lag_ms);
    let mut report = lock(&state.report);
    let (made_at, mut load) = match report.take() {
        Some((made_at, load)) if made_at.elapsed() < lag => (made_at, load),
        _ => (Instant::now(), state.current_load()),
    };
    *report = Some((made_at, load.clone()));
    load.report_age_ms = u64::try_from(made_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    HttpResponse::Ok().json(load)
}

#[derive(Debug, Deserialize)]
struct EventsQuery {
    /// Sequence number of the last event that the reader has.
    after: u64,
}

async fn cache_events(query: Query<EventsQuery>, state: Data<EngineState>) -> HttpResponse {
    let incarnation = state.incarnation.load(Ordering::Relaxed);
    HttpResponse::Ok().json(lock(&state.cache).events_after(query.after, incarnation))
}
