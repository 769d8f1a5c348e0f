//! Where streams began: entry nodes report it to a control node, which passes it on to the other control nodes. So it
//! outlives the entry nodes and any one control node.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::{
    ids::{InstanceId, ServiceName, SoftwareVersion},
    software_history::SoftwareHistory,
    stream_origins::StreamOrigins,
};
use daisysill_wire::peer::{PeerClient, Spread, StreamOrigin};
use futures::{FutureExt, StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

use crate::{clock::BootInstant, driver::ReplicaView, link::Links, soft_state::SoftState};

/// Time for which origins are collected before they are reported. Callers take up a stream after it broke, and a new
/// connection alone takes them some milliseconds.
const COLLECT_TIME: Duration = Duration::from_millis(15);
/// Delay before a report is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a question that an entry node asks; the caller waits for the answer.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of the questions that a control node asks the others to answer that one.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of origins queued; further ones are not reported.
const MAX_QUEUED: usize = 20_000;

#[derive(Debug)]
struct Inner {
    known: StreamOrigins,
    history: SoftwareHistory,
    queued: Vec<StreamOrigin>,
}

/// The origins that this node knows, and those that it has yet to report.
#[derive(Debug)]
pub(crate) struct OriginStore {
    start: BootInstant,
    has_queued: Notify,
    inner: Mutex<Inner>,
}

impl Default for OriginStore {
    fn default() -> Self {
        let inner = Inner {
            known: StreamOrigins::default(),
            history: SoftwareHistory::default(),
            queued: Vec::new(),
        };
        Self { start: BootInstant::now(), has_queued: Notify::new(), inner: Mutex::new(inner) }
    }
}

impl OriginStore {
    /// Records origins, and queues them to be reported if they are to be spread.
    pub(crate) fn record(&self, origins: Vec<StreamOrigin>, spread: Spread) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        for origin in &origins {
            inner.known.record(now_ms, origin.stream, &origin.software);
        }
        drop(inner);
        if spread == Spread::ToControlNodes {
            self.queue(origins);
        }
    }

    /// Returns the software version at which a stream began, if this node was told.
    pub(crate) fn find(&self, stream: u64) -> Option<SoftwareVersion> {
        let now_ms = self.now_ms();
        self.lock().known.find(now_ms, stream).cloned()
    }

    /// Records a reading of the list: the service and the software version of each upstream.
    pub(crate) fn record_listed<'a>(
        &self,
        listed: impl IntoIterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) {
        let now_ms = self.now_ms();
        self.lock().history.record(now_ms, listed);
    }

    /// Returns the only software version at which a recent stream of a service can have begun, if there is one.
    pub(crate) fn sole_version(&self, service: &ServiceName) -> Option<SoftwareVersion> {
        let now_ms = self.now_ms();
        self.lock().history.sole_version(now_ms, service).cloned()
    }

    fn queue(&self, origins: Vec<StreamOrigin>) {
        let mut inner = self.lock();
        let room = MAX_QUEUED.saturating_sub(inner.queued.len());
        inner.queued.extend(origins.into_iter().take(room));
        drop(inner);
        self.has_queued.notify_one();
    }

    fn take_queued(&self) -> Vec<StreamOrigin> {
        std::mem::take(&mut self.lock().queued)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The nodes to which a node turns with origins, and with questions for them.
#[derive(Clone, Debug)]
pub(crate) struct OriginPeers {
    pub(crate) name: InstanceId,
    pub(crate) links: Links,
    /// This node's replica; entry nodes have none.
    replica: watch::Receiver<ReplicaView>,
    /// The control node that an entry node polls.
    source: watch::Receiver<Option<InstanceId>>,
}

impl OriginPeers {
    /// Creates the peers of the node `name`; `source` is the control node that it polls.
    pub(crate) fn new(
        name: &InstanceId,
        links: &Links,
        replica: &watch::Receiver<ReplicaView>,
        source: watch::Receiver<Option<InstanceId>>,
    ) -> Self {
        Self { name: name.clone(), links: links.clone(), replica: replica.clone(), source }
    }

    /// Reports queued origins until the task is aborted.
    pub(crate) async fn run(self, soft_state: Arc<SoftState>) {
        let store = &soft_state.origins;
        loop {
            store.has_queued.notified().await;
            sleep(COLLECT_TIME).await;
            let origins = store.take_queued();
            if !origins.is_empty() && !self.report(&origins).await {
                store.queue(origins);
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Asks for the software version at which a stream of a service began; `None` if nobody can tell.
    pub(crate) async fn ask(&self, stream: u64, service: &ServiceName) -> Option<SoftwareVersion> {
        let spread = self.spread();
        let limit = match spread {
            Spread::ToControlNodes => QUESTION_TIMEOUT,
            Spread::None => SPREAD_TIMEOUT,
        };
        let questions = self.targets().into_iter().map(|target| {
            let (links, service) = (&self.links, service.clone());
            async move {
                let link = links.get(&target)?;
                let call = move |client: PeerClient, context| {
                    async move { client.stream_origin(context, stream, service, spread).await }.boxed()
                };
                link.call(limit, call).await.ok().flatten()
            }
        });
        let mut answers: FuturesUnordered<_> = questions.collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// Sends origins to each target; returns whether one has them, or there is none to send them to.
    async fn report(&self, origins: &[StreamOrigin]) -> bool {
        let spread = self.spread();
        let targets = self.targets();
        let is_alone = targets.is_empty() && self.has_replica();
        let reports = targets.into_iter().map(|target| {
            let (links, origins) = (&self.links, origins.to_vec());
            async move {
                let Some(link) = links.get(&target) else { return false };
                let call = move |client: PeerClient, context| {
                    async move { client.stream_origins(context, origins, spread).await }.boxed()
                };
                link.call(REPORT_TIMEOUT, call).await.is_ok()
            }
        });
        let mut is_reported = is_alone;
        let mut reports: FuturesUnordered<_> = reports.collect();
        while let Some(sent) = reports.next().await {
            is_reported |= sent;
        }
        is_reported
    }

    /// Returns the control nodes that this node turns to: an entry node the one that it polls, a control node all others.
    pub(crate) fn targets(&self) -> Vec<InstanceId> {
        let replica = self.replica.borrow();
        match &replica.status {
            Some(status) => status.voters.voters.keys().filter(|name| **name != self.name).cloned().collect(),
            None => self.source.borrow().iter().cloned().collect(),
        }
    }

    /// Returns whether the targets turn to further nodes.
    pub(crate) fn spread(&self) -> Spread {
        if self.has_replica() { Spread::None } else { Spread::ToControlNodes }
    }

    fn has_replica(&self) -> bool {
        self.replica.borrow().status.is_some()
    }
}
