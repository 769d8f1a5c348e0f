//! Graceful shutdown: the node announces that it leaves, hands its vote over, and a leader transfers its leadership.

use std::{pin::pin, sync::Arc, time::Duration};

use daisysill_control::{ReplicaStatus, Role};
use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::PeerClient;
use futures::{FutureExt, future::join_all};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};

use crate::{driver_input::DriverInput, handle::ClusterHandle, link::Link};

/// Timeout for the replica to stop after the handover, and then for another node to become leader.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for notifying a voter that the leader has stopped.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a leaving leader checks for a new leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the end at which a voter whose vote is not handed over stops all the same: its proposals, the write in
/// progress and the transfer of its leadership need it.
const STOP_TIME: Duration = Duration::from_secs(2);

impl ClusterHandle {
    /// Stops this node's replica, transfers its leadership and announces to other nodes that it leaves. With `end`, the time at
    /// which the process ends at the latest, the replica first hands its vote over to a learner, if there is one; for nodes
    /// whose leader maintains the voters without an operator.
    pub async fn leave(&self, end: Option<Instant>) {
        self.inner.gossip.members.set_leaving();
        let mut last_led = self.leading_status();
        if let Some(driver) = &self.inner.proposer.driver {
            let (stopped, has_stopped) = oneshot::channel();
            let hand_over_until = end.and_then(|end| end.checked_sub(STOP_TIME));
            if driver.send(DriverInput::Leave { stopped, hand_over_until }).await.is_ok() {
                let stop_by = hand_over_until.unwrap_or_else(Instant::now) + TRANSFER_TIMEOUT;
                last_led = self.await_stop(has_stopped, stop_by).await.or(last_led);
            }
            self.inner.leader.set(None);
        }
        if let Some(status) = last_led.filter(|status| status.voters.voters.len() > 1) {
            let elected_by = Instant::now() + TRANSFER_TIMEOUT;
            self.transfer_leadership(&status, end.map_or(elected_by, |end| elected_by.min(end))).await;
        }
        self.inner.gossip.notify_partners().await;
    }

    /// Waits until the replica has stopped; returns its status when it was last seen to lead, with the voters of that time.
    async fn await_stop(
        &self,
        has_stopped: oneshot::Receiver<()>,
        stop_by: Instant,
    ) -> Option<ReplicaStatus> {
        let mut replica = self.inner.replica.clone();
        let mut has_stopped = pin!(timeout_at(stop_by, has_stopped));
        let mut last_led = self.leading_status();
        loop {
            tokio::select! {
                biased;
                Ok(()) = replica.changed() => last_led = self.leading_status().or(last_led),
                _ = &mut has_stopped => return last_led,
            }
        }
    }

    /// Returns the status of this node's replica if it leads.
    fn leading_status(&self) -> Option<ReplicaStatus> {
        let status = self.inner.replica.borrow().status.clone();
        status.filter(|status| status.role == Role::Leader)
    }

    /// Notifies the other voters that the leader has stopped, and waits until another node is leader, or `elected_by`. The first
    /// live voter is notified last and campaigns, since the others then grant it their votes.
    async fn transfer_leadership(&self, status: &ReplicaStatus, elected_by: Instant) {
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
        let _ = timeout_at(elected_by, self.new_leader()).await;
    }

    async fn new_leader(&self) {
        let own: &InstanceId = &self.inner.proposer.name;
        while self.inner.leader.get().is_none_or(|leader| leader == *own) {
            sleep(LEADER_CHECK_INTERVAL).await;
        }
    }
}
