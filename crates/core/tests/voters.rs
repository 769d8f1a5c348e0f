//! Automatic changes of the voters.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::voters::{Member, Membership, MembershipChange, next_change, should_request_join};
use proptest::{collection, prelude::*, test_runner::Config};

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
    assert!(should_request_join(Membership::Outside, 10));
    assert!(!should_request_join(Membership::Learner, 10));
    assert!(should_request_join(Membership::Learner, 2_500));
}

/// Guards against a removed voter that never requests to join because its own log still lists it as a voter, and
/// against requests of each voter while a leader sends to it.
#[test]
fn a_voter_that_no_leader_sends_to_requests_to_join() {
    assert!(!should_request_join(Membership::Voter, 1_500));
    assert!(should_request_join(Membership::Voter, 2_500));
}

fn any_member() -> impl Strategy<Value = Member> {
    (any::<bool>(), prop_oneof![Just(50), Just(3_000), Just(12_000)], any::<bool>(), any::<bool>()).prop_map(
        |(votes, silent_ms, disk_mismatch, caught_up)| Member {
            name: "".into(),
            votes,
            silent_ms,
            disk_mismatch,
            caught_up,
        },
    )
}

/// Returns how many more voters may fail before there is no majority; the leader lives.
fn spare_voters(others: &[Member]) -> i64 {
    let mut total = 1;
    let mut live = 1;
    for member in others.iter().filter(|member| member.votes) {
        total += 1;
        live += i64::from(member.silent_ms < 2_000 && !member.disk_mismatch);
    }
    live - (total / 2 + 1)
}

proptest! {
    #![proptest_config(Config { cases: 5_000, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..Config::default() })]

    /// Guards against a change of the voters after which fewer of them may fail than before it, at any step of a series
    /// of changes, for example the removal of voters whose disks are full for seconds.
    #[test]
    fn no_change_lowers_the_number_of_voters_that_may_fail(
        mut others in collection::vec(any_member(), 0..8),
        target in prop_oneof![Just(1_usize), Just(3), Just(5)],
    ) {
        for (number, member) in others.iter_mut().enumerate() {
            member.name = format!("node-{number}").as_str().into();
        }
        for _ in 0..20 {
            let before = spare_voters(&others);
            if before < 0 {
                // A leader without a majority commits nothing.
                break;
            }
            let Some(change) = next_change(&others, target) else { break };
            match &change {
                MembershipChange::Promote(name) => {
                    let learner = others.iter_mut().find(|member| member.name == *name).unwrap();
                    // It is admitted with the disk that it reports.
                    (learner.votes, learner.disk_mismatch) = (true, false);
                }
                MembershipChange::Remove(name) => others.retain(|member| member.name != *name),
            }
            prop_assert!(spare_voters(&others) >= before, "{change:?}");
        }
    }
}
