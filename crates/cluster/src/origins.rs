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
    time::{sleep, timeout},
};

use crate::{
    clock::BootInstant,
    driver::ReplicaView,
    link::{CallError, Links},
    soft_state::SoftState,
};

/// Time for which origins are collected before they are reported. Callers take up a stream after it broke, and a new
/// connection alone takes them some milliseconds.
const COLLECT_TIME: Duration = Duration::from_millis(15);
/// Delay before a report is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a question for what a control node knows itself; the caller waits for the answer.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of the questions that a control node asks the others.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(150);
/// Time in which the next reading of the list reaches all control nodes; the leader begins one about every second.
const READING_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Timeout of a question that a control node may answer after that reading only.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(2);
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
    /// Notified of each reading of the list.
    readings: watch::Sender<()>,
    inner: Mutex<Inner>,
}

impl Default for OriginStore {
    fn default() -> Self {
        let inner = Inner {
            known: StreamOrigins::default(),
            history: SoftwareHistory::default(),
            queued: Vec::new(),
        };
        Self {
            start: BootInstant::now(),
            has_queued: Notify::new(),
            readings: watch::Sender::new(()),
            inner: Mutex::new(inner),
        }
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

    /// Records a reading of the list that began at `begun_at` or later: the service and the software version of each
    /// upstream.
    pub(crate) fn record_listed<'a>(
        &self,
        begun_at: BootInstant,
        listed: impl IntoIterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) {
        let begun_ms = self.ms_at(begun_at);
        self.lock().history.record(begun_ms, listed);
        self.readings.send_replace(());
    }

    /// Returns the only software version at which a stream of a service can have begun that was asked for at `asked_at`.
    /// Waits for a reading of the list that began later; `None` if it does not arrive or there is no such version.
    pub(crate) async fn sole_version(
        &self,
        asked_at: BootInstant,
        service: &ServiceName,
    ) -> Option<SoftwareVersion> {
        let asked_ms = self.ms_at(asked_at);
        let mut readings = self.readings.subscribe();
        let is_decided = |(): &()| {
            let Inner { history, .. } = &*self.lock();
            !history.may_be_sole(asked_ms, service) || history.is_read_after(asked_ms)
        };
        timeout(READING_TIMEOUT, readings.wait_for(is_decided)).await.ok()?.ok()?;
        self.lock().history.sole_version(asked_ms, service).cloned()
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
        self.ms_at(BootInstant::now())
    }

    fn ms_at(&self, at: BootInstant) -> u64 {
        u64::try_from(at.since(self.start).as_millis()).unwrap_or(u64::MAX)
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
        let answers = self.targets().into_iter().map(|target| self.ask_one(target, stream, service));
        let mut answers: FuturesUnordered<_> = answers.collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// Asks one control node. An entry node has it search only if it answers at once that it does not know the stream, since
    /// a search takes as long as the next reading of the list, and a node that is lost would be waited for.
    async fn ask_one(
        &self,
        target: InstanceId,
        stream: u64,
        service: &ServiceName,
    ) -> Option<SoftwareVersion> {
        if self.has_replica() {
            return self.call(&target, stream, service, Spread::None, SPREAD_TIMEOUT).await.ok()?;
        }
        let known = self.call(&target, stream, service, Spread::None, QUESTION_TIMEOUT).await.ok()?;
        if known.is_some() {
            return known;
        }
        self.call(&target, stream, service, Spread::ToControlNodes, SEARCH_TIMEOUT).await.ok()?
    }

    async fn call(
        &self,
        target: &InstanceId,
        stream: u64,
        service: &ServiceName,
        spread: Spread,
        limit: Duration,
    ) -> Result<Option<SoftwareVersion>, CallError> {
        let link = self.links.get(target).ok_or(CallError::NotSent)?;
        let service = service.clone();
        let call = move |client: PeerClient, context| {
            async move { client.stream_origin(context, stream, service, spread).await }.boxed()
        };
        link.call(limit, call).await
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
