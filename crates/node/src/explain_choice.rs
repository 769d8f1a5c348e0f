//! Explains where a request would go now, for `daisysill where`, without sending it.
//!
//! The same checks and the same choice as for a request are made, but nothing is claimed, counted or sent.

use std::{sync::Arc, time::Duration};

use daisysill_core::{
    admission::Preview,
    block::BlockName,
    ids::{CustomerId, InstanceId, ServiceName, WeightVersion},
    result_code::ResultCode,
    route::CandidateTerms,
    rules::ServiceRules,
    view::ClusterView,
};
use daisysill_wire::http_types::{WhereCandidate, WhereExcluded, WhereOutcome, WhereReply, WhereRequest};
use rand::{RngExt, seq::IndexedRandom};
use tokio::time::Instant;

use crate::{
    admission_control::AdmissionRequest,
    auth::Customer,
    config::{ServiceConfig, ServiceKind},
    crash::{fingerprint, needs_permission},
    dispatch::no_upstream,
    plain_dispatch,
    prompt_choice::{self, PromptChoice, PromptContent},
    prompt_runs::{find_block, part_keys},
    refusal::Refusal,
    shared::Shared,
};

/// Number of polls after which the list or a load report counts as too old to decide: a single poll may be late.
const MAX_MISSED_POLLS: u64 = 5;

/// A request whose service and customer are known.
struct Question<'a> {
    shared: &'a Shared,
    service: ServiceName,
    customer: &'a Customer,
    config: &'a ServiceConfig,
    rules: ServiceRules,
    adapter: &'a str,
    /// `None` for plain services.
    content: Option<PromptContent<'a>>,
}

/// The upstreams that a choice considered, and the one that it chose.
struct Choice {
    upstream: Option<InstanceId>,
    reason: Option<String>,
    candidates: Vec<WhereCandidate>,
}

/// Returns where a request would go now, and why.
///
/// # Errors
/// Refuses a request for an unknown service or customer, and one that says too little about its prompt.
pub(crate) fn explain_choice(shared: &Shared, request: &WhereRequest) -> Result<WhereReply, Refusal> {
    let service = ServiceName::from(request.service.as_str());
    let config = shared.config.services.get(&service).filter(|config| config.kind != ServiceKind::Store);
    let config = config.ok_or_else(|| {
        Refusal::new(ResultCode::RouteUnknown, format!("no service {service} has upstreams"))
    })?;
    let id = CustomerId::from(request.customer.as_str());
    let customer = shared.authenticator.customer(&id).ok_or_else(|| {
        Refusal::new(ResultCode::ServiceForbidden, format!("the settings have no customer {id}"))
    })?;
    let names: Vec<BlockName> = request.pieces.iter().map(|name| BlockName::from(name.as_str())).collect();
    let content = match config.kind {
        ServiceKind::Model => Some(prompt_content(request, &names)?),
        ServiceKind::Plain | ServiceKind::Store => None,
    };
    let rules = shared.rules_of(&service);
    let adapter = request.adapter.as_deref().unwrap_or_default();
    Ok(Question { shared, service, customer, config, rules, adapter, content }.answer())
}

fn prompt_content<'a>(
    request: &'a WhereRequest,
    names: &'a [BlockName],
) -> Result<PromptContent<'a>, Refusal> {
    match (&request.prompt, request.prompt_tokens) {
        (Some(text), None) if names.is_empty() => Ok(PromptContent::Text(text)),
        (None, Some(tokens)) => Ok(PromptContent::Pieces { names, tokens }),
        _ => {
            let message = "a prompt is given either as its text or as its length in tokens with its pieces";
            Err(Refusal::new(ResultCode::BodyMalformed, message))
        }
    }
}

impl Question<'_> {
    fn answer(&self) -> WhereReply {
        let (view, now_ms) = self.shared.placement_view();
        let choice = match self.content {
            Some(content) => self.prompt_choice(content, &view, now_ms),
            None => self.plain_choice(&view),
        };
        let mut reply = WhereReply {
            outcome: WhereOutcome::Sent,
            result_code: u32::from(ResultCode::Ok.number()),
            reason: String::new(),
            retry_after_ms: None,
            warnings: self.warnings(&choice),
            excluded: self.excluded(&choice),
            upstream: choice.upstream.as_ref().map(ToString::to_string),
            decision: choice.reason,
            candidates: choice.candidates,
        };
        let is_chosen = choice.upstream.is_some();
        match self.admit().and_then(|admitted| if is_chosen { Ok(admitted) } else { Err(no_upstream()) }) {
            Ok((outcome, reason)) => (reply.outcome, reply.reason) = (outcome, reason),
            Err(refusal) => {
                reply.outcome = WhereOutcome::Refused;
                reply.result_code = u32::from(refusal.code.number());
                reply.retry_after_ms = refusal.retry_after_ms;
                reply.reason = refusal.message;
            }
        }
        reply
    }

    /// Makes the checks that come before the choice, in the order of a request.
    fn admit(&self) -> Result<(WhereOutcome, String), Refusal> {
        self.customer.check_service(&self.service)?;
        self.shared.check_config_known()?;
        self.shared.check_capacity()?;
        self.check_block()?;
        let request = AdmissionRequest {
            customer: &self.customer.id,
            service: &self.service,
            shares: &self.rules.shares,
            slots: self.config.slots,
            deadline: Instant::now() + Duration::from_millis(self.rules.deadlines.request_ms),
        };
        match self.shared.admission.preview(&request) {
            Preview::Admit { reason } => Ok((WhereOutcome::Sent, reason)),
            Preview::Queue { reason, .. } => Ok((WhereOutcome::Queued, reason)),
            Preview::Refuse { code, retry_after_ms, reason } => {
                Err(Refusal::new(code, reason).retry_after_ms(retry_after_ms))
            }
        }
    }

    fn check_block(&self) -> Result<(), Refusal> {
        let Some(PromptContent::Text(text)) = self.content else { return Ok(()) };
        let config = Arc::clone(&self.shared.cluster.view().borrow());
        let choice = self.prompt(PromptContent::Text(text));
        let parts = part_keys(&choice.scope(WeightVersion::default()), text, choice.piece_bytes());
        let is_blocked =
            |name: &str| self.shared.blocked_requests.is_blocked(&config.blocked, name, &self.rules);
        match find_block(&config.blocked, &self.fingerprint(text), || &parts, is_blocked) {
            Some(block) => Err(block.refusal()),
            None => Ok(()),
        }
    }

    fn fingerprint(&self, text: &str) -> String {
        fingerprint(&self.customer.id, &self.service, self.adapter, text)
    }

    fn prompt<'a>(&'a self, content: PromptContent<'a>) -> PromptChoice<'a> {
        PromptChoice {
            customer: &self.customer.id,
            service: &self.service,
            adapter: self.adapter,
            content,
            config: self.config,
            rules: &self.rules,
            zone: &self.shared.config.node.zone,
            pinned_version: None,
            excluded: &[],
        }
    }

    fn prompt_choice(&self, content: PromptContent<'_>, view: &ClusterView, now_ms: u64) -> Choice {
        let explained = self.prompt(content).explain(view, now_ms, rand::rng().random::<f64>());
        let candidates = explained.candidates.iter().map(|terms| candidate(terms, view, now_ms));
        Choice {
            reason: explained.decision.as_ref().map(|decision| prompt_choice::reason(view, now_ms, decision)),
            upstream: explained.decision.map(|decision| decision.upstream),
            candidates: candidates.collect(),
        }
    }

    fn plain_choice(&self, view: &ClusterView) -> Choice {
        let zone = &self.shared.config.node.zone;
        let pool = plain_dispatch::candidates(view, &self.service, zone, &[]);
        let chosen = pool.choose(&mut rand::rng()).map(|upstream| upstream.id.clone());
        let candidates = pool.iter().map(|upstream| WhereCandidate {
            near_equal: true,
            ..empty_candidate(upstream.id.as_str(), upstream.zone.as_str())
        });
        Choice {
            reason: chosen.as_ref().map(|id| plain_dispatch::choice_reason(id, pool.len())),
            candidates: candidates.collect(),
            upstream: chosen,
        }
    }

    /// Returns the upstreams of the service that are no candidates.
    fn excluded(&self, choice: &Choice) -> Vec<WhereExcluded> {
        let is_candidate = |id: &InstanceId| choice.candidates.iter().any(|c| c.upstream == id.as_str());
        let others = self.shared.upstreams.exclusions(&self.service).into_iter();
        let excluded = others.filter(|(id, ..)| !is_candidate(id)).map(|(id, zone, reason)| WhereExcluded {
            upstream: id.to_string(),
            availability_zone: zone,
            reason: reason.unwrap_or_else(|| match self.content {
                Some(_) => {
                    "not evaluated: others are live in place of suspect, or there are too many".to_owned()
                }
                None => "others are live in place of suspect, or in the zone of this node".to_owned(),
            }),
        });
        excluded.collect()
    }

    /// Returns what makes the answer uncertain.
    fn warnings(&self, choice: &Choice) -> Vec<String> {
        let mut warnings = Vec::new();
        let state = self.shared.lifecycle_state();
        if state != "ready" {
            warnings.push(format!("this node is {state}: its view may be too old to decide"));
        }
        let platform_poll_ms = self.shared.config.platform.poll_ms;
        match self.shared.upstreams.list_age_ms() {
            None => warnings
                .push("the platform's list has not been read: the view is too old to decide".to_owned()),
            Some(age_ms) if age_ms > MAX_MISSED_POLLS * platform_poll_ms => {
                warnings
                    .push(format!("the platform's list is {age_ms} ms old: the view is too old to decide"));
            }
            Some(_) => {}
        }
        for candidate in &choice.candidates {
            match candidate.load_report_age_ms {
                Some(age_ms) if age_ms > MAX_MISSED_POLLS * self.config.poll_ms => warnings.push(format!(
                    "the load report of {} is {age_ms} ms old: the view is too old to decide",
                    candidate.upstream
                )),
                _ => {}
            }
        }
        let near_equal = choice.candidates.iter().filter(|candidate| candidate.near_equal).count();
        if near_equal > 1 {
            warnings.push(format!("a random draw decides between {near_equal} near-equal candidates"));
        }
        match self.content {
            Some(PromptContent::Text(text)) if needs_permission(self.shared, &self.fingerprint(text)) => {
                warnings.push(
                    "the request was part of a crash: a majority must permit it to run, which was not asked"
                        .to_owned(),
                );
            }
            Some(PromptContent::Pieces { .. }) => {
                warnings.push("without its text, it is not known whether the prompt is blocked".to_owned());
            }
            _ => {}
        }
        warnings
    }
}

fn candidate(terms: &CandidateTerms, view: &ClusterView, now_ms: u64) -> WhereCandidate {
    let basis = view.load_basis(&terms.upstream);
    let report = basis.filter(|basis| basis.report_at_ms > 0);
    WhereCandidate {
        near_equal: terms.near_equal,
        wait_us: whole_us(terms.wait_us),
        prefill_us: whole_us(terms.prefill_us),
        cached_tokens: terms.cached_tokens,
        computed_tokens: terms.computed_tokens,
        fetch_us: whole_us(terms.fetch_us),
        fetched_pieces: terms.fetched_pieces as u64,
        store: terms.store.as_ref().map(ToString::to_string),
        zone_penalty_us: whole_us(terms.zone_us),
        compute_penalty_us: whole_us(terms.compute_weight_us),
        prefill_tokens_per_s: terms.prefill_tokens_per_s,
        estimate_us: whole_us(terms.estimate_us),
        cost_us: whole_us(terms.cost_us),
        load_report_age_ms: report.map(|basis| now_ms.saturating_sub(basis.report_at_ms)),
        tokens_since_report: basis.map_or(0, |basis| basis.own_tokens + basis.peer_tokens),
        ..empty_candidate(terms.upstream.as_str(), terms.zone.as_str())
    }
}

/// Truncates an estimate; negative values become 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_us(us: f64) -> u64 {
    us.max(0.0) as u64
}

/// Returns a candidate without terms, as of plain services, whose choice estimates nothing.
fn empty_candidate(upstream: &str, zone: &str) -> WhereCandidate {
    WhereCandidate {
        upstream: upstream.to_owned(),
        availability_zone: zone.to_owned(),
        near_equal: false,
        wait_us: 0,
        prefill_us: 0,
        cached_tokens: 0,
        computed_tokens: 0,
        fetch_us: 0,
        fetched_pieces: 0,
        store: None,
        zone_penalty_us: 0,
        compute_penalty_us: 0,
        prefill_tokens_per_s: 0,
        estimate_us: 0,
        cost_us: 0,
        load_report_age_ms: None,
        tokens_since_report: 0,
    }
}
