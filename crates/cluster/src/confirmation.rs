//! When the configuration of a replica was last known to be the newest that a majority agreed on.

use std::time::Duration;

use daisysill_control::{ReplicaStatus, Role};

use crate::clock::BootInstant;

/// The last step of a replica: its time on the replica's clock and on the node's.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaStep {
    /// On the replica's clock.
    pub now_ms: u64,
    /// On the node's clock, read for this step.
    pub at: BootInstant,
}

/// Returns when the configuration of a replica was known to be the newest, by its status after a step; `None` if that does not
/// show it. The process may have been suspended since the step, so no later time counts.
///
/// A leader knows it while it holds its lease. With `trusts_leader_contact`, a follower that has applied all that it knows to be
/// committed knows it as of its last contact with the leader.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// use daisysill_cluster::{BootInstant, ReplicaStep, confirmed_at};
/// use daisysill_control::{Recovered, Replica, ReplicaConfig};
/// let replica = Replica::new(ReplicaConfig::new("a".into()), Recovered::default(), 0, 1);
/// let step = ReplicaStep { now_ms: 0, at: BootInstant::now() };
/// assert_eq!(confirmed_at(&replica.status(), step, true), None);
/// # });
/// ```
pub fn confirmed_at(
    status: &ReplicaStatus,
    step: ReplicaStep,
    trusts_leader_contact: bool,
) -> Option<BootInstant> {
    match status.role {
        Role::Leader => status.leader_until_ms.filter(|until_ms| step.now_ms < *until_ms).map(|_| step.at),
        Role::Follower => {
            let applied = status.applied_index == status.commit_index;
            let is_known = trusts_leader_contact && status.leader.is_some() && applied;
            let silent = Duration::from_millis(status.leader_silent_ms);
            is_known.then(|| step.at.checked_sub(silent)).flatten()
        }
        Role::Candidate | Role::Learner | Role::Halted => None,
    }
}
