//! The rate limit that an upstream names in its responses, for all nodes together.

use std::cell::Cell;

use tokio::time::Instant;

/// The rate limit of one upstream, as its responses to this node state it.
#[derive(Debug, Default)]
pub struct RateLimit {
    /// Requests per second, and when a response last named them.
    named: Cell<Option<(f64, Instant)>>,
}

/// How a response changed the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The upstream names a limit, or another one than before.
    Named {
        /// Requests per second.
        per_s: f64,
    },
    /// The upstream names none any more.
    Lifted,
}

impl RateLimit {
    /// Returns the requests per second that the upstream takes; `None` if it names no limit.
    pub fn per_s(&self) -> Option<f64> {
        self.named.get().map(|(per_s, _)| per_s)
    }

    /// Records what a response to a request sent at `sent_at` names; returns the change, if it is one.
    ///
    /// A response without a limit lifts it only if its request was sent after the limit was last named: responses on
    /// different connections may overtake each other.
    pub fn record(&self, named_per_s: Option<f64>, sent_at: Instant) -> Option<LimitChange> {
        let known = self.named.get();
        match (named_per_s, known) {
            (Some(per_s), _) => {
                self.named.set(Some((per_s, Instant::now())));
                let is_new = known.is_none_or(|(known_per_s, _)| known_per_s.to_bits() != per_s.to_bits());
                is_new.then_some(LimitChange::Named { per_s })
            }
            (None, Some((_, named_at))) if sent_at >= named_at => {
                self.named.set(None);
                Some(LimitChange::Lifted)
            }
            (None, Some(_) | None) => None,
        }
    }
}
