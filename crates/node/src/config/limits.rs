//! The limits on requests, section `[limits]` of the settings.

use daisysill_core::ini_check::IniFile;

/// The HTTP server measures this timeout with a clock that it reads every 500 ms; with 300 ms it answered
/// some requests with status 408 as soon as their connection was open.
const MIN_HEADER_TIMEOUT_MS: u64 = 1_000;

/// Keys of the section, with those that [`super::connections`] reads.
const KEYS: &[&str] = &[
    "body_bytes",
    "header_timeout_ms",
    "body_timeout_ms",
    "in_flight_requests",
    "memory_bytes",
    "max_connections",
    "max_fds",
    "slow_head_ms",
    "slow_body_ms",
    "unread_ms",
];

/// Limits on requests.
#[derive(Clone, Debug)]
pub struct LimitConfig {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Time in which a request's headers must arrive.
    pub header_timeout_ms: u64,
    /// Maximum time between two parts of a request body.
    pub body_timeout_ms: u64,
    /// Maximum number of requests in progress on this node.
    pub in_flight_requests: usize,
    /// Memory for the bytes of all requests and answers together.
    pub memory_bytes: usize,
}

/// Reads the section; errors are reported to `ini`.
pub(super) fn parse(ini: &mut IniFile<'_>) -> LimitConfig {
    ini.check_keys("limits", KEYS);
    let memory_bytes = ini.number("limits", "memory_bytes", 268_435_456, 1_048_576, 1_099_511_627_776);
    let body_bytes = ini.number("limits", "body_bytes", 8_388_608, 1_024, 1_073_741_824);
    let in_flight = ini.number("limits", "in_flight_requests", 4_096, 1, 1_000_000);
    LimitConfig {
        body_bytes: usize::try_from(body_bytes).unwrap_or(usize::MAX),
        header_timeout_ms: ini.number("limits", "header_timeout_ms", 5_000, MIN_HEADER_TIMEOUT_MS, 600_000),
        body_timeout_ms: ini.number("limits", "body_timeout_ms", 10_000, 100, 600_000),
        in_flight_requests: usize::try_from(in_flight).unwrap_or(usize::MAX),
        memory_bytes: usize::try_from(memory_bytes).unwrap_or(usize::MAX),
    }
}
