//! Admission of requests: queues and slots of each service on this node.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use daisysill_core::{
    admission::{Admission, AdmissionPolicy, ConcurrencyPolicy, Dequeued, Offer, Outcome, Ticket, Verdict},
    ids::{CustomerId, ServiceName},
    result_code::ResultCode,
    rules::ShareRules,
};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{metrics::Metrics, refusal::Refusal};

/// Requests of one customer and service that may wait on a node.
const MAX_QUEUE_PER_CUSTOMER: usize = 64;
/// Requests of one service that may wait on a node.
const MAX_QUEUE: usize = 512;
/// The concurrency limit of a service falls and rises by at most this factor from its setting.
const SLOT_RANGE: u64 = 8;

/// Queues and slots of each service on this node.
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

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The customer.
    pub customer: &'a CustomerId,
    /// The service.
    pub service: &'a ServiceName,
    /// Shares of the customers by the rule file.
    pub shares: &'a ShareRules,
    /// Slots of the service at the start.
    pub slots: u64,
    /// When the whole answer must be there.
    pub deadline: Instant,
}

impl AdmissionController {
    /// Creates empty queues.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { metrics, started: Instant::now(), inner: Mutex::default() }
    }

    /// Waits for a slot; dropping the future takes the request out of its queue.
    ///
    /// # Errors
    /// Refuses at once a request that cannot start in time or whose queue is full, and one that waited past
    /// its deadline.
    pub async fn admit(self: &Arc<Self>, request: &AdmissionRequest<'_>) -> Result<AdmissionSlot, Refusal> {
        let (ticket, receiver, reason) = match self.offer(request) {
            Offered::Admitted(slot) => return Ok(slot),
            Offered::Refused(refusal) => return Err(refusal),
            Offered::Queued(ticket, receiver, reason) => (ticket, receiver, reason),
        };
        self.metrics.queued_requests.inc();
        let arrived = Instant::now();
        let place = QueuePlace { gate: self, service: request.service, ticket };
        let slot = timeout_at(request.deadline, receiver).await;
        drop(place);
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

    fn offer(self: &Arc<Self>, request: &AdmissionRequest<'_>) -> Offered {
        let mut inner = self.lock();
        let admission = inner.service(request);
        let left = request.deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let offer = Offer {
            customer: request.customer,
            share: share(request),
            // A request that starts later than this ends past its deadline.
            start_within_ms: left_ms.saturating_sub(admission.service_ms()),
        };
        let decision = admission.offer(self.now_ms(), &offer);
        match decision.verdict {
            Verdict::Admit(ticket) => Offered::Admitted(self.slot(request.service, ticket, decision.reason)),
            Verdict::Queue(ticket) => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert((request.service.clone(), ticket), sender);
                Offered::Queued(ticket, receiver, decision.reason)
            }
            Verdict::Refuse { code, retry_after_ms } => {
                self.metrics.admission_refusals.inc();
                Offered::Refused(Refusal::new(code, decision.reason).retry_after_ms(retry_after_ms))
            }
        }
    }

    fn expected_wait_ms(&self, request: &AdmissionRequest<'_>) -> u64 {
        self.lock().service(request).expected_wait_ms(request.customer, share(request))
    }

    fn slot(self: &Arc<Self>, service: &ServiceName, ticket: Ticket, reason: String) -> AdmissionSlot {
        AdmissionSlot {
            gate: Arc::clone(self),
            service: service.clone(),
            ticket,
            started: Instant::now(),
            outcome: None,
            reason,
        }
    }

    /// Frees a slot and starts who may start now.
    fn end(self: &Arc<Self>, service: &ServiceName, ticket: Ticket, outcome: Outcome) {
        let mut inner = self.lock();
        if let Some(admission) = inner.services.get_mut(service) {
            admission.finish(ticket, outcome);
        }
        let started = self.start_waiting(&mut inner, service);
        // A slot whose receiver has gone is dropped by `send`, and its drop takes the lock.
        drop(inner);
        for (sender, slot) in started {
            let _ = sender.send(slot);
        }
    }

    fn start_waiting(
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
                    // A slot must not be dropped here: its drop takes the lock that the caller holds.
                    match waiting.remove(&(service.clone(), ticket)) {
                        Some(sender) => started.push((sender, self.slot(service, ticket, String::new()))),
                        None => admission.finish(ticket, Outcome::Other),
                    }
                }
                // Its receiver learns it from the dropped sender.
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
        let slots = request.slots.max(1);
        let concurrency = ConcurrencyPolicy {
            initial: slots,
            min: slots.div_ceil(SLOT_RANGE),
            max: slots.saturating_mul(SLOT_RANGE),
        };
        let policy = AdmissionPolicy {
            max_queue_per_customer: MAX_QUEUE_PER_CUSTOMER,
            max_queue: MAX_QUEUE,
            concurrency,
        };
        self.services.entry(request.service.clone()).or_insert_with(|| Admission::new(policy))
    }
}

fn share(request: &AdmissionRequest<'_>) -> u64 {
    let named = request.shares.by_customer.get(request.customer);
    named.copied().unwrap_or(request.shares.default_share)
}

enum Offered {
    Admitted(AdmissionSlot),
    Queued(Ticket, oneshot::Receiver<AdmissionSlot>, String),
    Refused(Refusal),
}

/// A place in a queue, given up when dropped unless the request has started.
struct QueuePlace<'a> {
    gate: &'a AdmissionController,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut inner = self.gate.lock();
        if inner.waiting.remove(&(self.service.clone(), self.ticket)).is_some()
            && let Some(admission) = inner.services.get_mut(self.service)
        {
            admission.cancel(self.ticket);
        }
    }
}

/// The right to run one request; given back when dropped.
#[derive(Debug)]
pub struct AdmissionSlot {
    gate: Arc<AdmissionController>,
    service: ServiceName,
    ticket: Ticket,
    started: Instant,
    outcome: Option<Outcome>,
    /// One line for `daisysill explain`.
    pub reason: String,
}

impl AdmissionSlot {
    /// Records that the request was served.
    pub fn served(&mut self) {
        let service_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.outcome = Some(Outcome::Served { service_ms });
    }

    /// Records that an upstream refused the request as busy or that its deadline passed there.
    pub fn overloaded(&mut self) {
        self.outcome = Some(Outcome::Overloaded);
    }
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        self.gate.end(&self.service, self.ticket, self.outcome.unwrap_or(Outcome::Other));
    }
}
