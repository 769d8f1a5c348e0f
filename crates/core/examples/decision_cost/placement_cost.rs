//! Time that the gateway's choice of an upstream takes.

use daisysill_core::placement::{Candidate, InFlightWork, PrefillDemand, UpstreamWork, choose};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::timing::print_times;

/// Prints the times for a number of candidate upstreams.
pub(crate) fn print(upstreams: usize) {
    let mut rng = StdRng::seed_from_u64(7);
    let candidates: Vec<Candidate> = (0..upstreams).map(|_| candidate(&mut rng)).collect();
    for (kind, prompt_tokens, shared_tokens) in [("plain", 0, 0), ("prompt", 12_000, 9_000)] {
        let demand = PrefillDemand { prompt_tokens, shared_tokens, tokens_per_ms: 100.0 };
        print_times("placement", &format!("{upstreams} candidates {kind}"), 5_000, |_| {
            choose(&candidates, &demand, rng.random())
        });
    }
}

fn candidate(rng: &mut StdRng) -> Candidate {
    let mut in_flight = InFlightWork::default();
    in_flight.add(rng.random_range(0..40), 40.0);
    Candidate {
        in_flight: rng.random_range(0..40),
        slots: 16,
        pending_prefill_tokens: rng.random_range(0..20_000),
        ms_per_request: 4.0,
        cached_tokens: 0,
        fetch_ms: 0.0,
        in_store_zone: false,
        recent_failures: 0.0,
        silent_ms: 0.0,
        own_zone: true,
        prefix_rank: rng.random(),
        work: UpstreamWork { speed: rng.random_range(0.4..1.2), in_flight: Some(in_flight), own_ms: 40.0 },
    }
}
