//! Decides on membership changes that keep the target number of voters without an operator.

use crate::ids::InstanceId;

/// Time without an answer after which a member counts as dead; a dead voter is replaced if a learner is ready.
const DEAD_AFTER_MS: u64 = 2_000;
/// Time without an answer after which a learner is removed.
const LEARNER_TIMEOUT_MS: u64 = 10_000;

/// What the leader knows of another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node's name.
    pub name: InstanceId,
    /// Whether it votes; otherwise it is a learner.
    pub votes: bool,
    /// Time since it last answered.
    pub silent_ms: u64,
    /// Whether its disk is not the one it joined with.
    pub disk_mismatch: bool,
    /// Whether it holds every committed entry.
    pub caught_up: bool,
}

/// The next change of the voter set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A learner becomes a voter.
    Promote(InstanceId),
    /// A member is removed; if it is running, it requests to join again.
    Remove(InstanceId),
}

/// A node's place in the cluster according to its own log, which may lack the entry that removed the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// It votes.
    Voter,
    /// It receives the log without a vote.
    Learner,
    /// It is no member, or may not vote with its present disk.
    Outside,
}

/// Returns whether a node with a disk should request to join. Its removal may never have reached it, so a member also
/// does so if no leader sends to it. The request of a present member changes nothing.
///
/// ```
/// use daisysill_core::voters::{Membership, should_request_join};
/// assert!(should_request_join(Membership::Outside, 50) && !should_request_join(Membership::Learner, 50));
/// assert!(should_request_join(Membership::Voter, 5_000));
/// ```
pub fn should_request_join(own: Membership, leader_silent_ms: u64) -> bool {
    match own {
        Membership::Outside => true,
        Membership::Voter | Membership::Learner => leader_silent_ms >= DEAD_AFTER_MS,
    }
}

/// Returns the next change, if one is due. `others` are the members without the leader; `target` is the number of
/// voters with it.
///
/// No change lowers the number of voters that may still fail before there is no majority. A voter whose disk refuses
/// writes is silent and counts as dead until it is back.
///
/// A voter with another disk is removed first: it counts in the majority but cannot vote. A dead voter is removed
/// only once its replacement votes, so that the number of copies never falls.
///
/// ```
/// use daisysill_core::voters::{MembershipChange, Member, next_change};
/// let member = |name: &str, votes| Member {
///     name: name.into(), votes, silent_ms: 50, disk_mismatch: false, caught_up: true,
/// };
/// let others = [member("b", true), member("c", false)];
/// assert_eq!(next_change(&others, 3), Some(MembershipChange::Promote("c".into())));
/// ```
pub fn next_change(others: &[Member], target: usize) -> Option<MembershipChange> {
    let voters = 1 + others.iter().filter(|member| member.votes).count();
    let live_voters =
        1 + others.iter().filter(|m| m.votes && m.silent_ms < DEAD_AFTER_MS && !m.disk_mismatch).count();
    let mismatched = others.iter().find(|member| member.votes && member.disk_mismatch);
    // A majority of the smaller set must be alive.
    if let Some(member) = mismatched.filter(|_| live_voters > (voters - 1) / 2) {
        return Some(MembershipChange::Remove(member.name.clone()));
    }
    let dead = others.iter().find(|member| member.votes && member.silent_ms >= DEAD_AFTER_MS);
    let ready = others.iter().find(|m| !m.votes && m.caught_up && m.silent_ms < DEAD_AFTER_MS);
    if let Some(member) = ready.filter(|_| voters < target || (voters == target && dead.is_some())) {
        return Some(MembershipChange::Promote(member.name.clone()));
    }
    if let Some(member) = dead.filter(|_| voters > target) {
        return Some(MembershipChange::Remove(member.name.clone()));
    }
    let silent = others.iter().find(|member| !member.votes && member.silent_ms >= LEARNER_TIMEOUT_MS);
    silent.map(|member| MembershipChange::Remove(member.name.clone()))
}
