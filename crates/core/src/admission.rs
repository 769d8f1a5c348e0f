//! Fair admission of one service's requests on one node.
//!
//! Start-time fair queueing: each customer's requests carry start tags that advance by cost over share, and
//! the lowest tag goes next. A customer above its fair part leaves the last slots to the others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{ids::CustomerId, result_code::ResultCode};

pub use crate::concurrency::{ConcurrencyLimit, ConcurrencyPolicy, Outcome};

/// Percent of the slots that a customer above its fair part may not use.
const RESERVE_PERCENT: u64 = 10;
/// Service time assumed until one is measured.
const ASSUMED_SERVICE_MS: f64 = 500.0;
/// Weight of a new measurement in the mean service time.
const SERVICE_WEIGHT: f64 = 0.05;
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER_MS: u64 = 10;
/// Virtual time of one request at a share of 1; divisible by most shares, so tags stay whole numbers.
const COST_SCALE: u64 = 1_000_000;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionPolicy {
    /// Requests of one customer that may wait.
    pub max_queue_per_customer: usize,
    /// Requests of all customers that may wait.
    pub max_queue: usize,
    /// The concurrency limit.
    pub concurrency: ConcurrencyPolicy,
}

/// Identifies a request from its offer to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The decision on a new request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It starts now.
    Admit(Ticket),
    /// It waits; `Admission::next` returns its ticket when it may start.
    Queue(Ticket),
    /// It does not run.
    Refuse {
        /// The result code.
        code: ResultCode,
        /// When an equal request is expected to be accepted.
        retry_after_ms: u64,
    },
}

/// A verdict with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// The verdict.
    pub verdict: Verdict,
    /// One line for `daisysill explain`.
    pub reason: String,
}

/// A new request.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// The customer.
    pub customer: &'a CustomerId,
    /// The customer's share by the rule file.
    pub share: u64,
    /// Time until the request must have started.
    pub start_within_ms: u64,
}

/// What `Admission::next` found at the head of the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// The request starts now.
    Start(Ticket),
    /// The request waited past its deadline and is dropped.
    Expired(Ticket),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    start_by_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    share: u64,
    queue: VecDeque<Waiting>,
    in_flight: u64,
    /// Start tag of the first waiting request, or of the next one to arrive.
    tag: u64,
}

/// Queues and slots of one service on one node.
#[derive(Clone, Debug)]
pub struct Admission {
    policy: AdmissionPolicy,
    limit: ConcurrencyLimit,
    lanes: BTreeMap<CustomerId, Lane>,
    /// Customers with waiting requests by start tag.
    order: BTreeSet<(u64, CustomerId)>,
    owners: BTreeMap<Ticket, CustomerId>,
    virtual_time: u64,
    next_ticket: u64,
    in_flight: u64,
    waiting: usize,
    /// Sum of the shares of customers with requests.
    active_shares: u64,
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
            lanes: BTreeMap::new(),
            order: BTreeSet::new(),
            owners: BTreeMap::new(),
            virtual_time: 0,
            next_ticket: 0,
            in_flight: 0,
            waiting: 0,
            active_shares: 0,
            service_ms: ASSUMED_SERVICE_MS,
        }
    }

    /// Decides on a new request.
    pub fn offer(&mut self, now_ms: u64, offer: &Offer<'_>) -> AdmissionDecision {
        let share = offer.share.max(1);
        let lane = self.lanes.get(offer.customer);
        let (queued, in_flight) = lane.map_or((0, 0), |lane| (lane.queue.len(), lane.in_flight));
        if queued == 0 && self.may_start(share, in_flight, lane.is_some()) {
            let reason = format!(
                "admitted: {} of {} slots in use, {in_flight} by this customer",
                self.in_flight,
                self.limit.limit()
            );
            let ticket = self.new_ticket(offer.customer, share);
            self.start(offer.customer);
            return AdmissionDecision { verdict: Verdict::Admit(ticket), reason };
        }
        let wait_ms = self.queue_wait_ms(share, queued, lane.is_some());
        if wait_ms > offer.start_within_ms {
            let text =
                format!("expected wait {wait_ms} ms, start needed within {} ms", offer.start_within_ms);
            return refuse(ResultCode::DeadlineUnreachable, wait_ms - offer.start_within_ms, &text);
        }
        if queued >= self.policy.max_queue_per_customer {
            let text = format!("{queued} requests of this customer wait");
            return refuse(ResultCode::CustomerOverloaded, self.slot_ms(share, lane.is_some()), &text);
        }
        if self.waiting >= self.policy.max_queue && !self.displaces(share, queued) {
            let text = format!("{} requests wait", self.waiting);
            return refuse(ResultCode::CustomerOverloaded, self.slot_ms(share, lane.is_some()), &text);
        }
        let ticket = self.new_ticket(offer.customer, share);
        self.enqueue(offer.customer, Waiting { ticket, start_by_ms: now_ms + offer.start_within_ms });
        let reason = format!("queued: {queued} of this customer ahead, expected wait {wait_ms} ms");
        AdmissionDecision { verdict: Verdict::Queue(ticket), reason }
    }

    /// Returns the next waiting request that starts or has expired; call it until it returns `None`.
    pub fn next(&mut self, now_ms: u64) -> Option<Dequeued> {
        let customer = self.startable()?;
        let (waiting, expired) = self.dequeue(&customer, now_ms)?;
        if expired {
            self.forget(waiting.ticket);
            return Some(Dequeued::Expired(waiting.ticket));
        }
        self.start(&customer);
        Some(Dequeued::Start(waiting.ticket))
    }

    /// Frees the slot of a request that had started.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome) {
        let Some(customer) = self.owners.get(&ticket).cloned() else { return };
        self.limit.finish(outcome, self.in_flight);
        if let Outcome::Served { service_ms } = outcome {
            self.service_ms += SERVICE_WEIGHT * (service_ms as f64 - self.service_ms);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(lane) = self.lanes.get_mut(&customer) {
            lane.in_flight = lane.in_flight.saturating_sub(1);
        }
        self.forget(ticket);
    }

    /// Removes a waiting request whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        let Some(customer) = self.owners.get(&ticket).cloned() else { return };
        let Some(lane) = self.lanes.get_mut(&customer) else { return };
        let Some(at) = lane.queue.iter().position(|waiting| waiting.ticket == ticket) else { return };
        lane.queue.remove(at);
        self.waiting -= 1;
        if lane.queue.is_empty() {
            self.order.remove(&(lane.tag, customer));
        }
        self.forget(ticket);
    }

    /// Returns the mean service time.
    pub fn service_ms(&self) -> u64 {
        crate::num::whole(self.service_ms)
    }

    /// Returns the expected wait of a request that a customer offers now, in milliseconds.
    pub fn expected_wait_ms(&self, customer: &CustomerId, share: u64) -> u64 {
        let lane = self.lanes.get(customer);
        let queued = lane.map_or(0, |lane| lane.queue.len());
        self.queue_wait_ms(share.max(1), queued, lane.is_some()).max(MIN_RETRY_AFTER_MS)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the present concurrency limit.
    pub fn limit(&self) -> u64 {
        self.limit.limit()
    }

    /// Returns whether a customer may take a slot now.
    fn may_start(&self, share: u64, in_flight: u64, active: bool) -> bool {
        let limit = self.limit.limit();
        let free = limit.saturating_sub(self.in_flight);
        if in_flight < self.fair_slots(share, active) {
            return free > 0;
        }
        // With a limit of 1 there is nothing to reserve.
        free > (limit * RESERVE_PERCENT).div_ceil(100).min(limit - 1)
    }

    fn fair_slots(&self, share: u64, active: bool) -> u64 {
        let shares = if active { self.active_shares } else { self.active_shares + share };
        (self.limit.limit() * share / shares.max(1)).max(1)
    }

    /// Returns the expected time between two starts of a customer when all compete.
    fn slot_ms(&self, share: u64, active: bool) -> u64 {
        let shares = if active { self.active_shares } else { self.active_shares + share };
        let part = self.limit.limit() as f64 * share as f64 / shares.max(1) as f64;
        crate::num::whole(self.service_ms / part.max(f64::EPSILON)).max(1)
    }

    fn queue_wait_ms(&self, share: u64, queued: usize, active: bool) -> u64 {
        self.slot_ms(share, active).saturating_mul(queued as u64 + 1)
    }

    /// Returns whether a full queue still takes a request: the customer waits with less than its part of it.
    fn displaces(&self, share: u64, queued: usize) -> bool {
        let shares = self.active_shares.max(share);
        let part = self.policy.max_queue as u64 * share / shares;
        // Bounded by twice the queue: the parts of all customers add up to one queue.
        (queued as u64) < part.max(1) && self.waiting < 2 * self.policy.max_queue
    }

    /// Returns the customer with the lowest tag that may take a slot.
    fn startable(&self) -> Option<CustomerId> {
        if self.in_flight >= self.limit.limit() {
            return None;
        }
        let free = self.order.iter().find(|(_, customer)| {
            let lane = self.lanes.get(customer);
            lane.is_some_and(|lane| self.may_start(lane.share, lane.in_flight, true))
        });
        free.map(|(_, customer)| customer.clone())
    }

    fn new_ticket(&mut self, customer: &CustomerId, share: u64) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.owners.insert(ticket, customer.clone());
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(customer.clone()).or_insert_with(|| {
            self.active_shares += share;
            Lane { share, tag: virtual_time, ..Lane::default() }
        });
        if lane.share != share {
            self.active_shares = self.active_shares + share - lane.share;
            lane.share = share;
        }
        ticket
    }

    fn enqueue(&mut self, customer: &CustomerId, waiting: Waiting) {
        let Some(lane) = self.lanes.get_mut(customer) else { return };
        if lane.queue.is_empty() {
            lane.tag = lane.tag.max(self.virtual_time);
            self.order.insert((lane.tag, customer.clone()));
        }
        lane.queue.push_back(waiting);
        self.waiting += 1;
    }

    /// Removes a customer's first waiting request and says whether it has expired.
    fn dequeue(&mut self, customer: &CustomerId, now_ms: u64) -> Option<(Waiting, bool)> {
        let lane = self.lanes.get_mut(customer)?;
        let waiting = lane.queue.pop_front()?;
        self.waiting -= 1;
        if lane.queue.is_empty() {
            self.order.remove(&(lane.tag, customer.clone()));
        }
        Some((waiting, waiting.start_by_ms < now_ms))
    }

    /// Takes a slot and advances the customer's tag; a queue that is left keeps its place by the new tag.
    fn start(&mut self, customer: &CustomerId) {
        let Some(lane) = self.lanes.get_mut(customer) else { return };
        let old = lane.tag;
        let begun = old.max(self.virtual_time);
        lane.tag = begun + COST_SCALE / lane.share.max(1);
        lane.in_flight += 1;
        self.in_flight += 1;
        self.virtual_time = self.virtual_time.max(old);
        if !lane.queue.is_empty() {
            self.order.remove(&(old, customer.clone()));
            self.order.insert((lane.tag, customer.clone()));
        }
    }

    /// Forgets a ticket, and its customer once it has no request left and no lead over the others.
    fn forget(&mut self, ticket: Ticket) {
        let Some(customer) = self.owners.remove(&ticket) else { return };
        let Some(lane) = self.lanes.get(&customer) else { return };
        if lane.in_flight == 0 && lane.queue.is_empty() {
            self.active_shares = self.active_shares.saturating_sub(lane.share);
            self.lanes.remove(&customer);
        }
    }
}

fn refuse(code: ResultCode, retry_after_ms: u64, text: &str) -> AdmissionDecision {
    let retry_after_ms = retry_after_ms.max(MIN_RETRY_AFTER_MS);
    let reason = format!("refused: {text}; come back in {retry_after_ms} ms");
    AdmissionDecision { verdict: Verdict::Refuse { code, retry_after_ms }, reason }
}
