//! The places that this node grants as the leader: one queue for each service, and the requests that wait.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::{
    ids::ServiceName,
    place_queue::{PlaceDemand, PlaceEnd, PlaceGrant, PlaceQueue},
};
use daisysill_wire::peer::{PlaceAnswer, PlaceRelease, PlaceRequest};
use tokio::{sync::oneshot, time::timeout};

use crate::{clock::BootInstant, place_metrics::PlaceMetrics, soft_state::SoftState};

/// Interval at which a waiting request checks for places that became free without a release.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Reported loads are read again after this time.
const REPORT_INTERVAL_MS: u64 = 20;
/// Requests for places that are queued in a second. A control node with 0.3 of a core has other work as well.
const MAX_REQUESTS_PER_S: u32 = 1_200;
/// Services with a queue.
const MAX_SERVICES: usize = 64;
/// Longest time for which a request may wait; after it the request is refused.
const MAX_WAIT_MS: u64 = 10_000;
/// Retry-after of a request that has waited as long as it could.
const WAITED_RETRY_MS: u64 = 100;

#[derive(Debug, Default)]
struct ServiceQueue {
    queue: PlaceQueue,
    waiters: HashMap<u64, oneshot::Sender<PlaceGrant>>,
    counted_expired: u64,
}

#[derive(Debug, Default)]
struct Inner {
    /// Term in which this node leads; the queues of an earlier one are dropped.
    term: u64,
    /// Places are numbered from a random number on, so that a place of another leader is not taken for one of this one.
    last_place: u64,
    queues: BTreeMap<ServiceName, ServiceQueue>,
    /// A second, and the requests for places in it.
    requests: (u64, u32),
    reports_read_ms: Option<u64>,
}

/// The places of all services.
#[derive(Debug)]
pub(crate) struct PlaceTable {
    inner: Mutex<Inner>,
    origin: BootInstant,
    metrics: PlaceMetrics,
}

/// How a request for a place begins.
enum Begun {
    Waits(u64, oneshot::Receiver<PlaceGrant>),
    Answered(PlaceAnswer),
}

impl PlaceTable {
    pub(crate) fn new(metrics: &PlaceMetrics) -> Self {
        Self { inner: Mutex::default(), origin: BootInstant::now(), metrics: metrics.clone() }
    }

    /// Answers a request for a place once it has one or would be late; to be called while this node leads in `term`.
    pub(crate) async fn acquire(&self, term: u64, loads: &SoftState, request: PlaceRequest) -> PlaceAnswer {
        let PlaceRequest { service, candidates, max_wait_ms, goal_ms, deadline_ms, urgency } = request;
        let max_wait_ms = max_wait_ms.min(MAX_WAIT_MS);
        let demand = PlaceDemand { candidates, max_wait_ms, goal_ms, deadline_ms, urgency };
        let (place, mut granted) = match self.begin(term, loads, &service, demand) {
            Begun::Waits(place, granted) => (place, granted),
            Begun::Answered(answer) => return answer,
        };
        let mut waiting = WaitingRequest { table: self, service, place, is_answered: false };
        let began = BootInstant::now();
        loop {
            let left = Duration::from_millis(max_wait_ms).saturating_sub(began.elapsed());
            match timeout(RECHECK_INTERVAL.min(left), &mut granted).await {
                Ok(Ok(grant)) => {
                    waiting.is_answered = true;
                    self.metrics.granted.inc();
                    self.metrics.wait_seconds.observe(grant.waited_ms as f64 / 1_000.0);
                    return PlaceAnswer::Granted { place, upstream: grant.upstream };
                }
                // The queue of an earlier term was dropped.
                Ok(Err(_)) => return PlaceAnswer::NotLeader,
                Err(_) if began.elapsed() >= Duration::from_millis(max_wait_ms) => {
                    self.metrics.refused.inc();
                    return PlaceAnswer::Refused { retry_after_ms: WAITED_RETRY_MS };
                }
                Err(_) => self.recheck(loads, &waiting.service),
            }
        }
    }

    /// Releases places; those that this node has not granted in this term are ignored.
    pub(crate) fn release(&self, releases: &[PlaceRelease]) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        for release in releases {
            let Some(queue) = inner.queues.get_mut(&release.service) else { continue };
            let grants = queue.queue.release(now_ms, release.place, release.end);
            queue.deliver(now_ms, grants);
        }
        inner.update_metrics(&self.metrics);
    }

    /// Takes a request into the queue of its service.
    fn begin(&self, term: u64, loads: &SoftState, service: &ServiceName, demand: PlaceDemand) -> Begun {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        if !inner.enter_term(term) {
            return Begun::Answered(PlaceAnswer::NotLeader);
        }
        let has_room = inner.queues.len() < MAX_SERVICES || inner.queues.contains_key(service);
        if !has_room || !inner.admits(now_ms) {
            self.metrics.overloaded.inc();
            return Begun::Answered(PlaceAnswer::Overloaded);
        }
        inner.last_place = inner.last_place.wrapping_add(1);
        let place = inner.last_place;
        let is_new = !inner.queues.contains_key(service);
        if is_new {
            log::info!("grants places of service {service} in term {term}");
        }
        let queue = inner.queues.entry(service.clone()).or_default();
        for candidate in &demand.candidates {
            queue.queue.record_named(now_ms, *candidate);
        }
        if is_new {
            inner.reports_read_ms = None;
        }
        inner.read_reports(now_ms, loads);
        let (waiter, granted) = oneshot::channel();
        let queue = inner.queues.entry(service.clone()).or_default();
        queue.waiters.insert(place, waiter);
        let decision = queue.queue.acquire(now_ms, place, demand);
        queue.deliver(now_ms, decision.grants);
        let begun = match decision.retry_after_ms {
            Some(retry_after_ms) => {
                queue.waiters.remove(&place);
                self.metrics.refused.inc();
                Begun::Answered(PlaceAnswer::Refused { retry_after_ms })
            }
            None => Begun::Waits(place, granted),
        };
        inner.update_metrics(&self.metrics);
        begun
    }

    /// Grants places that became free without a release.
    fn recheck(&self, loads: &SoftState, service: &ServiceName) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        inner.read_reports(now_ms, loads);
        if let Some(queue) = inner.queues.get_mut(service) {
            let grants = queue.queue.grant_free(now_ms);
            queue.deliver(now_ms, grants);
        }
        inner.update_metrics(&self.metrics);
    }

    /// Ends a request whose answer nobody gets.
    fn abandon(&self, service: &ServiceName, place: u64) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        if let Some(queue) = inner.queues.get_mut(service) {
            queue.waiters.remove(&place);
            if !queue.queue.cancel(place) {
                let grants = queue.queue.release(now_ms, place, PlaceEnd::Failed);
                queue.deliver(now_ms, grants);
            }
        }
        inner.update_metrics(&self.metrics);
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Drops the queues of an earlier term; returns whether `term` is the present one. A request that read an earlier term before this
    /// node was elected again must not drop the present queues.
    fn enter_term(&mut self, term: u64) -> bool {
        if term > self.term {
            *self = Self { term, last_place: rand::random(), ..Self::default() };
        }
        term == self.term
    }

    /// Counts a request; returns whether the leader can serve it.
    fn admits(&mut self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if self.requests.0 != second {
            self.requests = (second, 0);
        }
        self.requests.1 += 1;
        self.requests.1 <= MAX_REQUESTS_PER_S
    }

    /// Reads the loads that the nodes report, unless they were read recently.
    fn read_reports(&mut self, now_ms: u64, loads: &SoftState) {
        if self.reports_read_ms.is_some_and(|at_ms| now_ms < at_ms + REPORT_INTERVAL_MS) {
            return;
        }
        self.reports_read_ms = Some(now_ms);
        let loads = loads.totals();
        let reported: HashMap<u64, u32> = loads.iter().map(|load| (load.upstream, load.requests)).collect();
        for queue in self.queues.values_mut() {
            queue.queue.record_reported(now_ms, |upstream| reported.get(&upstream).copied().unwrap_or(0));
        }
    }

    fn update_metrics(&mut self, metrics: &PlaceMetrics) {
        let mut waiting = 0;
        for queue in self.queues.values_mut() {
            waiting += queue.queue.waiting();
            let expired = queue.queue.expired();
            metrics.expired.inc_by(expired - queue.counted_expired);
            queue.counted_expired = expired;
        }
        metrics.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }
}

impl ServiceQueue {
    /// Wakes the requests that got places. A place whose request has gone is granted to the next one.
    fn deliver(&mut self, now_ms: u64, grants: Vec<PlaceGrant>) {
        let mut left = grants;
        while let Some(grant) = left.pop() {
            let waiter = self.waiters.remove(&grant.ticket);
            if waiter.is_none_or(|waiter| waiter.send(grant).is_err()) {
                left.extend(self.queue.release(now_ms, grant.ticket, PlaceEnd::Failed));
            }
        }
    }
}

/// A request that waits; it is withdrawn on drop, unless it was answered.
struct WaitingRequest<'a> {
    table: &'a PlaceTable,
    service: ServiceName,
    place: u64,
    is_answered: bool,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.table.abandon(&self.service, self.place);
        }
    }
}
