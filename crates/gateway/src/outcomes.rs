//! What the outcome of an attempt tells of its upstream, its zone and its request.

use std::{rc::Rc, time::Duration};

use daisysill_wire::peer::UpstreamCrash;
use tokio::time::sleep;

use crate::{
    caller_request::{Call, Progress},
    connection::UpstreamConnection,
    exchange::{Answer, AttemptError},
    forward::Gateway,
    placement::Chosen,
    upstreams::Upstream,
};

/// Samples of the reading speed are taken from prompts of this size on.
const SPEED_SAMPLE_TOKENS: u64 = 1_500;
/// Time until a broken connection is checked for a crash of its upstream, and for the check itself.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(150);
const CRASH_CHECK_LIMIT: Duration = Duration::from_millis(300);

impl Gateway {
    /// Notes what an answer tells of its upstream.
    pub(crate) fn note_answer(&self, call: &Call, chosen: &Chosen, answer: &Answer, took: Duration) {
        let upstream = &chosen.upstream;
        self.zones.borrow_mut().record_answer(&upstream.entry.zone);
        let model = call.headers.prompt.as_ref().map(|prompt| prompt.model.as_str());
        if let (Some(model), Some(version)) = (model, answer.weight_version) {
            upstream.learn_version(model, version);
        }
        if !answer.head.status.is_success() {
            upstream.failed();
            return;
        }
        if chosen.pending_prefill_tokens >= SPEED_SAMPLE_TOKENS && upstream.in_flight() <= 2 {
            self.upstreams.speeds(&call.service).read(chosen.pending_prefill_tokens, took);
        }
        if let Some((session, tokens)) = chosen.session {
            let memory_tokens = self.engine(&call.service).map_or(0, |engine| engine.memory_tokens);
            upstream.remember_session(session, tokens, memory_tokens);
        }
    }

    /// Notes what a failed attempt tells of its upstream and uses up of the request.
    pub(crate) fn note_error(
        &self,
        call: &Rc<Call>,
        progress: &mut Progress,
        chosen: &Chosen,
        error: AttemptError,
    ) {
        let upstream = &chosen.upstream;
        if !error.was_sent() {
            progress.sends.mark_unsent();
        }
        match error {
            AttemptError::NotSent => {
                progress.unreachable += 1;
                upstream.unreachable();
                self.zones.borrow_mut().record_failure(
                    &upstream.entry.zone,
                    &upstream.entry.id,
                    self.now_ms(),
                );
            }
            AttemptError::NoConnectionLeft => progress.unreachable += 1,
            AttemptError::Refused => {
                progress.refusals += 1;
                upstream.failed();
            }
            AttemptError::Misdirected => {
                progress.refusals += 1;
                self.note_misdirected(call, chosen);
            }
            AttemptError::Broken => {
                progress.may_have_run += 1;
                upstream.failed();
                self.check_for_crash(call, upstream);
            }
            AttemptError::TimedOut => {
                progress.may_have_run += 1;
                upstream.failed();
            }
        }
        progress.tried.push(upstream.entry.id.clone());
    }

    /// Another upstream answers there, or the upstream has the weights that were named last.
    fn note_misdirected(&self, call: &Call, chosen: &Chosen) {
        let model = call.headers.prompt.as_ref().map(|prompt| prompt.model.as_str());
        let named = model.and_then(|model| self.routing.named_version(model));
        match (model, named, chosen.version) {
            (Some(model), Some(named), Some(sent)) if sent < named.version => {
                chosen.upstream.learn_version(model, named.version);
            }
            _ => chosen.upstream.set_gone(),
        }
    }

    /// Reports the request if the upstream whose connection broke does not accept connections any more.
    pub(crate) fn check_for_crash(&self, call: &Call, upstream: &Upstream) {
        let cluster = self.cluster.clone();
        let address = upstream.entry.address;
        let sighting = UpstreamCrash {
            fingerprint: call.fingerprint,
            upstream: upstream.entry.id.clone(),
            started_unix_ms: upstream.entry.started_unix_ms,
        };
        actix_rt::spawn(async move {
            sleep(CRASH_CHECK_DELAY).await;
            if UpstreamConnection::connect(address, CRASH_CHECK_LIMIT).await.is_err() {
                tracing::info!(
                    event = "crash_seen",
                    upstream = sighting.upstream.as_str(),
                    fingerprint = sighting.fingerprint
                );
                cluster.report_crash(sighting);
            }
        });
    }

    /// Notes how long a request took.
    pub(crate) fn note_finished(&self, call: &Call, took: Duration) {
        self.upstreams.speeds(&call.service).finished(took);
    }
}
