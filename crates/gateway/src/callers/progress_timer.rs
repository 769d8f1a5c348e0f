//! The time for which a read or a write has made no progress.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::time::{Instant, Sleep, sleep_until};

/// Begins with the first wait and is reset by progress. It costs nothing for transfers that never wait.
#[derive(Debug, Default)]
pub(super) struct ProgressTimer {
    since: Option<Instant>,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl ProgressTimer {
    /// Begins the time now, if it has not begun.
    pub(super) fn begin(&mut self) {
        self.since.get_or_insert_with(Instant::now);
    }

    /// Notes progress.
    pub(super) fn reset(&mut self) {
        self.since = None;
    }

    /// Begins the time if it has not begun; returns whether `limit` has passed, and wakes the task when it does.
    pub(super) fn poll_expired(&mut self, context: &mut Context<'_>, limit: Duration) -> bool {
        let deadline = *self.since.get_or_insert_with(Instant::now) + limit;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if sleep.deadline() != deadline {
            sleep.as_mut().reset(deadline);
        }
        matches!(sleep.as_mut().poll(context), Poll::Ready(()))
    }
}
