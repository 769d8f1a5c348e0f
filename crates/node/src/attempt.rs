//! One attempt to serve a prompt at one upstream: restore cached blocks, send the request, relay the tokens.

use std::{rc::Rc, sync::Arc, time::Duration};

use daisysill_core::{block::BlockName, ids::InstanceId, route::Decision};
use daisysill_wire::http_types::{EngineEvent, EngineRequest};
use futures::StreamExt;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    crash::FailedAttempt,
    dispatch::{AttemptOutcome, Dispatch, ResponseEvent},
    metrics::ServiceLabels,
    request::new_id,
    restore::{CancelOnDrop, Restore},
    upstream_api::{AttemptError, AttemptResult, EngineStream},
};

/// Limit on the response to a probe on a new connection after another connection went silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Dispatch {
    /// Makes one attempt. If the caller disconnects, in any phase, the work at the engine is cancelled.
    pub(crate) async fn attempt(&mut self, decision: &Decision) -> AttemptOutcome {
        let Some(url) = self.shared.upstreams.url(&decision.upstream) else {
            self.lifecycle.apply_event("restored");
            return AttemptOutcome::Failed(AttemptError::NotSent("the upstream is gone".to_owned()));
        };
        let labels = ServiceLabels { service: self.lifecycle.service.to_string() };
        self.shared.metrics.attempts.get_or_create(&labels).inc();
        // Read before the attempt: after a crash, the load report may already be that of the new process.
        self.incarnation = self.shared.upstreams.incarnation(&decision.upstream);
        self.attempt_began = Instant::now();
        let guard = self.shared.upstreams.dispatch(&decision.upstream, decision.recomputed_tokens);
        let names = self.piece_names(decision);
        if !self.restore(&url, decision, &names).await {
            guard.retract();
            return AttemptOutcome::CallerDisconnected;
        }
        let request = self.engine_request(decision, &names);
        let span = self.lifecycle.span.child("attempt");
        span.set("upstream", decision.upstream.as_str());
        span.set("attempt_id", request.attempt_id.as_str());
        let id = Some(request.attempt_id.clone());
        let mut cancel = CancelOnDrop { engine: Rc::clone(&self.engine), url: url.clone(), id };
        self.is_attempt_open = true;
        let result = self.relay(&url, &request, decision, span.traceparent()).await;
        self.is_attempt_open = false;
        match result {
            Ok(true) => {
                cancel.id = None;
                self.shared.idle_pieces.record_use(&decision.upstream, &self.lifecycle.service, &names);
                AttemptOutcome::Finished
            }
            Ok(false) => AttemptOutcome::CallerDisconnected,
            Err(error) => {
                span.set("error", error.to_string());
                if error.is_not_run() {
                    cancel.id = None;
                    guard.retract();
                }
                AttemptOutcome::Failed(error)
            }
        }
    }

    fn piece_names(&self, decision: &Decision) -> Vec<BlockName> {
        let mut pieces = self.pieces_by_version(&self.shared.upstreams.view().0);
        pieces.remove(&decision.weight_version).unwrap_or_default()
    }

    /// Imports the blocks that the decision plans; returns whether the caller is still connected.
    async fn restore(&mut self, url: &str, decision: &Decision, names: &[BlockName]) -> bool {
        if decision.restore.is_some() {
            let span = self.lifecycle.span.child("restore");
            let restore = Restore {
                shared: Arc::clone(&self.shared),
                engine: Rc::clone(&self.engine),
                engine_url: url.to_owned(),
                deadline: self.request.deadline,
            };
            let outcome = tokio::select! {
                outcome = restore.run(decision, names) => outcome,
                () = self.sender.closed() => return false,
            };
            if let Some(reason) = outcome {
                span.set("reason", reason.as_str());
                self.lifecycle.record_decision(&reason);
            }
        }
        self.lifecycle.apply_event("restored");
        true
    }

    fn engine_request(&self, decision: &Decision, names: &[BlockName]) -> EngineRequest {
        EngineRequest {
            attempt_id: new_id("att"),
            model: self.lifecycle.service.to_string(),
            adapter: Some(self.request.adapter.clone()).filter(|adapter| !adapter.is_empty()),
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.max_tokens,
            priority: 0,
            cache_salt: self.lifecycle.customer.to_string(),
            kv_pieces: names.iter().map(|name| name.as_str().to_owned()).collect(),
            resume_from_token: self.delivered_tokens,
            resume_text: Some(self.delivered_text.clone()).filter(|text| !text.is_empty()),
            weight_version: decision.weight_version.0,
        }
    }

    /// Sends the request and relays its tokens to the end; `Ok(false)` means that the caller disconnected.
    async fn relay(
        &mut self,
        url: &str,
        request: &EngineRequest,
        decision: &Decision,
        traceparent: &str,
    ) -> AttemptResult<bool> {
        let progress_timeout = Duration::from_millis(self.rules.deadlines.progress_ms);
        // Prefill may take its estimated time; the progress timeout starts only after that.
        let first_timeout = progress_timeout + Duration::from_micros(decision.estimate_us);
        let mut limit = (Instant::now() + first_timeout).min(self.request.deadline);
        let mut events = tokio::select! {
            events = timeout_at(limit, self.engine.generate(url, request, traceparent)) => {
                events.map_err(|_| AttemptError::Silent)??
            }
            () = self.sender.closed() => return Ok(false),
        };
        loop {
            let Some(event) = self.next_event(&mut events, request, limit).await? else { return Ok(false) };
            if !self.deliver(&event, decision).await {
                return Ok(false);
            }
            if let (Some(finish_reason), Some(usage)) = (event.finish_reason, event.usage) {
                self.lifecycle.apply_event("finished");
                return Ok(self.send(ResponseEvent::Finished { finish_reason, usage }).await);
            }
            // Set only after the caller accepted the token, so that a slow caller is not counted as a silent
            // upstream.
            limit = (Instant::now() + progress_timeout).min(self.request.deadline);
        }
    }

    /// Returns the event with the next token; `None` if the caller disconnected.
    ///
    /// Events of other attempts and of tokens already delivered are dropped and do not extend `limit`.
    async fn next_event(
        &self,
        events: &mut EngineStream,
        request: &EngineRequest,
        limit: Instant,
    ) -> AttemptResult<Option<EngineEvent>> {
        loop {
            let event = tokio::select! {
                event = timeout_at(limit, events.next()) => event.map_err(|_| AttemptError::Silent)?,
                () = self.sender.closed() => return Ok(None),
            };
            let ended = || Err(AttemptError::Failed("the stream ended early".to_owned()));
            let event = event.unwrap_or_else(ended)?;
            if event.attempt_id != request.attempt_id || event.token_index < self.delivered_tokens {
                self.shared.metrics.stray_events.inc();
                continue;
            }
            if event.token_index > self.delivered_tokens {
                return Err(AttemptError::Failed("the stream skipped a token".to_owned()));
            }
            return Ok(Some(event));
        }
    }

    async fn deliver(&mut self, event: &EngineEvent, decision: &Decision) -> bool {
        if self.delivered_tokens == 0 {
            self.record_first_token(decision);
        }
        self.lifecycle.apply_event(if self.lifecycle.is_relaying() { "progress" } else { "first_byte" });
        self.pinned_version = Some(decision.weight_version);
        self.delivered_tokens += 1;
        self.delivered_text.push_str(&event.text);
        self.send(ResponseEvent::Token(event.text.clone())).await
    }

    /// Sends to the caller; returns whether it is still connected. A caller that accepts nothing until the
    /// request's deadline counts as disconnected.
    async fn send(&self, event: ResponseEvent) -> bool {
        matches!(timeout_at(self.request.deadline, self.sender.send(event)).await, Ok(Ok(())))
    }

    fn record_first_token(&self, decision: &Decision) {
        let metrics = &self.shared.metrics;
        let labels = ServiceLabels { service: self.lifecycle.service.to_string() };
        metrics.first_token_seconds.observe(self.lifecycle.arrived.elapsed().as_secs_f64());
        metrics.computed_tokens.get_or_create(&labels).inc_by(decision.recomputed_tokens);
        metrics.reused_tokens.get_or_create(&labels).inc_by(decision.cached_tokens);
    }

    /// Records a failed attempt, reports a crash, and excludes the upstream unless only its connection failed.
    pub(crate) async fn handle_failure(&mut self, upstream: &InstanceId, error: &AttemptError) {
        let labels = ServiceLabels { service: self.lifecycle.service.to_string() };
        self.shared.metrics.failed_attempts.get_or_create(&labels).inc();
        self.lifecycle.record_decision(&format!("{upstream}: {error}"));
        self.lifecycle.apply_event(if self.lifecycle.is_relaying() { "cut" } else { "failed" });
        if !error.is_not_run() {
            self.may_have_run = true;
            let attempt = FailedAttempt {
                upstream,
                incarnation: self.incarnation,
                fingerprint: &self.fingerprint,
                parts: self.parts(),
                sent_at: self.attempt_began,
                rules: &self.rules,
            };
            attempt.report_if_crashed(&self.shared, self.engine.as_ref()).await;
        }
        match error {
            AttemptError::Refused { leaving: true, .. } => self.shared.upstreams.event(upstream, "refused"),
            AttemptError::Refused { .. } | AttemptError::TooLate => {}
            AttemptError::Silent if self.is_connection_fault(upstream).await => return,
            _ => self.shared.upstreams.event(upstream, "ping_failed"),
        }
        self.excluded.push(upstream.clone());
    }

    /// Returns whether only the connection failed: the upstream responds on a new one. That counts once for
    /// each upstream and request; a second silent connection is held against the upstream.
    async fn is_connection_fault(&mut self, upstream: &InstanceId) -> bool {
        if self.silent_once.contains(upstream) {
            return false;
        }
        self.silent_once.push(upstream.clone());
        self.shared.metrics.silent_connections.inc();
        let Some(url) = self.shared.upstreams.url(upstream) else { return false };
        matches!(timeout(PROBE_TIMEOUT, self.engine.load(&url)).await, Ok(Ok(_)))
    }
}
