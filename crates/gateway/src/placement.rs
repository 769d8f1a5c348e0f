//! Chooses the upstream of an attempt from the state of the upstreams known to this node.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use daisysill_cluster::{BootInstant, HeldPlace};
use daisysill_core::{
    ids::{ServiceName, WeightVersion},
    memory_mark::memory_mark,
    placement::{Candidate, ChosenCandidate, PrefillDemand, choose},
    rejection_guard::SlotUse,
    routing::{CachePartition, EngineSpec, RoutingTable, ServiceSpec},
};

use crate::{
    caller_request::{AttemptHistory, CallerRequest, urgency},
    cold::{ColdRules, is_limited},
    expected_work::{AttemptExpectation, RequestWork},
    forward::Gateway,
    header_codec::Transfers,
    outdated::OutdatedWeights,
    permits::{LimitWait, SendPermit},
    prompt_parts::SharedParts,
    retry_budgets::RetryPermit,
    upstreams::{PrefixKey, Upstream},
};

/// For this time after a new target version was set, upstreams with older weights are not penalized.
const OLD_WEIGHTS_GRACE: Duration = Duration::from_secs(1);
/// Failures added to those of an upstream with old weights after the grace period.
const OLD_WEIGHTS_PENALTY: f64 = 3.0;
/// Upstreams with old weights get no new request in this time before the rollout limit.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);
/// Time for a cancelled request to be dropped by its upstream.
const CANCEL_MARGIN: Duration = Duration::from_millis(200);
/// Follows the weight version in the scope of customers that share their cached prompts beside isolated ones.
pub(crate) const PARTITION_SIGN: char = '@';
/// The upstream chosen for an attempt, with what the attempt tells it.
pub(crate) struct ChosenUpstream {
    pub(crate) upstream: Rc<Upstream>,
    /// Its weight version, as far as known; `None` without a prompt.
    pub(crate) version: Option<WeightVersion>,
    /// The version that it should have; `None` without a prompt, and if the operator has set none.
    pub(crate) target: Option<WeightVersion>,
    /// For how long its weights have been outdated; `None` if they are not.
    pub(crate) outdated: Option<OutdatedWeights>,
    /// Cache scope, see [`cache_scope`]; `None` without a prompt.
    pub(crate) scope: Option<String>,
    /// Key and length in tokens of the shared prefix.
    pub(crate) prefix: Option<(PrefixKey, u64)>,
    /// Prompt tokens that it has to prefill.
    pub(crate) pending_prefill_tokens: u64,
    /// Estimated time to the first token.
    pub(crate) estimate_ms: f64,
    /// Number of upstreams that it was chosen from.
    pub(crate) candidates: usize,
    /// Parts to fetch from and save to stores; `None` without a prompt.
    pub(crate) transfers: Option<Transfers>,
    /// Prompt tokens that it has cached or fetches from stores.
    pub(crate) cached_tokens: u64,
    /// Estimated time of the fetch; 0 if nothing is fetched.
    pub(crate) fetch_ms: f64,
    /// What the attempt is expected to take.
    pub(crate) expected_work: AttemptExpectation,
    /// The permission to send to it, should it be cold or name a limit.
    pub(crate) send_permit: SendPermit,
    /// The permission to send the request once more, should it be a retry.
    pub(crate) retry_permit: RetryPermit,
    /// The place that the leader granted there; taken when the attempt begins.
    pub(crate) held_place: RefCell<Option<HeldPlace>>,
}

/// The result of a choice.
pub(crate) enum Placement {
    At(Box<ChosenUpstream>),
    /// Upstreams accept requests, but none has capacity for this one now.
    NoCapacity,
    /// For this time, this node has used up its share of the rate limits of all upstreams that accept requests, or they
    /// want a pause.
    RateLimited(LimitWait),
    /// No untried upstream accepts requests.
    NoneAccepting,
}

/// An upstream that has capacity for the request.
pub(crate) struct EligibleUpstream {
    pub(crate) candidate: Candidate,
    /// KV memory that requests in flight occupy.
    pub(crate) used_tokens: u64,
    /// Free KV memory up to the mark of the request; 0 for a plain service.
    pub(crate) free_tokens: u64,
    upstream: Rc<Upstream>,
    version: Option<WeightVersion>,
    outdated: Option<OutdatedWeights>,
    scope: Option<String>,
    prefix: Option<(PrefixKey, u64)>,
    parts: Option<Rc<SharedParts>>,
}

/// Inputs of the choice that are the same for every upstream.
pub(crate) struct PlacementInputs<'a> {
    pub(crate) request: &'a CallerRequest,
    /// The routing table in force now, which may be newer than the one that admitted the request.
    table: Option<Rc<RoutingTable>>,
    pub(crate) engine: Option<EngineSpec>,
    target: Option<WeightVersion>,
    pub(crate) request_ms: f64,
    /// Urgency of the request, 0 to 9.
    urgency: u8,
    /// The upstream at which the leader granted a place; it has capacity, and no other may be chosen.
    granted: Option<u64>,
    work: RequestWork,
    /// Shared parts by cache scope: upstreams with the same weight version have the same.
    parts_by_scope: RefCell<HashMap<String, Rc<SharedParts>>>,
}

impl PlacementInputs<'_> {
    /// Returns the customers with which the request shares cached prompts.
    fn partition(&self) -> CachePartition<'_> {
        let customer = self.request.customer.as_deref();
        self.table.as_ref().map_or(CachePartition::Shared, |table| table.cache_partition(customer))
    }
}

impl Gateway {
    /// Chooses an upstream that was not tried yet. Also takes one of this node's share of the free slots of engines, and
    /// of the requests that the upstream's rate limit allows, or that it tolerates while it is cold.
    pub(crate) fn place(&self, request: &CallerRequest, history: &AttemptHistory) -> Placement {
        self.place_among(request, history, None)
    }

    /// The same at the one upstream at which the leader granted a place.
    pub(crate) fn place_granted(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
        granted: u64,
    ) -> Placement {
        self.place_among(request, history, Some(granted))
    }

    fn place_among(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
        granted: Option<u64>,
    ) -> Placement {
        let cold = self.cold_rules(&request.service);
        let placement = self.place_within(request, history, granted, cold.as_ref());
        self.record_cold_hold(cold.as_ref(), &placement);
        placement
    }

    fn place_within(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
        granted: Option<u64>,
        cold: Option<&ColdRules>,
    ) -> Placement {
        let upstreams = self.untried(request, history);
        let speeds = self.upstreams.speeds(&request.service);
        let prompt = request.headers.prompt.as_ref();
        let inputs = PlacementInputs {
            request,
            table: self.routing.table(),
            engine: self.engine(&request.service),
            target: prompt.and_then(|prompt| self.routing.target_version(&prompt.model)),
            request_ms: speeds.request_ms.get(),
            urgency: urgency(request, history),
            granted,
            work: self.request_work(request, &speeds),
            parts_by_scope: RefCell::default(),
        };
        let nodes = self.peak_entry_nodes();
        let mut current: Vec<Rc<Upstream>> =
            upstreams.into_iter().filter(|upstream| !self.is_outdated(upstream, &inputs)).collect();
        current.retain(|upstream| granted.is_none_or(|granted| granted == upstream.tag));
        let shortest_wait = self.retain_admitting(&mut current, cold, nodes);
        if let Some(wait) = shortest_wait.filter(|_| current.is_empty()) {
            return Placement::RateLimited(wait);
        }
        let mut eligible: Vec<EligibleUpstream> =
            current.iter().filter_map(|upstream| self.eligible(upstream, &inputs)).collect();
        let shared_tokens = eligible.first().and_then(|first| first.prefix).map_or(0, |(_, tokens)| tokens);
        let demand = PrefillDemand {
            prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
            shared_tokens,
            tokens_per_ms: speeds.tokens_per_ms.get(),
        };
        let candidates: Vec<Candidate> = eligible.iter().map(|eligible| eligible.candidate).collect();
        let Some(choice) = choose(&candidates, &demand, rand::random()) else {
            return if current.is_empty() { Placement::NoneAccepting } else { Placement::NoCapacity };
        };
        // Streams that go on are few, and their callers wait in the middle of an answer.
        let shares_slots = inputs.engine.is_some() && history.resumed_at.is_none();
        // The permit for a cold upstream is a share already, and its free slots are not there for other requests.
        let is_cold = |eligible: &EligibleUpstream| is_limited(cold, &eligible.upstream);
        let shares_slots = shares_slots && !is_cold(&eligible[choice.index]);
        let warm: Vec<Candidate> =
            eligible.iter().filter(|one| !is_cold(one)).map(|one| one.candidate).collect();
        let room = self.room(&inputs, current.len(), eligible.iter().filter(|one| !is_cold(one)));
        if shares_slots
            && !(self.try_take_memory(request, &room) && self.try_take_slot(&inputs, &current, &warm))
        {
            return Placement::NoCapacity;
        }
        let chosen = eligible.swap_remove(choice.index);
        let Some(send_permit) = SendPermit::take(&self.process_clock, cold, &chosen.upstream, nodes) else {
            return Placement::NoCapacity;
        };
        chosen.upstream.hints().rejections.take();
        let expected_work = inputs.work.expected(&chosen.candidate, &demand);
        let chosen = self.chosen_upstream(&inputs, chosen, choice, candidates.len());
        Placement::At(Box::new(ChosenUpstream { expected_work, send_permit, ..chosen }))
    }

    /// Returns for how long the weights of an upstream have been outdated; `None` if they are not. Weights of an unknown version
    /// may be of any age.
    fn outdated(&self, upstream: &Upstream, inputs: &PlacementInputs<'_>) -> Option<OutdatedWeights> {
        let target = inputs.target?;
        let model = &inputs.request.headers.prompt.as_ref()?.model;
        let Some(version) = upstream.version_of(model) else { return Some(OutdatedWeights { age: None }) };
        if version >= target {
            return None;
        }
        let since = self.cluster.weights_outdated_since(model, version);
        Some(OutdatedWeights { age: since.map(BootInstant::elapsed) })
    }

    /// Returns whether an upstream gets no new request, since its weights were outdated for almost the rollout limit.
    fn is_outdated(&self, upstream: &Upstream, inputs: &PlacementInputs<'_>) -> bool {
        let limit = self.bounds.rollout_limit.saturating_sub(OLD_WEIGHTS_MARGIN);
        self.outdated(upstream, inputs).is_some_and(|outdated| outdated.lasts(limit))
    }

    /// Returns the time within which a chosen upstream must have begun to respond, since its weights are too old then. The
    /// attempt is cancelled otherwise, so that it does not begin later.
    pub(crate) fn time_on_weights(&self, chosen: &ChosenUpstream) -> Duration {
        let limit = self.bounds.rollout_limit.saturating_sub(CANCEL_MARGIN);
        chosen.outdated.map_or(Duration::MAX, |outdated| outdated.time_until(limit))
    }

    /// Gathers the state of an upstream for the choice; `None` if it has no capacity for the request.
    fn eligible(&self, upstream: &Rc<Upstream>, inputs: &PlacementInputs<'_>) -> Option<EligibleUpstream> {
        let request = inputs.request;
        let others = self.cluster.other_nodes_load(upstream.tag);
        let in_flight = upstream.in_flight() + others.requests;
        let tokens = upstream.tokens() + others.tokens + request.tokens();
        let usable_tokens = usable_tokens(inputs);
        let is_granted = inputs.granted.is_some();
        if !is_granted && !has_capacity(upstream.entry.slots, usable_tokens, in_flight, tokens) {
            return None;
        }
        let slots = SlotUse {
            slots: upstream.entry.slots,
            own: upstream.in_flight(),
            others: others.requests,
            entry_nodes: self.peak_entry_nodes(),
        };
        if !upstream.hints().rejections.admits(&slots) {
            return None;
        }
        let prompt = request.headers.prompt.as_ref();
        let version = prompt.and_then(|prompt| upstream.version_of(&prompt.model));
        let scope = prompt.map(|prompt| cache_scope(&prompt.model, version, inputs.partition()));
        let prefix = scope.as_deref().and_then(|scope| request.prefix(scope));
        let parts = scope.as_deref().map(|scope| self.shared_parts(inputs, scope));
        let cached_tokens = prefix.map_or(0, |(key, _)| upstream.cached_tokens(key));
        let (fetched_tokens, fetch_ms) = match &parts {
            Some(parts) if cached_tokens == 0 => {
                (parts.tokens(), parts.fetch_ms(upstream, inputs.engine.as_ref()))
            }
            Some(_) | None => (0, 0.0),
        };
        let outdated = self.outdated(upstream, inputs);
        let is_old = outdated.is_some_and(|outdated| outdated.lasts(OLD_WEIGHTS_GRACE));
        let candidate = Candidate {
            in_flight,
            slots: upstream.entry.slots,
            pending_prefill_tokens: upstream.pending_prefill_tokens() + others.pending_prefill_tokens,
            ms_per_request: inputs.request_ms / f64::from(upstream.entry.slots.max(1)),
            cached_tokens: cached_tokens.max(fetched_tokens),
            fetch_ms,
            in_store_zone: parts.as_ref().is_some_and(|parts| parts.is_in_zone(upstream)),
            recent_failures: upstream.recent_failures() + if is_old { OLD_WEIGHTS_PENALTY } else { 0.0 },
            silent_ms: upstream.silent_for().as_secs_f64() * 1_000.0,
            own_zone: self.upstreams.in_own_zone(upstream),
            prefix_rank: prefix.map_or(0, |(key, _)| upstream.prefix_rank(key)),
            work: inputs.work.at(upstream, &others),
        };
        let upstream = Rc::clone(upstream);
        let used_tokens = tokens - request.tokens();
        let free_tokens = usable_tokens.unwrap_or(0).saturating_sub(used_tokens);
        Some(EligibleUpstream {
            candidate,
            used_tokens,
            free_tokens,
            upstream,
            version,
            outdated,
            scope,
            prefix,
            parts,
        })
    }

    /// Returns the locations of the prompt's shared parts in a cache scope.
    fn shared_parts(&self, inputs: &PlacementInputs<'_>, scope: &str) -> Rc<SharedParts> {
        let mut by_scope = inputs.parts_by_scope.borrow_mut();
        if let Some(parts) = by_scope.get(scope) {
            return Rc::clone(parts);
        }
        let parts = Rc::new(self.locate_shared_parts(inputs.request, inputs.engine.as_ref(), scope));
        by_scope.insert(scope.to_owned(), Rc::clone(&parts));
        parts
    }

    /// Adds what the attempt needs to a choice. Only an upstream with the target version saves parts.
    fn chosen_upstream(
        &self,
        inputs: &PlacementInputs<'_>,
        eligible: EligibleUpstream,
        choice: ChosenCandidate,
        candidates: usize,
    ) -> ChosenUpstream {
        let EligibleUpstream { candidate, upstream, version, outdated, scope, prefix, parts, .. } = eligible;
        let has_target_version =
            inputs.target.is_none_or(|target| version.is_some_and(|held| held >= target));
        let transfers = parts.map(|parts| {
            self.transfers(inputs.request, &parts, &upstream, has_target_version, choice, candidate.fetch_ms)
        });
        let prompt_tokens = inputs.request.headers.prompt.as_ref().map_or(0, |prompt| prompt.prompt_tokens);
        ChosenUpstream {
            upstream,
            version,
            target: inputs.target,
            outdated,
            scope,
            prefix,
            pending_prefill_tokens: prompt_tokens.saturating_sub(candidate.cached_tokens),
            estimate_ms: choice.estimate_ms,
            candidates,
            transfers,
            cached_tokens: candidate.cached_tokens,
            fetch_ms: candidate.fetch_ms,
            expected_work: AttemptExpectation::default(),
            send_permit: SendPermit::default(),
            retry_permit: RetryPermit::default(),
            held_place: RefCell::default(),
        }
    }

    /// Returns the configuration of a service's engines; `None` for other kinds of services.
    pub(crate) fn engine(&self, service: &ServiceName) -> Option<EngineSpec> {
        let table = self.routing.table()?;
        match &table.service(service)?.spec {
            ServiceSpec::Engine(engine) => Some(engine.clone()),
            ServiceSpec::Plain | ServiceSpec::Store(_) => None,
        }
    }
}

/// Returns whether an upstream with `in_flight` requests has capacity for one more, with which they occupy `tokens` of the
/// `usable_tokens`. Plain services have no KV memory and may queue one request for each slot.
fn has_capacity(slots: u32, usable_tokens: Option<u64>, in_flight: u32, tokens: u64) -> bool {
    let Some(usable_tokens) = usable_tokens else { return in_flight < slots.saturating_mul(2) };
    in_flight < slots && (in_flight == 0 || tokens <= usable_tokens)
}

/// Returns the KV memory of one engine up to the mark of the request; `None` for a plain service.
fn usable_tokens(inputs: &PlacementInputs<'_>) -> Option<u64> {
    let memory_tokens = inputs.engine.as_ref()?.memory_tokens;
    // The mark is at most 1.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let usable_tokens = (memory_tokens as f64 * memory_mark(inputs.urgency)) as u64;
    (memory_tokens > 0).then_some(usable_tokens)
}

/// Returns the scope within which cached prompts may be shared: one model, one weight version, and the customers of a partition.
fn cache_scope(model: &str, version: Option<WeightVersion>, partition: CachePartition<'_>) -> String {
    let version = version.unwrap_or_default();
    match partition {
        CachePartition::Shared => format!("{model}/{version}"),
        // The sign after the version keeps this from being equal to the scope of a customer, whose name may be any text.
        CachePartition::SharedBeside(isolated) => format!("{model}/{version}{PARTITION_SIGN}{isolated}"),
        CachePartition::Isolated(customer) => format!("{model}/{version}/{customer}"),
    }
}
