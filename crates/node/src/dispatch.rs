//! Serves a prompt: admission, choice of an upstream, attempts, and resumption elsewhere after a failure.

use std::{cell::OnceCell, collections::BTreeMap, rc::Rc, sync::Arc};

use daisysill_core::{
    block::BlockName,
    ids::{InstanceId, WeightVersion},
    result_code::{ResultCode, RunState},
    route::Decision,
    rules::ServiceRules,
    view::ClusterView,
};
use daisysill_wire::http_types::Usage;
use rand::RngExt;
use tokio::{sync::mpsc::Sender, time::Instant};

use crate::{
    admission_control::{AdmissionRequest, AdmissionSlot},
    assignment::NextStep,
    config::ServiceConfig,
    crash::fingerprint,
    exchange::Exchange,
    prompt_choice::{self, PromptChoice, PromptContent},
    prompt_runs::part_keys,
    refusal::Refusal,
    request::RequestLifecycle,
    shared::Shared,
    upstream_api::{AttemptError, Engine, ZONE_EVACUATED},
    upstream_pauses::UpstreamPauses,
};

/// Suggested retry delay if no upstream is available, or no majority is reachable.
pub(crate) const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// Suggested retry delay if every attempt failed.
const ATTEMPT_FAILED_RETRY_MS: u64 = 500;

/// A prompt to serve.
#[derive(Clone, Debug)]
pub struct PromptRequest {
    /// For a chat, all its messages joined.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Name of a fine-tuned adapter; empty for the base model.
    pub adapter: String,
    /// When the response must be complete.
    pub deadline: Instant,
}

/// One event of the response to a prompt.
#[derive(Clone, Debug)]
pub enum ResponseEvent {
    /// Text of the next token.
    Token(String),
    /// The response is complete; the last event.
    Finished {
        /// Why generation ended, as the engine reports it.
        finish_reason: String,
        /// Token counts, as the engine reports them.
        usage: Usage,
    },
    /// The response will not be completed; the last event, possibly after some tokens.
    Refused(Refusal),
}

/// How an attempt ended.
pub(crate) enum AttemptOutcome {
    Finished,
    CallerDisconnected,
    /// Nothing arrived within the progress timeout; the upstream may still go on.
    Silent(Box<Exchange>),
    /// The silent attempt before it went on first.
    Overtaken,
    /// Nothing was sent, since the upstream's zone was evacuated meanwhile.
    Evacuated,
    Failed(Box<Exchange>, AttemptError),
}

/// Serves one prompt; owns the request's life cycle until the response is complete or refused.
pub struct Dispatch {
    pub(crate) shared: Arc<Shared>,
    pub(crate) engine: Rc<dyn Engine>,
    pub(crate) lifecycle: RequestLifecycle,
    pub(crate) request: PromptRequest,
    service: ServiceConfig,
    pub(crate) rules: ServiceRules,
    pub(crate) sender: Sender<ResponseEvent>,
    pub(crate) delivered_tokens: u64,
    pub(crate) delivered_text: String,
    pub(crate) pinned_version: Option<WeightVersion>,
    pub(crate) excluded: Vec<InstanceId>,
    /// Upstreams with a silent connection during this request; the next one is held against the upstream.
    pub(crate) silent_once: Vec<InstanceId>,
    pub(crate) fingerprint: String,
    /// Upstreams that refused this request; they are excluded until their pause has ended while a silent one is awaited.
    pub(crate) pauses: UpstreamPauses,
    /// An attempt whose upstream is silent; kept until another upstream sends the next token.
    pub(crate) silent: Option<Box<Exchange>>,
    /// Attempts that may have run.
    pub(crate) attempts: u64,
    last_error: Option<AttemptError>,
    /// Keys of the prompt's prefixes, computed when they are first needed.
    parts: OnceCell<Vec<u64>>,
    /// Whether any attempt failed after it was sent, so that the request may have been executed.
    pub(crate) may_have_run: bool,
    /// Whether an attempt that was sent is in progress.
    pub(crate) is_attempt_open: bool,
}

impl Dispatch {
    /// Prepares to serve a prompt; `lifecycle` must be in the state `admitting`.
    pub fn new(
        shared: &Arc<Shared>,
        engine: Rc<dyn Engine>,
        lifecycle: RequestLifecycle,
        request: PromptRequest,
        service: ServiceConfig,
        sender: Sender<ResponseEvent>,
    ) -> Self {
        let fingerprint =
            fingerprint(&lifecycle.customer, &lifecycle.service, &request.adapter, &request.prompt);
        Self {
            fingerprint,
            silent_once: Vec::new(),
            pauses: UpstreamPauses::default(),
            silent: None,
            attempts: 0,
            last_error: None,
            parts: OnceCell::new(),
            may_have_run: false,
            is_attempt_open: false,
            rules: shared.rules_of(&lifecycle.service),
            shared: Arc::clone(shared),
            engine,
            lifecycle,
            request,
            service,
            sender,
            delivered_tokens: 0,
            delivered_text: String::new(),
            pinned_version: None,
            excluded: Vec::new(),
        }
    }

    /// Serves the prompt; ends its response in any case before the process exits.
    pub async fn run(mut self) {
        let shared = Arc::clone(&self.shared);
        let refusal = tokio::select! {
            biased;
            refusal = self.serve() => refusal,
            () = shared.planned_stop.near_end() => {
                Some(Refusal::cut_short(self.may_have_run || self.is_attempt_open))
            }
        };
        if let Some(refusal) = refusal {
            self.refuse(refusal).await;
        }
    }

    /// Serves the prompt, and retries within the limits of the service's rules; returns the refusal of a request that is
    /// not served.
    async fn serve(&mut self) -> Option<Refusal> {
        if let Some(refusal) = self.block() {
            return Some(refusal);
        }
        let mut slot = match self.admit().await {
            Some(Ok(slot)) => slot,
            Some(Err(refusal)) => {
                self.lifecycle.record_admission(&refusal.message);
                return Some(refusal);
            }
            None => {
                self.lifecycle.apply_event("disconnected");
                return None;
            }
        };
        self.lifecycle.record_admission(&slot.reason);
        self.lifecycle.apply_event("admitted");
        loop {
            let outcome = match self.next_step().await {
                NextStep::Attempt(assignment) => self.attempt(*assignment).await,
                NextStep::AwaitSilent(exchange) => self.await_silent(exchange).await,
                NextStep::Refuse(refusal) => return Some(refusal),
            };
            match outcome {
                AttemptOutcome::Finished => {
                    self.complete(slot);
                    return None;
                }
                AttemptOutcome::CallerDisconnected => {
                    self.lifecycle.apply_event("disconnected");
                    return None;
                }
                AttemptOutcome::Evacuated => {
                    self.last_error = Some(AttemptError::NotSent(ZONE_EVACUATED.to_owned()));
                }
                AttemptOutcome::Silent(exchange) => {
                    self.handle_silence(exchange).await;
                    self.last_error = Some(AttemptError::Silent);
                }
                // It may have run, and counts against the limit of attempts.
                AttemptOutcome::Overtaken => self.attempts += 1,
                AttemptOutcome::Failed(exchange, error) => {
                    // A permitted run ends after the report of a crash, so that no other one is permitted in between.
                    self.handle_failure(&exchange, &error).await;
                    if matches!(error, AttemptError::Refused { leaving: false, .. }) {
                        slot.record_overload();
                    }
                    self.last_error = Some(error);
                }
            }
            if self.sender.is_closed() {
                break;
            }
            if Instant::now() >= self.request.deadline {
                if self.finish_silent().await {
                    self.complete(slot);
                    return None;
                }
                slot.record_overload();
                break;
            }
        }
        Some(self.refusal())
    }

    /// Records that the response is complete.
    fn complete(&mut self, mut slot: AdmissionSlot) {
        self.report_completion();
        slot.record_served();
        self.lifecycle.set_result(ResultCode::Ok);
    }

    /// Waits for a slot; `None` if the caller disconnected.
    async fn admit(&self) -> Option<Result<AdmissionSlot, Refusal>> {
        let request = AdmissionRequest {
            customer: &self.lifecycle.customer,
            service: &self.lifecycle.service,
            shares: &self.rules.shares,
            slots: self.service.slots,
            deadline: self.request.deadline,
        };
        tokio::select! {
            admitted = self.shared.admission.admit(&request) => Some(admitted),
            () = self.sender.closed() => None,
        }
    }

    /// Returns the keys of the prompt's prefixes, which do not depend on a weight version.
    pub(crate) fn parts(&self) -> &[u64] {
        self.parts.get_or_init(|| {
            let choice = self.prompt_choice();
            part_keys(&choice.scope(WeightVersion::default()), &self.request.prompt, choice.piece_bytes())
        })
    }

    /// Returns what the choice of an upstream depends on.
    fn prompt_choice(&self) -> PromptChoice<'_> {
        PromptChoice {
            customer: &self.lifecycle.customer,
            service: &self.lifecycle.service,
            adapter: &self.request.adapter,
            content: PromptContent::Text(&self.request.prompt),
            config: &self.service,
            rules: &self.rules,
            zone: &self.shared.config.node.zone,
            pinned_version: self.pinned_version,
            excluded: &self.excluded,
        }
    }

    pub(crate) fn choose(&mut self) -> Option<Decision> {
        let (view, now_ms) = self.shared.placement_view();
        let decision = self.prompt_choice().choose(&view, now_ms, rand::rng().random::<f64>())?;
        let reason = prompt_choice::reason(&view, now_ms, &decision);
        self.lifecycle.record_decision(&reason);
        let span = self.lifecycle.span.child("decision");
        span.set("reason", reason);
        Some(decision)
    }

    /// Returns the block names of the prompt's complete pieces for each weight version of the service's upstreams.
    pub(crate) fn pieces_by_version(&self, view: &ClusterView) -> BTreeMap<WeightVersion, Vec<BlockName>> {
        self.prompt_choice().pieces_by_version(view)
    }

    pub(crate) fn refusal(&self) -> Refusal {
        let past_deadline = Instant::now() >= self.request.deadline;
        match &self.last_error {
            Some(error) if past_deadline && !error.is_not_run() => Refusal::new(
                ResultCode::DeadlineExceeded,
                "the deadline passed before the answer was complete",
            ),
            None | Some(AttemptError::NotSent(_) | AttemptError::TooLate) => no_upstream(),
            Some(AttemptError::Refused { message, retry_after_ms, .. }) => {
                Refusal::new(ResultCode::UpstreamRefused, message.as_str())
                    .retry_after_ms(retry_after_ms.unwrap_or(NO_UPSTREAM_RETRY_MS))
            }
            Some(error) => Refusal::new(ResultCode::UpstreamFailed, error.to_string())
                .retry_after_ms(ATTEMPT_FAILED_RETRY_MS),
        }
    }

    async fn refuse(mut self, mut refusal: Refusal) {
        if self.may_have_run && refusal.run_state == RunState::NotRun {
            // An earlier attempt may have been executed although the last one was not.
            refusal.run_state = RunState::MayHaveRun;
        }
        self.lifecycle.apply_event("refused");
        self.lifecycle.set_result(refusal.code);
        // Fails only if the caller disconnected.
        let _ = self.sender.send(ResponseEvent::Refused(refusal)).await;
    }
}

/// Returns the refusal of a request that no upstream could accept.
pub(crate) fn no_upstream() -> Refusal {
    Refusal::new(ResultCode::NoUpstream, "no upstream of the service is available")
        .retry_after_ms(NO_UPSTREAM_RETRY_MS)
}
