//! The end of a planned stop, as requests in progress see it: each of them is answered before the process exits.

use std::time::Duration;

use daisysill_core::result_code::ResultCode;
use tokio::sync::watch;

use crate::refusal::Refusal;

/// Time before the end of a planned stop at which requests in progress are answered. They need it to reach their callers.
pub const FINAL_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Suggested retry delay; the next connection leads to another node.
const STOP_RETRY_MS: u64 = 500;

/// Announces the end of a planned stop.
#[derive(Debug, Default)]
pub struct PlannedStop {
    is_near_end: watch::Sender<bool>,
}

impl PlannedStop {
    /// Tells all requests in progress that the process is about to exit.
    pub fn announce_end(&self) {
        self.is_near_end.send_replace(true);
    }

    /// Waits until the process is about to exit.
    pub async fn near_end(&self) {
        // Cannot fail, since this holds the sender.
        let _ = self.is_near_end.subscribe().wait_for(|is_near_end| *is_near_end).await;
    }

    /// Runs a step of a request that no upstream has received yet.
    ///
    /// # Errors
    /// Refuses the request if the process is about to exit before the step is done.
    pub async fn before_end<T>(&self, step: impl Future<Output = Result<T, Refusal>>) -> Result<T, Refusal> {
        tokio::select! {
            biased;
            result = step => result,
            () = self.near_end() => Err(Refusal::shutting_down()),
        }
    }
}

impl Refusal {
    /// Creates the refusal of a request that the node cannot finish before it exits, and that has not run.
    pub fn shutting_down() -> Self {
        Self::new(ResultCode::ShuttingDown, "the node is shutting down").retry_after_ms(STOP_RETRY_MS)
    }

    /// Creates the refusal of an idempotent request that the node cannot finish before it exits.
    pub fn cut_short(may_have_run: bool) -> Self {
        if !may_have_run {
            return Self::shutting_down();
        }
        Self::new(ResultCode::UpstreamFailed, "the node stopped before the upstream had answered")
            .retry_after_ms(STOP_RETRY_MS)
    }
}
