//! The soft state that the leader shares with all nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::{PublishedUpstreams, UpstreamCrash, UpstreamEntry};
use tokio::sync::watch;

use crate::clock::BootInstant;

/// An entry node that has not asked for this time is not counted any more.
const ENTRY_NODE_LIFETIME: Duration = Duration::from_secs(4);
/// Request fingerprints of crashes remembered at most; the board stays small.
const MAX_FINGERPRINTS: usize = 512;

/// The board of this node, and since when it is known to be current.
#[derive(Debug)]
pub(crate) struct PublishedUpstreamsStore {
    /// Names the boards that this process makes.
    own_source: String,
    sender: watch::Sender<Arc<PublishedUpstreams>>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    current_at: Option<BootInstant>,
    heard: BTreeMap<InstanceId, BootInstant>,
    crashes: BTreeMap<u64, BTreeSet<(InstanceId, u64)>>,
}

impl PublishedUpstreamsStore {
    /// Starts with an empty board; `own_source` differs at every start of a process.
    pub(crate) fn new(own_source: String) -> Self {
        Self { own_source, sender: watch::channel(Arc::default()).0, inner: Mutex::default() }
    }

    /// Returns the board and its changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<PublishedUpstreams>> {
        self.sender.subscribe()
    }

    /// Returns the board.
    pub(crate) fn get(&self) -> Arc<PublishedUpstreams> {
        Arc::clone(&self.sender.borrow())
    }

    /// Returns the time since the board was known to be current.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.lock().current_at.map(BootInstant::elapsed)
    }

    /// Takes over a board of another node that was current at `at`.
    pub(crate) fn adopt(&self, published_upstreams: Option<Arc<PublishedUpstreams>>, at: BootInstant) {
        if let Some(published_upstreams) = published_upstreams {
            self.sender.send_replace(published_upstreams);
        }
        let mut inner = self.lock();
        inner.current_at = inner.current_at.max(Some(at));
    }

    /// Makes a board of upstreams that were listed at `at`.
    pub(crate) fn publish(&self, upstreams: Vec<UpstreamEntry>, at: BootInstant) {
        let mut inner = self.lock();
        inner.heard.retain(|_, heard| heard.elapsed() < ENTRY_NODE_LIFETIME);
        inner.current_at = Some(at);
        let entry_nodes = u32::try_from(inner.heard.len()).unwrap_or(u32::MAX);
        drop(inner);
        self.change(|published_upstreams| {
            published_upstreams.upstreams = upstreams;
            published_upstreams.entry_nodes = entry_nodes;
        });
    }

    /// Notes that an entry node has asked, and the crashes that it reports.
    pub(crate) fn heard(&self, node: &InstanceId, crashes: &[UpstreamCrash]) {
        let mut inner = self.lock();
        inner.heard.insert(node.clone(), BootInstant::now());
        if crashes.is_empty() {
            return;
        }
        for crash in crashes {
            let lost = inner.crashes.entry(crash.fingerprint).or_default();
            lost.insert((crash.upstream.clone(), crash.started_unix_ms));
        }
        let counts = inner.crashes.iter();
        let mut counts: Vec<(u64, u32)> =
            counts.map(|(print, lost)| (*print, u32::try_from(lost.len()).unwrap_or(u32::MAX))).collect();
        drop(inner);
        counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        counts.truncate(MAX_FINGERPRINTS);
        self.change(|published_upstreams| published_upstreams.crash_counts = counts.into_iter().collect());
    }

    /// Changes the board; without an effect it keeps its number, so that nobody is sent it again.
    fn change(&self, change: impl FnOnce(&mut PublishedUpstreams)) {
        self.sender.send_if_modified(|shared| {
            let mut published_upstreams = PublishedUpstreams::clone(shared);
            change(&mut published_upstreams);
            if published_upstreams == **shared && published_upstreams.source == self.own_source {
                return false;
            }
            published_upstreams.number += 1;
            published_upstreams.source.clone_from(&self.own_source);
            *shared = Arc::new(published_upstreams);
            true
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
