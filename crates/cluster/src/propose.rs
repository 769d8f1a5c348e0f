//! Brings commands to the leader, here or on another node.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_control::{
    VoterChange,
    command::{Command, Reply},
};
use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::{ForwardError, PeerClient};
use futures::FutureExt;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, timeout},
};

use crate::{
    driver::{DriverInput, ReplicaView},
    link::{CallError, Links},
    status::ProposeError,
};

/// Time to find a leader; afterwards the command is reported as not committed.
const FIND_LEADER_LIMIT: Duration = Duration::from_secs(1);
/// Time for the answer to a command that was sent; afterwards its outcome is uncertain.
const ANSWER_LIMIT: Duration = Duration::from_millis(2_500);
/// Time for the answer to one attempt at a command that may be sent again: an election takes about as long.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(1);
/// Delay before the next attempt while no leader is known.
const RETRY_MS: u64 = 40;

/// The leader as last heard of; a hint.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderHint(Arc<Mutex<Option<InstanceId>>>);

impl LeaderHint {
    /// Returns the leader as last heard of.
    pub(crate) fn get(&self) -> Option<InstanceId> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the hint.
    pub(crate) fn set(&self, leader: Option<InstanceId>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }
}

/// What is brought to the leader.
#[derive(Clone, Debug)]
pub(crate) enum Proposal {
    /// A command.
    Command(Command),
    /// A change of the voters.
    Voters(VoterChange),
}

/// How one attempt ended.
enum Attempt {
    Answered(Reply),
    /// Certainly not appended.
    NotAppended,
    /// Sent, without a clear answer.
    Uncertain,
}

/// Proposes commands.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    /// This node.
    pub(crate) name: InstanceId,
    /// The driver of this node's replica, if it has one.
    pub(crate) driver: Option<mpsc::Sender<DriverInput>>,
    /// This node's replica.
    pub(crate) replica: watch::Receiver<ReplicaView>,
    /// Links to the others.
    pub(crate) links: Links,
    /// Where the leader was last heard of.
    pub(crate) leader: LeaderHint,
    /// Nodes to ask while no leader is known.
    pub(crate) first_voters: Vec<InstanceId>,
}

impl Proposer {
    /// Commits a proposal; returns within the two limits together.
    pub(crate) async fn propose(&self, proposal: Proposal) -> Result<Reply, ProposeError> {
        let find_limit = Instant::now() + FIND_LEADER_LIMIT;
        let answer_limit = Instant::now() + FIND_LEADER_LIMIT + ANSWER_LIMIT;
        let mut uncertain = false;
        for turn in 0.. {
            let limit = if uncertain { answer_limit } else { find_limit };
            if Instant::now() >= limit {
                break;
            }
            match self.attempt(turn, &proposal, answer_limit).await {
                Attempt::Answered(reply) => return Ok(reply),
                Attempt::NotAppended => {}
                Attempt::Uncertain if !may_be_resent(&proposal) => return Err(ProposeError::Uncertain),
                // A command that was sent once stays uncertain, whatever later attempts say.
                Attempt::Uncertain => uncertain = true,
            }
            sleep(Duration::from_millis(rand::random_range(RETRY_MS / 2..=RETRY_MS))).await;
        }
        Err(if uncertain { ProposeError::Uncertain } else { ProposeError::NotCommitted })
    }

    async fn attempt(&self, turn: usize, proposal: &Proposal, limit: Instant) -> Attempt {
        let Some(target) = self.target(turn) else { return Attempt::NotAppended };
        let result = if target == self.name {
            self.locally(proposal.clone(), limit).await
        } else {
            self.forward(&target, proposal.clone(), limit).await
        };
        match result {
            Ok(Ok(reply)) => {
                self.leader.set(Some(target));
                Attempt::Answered(reply)
            }
            Ok(Err(ForwardError::NotLeader(hint))) => {
                // A node that names itself or this one again is about to learn better.
                self.leader.set(hint.filter(|hint| *hint != target));
                Attempt::NotAppended
            }
            Ok(Err(ForwardError::NotAppended)) | Err(CallError::NotSent) => {
                self.leader.set(None);
                Attempt::NotAppended
            }
            Ok(Err(ForwardError::Uncertain)) | Err(CallError::Uncertain) => {
                self.leader.set(None);
                Attempt::Uncertain
            }
        }
    }

    /// The leader as this node's replica knows it, then as last heard of, then each voter in turn.
    fn target(&self, turn: usize) -> Option<InstanceId> {
        let (known, mut voters) = {
            let view = self.replica.borrow();
            let status = view.status.as_ref();
            let voters: Vec<InstanceId> =
                status.map(|status| status.voters.voters.keys().cloned().collect()).unwrap_or_default();
            (status.and_then(|status| status.leader.clone()), voters)
        };
        if let Some(leader) = known.or_else(|| self.leader.get()) {
            return Some(leader);
        }
        if voters.is_empty() {
            voters.clone_from(&self.first_voters);
        }
        voters.retain(|name| *name != self.name || self.driver.is_some());
        let first = crate::gossip::spread(&self.name, voters.len());
        voters.get((first + turn) % voters.len().max(1)).cloned()
    }

    /// Proposes to this node's replica.
    pub(crate) async fn locally(
        &self,
        proposal: Proposal,
        limit: Instant,
    ) -> Result<Result<Reply, ForwardError>, CallError> {
        let Some(driver) = &self.driver else { return Ok(Err(ForwardError::NotLeader(self.leader.get()))) };
        let (answer, result) = oneshot::channel();
        let input = match proposal {
            Proposal::Command(command) => DriverInput::Propose { command, answer },
            Proposal::Voters(change) => DriverInput::ChangeVoters { change, answer },
        };
        if driver.try_send(input).is_err() {
            return Err(CallError::NotSent);
        }
        match timeout(limit.saturating_duration_since(Instant::now()), result).await {
            Ok(Ok(result)) => Ok(result),
            Ok(Err(_)) | Err(_) => Err(CallError::Uncertain),
        }
    }

    async fn forward(
        &self,
        target: &InstanceId,
        proposal: Proposal,
        limit: Instant,
    ) -> Result<Result<Reply, ForwardError>, CallError> {
        let Some(link) = self.links.get(target) else { return Err(CallError::NotSent) };
        let most = if may_be_resent(&proposal) { ATTEMPT_LIMIT } else { ANSWER_LIMIT };
        let limit = limit.saturating_duration_since(Instant::now()).min(most);
        let call = move |client: PeerClient, context| {
            async move {
                match proposal {
                    Proposal::Command(command) => client.propose(context, command).await,
                    Proposal::Voters(change) => client.change_voters(context, change).await,
                }
            }
            .boxed()
        };
        link.call(limit, call).await
    }
}

/// Returns whether a proposal that may have been committed can be sent again.
#[allow(clippy::match_same_arms)] // One reason an arm.
const fn may_be_resent(proposal: &Proposal) -> bool {
    let Proposal::Command(command) = proposal else {
        // A late copy of a removal could undo an addition that came after it.
        return false;
    };
    match command {
        // Has no effect.
        Command::Noop => true,
        // The state remembers change ids: the second copy gets the reply of the first.
        Command::PublishRules(_) | Command::SetDrain(_) | Command::SetWeights(_) => true,
        // A second copy renews the lease of the same holder under the same number.
        Command::AcquireLease(_) => true,
        // The claim belongs to one attempt: a second copy of that attempt's claim is granted again, and the
        // first outcome that the attempt reports stands.
        Command::Claim(_) | Command::FinishClaim(_) => true,
        // Versions only grow: a late copy changes nothing.
        Command::PublishDocument(_) | Command::SetTargetVersion(_) => true,
        // Crashes are a set of upstream and incarnation.
        Command::ReportCrash(_) => true,
        // A run is known by its attempt; the end of a run that is not known changes nothing.
        Command::StartSuspectRun(_) | Command::EndSuspectRun(_) => true,
    }
}
