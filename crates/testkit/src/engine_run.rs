//! Attempts on a stand-in engine: batching, prefill, decode and stream faults.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use actix_web::{
    HttpResponse,
    web::{Bytes, Data, Json},
};
use daisysill_wire::http_types::{EngineEvent, EngineRequest, Usage};
use futures::{Stream, stream};

use crate::{
    engine::{EngineState, StreamFaults},
    slots::Slot,
    util::lock,
};

/// Period at which a prefill checks whether its attempt was cancelled.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for written events to be flushed before a stream is cut.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// An attempt that got a slot in the batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// When it got its slot.
    pub started_at: Instant,
    /// Attempt id that the request carried.
    pub attempt_id: String,
    /// Salt that separates the cached pieces of customers.
    pub cache_salt: String,
    /// BLAKE3 digest of the prompt, in hexadecimal.
    pub prompt_digest: String,
    /// Weight version that the engine served when it accepted the attempt.
    pub weight_version: u64,
    /// Index of the first token to send; 0 unless an earlier attempt is continued.
    pub resume_from_token: u64,
    /// Prompt tokens to prefill.
    pub computed_tokens: u64,
    /// Prompt tokens whose KV pieces were cached.
    pub cached_tokens: u64,
    /// Whether the end mark of the stream was reached.
    pub finished: bool,
}

/// Returns the text that every engine with weight version 1 generates for a prompt, to check responses with.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    expected_text_of(prompt, tokens, 1)
}

/// Returns the text that a weight version generates for a prompt.
pub fn expected_text_of(prompt: &str, tokens: u64, weight_version: u64) -> String {
    let digest = blake3::hash(prompt.as_bytes()).to_hex();
    (0..tokens).map(|index| token_text(&digest, weight_version, index)).collect()
}

fn token_text(prompt_digest: &str, weight_version: u64, index: u64) -> String {
    let version = if weight_version == 1 { String::new() } else { format!("v{weight_version}.") };
    format!("{}{version}{index} ", &prompt_digest[..4])
}

/// An attempt in the batch.
struct Run {
    state: Arc<EngineState>,
    request: EngineRequest,
    /// Slot in the batch, released when the run ends or is dropped.
    _slot: Slot,
    weight_version: u64,
    prompt_digest: String,
    /// Index in `EngineRecords::runs`.
    record: usize,
    usage: Usage,
}

/// Runs an attempt: waits for a slot in the batch, prefills the prompt and streams the tokens.
pub(crate) async fn complete(request: Json<EngineRequest>, state: Data<EngineState>) -> HttpResponse {
    let (state, request) = (state.into_inner(), request.into_inner());
    let weight_version = match check_request(&state, &request) {
        Ok(version) => version,
        Err((status, reason)) => return state.refuse(status, reason),
    };
    let slot = state.batch.take(request.priority).await;
    let Some(run) = start(&state, request, slot, weight_version).await else {
        return HttpResponse::Gone().body("cancelled\n");
    };
    let marker = &state.config.crash_marker;
    if !marker.is_empty() && run.request.prompt.contains(marker) {
        crash_and_restart(&state);
        return HttpResponse::InternalServerError().finish();
    }
    let events =
        EventStream { faults: take_faults(&state), next: run.request.resume_from_token, late: None, run };
    HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(events.stream()))
}

/// Records the attempt and prefills what the cache lacks; `None` if the attempt was cancelled.
async fn start(
    state: &Arc<EngineState>,
    request: EngineRequest,
    slot: Slot,
    weight_version: u64,
) -> Option<Run> {
    let config = &state.config;
    let prompt_tokens = (request.prompt.len() as u64).div_ceil(config.bytes_per_token);
    let lookup = lock(&state.cache).look_up(&request.cache_salt, &request.kv_pieces, weight_version);
    let cached_tokens = (lookup.cached_pieces as u64 * config.piece_tokens).min(prompt_tokens);
    let prompt_digest = blake3::hash(request.prompt.as_bytes()).to_hex().to_string();
    let record = {
        let mut records = lock(&state.records);
        records.foreign_salts += u64::from(lookup.foreign_salt);
        records.foreign_versions += u64::from(lookup.foreign_version);
        records.computed_tokens += prompt_tokens - cached_tokens;
        records.cached_tokens += cached_tokens;
        records.runs.push(RunRecord {
            started_at: Instant::now(),
            attempt_id: request.attempt_id.clone(),
            cache_salt: request.cache_salt.clone(),
            prompt_digest: prompt_digest.clone(),
            weight_version,
            resume_from_token: request.resume_from_token,
            computed_tokens: prompt_tokens - cached_tokens,
            cached_tokens,
            finished: false,
        });
        records.runs.len() - 1
    };
    prefill(state, &request, prompt_tokens - cached_tokens).await?;
    let mut cache = lock(&state.cache);
    for name in &request.kv_pieces {
        cache.insert(&request.cache_salt, name, weight_version, 0);
    }
    lock(&state.records).wasted_bytes += cache.take_wasted_bytes();
    drop(cache);
    let usage = Usage {
        prompt_tokens,
        completion_tokens: u64::from(request.max_tokens),
        total_tokens: prompt_tokens + u64::from(request.max_tokens),
        cached_tokens: Some(cached_tokens),
    };
    Some(Run { state: Arc::clone(state), request, _slot: slot, weight_version, prompt_digest, record, usage })
}

/// Waits for the prefill slot, then for the time that the tokens take; `None` if the attempt was cancelled.
async fn prefill(state: &Arc<EngineState>, request: &EngineRequest, tokens: u64) -> Option<()> {
    let queued_tokens = QueuedTokens::new(state, tokens);
    let slot = state.prefill.take(request.priority).await;
    let mut remaining = Duration::from_micros(tokens * 1_000_000 / state.config.prefill_tokens_per_s.max(1));
    while !remaining.is_zero() {
        if state.is_cancelled(&request.attempt_id) {
            return None;
        }
        let step = remaining.min(CANCEL_POLL_INTERVAL);
        actix_rt::time::sleep(step).await;
        remaining -= step;
    }
    drop(slot);
    drop(queued_tokens);
    (!state.is_cancelled(&request.attempt_id)).then_some(())
}

/// Counts tokens in `queue_tokens` until dropped.
struct QueuedTokens {
    state: Arc<EngineState>,
    tokens: u64,
}

impl QueuedTokens {
    fn new(state: &Arc<EngineState>, tokens: u64) -> Self {
        state.queue_tokens.fetch_add(tokens, Ordering::Relaxed);
        Self { state: Arc::clone(state), tokens }
    }
}

impl Drop for QueuedTokens {
    fn drop(&mut self) {
        self.state.queue_tokens.fetch_sub(self.tokens, Ordering::Relaxed);
    }
}

/// The events of one attempt.
struct EventStream {
    run: Run,
    faults: StreamFaults,
    /// Index of the next token; the end mark follows the last one.
    next: u64,
    /// Event that `StreamFaults::late` sends again after the next one.
    late: Option<String>,
}

impl EventStream {
    fn stream(self) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        stream::unfold(Some(self), |events| async move {
            let mut events = events?;
            let chunk = events.next_chunk().await?;
            let has_ended = chunk.is_err();
            Some((chunk, (!has_ended).then_some(events)))
        })
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        let (end, index) = (u64::from(self.run.request.max_tokens), self.next);
        let sent = index - self.run.request.resume_from_token.min(index);
        self.next += 1;
        if index > end || self.run.state.is_cancelled(&self.run.request.attempt_id) {
            return None;
        }
        if self.faults.cut_after_tokens == Some(sent) {
            // An error discards what is not flushed yet; the tokens before it must reach the node.
            actix_rt::time::sleep(FLUSH_DELAY).await;
            return Some(Err(std::io::Error::other("stream cut by an injected fault")));
        }
        if self.faults.hang_after_tokens == Some(sent) {
            return std::future::pending().await;
        }
        if index == end {
            lock(&self.run.state.records).runs[self.run.record].finished = true;
            return Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        actix_rt::time::sleep(self.run.token_time()).await;
        Some(Ok(Bytes::from(self.event_text(index, index + 1 == end))))
    }

    /// Returns the event of one token, together with those that the faults add.
    fn event_text(&mut self, index: u64, last: bool) -> String {
        let event = self.run.event(index, last);
        let line = format!("data: {}\n\n", serde_json::to_string(&event).unwrap());
        let mut text = String::new();
        if self.faults.foreign {
            let other = EngineEvent {
                attempt_id: format!("{}-other", event.attempt_id),
                text: "wrong ".to_owned(),
                finish_reason: Some("stop".to_owned()),
                ..event
            };
            text = format!("data: {}\n\n", serde_json::to_string(&other).unwrap());
        }
        text.push_str(&line);
        if self.faults.duplicate {
            text.push_str(&line);
        }
        if self.faults.late {
            text.push_str(&self.late.replace(line).unwrap_or_default());
        }
        text
    }
}

impl Run {
    /// Returns the decode time of the next token, which grows linearly with the batch.
    fn token_time(&self) -> Duration {
        let config = &self.state.config;
        let others = self.state.batch.taken().saturating_sub(1) as f64;
        let full = config.batch_limit.saturating_sub(1).max(1) as f64;
        let slowdown = config.full_batch_slowdown_percent as f64 / 100.0 * others / full;
        Duration::from_millis(config.token_ms).mul_f64(1.0 + slowdown)
    }

    fn event(&self, index: u64, last: bool) -> EngineEvent {
        EngineEvent {
            attempt_id: self.request.attempt_id.clone(),
            token_index: index,
            text: token_text(&self.prompt_digest, self.weight_version, index),
            finish_reason: last.then(|| "length".to_owned()),
            usage: last.then(|| self.usage.clone()),
        }
    }
}

/// Returns the weight version to run with, or status and reason of a refusal.
fn check_request(state: &EngineState, request: &EngineRequest) -> Result<u64, (u16, &'static str)> {
    if state.leaving.load(Ordering::Relaxed) {
        return Err((503, "leaving"));
    }
    let weights = lock(&state.weights);
    if weights.loading {
        return Err((503, "loading weights"));
    }
    if request.weight_version != 0 && request.weight_version != weights.version {
        return Err((409, "another weight version"));
    }
    Ok(weights.version)
}

/// Crashes the engine and makes it reachable again after `crash_down_ms`.
fn crash_and_restart(state: &Arc<EngineState>) {
    state.crash();
    let (state, down) = (Arc::clone(state), Duration::from_millis(state.config.crash_down_ms));
    actix_rt::spawn(async move {
        actix_rt::time::sleep(down).await;
        state.proxy.reopen();
    });
}

/// Returns the faults of the next stream and counts it off `broken_streams`.
fn take_faults(state: &EngineState) -> StreamFaults {
    let mut faults = lock(&state.faults);
    let mut taken = *faults;
    if faults.broken_streams == 0 {
        (taken.cut_after_tokens, taken.hang_after_tokens) = (None, None);
    }
    faults.broken_streams = faults.broken_streams.saturating_sub(1);
    taken
}
