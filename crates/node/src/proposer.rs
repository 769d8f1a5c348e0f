//! The trait by which a node proposes commands to the replicated log.

use daisysill_cluster::{ClusterHandle, ProposeError};
use daisysill_control::command::{Command, Reply};
use futures::{FutureExt, future::BoxFuture};

/// Commits commands to the agreed state; a node proposes through its cluster, tests through a fake.
pub trait CommandProposer: Send + Sync {
    /// Commits a command and returns the reply; an error states whether the command may still be committed.
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<Reply, ProposeError>>;
}

impl CommandProposer for ClusterHandle {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<Reply, ProposeError>> {
        // The inherent method of the handle, not this one.
        Self::propose(self, command).boxed()
    }
}
