//! Requests that wait for room.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::wait_queue::WaitQueue;

/// Pattern: long drafts beside live checks while all engines are full.
#[test]
fn live_checks_go_before_drafts() {
    let mut queue = WaitQueue::default();
    queue.push(2, 100, 0, "draft");
    queue.push(0, 500, 0, "check");
    queue.push(0, 300, 0, "sooner check");
    assert_eq!([queue.pop(), queue.pop(), queue.pop()], [Some("sooner check"), Some("check"), Some("draft")]);
    assert!(queue.is_empty());
}

/// Pattern: a burst that cannot be served on time as a whole. What is late already yields to what can be on time.
#[test]
fn late_requests_yield_to_those_that_can_be_on_time() {
    let mut queue = WaitQueue::default();
    queue.push(0, 50, 100, "late");
    queue.push(2, 900, 100, "on time");
    assert_eq!(queue.pop(), Some("on time"));
}

/// Guards against requests that have stopped to wait and still take a turn.
#[test]
fn a_request_that_has_left_takes_no_turn() {
    let mut queue = WaitQueue::default();
    let turn = queue.push(0, 10, 0, "left");
    queue.push(1, 10, 0, "stays");
    queue.remove(&turn);
    assert_eq!(queue.len(), 1);
    assert_eq!(queue.pop(), Some("stays"));
}
