//! Automatic changes of the voters.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::voters::{Member, MembershipChange, next_change, should_request_join};

fn member(name: &str, votes: bool) -> Member {
    Member { name: name.into(), votes, silent_ms: 50, disk_mismatch: false, caught_up: true }
}

/// Guards against a voter that stays in the majority after it lost its disk: a second loss then leaves no majority.
#[test]
fn a_voter_with_a_changed_disk_is_removed_and_promoted_again() {
    let lost = Member { disk_mismatch: true, ..member("b", true) };
    assert_eq!(
        next_change(&[lost.clone(), member("c", true)], 3),
        Some(MembershipChange::Remove("b".into()))
    );
    assert_eq!(
        next_change(&[member("b", false), member("c", true)], 3),
        Some(MembershipChange::Promote("b".into()))
    );
    let silent = Member { silent_ms: 9_000, ..member("c", true) };
    assert_eq!(next_change(&[lost, silent], 3), None, "one live voter of two is no majority");
}

/// Guards against the removal of a dead voter before its replacement votes.
#[test]
fn a_dead_voter_is_replaced_and_only_then_removed() {
    let dead = Member { silent_ms: 3_000, ..member("b", true) };
    assert_eq!(next_change(&[dead.clone(), member("c", true)], 3), None);
    let spare = [dead.clone(), member("c", true), member("d", false)];
    assert_eq!(next_change(&spare, 3), Some(MembershipChange::Promote("d".into())));
    let replaced = [dead, member("c", true), member("d", true)];
    assert_eq!(next_change(&replaced, 3), Some(MembershipChange::Remove("b".into())));
}

/// Guards against learners promoted before they hold the log, and against more voters than the target.
#[test]
fn learners_are_promoted_once_caught_up_and_needed() {
    let behind = Member { caught_up: false, ..member("d", false) };
    assert_eq!(next_change(&[member("b", true), behind], 3), None);
    let complete = [member("b", true), member("c", true), member("d", false)];
    assert_eq!(next_change(&complete, 3), None);
}

/// Guards against a removed voter that never learns of its removal and so never requests to join (seen with two
/// lost disks in a row: the second left one voter of two).
#[test]
fn a_replica_that_may_not_vote_requests_to_join_until_a_leader_sends_to_it() {
    assert!(should_request_join(false, 10));
    assert!(!should_request_join(true, 10));
    assert!(should_request_join(true, 2_500));
}
