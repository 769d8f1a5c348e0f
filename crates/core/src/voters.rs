//! Keeps the voters of the replicated log complete without an operator.

use crate::ids::InstanceId;

/// A voter that has not answered for this time is replaced if another member can take its place.
const DEAD_AFTER_MS: u64 = 2_000;
/// A learner that has not answered for this time is removed.
const FORGOTTEN_AFTER_MS: u64 = 10_000;

/// What the leader knows of another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member.
    pub name: InstanceId,
    /// Whether it votes; otherwise it is a learner.
    pub votes: bool,
    /// Time since it last answered.
    pub silent_ms: u64,
    /// Whether its disk is not the one it was admitted with.
    pub disk_mismatch: bool,
    /// Whether it holds everything committed.
    pub caught_up: bool,
}

/// The next change of the voter set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A learner becomes a voter.
    Promote(InstanceId),
    /// A member is removed; if it runs, it asks to be admitted again.
    Remove(InstanceId),
}

/// Returns whether a replica that may not vote asks to be admitted. `is_learner` is whether its own log lists it as
/// a learner; the entry that removed it may never have reached it, so the leader's silence counts too.
///
/// ```
/// use daisysill_core::voters::should_request_join;
/// assert!(should_request_join(false, 50) && !should_request_join(true, 50) && should_request_join(true, 5_000));
/// ```
pub fn should_request_join(is_learner: bool, leader_silent_ms: u64) -> bool {
    !is_learner || leader_silent_ms >= DEAD_AFTER_MS
}

/// Returns the next change, if one is due. `others` are the members beside the leader, `wanted` the number of
/// voters, the leader among them.
///
/// A member with another disk is removed first: it counts in the majority but cannot vote. A dead voter is
/// removed only once its replacement votes, so that the number of copies never falls.
///
/// ```
/// use daisysill_core::voters::{MembershipChange, Member, next_change};
/// let member = |name: &str, votes| Member {
///     name: name.into(), votes, silent_ms: 50, lost_disk: false, caught_up: true,
/// };
/// let others = [member("b", true), member("c", false)];
/// assert_eq!(next_change(&others, 3), Some(MembershipChange::Promote("c".into())));
/// ```
pub fn next_change(others: &[Member], wanted: usize) -> Option<MembershipChange> {
    let voters = 1 + others.iter().filter(|member| member.votes).count();
    let live_voters =
        1 + others.iter().filter(|m| m.votes && m.silent_ms < DEAD_AFTER_MS && !m.disk_mismatch).count();
    let empty = others.iter().find(|member| member.votes && member.disk_mismatch);
    // The majority of the smaller set must be there.
    if let Some(member) = empty.filter(|_| live_voters > (voters - 1) / 2) {
        return Some(MembershipChange::Remove(member.name.clone()));
    }
    let dead = others.iter().find(|member| member.votes && member.silent_ms >= DEAD_AFTER_MS);
    let ready = others.iter().find(|m| !m.votes && m.caught_up && m.silent_ms < DEAD_AFTER_MS);
    if let Some(member) = ready.filter(|_| voters < wanted || (voters == wanted && dead.is_some())) {
        return Some(MembershipChange::Promote(member.name.clone()));
    }
    if let Some(member) = dead.filter(|_| voters > wanted) {
        return Some(MembershipChange::Remove(member.name.clone()));
    }
    let forgotten = others.iter().find(|member| !member.votes && member.silent_ms >= FORGOTTEN_AFTER_MS);
    forgotten.map(|member| MembershipChange::Remove(member.name.clone()))
}
