//! Bounded queues of protocol messages to other replicas.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::PeerClient;
use futures::{FutureExt, StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::Notify,
    task::{AbortHandle, JoinSet},
};

use crate::{
    link::{Link, Links},
    metrics::ClusterMetrics,
};

/// Maximum bytes queued for one peer; further messages are dropped, and the protocol sends them again.
const MAX_QUEUE_BYTES: usize = 4 * 1_024 * 1_024;
/// Maximum bytes of the messages in one call; a larger message is sent alone.
const MAX_CALL_BYTES: usize = 1_024 * 1_024;
/// Maximum calls to one peer without a response; further messages wait. A response carries nothing, so a heartbeat must
/// not wait for it: heartbeats of the longest election timeout (800 ms) can be on the way.
const MAX_CALLS_IN_FLIGHT: usize = 8;
/// Timeout of a call, in addition to its transfer time.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Lowest transfer rate assumed; a slower connection counts as unresponsive.
const MIN_BYTES_PER_MS: usize = 500;

#[derive(Debug, Default)]
struct Queue {
    messages: VecDeque<Vec<u8>>,
    bytes: usize,
}

#[derive(Debug, Default)]
struct PeerQueue {
    queue: Mutex<Queue>,
    filled: Notify,
}

/// The message queues, one for each peer that was sent a message.
#[derive(Debug)]
pub(crate) struct Outbox {
    links: Links,
    metrics: ClusterMetrics,
    queues: BTreeMap<InstanceId, Arc<PeerQueue>>,
    tasks: JoinSet<()>,
}

impl Outbox {
    /// Creates an outbox without queues.
    pub(crate) fn new(links: Links, metrics: ClusterMetrics) -> Self {
        Self { links, metrics, queues: BTreeMap::new(), tasks: JoinSet::new() }
    }

    /// Queues a message; drops it if the peer is unknown or its queue is full.
    pub(crate) fn send(&mut self, to: &InstanceId, message: Vec<u8>) {
        let Some(peer) = self.queue(to) else { return };
        let mut queue = peer.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.bytes + message.len() > MAX_QUEUE_BYTES && !queue.messages.is_empty() {
            self.metrics.dropped_messages.inc();
            return;
        }
        queue.bytes += message.len();
        queue.messages.push_back(message);
        drop(queue);
        peer.filled.notify_one();
    }

    fn queue(&mut self, to: &InstanceId) -> Option<Arc<PeerQueue>> {
        if let Some(peer) = self.queues.get(to) {
            return Some(Arc::clone(peer));
        }
        let link = self.links.get(to)?;
        let peer = Arc::new(PeerQueue::default());
        self.queues.insert(to.clone(), Arc::clone(&peer));
        let _: AbortHandle = self.tasks.spawn(deliver(link, Arc::clone(&peer)));
        Some(peer)
    }
}

async fn deliver(link: Arc<Link>, peer: Arc<PeerQueue>) {
    let mut calls = FuturesUnordered::new();
    loop {
        let has_capacity = calls.len() < MAX_CALLS_IN_FLIGHT;
        let messages = if has_capacity { take_batch(&peer) } else { Vec::new() };
        if !messages.is_empty() {
            calls.push(replicate(&link, messages));
            continue;
        }
        tokio::select! {
            Some(()) = calls.next() => {}
            () = peer.filled.notified(), if has_capacity => {}
        }
    }
}

async fn replicate(link: &Link, messages: Vec<Vec<u8>>) {
    let bytes: usize = messages.iter().map(Vec::len).sum();
    let transfer_time = Duration::from_millis((bytes / MIN_BYTES_PER_MS) as u64);
    let call =
        move |client: PeerClient, context| async move { client.replicate(context, messages).await }.boxed();
    // A failed call loses its messages, which the protocol tolerates.
    let _ = link.call(CALL_TIMEOUT + transfer_time, call).await;
}

fn take_batch(peer: &PeerQueue) -> Vec<Vec<u8>> {
    let mut queue = peer.queue.lock().unwrap_or_else(PoisonError::into_inner);
    let mut batch = Vec::new();
    let mut bytes = 0;
    while let Some(message) = queue.messages.front() {
        if !batch.is_empty() && bytes + message.len() > MAX_CALL_BYTES {
            break;
        }
        bytes += message.len();
        batch.extend(queue.messages.pop_front());
    }
    queue.bytes -= bytes;
    batch
}
