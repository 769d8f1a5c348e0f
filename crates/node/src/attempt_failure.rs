//! What follows from an attempt that failed or went silent.

use std::time::Duration;

use daisysill_core::ids::InstanceId;
use tokio::time::timeout;

use crate::{
    crash::FailedAttempt, dispatch::Dispatch, exchange::Exchange, metrics::ServiceLabels,
    upstream_api::AttemptError,
};

/// Limit on the response to a probe on a new connection after another connection went silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Dispatch {
    /// Records a failed attempt, reports a crash, and excludes the upstream.
    pub(crate) async fn handle_failure(&mut self, exchange: &Exchange, error: &AttemptError) {
        let upstream = exchange.upstream();
        self.record_failure(upstream, error);
        self.end_attempt();
        if !error.is_not_run() {
            self.attempts += 1;
            self.may_have_run = true;
            self.report_if_crashed(exchange).await;
        }
        match error {
            AttemptError::Refused { leaving: true, .. } => self.shared.upstreams.event(upstream, "refused"),
            AttemptError::Refused { retry_after_ms, .. } => self.pauses.begin(upstream, *retry_after_ms),
            AttemptError::TooLate => {}
            // The gate of the client refused the request; the upstream itself is sound.
            AttemptError::NotSent(_) if !self.shared.may_send(upstream) => {}
            _ => self.shared.upstreams.event(upstream, "ping_failed"),
        }
        self.excluded.push(upstream.clone());
    }

    /// Records that an upstream is silent, and keeps the exchange, since another upstream may not take over.
    ///
    /// An upstream that crashed is not waited for. If one is kept already, it is replaced by an upstream that accepted
    /// the request later.
    pub(crate) async fn handle_silence(&mut self, mut exchange: Box<Exchange>) {
        self.may_have_run = true;
        let crashed = self.report_if_crashed(&exchange).await;
        if exchange.was_silent {
            // Upstreams that were full may have room now.
            let ended = self.pauses.take_ended();
            self.excluded.retain(|upstream| !ended.contains(upstream));
        } else {
            exchange.was_silent = true;
            self.attempts += 1;
            self.judge_silence(exchange.upstream()).await;
        }
        if crashed {
            self.end_attempt();
        } else if self.silent.is_none() || exchange.is_accepted() {
            self.silent = Some(exchange);
        }
    }

    /// Cancels the silent attempt. If its response has failed meanwhile, its upstream may have crashed, which is reported.
    pub(crate) async fn leave_silent(&mut self) {
        let Some(silent) = self.silent.take() else { return };
        if silent.has_failed() {
            self.report_if_crashed(&silent).await;
        }
    }

    /// Excludes an upstream that is silent for the first time unless only its connection failed.
    async fn judge_silence(&mut self, upstream: &InstanceId) {
        self.record_failure(upstream, &AttemptError::Silent);
        if !self.is_connection_fault(upstream).await {
            self.shared.upstreams.event(upstream, "ping_failed");
            self.excluded.push(upstream.clone());
        }
    }

    /// Records in the life cycle that the current attempt ended without a complete response.
    pub(crate) fn end_attempt(&mut self) {
        match self.lifecycle.is_relaying() {
            true => self.lifecycle.apply_event("cut"),
            false if self.lifecycle.is_choosing() => {}
            false => self.lifecycle.apply_event("failed"),
        }
    }

    fn record_failure(&mut self, upstream: &InstanceId, error: &AttemptError) {
        let labels = ServiceLabels { service: self.lifecycle.service.to_string() };
        self.shared.metrics.failed_attempts.get_or_create(&labels).inc();
        self.lifecycle.record_decision(&format!("{upstream}: {error}"));
    }

    /// Reports a crash of the upstream under the request; returns whether it crashed.
    async fn report_if_crashed(&self, exchange: &Exchange) -> bool {
        let attempt = FailedAttempt {
            upstream: exchange.upstream(),
            incarnation: exchange.assignment.incarnation,
            fingerprint: &self.fingerprint,
            parts: self.parts(),
            sent_at: exchange.assignment.began,
            rules: &self.rules,
        };
        attempt.report_if_crashed(&self.shared, self.engine.as_ref()).await
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
