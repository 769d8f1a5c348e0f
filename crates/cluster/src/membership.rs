//! Automatic membership: a node with a disk asks to be admitted, and the leader keeps the voters complete.

use std::time::Duration;

use daisysill_control::{ReplicaStatus, Role, VoterChange};
use daisysill_core::{
    ids::InstanceId,
    voters::{Member, MembershipChange, next_change, should_request_join},
};
use tokio::{sync::watch, time::sleep};

use crate::{
    driver::ReplicaView,
    propose::{Proposal, Proposer},
};

/// Time between two looks at the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs until it is aborted. `wanted` is the number of voters.
pub(crate) async fn run(proposer: Proposer, replica: watch::Receiver<ReplicaView>, wanted: usize) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let status = replica.borrow().status.clone();
        let Some(status) = status else { continue };
        let change = match status.role {
            Role::Leader => leader_change(&status, wanted),
            Role::Learner => admission(&status, &proposer.name),
            Role::Follower | Role::Candidate | Role::Halted => None,
        };
        let Some(change) = change else { continue };
        let outcome = proposer.propose(Proposal::Voters(change.clone())).await;
        log::info!("change of the voters {change:?}: {outcome:?}");
    }
}

fn leader_change(status: &ReplicaStatus, wanted: usize) -> Option<VoterChange> {
    let member = |peer: &daisysill_control::PeerStatus| Member {
        name: peer.name.clone(),
        votes: status.voters.voters.contains_key(&peer.name),
        silent_ms: peer.silent_ms,
        disk_mismatch: peer.disk_mismatch,
        caught_up: peer.caught_up,
    };
    let others: Vec<Member> = status.peers.iter().map(member).collect();
    Some(match next_change(&others, wanted)? {
        MembershipChange::Promote(name) => VoterChange::Promote(name),
        MembershipChange::Remove(name) => VoterChange::Remove(name),
    })
}

/// A node that may not vote asks to become a learner. Before the first cluster has formed nobody can admit it.
fn admission(status: &ReplicaStatus, name: &InstanceId) -> Option<VoterChange> {
    let asks = should_request_join(status.voters.learners.contains(name), status.leader_silent_ms);
    asks.then(|| VoterChange::AddLearner(name.clone()))
}
