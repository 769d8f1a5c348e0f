//! Pauses that an upstream asks for when it turns requests away.

use std::{cell::Cell, time::Duration};

use tokio::time::Instant;

/// Longest pause that is kept; an upstream that asks for more is not expected to live so long.
const MAX_PAUSE: Duration = Duration::from_hours(365 * 24);

/// The time for which an upstream wants no request of this node.
#[derive(Debug, Default)]
pub struct Pause {
    until: Cell<Option<Instant>>,
}

impl Pause {
    /// Records that the upstream asks for a pause from now on; an earlier one that lasts longer still holds.
    pub fn extend(&self, pause: Duration) {
        let until = Instant::now() + pause.min(MAX_PAUSE);
        self.until.set(self.until.get().max(Some(until)));
    }

    /// Returns the time that is left; zero if the upstream takes requests.
    pub fn left(&self) -> Duration {
        self.until.get().map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Returns whether the upstream wants no request now.
    pub fn is_on(&self) -> bool {
        !self.left().is_zero()
    }
}
