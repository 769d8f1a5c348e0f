//! Tests of the backoff of calls that a peer does not know.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::call_backoff::CallBackoff;

/// Interval at which a node would ask.
const INTERVAL_MS: u64 = 1_000;
const HOUR_MS: u64 = 3_600_000;

/// Pattern: a node is upgraded before its peers, which end the connection at each call that they do not know. Guards against a
/// connection that is lost each second for as long as the builds run side by side.
#[test]
fn unknown_call_ends_few_connections() {
    let mut backoff = CallBackoff::default();
    let mut ended = 0;
    for now_ms in (0..HOUR_MS).step_by(usize::try_from(INTERVAL_MS).unwrap()) {
        if backoff.admits(now_ms) {
            backoff.record_connection_ended(now_ms);
            ended += 1;
        }
    }
    assert!(ended < 70, "{ended} connections in an hour");
}

/// Pattern: a peer is restarted in the middle of a call, and knows it. Guards against a pause after one lost connection.
#[test]
fn restart_of_a_peer_causes_no_pause() {
    let mut backoff = CallBackoff::default();
    for now_ms in [1_000, 50_000, 90_000] {
        backoff.record_connection_ended(now_ms);
        assert!(backoff.admits(now_ms));
        backoff.record_answered();
    }
}
