//! Settings, inputs, outputs and status of a replica.

use std::{fmt, sync::Arc};

use daisysill_core::{ids::InstanceId, value_types};

use crate::{
    command::{Command, Reply},
    entry::{VoterSet, WriteBatch},
    leaving::Handover,
    state::ConfigView,
};

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Name of this instance.
    pub name: InstanceId,
    /// Interval between a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// Minimum election timeout; each timeout is random between this and twice this value.
    pub election_timeout_ms: u64,
    /// Size of the entries in memory above which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Entries retained before a snapshot, so that a follower slightly behind needs no snapshot.
    pub retained_entries: u64,
    /// Maximum payload of a message; a single larger entry is sent whole.
    pub message_bytes: usize,
    /// Whether the operator confirms that the data folder is the newest copy; the voter then skips the start check.
    pub trust_disk: bool,
    /// Number of voters that the leader maintains without an operator; `None` if it does not.
    pub target_voters: Option<usize>,
}

impl ReplicaConfig {
    /// Returns the default settings of the replica `name`.
    ///
    /// ```
    /// let config = daisysill_control::api::ReplicaConfig::new("node-1".into());
    /// assert!(config.heartbeat_ms < config.election_timeout_ms);
    /// ```
    pub fn new(name: InstanceId) -> Self {
        Self {
            name,
            heartbeat_ms: 50,
            election_timeout_ms: 300,
            snapshot_bytes: 16 * 1024 * 1024,
            snapshot_entries: 10_000,
            retained_entries: 1_000,
            message_bytes: 256 * 1024,
            trust_disk: false,
            target_voters: None,
        }
    }
}

/// An event for [`Replica::step`](crate::Replica::step).
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; due timers fire.
    Tick,
    /// A message from a peer.
    Receive {
        /// The authenticated sender.
        from: InstanceId,
        /// The message of an [`Output::Send`]; one that cannot be decoded is dropped.
        message: Vec<u8>,
    },
    /// Proposes a command.
    Propose {
        /// Identifies the proposal in its reply.
        proposal_id: u64,
        /// The command to commit.
        command: Command,
    },
    /// Proposes a change of the voter set.
    ChangeVoters {
        /// Identifies the proposal in its reply.
        proposal_id: u64,
        /// The change to commit.
        change: VoterChange,
    },
    /// The node is to stop: its vote is handed over to a learner, if there is one. The replica continues until its node ends it;
    /// see [`Handover`].
    Leave,
    /// Forms a new cluster. Ignored unless the data folder is empty and this is the first voter by name.
    Bootstrap {
        /// The initial voters.
        voters: Vec<InstanceId>,
    },
    /// A write batch is synced.
    BatchSynced {
        /// The [`WriteBatch::id`].
        batch_id: u64,
    },
    /// A write batch failed; the replica halts.
    BatchFailed {
        /// The [`WriteBatch::id`].
        batch_id: u64,
    },
}

/// An action for the caller of [`Replica::step`](crate::Replica::step).
#[derive(Clone, Debug)]
pub enum Output {
    /// Sends a message to a peer; it may be lost, duplicated or reordered.
    Send {
        /// The recipient.
        to: InstanceId,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Writes and syncs a batch. No further batch is issued before this one is reported as written.
    Write(WriteBatch),
    /// The result of a proposal.
    Reply {
        /// Id given with the proposal.
        proposal_id: u64,
        /// The reply of the agreed state, or why there is none.
        result: Result<Reply, ProposalFailure>,
    },
    /// The applied configuration has changed.
    ConfigChanged(Arc<ConfigView>),
}

value_types! {
    /// Why a proposal has no reply.
    pub enum ProposalFailure {
        /// This replica does not lead; the leader that it knows, if any.
        NotLeader(Option<InstanceId>),
        /// Not appended to the log; it cannot take effect.
        NotAppended,
        /// Appended; whether it commits is unknown.
        Uncertain,
    }

    /// A change of the voter set.
    pub enum VoterChange {
        /// Replicates the log to an instance that does not vote.
        AddLearner(InstanceId),
        /// Makes a learner that has caught up a voter, with the disk that it reports.
        Promote(InstanceId),
        /// Removes a learner or a voter.
        Remove(InstanceId),
    }

    /// Why a leader refuses a change of the voter set.
    pub enum VoterRefusal {
        /// Another change, or the first entry of the leader's term, is not committed yet.
        ChangeInProgress,
        /// The instance to promote is not a learner.
        NotALearner,
        /// The learner lacks committed entries, or has not reported its disk.
        NotCaughtUp,
        /// The change would leave no voter.
        LastVoter,
    }
}

impl fmt::Display for VoterRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ChangeInProgress => "another change of the voters is not committed yet",
            Self::NotALearner => "it is not a learner; add it first",
            Self::NotCaughtUp => "it does not hold everything committed yet; ask again once it does",
            Self::LastVoter => "it is the last voter",
        })
    }
}

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Appends proposals and replicates the log.
    Leader,
    /// A voter that receives the log.
    Follower,
    /// A voter that requests votes or pre-votes.
    Candidate,
    /// Receives the log without a vote: not admitted, admitted with another disk, or in its start check.
    Learner,
    /// Stopped after a failed write.
    Halted,
}

/// A leader's view of another member of the voter set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Name of the member.
    pub name: InstanceId,
    /// Time since the leader sent the newest message that the member has replied to.
    pub silent_ms: u64,
    /// Whether a voter reports another disk than the one that it was admitted with.
    pub disk_mismatch: bool,
    /// Whether it has synced every committed entry.
    pub caught_up: bool,
    /// Whether it requested recently that its vote is handed over, since it is to stop.
    pub leaving: bool,
}

/// Status of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Role in the term.
    pub role: Role,
    /// Highest term seen.
    pub term: u64,
    /// Leader of the term, if known.
    pub leader: Option<InstanceId>,
    /// End of the leader lease on this replica's clock; reads of its state before that time are current. Present only
    /// on a leader that has applied every entry of earlier terms.
    pub leader_until_ms: Option<u64>,
    /// Index of the last log entry.
    pub last_index: u64,
    /// Index of the last synced log entry.
    pub synced_index: u64,
    /// Index of the last entry known to be committed.
    pub commit_index: u64,
    /// Index of the last applied entry.
    pub applied_index: u64,
    /// The last voter set in the log or snapshot, committed or not.
    pub voters: VoterSet,
    /// Time since the last message from a leader, or since the start.
    pub leader_silent_ms: u64,
    /// The other members; empty unless this replica leads.
    pub peers: Vec<PeerStatus>,
    /// Whether the start check found the disk older than what the voter has acknowledged, and it has not caught up.
    pub disk_outdated: bool,
    /// Whether the voter waits for its peers' replies in the start check; until then it does not vote.
    pub waits_for_peers: bool,
    /// How far the handover of its vote is, if it is to stop.
    pub handover: Handover,
}
