//! Automatic membership: a node with a disk requests to join, and the leader maintains the number of voters.

use std::time::Duration;

use daisysill_control::{ReplicaStatus, Role, VoterChange};
use daisysill_core::{
    ids::InstanceId,
    voters::{Member, Membership, MembershipChange, next_change, should_request_join},
};
use tokio::{sync::watch, time::sleep};

use crate::{
    driver::ReplicaView,
    propose::{Proposal, Proposer},
};

/// Interval of the membership checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs until the task is aborted; `target_voters` is the number of voters to maintain.
pub(crate) async fn run(proposer: Proposer, replica: watch::Receiver<ReplicaView>, target_voters: usize) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let status = replica.borrow().status.clone();
        let Some(status) = status else { continue };
        let change = match status.role {
            Role::Leader => leader_change(&status, target_voters),
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

fn leader_change(status: &ReplicaStatus, target_voters: usize) -> Option<VoterChange> {
    let member = |peer: &daisysill_control::PeerStatus| Member {
        name: peer.name.clone(),
        votes: status.voters.voters.contains_key(&peer.name),
        silent_ms: peer.silent_ms,
        disk_mismatch: peer.disk_mismatch,
        caught_up: peer.caught_up,
    };
    let others: Vec<Member> = status.peers.iter().map(member).collect();
    Some(match next_change(&others, target_voters)? {
        MembershipChange::Promote(name) => VoterChange::Promote(name),
        MembershipChange::Remove(name) => VoterChange::Remove(name),
    })
}

/// Returns the request of this node to become a learner, if it is due. Before the first cluster has formed, no leader can
/// accept it.
fn join_request(status: &ReplicaStatus, name: &InstanceId, own: Membership) -> Option<VoterChange> {
    let is_due = should_request_join(own, status.leader_silent_ms);
    is_due.then(|| VoterChange::AddLearner(name.clone()))
}
