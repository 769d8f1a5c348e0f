//! Polls of nodes that follow the configuration of this one.

use std::time::Duration;

use daisysill_core::ids::ConfigVersion;
use daisysill_wire::peer::FollowReply;
use futures::FutureExt;
use tokio::time::timeout;

use crate::{clock::BootInstant, metrics::ClusterMetrics, server::ServerState};

/// Maximum time that a poll is held.
pub(crate) const MAX_POLL_MS: u64 = 2_000;

impl ServerState {
    /// Waits until the configuration is newer than `after`, or until the time of the poll is over.
    pub(crate) async fn hold_poll(&self, after: ConfigVersion, wait_ms: u64) {
        if wait_ms == 0 {
            return;
        }
        let mut changes = self.views.subscribe();
        let _follower = FollowerCount::new(&self.metrics);
        let newer = changes.wait_for(|view| view.version > after).map(|_| ());
        let _ = timeout(Duration::from_millis(wait_ms.min(MAX_POLL_MS)), newer).await;
    }

    /// Returns the configuration for a follower at version `after`.
    pub(crate) fn follow_reply(&self, after: ConfigVersion) -> FollowReply {
        // The age is read before the configuration, so that it never makes an older one look newer than it is.
        let age = self.views.confirmed_at().map(BootInstant::elapsed);
        let update = self.views.update_since(after);
        let status = self.proposer.replica.borrow().status.clone();
        FollowReply {
            update,
            age_ms: age.map(millis),
            leader: status.and_then(|status| status.leader).or_else(|| self.proposer.leader.get()),
        }
    }
}

/// Returns whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Counts a follower while its poll is held.
pub(crate) struct FollowerCount<'a>(&'a ClusterMetrics);

impl<'a> FollowerCount<'a> {
    /// Counts until the value is dropped.
    pub(crate) fn new(metrics: &'a ClusterMetrics) -> Self {
        metrics.followers.inc();
        Self(metrics)
    }
}

impl Drop for FollowerCount<'_> {
    fn drop(&mut self) {
        self.0.followers.dec();
    }
}
