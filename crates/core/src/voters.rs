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
    /// Whether its node is to stop.
    pub presence: Presence,
}

/// Whether the node of a member is to stop as planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It stays.
    Stays,
    /// It stays only until its vote is handed over.
    Leaves,
}

impl Presence {
    /// Returns the presence of a member that is to stop if `leaves`.
    ///
    /// ```
    /// use daisysill_core::voters::Presence;
    /// assert_eq!(Presence::of(true), Presence::Leaves);
    /// ```
    pub const fn of(leaves: bool) -> Self {
        if leaves { Self::Leaves } else { Self::Stays }
    }
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

/// Returns whether a member that did not answer for `silent_ms` counts as dead.
///
/// ```
/// use daisysill_core::voters::is_silent;
/// assert!(is_silent(2_000) && !is_silent(1_999));
/// ```
pub const fn is_silent(silent_ms: u64) -> bool {
    silent_ms >= DEAD_AFTER_MS
}

/// Returns the next change, if one is due. `others` are the members without the leader; `target` is the number of
/// voters with it.
///
/// No change lowers the number of voters that may still fail before there is no majority. A voter whose disk refuses
/// writes is silent and counts as dead until it is back.
///
/// A voter with another disk is removed first: it counts in the majority but cannot vote. A dead voter, or one that is to stop, is
/// removed only once its replacement votes, so that the number of copies never falls. The leader removes itself last.
///
/// ```
/// use daisysill_core::voters::{Member, MembershipChange, Presence, next_change};
/// let member = |name: &str, votes| Member {
///     name: name.into(), votes, silent_ms: 50, disk_mismatch: false, caught_up: true, presence: Presence::Stays,
/// };
/// let others = [member("b", true), member("c", false)];
/// assert_eq!(next_change(&member("a", true), &others, 3), Some(MembershipChange::Promote("c".into())));
/// ```
pub fn next_change(leader: &Member, others: &[Member], target: usize) -> Option<MembershipChange> {
    let all = || others.iter().chain([leader]);
    let voters = all().filter(|member| member.votes).count();
    let live_voters = all().filter(|m| m.votes && !is_silent(m.silent_ms) && !m.disk_mismatch).count();
    let mismatched = others.iter().find(|member| member.votes && member.disk_mismatch);
    // A majority of the smaller set must be alive.
    if let Some(member) = mismatched.filter(|_| live_voters > (voters - 1) / 2) {
        return Some(MembershipChange::Remove(member.name.clone()));
    }
    let dead = others.iter().find(|member| member.votes && is_silent(member.silent_ms));
    let leaving = all().find(|member| member.votes && member.presence == Presence::Leaves);
    let replaced = dead.or(leaving);
    let may_vote = |m: &Member| m.caught_up && !is_silent(m.silent_ms) && m.presence == Presence::Stays;
    let ready = others.iter().find(|member| !member.votes && may_vote(member));
    if let Some(member) = ready.filter(|_| voters < target || (voters == target && replaced.is_some())) {
        return Some(MembershipChange::Promote(member.name.clone()));
    }
    // One that is to stop still votes: its removal must lower the majority too, as it does from an even number.
    let removed = dead.or(leaving.filter(|_| voters.is_multiple_of(2)));
    if let Some(member) = removed.filter(|_| voters > target) {
        return Some(MembershipChange::Remove(member.name.clone()));
    }
    let silent = others.iter().find(|member| !member.votes && member.silent_ms >= LEARNER_TIMEOUT_MS);
    silent.map(|member| MembershipChange::Remove(member.name.clone()))
}
