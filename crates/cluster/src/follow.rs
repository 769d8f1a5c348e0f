//! Follows the configuration from another node where this node has no replica that knows a leader.

use std::{sync::Arc, time::Duration};

use daisysill_core::ids::{ConfigVersion, InstanceId, ZoneName};
use daisysill_wire::peer::{ConfigUpdate, FollowReply, PeerClient};
use futures::FutureExt;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    clock::BootInstant,
    driver::ReplicaView,
    gossip::spread,
    link::{CallError, Link, Links},
    members::Members,
    propose::LeaderHint,
    view_store::ViewStore,
};

/// How long a source holds a poll without news. Shorter than a partition that must be noticed.
const POLL_MS: u64 = 1_000;
/// Time beyond the poll after which a source is given up.
const POLL_GRACE: Duration = Duration::from_millis(1_500);
/// Time for one answer while this node catches up after its start.
const CATCH_UP_CALL: Duration = Duration::from_secs(1);
/// Time that a starting node waits for its zone and a voter before it reports its configuration as it is.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(5);
/// Nodes of a zone that follow a voter; the others follow one of these.
const RELAYS_PER_ZONE: usize = 2;
/// Longest random delay before a source that cannot send a snapshot now is asked again.
const LATER_JITTER_MS: u64 = 500;
/// Delay between two attempts while no source is in reach.
const RETRY_MS: u64 = 150;
/// Where every voter has failed so often in a row, any node is tried.
const TRIES_BEFORE_ANY: usize = 3;

/// Follows the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Follower {
    /// This node.
    pub(crate) name: InstanceId,
    /// Its availability zone.
    pub(crate) zone: ZoneName,
    /// Voters named in the settings; more are learned from heartbeats.
    pub(crate) first_voters: Vec<InstanceId>,
    /// Links to the others.
    pub(crate) links: Links,
    /// The table of members.
    pub(crate) members: Arc<Members>,
    /// The configuration in force.
    pub(crate) views: Arc<ViewStore>,
    /// Where proposals go.
    pub(crate) leader: LeaderHint,
    /// This node's replica.
    pub(crate) replica: watch::Receiver<ReplicaView>,
    /// When this node had caught up after its start.
    pub(crate) caught_up: Arc<watch::Sender<Option<BootInstant>>>,
}

impl Follower {
    /// Catches up, then follows until it is aborted.
    pub(crate) async fn run(mut self) {
        self.catch_up().await;
        self.caught_up.send_replace(Some(BootInstant::now()));
        let mut failures = 0;
        loop {
            if self.replica.borrow_and_update().has_leader() {
                failures = 0;
                let _ = self.replica.changed().await;
                continue;
            }
            let Some(link) = self.source(failures) else {
                sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            };
            match self.poll(&link, self.views.version(), POLL_MS, POLL_GRACE).await {
                Ok(reply) if self.take(&reply).await => failures = 0,
                Ok(_) | Err(_) => {
                    failures += 1;
                    let delay = rand::random_range(RETRY_MS / 2..=RETRY_MS);
                    sleep(Duration::from_millis(delay)).await;
                }
            }
        }
    }

    /// Returns whether the source is of use: a source without contact to the voters is left for another.
    async fn take(&self, reply: &FollowReply) -> bool {
        if let Some(age_ms) = reply.age_ms
            && !matches!(reply.update, ConfigUpdate::Deferred(_))
        {
            let age = Duration::from_millis(age_ms);
            if self.views.install_update(&reply.update)
                && let Some(at) = BootInstant::now().checked_sub(age)
            {
                self.views.confirm(at);
            }
            if reply.leader.is_some() {
                self.leader.set(reply.leader.clone());
            }
            return age < crate::status::STALE_AFTER;
        }
        if let ConfigUpdate::Deferred(_) = reply.update {
            sleep(Duration::from_millis(rand::random_range(0..LATER_JITTER_MS))).await;
            return true;
        }
        self.views.install_update(&reply.update);
        false
    }

    async fn poll(
        &self,
        link: &Link,
        after: ConfigVersion,
        wait_ms: u64,
        grace: Duration,
    ) -> Result<FollowReply, CallError> {
        let call = move |client: PeerClient, context| {
            async move { client.follow(context, after, wait_ms).await }.boxed()
        };
        link.call(Duration::from_millis(wait_ms) + grace, call).await
    }

    /// Asks every node of the zone and the voters for their versions, and fetches the newest. The versions
    /// alone are small; only one source then sends its configuration.
    async fn catch_up(&self) {
        let limit = Instant::now() + CATCH_UP_LIMIT;
        while Instant::now() < limit {
            let voters = self.voters();
            let asked = self.links.iter().filter(|l| l.zone == self.zone || voters.contains(&l.name));
            let calls = asked.map(|link| async move {
                let newest = ConfigVersion(u64::MAX);
                let reply = self.poll(link, newest, 0, CATCH_UP_CALL).await.ok()?;
                let ConfigUpdate::Unchanged(version) = reply.update else { return None };
                Some((version, Arc::clone(link), reply))
            });
            let mut answers: Vec<_> = futures::future::join_all(calls).await.into_iter().flatten().collect();
            answers.sort_by_key(|(version, ..)| std::cmp::Reverse(*version));
            let voter_answered =
                answers.iter().any(|(_, link, reply)| voters.contains(&link.name) && reply.age_ms.is_some());
            let own_voter = self.replica.borrow().has_leader();
            let newest = answers.first().map_or(ConfigVersion(0), |(version, ..)| *version);
            for (version, link, _) in &answers {
                if self.views.version() >= newest || *version <= self.views.version() {
                    break;
                }
                if let Ok(reply) = self.poll(link, self.views.version(), 0, CATCH_UP_CALL).await {
                    self.take(&reply).await;
                }
            }
            if self.views.version() >= newest && (voter_answered || own_voter) {
                return;
            }
            sleep(Duration::from_millis(rand::random_range(RETRY_MS / 2..=RETRY_MS))).await;
        }
    }

    fn voters(&self) -> Vec<InstanceId> {
        let known = self.members.list().into_iter().filter(|member| member.replica);
        let mut voters: Vec<InstanceId> = known.map(|member| member.name).collect();
        voters.extend(
            self.first_voters.iter().filter(|name| !voters.contains(name)).cloned().collect::<Vec<_>>(),
        );
        voters
    }

    /// Chooses whom to follow; `failures` counts the sources given up in a row.
    fn source(&self, failures: usize) -> Option<Arc<Link>> {
        let voters = self.voters();
        if failures >= TRIES_BEFORE_ANY && failures % 2 == 1 {
            let all: Vec<_> = self.links.iter().collect();
            let near: Vec<_> = all.iter().filter(|link| link.zone == self.zone).collect();
            let any = if near.is_empty() { all.iter().collect() } else { near };
            return any.get(rand::random_range(0..any.len().max(1))).map(|link| Arc::clone(link));
        }
        let relays = self.relays(&voters);
        // A voter that has halted or lost its leader follows another voter itself.
        let follows_voter = relays.contains(&self.name) || voters.contains(&self.name);
        if follows_voter || failures > 0 {
            return self.pick(&voters, failures);
        }
        self.pick(&relays, failures)
    }

    /// The lowest-ranked live nodes of the zone that hold no replica, this node among them.
    fn relays(&self, voters: &[InstanceId]) -> Vec<InstanceId> {
        let live = self.members.list().into_iter().filter(|m| m.zone == self.zone && m.alive && !m.leaving);
        let mut names: Vec<InstanceId> = live.map(|member| member.name).collect();
        names.push(self.name.clone());
        names.retain(|name| !voters.contains(name));
        names.sort();
        names.truncate(RELAYS_PER_ZONE);
        names
    }

    /// Picks a source of the own zone if there is one; the choice differs between nodes and attempts.
    fn pick(&self, names: &[InstanceId], failures: usize) -> Option<Arc<Link>> {
        let links: Vec<_> = names.iter().filter_map(|name| self.links.get(name)).collect();
        let near: Vec<_> = links.iter().filter(|link| link.zone == self.zone).cloned().collect();
        let links = if near.is_empty() || failures > 0 { links } else { near };
        let index = (spread(&self.name, links.len()) + failures) % links.len().max(1);
        links.get(index).cloned()
    }
}
