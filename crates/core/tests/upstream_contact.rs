//! A node that has lost its links to all upstreams is told from upstreams or zones that fail.

use daisysill_core::upstream_contact::{Observation, Reach, UpstreamContact};

const NOW_MS: u64 = 10_000;
const SILENT: Observation =
    Observation { upstreams: 9, zones: 3, silent_ms: Some(400), longest_wait_ms: 400 };

fn failed_at(places: &[(&str, &str)]) -> UpstreamContact {
    let mut contact = UpstreamContact::default();
    for (upstream, zone) in places {
        contact.record_failure(&(*upstream).into(), &(*zone).into(), NOW_MS);
    }
    contact
}

/// Guards against a node that takes crashed upstreams, or a zone that is cut off, for a lost link of its own.
#[test]
fn failures_of_few_upstreams_or_of_one_zone_are_no_lost_link() {
    let crashed = [("a", "east"), ("a", "east"), ("b", "west")];
    assert_eq!(failed_at(&crashed).reach(&SILENT, NOW_MS), Reach::InTouch);
    let one_zone = [("a", "east"), ("b", "east"), ("c", "east"), ("d", "east")];
    assert_eq!(failed_at(&one_zone).reach(&SILENT, NOW_MS), Reach::InTouch);
    let all_zones = [("a", "east"), ("b", "west"), ("c", "north")];
    assert_eq!(failed_at(&all_zones).reach(&SILENT, NOW_MS), Reach::CutOff);
}

/// Guards against a node with few upstreams, or none, that never or always counts as cut off.
#[test]
fn number_of_failures_needed_follows_the_list() {
    let one = Observation { upstreams: 1, zones: 1, ..SILENT };
    assert_eq!(failed_at(&[("a", "east")]).reach(&one, NOW_MS), Reach::CutOff);
    let none = Observation { upstreams: 0, zones: 0, ..SILENT };
    assert_eq!(UpstreamContact::default().reach(&none, NOW_MS), Reach::InTouch);
}

/// Guards against open connections that are given up although upstreams answer on them.
#[test]
fn node_with_answers_on_open_connections_is_not_cut_off() {
    let all_zones = [("a", "east"), ("b", "west"), ("c", "north")];
    let answers = Observation { silent_ms: Some(299), ..SILENT };
    assert_eq!(failed_at(&all_zones).reach(&answers, NOW_MS), Reach::NoNewConnections);
}

/// Guards against a node that stays cut off after it has regained its links, or because of old failures.
#[test]
fn contact_is_regained_with_a_connection_or_time() {
    let all_zones = [("a", "east"), ("b", "west"), ("c", "north")];
    let mut contact = failed_at(&all_zones);
    contact.record_connected();
    assert_eq!(contact.reach(&SILENT, NOW_MS), Reach::InTouch);
    assert_eq!(failed_at(&all_zones).reach(&SILENT, NOW_MS + 1_499), Reach::CutOff);
    assert_eq!(failed_at(&all_zones).reach(&SILENT, NOW_MS + 1_500), Reach::InTouch);
}

/// Guards against a node that connects to upstreams all the time, or that does not notice a lost link because all its
/// requests wait on open connections.
#[test]
fn probes_are_due_after_a_failure_or_in_silence_only() {
    let mut contact = UpstreamContact::default();
    let idle = Observation { longest_wait_ms: 0, ..SILENT };
    let answers = Observation { silent_ms: Some(20), ..SILENT };
    assert_eq!(contact.probes_due(&idle, NOW_MS), 0);
    assert_eq!(contact.probes_due(&answers, NOW_MS), 0);
    assert_eq!(contact.probes_due(&SILENT, NOW_MS), 1);
    assert_eq!(contact.probes_due(&SILENT, NOW_MS + 499), 0);
    contact.record_failure(&"a".into(), &"east".into(), NOW_MS + 250);
    assert_eq!(contact.probes_due(&answers, NOW_MS + 250), 0, "one upstream that crashed");
    assert_eq!(contact.probes_due(&idle, NOW_MS + 250), 3);
    assert_eq!(contact.probes_due(&idle, NOW_MS + 449), 0);
    assert_eq!(contact.probes_due(&idle, NOW_MS + 450), 3);
    contact.record_failure(&"b".into(), &"east".into(), NOW_MS + 500);
    assert_eq!(contact.probes_due(&answers, NOW_MS + 650), 3);
}

/// Guards against probes that go to upstreams and zones that have just failed while others were not tried.
#[test]
fn failed_upstreams_and_zones_are_known() {
    let contact = failed_at(&[("a", "east")]);
    assert!(contact.has_failed(&"a".into()) && !contact.has_failed(&"b".into()));
    assert!(contact.has_failed_in(&"east".into()) && !contact.has_failed_in(&"west".into()));
}
