//! Signals: a planned stop and changed settings.

use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The load balancer asks once a second and takes a node out after two misses.
pub(crate) const LEAVE_TIME: Duration = Duration::from_millis(3_300);
/// Left before the process is killed, so that it ends by itself.
pub(crate) const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Waits for the signal to stop; the signal that settings changed is only logged, since what a running process
/// takes from its settings does not change.
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
