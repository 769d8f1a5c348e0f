//! Proposes commands to the leader, on this node or another.

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
    config::ClusterConfig,
    driver_input::{DriverInput, ReplicaView},
    link::{CallError, Links},
    status::ProposeError,
};

/// Timeout for finding a leader; afterwards the command is reported as not committed.
const FIND_LEADER_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the result of a command that was sent; afterwards its outcome is uncertain.
const RESULT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for one attempt at a command that may be sent again; about the duration of an election.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum delay before the next attempt.
const RETRY_DELAY_MS: u64 = 40;

/// The leader as last reported; may be outdated. Clones share their value.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderHint(Arc<Mutex<Option<InstanceId>>>);

impl LeaderHint {
    /// Returns the leader as last reported; `None` if unknown.
    pub(crate) fn get(&self) -> Option<InstanceId> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the leader; `None` after a failure.
    pub(crate) fn set(&self, leader: Option<InstanceId>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }
}

/// A proposal to the leader.
#[derive(Clone, Debug)]
pub(crate) enum Proposal {
    Command(Command),
    Voters(VoterChange),
}

/// How one attempt ended.
enum Attempt {
    Replied(Reply),
    /// Not appended to the log.
    NotAppended,
    /// Sent, but the outcome is unknown.
    Uncertain,
}

/// Proposes commands and voter changes.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    /// Name of this node.
    pub(crate) name: InstanceId,
    /// The driver of this node's replica, if it has one.
    pub(crate) driver: Option<mpsc::Sender<DriverInput>>,
    pub(crate) replica: watch::Receiver<ReplicaView>,
    pub(crate) links: Links,
    pub(crate) leader: LeaderHint,
    /// Voters of the settings, tried while no voters and no leader are known.
    pub(crate) bootstrap_voters: Vec<InstanceId>,
}

impl Proposer {
    /// Creates the proposer of a node; `driver` is that of its replica, if it has one.
    pub(crate) fn new(
        config: &ClusterConfig,
        driver: Option<mpsc::Sender<DriverInput>>,
        links: &Links,
        leader: &LeaderHint,
        replica: &watch::Receiver<ReplicaView>,
    ) -> Self {
        Self {
            name: config.name.clone(),
            driver,
            replica: replica.clone(),
            links: links.clone(),
            leader: leader.clone(),
            bootstrap_voters: config.bootstrap_voters.clone(),
        }
    }

    /// Commits a proposal; returns within `FIND_LEADER_TIMEOUT` and `RESULT_TIMEOUT` together.
    pub(crate) async fn propose(&self, proposal: Proposal) -> Result<Reply, ProposeError> {
        let find_deadline = Instant::now() + FIND_LEADER_TIMEOUT;
        let result_deadline = Instant::now() + FIND_LEADER_TIMEOUT + RESULT_TIMEOUT;
        let mut uncertain = false;
        for attempt_number in 0.. {
            let deadline = if uncertain { result_deadline } else { find_deadline };
            if Instant::now() >= deadline {
                break;
            }
            match self.attempt(attempt_number, &proposal, result_deadline).await {
                Attempt::Replied(reply) => return Ok(reply),
                Attempt::NotAppended => {}
                Attempt::Uncertain if !may_be_resent(&proposal) => return Err(ProposeError::Uncertain),
                // Once sent, the outcome stays uncertain whatever a later attempt reports, short of a reply.
                Attempt::Uncertain => uncertain = true,
            }
            sleep(Duration::from_millis(rand::random_range(RETRY_DELAY_MS / 2..=RETRY_DELAY_MS))).await;
        }
        Err(if uncertain { ProposeError::Uncertain } else { ProposeError::NotCommitted })
    }

    async fn attempt(&self, attempt_number: usize, proposal: &Proposal, deadline: Instant) -> Attempt {
        let Some(target) = self.target(attempt_number) else { return Attempt::NotAppended };
        let result = if target == self.name {
            self.propose_local(proposal.clone(), deadline).await
        } else {
            self.forward(&target, proposal.clone(), deadline).await
        };
        match result {
            Ok(Ok(reply)) => {
                self.leader.set(Some(target));
                Attempt::Replied(reply)
            }
            Ok(Err(ForwardError::NotLeader(hint))) => {
                // A node that names itself as leader without being one has outdated state.
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

    /// Returns the node to propose to: the leader as known to this node's replica, or as last reported, or else each
    /// voter in turn.
    fn target(&self, attempt_number: usize) -> Option<InstanceId> {
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
            voters.clone_from(&self.bootstrap_voters);
        }
        voters.retain(|name| *name != self.name || self.driver.is_some());
        let first = crate::gossip::hash_index(&self.name, voters.len());
        voters.get((first + attempt_number) % voters.len().max(1)).cloned()
    }

    /// Proposes to this node's replica and waits for the result until `deadline`.
    pub(crate) async fn propose_local(
        &self,
        proposal: Proposal,
        deadline: Instant,
    ) -> Result<Result<Reply, ForwardError>, CallError> {
        let Some(driver) = &self.driver else { return Ok(Err(ForwardError::NotLeader(self.leader.get()))) };
        let (respond_to, result) = oneshot::channel();
        let input = match proposal {
            Proposal::Command(command) => DriverInput::Propose { command, respond_to },
            Proposal::Voters(change) => DriverInput::ChangeVoters { change, respond_to },
        };
        if driver.try_send(input).is_err() {
            return Err(CallError::NotSent);
        }
        match timeout(deadline.saturating_duration_since(Instant::now()), result).await {
            Ok(Ok(result)) => Ok(result),
            Ok(Err(_)) | Err(_) => Err(CallError::Uncertain),
        }
    }

    async fn forward(
        &self,
        target: &InstanceId,
        proposal: Proposal,
        deadline: Instant,
    ) -> Result<Result<Reply, ForwardError>, CallError> {
        let Some(link) = self.links.get(target) else { return Err(CallError::NotSent) };
        let max_timeout = if may_be_resent(&proposal) { ATTEMPT_TIMEOUT } else { RESULT_TIMEOUT };
        let timeout = deadline.saturating_duration_since(Instant::now()).min(max_timeout);
        let call = move |client: PeerClient, context| {
            async move {
                match proposal {
                    Proposal::Command(command) => client.propose(context, command).await,
                    Proposal::Voters(change) => client.change_voters(context, change).await,
                }
            }
            .boxed()
        };
        link.call(timeout, call).await
    }
}

/// Returns whether a proposal that may have been committed can safely be sent again.
#[allow(clippy::match_same_arms)] // Each arm has its own reason.
const fn may_be_resent(proposal: &Proposal) -> bool {
    let Proposal::Command(command) = proposal else {
        // A delayed copy of a removal could undo a later addition.
        return false;
    };
    match command {
        // Has no effect.
        Command::Noop => true,
        // The state records change ids: a second copy gets the reply of the first.
        Command::PublishRules(_) | Command::SetDrain(_) | Command::SetWeights(_) => true,
        // A second copy renews the lease of the same holder under the same fencing number.
        Command::AcquireLease(_) => true,
        // The claim belongs to one attempt: a second copy of that attempt's claim is granted again, and the
        // first outcome that the attempt reports stands.
        Command::Claim(_) | Command::FinishClaim(_) => true,
        // Versions only increase: a delayed copy changes nothing.
        Command::PublishDocument(_) | Command::SetTargetVersion(_) => true,
        // Crashes are recorded as a set of upstream and incarnation.
        Command::ReportCrash(_) => true,
        // A run is identified by its attempt; the end of an unknown run changes nothing.
        Command::StartSuspectRun(_) | Command::EndSuspectRun(_) => true,
        // Times are relative to the report: a copy applied later could count as another crash.
        Command::ReportPromptRun(report) => report.crash.is_none(),
    }
}
