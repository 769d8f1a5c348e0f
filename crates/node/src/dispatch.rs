//! Serves a prompt: chooses an upstream, attempts, relays, and goes on elsewhere when a stream is cut.

use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use daisysill_core::{
    block::{BlockName, BlockScope, piece_names},
    ids::{InstanceId, WeightVersion},
    result_code::ResultCode,
    route::{self, Decision, RoutePolicy, RouteRequest},
    rules::ServiceRules,
    view::ClusterView,
};
use daisysill_wire::border::{EngineEvent, EngineRequest, Usage};
use futures::StreamExt;
use rand::RngExt;
use tokio::{
    sync::mpsc::Sender,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    config::ServiceConfig,
    metrics::ServiceLabels,
    refusal::Refusal,
    request::{RequestLife, new_id},
    shared::Shared,
    upstream_edge::{AttemptError, AttemptResult, Engine},
};

/// Cost of sending a request to another availability zone, in microseconds.
const CROSS_ZONE_US: f64 = 1_000.0;
/// When to come back if no upstream is available.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// When to come back if every attempt failed.
const FAILED_RETRY_MS: u64 = 500;

/// A prompt to be served.
#[derive(Clone, Debug)]
pub struct PromptRequest {
    /// The prompt's text.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// The adapter, empty for the base model.
    pub adapter: String,
    /// When the whole answer must be there.
    pub deadline: Instant,
    /// The caller's trace context, passed on to the upstream.
    pub traceparent: String,
}

/// What the caller's side gets while a prompt is served.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// The next token.
    Token(String),
    /// The answer is complete.
    Finished {
        /// Why generation ended.
        finish_reason: String,
        /// Token counts.
        usage: Usage,
    },
    /// The answer will not be completed.
    Refused(Refusal),
}

/// How an attempt ended.
enum Attempt {
    Finished,
    CallerGone,
    Failed(AttemptError),
}

/// Serves one prompt; owns the request's life cycle until the caller has its answer.
pub struct Dispatch {
    shared: Arc<Shared>,
    engine: Rc<dyn Engine>,
    life: RequestLife,
    request: PromptRequest,
    service: ServiceConfig,
    rules: ServiceRules,
    sender: Sender<Delivery>,
    delivered_tokens: u64,
    delivered_text: String,
    pinned_version: Option<WeightVersion>,
    excluded: Vec<InstanceId>,
}

impl Dispatch {
    /// Prepares to serve a prompt; the life cycle is in the state `admitting`.
    pub fn new(
        shared: &Arc<Shared>,
        engine: Rc<dyn Engine>,
        life: RequestLife,
        request: PromptRequest,
        service: ServiceConfig,
        sender: Sender<Delivery>,
    ) -> Self {
        Self {
            rules: shared.rules_of(&life.service),
            shared: Arc::clone(shared),
            engine,
            life,
            request,
            service,
            sender,
            delivered_tokens: 0,
            delivered_text: String::new(),
            pinned_version: None,
            excluded: Vec::new(),
        }
    }

    /// Serves the prompt to its end.
    pub async fn run(mut self) {
        self.life.event("admitted");
        let mut last_error = None;
        for _ in 0..self.rules.retries.max_attempts {
            let Some(decision) = self.choose() else { break };
            match self.attempt(&decision).await {
                Attempt::Finished => return self.life.result(ResultCode::Ok),
                Attempt::CallerGone => return self.life.event("disconnected"),
                Attempt::Failed(error) => {
                    self.note_failure(&decision.upstream, &error);
                    last_error = Some(error);
                }
            }
            if Instant::now() >= self.request.deadline {
                break;
            }
        }
        self.refuse(last_error).await;
    }

    fn choose(&mut self) -> Option<Decision> {
        let view = self.shared.upstreams.view();
        let pieces = self.pieces_by_version(&view);
        let prompt_bytes = self.request.prompt.len() as u64;
        let request = RouteRequest {
            service: &self.life.service,
            zone: &self.shared.config.node.zone,
            pieces: &pieces,
            prompt_tokens: prompt_bytes.div_ceil(self.service.bytes_per_token),
            pinned_version: self.pinned_version,
            excluded: &self.excluded,
            now_ms: 0,
        };
        let policy = RoutePolicy {
            piece_tokens: self.service.piece_tokens,
            piece_bytes: self.service.piece_bytes,
            recompute_weight_us: self.rules.costs.recompute_weight_us as f64,
            cross_zone_us: CROSS_ZONE_US,
            prefill_during_restore: false,
            near_tie_factor: route::NEAR_TIE_FACTOR,
        };
        let decision = route::choose(&view, &request, &policy, rand::rng().random::<f64>())?;
        self.life.decision(&decision.reason);
        self.life.event("chosen");
        Some(decision)
    }

    fn pieces_by_version(&self, view: &ClusterView) -> BTreeMap<WeightVersion, Vec<BlockName>> {
        let piece_bytes = self.service.piece_tokens * self.service.bytes_per_token;
        let piece_bytes = usize::try_from(piece_bytes).unwrap_or(usize::MAX);
        let mut pieces = BTreeMap::new();
        for upstream in view.upstreams().filter(|u| u.service == self.life.service) {
            pieces.entry(upstream.weight_version).or_insert_with(|| {
                let scope = BlockScope {
                    customer: &self.life.customer,
                    service: &self.life.service,
                    adapter: &self.request.adapter,
                    weight_version: upstream.weight_version,
                };
                piece_names(&scope, &self.request.prompt, piece_bytes)
            });
        }
        pieces
    }

    async fn attempt(&mut self, decision: &Decision) -> Attempt {
        self.life.event("restored");
        let Some(url) = self.shared.upstreams.url(&decision.upstream) else {
            return Attempt::Failed(AttemptError::NotSent("the upstream is gone".to_owned()));
        };
        let labels = ServiceLabels { service: self.life.service.to_string() };
        self.shared.metrics.attempts.get_or_create(&labels).inc();
        let _guard = self.shared.upstreams.dispatch(&decision.upstream, decision.recomputed_tokens);
        let request = self.engine_request(decision);
        match self.relay(&url, &request, decision).await {
            Ok(true) => Attempt::Finished,
            Ok(false) => {
                self.cancel(&url, &request.attempt_id);
                Attempt::CallerGone
            }
            Err(error) => {
                if !error.is_not_run() {
                    self.cancel(&url, &request.attempt_id);
                }
                Attempt::Failed(error)
            }
        }
    }

    fn engine_request(&self, decision: &Decision) -> EngineRequest {
        let view = self.shared.upstreams.view();
        let mut pieces = self.pieces_by_version(&view);
        let names = pieces.remove(&decision.weight_version).unwrap_or_default();
        EngineRequest {
            attempt_id: new_id("att"),
            model: self.life.service.to_string(),
            adapter: Some(self.request.adapter.clone()).filter(|adapter| !adapter.is_empty()),
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.max_tokens,
            priority: 0,
            cache_salt: self.life.customer.to_string(),
            kv_pieces: names.iter().map(|name| name.as_str().to_owned()).collect(),
            resume_from_token: self.delivered_tokens,
            resume_text: Some(self.delivered_text.clone()).filter(|text| !text.is_empty()),
            weight_version: decision.weight_version.0,
        }
    }

    /// Relays one attempt; `Ok(false)` means that the caller has gone.
    async fn relay(
        &mut self,
        url: &str,
        request: &EngineRequest,
        decision: &Decision,
    ) -> AttemptResult<bool> {
        let progress = Duration::from_millis(self.rules.deadlines.progress_ms);
        let first_byte = self.engine.generate(url, request, &self.request.traceparent);
        // Prefill may take as long as was estimated, and only then is silence suspicious.
        let first_wait = progress + Duration::from_micros(decision.estimate_us);
        let mut events = timeout(first_wait, first_byte).await.map_err(|_| AttemptError::Silent)??;
        let mut wait = first_wait;
        loop {
            let limit = (Instant::now() + wait).min(self.request.deadline);
            let event = tokio::select! {
                event = timeout_at(limit, events.next()) => event.map_err(|_| AttemptError::Silent)?,
                () = self.sender.closed() => return Ok(false),
            };
            let event =
                event.unwrap_or_else(|| Err(AttemptError::Failed("the stream ended early".to_owned())))?;
            wait = progress;
            if event.attempt_id != request.attempt_id {
                self.shared.metrics.stray_events.inc();
                continue;
            }
            if event.token_index < self.delivered_tokens {
                continue;
            }
            if event.token_index > self.delivered_tokens {
                return Err(AttemptError::Failed("the stream skipped a token".to_owned()));
            }
            if !self.deliver(&event, decision).await {
                return Ok(false);
            }
            if let (Some(finish_reason), Some(usage)) = (event.finish_reason, event.usage) {
                self.life.event("finished");
                return Ok(self.sender.send(Delivery::Finished { finish_reason, usage }).await.is_ok());
            }
        }
    }

    async fn deliver(&mut self, event: &EngineEvent, decision: &Decision) -> bool {
        if self.delivered_tokens == 0 {
            self.note_first_token(decision);
        }
        self.life.event(if self.delivered_tokens == 0 { "first_byte" } else { "progress" });
        self.pinned_version = Some(decision.weight_version);
        self.delivered_tokens += 1;
        self.delivered_text.push_str(&event.text);
        self.sender.send(Delivery::Token(event.text.clone())).await.is_ok()
    }

    fn note_first_token(&self, decision: &Decision) {
        let metrics = &self.shared.metrics;
        let labels = ServiceLabels { service: self.life.service.to_string() };
        metrics.first_token_seconds.observe(self.life.arrived.elapsed().as_secs_f64());
        metrics.computed_tokens.get_or_create(&labels).inc_by(decision.recomputed_tokens);
        metrics.reused_tokens.get_or_create(&labels).inc_by(decision.cached_tokens);
    }

    fn cancel(&self, url: &str, attempt_id: &str) {
        let (engine, url, id) = (Rc::clone(&self.engine), url.to_owned(), attempt_id.to_owned());
        actix_rt::spawn(async move {
            // The upstream may be gone; then nothing is left to cancel.
            let _ = engine.cancel(&url, &id).await;
        });
    }

    fn note_failure(&mut self, upstream: &InstanceId, error: &AttemptError) {
        let labels = ServiceLabels { service: self.life.service.to_string() };
        self.shared.metrics.failed_attempts.get_or_create(&labels).inc();
        self.life.decision(&format!("{upstream}: {error}"));
        self.life.event(if self.delivered_tokens > 0 { "cut" } else { "failed" });
        match error {
            AttemptError::Refused { leaving: true, .. } => self.shared.upstreams.event(upstream, "refused"),
            AttemptError::Refused { .. } => {}
            _ => self.shared.upstreams.event(upstream, "ping_failed"),
        }
        self.excluded.push(upstream.clone());
    }

    async fn refuse(mut self, last_error: Option<AttemptError>) {
        let past_deadline = Instant::now() >= self.request.deadline;
        let refusal = match last_error {
            Some(_) if past_deadline => Refusal::new(
                ResultCode::DeadlineExceeded,
                "the deadline passed before the answer was complete",
            ),
            None => Refusal::new(ResultCode::NoUpstream, "no upstream of the service is available")
                .retry_after_ms(NO_UPSTREAM_RETRY_MS),
            Some(AttemptError::Refused { message, retry_after_ms, .. }) => {
                Refusal::new(ResultCode::UpstreamRefused, message)
                    .retry_after_ms(retry_after_ms.unwrap_or(NO_UPSTREAM_RETRY_MS))
            }
            Some(error) => {
                Refusal::new(ResultCode::UpstreamFailed, error.to_string()).retry_after_ms(FAILED_RETRY_MS)
            }
        };
        self.life.event("refused");
        self.life.result(refusal.code);
        // A caller that has gone needs no refusal.
        let _ = self.sender.send(Delivery::Refused(refusal)).await;
    }
}
