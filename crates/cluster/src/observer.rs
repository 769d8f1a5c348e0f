//! Asks a voter for news: the configuration, its freshness, and the board.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_core::ids::{ConfigVersion, InstanceId};
use daisysill_wire::peer::{ConfigUpdate, ObserveReply, ObserveRequest, PeerClient, UpstreamCrash};
use futures::FutureExt;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    clock::BootInstant,
    driver::ReplicaView,
    link::{CallError, Links},
    propose::LeaderHint,
    published_upstreams::PublishedUpstreamsStore,
    shared_soft::SharedSoft,
    view_store::ViewStore,
};

/// How long a voter holds a question without news. A share of the shortest bound on freshness.
const POLL_MS: u64 = 800;
/// Time beyond the poll after which a voter is given up.
const POLL_GRACE: Duration = Duration::from_millis(500);
/// Delay before the next question after a failure.
const RETRY: Duration = Duration::from_millis(100);
/// A source whose knowledge is older than this is left for another.
const STALE_SOURCE_MS: u64 = 1_500;
/// Time that a replica waits for log entries of which it was told.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(200);
/// Crash sightings that wait to be told at most.
const MAX_SIGHTINGS: usize = 64;

/// How often a node with work in flight tells of it: more nodes tell less often, so that the leader's work stays
/// bounded.
fn busy_poll_ms(entry_nodes: u32) -> u64 {
    const BUSY_POLL_MS: u64 = 40;
    const NODES_AT_FULL_RATE: u64 = 64;
    (BUSY_POLL_MS * u64::from(entry_nodes) / NODES_AT_FULL_RATE).clamp(BUSY_POLL_MS, POLL_MS)
}

/// What an observer tells the rest of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sightings(Arc<Mutex<Vec<UpstreamCrash>>>);

impl Sightings {
    /// Adds a sighting; the oldest is dropped if too many wait.
    pub(crate) fn add(&self, sighting: UpstreamCrash) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() >= MAX_SIGHTINGS {
            waiting.remove(0);
        }
        waiting.push(sighting);
    }

    fn take(&self) -> Vec<UpstreamCrash> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Follows the voters.
#[derive(Clone, Debug)]
pub(crate) struct Observer {
    /// This node.
    pub(crate) name: InstanceId,
    /// Voters of the settings; more are learned from answers.
    pub(crate) seeds: Vec<InstanceId>,
    /// Links to the others.
    pub(crate) links: Links,
    /// The configuration in force.
    pub(crate) views: Arc<ViewStore>,
    /// The board.
    pub(crate) published_upstreams: Arc<PublishedUpstreamsStore>,
    /// Work in flight and stored parts.
    pub(crate) soft_report: Arc<SharedSoft>,
    /// Where the leader was last heard of.
    pub(crate) leader: LeaderHint,
    /// This node's replica; a node with one takes only the board from others.
    pub(crate) replica: watch::Receiver<ReplicaView>,
    /// Crashes to be told.
    pub(crate) sightings: Sightings,
    /// Whether a voter has answered with a current configuration; its changes are logged.
    pub(crate) in_touch: watch::Sender<bool>,
}

impl Observer {
    /// Asks until it is aborted.
    pub(crate) async fn run(mut self) {
        let mut voters: Vec<InstanceId> = Vec::new();
        let mut failures = 0;
        loop {
            if self.leads() {
                let _ = timeout(Duration::from_millis(POLL_MS), self.replica.changed()).await;
                continue;
            }
            let Some(target) = self.target(&voters, failures) else {
                sleep(RETRY).await;
                continue;
            };
            let asked_at = BootInstant::now();
            if let Ok(reply) = self.ask(&target).await {
                let useful = self.take(&reply, asked_at).await;
                if !reply.voters.is_empty() {
                    voters.clone_from(&reply.voters);
                }
                failures = if useful { 0 } else { failures + 1 };
            } else {
                self.leader.set(None);
                failures += 1;
            }
            let in_touch = failures == 0;
            self.in_touch.send_if_modified(|known| std::mem::replace(known, in_touch) != in_touch);
            if failures > 0 {
                sleep(RETRY).await;
            }
        }
    }

    fn leads(&mut self) -> bool {
        let view = self.replica.borrow_and_update();
        view.status.as_ref().is_some_and(|status| status.leader.as_ref() == Some(&self.name))
    }

    async fn ask(&self, target: &InstanceId) -> Result<ObserveReply, CallError> {
        let link = self.links.get(target).ok_or(CallError::NotSent)?;
        let published_upstreams = self.published_upstreams.get();
        let crashes = self.sightings.take();
        let (loads, used_parts, stored_after) = self.soft_report.own_report();
        let wait_ms = match (crashes.is_empty(), loads.is_empty()) {
            (false, _) => 0,
            (true, true) => POLL_MS,
            (true, false) => busy_poll_ms(published_upstreams.entry_nodes),
        };
        let reported = loads.clone();
        let asked_at = BootInstant::now();
        let observation = ObserveRequest {
            node: self.name.clone(),
            config_after: self.views.version(),
            published_after: (published_upstreams.source.clone(), published_upstreams.number),
            stored_after,
            loads,
            used_parts,
            crashes: crashes.clone(),
        };
        let call = move |client: PeerClient, context| {
            async move { client.observe(context, observation, wait_ms).await }.boxed()
        };
        let reply = link.call(Duration::from_millis(wait_ms) + POLL_GRACE, call).await;
        match &reply {
            Ok(reply) => {
                self.soft_report.take_reply(&reported, &reply.loads, reply.stored.as_ref(), asked_at)
            }
            Err(_) => crashes.into_iter().for_each(|crash| self.sightings.add(crash)),
        }
        reply
    }

    /// Takes the news; returns whether the source is current. What the source says of its age was true at some
    /// time after the question was sent.
    async fn take(&self, reply: &ObserveReply, asked_at: BootInstant) -> bool {
        let at = |age_ms: u64| asked_at.checked_sub(Duration::from_millis(age_ms));
        let has_replica = self.replica.borrow().status.is_some();
        let newest = match &reply.update {
            ConfigUpdate::Unchanged(version) | ConfigUpdate::Deferred(version) => *version,
            ConfigUpdate::Delta(delta) => delta.version,
            ConfigUpdate::Snapshot(view) => view.version,
        };
        let installed = match (&reply.update, has_replica) {
            // A replica takes the configuration from its log, which brings it within moments.
            (_, true) => self.catches_up_with(newest).await,
            (ConfigUpdate::Unchanged(_), false) => self.views.version() >= newest,
            (update, false) => self.views.install_update(update),
        };
        if installed && let Some(at) = reply.age_ms.and_then(at) {
            self.views.confirm(at);
        }
        if let Some(at) = reply.published_age_ms.and_then(at) {
            self.published_upstreams.adopt(reply.published_upstreams.clone(), at);
        }
        if reply.leader.is_some() {
            self.leader.set(reply.leader.clone());
        }
        let current = |age_ms: Option<u64>| age_ms.is_some_and(|age_ms| age_ms < STALE_SOURCE_MS);
        current(reply.age_ms) && current(reply.published_age_ms)
    }

    /// Waits until the configuration is as new as `version`; returns whether it is in time.
    async fn catches_up_with(&self, version: ConfigVersion) -> bool {
        let mut view = self.views.subscribe();
        timeout(CATCH_UP_LIMIT, view.wait_for(|view| view.version >= version))
            .await
            .is_ok_and(|view| view.is_ok())
    }

    /// The leader, then the voters and the seeds in turn.
    fn target(&self, voters: &[InstanceId], failures: usize) -> Option<InstanceId> {
        if failures == 0
            && let Some(leader) = self.leader.get().filter(|leader| *leader != self.name)
        {
            return Some(leader);
        }
        let seeds = self.seeds.iter().filter(|seed| !voters.contains(seed));
        let all: Vec<&InstanceId> = voters.iter().chain(seeds).filter(|name| **name != self.name).collect();
        let start = crate::gossip::spread(&self.name, all.len());
        all.get((start + failures) % all.len().max(1)).map(|name| (*name).clone())
    }
}
