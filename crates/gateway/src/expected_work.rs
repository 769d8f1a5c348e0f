//! Expected work of a request at an upstream, and the samples that correct the expectation.
//!
//! Only successful responses are samples: an upstream that answers errors fast must not look fast.

use std::time::Duration;

use daisysill_core::{
    placement::{Candidate, PrefillDemand, UpstreamWork},
    request_cost::{RequestKind, size_bucket},
    upstream_speed::{SLOW_SPEED, SampleKind},
};
use daisysill_wire::peer::UpstreamLoad;

use crate::{
    caller_request::CallerRequest,
    forward::Gateway,
    placement::ChosenUpstream,
    service_speeds::ServiceSpeeds,
    upstreams::{InFlight, Upstream, stable_hash},
};

/// Minimum number of tokens to prefill for a sample of the speed: of shorter ones other delays are the larger part.
const MIN_SAMPLE_TOKENS: u64 = 1_500;

/// The likely work of a request, the same for all upstreams of its service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestWork {
    kind: RequestKind,
    is_plain: bool,
    /// Work besides the prefill at an upstream of speed 1.
    own_ms: f64,
    /// Work of a typical request to the service; `None` for engines, and before any sample.
    typical_ms: Option<f64>,
    now_ms: u64,
}

/// What an attempt is expected to take at its upstream if that one is as fast as its service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptExpectation {
    /// Kind and work of a request to a plain service.
    plain: Option<(RequestKind, f64)>,
    /// Requests in flight for each slot at the choice, with this one; 1 at least.
    load_factor: f64,
    /// Tokens to prefill until the first token, of this request and those before it.
    prefill_tokens: u64,
    first_token_ms: f64,
}

impl AttemptExpectation {
    /// Returns the work of a request to a plain service; `None` for others.
    pub(crate) fn plain_ms(&self) -> Option<f64> {
        self.plain.map(|(_, work_ms)| work_ms)
    }
}

impl RequestWork {
    /// Returns the learned work of an upstream with this node's load and that of the `others`.
    pub(crate) fn at(&self, upstream: &Upstream, others: &UpstreamLoad) -> UpstreamWork {
        let learned = upstream.learned();
        // Other nodes report the number of their requests, not their work.
        let in_flight = self.typical_ms.map(|typical_ms| {
            let mut work = learned.in_flight();
            work.add(others.requests, typical_ms);
            work
        });
        UpstreamWork { speed: learned.speed(self.now_ms), in_flight, own_ms: self.own_ms }
    }

    /// Returns what to expect of an attempt at the chosen candidate.
    pub(crate) fn expected(&self, candidate: &Candidate, demand: &PrefillDemand) -> AttemptExpectation {
        let own_tokens = demand.prompt_tokens.saturating_sub(candidate.cached_tokens);
        let prefill_tokens = own_tokens + candidate.pending_prefill_tokens;
        let prefill_ms = prefill_tokens as f64 / demand.tokens_per_ms.max(0.001);
        let load = f64::from(candidate.in_flight + 1) / f64::from(candidate.slots.max(1));
        AttemptExpectation {
            plain: self.is_plain.then_some((self.kind, self.own_ms)),
            load_factor: load.max(1.0),
            prefill_tokens: if self.is_plain { 0 } else { prefill_tokens },
            first_token_ms: prefill_ms + candidate.fetch_ms,
        }
    }
}

impl Gateway {
    /// Returns the likely work of a request, learned from earlier ones of its kind.
    pub(crate) fn request_work(&self, request: &CallerRequest, speeds: &ServiceSpeeds) -> RequestWork {
        let (kind, now_ms) = (kind_of(request), self.now_ms());
        let costs = speeds.costs.borrow();
        let Some(prompt) = &request.headers.prompt else {
            let prior_ms = speeds.request_ms.get();
            let own_ms = costs.estimate(kind, prior_ms, now_ms);
            let typical_ms = (costs.kinds() > 0).then(|| costs.typical(prior_ms, now_ms));
            return RequestWork { kind, is_plain: true, own_ms, typical_ms, now_ms };
        };
        // The stated maximum is an upper bound, and the estimate while nothing is known.
        let max_tokens = prompt.max_output_tokens as f64;
        let output_tokens = costs.estimate(kind, max_tokens, now_ms).min(max_tokens);
        let own_ms = output_tokens * speeds.event_gap_ms.get().unwrap_or_default();
        RequestWork { kind, is_plain: false, own_ms, typical_ms: None, now_ms }
    }

    /// Records the time to the first token of a successful response.
    pub(crate) fn record_first_token(
        &self,
        request: &CallerRequest,
        chosen: &ChosenUpstream,
        took: Duration,
    ) {
        let expected = &chosen.expected_work;
        if expected.prefill_tokens >= MIN_SAMPLE_TOKENS {
            let took_ms = took.as_secs_f64() * 1_000.0;
            self.metrics.measured_to_expected_ratio.observe(took_ms / expected.first_token_ms.max(1.0));
            self.record_speed(
                request,
                &chosen.upstream,
                SampleKind::FirstToken,
                took_ms,
                expected.first_token_ms,
            );
        }
    }

    /// Records the time of a complete, successful response of a plain service.
    pub(crate) fn record_plain_work(&self, request: &CallerRequest, in_flight: &InFlight) {
        let expected = in_flight.expected_work();
        let Some((kind, expected_ms)) = expected.plain else { return };
        // Requests wait in turn for the slots, so the time without the wait is smaller by the load of a slot.
        let work_ms = in_flight.elapsed().as_secs_f64() * 1_000.0 / expected.load_factor;
        self.metrics.measured_to_expected_ratio.observe(work_ms / expected_ms.max(1.0));
        self.record_speed(request, &in_flight.upstream, SampleKind::Request, work_ms, expected_ms);
        self.upstreams.speeds(&request.service).costs.borrow_mut().record(kind, work_ms, self.now_ms());
    }

    /// Records the mean gap between events of a stream.
    pub(crate) fn record_event_gap(&self, request: &CallerRequest, upstream: &Upstream, gap: Duration) {
        let speeds = self.upstreams.speeds(&request.service);
        let gap_ms = gap.as_secs_f64() * 1_000.0;
        speeds.record_event_gap(gap_ms);
        let expected_ms = speeds.event_gap_ms.get().unwrap_or(gap_ms);
        self.record_speed(request, upstream, SampleKind::EventGap, gap_ms, expected_ms);
    }

    /// Records the number of events of a complete stream. Of one that its caller took up, only the rest is known.
    pub(crate) fn record_output(&self, request: &CallerRequest, events: u64) {
        if events > 0 && request.headers.prompt.is_some() && request.headers.resume_after.is_none() {
            let speeds = self.upstreams.speeds(&request.service);
            speeds.costs.borrow_mut().record(kind_of(request), events as f64, self.now_ms());
        }
    }

    fn record_speed(
        &self,
        request: &CallerRequest,
        upstream: &Upstream,
        kind: SampleKind,
        took_ms: f64,
        expected_ms: f64,
    ) {
        let speeds = self.upstreams.speeds(&request.service);
        let slowness = speeds.baseline.borrow_mut().slowness(kind, took_ms, expected_ms);
        if let Some(slowness) = slowness {
            upstream.learned().record_slowness(slowness, self.now_ms());
        }
    }

    /// Updates the gauge of slow upstreams.
    pub(crate) fn update_speed_gauge(&self) {
        let now_ms = self.now_ms();
        let slow = self.upstreams.count(|upstream| upstream.learned().speed(now_ms) < SLOW_SPEED);
        self.metrics.slow_upstreams.set(i64::try_from(slow).unwrap_or(i64::MAX));
    }
}

fn kind_of(request: &CallerRequest) -> RequestKind {
    let size =
        request.headers.prompt.as_ref().map_or(request.body.len() as u64, |prompt| prompt.prompt_tokens);
    RequestKind {
        route: stable_hash(&request.route.name),
        customer: request.customer.as_ref().map_or(0, |customer| stable_hash(&customer.name.as_str())),
        size_bucket: size_bucket(size),
    }
}
