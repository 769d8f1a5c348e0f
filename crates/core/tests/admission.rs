//! Fair admission: shares, queues, deadlines and the concurrency limit.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::BTreeMap;

use daisysill_core::{
    admission::{
        Admission, AdmissionPolicy, ConcurrencyLimit, ConcurrencyPolicy, Dequeued, Offer, Outcome, Ticket,
        Verdict,
    },
    ids::CustomerId,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const SLOTS: u64 = 20;
const SERVICE_MS: u64 = 100;

fn policy() -> AdmissionPolicy {
    let concurrency = ConcurrencyPolicy { initial: SLOTS, min: SLOTS, max: SLOTS };
    AdmissionPolicy { max_queue_per_customer: 50, max_queue: 200, concurrency }
}

fn offer(customer: &CustomerId, share: u64) -> Offer<'_> {
    Offer { customer, share, start_within_ms: 60_000 }
}

/// Waiting times of the started requests of a customer, and its refusals.
#[derive(Default)]
struct Served {
    waits_ms: Vec<u64>,
    refused: u64,
}

/// Simulates ten seconds. `customers` are names, shares and intervals between requests in milliseconds.
fn simulate(customers: &[(CustomerId, u64, u64)]) -> BTreeMap<CustomerId, Served> {
    let mut admission = Admission::new(policy());
    let mut served: BTreeMap<CustomerId, Served> = BTreeMap::new();
    let mut offered: BTreeMap<Ticket, (CustomerId, u64)> = BTreeMap::new();
    let mut running: Vec<(u64, Ticket)> = Vec::new();
    for now_ms in 0..10_000 {
        for (_, ticket) in running.extract_if(.., |(until_ms, _)| *until_ms <= now_ms) {
            admission.finish(ticket, Outcome::Served { service_ms: SERVICE_MS });
        }
        for (at, (customer, share, every_ms)) in customers.iter().enumerate() {
            if !(now_ms + at as u64 * 7).is_multiple_of(*every_ms) {
                continue;
            }
            match admission.offer(now_ms, &offer(customer, *share)).verdict {
                Verdict::Admit(ticket) => {
                    served.entry(customer.clone()).or_default().waits_ms.push(0);
                    running.push((now_ms + SERVICE_MS, ticket));
                }
                Verdict::Queue(ticket) => {
                    offered.insert(ticket, (customer.clone(), now_ms));
                }
                Verdict::Refuse { .. } => served.entry(customer.clone()).or_default().refused += 1,
            }
        }
        while let Some(Dequeued::Start(ticket)) = admission.next(now_ms) {
            let (customer, since_ms) = offered.remove(&ticket).unwrap();
            served.entry(customer).or_default().waits_ms.push(now_ms - since_ms);
            running.push((now_ms + SERVICE_MS, ticket));
        }
        assert!(admission.in_flight() <= SLOTS);
    }
    served
}

fn p95(served: &Served) -> u64 {
    let mut waits_ms = served.waits_ms.clone();
    waits_ms.sort_unstable();
    waits_ms[waits_ms.len() * 95 / 100]
}

/// Guards against a flood of one customer that raises the others' p95 by more than 10 percent.
#[test]
fn a_flood_does_not_delay_other_customers() {
    let mut customers: Vec<(CustomerId, u64, u64)> =
        (0..6).map(|at| (CustomerId::from(format!("opera-{at}")), 1, 60)).collect();
    let before = simulate(&customers);
    customers.push(("flood".into(), 1, 1));
    let after = simulate(&customers);
    for (customer, served) in &before {
        let (calm, flooded) = (p95(served) + SERVICE_MS, p95(&after[customer]) + SERVICE_MS);
        assert!(flooded * 100 <= calm * 110, "{customer}: p95 {calm} ms before, {flooded} ms in the flood");
        assert_eq!(after[customer].refused, 0, "{customer}");
    }
    assert!(after[&"flood".into()].refused > 0);
}

/// Guards against shares that have no effect under load.
#[test]
fn customers_under_load_are_served_by_their_shares() {
    let served = simulate(&[("large".into(), 3, 2), ("small".into(), 1, 2)]);
    let (large, small) = (served[&"large".into()].waits_ms.len(), served[&"small".into()].waits_ms.len());
    let ratio = large as f64 / small as f64;
    assert!((2.7..=3.3).contains(&ratio), "{large} to {small}");
}

/// Guards against starts that ignore the shares when there are fewer slots than customers.
#[test]
fn one_slot_is_shared_by_the_shares() {
    let concurrency = ConcurrencyPolicy { initial: 1, min: 1, max: 1 };
    let mut admission = Admission::new(AdmissionPolicy { concurrency, ..policy() });
    let (large, small) = (CustomerId::from("a-large"), CustomerId::from("b-small"));
    let mut tickets = BTreeMap::new();
    for _ in 0..20 {
        for (customer, share) in [(&large, 3), (&small, 1)] {
            let (Verdict::Admit(ticket) | Verdict::Queue(ticket)) =
                admission.offer(0, &offer(customer, share)).verdict
            else {
                panic!()
            };
            tickets.insert(ticket, customer);
        }
    }
    let mut current = *tickets.keys().next().unwrap();
    let mut started = Vec::new();
    for _ in 0..20 {
        admission.finish(current, Outcome::Other);
        let Some(Dequeued::Start(next)) = admission.next(0) else { panic!() };
        started.push(tickets[&next]);
        current = next;
    }
    let of_large = started.iter().filter(|customer| ***customer == large).count();
    assert!((14..=16).contains(&of_large), "{started:?}");
}

/// Guards against a caller that waits for a start that cannot come in time, and against a `retry_after_ms` after
/// which it is refused again.
#[test]
fn a_refusal_for_the_deadline_is_immediate_and_its_retry_time_holds() {
    let mut admission = Admission::new(policy());
    let customer = CustomerId::from("opera-a");
    let mut running: std::collections::VecDeque<(u64, Ticket)> = std::collections::VecDeque::new();
    for at in 0..SLOTS + 40 {
        if let Verdict::Admit(ticket) = admission.offer(0, &offer(&customer, 1)).verdict {
            running.push_back((at * SERVICE_MS / SLOTS + 5, ticket));
        }
    }
    // Run until the moving average of the service time has left its initial value.
    let mut now_ms = 0;
    let mut step = |admission: &mut Admission, until_ms: u64| {
        while now_ms < until_ms {
            now_ms += 1;
            while running.front().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
                let (_, ticket) = running.pop_front().unwrap();
                admission.finish(ticket, Outcome::Served { service_ms: SERVICE_MS });
            }
            while let Some(Dequeued::Start(ticket)) = admission.next(now_ms) {
                running.push_back((now_ms + SERVICE_MS, ticket));
            }
            if now_ms % 5 == 0 && now_ms < 1_000 {
                let _ = admission.offer(now_ms, &Offer { start_within_ms: 60_000, ..offer(&customer, 1) });
                let _ = admission.offer(now_ms, &Offer { start_within_ms: 60_000, ..offer(&customer, 1) });
            }
        }
    };
    step(&mut admission, 1_000);
    let urgent = Offer { start_within_ms: 50, ..offer(&customer, 1) };
    let Verdict::Refuse { retry_after_ms, .. } = admission.offer(1_000, &urgent).verdict else {
        panic!("accepted with {} waiting", admission.waiting());
    };
    assert!(retry_after_ms < 2_000, "{retry_after_ms}");
    step(&mut admission, 1_000 + retry_after_ms);
    let again = admission.offer(1_000 + retry_after_ms, &urgent);
    assert!(!matches!(again.verdict, Verdict::Refuse { .. }), "{}", again.reason);
}

/// Guards against a request that starts after its caller has stopped waiting.
#[test]
fn a_request_past_its_deadline_expires_instead_of_starting() {
    let mut admission = Admission::new(AdmissionPolicy {
        concurrency: ConcurrencyPolicy { initial: 1, min: 1, max: 1 },
        ..policy()
    });
    let customer = CustomerId::from("opera-a");
    let Verdict::Admit(first) = admission.offer(0, &offer(&customer, 1)).verdict else { panic!() };
    let Verdict::Queue(second) =
        admission.offer(0, &Offer { start_within_ms: 900, ..offer(&customer, 1) }).verdict
    else {
        panic!()
    };
    admission.finish(first, Outcome::Other);
    assert_eq!(admission.next(901), Some(Dequeued::Expired(second)));
    assert_eq!((admission.in_flight(), admission.waiting()), (0, 0));
}

/// Guards against a limit that stays high while upstreams refuse, or low after they recover.
#[test]
fn the_concurrency_limit_follows_the_upstreams() {
    let mut limit = ConcurrencyLimit::new(ConcurrencyPolicy { initial: 100, min: 5, max: 200 });
    (0..100).for_each(|_| limit.record(Outcome::Overloaded, 100));
    assert_eq!(limit.limit(), 90, "refusals of one burst lower the limit once");
    (0..2_000).for_each(|_| limit.record(Outcome::Overloaded, 1));
    assert_eq!(limit.limit(), 5);
    (0..2_000).for_each(|_| limit.record(Outcome::Served { service_ms: 1 }, limit.limit()));
    assert!(limit.limit() > 50);
    let reached = limit.limit();
    (0..2_000).for_each(|_| limit.record(Outcome::Served { service_ms: 1 }, 1));
    assert_eq!(limit.limit(), reached, "an unused limit does not grow");
}

proptest! {
    #![proptest_config(Config { cases: 256, rng_seed: RngSeed::Fixed(5), ..Config::default() })]

    /// Guards against leaked slots, lost requests and unbounded queues in any order of events.
    #[test]
    fn slots_and_queues_stay_consistent(
        events in proptest::collection::vec((0..4_u8, 0..6_usize, 1..4_u64, 0..500_u64), 1..300),
    ) {
        let mut admission = Admission::new(policy());
        let ids: Vec<CustomerId> = (0..6).map(|at| CustomerId::from(format!("c{at}"))).collect();
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        let mut now_ms = 0;
        for (kind, customer, share, number) in events {
            now_ms += number;
            match kind {
                0 | 1 => {
                    for _ in 0..10 {
                        let offer = Offer { customer: &ids[customer], share, start_within_ms: 10_000 + number };
                        match admission.offer(now_ms, &offer).verdict {
                            Verdict::Admit(ticket) => running.push(ticket),
                            Verdict::Queue(ticket) => waiting.push(ticket),
                            Verdict::Refuse { retry_after_ms, .. } => prop_assert!(retry_after_ms > 0),
                        }
                    }
                }
                2 if !running.is_empty() => {
                    let ticket = running.remove(usize::try_from(number).unwrap() % running.len());
                    admission.finish(ticket, Outcome::Served { service_ms: number });
                }
                3 if !waiting.is_empty() => {
                    admission.cancel(waiting.remove(usize::try_from(number).unwrap() % waiting.len()));
                }
                _ => {}
            }
            while let Some(next) = admission.next(now_ms) {
                let (Dequeued::Start(ticket) | Dequeued::Expired(ticket)) = next;
                let at = waiting.iter().position(|w| *w == ticket);
                prop_assert!(at.is_some(), "a ticket that does not wait");
                waiting.remove(at.unwrap());
                if next == Dequeued::Start(ticket) {
                    running.push(ticket);
                }
            }
            prop_assert_eq!(admission.in_flight(), running.len() as u64);
            prop_assert_eq!(admission.waiting(), waiting.len());
            prop_assert!(running.len() as u64 <= SLOTS && waiting.len() <= 400);
        }
        for ticket in running {
            admission.finish(ticket, Outcome::Other);
        }
        while let Some(next) = admission.next(now_ms) {
            let (Dequeued::Start(ticket) | Dequeued::Expired(ticket)) = next;
            admission.finish(ticket, Outcome::Other);
        }
        prop_assert_eq!((admission.in_flight(), admission.waiting()), (0, 0));
    }
}
