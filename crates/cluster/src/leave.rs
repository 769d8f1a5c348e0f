//! Graceful shutdown: the node announces that it leaves, and a leader transfers its leadership.

use std::{sync::Arc, time::Duration};

use daisysill_control::{ReplicaStatus, Role};
use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::PeerClient;
use futures::{FutureExt, future::join_all};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use crate::{driver::DriverInput, handle::ClusterHandle, link::Link};

/// Timeout for the replica to stop, and then for another node to become leader.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for notifying a voter that the leader has stopped.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a leaving leader checks for a new leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl ClusterHandle {
    /// Stops this node's replica, transfers its leadership and announces to other nodes that it leaves.
    pub async fn leave(&self) {
        self.inner.gossip.members.set_leaving();
        let replica = self.inner.replica.borrow().status.clone();
        let led = replica.as_ref().filter(|status| status.role == Role::Leader);
        if let Some(driver) = &self.inner.proposer.driver {
            let (stopped, has_stopped) = oneshot::channel();
            self.inner.leader.set(None);
            if driver.send(DriverInput::Leave { stopped }).await.is_ok() {
                let _ = timeout(TRANSFER_TIMEOUT, has_stopped).await;
            }
        }
        if let Some(status) = led.filter(|status| status.voters.voters.len() > 1) {
            self.transfer_leadership(status).await;
        }
        self.inner.gossip.notify_partners().await;
    }

    /// Notifies the other voters that the leader has stopped, and waits until another node is leader. The first
    /// live voter is notified last and campaigns, since the others then grant it their votes.
    async fn transfer_leadership(&self, status: &ReplicaStatus) {
        let term = status.term;
        let links = &self.inner.proposer.links;
        let voters = status.voters.voters.keys().filter_map(|name| links.get(name));
        let (alive, _): (Vec<_>, Vec<_>) = voters.partition(|link| {
            self.inner.names_are_addresses || self.inner.gossip.members.is_alive(&link.name)
        });
        let Some((successor, others)) = alive.split_first() else { return };
        let notify = |link: &Arc<Link>, campaign| {
            let link = Arc::clone(link);
            let call = move |client: PeerClient, context| {
                async move { client.leader_stopped(context, term, campaign).await }.boxed()
            };
            async move { link.call(NOTIFY_TIMEOUT, call).await }
        };
        join_all(others.iter().map(|link| notify(link, false))).await;
        let _ = notify(successor, true).await;
        let _ = timeout(TRANSFER_TIMEOUT, self.new_leader()).await;
    }

    async fn new_leader(&self) {
        let own: &InstanceId = &self.inner.proposer.name;
        while self.inner.leader.get().is_none_or(|leader| leader == *own) {
            sleep(LEADER_CHECK_INTERVAL).await;
        }
    }
}
