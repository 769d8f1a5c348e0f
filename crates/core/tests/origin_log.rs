//! Tests of the log of origins that a node reports to others.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::BTreeSet;

use daisysill_core::{
    origin_log::{OriginLog, OriginSource, ProcessId},
    stream_origins::ORIGIN_LIFETIME_MS,
};
use proptest::{prelude::*, test_runner::Config};

const PAGE: usize = 3;

/// A node that receives reports, and forgets all of them when it starts anew.
struct Receiver {
    name: &'static str,
    process: ProcessId,
    held: BTreeSet<u64>,
}

impl Receiver {
    fn new(name: &'static str, process: u64) -> Self {
        Self { name, process: ProcessId(process), held: BTreeSet::new() }
    }

    fn restart(&mut self) {
        self.process.0 += 1;
        self.held.clear();
    }

    /// Takes the next page; the answer may be lost.
    fn take_page(&mut self, log: &mut OriginLog, now_ms: u64, is_answered: bool) {
        let name = self.name.into();
        let page = log.batch(now_ms, &name, PAGE);
        assert!(page.origins.len() <= PAGE);
        self.held.extend(page.origins.iter().map(|origin| origin.stream));
        if is_answered {
            log.record_answer(&name, self.process, page.end);
        }
    }

    fn take_all(&mut self, log: &mut OriginLog, now_ms: u64) {
        // The empty page shows whether the receiver has started anew.
        self.take_page(log, now_ms, true);
        while log.is_behind(now_ms, &self.name.into()) {
            self.take_page(log, now_ms, true);
        }
    }
}

/// Guards against origins that circulate between control nodes: what another one reports is not reported further, except to a
/// process that started after it.
#[test]
fn reports_of_control_nodes_go_only_to_processes_that_started_later() {
    let mut log = OriginLog::default();
    let mut receiver = Receiver::new("c1", 1);
    receiver.take_all(&mut log, 0);
    log.record(0, 7, &"v1".into(), 0, OriginSource::ControlNode);
    log.record(0, 8, &"v1".into(), 0, OriginSource::EntryNode);
    receiver.take_all(&mut log, 0);
    assert_eq!(receiver.held, [8].into());
    receiver.restart();
    receiver.take_all(&mut log, 0);
    assert_eq!(receiver.held, [7, 8].into());
    log.record(0, 9, &"v1".into(), 0, OriginSource::ControlNode);
    receiver.take_all(&mut log, 0);
    assert_eq!(receiver.held, [7, 8].into());
}

/// Guards against origins that are reported for good, though nobody takes their streams up anymore.
#[test]
fn outdated_origins_are_dropped() {
    let mut log = OriginLog::default();
    log.record(100, 7, &"v1".into(), 100, OriginSource::EntryNode);
    log.record(200, 8, &"v2".into(), 200, OriginSource::EntryNode);
    let name = "c1".into();
    assert_eq!(log.batch(99 + ORIGIN_LIFETIME_MS, &name, PAGE).origins.len(), 2);
    assert_eq!(log.batch(150 + ORIGIN_LIFETIME_MS, &name, PAGE).origins[0].stream, 8);
    assert!(!log.is_behind(200 + ORIGIN_LIFETIME_MS, &name) && log.is_empty());
}

#[derive(Clone, Debug)]
enum Event {
    Record(u64),
    Page { receiver: usize, is_answered: bool },
    Restart { receiver: usize },
    Pass(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..u64::MAX).prop_map(Event::Record),
        4 => (0..2usize, any::<bool>())
            .prop_map(|(receiver, is_answered)| Event::Page { receiver, is_answered }),
        1 => (0..2usize).prop_map(|receiver| Event::Restart { receiver }),
        1 => (0..ORIGIN_LIFETIME_MS / 4).prop_map(Event::Pass),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 2_000, failure_persistence: None, ..Config::default() })]

    /// Guards against a receiver that lacks an origin after it was told all, in any order of records, restarts, and reports with and
    /// without an answer.
    #[test]
    fn receiver_that_is_not_behind_holds_all_origins(events in prop::collection::vec(any_event(), 1..120)) {
        let mut log = OriginLog::default();
        let mut receivers = [Receiver::new("c1", 10), Receiver::new("c2", 1_000)];
        let mut recorded = Vec::new();
        let mut now_ms = 0;
        for event in events {
            match event {
                Event::Record(stream) => {
                    log.record(now_ms, stream, &"v1".into(), now_ms, OriginSource::EntryNode);
                    recorded.push((now_ms, stream));
                }
                Event::Page { receiver, is_answered } => {
                    receivers[receiver].take_page(&mut log, now_ms, is_answered);
                }
                Event::Restart { receiver } => receivers[receiver].restart(),
                Event::Pass(ms) => now_ms += ms,
            }
        }
        for receiver in &mut receivers {
            receiver.take_all(&mut log, now_ms);
            for (recorded_ms, stream) in &recorded {
                if now_ms - recorded_ms < ORIGIN_LIFETIME_MS {
                    prop_assert!(receiver.held.contains(stream), "{} lacks {stream}", receiver.name);
                }
            }
        }
    }
}
