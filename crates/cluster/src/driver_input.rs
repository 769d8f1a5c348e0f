//! What the driver of a replica receives, and the replica as the rest of the node sees it.

use daisysill_control::{
    ReplicaStatus, Role, VoterChange,
    command::{Command, Reply},
};
use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::ForwardError;
use tokio::{sync::oneshot, time::Instant};

/// The result of a proposal.
pub(crate) type ProposalResult = Result<Reply, ForwardError>;

/// An input of the driver.
#[derive(Debug)]
pub(crate) enum DriverInput {
    /// Protocol messages of another replica arrived.
    Receive {
        /// The authenticated sender.
        from: InstanceId,
        messages: Vec<Vec<u8>>,
    },
    /// Commits a command.
    Propose {
        command: Command,
        /// Receives the result; dropped without one if the outcome is uncertain.
        respond_to: oneshot::Sender<ProposalResult>,
    },
    /// Changes the voters.
    ChangeVoters {
        change: VoterChange,
        /// Receives the result, as for a command.
        respond_to: oneshot::Sender<ProposalResult>,
    },
    /// A leader announces that it has stopped.
    LeaderStopped {
        /// The authenticated sender; the input is ignored unless it is the leader.
        from: InstanceId,
        /// The term that it led; an input for another term is ignored.
        term: u64,
        /// Whether this voter starts an election at once.
        campaign: bool,
    },
    /// Stops the replica once its vote is handed over, if that is possible, and its proposals have results.
    Leave {
        /// Notified when the replica has stopped.
        stopped: oneshot::Sender<()>,
        /// End of the time for the handover; `None` if the voters are not maintained automatically.
        hand_over_until: Option<Instant>,
    },
}

/// The replica as seen by the rest of the node.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaView {
    /// The status; `None` on a node without a replica and after the replica has stopped.
    pub(crate) status: Option<ReplicaStatus>,
}

impl ReplicaView {
    /// Returns whether the replica leads, or is a voter that knows a leader; then it confirms the configuration. A learner
    /// does not: it may still lack most of the log.
    pub(crate) fn has_leader(&self) -> bool {
        self.status
            .as_ref()
            .is_some_and(|s| s.leader.is_some() && matches!(s.role, Role::Leader | Role::Follower))
    }
}

/// A planned stop of the replica.
#[derive(Debug)]
pub(crate) struct Leaving {
    /// Notified when the replica has stopped.
    pub(crate) stopped: oneshot::Sender<()>,
    pub(crate) phase: LeavingPhase,
}

/// How far a planned stop is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LeavingPhase {
    /// The replica continues until its vote is handed over, at the latest until this time.
    HandingOver(Instant),
    /// No further proposals are accepted; those in progress have until this time.
    Settling(Instant),
}

impl LeavingPhase {
    /// Returns the time at which the phase ends at the latest.
    pub(crate) fn end(self) -> Instant {
        match self {
            Self::HandingOver(end) | Self::Settling(end) => end,
        }
    }
}
