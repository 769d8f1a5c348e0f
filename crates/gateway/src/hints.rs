//! What an upstream states about its own state in its responses, as this node knows it.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::Instant;

use crate::{
    cold::ColdLimiter,
    forward::Gateway,
    header_codec::ResponseHints,
    pause::Pause,
    permits::UpstreamPermits,
    rate_limit::{LimitChange, RateLimit},
    rejection_limit::{RejectionLimit, Rejections},
};

/// What one upstream stated in its responses to this node; shared by all copies of its entry.
#[derive(Debug)]
pub struct Hints {
    /// The rate of requests that it takes.
    pub rate_limit: RateLimit,
    /// Rejections by it, and the number that it tolerates.
    pub rejections: Rejections,
    /// Pauses that it asks for.
    pub pause: Pause,
    /// Whether it is cold, and this node's share of its requests then.
    pub cold: Rc<ColdLimiter>,
    /// Permits that the leader granted to this node.
    pub permits: UpstreamPermits,
    is_leaving: Cell<bool>,
}

impl Hints {
    /// Starts without a statement; `rejection_limit` is that of the upstream's service.
    pub fn new(rejection_limit: Rc<RejectionLimit>) -> Self {
        Self {
            rate_limit: RateLimit::default(),
            rejections: Rejections::new(rejection_limit),
            pause: Pause::default(),
            cold: Rc::default(),
            permits: UpstreamPermits::default(),
            is_leaving: Cell::default(),
        }
    }

    /// Returns whether the upstream has stated that it leaves, which holds until its process ends.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Returns whether the upstream has stated anything that restricts the requests which it may get, or may be cold.
    pub fn restrict_requests(&self) -> bool {
        self.is_leaving()
            || self.pause.is_on()
            || self.rate_limit.per_s().is_some()
            || self.cold.is_recently_unknown()
    }

    /// Returns the time until this node, one of `nodes`, may send a request, as far as its share of the rate limit and a pause
    /// say; zero if it may now.
    pub fn wait(&self, nodes: u32) -> Duration {
        self.rate_limit.wait(nodes).max(self.pause.left())
    }

    /// Records that the upstream `upstream` turned a request away, and asks for a pause if `retry_after` says so.
    pub fn record_unavailable(&self, upstream: &str, retry_after: Option<Duration>) {
        let Some(pause) = retry_after.filter(|pause| !pause.is_zero()) else { return };
        if pause > self.pause.left() {
            self.pause.extend(pause);
            tracing::info!(event = "pause_requested", upstream, pause_s = pause.as_secs_f64());
        }
    }

    /// Records what a response of the upstream `upstream` to a request sent at `sent_at` states, and logs each change.
    pub fn record(&self, upstream: &str, stated: &ResponseHints, sent_at: Instant) {
        if let Some(change) = self.rate_limit.record(stated.rate_limit_per_s, sent_at) {
            tracing::info!(event = "limit_named", upstream, limit_per_s = named_per_s(change));
        }
        if let Some(change) = self.rejections.limit().record(stated.max_rejections_per_s, sent_at) {
            let max_rejections_per_s = named_per_s(change);
            tracing::info!(event = "rejection_limit_named", upstream, max_rejections_per_s);
        }
        if stated.is_leaving && !self.is_leaving.replace(true) {
            tracing::info!(event = "leaving_stated", upstream);
        }
    }
}

/// Returns the limit that is named now; `None` if it was lifted.
fn named_per_s(change: LimitChange) -> Option<f64> {
    match change {
        LimitChange::Named { per_s } => Some(per_s),
        LimitChange::Lifted => None,
    }
}

impl Gateway {
    /// Updates the gauges of what upstreams state.
    pub(crate) fn update_hint_gauges(&self) {
        let count = |is_counted: &dyn Fn(&Hints) -> bool| {
            i64::try_from(self.upstreams.count_by_hints(is_counted)).unwrap_or(i64::MAX)
        };
        let metrics = &self.metrics;
        metrics.rate_limited_upstreams.set(count(&|hints| hints.rate_limit.per_s().is_some()));
        let rejection_limited = count(&|hints| hints.rejections.limit().max_per_s().is_some());
        metrics.rejection_limited_upstreams.set(rejection_limited);
        metrics.paused_upstreams.set(count(&|hints| hints.pause.is_on()));
        metrics.leaving_upstreams.set(count(&Hints::is_leaving));
        self.drop_expired_permits();
        self.update_speed_gauge();
    }
}
