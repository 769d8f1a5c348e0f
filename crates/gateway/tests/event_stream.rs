//! Boundaries of server-sent events, however the bytes arrive.

#![allow(clippy::expect_used)]

use bytes::Bytes;
use daisysill_core::event_tracker::EventTracker;
use daisysill_gateway::event_stream::EventSplitter;
use proptest::{collection::vec, prelude::*, sample::select};

/// Bytes that matter to the boundaries of events, and some that do not.
fn stream() -> impl Strategy<Value = Vec<u8>> {
    vec(select(b"\n\n\n\r\r:id 1".to_vec()), 0..60)
}

fn is_inside_event(bytes: &[u8]) -> bool {
    let mut tracker = EventTracker::default();
    tracker.push(bytes);
    tracker.is_inside_event()
}

/// Guards against a boundary that is missed or invented at one of the line ends that the format allows.
#[test]
fn each_line_end_delimits_events() {
    for whole in ["data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: a\n\r\n", ": note\n", "\n", ""] {
        assert!(!is_inside_event(whole.as_bytes()), "{whole:?} is whole");
    }
    for cut in ["data: a\n", "data: a\r\n", "data: a\r", "d", "data: a\n\nid: 2", ": no", "data: a\n: note\n"]
    {
        assert!(is_inside_event(cut.as_bytes()), "{cut:?} is cut");
    }
}

proptest! {
    /// Guards against bytes that are lost, changed or kept back after their event is complete, and against a boundary that
    /// depends on how the bytes were split on their way.
    #[test]
    fn splitting_does_not_depend_on_the_reads(bytes in stream(), cuts in vec(0_usize..60, 0..6)) {
        let mut tracker = EventTracker::default();
        let end = tracker.push(&bytes).unwrap_or(0);
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::after(None);
        let mut relayed = Vec::new();
        for cut in cuts.windows(2) {
            let complete = splitter.push(&Bytes::copy_from_slice(&bytes[cut[0]..cut[1]]));
            relayed.extend_from_slice(&complete.expect("no event is too large"));
        }
        prop_assert_eq!(relayed.len(), end);
        prop_assert_eq!(splitter.is_inside_event(), tracker.is_inside_event());
        relayed.extend_from_slice(&splitter.finish());
        prop_assert_eq!(relayed, bytes);
    }
}
