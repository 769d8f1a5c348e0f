//! What a node reports of its part of the cluster.

use std::{fmt, time::Duration};

use daisysill_control::Role as ReplicaRole;
use daisysill_core::ids::{ConfigVersion, InstanceId, ZoneName};
use daisysill_wire::peer::SoftReport;
use tokio::time::Instant;

/// A configuration that no voter has confirmed for this time is reported as not current. Two polls of a
/// relay and one of its followers fit in it.
pub(crate) const STALE_AFTER: Duration = Duration::from_secs(6);

/// Why a command has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// No majority is in reach; the command was not appended and will not take effect.
    NotCommitted,
    /// The command may or may not take effect.
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

/// The role of this node in the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Replicates commands to the other voters.
    Leader,
    /// A voter that follows the leader.
    Follower,
    /// A voter that seeks votes.
    Candidate,
    /// Receives the log but does not vote yet.
    Learner,
    /// Has no disk and follows the configuration only.
    Observer,
    /// Stepped down after a storage fault.
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

/// What this node knows of another.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// The node.
    pub name: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether heartbeats arrive.
    pub alive: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The configuration version it follows.
    pub config_version: ConfigVersion,
    /// When its last heartbeat arrived.
    pub last_heard: Option<Instant>,
    /// What it has in flight.
    pub soft_report: SoftReport,
}

/// The soft report of another node.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// The node.
    pub name: InstanceId,
    /// Time since a heartbeat of the node confirmed the report.
    pub age: Duration,
    /// What it has in flight.
    pub soft_report: SoftReport,
}

/// The state of this node's part of the cluster.
#[derive(Clone, Debug)]
pub struct ClusterStatus {
    /// The role of this node.
    pub role: Role,
    /// The term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<InstanceId>,
    /// Last committed log index known.
    pub commit_index: u64,
    /// Last applied log index.
    pub applied_index: u64,
    /// The voters, as this node's replica knows them; empty without a replica.
    pub voters: Vec<InstanceId>,
    /// The learners, likewise.
    pub learners: Vec<InstanceId>,
    /// Whether this voter has started and waits for its peers to confirm its disk.
    pub waits_for_peers: bool,
    /// Whether this voter's disk is older than what it has acknowledged.
    pub disk_outdated: bool,
    /// Whether the configuration is at least as new as any in reach.
    pub current: bool,
    /// The other nodes.
    pub members: Vec<MemberState>,
}
