//! Signals: SIGTERM for a planned stop, SIGHUP for changed settings.

use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time between reporting not ready and closing the listeners. The load balancer checks once a second and removes a
/// node after two failed checks.
pub(crate) const BALANCER_NOTICE: Duration = Duration::from_millis(3_300);
/// The process exits this long before the platform would kill it.
pub(crate) const KILL_MARGIN: Duration = Duration::from_millis(400);

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
