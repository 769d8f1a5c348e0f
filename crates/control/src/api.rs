//! The inputs, outputs and status of a replica.

use std::{fmt, sync::Arc};

use daisysill_core::{ids::InstanceId, value_types};

use crate::{
    command::{Command, Reply},
    entry::{VoterSet, WriteBatch},
    state::ConfigView,
};

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// This instance.
    pub name: InstanceId,
    /// Time between heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Shortest election timeout; the longest is twice as long.
    pub election_timeout_ms: u64,
    /// Bytes of entries in the log above which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Entries kept before a snapshot, so that a follower slightly behind needs no snapshot.
    pub retained_entries: u64,
    /// Largest payload of one message.
    pub message_bytes: usize,
    /// The operator states that the folder is the newest copy, so the voter asks no peers when it starts.
    pub trust_disk: bool,
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
        }
    }
}

/// What a replica is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message of a peer arrived.
    Receive {
        /// The peer.
        from: InstanceId,
        /// The message as encoded by this package.
        message: Vec<u8>,
    },
    /// A command is to be committed.
    Propose {
        /// Names the proposal in the reply.
        proposal_id: u64,
        /// The command.
        command: Command,
    },
    /// The voter set is to be changed.
    ChangeVoters {
        /// Names the proposal in the reply.
        proposal_id: u64,
        /// The change.
        change: VoterChange,
    },
    /// Forms a new cluster of these voters; ignored unless the folder is empty.
    Bootstrap {
        /// The initial voters.
        voters: Vec<InstanceId>,
    },
    /// A write batch is synced.
    Written {
        /// Its number.
        write: u64,
    },
    /// A write batch failed; the replica halts.
    WriteFailed {
        /// Its number.
        write: u64,
    },
}

/// What a replica asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// A message for a peer; it may be lost, duplicated or reordered.
    Send {
        /// The peer.
        to: InstanceId,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// A batch to write and sync. The next one is issued only after this one is reported.
    Write(WriteBatch),
    /// The answer to a proposal.
    Reply {
        /// The proposal.
        proposal_id: u64,
        /// The reply of the agreed state, or why there is none.
        result: Result<Reply, ProposalFailure>,
    },
    /// The configuration that nodes follow has changed.
    ConfigChanged(Arc<ConfigView>),
}

value_types! {
    /// Why a proposal has no reply.
    pub enum ProposalFailure {
        /// This replica does not lead; perhaps the named one does.
        NotLeader(Option<InstanceId>),
        /// Nothing was appended to the log.
        NotAppended,
        /// It was appended; whether it commits is unknown.
        Uncertain,
    }

    /// A change of the voter set.
    pub enum VoterChange {
        /// Starts to send the log to an instance that does not vote.
        AddLearner(InstanceId),
        /// Makes a learner that holds the log a voter, with the disk that it reports.
        Promote(InstanceId),
        /// Removes a learner or a voter.
        Remove(InstanceId),
    }

    /// Why a leader refuses a change of the voter set.
    pub enum VoterRefusal {
        /// Another change, or the first entry of the leader's term, is not committed yet.
        ChangeInProgress,
        /// Only a learner can be promoted.
        NotALearner,
        /// The learner lacks committed entries, or has not reported its disk.
        NotCaughtUp,
        /// A cluster needs a voter.
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

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Replicates commands to the others.
    Leader,
    /// A voter that follows.
    Follower,
    /// A voter that seeks votes.
    Candidate,
    /// Receives the log but does not vote: not admitted, another disk, or not yet checked with its peers.
    Learner,
    /// Stopped after a failed write.
    Halted,
}

/// What a leader knows of another member of the voter set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The member.
    pub name: InstanceId,
    /// Time since the sending of the newest message that it has answered.
    pub silent_ms: u64,
    /// Whether it reports another disk than the one that it was admitted with.
    pub disk_mismatch: bool,
    /// Whether it holds everything committed, synced.
    pub caught_up: bool,
}

/// The state of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader of the term, if known.
    pub leader: Option<InstanceId>,
    /// Until when this replica can prove that it leads, on its own clock. Present only on a leader that has
    /// applied every entry of earlier terms; reads of its state before that time are current.
    pub leader_until_ms: Option<u64>,
    /// Index of the last log entry.
    pub last_index: u64,
    /// Index of the last synced log entry.
    pub synced_index: u64,
    /// Index of the last committed entry known.
    pub commit_index: u64,
    /// Index of the last applied entry.
    pub applied_index: u64,
    /// The voters and learners of the newest entry that sets them.
    pub voters: VoterSet,
    /// Time since a leader was heard.
    pub leader_silent_ms: u64,
    /// What a leader knows of the other members; empty on other replicas.
    pub peers: Vec<PeerStatus>,
    /// Whether the disk was found to be older than what the voter has acknowledged.
    pub disk_outdated: bool,
    /// Whether the voter has started and waits for its peers to confirm its disk; until then it does not vote.
    pub waits_for_peers: bool,
}
