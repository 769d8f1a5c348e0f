//! How a node leaves the cluster: it tells the others, and a leader hands over before it ends.

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

/// A leader that leaves waits this long until another node leads.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);
/// Time for a voter to take note that the leader has stopped.
const HAND_OVER_CALL: Duration = Duration::from_millis(300);
/// Time between two looks at who leads.
const HAND_OVER_CHECK: Duration = Duration::from_millis(20);

impl ClusterHandle {
    /// Tells the others that this node is shutting down, and hands over what it owns.
    pub async fn leave(&self) {
        self.inner.gossip.members.set_leaving();
        let replica = self.inner.replica.borrow().status.clone();
        let led = replica.as_ref().filter(|status| status.role == Role::Leader);
        if let Some(driver) = &self.inner.proposer.driver {
            let (stopped, has_stopped) = oneshot::channel();
            self.inner.leader.set(None);
            if driver.send(DriverInput::Leave { stopped }).await.is_ok() {
                let _ = timeout(HAND_OVER_LIMIT, has_stopped).await;
            }
        }
        if let Some(status) = led.filter(|status| status.voters.voters.len() > 1) {
            self.hand_over(status).await;
        }
        self.inner.gossip.tell_partners().await;
    }

    /// Tells the other voters that the leader has stopped, and waits until another node leads.
    async fn hand_over(&self, status: &ReplicaStatus) {
        let term = status.term;
        let links = &self.inner.proposer.links;
        let voters = status.voters.voters.keys().filter_map(|name| links.get(name));
        let (alive, _): (Vec<_>, Vec<_>) = voters.partition(|link| {
            self.inner.names_are_addresses || self.inner.gossip.members.is_alive(&link.name)
        });
        let Some((successor, others)) = alive.split_first() else { return };
        let tell = |link: &Arc<Link>, campaign| {
            let link = Arc::clone(link);
            let call = move |client: PeerClient, context| {
                async move { client.leader_stopped(context, term, campaign).await }.boxed()
            };
            async move { link.call(HAND_OVER_CALL, call).await }
        };
        join_all(others.iter().map(|link| tell(link, false))).await;
        let _ = tell(successor, true).await;
        let _ = timeout(HAND_OVER_LIMIT, self.another_leads()).await;
    }

    async fn another_leads(&self) {
        let own: &InstanceId = &self.inner.proposer.name;
        while self.inner.leader.get().is_none_or(|leader| leader == *own) {
            sleep(HAND_OVER_CHECK).await;
        }
    }
}
