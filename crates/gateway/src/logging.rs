//! Structured logs: JSON lines on standard output, through a bounded queue that never blocks.

use std::io::stdout;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, fmt::time::SystemTime};

/// Lines that wait at most; further ones are dropped and counted.
const QUEUED_LINES: usize = 4_096;
/// What is logged unless `DAISYSILL_LOG` says otherwise.
const DEFAULT_FILTER: &str = "info,tarpc=error,actix_server=warn";

/// Keeps the writer alive and counts the lines that were dropped.
pub struct LogGuard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// Returns the number of lines dropped so far.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts logging. Records of the `log` crate go the same way.
///
/// # Errors
/// Fails if logging has been started before.
pub fn start() -> eyre::Result<LogGuard> {
    let (writer, worker) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUED_LINES).finish(stdout());
    let dropped = writer.error_counter();
    let filter = EnvFilter::try_from_env("DAISYSILL_LOG").unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_timer(SystemTime)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
        .map_err(|error| eyre::eyre!("logging cannot be started: {error}"))?;
    Ok(LogGuard { _worker: worker, dropped })
}
