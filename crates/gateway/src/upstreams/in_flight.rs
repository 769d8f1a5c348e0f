//! The requests of this node that are in flight at an upstream.

use std::{rc::Rc, time::Duration};

use daisysill_cluster::HeldPlace;
use tokio::{sync::Notify, time::Instant};

use super::Upstream;
use crate::expected_work::AttemptExpectation;

/// Counts a request as in flight at its upstream until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    /// The upstream that the request was sent to.
    pub upstream: Rc<Upstream>,
    pending_prefill_tokens: u64,
    tokens: u64,
    has_run: bool,
    expected_work: AttemptExpectation,
    /// The place that the leader granted, released with this.
    place: Option<HeldPlace>,
    started: Instant,
    request_ended: Rc<Notify>,
}

impl InFlight {
    /// Counts a request with this number of prompt tokens to prefill, which occupies at most `tokens`. `request_ended`
    /// is notified on drop.
    pub fn new(
        upstream: Rc<Upstream>,
        pending_prefill_tokens: u64,
        tokens: u64,
        request_ended: Rc<Notify>,
    ) -> Self {
        if upstream.in_flight.get() == 0 {
            upstream.waiting_since.set(Some(Instant::now()));
        }
        upstream.in_flight.set(upstream.in_flight.get() + 1);
        upstream.pending_prefill_tokens.set(upstream.pending_prefill_tokens.get() + pending_prefill_tokens);
        upstream.tokens.set(upstream.tokens.get() + tokens);
        Self {
            upstream,
            pending_prefill_tokens,
            tokens,
            has_run: false,
            expected_work: AttemptExpectation::default(),
            place: None,
            started: Instant::now(),
            request_ended,
        }
    }

    /// Counts the expected work of the request as well.
    pub(crate) fn with_work(mut self, expected_work: AttemptExpectation) -> Self {
        if let Some(work_ms) = expected_work.plain_ms() {
            self.upstream.learned.begin_work(work_ms);
        }
        self.expected_work = expected_work;
        self
    }

    /// Holds the place that the leader granted for the request until it ends.
    pub(crate) fn with_place(mut self, place: Option<HeldPlace>) -> Self {
        self.place = place;
        self
    }

    /// Records that the upstream serves the request, so that the leader learns for how long its place is held.
    pub(crate) fn mark_served(&mut self) {
        if let Some(place) = &mut self.place {
            place.mark_served();
        }
    }

    /// Records that the upstream has rejected the request.
    pub(crate) fn mark_rejected(&mut self) {
        if let Some(place) = &mut self.place {
            place.mark_rejected();
        }
    }

    pub(crate) fn expected_work(&self) -> &AttemptExpectation {
        &self.expected_work
    }

    /// Returns the time since the attempt began.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records that the upstream has begun to respond, so that the request occupies a slot until it ends.
    pub fn mark_run(&mut self) {
        self.has_run = true;
    }

    /// Records that the prompt was prefilled.
    pub fn finish_prefill(&mut self) {
        let tokens = std::mem::take(&mut self.pending_prefill_tokens);
        self.upstream
            .pending_prefill_tokens
            .set(self.upstream.pending_prefill_tokens.get().saturating_sub(tokens));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.finish_prefill();
        if let Some(work_ms) = self.expected_work.plain_ms() {
            self.upstream.learned.end_work(work_ms);
        }
        if self.has_run {
            self.upstream.hints.rejections.record_freed();
        }
        self.upstream.tokens.set(self.upstream.tokens.get().saturating_sub(self.tokens));
        self.request_ended.notify_one();
        let left = self.upstream.in_flight.get().saturating_sub(1);
        self.upstream.in_flight.set(left);
        if left == 0 {
            self.upstream.waiting_since.set(None);
        }
    }
}
