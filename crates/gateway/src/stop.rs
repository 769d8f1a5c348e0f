//! Planned stops: the signals, and how far a stop has got, as requests in progress see it.

use std::{pin::pin, time::Duration};

use actix_web::dev::ServerHandle;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::{Instant, timeout, timeout_at},
};

/// Time between reporting not ready and closing the listeners. The load balancer checks once a second and removes a
/// node after two failed checks.
pub(crate) const BALANCER_NOTICE: Duration = Duration::from_millis(3_300);
/// The process exits this long before the platform would kill it.
pub(crate) const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Time to report where the last streams began, before the process exits.
pub(crate) const ORIGINS_TIMEOUT: Duration = Duration::from_millis(200);

/// Time before the process exits at which requests in progress are answered. They need it to reach their callers.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Time for the streams that the end of the process cuts to be recorded.
const RECORD_TIME: Duration = Duration::from_millis(100);

/// The planned stop of this process; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlannedStop {
    progress: watch::Sender<Progress>,
}

#[derive(Debug, Default)]
struct Progress {
    began: Option<Instant>,
    is_near_end: bool,
    has_ended: bool,
    are_streams_recorded: bool,
}

impl PlannedStop {
    /// Begins the stop: requests are served, but the node no longer counts as ready.
    pub(crate) fn begin(&self) {
        self.progress.send_modify(|progress| progress.began = Some(Instant::now()));
    }

    /// Returns whether the stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.progress.borrow().began.is_some()
    }

    /// Returns the time since the stop began; zero before it.
    pub(crate) fn elapsed(&self) -> Duration {
        self.progress.borrow().began.map_or(Duration::ZERO, |began| began.elapsed())
    }

    /// Waits until the process is about to exit, so that a request in progress must be answered now.
    pub(crate) async fn near_end(&self) {
        // Cannot fail, since this holds a sender.
        let _ = self.progress.subscribe().wait_for(|progress| progress.is_near_end).await;
    }

    /// Closes the server's listeners and waits for its requests. Those still in progress shortly before `end` are told
    /// to answer. Returns whether all were served before.
    pub(crate) async fn finish(&self, server: &ServerHandle, end: Instant) -> bool {
        let mut stopped = pin!(server.stop(true));
        let final_answers_at = end.checked_sub(FINAL_ANSWER_TIME).unwrap_or(end);
        if timeout_at(final_answers_at, &mut stopped).await.is_ok() {
            return true;
        }
        self.progress.send_modify(|progress| progress.is_near_end = true);
        if timeout_at(end, stopped).await.is_err() {
            self.progress.send_modify(|progress| progress.has_ended = true);
            let mut progress = self.progress.subscribe();
            let _ = timeout(RECORD_TIME, progress.wait_for(|progress| progress.are_streams_recorded)).await;
        }
        false
    }

    /// Calls `record` for the streams in progress if the process exits before they end.
    pub(crate) async fn record_cut_streams(self, record: impl FnOnce()) {
        if self.progress.subscribe().wait_for(|progress| progress.has_ended).await.is_ok() {
            record();
            self.progress.send_modify(|progress| progress.are_streams_recorded = true);
        }
    }
}

/// Waits for SIGTERM. SIGHUP is only logged, since a running process does not apply changed settings.
pub(crate) async fn stop_requested() {
    let (Ok(mut terminate), Ok(mut reload)) = (signal(SignalKind::terminate()), signal(SignalKind::hangup()))
    else {
        tracing::error!(event = "signals_unavailable");
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            () = received(&mut terminate) => return,
            () = received(&mut reload) => tracing::info!(event = "reload", outcome = "no setting applies while running"),
        }
    }
}

async fn received(signal: &mut Signal) {
    if signal.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}
