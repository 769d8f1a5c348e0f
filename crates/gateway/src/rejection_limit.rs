//! Upstreams that tolerate only few rejections: the limit that those of a service name in their responses, and what this
//! node does to stay below it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use daisysill_core::rejection_guard::{RejectionGuard, RejectionShare, SlotUse};
use tokio::time::Instant;

use crate::{duration::millis, rate_limit::LimitChange};

/// The limit holds on for this time after it was last named, whatever other upstreams of the service state.
const MIN_LIMIT_TIME: Duration = Duration::from_millis(500);

/// The rejections per second that each upstream of a service tolerates from all nodes together. The upstreams of a service
/// name it at the same time, so the first response of one counts for all.
#[derive(Debug, Default)]
pub struct RejectionLimit {
    named: Cell<Option<NamedLimit>>,
}

#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    max_per_s: f64,
    last_named_at: Instant,
}

impl RejectionLimit {
    /// Returns the rejections per second that each upstream tolerates; `None` if none names a limit.
    pub fn max_per_s(&self) -> Option<f64> {
        self.named.get().map(|named| named.max_per_s)
    }

    /// Records what a response to a request sent at `sent_at` names; returns the change, if it is one.
    ///
    /// Of several limits the lowest counts. A response without one lifts it only if its request was sent after the limit was
    /// last named: responses on different connections may overtake each other.
    pub fn record(&self, named_per_s: Option<f64>, sent_at: Instant) -> Option<LimitChange> {
        let known = self.named.get();
        match (named_per_s, known) {
            (Some(per_s), known) => {
                let max_per_s = known.map_or(per_s, |known| known.max_per_s.min(per_s));
                self.named.set(Some(NamedLimit { max_per_s, last_named_at: Instant::now() }));
                let is_new = known.is_none_or(|known| max_per_s < known.max_per_s);
                is_new.then_some(LimitChange::Named { per_s: max_per_s })
            }
            (None, Some(known)) if sent_at >= known.last_named_at + MIN_LIMIT_TIME => {
                self.named.set(None);
                Some(LimitChange::Lifted)
            }
            (None, Some(_) | None) => None,
        }
    }
}

/// This node's requests at one upstream, as far as they may be rejected.
#[derive(Debug)]
pub struct Rejections {
    limit: Rc<RejectionLimit>,
    guard: RefCell<RejectionGuard>,
    /// Start of the guard's clock.
    since: Instant,
}

impl Rejections {
    /// Starts without a rejection; `limit` is that of the upstream's service.
    pub fn new(limit: Rc<RejectionLimit>) -> Self {
        Self { limit, guard: RefCell::default(), since: Instant::now() }
    }

    /// Returns the limit that the upstreams of the service name.
    pub fn limit(&self) -> &RejectionLimit {
        &self.limit
    }

    /// Returns whether a request may be sent, in view of the rejections that the upstream tolerates.
    pub fn admits(&self, slots: &SlotUse) -> bool {
        self.limit.max_per_s().is_none()
            || self.guard.borrow_mut().admits(self.now_ms(), slots, rand::random())
    }

    /// Counts a request that was admitted and is sent now.
    pub fn take(&self) {
        self.guard.borrow_mut().take(self.now_ms());
    }

    /// Records that a request of this node that was running has ended.
    pub fn record_freed(&self) {
        self.guard.borrow_mut().record_freed(self.now_ms());
    }

    /// Records that a request of this node, one of `entry_nodes`, was rejected.
    pub fn record_rejection(&self, entry_nodes: u32) {
        let Some(max_rejections_per_s) = self.limit.max_per_s() else { return };
        let share = RejectionShare { max_rejections_per_s, entry_nodes };
        self.guard.borrow_mut().record_rejection(self.now_ms(), &share, rand::random());
    }

    fn now_ms(&self) -> u64 {
        millis(self.since.elapsed())
    }
}
