//! Automatic membership: a node with a disk requests to join, and the leader maintains the number of voters.

use std::time::Duration;

use daisysill_control::{Handover, ReplicaStatus, Role, VoterChange};
use daisysill_core::{
    ids::InstanceId,
    voters::{Membership, should_request_join},
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    driver_input::ReplicaView,
    propose::{Proposal, Proposer},
};

/// Time between two membership checks, beside [`LEAVING_INTERVAL`].
const CHECK_INTERVAL: Duration = Duration::from_millis(230);
/// Time between two checks while a member that is to stop waits for its vote to be handed over.
const LEAVING_INTERVAL: Duration = Duration::from_millis(20);

/// Runs until the task is aborted; `target_voters` is the number of voters to maintain.
pub(crate) async fn run(proposer: Proposer, mut replica: watch::Receiver<ReplicaView>, target_voters: usize) {
    loop {
        sleep(LEAVING_INTERVAL).await;
        let has_leaving = |view: &ReplicaView| view.status.as_ref().is_some_and(ReplicaStatus::has_leaving);
        let _ = timeout(CHECK_INTERVAL, replica.wait_for(has_leaving)).await;
        let status = replica.borrow().status.clone();
        let Some(status) = status else { continue };
        let change = match status.role {
            Role::Leader => status.due_change(&proposer.name, target_voters),
            // A node that is to stop does not join again.
            _ if status.handover != Handover::NotRequested => None,
            Role::Learner if status.voters.learners.contains(&proposer.name) => {
                join_request(&status, &proposer.name, Membership::Learner)
            }
            Role::Learner => join_request(&status, &proposer.name, Membership::Outside),
            // While none leads, no request can be accepted.
            Role::Follower | Role::Candidate if proposer.leader.get().is_some() => {
                join_request(&status, &proposer.name, Membership::Voter)
            }
            Role::Follower | Role::Candidate | Role::Halted => None,
        };
        let Some(change) = change else { continue };
        let outcome = proposer.propose(Proposal::Voters(change.clone())).await;
        log::info!("voter change {change:?}: {outcome:?}");
    }
}

/// Returns the request of this node to become a learner, if it is due. Before the first cluster has formed, no leader can
/// accept it.
fn join_request(status: &ReplicaStatus, name: &InstanceId, own: Membership) -> Option<VoterChange> {
    let is_due = should_request_join(own, status.leader_silent_ms);
    is_due.then(|| VoterChange::AddLearner(name.clone()))
}
