//! Updates the state of an upstream, its availability zone and its request from the outcome of an attempt.

use std::{rc::Rc, time::Duration};

use daisysill_cluster::BootInstant;
use daisysill_core::upstream_contact::Reach;
use daisysill_wire::peer::UpstreamCrash;
use tokio::time::sleep;

use crate::{
    caller_request::{AttemptHistory, CallerRequest},
    connection::UpstreamConnection,
    duration::millis,
    exchange::{AttemptError, UpstreamResponse},
    forward::Gateway,
    placement::ChosenUpstream,
    upstreams::Upstream,
};

/// Minimum number of prefilled tokens for a sample of the prefill speed.
const MIN_SAMPLE_TOKENS: u64 = 1_500;
/// Delay between a broken connection and the check for a crash of its upstream.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(150);
/// Time in which this node notices that it has lost its links to all upstreams, which looks the same.
const LOST_LINKS_CHECK_DELAY: Duration = Duration::from_millis(400);
/// Time for a new connection in that check.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// When an upstream crashed, if it did.
#[derive(Clone, Copy)]
enum CrashTime {
    /// When a connection to it broke.
    At(BootInstant),
    /// Some time before the check.
    BeforeCheck,
}

impl Gateway {
    /// Records the head of a response: reachability, weight version, failures, prefill speed and cached prefix.
    pub(crate) fn record_response(
        &self,
        request: &CallerRequest,
        chosen: &ChosenUpstream,
        response: &UpstreamResponse,
        took: Duration,
    ) {
        let upstream = &chosen.upstream;
        self.zone_reachability.borrow_mut().record_response(&upstream.entry.zone);
        let model = request.headers.prompt.as_ref().map(|prompt| prompt.model.as_str());
        if let (Some(model), Some(version)) = (model, response.weight_version) {
            upstream.record_version(model, version);
        }
        if !response.head.status.is_success() {
            upstream.record_failure();
            return;
        }
        if chosen.pending_prefill_tokens >= MIN_SAMPLE_TOKENS && upstream.in_flight() <= 2 {
            self.upstreams.speeds(&request.service).record_prefill(chosen.pending_prefill_tokens, took);
        }
        self.record_first_token(request, chosen, took);
        if let Some((prefix, tokens)) = chosen.prefix {
            let memory_tokens = self.engine(&request.service).map_or(0, |engine| engine.memory_tokens);
            upstream.record_prefix(prefix, tokens, memory_tokens);
        }
    }

    /// Records a failed attempt with its upstream, its zone and the request's history.
    pub(crate) fn record_failure(
        &self,
        request: &Rc<CallerRequest>,
        history: &mut AttemptHistory,
        chosen: &ChosenUpstream,
        error: AttemptError,
    ) {
        let upstream = &chosen.upstream;
        history.is_attempt_open = false;
        if !error.was_sent() {
            history.sends.mark_unsent();
        }
        match error {
            AttemptError::NotSent => {
                history.unreachable += 1;
                upstream.record_unreachable();
                self.mark_possibly_cold(upstream);
                self.contact.record_failure(upstream, self.now_ms());
                self.zone_reachability.borrow_mut().record_failure(
                    &upstream.entry.zone,
                    &upstream.entry.id,
                    self.now_ms(),
                );
            }
            AttemptError::NoConnectionLeft | AttemptError::Withdrawn => history.unreachable += 1,
            AttemptError::Refused => {
                history.refusals += 1;
                upstream.record_failure();
                self.record_place_rejection(request);
            }
            AttemptError::Misdirected => {
                history.refusals += 1;
                self.record_misdirected(request, chosen);
            }
            AttemptError::Broken => {
                history.may_have_run += 1;
                upstream.record_failure();
                self.check_for_crash(request, upstream);
            }
            AttemptError::TimedOut => {
                history.may_have_run += 1;
                upstream.record_failure();
            }
        }
        history.tried.push(upstream.entry.id.clone());
    }

    /// Records a misdirected attempt: if it was sent for older weights than the target version, the upstream has the
    /// target version by now; otherwise another upstream has its address.
    fn record_misdirected(&self, request: &CallerRequest, chosen: &ChosenUpstream) {
        let model = request.headers.prompt.as_ref().map(|prompt| prompt.model.as_str());
        let target = model.and_then(|model| self.routing.target_version(model));
        match (model, target, chosen.version) {
            (Some(model), Some(target), Some(sent)) if sent < target => {
                chosen.upstream.record_version(model, target);
            }
            _ => chosen.upstream.mark_replaced(),
        }
    }

    /// Reports a crash under the request if its upstream, whose connection broke, accepts no new connection although this
    /// node reaches others.
    pub(crate) fn check_for_crash(&self, request: &CallerRequest, upstream: &Rc<Upstream>) {
        self.mark_possibly_cold(upstream);
        self.check_for_crash_since(request, upstream, CrashTime::At(BootInstant::now()));
    }

    /// Reports a crash of an upstream soon after it has answered a request that broke before, as evidence against the parts
    /// of its prompt: otherwise only the requests that were sent there meanwhile would explain the crash.
    pub(crate) fn check_for_crash_after_answer(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
        upstream: &Rc<Upstream>,
    ) {
        if history.may_have_run > 0 && !request.part_keys.is_empty() {
            self.check_for_crash_since(request, upstream, CrashTime::BeforeCheck);
        }
    }

    fn check_for_crash_since(&self, request: &CallerRequest, upstream: &Rc<Upstream>, time: CrashTime) {
        let cluster = self.cluster.clone();
        let address = upstream.entry.address;
        let crash = UpstreamCrash {
            fingerprint: request.fingerprint,
            upstream: upstream.entry.id.clone(),
            started_unix_ms: upstream.entry.started_unix_ms,
        };
        let request_id = request.headers.request_id.clone();
        let parts = request.part_keys.clone();
        let now = BootInstant::now();
        let sent_at = now.checked_sub(request.arrived.elapsed()).unwrap_or(now);
        let (contact, upstream, now_ms) = (Rc::clone(&self.contact), Rc::clone(upstream), self.now_ms());
        actix_rt::spawn(async move {
            sleep(CRASH_CHECK_DELAY).await;
            if UpstreamConnection::connect(address, CRASH_CHECK_TIMEOUT).await.is_err() {
                let broke_at = match time {
                    CrashTime::At(broke_at) => broke_at,
                    CrashTime::BeforeCheck => BootInstant::now(),
                };
                contact.record_failure(&upstream, now_ms + millis(now.elapsed()));
                sleep(LOST_LINKS_CHECK_DELAY).await;
                if contact.reach() != Reach::InTouch {
                    return;
                }
                tracing::info!(
                    event = "crash_seen",
                    request_id,
                    parts = ?parts,
                    upstream = crash.upstream.as_str(),
                    fingerprint = crash.fingerprint
                );
                if !parts.is_empty() {
                    cluster.report_broken_prompt(parts, crash.clone(), sent_at, broke_at);
                }
                // An answered request isn't blocked itself.
                if matches!(time, CrashTime::At(_)) {
                    cluster.report_crash(crash);
                }
            }
        });
    }

    /// Reports that the request completed if crashes were seen under it or a part of its prompt, which this clears. A
    /// request that broke before clears nothing: resumed near its end, it may complete just before the upstream crashes.
    pub(crate) fn record_completion(&self, request: &CallerRequest, history: &AttemptHistory) {
        if history.may_have_run > 0 {
            return;
        }
        let published = self.cluster.published_upstreams();
        let is_suspected = |key: &u64| published.borrow().crash_counts.contains_key(key);
        let keys = request.part_keys.iter().chain([&request.fingerprint]);
        let suspected: Vec<u64> = keys.copied().filter(is_suspected).collect();
        if !suspected.is_empty() {
            self.cluster.report_completion(suspected);
        }
    }

    /// Records the time that a request took.
    pub(crate) fn record_duration(&self, request: &CallerRequest, took: Duration) {
        self.upstreams.speeds(&request.service).record_request(took);
    }
}
