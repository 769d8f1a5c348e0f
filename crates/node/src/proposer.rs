//! The trait through which a node commits commands to the agreed state.

use daisysill_cluster::{ClusterHandle, ProposeError};
use daisysill_control::command::{Command, Reply};
use futures::{FutureExt, future::BoxFuture};

/// Commits commands to the agreed state; its voters are other processes.
pub trait CommandProposer: Send + Sync {
    /// Commits a command and returns the reply, or says whether the command may have been committed.
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<Reply, ProposeError>>;
}

impl CommandProposer for ClusterHandle {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<Reply, ProposeError>> {
        // The inherent method of the handle, not this one.
        Self::propose(self, command).boxed()
    }
}
