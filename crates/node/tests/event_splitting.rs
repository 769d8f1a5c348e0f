//! The time that the events of a stream take.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use daisysill_node::sse::EventSplitter;

/// Guards against a node that does nothing else while it searches an event that arrives byte by byte for its end, again and
/// again from its start.
#[test]
fn an_event_that_arrives_byte_by_byte_is_searched_once() {
    let start = Instant::now();
    let mut splitter = EventSplitter::default();
    for _ in 0..200_000 {
        assert!(splitter.push(b"x").unwrap().is_empty());
    }
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// Guards against a node that does nothing else while it takes many small events from one read.
#[test]
fn many_small_events_in_one_read_are_split_in_linear_time() {
    let start = Instant::now();
    let mut splitter = EventSplitter::default();
    let events = splitter.push("data: x\n\n".repeat(100_000).as_bytes()).unwrap();
    assert_eq!(events.len(), 100_000);
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}
