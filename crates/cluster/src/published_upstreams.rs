//! The soft state that the leader publishes to all nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_core::{
    crashing_parts::{CRASHES_TO_BLOCK, CrashedProcess, CrashingParts, EVIDENCE_TIMEOUT},
    crashing_requests::CrashingRequests,
    ids::InstanceId,
};
use daisysill_wire::peer::{PublishedUpstreams, UpstreamCrash, UpstreamEntry};
use tokio::{sync::watch, time::sleep};

use crate::{clock::BootInstant, outcome_queue::TimedOutcome, relays::Relays};

/// An entry node that has not polled for this time is no longer counted.
const ENTRY_NODE_TIMEOUT: Duration = Duration::from_secs(4);
/// Minimum time between two publications because of crashes alone. A partition breaks hundreds of connections, and each
/// publication goes to every node.
const CRASH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of request fingerprints and parts of prompts published, most crashes first; bounds the size of the message.
const MAX_CRASH_COUNTS: usize = 512;

/// The published upstreams as this node has them, and when they were last known to be current.
#[derive(Debug)]
pub(crate) struct PublishedStore {
    /// Identifies what this process publishes.
    own_source: String,
    /// Where the times of the evidence begin.
    start: BootInstant,
    sender: watch::Sender<Arc<PublishedUpstreams>>,
    /// The control nodes that answer the polls of other entry nodes.
    relays: Arc<Relays>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    current_at: Option<BootInstant>,
    last_polls: BTreeMap<InstanceId, BootInstant>,
    /// Evidence against requests.
    crashing_requests: CrashingRequests,
    /// Evidence against parts of prompts.
    crashing_parts: CrashingParts,
    /// Parts of prompts that this node blocks, as last logged.
    blocked_parts: BTreeSet<u64>,
    /// What was blocked when this node became the publisher, and when that was.
    inherited: Option<(BTreeMap<u64, u32>, BootInstant)>,
    /// When crashes were last published, or will be if this is in the future.
    crashes_due_at: Option<BootInstant>,
}

impl PublishedStore {
    /// Creates an empty store on the node `name`. What it publishes is told apart from that of an earlier start.
    pub(crate) fn new(name: &InstanceId, relays: Arc<Relays>) -> Self {
        Self {
            start: BootInstant::now(),
            own_source: format!("{name} {:x}", rand::random::<u64>()),
            sender: watch::channel(Arc::default()).0,
            relays,
            inner: Mutex::default(),
        }
    }

    /// Returns a receiver of the published upstreams.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<PublishedUpstreams>> {
        self.sender.subscribe()
    }

    pub(crate) fn get(&self) -> Arc<PublishedUpstreams> {
        Arc::clone(&self.sender.borrow())
    }

    /// Returns the time since the published upstreams were known to be current; `None` if they never were.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.lock().current_at.map(BootInstant::elapsed)
    }

    /// Installs what another node published; it was current at `at`. With `None` this node has it already. Control nodes
    /// lag behind each other, so what one hands out may be older than what this node has; it is then ignored.
    pub(crate) fn adopt(&self, published: Option<Arc<PublishedUpstreams>>, at: BootInstant) {
        let mut inner = self.lock();
        if let Some(published) = published {
            let known = self.get();
            let is_older = if published.source == known.source {
                published.number < known.number
            } else {
                Some(at) < inner.current_at
            };
            if is_older {
                return;
            }
            self.sender.send_replace(published);
        }
        inner.current_at = inner.current_at.max(Some(at));
    }

    /// Publishes upstreams that the platform listed at `at`; with `is_renewed` as a new state even if they have not changed.
    pub(crate) fn publish(&self, upstreams: Vec<UpstreamEntry>, at: BootInstant, is_renewed: bool) {
        let entry_nodes = self.relays.count_entry_nodes(&self.polling_names());
        self.change(is_renewed, |published| {
            published.upstreams = upstreams;
            published.entry_nodes = entry_nodes;
        });
        // After the content, which another thread must not take for newer than it is.
        self.lock().current_at = Some(at);
    }

    /// Returns the number of entry nodes that recently polled this node.
    pub(crate) fn polling_entry_nodes(&self) -> u32 {
        u32::try_from(self.polling_names().len()).unwrap_or(u32::MAX)
    }

    /// Returns the entry nodes that recently polled this node.
    pub(crate) fn polling_names(&self) -> Vec<InstanceId> {
        let mut inner = self.lock();
        inner.last_polls.retain(|_, last_poll| last_poll.elapsed() < ENTRY_NODE_TIMEOUT);
        inner.last_polls.keys().filter(|name| !self.relays.is_control_node(name)).cloned().collect()
    }

    /// Records a poll of an entry node.
    pub(crate) fn record_poll(&self, node: &InstanceId) {
        self.lock().last_polls.insert(node.clone(), BootInstant::now());
    }

    /// Records crashes that entry nodes report to this node as the leader, and publishes them soon, together with others
    /// of that time.
    pub(crate) fn publish_crashes_soon(self: &Arc<Self>, crashes: &[UpstreamCrash]) {
        if crashes.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        for crash in crashes {
            let process =
                CrashedProcess { upstream: crash.upstream.clone(), started_unix_ms: crash.started_unix_ms };
            inner.crashing_requests.record_crash(crash.fingerprint, process, now_ms);
        }
        drop(inner);
        self.schedule_publication();
    }

    /// Records outcomes of requests that nodes report to this node as the leader, and publishes what follows soon.
    pub(crate) fn record_outcomes(self: &Arc<Self>, outcomes: &[TimedOutcome]) {
        let mut inner = self.lock();
        for outcome in outcomes {
            match outcome.broken_run(self.start) {
                Some(run) => inner.crashing_parts.record_crash(outcome.parts(), &run),
                None => inner.record_completion(outcome.parts()),
            }
        }
        drop(inner);
        self.schedule_publication();
    }

    /// Publishes crashes soon, together with others of that time.
    fn schedule_publication(self: &Arc<Self>) {
        let Some(delay) = self.lock().publication_delay() else { return };
        let store = Arc::clone(self);
        tokio::spawn(async move {
            sleep(delay).await;
            store.publish_crashes();
        });
    }

    /// Publishes the number of crashes by request fingerprint and by part of a prompt.
    fn publish_crashes(&self) {
        let counts = self.lock().crash_counts(self.now_ms());
        self.change(false, |published| published.crash_counts = counts);
    }

    /// Applies a change. If nothing changes the number stays, unless `is_renewed`, so that nodes are not sent the same state
    /// again.
    fn change(&self, is_renewed: bool, change: impl FnOnce(&mut PublishedUpstreams)) {
        let known = self.get();
        if known.source != self.own_source {
            self.lock().inherit(&known);
        }
        self.sender.send_if_modified(|shared| {
            let mut published = PublishedUpstreams::clone(shared);
            change(&mut published);
            if !is_renewed && published == **shared && published.source == self.own_source {
                return false;
            }
            published.number += 1;
            published.source.clone_from(&self.own_source);
            *shared = Arc::new(published);
            true
        });
    }

    /// Returns the time on the clock of the evidence.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Keeps what another publisher has blocked.
    fn inherit(&mut self, known: &PublishedUpstreams) {
        let blocked = known.crash_counts.iter().filter(|(_, count)| **count >= CRASHES_TO_BLOCK);
        let blocked = blocked.map(|(key, count)| (*key, *count)).collect();
        self.inherited = Some((blocked, BootInstant::now()));
    }

    /// Logs the parts of prompts that are blocked, if they changed.
    fn log_blocked_parts(&mut self, counts: &BTreeMap<u64, u32>) {
        let blocked = counts.iter().filter(|(_, count)| **count >= CRASHES_TO_BLOCK);
        let blocked: BTreeSet<u64> = blocked.map(|(part, _)| *part).collect();
        if blocked != self.blocked_parts {
            let suspected = counts.len() - blocked.len();
            log::info!("blocked parts of prompts: {blocked:?}; under suspicion: {suspected}");
            self.blocked_parts = blocked;
        }
    }

    /// Clears what a completed request is known by: its fingerprint and the parts of its prompt.
    fn record_completion(&mut self, keys: &[u64]) {
        self.crashing_parts.record_completion(keys);
        for key in keys {
            self.crashing_requests.record_completion(*key);
        }
        if let Some((blocked, _)) = &mut self.inherited {
            blocked.retain(|key, _| !keys.contains(key));
        }
    }

    /// Returns the delay after which crashes are to be published; `None` if a publication is already scheduled.
    fn publication_delay(&mut self) -> Option<Duration> {
        let now = BootInstant::now();
        if self.crashes_due_at.is_some_and(|due_at| due_at > now) {
            return None;
        }
        let due_at = self.crashes_due_at.map_or(now, |last| now.max(last + CRASH_INTERVAL));
        self.crashes_due_at = Some(due_at);
        Some(due_at.since(now))
    }

    /// Returns the crashes by fingerprint and by part of a prompt, those with the most only.
    fn crash_counts(&mut self, now_ms: u64) -> BTreeMap<u64, u32> {
        self.crashing_requests.expire(now_ms);
        self.crashing_parts.expire(now_ms);
        let mut by_key: BTreeMap<u64, u32> = self.crashing_requests.counts().collect();
        let by_part = self.crashing_parts.counts();
        self.log_blocked_parts(&by_part);
        by_key.extend(by_part);
        self.inherited.take_if(|(_, at)| at.elapsed() >= EVIDENCE_TIMEOUT);
        for (key, inherited) in self.inherited.iter().flat_map(|(blocked, _)| blocked) {
            let count = by_key.entry(*key).or_default();
            *count = (*count).max(*inherited);
        }
        let mut counts: Vec<(u64, u32)> = by_key.into_iter().collect();
        counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        counts.truncate(MAX_CRASH_COUNTS);
        counts.into_iter().collect()
    }
}
