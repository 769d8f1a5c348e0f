//! Admits, queues or refuses the requests of one service on one node.
//!
//! Start-time fair queueing: each start advances a customer's start tag by cost divided by share, and the customer
//! with the lowest tag starts next. A customer that has its fair slots leaves the last free ones to the others.

mod preview;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{ids::CustomerId, result_code::ResultCode};

pub use crate::{
    admission::preview::Preview,
    concurrency::{ConcurrencyLimit, ConcurrencyPolicy, Outcome},
};

/// Percent of the slots kept free for customers below their fair share.
const RESERVE_PERCENT: u64 = 10;
/// Mean service time before the first request has ended.
const INITIAL_SERVICE_MS: f64 = 500.0;
/// Weight of a new sample in the moving average of the service time.
const SERVICE_SMOOTHING: f64 = 0.05;
/// Lower bound of the retry time that a refused caller is told.
const MIN_RETRY_AFTER_MS: u64 = 10;
/// Virtual time of one request at a share of 1; divisible by most shares, so that tags stay whole numbers.
const COST_SCALE: u64 = 1_000_000;

/// Bounds of the queues and slots of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionPolicy {
    /// Requests of one customer that may wait.
    pub max_queue_per_customer: usize,
    /// Requests of all customers that may wait; a customer below its share of them may exceed this, up to twice.
    pub max_queue: usize,
    /// Bounds of the number of requests in flight.
    pub concurrency: ConcurrencyPolicy,
}

/// Identifies a request from its offer to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What happens to an offered request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It starts now and holds a slot until `Admission::finish`.
    Admit(Ticket),
    /// It waits; `Admission::next` returns its ticket when it may start.
    Queue(Ticket),
    /// It does not run.
    Refuse {
        /// The reason, as a code for the caller.
        code: ResultCode,
        /// Time after which an equal request is expected to be accepted.
        retry_after_ms: u64,
    },
}

/// A verdict with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// What happens to the request.
    pub verdict: Verdict,
    /// One line for `daisysill explain`.
    pub reason: String,
}

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Whose queue and share it uses.
    pub customer: &'a CustomerId,
    /// The customer's share by the rule file; 0 counts as 1.
    pub share: u64,
    /// Time within which it must start.
    pub start_within_ms: u64,
}

/// A request that `Admission::next` took from the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// It starts now and holds a slot.
    Start(Ticket),
    /// It waited past its deadline and is dropped.
    Expired(Ticket),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    start_by_ms: u64,
}

/// The requests of one customer.
#[derive(Clone, Debug, Default)]
struct Flow {
    share: u64,
    queue: VecDeque<Waiting>,
    in_flight: u64,
    /// Start tag of the first waiting request, or of the next one to arrive.
    start_tag: u64,
}

/// Queues and slots of one service on one node.
#[derive(Clone, Debug)]
pub struct Admission {
    policy: AdmissionPolicy,
    limit: ConcurrencyLimit,
    flows: BTreeMap<CustomerId, Flow>,
    /// Customers with waiting requests by start tag.
    order: BTreeSet<(u64, CustomerId)>,
    owners: BTreeMap<Ticket, CustomerId>,
    virtual_time: u64,
    next_ticket: u64,
    in_flight: u64,
    waiting: usize,
    /// Sum of the shares of customers with requests waiting or in flight.
    active_shares: u64,
    /// Moving average.
    service_ms: f64,
}

impl Admission {
    /// Creates empty queues.
    ///
    /// ```
    /// use daisysill_core::admission::{Admission, AdmissionPolicy, ConcurrencyPolicy, Offer, Verdict};
    /// let concurrency = ConcurrencyPolicy { initial: 1, min: 1, max: 8 };
    /// let policy = AdmissionPolicy { max_queue_per_customer: 4, max_queue: 64, concurrency };
    /// let mut admission = Admission::new(policy);
    /// let customer = "opera-a".into();
    /// let offer = Offer { customer: &customer, share: 1, start_within_ms: 5_000 };
    /// assert!(matches!(admission.offer(0, &offer).verdict, Verdict::Admit(_)));
    /// assert!(matches!(admission.offer(0, &offer).verdict, Verdict::Queue(_)));
    /// ```
    pub fn new(policy: AdmissionPolicy) -> Self {
        Self {
            policy,
            limit: ConcurrencyLimit::new(policy.concurrency),
            flows: BTreeMap::new(),
            order: BTreeSet::new(),
            owners: BTreeMap::new(),
            virtual_time: 0,
            next_ticket: 0,
            in_flight: 0,
            waiting: 0,
            active_shares: 0,
            service_ms: INITIAL_SERVICE_MS,
        }
    }

    /// Starts, queues or refuses a request. It is refused if it cannot be expected to start in time or if the
    /// customer's queue or the whole queue is full.
    pub fn offer(&mut self, now_ms: u64, offer: &Offer<'_>) -> AdmissionDecision {
        let share = offer.share.max(1);
        match self.preview(offer) {
            Preview::Admit { reason } => {
                let ticket = self.new_ticket(offer.customer, share);
                self.start(offer.customer);
                AdmissionDecision { verdict: Verdict::Admit(ticket), reason }
            }
            Preview::Queue { reason, .. } => {
                let ticket = self.new_ticket(offer.customer, share);
                self.enqueue(offer.customer, Waiting { ticket, start_by_ms: now_ms + offer.start_within_ms });
                AdmissionDecision { verdict: Verdict::Queue(ticket), reason }
            }
            Preview::Refuse { code, retry_after_ms, reason } => {
                AdmissionDecision { verdict: Verdict::Refuse { code, retry_after_ms }, reason }
            }
        }
    }

    /// Takes the next request that starts or has expired from the queues; to be called until it returns `None`.
    pub fn next(&mut self, now_ms: u64) -> Option<Dequeued> {
        let customer = self.next_customer()?;
        let (waiting, expired) = self.dequeue(&customer, now_ms)?;
        if expired {
            self.remove_ticket(waiting.ticket);
            return Some(Dequeued::Expired(waiting.ticket));
        }
        self.start(&customer);
        Some(Dequeued::Start(waiting.ticket))
    }

    /// Frees the slot of a started request and adjusts the concurrency limit; ignores an unknown ticket.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome) {
        let Some(customer) = self.owners.get(&ticket).cloned() else { return };
        self.limit.record(outcome, self.in_flight);
        if let Outcome::Served { service_ms } = outcome {
            self.service_ms += SERVICE_SMOOTHING * (service_ms as f64 - self.service_ms);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(flow) = self.flows.get_mut(&customer) {
            flow.in_flight = flow.in_flight.saturating_sub(1);
        }
        self.remove_ticket(ticket);
    }

    /// Removes a waiting request whose caller has disconnected; ignores a ticket that does not wait.
    pub fn cancel(&mut self, ticket: Ticket) {
        let Some(customer) = self.owners.get(&ticket).cloned() else { return };
        let Some(flow) = self.flows.get_mut(&customer) else { return };
        let Some(at) = flow.queue.iter().position(|waiting| waiting.ticket == ticket) else { return };
        flow.queue.remove(at);
        self.waiting -= 1;
        if flow.queue.is_empty() {
            self.order.remove(&(flow.start_tag, customer));
        }
        self.remove_ticket(ticket);
    }

    /// Returns the moving average of the service time.
    pub fn service_ms(&self) -> u64 {
        crate::num::whole(self.service_ms)
    }

    /// Returns how long a request that a customer offers now is expected to wait.
    pub fn expected_wait_ms(&self, customer: &CustomerId, share: u64) -> u64 {
        let flow = self.flows.get(customer);
        let queued = flow.map_or(0, |flow| flow.queue.len());
        self.queue_wait_ms(share.max(1), queued, flow.is_some()).max(MIN_RETRY_AFTER_MS)
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u64 {
        self.limit.limit()
    }

    /// Returns whether a customer with `in_flight` requests may take a slot now.
    fn may_start(&self, share: u64, in_flight: u64, active: bool) -> bool {
        let limit = self.limit.limit();
        let free = limit.saturating_sub(self.in_flight);
        if in_flight < self.fair_slots(share, active) {
            return free > 0;
        }
        // With a limit of 1 there is nothing to reserve.
        free > (limit * RESERVE_PERCENT).div_ceil(100).min(limit - 1)
    }

    /// Returns the customer's slots by its share, at least 1. `active` is whether `active_shares` includes the share.
    fn fair_slots(&self, share: u64, active: bool) -> u64 {
        let shares = if active { self.active_shares } else { self.active_shares + share };
        (self.limit.limit() * share / shares.max(1)).max(1)
    }

    /// Returns the expected time between two starts of a customer while all active customers compete.
    fn start_interval_ms(&self, share: u64, active: bool) -> u64 {
        let shares = if active { self.active_shares } else { self.active_shares + share };
        let part = self.limit.limit() as f64 * share as f64 / shares.max(1) as f64;
        crate::num::whole(self.service_ms / part.max(f64::EPSILON)).max(1)
    }

    fn queue_wait_ms(&self, share: u64, queued: usize, active: bool) -> u64 {
        self.start_interval_ms(share, active).saturating_mul(queued as u64 + 1)
    }

    /// Returns whether a customer may exceed a full queue: fewer of its requests wait than its share allows.
    fn may_exceed_queue(&self, share: u64, queued: usize) -> bool {
        let shares = self.active_shares.max(share);
        let part = self.policy.max_queue as u64 * share / shares;
        // The shares of all customers add up to `max_queue`, so twice that bounds the total.
        (queued as u64) < part.max(1) && self.waiting < 2 * self.policy.max_queue
    }

    /// Returns the customer with the lowest start tag that may take a slot.
    fn next_customer(&self) -> Option<CustomerId> {
        if self.in_flight >= self.limit.limit() {
            return None;
        }
        let free = self.order.iter().find(|(_, customer)| {
            let flow = self.flows.get(customer);
            flow.is_some_and(|flow| self.may_start(flow.share, flow.in_flight, true))
        });
        free.map(|(_, customer)| customer.clone())
    }

    fn new_ticket(&mut self, customer: &CustomerId, share: u64) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.owners.insert(ticket, customer.clone());
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(customer.clone()).or_insert_with(|| {
            self.active_shares += share;
            Flow { share, start_tag: virtual_time, ..Flow::default() }
        });
        if flow.share != share {
            self.active_shares = self.active_shares + share - flow.share;
            flow.share = share;
        }
        ticket
    }

    fn enqueue(&mut self, customer: &CustomerId, waiting: Waiting) {
        let Some(flow) = self.flows.get_mut(customer) else { return };
        if flow.queue.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.order.insert((flow.start_tag, customer.clone()));
        }
        flow.queue.push_back(waiting);
        self.waiting += 1;
    }

    /// Removes a customer's first waiting request; the flag is whether it has expired.
    fn dequeue(&mut self, customer: &CustomerId, now_ms: u64) -> Option<(Waiting, bool)> {
        let flow = self.flows.get_mut(customer)?;
        let waiting = flow.queue.pop_front()?;
        self.waiting -= 1;
        if flow.queue.is_empty() {
            self.order.remove(&(flow.start_tag, customer.clone()));
        }
        Some((waiting, waiting.start_by_ms < now_ms))
    }

    /// Takes a slot and advances the customer's start tag, also in `order` if it still has requests waiting.
    fn start(&mut self, customer: &CustomerId) {
        let Some(flow) = self.flows.get_mut(customer) else { return };
        let old = flow.start_tag;
        let start_tag = old.max(self.virtual_time);
        flow.start_tag = start_tag + COST_SCALE / flow.share.max(1);
        flow.in_flight += 1;
        self.in_flight += 1;
        self.virtual_time = self.virtual_time.max(old);
        if !flow.queue.is_empty() {
            self.order.remove(&(old, customer.clone()));
            self.order.insert((flow.start_tag, customer.clone()));
        }
    }

    /// Removes a ticket, and its customer once it has no request waiting or in flight.
    fn remove_ticket(&mut self, ticket: Ticket) {
        let Some(customer) = self.owners.remove(&ticket) else { return };
        let Some(flow) = self.flows.get(&customer) else { return };
        if flow.in_flight == 0 && flow.queue.is_empty() {
            self.active_shares = self.active_shares.saturating_sub(flow.share);
            self.flows.remove(&customer);
        }
    }
}
