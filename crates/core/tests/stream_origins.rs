//! Tests of what is known about the software version that began a stream.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{
    ids::{ServiceName, SoftwareVersion},
    software_history::SoftwareHistory,
    stream_origins::{ORIGIN_LIFETIME_MS, StreamOrigins},
};
use proptest::{prelude::*, test_runner::Config};

/// Time between two readings of the list.
const READ_MS: u64 = 1_000;

fn version(name: &str) -> SoftwareVersion {
    name.into()
}

struct Service {
    name: ServiceName,
    history: SoftwareHistory,
    now_ms: u64,
}

impl Service {
    fn new() -> Self {
        Self { name: "lyric".into(), history: SoftwareHistory::default(), now_ms: 0 }
    }

    /// Reads a list with these versions for a time.
    fn list(&mut self, versions: &[&str], duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += READ_MS;
            let versions: Vec<SoftwareVersion> = versions.iter().copied().map(version).collect();
            self.history.record(self.now_ms, versions.iter().map(|version| (&self.name, version)));
        }
    }

    /// Returns the only version for a stream that was asked for right before now.
    fn sole_version(&self) -> Option<&SoftwareVersion> {
        self.sole_version_at(self.now_ms - 1)
    }

    fn sole_version_at(&self, asked_ms: u64) -> Option<&SoftwareVersion> {
        self.history.sole_version(asked_ms, &self.name)
    }
}

/// Guards against a stream of a version that has just left, which goes on at the only one that is listed now.
#[test]
fn version_that_has_left_counts_until_its_streams_are_over() {
    let mut service = Service::new();
    service.list(&["v1"], 2 * ORIGIN_LIFETIME_MS);
    assert_eq!(service.sole_version(), Some(&version("v1")));
    service.list(&["v1", "v2"], READ_MS);
    assert_eq!(service.sole_version(), None);
    service.list(&["v2"], ORIGIN_LIFETIME_MS - READ_MS);
    assert_eq!(service.sole_version(), None);
    service.list(&["v2"], 2 * READ_MS);
    assert_eq!(service.sole_version(), Some(&version("v2")));
}

/// Guards against a node that is cut off and takes the only version that it has seen for the only one there is.
#[test]
fn old_reading_tells_nothing() {
    let mut service = Service::new();
    service.list(&["v1"], 2 * ORIGIN_LIFETIME_MS);
    service.now_ms += 2 * READ_MS;
    assert_eq!(service.sole_version(), None);
}

/// Guards against a stream that goes on at the only version of the last reading, although it began at one that joined after
/// that reading.
#[test]
fn reading_before_the_question_tells_nothing() {
    for (next, expected) in [(vec!["v1"], Some(version("v1"))), (vec!["v1", "v2"], None), (vec!["v2"], None)]
    {
        let mut service = Service::new();
        service.list(&["v1"], 2 * ORIGIN_LIFETIME_MS);
        let asked_ms = service.now_ms;
        assert_eq!(service.sole_version_at(asked_ms), None);
        assert!(service.history.may_be_sole(asked_ms, &service.name));
        service.list(&next, READ_MS);
        assert_eq!(service.sole_version_at(asked_ms), expected.as_ref(), "{next:?}");
    }
}

/// Guards against an old reading that arrives late, as at a node that stood still, and counts as one of the time at which it
/// arrived.
#[test]
fn reading_counts_from_when_it_began() {
    let mut service = Service::new();
    service.list(&["v1"], 2 * ORIGIN_LIFETIME_MS);
    let asked_ms = service.now_ms;
    for late_ms in [READ_MS, 1, 0] {
        service.history.record(asked_ms - late_ms, [(&service.name, &version("v1"))]);
        assert_eq!(service.sole_version_at(asked_ms), None);
    }
    service.history.record(asked_ms + 1, [(&service.name, &version("v1"))]);
    assert_eq!(service.sole_version_at(asked_ms), Some(&version("v1")));
    service.history.record(asked_ms - READ_MS, [(&service.name, &version("v2"))]);
    assert_eq!(service.sole_version_at(asked_ms), None, "an older reading showed another version");
}

/// Guards against a version that came and went while the list could not be read.
#[test]
fn gap_in_the_readings_starts_the_history_anew() {
    let mut service = Service::new();
    service.list(&["v1"], 2 * ORIGIN_LIFETIME_MS);
    service.now_ms += 10_000;
    assert_eq!(service.sole_version(), None);
    service.list(&["v1"], ORIGIN_LIFETIME_MS);
    assert_eq!(service.sole_version(), None);
    service.list(&["v1"], 2 * READ_MS);
    assert_eq!(service.sole_version(), Some(&version("v1")));
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, ..Config::default() })]

    /// Guards against a stream that is forgotten while its caller may still take it up, or that is taken for one of
    /// another version.
    #[test]
    fn stream_is_known_for_its_lifetime(
        records in prop::collection::vec((0..5_000u64, 0..40u64, 0..4usize), 1..200),
        age_ms in 0..ORIGIN_LIFETIME_MS,
    ) {
        let names = ["v1", "v1.1", "v1.2", "v2"];
        let mut origins = StreamOrigins::default();
        let mut last = std::collections::HashMap::new();
        let mut now_ms = 0;
        for (step_ms, stream, name) in records {
            now_ms += step_ms;
            origins.record(now_ms, stream, &version(names[name]));
            last.insert(stream, (now_ms, names[name]));
        }
        now_ms += age_ms;
        for (stream, (recorded_ms, name)) in last {
            let found = origins.find(now_ms, stream).map(SoftwareVersion::as_str);
            if now_ms - recorded_ms < ORIGIN_LIFETIME_MS {
                prop_assert_eq!(found, Some(name));
            } else {
                prop_assert!(found.is_none_or(|found| found == name));
            }
        }
    }
}
