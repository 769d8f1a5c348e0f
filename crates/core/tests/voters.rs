//! Automatic changes of the voters.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::voters::{
    Member, Membership, MembershipChange, Presence, next_change, should_request_join,
};
use proptest::{collection, prelude::*, test_runner::Config};

fn member(name: &str, votes: bool) -> Member {
    Member {
        name: name.into(),
        votes,
        silent_ms: 50,
        disk_mismatch: false,
        caught_up: true,
        presence: Presence::Stays,
    }
}

/// Returns the next change if the leader stays.
fn change_of(others: &[Member], target: usize) -> Option<MembershipChange> {
    next_change(&member("a", true), others, target)
}

/// Guards against a voter that stays in the majority after it lost its disk: a second loss then leaves no majority.
#[test]
fn a_voter_with_a_changed_disk_is_removed_and_promoted_again() {
    let lost = Member { disk_mismatch: true, ..member("b", true) };
    assert_eq!(change_of(&[lost.clone(), member("c", true)], 3), Some(MembershipChange::Remove("b".into())));
    assert_eq!(
        change_of(&[member("b", false), member("c", true)], 3),
        Some(MembershipChange::Promote("b".into()))
    );
    let silent = Member { silent_ms: 9_000, ..member("c", true) };
    assert_eq!(change_of(&[lost, silent], 3), None, "one live voter of two is no majority");
}

/// Guards against the removal of a dead voter before its replacement votes.
#[test]
fn a_dead_voter_is_replaced_and_only_then_removed() {
    let dead = Member { silent_ms: 3_000, ..member("b", true) };
    assert_eq!(change_of(&[dead.clone(), member("c", true)], 3), None);
    let spare = [dead.clone(), member("c", true), member("d", false)];
    assert_eq!(change_of(&spare, 3), Some(MembershipChange::Promote("d".into())));
    let replaced = [dead, member("c", true), member("d", true)];
    assert_eq!(change_of(&replaced, 3), Some(MembershipChange::Remove("b".into())));
}

/// Guards against learners promoted before they hold the log, and against more voters than the target.
#[test]
fn learners_are_promoted_once_caught_up_and_needed() {
    let behind = Member { caught_up: false, ..member("d", false) };
    assert_eq!(change_of(&[member("b", true), behind], 3), None);
    let complete = [member("b", true), member("c", true), member("d", false)];
    assert_eq!(change_of(&complete, 3), None);
}

/// Guards against a voter that ends as planned while a learner holds the whole log, without handing its vote over: until it
/// counts as dead, the loss of one more voter ends the majority for good.
#[test]
fn a_voter_that_is_to_stop_is_replaced_and_only_then_removed() {
    let leaving = Member { presence: Presence::Leaves, ..member("b", true) };
    assert_eq!(change_of(&[leaving.clone(), member("c", true)], 3), None, "nobody can replace it");
    let spare = [leaving.clone(), member("c", true), member("d", false)];
    assert_eq!(change_of(&spare, 3), Some(MembershipChange::Promote("d".into())));
    let replaced = [leaving, member("c", true), member("d", true)];
    assert_eq!(change_of(&replaced, 3), Some(MembershipChange::Remove("b".into())));
}

/// Guards against the same for the leader, and against a leader that removes itself while it has to replace others.
#[test]
fn a_leader_that_is_to_stop_replaces_itself_last() {
    let leader = Member { presence: Presence::Leaves, ..member("a", true) };
    let spare = [member("b", true), member("c", true), member("d", false)];
    assert_eq!(next_change(&leader, &spare, 3), Some(MembershipChange::Promote("d".into())));
    let replaced = [member("b", true), member("c", true), member("d", true)];
    assert_eq!(next_change(&leader, &replaced, 3), Some(MembershipChange::Remove("a".into())));
    let other = Member { presence: Presence::Leaves, ..member("b", true) };
    let both = [other, member("c", true), member("d", true)];
    assert_eq!(next_change(&leader, &both, 3), Some(MembershipChange::Remove("b".into())));
}

/// Guards against a vote that is handed over to a learner that is to stop too, and against more removals than replacements.
#[test]
fn votes_are_handed_over_to_learners_that_stay() {
    let leaving = |name, votes| Member { presence: Presence::Leaves, ..member(name, votes) };
    assert_eq!(change_of(&[leaving("b", true), member("c", true), leaving("d", false)], 3), None);
    let stays = [leaving("b", true), member("c", true), leaving("d", false), member("e", false)];
    assert_eq!(change_of(&stays, 3), Some(MembershipChange::Promote("e".into())));
    assert_eq!(change_of(&[leaving("b", true), leaving("c", true)], 3), None);
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
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (flags, prop_oneof![Just(50), Just(3_000), Just(12_000)]).prop_map(
        |((votes, disk_mismatch, caught_up, leaves), silent_ms)| Member {
            name: "".into(),
            votes,
            silent_ms,
            disk_mismatch,
            caught_up,
            presence: Presence::of(leaves),
        },
    )
}

/// Returns how many more voters may fail before there is no majority; one that is to stop votes until it is replaced.
fn spare_voters(leader: &Member, others: &[Member]) -> i64 {
    let mut total = 0;
    let mut live = 0;
    for member in others.iter().chain([leader]).filter(|member| member.votes) {
        total += 1;
        live += i64::from(member.silent_ms < 2_000 && !member.disk_mismatch);
    }
    live - (total / 2 + 1)
}

proptest! {
    #![proptest_config(Config { cases: 5_000, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..Config::default() })]

    /// Guards against a change of the voters after which fewer of them may fail than before it, at any step of a series
    /// of changes, for example the removal of voters whose disks are full for seconds, or that are to stop.
    #[test]
    fn no_change_lowers_the_number_of_voters_that_may_fail(
        mut others in collection::vec(any_member(), 0..8),
        target in prop_oneof![Just(1_usize), Just(3), Just(5)],
        leader_leaves in any::<bool>(),
    ) {
        let leader = Member { presence: Presence::of(leader_leaves), ..member("leader", true) };
        for (number, member) in others.iter_mut().enumerate() {
            member.name = format!("node-{number}").as_str().into();
        }
        for _ in 0..20 {
            let before = spare_voters(&leader, &others);
            if before < 0 {
                // A leader without a majority commits nothing.
                break;
            }
            let Some(change) = next_change(&leader, &others, target) else { break };
            match &change {
                MembershipChange::Promote(name) => {
                    let learner = others.iter_mut().find(|member| member.name == *name).unwrap();
                    // It is admitted with the disk that it reports.
                    (learner.votes, learner.disk_mismatch) = (true, false);
                }
                MembershipChange::Remove(name) => others.retain(|member| member.name != *name),
            }
            if change == MembershipChange::Remove(leader.name.clone()) {
                let removed = Member { votes: false, ..leader.clone() };
                prop_assert!(spare_voters(&removed, &others) >= before, "{change:?}");
                break;
            }
            prop_assert!(spare_voters(&leader, &others) >= before, "{change:?}");
        }
    }
}
