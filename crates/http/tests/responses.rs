//! Malformed responses are refused and sound ones are read, whole and in pieces.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support {
    pub(crate) mod read;
}

use daisysill_testkit::malformed_responses::{Body, malformed_responses, sound_responses};
use support::read::{Outcome, read};

const FIELDS: &str = "X-Request-Id: r1\r\n";

/// Returns the outcomes of a response that arrives whole, byte by byte, and in two pieces for each place between two bytes.
fn outcomes(bytes: &[u8]) -> Vec<Outcome> {
    let halves = (1..bytes.len()).map(|at| read([&bytes[..at], &bytes[at..]]));
    [read([bytes]), read(bytes.chunks(1))].into_iter().chain(halves).collect()
}

/// Guards against a malformed response that a client takes for a whole one, mostly with a part of its body.
#[test]
fn malformed_response_is_refused_for_its_reason() {
    let mut passed = Vec::new();
    for response in malformed_responses() {
        let bytes = response.bytes(FIELDS, &Body::events());
        let is_refused =
            |outcome: &Outcome| matches!(outcome, Outcome::Refused(fault) if fault.name() == response.reason);
        if let Some(outcome) = outcomes(&bytes).iter().find(|outcome| !is_refused(outcome)) {
            passed.push(format!("{}, {}: {outcome:?}", response.reason, response.name));
        }
    }
    assert!(passed.is_empty(), "{}", passed.join("\n"));
}

/// Guards against a reader that refuses what the grammar allows.
#[test]
fn sound_response_is_read_to_its_end() {
    for response in sound_responses() {
        let bytes = response.bytes(FIELDS, &Body::events());
        let whole =
            Outcome::Complete { status: 200, body: Body::events().text().into_bytes(), bytes: bytes.len() };
        for outcome in outcomes(&bytes) {
            assert_eq!(outcome, whole, "{}", response.name);
        }
    }
}

/// Guards against a sound response that counts as complete although its connection ended before it did.
#[test]
fn response_that_breaks_off_is_incomplete() {
    for response in sound_responses().iter().filter(|response| !response.closes) {
        let bytes = response.bytes(FIELDS, &Body::events());
        for sent in 0..bytes.len() {
            let outcome = read([&bytes[..sent]]);
            assert_eq!(outcome, Outcome::Incomplete, "{}, {sent} bytes", response.name);
        }
    }
}
