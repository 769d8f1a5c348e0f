//! The limits on connections of callers, in section `[limits]` of the settings.

use std::time::Duration;

use daisysill_core::ini_check::IniFile;
use daisysill_gateway::callers::StreamLimits;

use super::LimitConfig;

/// Descriptors of a process whose settings name none.
const DEFAULT_MAX_FDS: u64 = 4_096;
/// Descriptors reserved for files.
const FILE_FDS: u64 = 200;
/// One part in this many of the other descriptors is for connections of callers; the rest is for upstreams and other nodes.
const CONNECTION_FDS_FRACTION: u64 = 2;
/// Part of `memory_bytes` for each connection. The platform's settings have the same: a quarter of its memory is for requests, and
/// each connection takes 128 KiB of the whole.
const MEMORY_PER_CONNECTION_BYTES: u64 = 32 * 1_024;
/// The default times are at least this many times those that the server and the reader of bodies keep, so that a slow caller
/// gets their responses, 408 and 400, before its connection is closed.
const LATER_FACTOR: u64 = 2;
/// Longer than the 128 KiB of a head at which the server answers 431 itself.
const MAX_HEAD_BYTES: usize = 160 * 1_024;
const MAX_TIME_MS: u64 = 1_200_000;

/// Limits on the connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionConfig {
    /// Connections of callers that the process may have.
    pub max_connections: usize,
    /// Times after which a connection without progress is ended.
    pub stream_limits: StreamLimits,
}

/// Reads the limits on connections; errors are reported to `ini`.
pub(super) fn parse(ini: &mut IniFile<'_>, limits: &LimitConfig) -> ConnectionConfig {
    let allowed = default_connections(ini, limits);
    let max_connections = ini.number("limits", "max_connections", allowed, 2, 1_000_000);
    let default = StreamLimits::default();
    let head = later(default.head, limits.header_timeout_ms);
    let body = later(default.body, limits.body_timeout_ms);
    let write = later(default.write, 0);
    let stream_limits = StreamLimits {
        head: Duration::from_millis(ini.number("limits", "slow_head_ms", head, 1_000, MAX_TIME_MS)),
        body: Duration::from_millis(ini.number("limits", "slow_body_ms", body, 100, MAX_TIME_MS)),
        write: Duration::from_millis(ini.number("limits", "unread_ms", write, 1_000, MAX_TIME_MS)),
        head_bytes: MAX_HEAD_BYTES,
    };
    ConnectionConfig {
        max_connections: usize::try_from(max_connections).unwrap_or(usize::MAX),
        stream_limits,
    }
}

/// Returns as many connections as the descriptors and the memory of the process allow.
fn default_connections(ini: &mut IniFile<'_>, limits: &LimitConfig) -> u64 {
    let max_fds = ini.number("limits", "max_fds", DEFAULT_MAX_FDS, 256, 10_000_000);
    let by_fds = max_fds.saturating_sub(FILE_FDS) / CONNECTION_FDS_FRACTION;
    let memory_bytes = u64::try_from(limits.memory_bytes).unwrap_or(u64::MAX);
    by_fds.min(memory_bytes / MEMORY_PER_CONNECTION_BYTES).clamp(2, 1_000_000)
}

/// Returns a default in milliseconds, raised above the limit that applies before it.
fn later(default: Duration, limit_ms: u64) -> u64 {
    let default_ms = u64::try_from(default.as_millis()).unwrap_or(MAX_TIME_MS);
    default_ms.max(limit_ms.saturating_mul(LATER_FACTOR))
}
