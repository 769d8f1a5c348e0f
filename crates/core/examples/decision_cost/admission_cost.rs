//! Time that admission takes under load.

use std::collections::VecDeque;

use daisysill_core::{
    admission::{Admission, AdmissionPolicy, ConcurrencyPolicy, Dequeued, Offer, Outcome, Ticket, Verdict},
    ids::CustomerId,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::timing::print_times;

/// Prints the time of one offer, together with the end of one request and the starts that it allows.
pub(crate) fn print(customers: usize) {
    let concurrency = ConcurrencyPolicy { initial: 200, min: 200, max: 200 };
    let policy = AdmissionPolicy { max_queue_per_customer: 64, max_queue: 20_000, concurrency };
    let mut admission = Admission::new(policy);
    let ids: Vec<CustomerId> = (0..customers).map(|at| CustomerId::from(format!("customer-{at}"))).collect();
    let mut rng = StdRng::seed_from_u64(17);
    let mut running: VecDeque<Ticket> = VecDeque::new();
    let mut step = |at: usize| {
        let customer = &ids[rng.random_range(0..customers)];
        let offer = Offer { customer, share: 1 + at as u64 % 3, start_within_ms: 3_600_000 };
        if let Verdict::Admit(ticket) = admission.offer(at as u64, &offer).verdict {
            running.push_back(ticket);
        }
        // Fewer requests end than are offered, so that queues form.
        if !at.is_multiple_of(8)
            && let Some(ticket) = running.pop_front()
        {
            admission.finish(ticket, Outcome::Served { service_ms: 100 });
        }
        while let Some(next) = admission.next(at as u64) {
            if let Dequeued::Start(ticket) = next {
                running.push_back(ticket);
            }
        }
    };
    (0..40_000).for_each(&mut step);
    let case = format!("{customers} customers");
    print_times("admission offer, end and next", &case, 40_000, |at| step(40_000 + at));
    println!("# {} waiting, {} in flight", admission.waiting(), admission.in_flight());
}
