//! Structured logs: JSON lines on standard output, written through a bounded queue that never blocks.

use std::{io::stdout, sync::OnceLock};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, fmt::time::SystemTime};

/// Capacity of the queue; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// Log filter if `DAISYSILL_LOG` is unset or invalid.
const DEFAULT_FILTER: &str = "info,tarpc=error,actix_server=warn";

/// Counts the lines dropped since logging was started.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Keeps the log writer running; dropping it writes the queued lines.
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Returns the number of lines dropped so far; 0 before logging is started.
pub(crate) fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Starts logging, including records of the `log` crate.
///
/// # Errors
/// Fails if logging was already started.
pub fn start() -> eyre::Result<LogGuard> {
    let (writer, worker) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES).finish(stdout());
    let dropped = writer.error_counter();
    let _ = DROPPED.set(dropped);
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
    Ok(LogGuard { _worker: worker })
}
