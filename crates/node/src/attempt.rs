//! One attempt to serve a prompt at one upstream: restore cached blocks, send the request, relay the tokens.

use std::{rc::Rc, sync::Arc, time::Duration};

use daisysill_core::{block::BlockName, route::Decision};
use daisysill_wire::http_types::{EngineEvent, EngineRequest};
use futures::future::OptionFuture;
use tokio::time::{Instant, timeout_at};

use crate::{
    assignment::Assignment,
    dispatch::{AttemptOutcome, Dispatch, ResponseEvent},
    exchange::Exchange,
    metrics::ServiceLabels,
    request::new_id,
    restore::Restore,
    upstream_api::{AttemptError, ZONE_EVACUATED},
};

/// Shortest time to wait for a silent upstream before checking again whether another one can take over.
const MIN_SILENCE_CHECK: Duration = Duration::from_millis(500);

/// Why the relay of a response ended before the response did.
enum RelayEnd {
    CallerDisconnected,
    /// The silent attempt went on first.
    Overtaken,
    Failed(AttemptError),
}

impl Dispatch {
    /// Makes one attempt. If the caller disconnects, in any phase, the work at the engine is cancelled.
    pub(crate) async fn attempt(&mut self, assignment: Assignment) -> AttemptOutcome {
        let labels = ServiceLabels { service: self.lifecycle.service.to_string() };
        self.shared.metrics.attempts.get_or_create(&labels).inc();
        let decision = &assignment.decision;
        let names = self.piece_names(decision);
        // Prefill may take its estimated time; the progress timeout starts only after that.
        let first_timeout = self.progress_timeout() + Duration::from_micros(decision.estimate_us);
        let request = self.engine_request(decision, &names);
        if !self.restore(&assignment.url, &assignment.decision, &names).await {
            if let Some(guard) = assignment.guard {
                guard.retract();
            }
            return AttemptOutcome::CallerDisconnected;
        }
        if !self.shared.may_send(&assignment.decision.upstream) {
            return self.give_up_evacuated(assignment);
        }
        let span = self.lifecycle.span.child("attempt");
        span.set("upstream", assignment.decision.upstream.as_str());
        span.set("attempt_id", request.attempt_id.as_str());
        let stray_events = self.shared.metrics.stray_events.clone();
        let exchange = Exchange::new(Rc::clone(&self.engine), assignment, request, names, span, stray_events);
        self.is_attempt_open = true;
        let outcome = self.relay(Box::new(exchange), Instant::now() + first_timeout).await;
        self.is_attempt_open = false;
        outcome
    }

    /// Ends an attempt before anything was sent, since the upstream's zone was evacuated during the restore.
    fn give_up_evacuated(&mut self, assignment: Assignment) -> AttemptOutcome {
        let upstream = assignment.decision.upstream;
        self.lifecycle.record_decision(&format!("{upstream}: not sent: {ZONE_EVACUATED}"));
        self.end_attempt();
        if let Some(guard) = assignment.guard {
            guard.retract();
        }
        AttemptOutcome::Evacuated
    }

    /// Waits for an upstream that was silent, until it is time to check again whether another one can take over.
    pub(crate) async fn await_silent(&mut self, exchange: Box<Exchange>) -> AttemptOutcome {
        if self.lifecycle.is_choosing() {
            self.lifecycle.apply_event("chosen");
            self.lifecycle.apply_event("restored");
        }
        let check = self.progress_timeout().max(MIN_SILENCE_CHECK);
        self.relay(exchange, Instant::now() + check).await
    }

    /// Relays what has arrived of the silent attempt at the deadline; returns whether the response is complete with it.
    pub(crate) async fn finish_silent(&mut self) -> bool {
        let Some(exchange) = self.silent.take() else { return false };
        matches!(self.await_silent(exchange).await, AttemptOutcome::Finished)
    }

    fn progress_timeout(&self) -> Duration {
        Duration::from_millis(self.rules.deadlines.progress_ms)
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

    /// Relays the response; the first event must arrive before `limit`.
    async fn relay(&mut self, mut exchange: Box<Exchange>, limit: Instant) -> AttemptOutcome {
        match self.relay_tokens(&mut exchange, limit.min(self.request.deadline)).await {
            Ok(()) => {
                let service = &self.lifecycle.service;
                self.shared.idle_pieces.record_use(exchange.upstream(), service, &exchange.piece_names);
                exchange.finish();
                AttemptOutcome::Finished
            }
            Err(RelayEnd::CallerDisconnected) => AttemptOutcome::CallerDisconnected,
            Err(RelayEnd::Overtaken) => AttemptOutcome::Overtaken,
            Err(RelayEnd::Failed(AttemptError::Silent)) => AttemptOutcome::Silent(exchange),
            Err(RelayEnd::Failed(error)) => {
                exchange.fail(&error);
                AttemptOutcome::Failed(exchange, error)
            }
        }
    }

    /// Relays the tokens to the end.
    async fn relay_tokens(&mut self, exchange: &mut Exchange, mut limit: Instant) -> Result<(), RelayEnd> {
        loop {
            let event = self.next_token(exchange, limit).await?;
            // The stream continues here.
            self.leave_silent().await;
            if !self.deliver(&event, &exchange.assignment.decision).await {
                return Err(RelayEnd::CallerDisconnected);
            }
            if let (Some(finish_reason), Some(usage)) = (event.finish_reason, event.usage) {
                self.lifecycle.apply_event("finished");
                let sent = self.send(ResponseEvent::Finished { finish_reason, usage }).await;
                return if sent { Ok(()) } else { Err(RelayEnd::CallerDisconnected) };
            }
            // Set only after the caller accepted the token, so that a slow caller is not counted as a silent
            // upstream.
            limit = (Instant::now() + self.progress_timeout()).min(self.request.deadline);
        }
    }

    /// Returns the event with the next token of the exchange, unless the silent attempt before it resumes first.
    async fn next_token(&mut self, exchange: &mut Exchange, limit: Instant) -> Result<EngineEvent, RelayEnd> {
        let index = self.delivered_tokens;
        let silent = self.silent.as_mut();
        tokio::select! {
            biased;
            Some(()) = OptionFuture::from(silent.map(|silent| silent.progress(index))) => Err(RelayEnd::Overtaken),
            event = exchange.next_token(index, limit) => event.map_err(RelayEnd::Failed),
            () = self.sender.closed() => Err(RelayEnd::CallerDisconnected),
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
}
