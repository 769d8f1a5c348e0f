//! Serves a prompt: chooses an upstream, attempts, relays, and goes on elsewhere when a stream is cut.

use std::{collections::BTreeMap, rc::Rc, sync::Arc};

use daisysill_control::{command::RunRefusal, crashes::REPORT_WINDOW_MS};
use daisysill_core::{
    block::{BlockName, BlockScope, piece_names},
    ids::{InstanceId, WeightVersion},
    result_code::{ResultCode, RunState},
    route::{self, Decision, RoutePolicy, RouteRequest},
    rules::ServiceRules,
    view::ClusterView,
};
use daisysill_wire::http_types::Usage;
use rand::RngExt;
use tokio::{sync::mpsc::Sender, time::Instant};

use crate::{
    admission_control::{AdmissionRequest, AdmissionSlot},
    config::ServiceConfig,
    crash::{GrantedRun, PlannedRun, RunPermission, fingerprint},
    refusal::Refusal,
    request::RequestLifecycle,
    shared::Shared,
    upstream_api::{AttemptError, Engine},
};

/// Cost of sending a request to another availability zone, in microseconds.
const CROSS_ZONE_US: f64 = 1_000.0;
/// When to come back if no upstream is available.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// When to come back if every attempt failed.
const FAILED_RETRY_MS: u64 = 500;

/// A prompt to be served.
#[derive(Clone, Debug)]
pub struct PromptRequest {
    /// The prompt's text.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// The adapter, empty for the base model.
    pub adapter: String,
    /// When the whole answer must be there.
    pub deadline: Instant,
}

/// What the caller's side gets while a prompt is served.
#[derive(Clone, Debug)]
pub enum ResponseEvent {
    /// The next token.
    Token(String),
    /// The answer is complete.
    Finished {
        /// Why generation ended.
        finish_reason: String,
        /// Token counts.
        usage: Usage,
    },
    /// The answer will not be completed.
    Refused(Refusal),
}

/// Why a request that was part of a crash does not run as decided.
enum NotPermitted {
    /// It may run at another upstream.
    Elsewhere,
    /// It must not run now.
    Refused(Refusal),
}

/// How an attempt ended.
pub(crate) enum Attempt {
    Finished,
    CallerGone,
    Failed(AttemptError),
}

/// Serves one prompt; owns the request's life cycle until the caller has its answer.
pub struct Dispatch {
    pub(crate) shared: Arc<Shared>,
    pub(crate) engine: Rc<dyn Engine>,
    pub(crate) life: RequestLifecycle,
    pub(crate) request: PromptRequest,
    service: ServiceConfig,
    pub(crate) rules: ServiceRules,
    pub(crate) sender: Sender<ResponseEvent>,
    pub(crate) delivered_tokens: u64,
    pub(crate) delivered_text: String,
    pub(crate) pinned_version: Option<WeightVersion>,
    pub(crate) excluded: Vec<InstanceId>,
    /// Upstreams at which a connection went silent once.
    pub(crate) silent_once: Vec<InstanceId>,
    pub(crate) fingerprint: String,
    /// Incarnation of the upstream of the current attempt when the attempt began.
    pub(crate) incarnation: u64,
    /// Whether an attempt failed after it was sent.
    pub(crate) may_have_run: bool,
}

impl Dispatch {
    /// Prepares to serve a prompt; the life cycle is in the state `admitting`.
    pub fn new(
        shared: &Arc<Shared>,
        engine: Rc<dyn Engine>,
        life: RequestLifecycle,
        request: PromptRequest,
        service: ServiceConfig,
        sender: Sender<ResponseEvent>,
    ) -> Self {
        let fingerprint = fingerprint(&life.customer, &life.service, &request.adapter, &request.prompt);
        Self {
            fingerprint,
            silent_once: Vec::new(),
            incarnation: 0,
            may_have_run: false,
            rules: shared.rules_of(&life.service),
            shared: Arc::clone(shared),
            engine,
            life,
            request,
            service,
            sender,
            delivered_tokens: 0,
            delivered_text: String::new(),
            pinned_version: None,
            excluded: Vec::new(),
        }
    }

    /// Serves the prompt to its end.
    pub async fn run(mut self) {
        if self.is_blocked() {
            return self.refuse(blocked()).await;
        }
        let mut slot = match self.admit().await {
            Some(Ok(slot)) => slot,
            Some(Err(refusal)) => {
                self.life.admission(&refusal.message);
                return self.refuse(refusal).await;
            }
            None => return self.life.event("disconnected"),
        };
        self.life.admission(&slot.reason);
        self.life.event("admitted");
        let mut last_error = None;
        let mut attempts = 0;
        while attempts < self.rules.retries.max_attempts {
            // Asked before each attempt: the request may have taken down the upstream of the last one.
            if self.is_blocked() {
                return self.refuse(blocked()).await;
            }
            let Some(decision) = self.choose() else { break };
            let run = match self.permission(&decision).await {
                Ok(run) => run,
                Err(NotPermitted::Elsewhere) => {
                    self.excluded.push(decision.upstream);
                    continue;
                }
                Err(NotPermitted::Refused(refusal)) => return self.refuse(refusal).await,
            };
            self.life.event("chosen");
            match self.attempt(&decision).await {
                Attempt::Finished => {
                    if let Some(run) = run {
                        run.finished();
                    }
                    slot.served();
                    return self.life.result(ResultCode::Ok);
                }
                Attempt::CallerGone => return self.life.event("disconnected"),
                Attempt::Failed(error) => {
                    // An upstream that did not run the request is left out from now on, so that this ends; it
                    // counts as no attempt, since all engines that load new weights may refuse in turn.
                    attempts += u64::from(!error.is_not_run());
                    // The crash is reported before the run ends, so that no other run is permitted in between.
                    self.note_failure(&decision.upstream, &error).await;
                    drop(run);
                    if matches!(error, AttemptError::Refused { leaving: false, .. }) {
                        slot.overloaded();
                    }
                    last_error = Some(error);
                }
            }
            if self.sender.is_closed() {
                break;
            }
            if Instant::now() >= self.request.deadline {
                slot.overloaded();
                break;
            }
        }
        let refusal = self.refusal(last_error);
        self.refuse(refusal).await;
    }

    /// Waits for a slot; `None` if the caller has gone.
    async fn admit(&self) -> Option<Result<AdmissionSlot, Refusal>> {
        let request = AdmissionRequest {
            customer: &self.life.customer,
            service: &self.life.service,
            shares: &self.rules.shares,
            slots: self.service.slots,
            deadline: self.request.deadline,
        };
        tokio::select! {
            admitted = self.shared.admission.admit(&request) => Some(admitted),
            () = self.sender.closed() => None,
        }
    }

    fn is_blocked(&self) -> bool {
        let view = Arc::clone(&self.shared.cluster.view().borrow());
        self.shared.blocked_requests.contains(&view.blocked, &self.fingerprint, &self.rules)
    }

    /// Asks whether a request that was part of a crash may run where it was decided.
    async fn permission(&mut self, decision: &Decision) -> Result<Option<GrantedRun>, NotPermitted> {
        let planned = PlannedRun {
            upstream: &decision.upstream,
            fingerprint: &self.fingerprint,
            rules: &self.rules,
            deadline: self.request.deadline,
        };
        match planned.permission(&self.shared).await {
            RunPermission::Free => Ok(None),
            RunPermission::Granted(run) => Ok(Some(run)),
            RunPermission::Refused(RunRefusal::UpstreamTaken) => {
                self.life.decision(&format!("{}: runs another request of a crash", decision.upstream));
                Err(NotPermitted::Elsewhere)
            }
            RunPermission::Refused(RunRefusal::Wait) => Err(NotPermitted::Refused(waits_for_crash())),
            RunPermission::Refused(RunRefusal::Blocked) => Err(NotPermitted::Refused(blocked())),
            RunPermission::NoQuorum => Err(NotPermitted::Refused(no_quorum())),
        }
    }

    fn choose(&mut self) -> Option<Decision> {
        let (view, now_ms) = self.shared.upstreams.view();
        let pieces = self.pieces_by_version(&view);
        let prompt_bytes = self.request.prompt.len() as u64;
        let request = RouteRequest {
            service: &self.life.service,
            zone: &self.shared.config.node.zone,
            pieces: &pieces,
            prompt_tokens: prompt_bytes.div_ceil(self.service.bytes_per_token),
            pinned_version: self.pinned_version,
            excluded: &self.excluded,
            now_ms,
        };
        let policy = RoutePolicy {
            piece_tokens: self.service.piece_tokens,
            piece_bytes: self.service.piece_bytes,
            recompute_weight_us: self.rules.costs.recompute_weight_us as f64,
            cross_zone_us: CROSS_ZONE_US,
            prefill_during_restore: false,
            near_tie_factor: route::NEAR_TIE_FACTOR,
        };
        let decision = route::choose(&view, &request, &policy, rand::rng().random::<f64>())?;
        let basis = self.shared.upstreams.load_basis(&decision.upstream).unwrap_or_default();
        let reason = format!("{}; {basis}", decision.reason);
        self.life.decision(&reason);
        let span = self.life.span.child("decision");
        span.set("reason", reason);
        Some(decision)
    }

    /// Names the whole pieces of the prompt for each weight version in service, in the scope of this request.
    pub(crate) fn pieces_by_version(&self, view: &ClusterView) -> BTreeMap<WeightVersion, Vec<BlockName>> {
        let piece_bytes = self.service.piece_tokens * self.service.bytes_per_token;
        let piece_bytes = usize::try_from(piece_bytes).unwrap_or(usize::MAX);
        let mut pieces = BTreeMap::new();
        for upstream in view.upstreams().filter(|u| u.service == self.life.service) {
            pieces.entry(upstream.weight_version).or_insert_with(|| {
                let scope = BlockScope {
                    customer: &self.life.customer,
                    service: &self.life.service,
                    adapter: &self.request.adapter,
                    weight_version: upstream.weight_version,
                };
                piece_names(&scope, &self.request.prompt, piece_bytes)
            });
        }
        pieces
    }

    fn refusal(&self, last_error: Option<AttemptError>) -> Refusal {
        let past_deadline = Instant::now() >= self.request.deadline;
        match last_error {
            Some(error) if past_deadline && !error.is_not_run() => Refusal::new(
                ResultCode::DeadlineExceeded,
                "the deadline passed before the answer was complete",
            ),
            None | Some(AttemptError::NotSent(_) | AttemptError::TooLate) => {
                Refusal::new(ResultCode::NoUpstream, "no upstream of the service is available")
                    .retry_after_ms(NO_UPSTREAM_RETRY_MS)
            }
            Some(AttemptError::Refused { message, retry_after_ms, .. }) => {
                Refusal::new(ResultCode::UpstreamRefused, message)
                    .retry_after_ms(retry_after_ms.unwrap_or(NO_UPSTREAM_RETRY_MS))
            }
            Some(error) => {
                Refusal::new(ResultCode::UpstreamFailed, error.to_string()).retry_after_ms(FAILED_RETRY_MS)
            }
        }
    }

    async fn refuse(mut self, mut refusal: Refusal) {
        if self.may_have_run && refusal.run_state == RunState::NotRun {
            // An earlier attempt got further than the last one.
            refusal.run_state = RunState::MayHaveRun;
        }
        self.life.event("refused");
        self.life.result(refusal.code);
        // A caller that has gone needs no refusal.
        let _ = self.sender.send(ResponseEvent::Refused(refusal)).await;
    }
}

fn blocked() -> Refusal {
    Refusal::new(ResultCode::RequestBlocked, "the request is blocked because it took down upstreams")
}

fn waits_for_crash() -> Refusal {
    let message = "the request was part of a crash whose reports are arriving, or is running elsewhere";
    Refusal::new(ResultCode::RequestBlocked, message).retry_after_ms(REPORT_WINDOW_MS)
}

fn no_quorum() -> Refusal {
    let message = "the request was part of a crash, and no majority is in reach to permit another run";
    Refusal::new(ResultCode::NoQuorum, message).retry_after_ms(NO_UPSTREAM_RETRY_MS)
}
