//! Queues of protocol messages to other replicas, bounded in bytes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::PeerClient;
use futures::FutureExt;
use tokio::{
    sync::Notify,
    task::{AbortHandle, JoinSet},
};

use crate::{
    link::{Link, Links},
    metrics::ClusterMetrics,
};

/// Bytes that wait for one peer at most; what comes on top is dropped, and the protocol sends it again.
const QUEUE_BYTES: usize = 4 * 1_024 * 1_024;
/// Bytes of one call.
const CALL_BYTES: usize = 1_024 * 1_024;
/// Time for an answer, apart from the transfer itself.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Slowest transfer that is not taken for a silent connection.
const SLOWEST_BYTES_PER_MS: usize = 500;

#[derive(Debug, Default)]
struct Queue {
    messages: VecDeque<Vec<u8>>,
    bytes: usize,
}

#[derive(Debug, Default)]
struct Shared {
    queue: Mutex<Queue>,
    filled: Notify,
}

/// The queues to all peers that were sent anything.
#[derive(Debug)]
pub(crate) struct Outbox {
    links: Links,
    metrics: ClusterMetrics,
    queues: BTreeMap<InstanceId, Arc<Shared>>,
    tasks: JoinSet<()>,
}

impl Outbox {
    /// Starts with no queue.
    pub(crate) fn new(links: Links, metrics: ClusterMetrics) -> Self {
        Self { links, metrics, queues: BTreeMap::new(), tasks: JoinSet::new() }
    }

    /// Queues a message; drops it if the peer is unknown or its queue is full.
    pub(crate) fn send(&mut self, to: &InstanceId, message: Vec<u8>) {
        let Some(shared) = self.queue(to) else { return };
        let mut queue = shared.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.bytes + message.len() > QUEUE_BYTES && !queue.messages.is_empty() {
            self.metrics.dropped_messages.inc();
            return;
        }
        queue.bytes += message.len();
        queue.messages.push_back(message);
        drop(queue);
        shared.filled.notify_one();
    }

    fn queue(&mut self, to: &InstanceId) -> Option<Arc<Shared>> {
        if let Some(shared) = self.queues.get(to) {
            return Some(Arc::clone(shared));
        }
        let link = self.links.get(to)?;
        let shared = Arc::new(Shared::default());
        self.queues.insert(to.clone(), Arc::clone(&shared));
        let _: AbortHandle = self.tasks.spawn(deliver(link, Arc::clone(&shared)));
        Some(shared)
    }
}

async fn deliver(link: Arc<Link>, shared: Arc<Shared>) {
    loop {
        let messages = take(&shared);
        if messages.is_empty() {
            shared.filled.notified().await;
            continue;
        }
        let bytes: usize = messages.iter().map(Vec::len).sum();
        let transfer = Duration::from_millis((bytes / SLOWEST_BYTES_PER_MS) as u64);
        let call = move |client: PeerClient, context| {
            async move { client.replicate(context, messages).await }.boxed()
        };
        // A lost call is a lost message, which the protocol expects.
        let _ = link.call(CALL_TIMEOUT + transfer, call).await;
    }
}

fn take(shared: &Shared) -> Vec<Vec<u8>> {
    let mut queue = shared.queue.lock().unwrap_or_else(PoisonError::into_inner);
    let mut taken = Vec::new();
    let mut bytes = 0;
    while let Some(message) = queue.messages.front() {
        if !taken.is_empty() && bytes + message.len() > CALL_BYTES {
            break;
        }
        bytes += message.len();
        taken.extend(queue.messages.pop_front());
    }
    queue.bytes -= bytes;
    taken
}
