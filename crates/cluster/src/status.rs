//! The state of the cluster as seen by one node.

use std::{fmt, time::Duration};

use daisysill_control::Role as ReplicaRole;
use daisysill_core::ids::{ConfigVersion, InstanceId, ZoneName};
use daisysill_wire::peer::SoftReport;
use tokio::time::Instant;

/// A configuration not confirmed by a voter for this time is reported as not current. Long enough for a poll by
/// a relay and then one by its follower.
pub(crate) const STALE_AFTER: Duration = Duration::from_secs(6);

/// Why a proposal has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// No leader was reached in time; the proposal was not appended to the log and will not take effect.
    NotCommitted,
    /// The proposal was sent, but its outcome is unknown; it may still take effect.
    Uncertain,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotCommitted => "no majority of voters is in reach; the command was not committed",
            Self::Uncertain => "the connection to the leader was lost; the command may have been committed",
        })
    }
}

impl std::error::Error for ProposeError {}

/// The role of a node in the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Replicates commands to the other voters.
    Leader,
    /// A voter that follows the leader.
    Follower,
    /// A voter that is a candidate in an election.
    Candidate,
    /// Receives the log but does not vote.
    Learner,
    /// Has no replica and follows the configuration only.
    Observer,
    /// Stopped taking part after a storage fault.
    Halted,
}

impl Role {
    /// Returns the name used in status reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Leader => "leader",
            Self::Follower => "follower",
            Self::Candidate => "candidate",
            Self::Learner => "learner",
            Self::Observer => "observer",
            Self::Halted => "halted",
        }
    }
}

impl From<ReplicaRole> for Role {
    fn from(role: ReplicaRole) -> Self {
        match role {
            ReplicaRole::Leader => Self::Leader,
            ReplicaRole::Follower => Self::Follower,
            ReplicaRole::Candidate => Self::Candidate,
            ReplicaRole::Learner => Self::Learner,
            ReplicaRole::Halted => Self::Halted,
        }
    }
}

/// The state of another node as known to this one.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Name of the node.
    pub name: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether a new heartbeat arrived within the alive timeout.
    pub alive: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Version of the configuration in force on it.
    pub config_version: ConfigVersion,
    /// When its last new heartbeat arrived, directly or through other nodes; `None` before the first.
    pub last_heard: Option<Instant>,
    /// Its last soft report; empty before the first.
    pub soft_report: SoftReport,
}

/// The soft report of another node.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// Name of the node that made the report.
    pub name: InstanceId,
    /// Time since a heartbeat of the node confirmed the report.
    pub age: Duration,
    /// Its last soft report.
    pub soft_report: SoftReport,
}

/// The state of the cluster as seen by one node.
#[derive(Clone, Debug)]
pub struct ClusterStatus {
    /// Role of this node; `Observer` without a replica.
    pub role: Role,
    /// Current term of this node's replica; 0 without a replica.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<InstanceId>,
    /// Last log index known to be committed; 0 without a replica.
    pub commit_index: u64,
    /// Last applied log index; 0 without a replica.
    pub applied_index: u64,
    /// The voters as known to this node's replica; empty without a replica.
    pub voters: Vec<InstanceId>,
    /// The learners as known to this node's replica; empty without a replica.
    pub learners: Vec<InstanceId>,
    /// Whether this voter has restarted and does not vote until its peers have confirmed its disk.
    pub waits_for_peers: bool,
    /// Whether this voter's disk lacks entries that the voter has acknowledged.
    pub disk_outdated: bool,
    /// Whether the configuration was recently confirmed to be the newest one in reach.
    pub current: bool,
    /// All other configured nodes, alive or not.
    pub members: Vec<MemberState>,
}
