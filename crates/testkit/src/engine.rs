//! A stand-in for a model engine: prefill queue, decoding, bounded prefix cache, load report, cache events.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use actix_web::{
    HttpResponse,
    web::{self, Bytes, Data, Json, Path, Query},
};
use daisysill_wire::border::{
    CacheEvent, CacheEventKind, CacheEvents, EngineEvent, EngineLoad, EngineRequest, Usage,
};
use futures::stream;
use serde::Deserialize;

use crate::{paths, server::StandInServer};

/// How a stand-in engine behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Prefill speed.
    pub prefill_tokens_per_s: u64,
    /// Time for each generated token.
    pub token_ms: u64,
    /// Tokens of prompt in a piece.
    pub piece_tokens: u64,
    /// Bytes of prompt that count as a token.
    pub bytes_per_token: u64,
    /// Pieces that fit into the prefix cache.
    pub cache_pieces: usize,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 20_000,
            token_ms: 2,
            piece_tokens: 2_000,
            bytes_per_token: 4,
            cache_pieces: 64,
        }
    }
}

/// A stand-in for a model engine.
#[derive(Debug)]
pub struct Engine {
    server: StandInServer,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    config: EngineConfig,
    cache: Mutex<Cache>,
    /// Held while a prompt is prefilled, so that prompts queue.
    prefill: tokio::sync::Mutex<()>,
    queue_tokens: AtomicU64,
    running: AtomicU64,
    completed: AtomicU64,
    cancelled: Mutex<BTreeSet<String>>,
}

#[derive(Debug, Default)]
struct Cache {
    /// Names of the pieces, least recently used first.
    pieces: VecDeque<String>,
    events: Vec<CacheEvent>,
}

impl Engine {
    /// Starts an engine.
    pub fn start(config: EngineConfig) -> Self {
        let state = Arc::new(State {
            config,
            cache: Mutex::default(),
            prefill: tokio::sync::Mutex::default(),
            queue_tokens: AtomicU64::new(0),
            running: AtomicU64::new(0),
            completed: AtomicU64::new(0),
            cancelled: Mutex::default(),
        });
        let data = Data::from(Arc::clone(&state));
        let server = StandInServer::start(move |routes| {
            routes
                .app_data(data.clone())
                .app_data(web::JsonConfig::default().limit(1_073_741_824))
                .route(paths::COMPLETIONS, web::post().to(complete))
                .route(paths::REQUEST, web::delete().to(cancel))
                .route(paths::LOAD, web::get().to(load))
                .route(paths::CACHE_EVENTS, web::get().to(cache_events));
        });
        Self { server, state }
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the number of requests that ran to their end.
    pub fn completed(&self) -> u64 {
        self.state.completed.load(Ordering::Relaxed)
    }

    /// Returns the number of cancelled requests.
    pub fn cancelled(&self) -> usize {
        lock(&self.state.cancelled).len()
    }
}

/// Returns the text that every engine generates for a prompt, so that a test can check an answer.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

fn token_text(prompt: &str, index: u64) -> String {
    let digest = blake3::hash(prompt.as_bytes());
    format!("{}{index} ", &digest.to_hex()[..4])
}

async fn complete(request: Json<EngineRequest>, state: Data<State>) -> HttpResponse {
    let state = state.into_inner();
    let request = request.into_inner();
    let prompt_tokens = (request.prompt.len() as u64).div_ceil(state.config.bytes_per_token);
    let cached_pieces = cached_prefix(&state, &request.kv_pieces);
    let cached_tokens = (cached_pieces as u64 * state.config.piece_tokens).min(prompt_tokens);
    let computed_tokens = prompt_tokens - cached_tokens;
    prefill(&state, computed_tokens).await;
    store_pieces(&state, &request.kv_pieces);
    let usage = Usage {
        prompt_tokens,
        completion_tokens: u64::from(request.max_tokens),
        total_tokens: prompt_tokens + u64::from(request.max_tokens),
        cached_tokens: Some(cached_tokens),
    };
    let first = request.resume_from_token;
    let running = Running::new(state);
    let events =
        stream::unfold((running, request, usage, first), |(running, request, usage, index)| async move {
            let end = u64::from(request.max_tokens);
            if index > end || lock(&running.state.cancelled).contains(&request.attempt_id) {
                return None;
            }
            if index == end {
                running.state.completed.fetch_add(1, Ordering::Relaxed);
                let done = Bytes::from_static(b"data: [DONE]\n\n");
                return Some((Ok::<_, actix_web::Error>(done), (running, request, usage, index + 1)));
            }
            actix_rt::time::sleep(Duration::from_millis(running.state.config.token_ms)).await;
            let last = index + 1 == end;
            let event = EngineEvent {
                attempt_id: request.attempt_id.clone(),
                token_index: index,
                text: token_text(&request.prompt, index),
                finish_reason: last.then(|| "length".to_owned()),
                usage: last.then(|| usage.clone()),
            };
            let data = format!("data: {}\n\n", serde_json::to_string(&event).unwrap_or_default());
            Some((Ok(Bytes::from(data)), (running, request, usage, index + 1)))
        });
    HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(events))
}

/// Counts a request as running until dropped.
struct Running {
    state: Arc<State>,
}

impl Running {
    fn new(state: Arc<State>) -> Self {
        state.running.fetch_add(1, Ordering::Relaxed);
        Self { state }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn prefill(state: &State, tokens: u64) {
    state.queue_tokens.fetch_add(tokens, Ordering::Relaxed);
    let turn = state.prefill.lock().await;
    let micros = tokens * 1_000_000 / state.config.prefill_tokens_per_s.max(1);
    actix_rt::time::sleep(Duration::from_micros(micros)).await;
    drop(turn);
    state.queue_tokens.fetch_sub(tokens, Ordering::Relaxed);
}

fn cached_prefix(state: &State, pieces: &[String]) -> usize {
    let cache = lock(&state.cache);
    pieces.iter().take_while(|piece| cache.pieces.contains(piece)).count()
}

fn store_pieces(state: &State, pieces: &[String]) {
    let mut cache = lock(&state.cache);
    for piece in pieces {
        if let Some(position) = cache.pieces.iter().position(|held| held == piece) {
            cache.pieces.remove(position);
        } else {
            cache.event(CacheEventKind::Stored, piece.clone());
        }
        cache.pieces.push_back(piece.clone());
    }
    while cache.pieces.len() > state.config.cache_pieces {
        if let Some(evicted) = cache.pieces.pop_front() {
            cache.event(CacheEventKind::Evicted, evicted);
        }
    }
}

impl Cache {
    fn event(&mut self, kind: CacheEventKind, piece: String) {
        let seq = self.events.len() as u64 + 1;
        self.events.push(CacheEvent { seq, kind, piece });
    }
}

async fn cancel(id: Path<String>, state: Data<State>) -> HttpResponse {
    lock(&state.cancelled).insert(id.into_inner());
    HttpResponse::Ok().finish()
}

async fn load(state: Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(EngineLoad {
        queue_tokens: state.queue_tokens.load(Ordering::Relaxed),
        running: state.running.load(Ordering::Relaxed),
        prefill_tokens_per_s: state.config.prefill_tokens_per_s,
        weight_version: 1,
        report_age_ms: 0,
        incarnation: 1,
    })
}

#[derive(Debug, Deserialize)]
struct After {
    after: u64,
}

async fn cache_events(query: Query<After>, state: Data<State>) -> HttpResponse {
    let cache = lock(&state.cache);
    let events: Vec<CacheEvent> =
        cache.events.iter().filter(|event| event.seq > query.after).cloned().collect();
    let next_seq = cache.events.len() as u64;
    HttpResponse::Ok().json(CacheEvents { events, next_seq, incarnation: 1 })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
