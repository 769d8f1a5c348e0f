//! Admission control: bounded queues and concurrency slots for each service on this node.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use daisysill_core::{
    admission::{
        Admission, AdmissionPolicy, ConcurrencyPolicy, Dequeued, Offer, Outcome, Preview, Ticket, Verdict,
    },
    ids::{CustomerId, ServiceName},
    result_code::ResultCode,
    rules::ShareRules,
};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{metrics::Metrics, refusal::Refusal};

/// Longest queue of one customer and service on a node, in requests.
const MAX_QUEUE_PER_CUSTOMER: usize = 64;
/// Longest queue of one service on a node, in requests.
const MAX_QUEUE: usize = 512;
/// Largest factor by which the concurrency limit of a service falls below or rises above its setting.
const SLOT_RANGE_FACTOR: u64 = 8;

/// Admits requests of each service to its slots, and queues those beyond.
#[derive(Debug)]
pub struct AdmissionController {
    metrics: Arc<Metrics>,
    started: Instant,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    services: BTreeMap<ServiceName, Admission>,
    waiting: BTreeMap<(ServiceName, Ticket), oneshot::Sender<AdmissionSlot>>,
}

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Has a queue and a share of its own within the service.
    pub customer: &'a CustomerId,
    /// Has slots and queues of its own.
    pub service: &'a ServiceName,
    /// Customers' shares from the service's rules.
    pub shares: &'a ShareRules,
    /// Initial concurrency limit, from the settings; only the first request of a service sets it.
    pub slots: u64,
    /// When the response must be complete.
    pub deadline: Instant,
}

impl AdmissionController {
    /// Starts without queues; each service is added with its first request.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { metrics, started: Instant::now(), inner: Mutex::default() }
    }

    /// Waits for a slot; dropping the future removes the request from its queue.
    ///
    /// # Errors
    /// Refuses a request at once if it cannot start in time or its queue is full, and later if it waited past
    /// its deadline.
    pub async fn admit(self: &Arc<Self>, request: &AdmissionRequest<'_>) -> Result<AdmissionSlot, Refusal> {
        let (ticket, receiver, reason) = match self.offer(request) {
            OfferResult::Admitted(slot) => return Ok(slot),
            OfferResult::Refused(refusal) => return Err(refusal),
            OfferResult::Queued(ticket, receiver, reason) => (ticket, receiver, reason),
        };
        self.metrics.queued_requests.inc();
        let arrived = Instant::now();
        let entry = QueueEntry { controller: self, service: request.service, ticket };
        let slot = timeout_at(request.deadline, receiver).await;
        drop(entry);
        let waited_ms = arrived.elapsed().as_millis();
        if let Ok(Ok(mut slot)) = slot {
            slot.reason = format!("{reason}; started after {waited_ms} ms");
            return Ok(slot);
        }
        self.metrics.admission_refusals.inc();
        let retry_after_ms = self.expected_wait_ms(request);
        let message = format!("{reason}; no slot within {waited_ms} ms, come back in {retry_after_ms} ms");
        Err(Refusal::new(ResultCode::DeadlineUnreachable, message).retry_after_ms(retry_after_ms))
    }

    /// Returns what would happen to a request now, without a change.
    pub fn preview(&self, request: &AdmissionRequest<'_>) -> Preview {
        let known = self.lock().services.get(request.service).cloned();
        let admission = known.unwrap_or_else(|| Admission::new(policy(request)));
        admission.preview(&offer_of(request, &admission))
    }

    fn offer(self: &Arc<Self>, request: &AdmissionRequest<'_>) -> OfferResult {
        let mut inner = self.lock();
        let admission = inner.service(request);
        let offer = offer_of(request, admission);
        let decision = admission.offer(self.now_ms(), &offer);
        match decision.verdict {
            Verdict::Admit(ticket) => {
                OfferResult::Admitted(self.slot(request.service, ticket, decision.reason))
            }
            Verdict::Queue(ticket) => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert((request.service.clone(), ticket), sender);
                OfferResult::Queued(ticket, receiver, decision.reason)
            }
            Verdict::Refuse { code, retry_after_ms } => {
                self.metrics.admission_refusals.inc();
                OfferResult::Refused(Refusal::new(code, decision.reason).retry_after_ms(retry_after_ms))
            }
        }
    }

    fn expected_wait_ms(&self, request: &AdmissionRequest<'_>) -> u64 {
        self.lock().service(request).expected_wait_ms(request.customer, share(request))
    }

    fn slot(self: &Arc<Self>, service: &ServiceName, ticket: Ticket, reason: String) -> AdmissionSlot {
        AdmissionSlot {
            controller: Arc::clone(self),
            service: service.clone(),
            ticket,
            started: Instant::now(),
            outcome: None,
            reason,
        }
    }

    /// Releases a slot and starts the queued requests that now have one.
    fn release(self: &Arc<Self>, service: &ServiceName, ticket: Ticket, outcome: Outcome) {
        let mut inner = self.lock();
        if let Some(admission) = inner.services.get_mut(service) {
            admission.finish(ticket, outcome);
        }
        let started = self.start_queued(&mut inner, service);
        // `send` drops a slot whose receiver is gone, and dropping a slot takes the lock.
        drop(inner);
        for (sender, slot) in started {
            let _ = sender.send(slot);
        }
    }

    fn start_queued(
        self: &Arc<Self>,
        inner: &mut Inner,
        service: &ServiceName,
    ) -> Vec<(oneshot::Sender<AdmissionSlot>, AdmissionSlot)> {
        let mut started = Vec::new();
        let Inner { services, waiting } = inner;
        let Some(admission) = services.get_mut(service) else { return started };
        while let Some(next) = admission.next(self.now_ms()) {
            match next {
                Dequeued::Start(ticket) => {
                    // No slot may be dropped here: dropping takes the lock, which the caller holds.
                    match waiting.remove(&(service.clone(), ticket)) {
                        Some(sender) => started.push((sender, self.slot(service, ticket, String::new()))),
                        None => admission.finish(ticket, Outcome::Other),
                    }
                }
                // Dropping the sender wakes the receiver, which refuses the request.
                Dequeued::Expired(ticket) => drop(waiting.remove(&(service.clone(), ticket))),
            }
        }
        started
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn service(&mut self, request: &AdmissionRequest<'_>) -> &mut Admission {
        self.services.entry(request.service.clone()).or_insert_with(|| Admission::new(policy(request)))
    }
}

fn policy(request: &AdmissionRequest<'_>) -> AdmissionPolicy {
    let slots = request.slots.max(1);
    let concurrency = ConcurrencyPolicy {
        initial: slots,
        min: slots.div_ceil(SLOT_RANGE_FACTOR),
        max: slots.saturating_mul(SLOT_RANGE_FACTOR),
    };
    AdmissionPolicy { max_queue_per_customer: MAX_QUEUE_PER_CUSTOMER, max_queue: MAX_QUEUE, concurrency }
}

fn offer_of<'a>(request: &AdmissionRequest<'a>, admission: &Admission) -> Offer<'a> {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    Offer {
        customer: request.customer,
        share: share(request),
        // A request that starts later is expected to end past its deadline.
        start_within_ms: left_ms.saturating_sub(admission.service_ms()),
    }
}

fn share(request: &AdmissionRequest<'_>) -> u64 {
    let assigned = request.shares.by_customer.get(request.customer);
    assigned.copied().unwrap_or(request.shares.default_share)
}

enum OfferResult {
    Admitted(AdmissionSlot),
    Queued(Ticket, oneshot::Receiver<AdmissionSlot>, String),
    Refused(Refusal),
}

/// An entry in a queue; dropping it cancels the request unless it has started.
struct QueueEntry<'a> {
    controller: &'a AdmissionController,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut inner = self.controller.lock();
        if inner.waiting.remove(&(self.service.clone(), self.ticket)).is_some()
            && let Some(admission) = inner.services.get_mut(self.service)
        {
            admission.cancel(self.ticket);
        }
    }
}

/// The right to run one request; dropping it releases the slot and starts queued requests.
#[derive(Debug)]
pub struct AdmissionSlot {
    controller: Arc<AdmissionController>,
    service: ServiceName,
    ticket: Ticket,
    started: Instant,
    outcome: Option<Outcome>,
    /// Why the request was admitted, in one line for `daisysill explain`.
    pub reason: String,
}

impl AdmissionSlot {
    /// Records that the request was served; its duration goes into the expected service time.
    pub fn record_served(&mut self) {
        let service_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.outcome = Some(Outcome::Served { service_ms });
    }

    /// Records that an upstream refused the request as busy or that its deadline passed there, for which the
    /// concurrency limit is reduced.
    pub fn record_overload(&mut self) {
        self.outcome = Some(Outcome::Overloaded);
    }
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        self.controller.release(&self.service, self.ticket, self.outcome.unwrap_or(Outcome::Other));
    }
}
