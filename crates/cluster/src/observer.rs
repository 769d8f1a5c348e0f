//! Polls a voter for the configuration, its freshness and the published upstreams, and reports soft state to it.

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
    published_upstreams::PublishedStore,
    soft_state::SoftState,
    view_store::ViewStore,
};

/// How long a voter holds a poll without a change. A fraction of the strictest bound on freshness.
const POLL_MS: u64 = 800;
/// Time beyond the poll after which the voter counts as failed.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Delay before the next poll after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// A source whose configuration or published upstreams are older than this is left for another.
const MAX_SOURCE_AGE_MS: u64 = 1_500;
/// Maximum time that a replica waits for a configuration version that a voter already has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of crashes queued for the next poll.
const MAX_QUEUED_CRASHES: usize = 64;

/// Returns the poll time of a node with work in flight. It grows with the number of entry nodes, which bounds the
/// load on the leader.
fn busy_poll_ms(entry_nodes: u32) -> u64 {
    const BUSY_POLL_MS: u64 = 40;
    const NODES_AT_FULL_RATE: u64 = 64;
    (BUSY_POLL_MS * u64::from(entry_nodes) / NODES_AT_FULL_RATE).clamp(BUSY_POLL_MS, POLL_MS)
}

/// Crashes to be reported with the next poll, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashQueue(Arc<Mutex<Vec<UpstreamCrash>>>);

impl CrashQueue {
    /// Queues a crash; drops the oldest if the queue is full.
    pub(crate) fn add(&self, crash: UpstreamCrash) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() >= MAX_QUEUED_CRASHES {
            waiting.remove(0);
        }
        waiting.push(crash);
    }

    fn take(&self) -> Vec<UpstreamCrash> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Polls the voters on behalf of a node with automatic membership.
#[derive(Clone, Debug)]
pub(crate) struct Observer {
    /// Name of this node.
    pub(crate) name: InstanceId,
    /// Voters of the settings; others are learned from responses.
    pub(crate) seeds: Vec<InstanceId>,
    pub(crate) links: Links,
    pub(crate) views: Arc<ViewStore>,
    pub(crate) published: Arc<PublishedStore>,
    /// Work in flight and stored parts.
    pub(crate) soft_state: Arc<SoftState>,
    pub(crate) leader: LeaderHint,
    /// This node's replica; a node with one installs the configuration from its log only.
    pub(crate) replica: watch::Receiver<ReplicaView>,
    pub(crate) crash_queue: CrashQueue,
    /// Whether the last poll returned a current configuration and current upstreams; its changes are logged.
    pub(crate) control_contact: watch::Sender<bool>,
}

impl Observer {
    /// Polls until the task is aborted, except while this node is leader.
    pub(crate) async fn run(mut self) {
        let mut voters: Vec<InstanceId> = Vec::new();
        let mut failures = 0;
        loop {
            if self.is_leader() {
                let _ = timeout(Duration::from_millis(POLL_MS), self.replica.changed()).await;
                continue;
            }
            let Some(target) = self.target(&voters, failures) else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let requested_at = BootInstant::now();
            if let Ok(reply) = self.poll(&target).await {
                let useful = self.apply(&reply, requested_at).await;
                if !reply.voters.is_empty() {
                    voters.clone_from(&reply.voters);
                }
                failures = if useful { 0 } else { failures + 1 };
            } else {
                self.leader.set(None);
                failures += 1;
            }
            let control_contact = failures == 0;
            self.control_contact
                .send_if_modified(|known| std::mem::replace(known, control_contact) != control_contact);
            if failures > 0 {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    fn is_leader(&mut self) -> bool {
        let view = self.replica.borrow_and_update();
        view.status.as_ref().is_some_and(|status| status.leader.as_ref() == Some(&self.name))
    }

    async fn poll(&self, target: &InstanceId) -> Result<ObserveReply, CallError> {
        let link = self.links.get(target).ok_or(CallError::NotSent)?;
        let published = self.published.get();
        let crashes = self.crash_queue.take();
        let (loads, used_parts, stored_after) = self.soft_state.own_report();
        let wait_ms = match (crashes.is_empty(), loads.is_empty()) {
            (false, _) => 0,
            (true, true) => POLL_MS,
            (true, false) => busy_poll_ms(published.entry_nodes),
        };
        let reported = loads.clone();
        let requested_at = BootInstant::now();
        let request = ObserveRequest {
            node: self.name.clone(),
            config_after: self.views.version(),
            published_after: (published.source.clone(), published.number),
            stored_after,
            loads,
            used_parts,
            crashes: crashes.clone(),
        };
        let call = move |client: PeerClient, context| {
            async move { client.observe(context, request, wait_ms).await }.boxed()
        };
        let reply = link.call(Duration::from_millis(wait_ms) + RESPONSE_GRACE, call).await;
        match &reply {
            Ok(reply) => {
                self.soft_state.apply_reply(&reported, &reply.loads, reply.stored.as_ref(), requested_at);
            }
            Err(_) => crashes.into_iter().for_each(|crash| self.crash_queue.add(crash)),
        }
        reply
    }

    /// Applies a response; returns whether the source is current. The ages in it were measured after the request was
    /// sent, so they are subtracted from that time.
    async fn apply(&self, reply: &ObserveReply, requested_at: BootInstant) -> bool {
        let at = |age_ms: u64| requested_at.checked_sub(Duration::from_millis(age_ms));
        let has_replica = self.replica.borrow().status.is_some();
        let newest = match &reply.update {
            ConfigUpdate::Unchanged(version) | ConfigUpdate::Deferred(version) => *version,
            ConfigUpdate::Delta(delta) => delta.version,
            ConfigUpdate::Snapshot(view) => view.version,
        };
        let installed = match (&reply.update, has_replica) {
            // A replica installs the configuration from its log, which arrives shortly.
            (_, true) => self.reaches_version(newest).await,
            (ConfigUpdate::Unchanged(_), false) => self.views.version() >= newest,
            (update, false) => self.views.install_update(update),
        };
        if installed && let Some(at) = reply.age_ms.and_then(at) {
            self.views.confirm(at);
        }
        if let Some(at) = reply.published_age_ms.and_then(at) {
            self.published.adopt(reply.published_upstreams.clone(), at);
        }
        if reply.leader.is_some() {
            self.leader.set(reply.leader.clone());
        }
        let current = |age_ms: Option<u64>| age_ms.is_some_and(|age_ms| age_ms < MAX_SOURCE_AGE_MS);
        current(reply.age_ms) && current(reply.published_age_ms)
    }

    /// Waits until the configuration is as new as `version`; returns whether this happens in time.
    async fn reaches_version(&self, version: ConfigVersion) -> bool {
        let mut view = self.views.subscribe();
        timeout(CATCH_UP_TIMEOUT, view.wait_for(|view| view.version >= version))
            .await
            .is_ok_and(|view| view.is_ok())
    }

    /// Returns the node to poll: the leader, or after a failure the voters and seeds in turn.
    fn target(&self, voters: &[InstanceId], failures: usize) -> Option<InstanceId> {
        if failures == 0
            && let Some(leader) = self.leader.get().filter(|leader| *leader != self.name)
        {
            return Some(leader);
        }
        let seeds = self.seeds.iter().filter(|seed| !voters.contains(seed));
        let all: Vec<&InstanceId> = voters.iter().chain(seeds).filter(|name| **name != self.name).collect();
        let start = crate::gossip::hash_index(&self.name, all.len());
        all.get((start + failures) % all.len().max(1)).map(|name| (*name).clone())
    }
}
