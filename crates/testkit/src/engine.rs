//! A stand-in for a model engine: what it is set to, what it recorded, and its HTTP interface.

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
    util::{Rate, lock},
};

pub use crate::engine_run::{expected_text, expected_text_of};

/// How a stand-in engine behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Prefill speed.
    pub prefill_tokens_per_s: u64,
    /// Time for each generated token of a request that runs alone.
    pub token_ms: u64,
    /// Requests in the batch at most; others wait by priority.
    pub batch_limit: usize,
    /// By how much a full batch slows each token down, in percent.
    pub full_batch_slowdown_percent: u64,
    /// Tokens of prompt in a piece.
    pub piece_tokens: u64,
    /// Bytes of an exported piece.
    pub piece_bytes: usize,
    /// Bytes of prompt that count as a token.
    pub bytes_per_token: u64,
    /// Pieces that fit into the prefix cache.
    pub cache_pieces: usize,
    /// Speed of the link to the stores; 0 means no limit.
    pub link_bytes_per_s: u64,
    /// Age that a load report may reach.
    pub load_lag_ms: u64,
    /// Time after which a cache event can be read.
    pub event_delay_ms: u64,
    /// Cache events become readable in bursts this far apart; 0 means one by one.
    pub event_burst_ms: u64,
    /// Every event whose number is a multiple of this is lost; 0 means none.
    pub event_gap_every: u64,
    /// The weight version at the start.
    pub weight_version: u64,
    /// Base URL of the weight store; without one, weights load at once.
    pub weight_store_url: String,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// A prompt that contains this text crashes the engine; empty means none.
    pub crash_marker: String,
    /// Time for which a crashed engine is unreachable.
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

/// What goes wrong with the streams of an engine, until changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// Each event is sent twice.
    pub duplicate: bool,
    /// Each event is sent a second time after the next one.
    pub late: bool,
    /// An event of another attempt with wrong text precedes each event.
    pub foreign: bool,
    /// The connection of a stream ends after this many tokens, without an end mark.
    pub cut_after_tokens: Option<u64>,
    /// A stream goes silent after this many tokens, without an end.
    pub hang_after_tokens: Option<u64>,
    /// Number of streams that are cut or hang; later ones are whole.
    pub broken_streams: u64,
}

/// A stand-in for a model engine.
#[derive(Debug)]
pub struct Engine {
    server: StandInServer,
    state: Arc<EngineState>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) config: EngineConfig,
    pub(crate) connection: Proxy,
    pub(crate) cache: Mutex<Cache>,
    pub(crate) batch: Arc<Slots>,
    /// Held while a prompt is prefilled, so that prompts queue.
    pub(crate) prefill: Arc<Slots>,
    pub(crate) queue_tokens: AtomicU64,
    pub(crate) link: Rate,
    pub(crate) incarnation: AtomicU64,
    pub(crate) leaving: AtomicBool,
    pub(crate) faults: Mutex<StreamFaults>,
    pub(crate) cancelled: Mutex<BTreeSet<String>>,
    pub(crate) weights: Mutex<Weights>,
    pub(crate) records: Mutex<EngineRecords>,
    report: Mutex<Option<(Instant, EngineLoad)>>,
}

/// What an engine recorded.
#[derive(Clone, Debug, Default)]
pub struct EngineRecords {
    /// Attempts in the order of arrival.
    pub runs: Vec<RunRecord>,
    /// Orders in the order of arrival.
    pub orders: Vec<OrderRecord>,
    /// Blocks read from stores.
    pub block_reads: Vec<BlockRead>,
    /// Attempts and orders refused without running, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Requests that asked for pieces which the cache holds for another customer.
    pub foreign_salts: u64,
    /// Requests that asked for pieces which were computed by another weight version.
    pub foreign_versions: u64,
    /// Bytes of transfers that were cancelled, failed verification or were evicted before use.
    pub wasted_bytes: u64,
    /// Bytes of pieces read from stores.
    pub imported_bytes: u64,
    /// Bytes of pieces written to stores.
    pub exported_bytes: u64,
    /// Prompt tokens that were computed.
    pub computed_tokens: u64,
    /// Prompt tokens that were found in the cache.
    pub cached_tokens: u64,
    /// Number of crashes.
    pub crashes: u64,
}

impl Engine {
    /// Starts an engine.
    pub fn start(config: EngineConfig) -> Self {
        let state = Arc::new(EngineState {
            connection: Proxy::start(None),
            cache: Mutex::new(Cache::new(&config)),
            batch: Slots::new(config.batch_limit.max(1)),
            prefill: Slots::new(1),
            queue_tokens: AtomicU64::new(0),
            link: Rate::new(config.link_bytes_per_s),
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
        state.connection.set_target(server.address());
        Self { server, state }
    }

    /// Returns the base URL; it leads through the engine's own proxy.
    pub fn url(&self) -> String {
        self.state.connection.url()
    }

    /// Returns the address behind `url`.
    pub fn address(&self) -> SocketAddr {
        self.state.connection.address()
    }

    /// Returns the base URL without the proxy, for measurements without faults.
    pub fn direct_url(&self) -> String {
        self.server.url()
    }

    /// Returns the connection of the engine to everything else, for faults.
    pub fn proxy(&self) -> &Proxy {
        &self.state.connection
    }

    /// Returns the number of requests that ran to their end.
    pub fn completed(&self) -> u64 {
        lock(&self.state.records).runs.iter().filter(|run| run.finished).count() as u64
    }

    /// Returns the number of cancelled requests.
    pub fn cancelled(&self) -> usize {
        lock(&self.state.cancelled).len()
    }

    /// Returns what the engine recorded.
    pub fn records(&self) -> EngineRecords {
        lock(&self.state.records).clone()
    }

    /// Returns the weight version in service.
    pub fn weight_version(&self) -> u64 {
        lock(&self.state.weights).version
    }

    /// Returns how many requests are in the batch.
    pub fn running(&self) -> usize {
        self.state.batch.taken()
    }

    /// Returns how many requests wait for a place in the batch.
    pub fn waiting(&self) -> usize {
        self.state.batch.waiting()
    }

    /// Returns how many pieces the prefix cache holds.
    pub fn cached_pieces(&self) -> usize {
        lock(&self.state.cache).len()
    }

    /// Evicts every piece of the prefix cache.
    pub fn evict_all(&self) {
        lock(&self.state.cache).evict_all();
    }

    /// Sets what goes wrong with streams from now on.
    pub fn set_stream_faults(&self, faults: StreamFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Changes the speed of the link to the stores; 0 means no limit.
    pub fn set_link_bytes_per_s(&self, bytes_per_s: u64) {
        self.state.link.set(bytes_per_s);
    }

    /// Refuses new requests as a leaving engine; those in progress end.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Crashes: unreachable at once, with an empty cache and a new incarnation when it is revived.
    pub fn kill(&self) {
        self.state.crash();
    }

    /// Makes a killed engine reachable again.
    pub fn restart(&self) {
        self.state.connection.reopen();
    }
}

impl EngineState {
    pub(crate) fn crash(&self) {
        self.connection.close();
        self.incarnation.fetch_add(1, Ordering::Relaxed);
        *lock(&self.cache) = Cache::new(&self.config);
        lock(&self.report).take();
        lock(&self.records).crashes += 1;
    }

    pub(crate) fn is_cancelled(&self, id: &str) -> bool {
        lock(&self.cancelled).contains(id)
    }

    /// Refuses without running, and says so.
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

/// Answers with the last report until it is as old as the lag allows.
async fn load(state: Data<EngineState>) -> HttpResponse {
    let lag = Duration::from_millis(state.config.load_lag_ms);
    let mut report = lock(&state.report);
    let (taken, mut load) = match report.take() {
        Some((taken, load)) if taken.elapsed() < lag => (taken, load),
        _ => (Instant::now(), state.current_load()),
    };
    *report = Some((taken, load.clone()));
    load.report_age_ms = u64::try_from(taken.elapsed().as_millis()).unwrap_or(u64::MAX);
    HttpResponse::Ok().json(load)
}

#[derive(Debug, Deserialize)]
struct After {
    after: u64,
}

async fn cache_events(query: Query<After>, state: Data<EngineState>) -> HttpResponse {
    let incarnation = state.incarnation.load(Ordering::Relaxed);
    HttpResponse::Ok().json(lock(&state.cache).events_after(query.after, incarnation))
}
