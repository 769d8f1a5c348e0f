//! Polls another node for the configuration while this node has no voter's replica that knows a leader.

use std::{sync::Arc, time::Duration};

use daisysill_core::ids::{ConfigVersion, InstanceId, ZoneName};
use daisysill_wire::peer::{ConfigUpdate, FollowReply, HeldReply, PeerClient};
use futures::FutureExt;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    clock::BootInstant,
    driver_input::ReplicaView,
    gossip::hash_index,
    link::{CallError, Link, Links, NewerCall},
    members::Members,
    propose::LeaderHint,
    view_store::{ViewStore, version_of},
};

/// How long a source holds a poll without a change. Shorter than a partition that must be detected.
const POLL_MS: u64 = 1_000;
/// The same while this node's configuration is not confirmed.
const UNCONFIRMED_POLL_MS: u64 = 100;
/// Time beyond the poll after which a source counts as failed.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_500);
/// Timeout of one poll while this node catches up after its start.
const CATCH_UP_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that a starting node waits for its zone and a voter; then the configuration that it has counts as
/// current.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of nodes of a zone that follow a voter; the other nodes of the zone follow one of these relays.
const RELAYS_PER_ZONE: usize = 2;
/// Maximum random delay before a source that deferred a snapshot is polled again.
const DEFERRED_JITTER_MS: u64 = 500;
/// Maximum delay between two attempts while no source responds.
const RETRY_DELAY_MS: u64 = 150;
/// After this many failures in a row, every second attempt polls a random node, of this node's zone if it has others.
const FAILURES_BEFORE_ANY_NODE: usize = 3;

/// A response, with the earliest time at which its source may have made it. The node may have been suspended while it was under
/// way, so the ages in it do not count from its arrival.
struct TimedReply {
    reply: FollowReply,
    made_at: BootInstant,
}

/// Follows the configuration of other nodes.
#[derive(Clone, Debug)]
pub(crate) struct Follower {
    /// Name of this node.
    pub(crate) name: InstanceId,
    pub(crate) zone: ZoneName,
    /// Voters of the settings; others are learned from heartbeats.
    pub(crate) bootstrap_voters: Vec<InstanceId>,
    pub(crate) links: Links,
    pub(crate) members: Arc<Members>,
    pub(crate) views: Arc<ViewStore>,
    /// Updated with the leader that a source names.
    pub(crate) leader: LeaderHint,
    pub(crate) replica: watch::Receiver<ReplicaView>,
    /// When this node finished catching up after its start; `None` before.
    pub(crate) caught_up: Arc<watch::Sender<Option<BootInstant>>>,
}

impl Follower {
    /// Catches up, then follows until the task is aborted.
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
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                continue;
            };
            // A source that cannot confirm the configuration yet may be able to at any moment.
            let poll_ms = if self.views.lacks_confirmation() { UNCONFIRMED_POLL_MS } else { POLL_MS };
            match self.poll(&link, self.views.version(), poll_ms, RESPONSE_GRACE).await {
                Ok(reply) if self.apply(&reply).await => failures = 0,
                Ok(_) | Err(_) => {
                    failures += 1;
                    let delay = rand::random_range(RETRY_DELAY_MS / 2..=RETRY_DELAY_MS);
                    sleep(Duration::from_millis(delay)).await;
                }
            }
        }
    }

    /// Applies a response; returns whether to stay with the source. A source without contact to the voters is left
    /// for another.
    async fn apply(&self, TimedReply { reply, made_at }: &TimedReply) -> bool {
        if let Some(age_ms) = reply.age_ms
            && !matches!(reply.update, ConfigUpdate::Deferred(_))
        {
            // It is less than a millisecond more than the response says.
            let age = Duration::from_millis(age_ms.saturating_add(1));
            if self.views.install_update(&reply.update)
                && let Some(at) = made_at.checked_sub(age)
            {
                self.views.confirm(version_of(&reply.update), at);
            }
            if reply.leader.is_some() {
                self.leader.set(reply.leader.clone());
            }
            return age < crate::status::STALE_AFTER;
        }
        if let ConfigUpdate::Deferred(_) = reply.update {
            sleep(Duration::from_millis(rand::random_range(0..DEFERRED_JITTER_MS))).await;
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
    ) -> Result<TimedReply, CallError> {
        let sent_at = BootInstant::now();
        let limit = Duration::from_millis(wait_ms) + grace;
        if link.admits(NewerCall::PollConfig) {
            let call = move |client: PeerClient, context| {
                async move { client.poll_config(context, after, wait_ms).await }.boxed()
            };
            let HeldReply { reply, held_ms } = link.call_newer(NewerCall::PollConfig, limit, call).await?;
            return Ok(TimedReply { reply, made_at: sent_at + Duration::from_millis(held_ms) });
        }
        let call = move |client: PeerClient, context| {
            async move { client.follow(context, after, wait_ms).await }.boxed()
        };
        Ok(TimedReply { reply: link.call(limit, call).await?, made_at: sent_at })
    }

    /// Polls all nodes of the zone and all voters for their versions, then fetches the newest configuration. The
    /// version polls are small; normally only one source sends its configuration.
    async fn catch_up(&self) {
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        while Instant::now() < deadline {
            let voters = self.voters();
            let sources = self.links.iter().filter(|l| l.zone == self.zone || voters.contains(&l.name));
            let calls = sources.map(|link| async move {
                let newest = ConfigVersion(u64::MAX);
                let timed = self.poll(link, newest, 0, CATCH_UP_POLL_TIMEOUT).await.ok()?;
                let ConfigUpdate::Unchanged(version) = timed.reply.update else { return None };
                Some((version, Arc::clone(link), timed.reply))
            });
            let mut responses: Vec<_> =
                futures::future::join_all(calls).await.into_iter().flatten().collect();
            responses.sort_by_key(|(version, ..)| std::cmp::Reverse(*version));
            let voter_responded = responses
                .iter()
                .any(|(_, link, reply)| voters.contains(&link.name) && reply.age_ms.is_some());
            let own_voter = self.replica.borrow().has_leader();
            let newest = responses.first().map_or(ConfigVersion(0), |(version, ..)| *version);
            for (version, link, _) in &responses {
                if self.views.version() >= newest || *version <= self.views.version() {
                    break;
                }
                if let Ok(reply) = self.poll(link, self.views.version(), 0, CATCH_UP_POLL_TIMEOUT).await {
                    self.apply(&reply).await;
                }
            }
            if self.views.version() >= newest && (voter_responded || own_voter) {
                return;
            }
            sleep(Duration::from_millis(rand::random_range(RETRY_DELAY_MS / 2..=RETRY_DELAY_MS))).await;
        }
    }

    fn voters(&self) -> Vec<InstanceId> {
        let known = self.members.list().into_iter().filter(|member| member.replica);
        let mut voters: Vec<InstanceId> = known.map(|member| member.name).collect();
        voters.extend(
            self.bootstrap_voters.iter().filter(|name| !voters.contains(name)).cloned().collect::<Vec<_>>(),
        );
        voters
    }

    /// Chooses the node to follow; `failures` counts the failed sources in a row.
    fn source(&self, failures: usize) -> Option<Arc<Link>> {
        let voters = self.voters();
        if failures >= FAILURES_BEFORE_ANY_NODE && failures % 2 == 1 {
            let all: Vec<_> = self.links.iter().collect();
            let same_zone: Vec<_> = all.iter().filter(|link| link.zone == self.zone).collect();
            let any = if same_zone.is_empty() { all.iter().collect() } else { same_zone };
            return any.get(rand::random_range(0..any.len().max(1))).map(|link| Arc::clone(link));
        }
        if failures == 0
            && let Some(leader) = self.leader_of_replica()
        {
            return Some(leader);
        }
        let relays = self.relays(&voters);
        // A voter that has halted or lost its leader follows another voter.
        let follows_voter = relays.contains(&self.name) || voters.contains(&self.name);
        if follows_voter || failures > 0 {
            return self.pick(&voters, failures);
        }
        self.pick(&relays, failures)
    }

    /// Returns the link to the leader that the replica names. A learner polls it before any other node: two learners
    /// that followed each other would confirm nothing.
    fn leader_of_replica(&self) -> Option<Arc<Link>> {
        let leader = self.replica.borrow().status.as_ref()?.leader.clone()?;
        self.links.get(&leader)
    }

    /// Returns the relays of the zone: the first live nodes by name without a replica, this node included in the
    /// ranking.
    fn relays(&self, voters: &[InstanceId]) -> Vec<InstanceId> {
        let live = self.members.list().into_iter().filter(|m| m.zone == self.zone && m.alive && !m.leaving);
        let mut names: Vec<InstanceId> = live.map(|member| member.name).collect();
        names.push(self.name.clone());
        names.retain(|name| !voters.contains(name));
        names.sort();
        names.truncate(RELAYS_PER_ZONE);
        names
    }

    /// Picks a source; the first attempt prefers this node's zone. The choice differs between nodes and attempts.
    fn pick(&self, names: &[InstanceId], failures: usize) -> Option<Arc<Link>> {
        let links: Vec<_> = names.iter().filter_map(|name| self.links.get(name)).collect();
        let same_zone: Vec<_> = links.iter().filter(|link| link.zone == self.zone).cloned().collect();
        let links = if same_zone.is_empty() || failures > 0 { links } else { same_zone };
        let index = (hash_index(&self.name, links.len()) + failures) % links.len().max(1);
        links.get(index).cloned()
    }
}
