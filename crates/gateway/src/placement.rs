//! Chooses the upstream of an attempt from what this node knows.

use std::{collections::HashSet, rc::Rc, time::Duration};

use daisysill_core::{
    ids::{ServiceName, WeightVersion, ZoneName},
    placement::{Candidate, Choice, PrefillDemand, choose},
    routing::{Customer, EngineSpec, ServiceSpec},
    slot_share::SlotCounts,
};

use crate::{
    caller_request::{Call, Progress},
    forward::Gateway,
    header_codec::Transfers,
    prompt_parts::StoredParts,
    routing_state::NamedVersion,
    upstreams::{SessionKey, Upstream},
};

/// Until this long after new weights were named, upstreams with older ones are as good as others.
const OLD_WEIGHTS_GRACE: Duration = Duration::from_secs(1);
/// Added to the estimate of an upstream with old weights after that.
const OLD_WEIGHTS_PENALTY: f64 = 3.0;
/// Upstreams with old weights get no new request from this long before the limit on.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);
/// Requests at one engine may take this share of its memory; beyond it the engine puts requests back and reads
/// them again.
const MEMORY_SHARE: f64 = 0.9;

/// An upstream chosen for an attempt.
pub(crate) struct Chosen {
    /// The upstream.
    pub(crate) upstream: Rc<Upstream>,
    /// The weight version that it has.
    pub(crate) version: Option<WeightVersion>,
    /// Separates cached prompts that must not be shared.
    pub(crate) scope: Option<String>,
    /// The shared parts of the prompt and their length in tokens.
    pub(crate) session: Option<(SessionKey, u64)>,
    /// Prompt tokens that it has to read.
    pub(crate) pending_prefill_tokens: u64,
    /// Estimated time until it begins to answer.
    pub(crate) estimate_ms: f64,
    /// Upstreams that could be chosen.
    pub(crate) candidates: usize,
    /// What it fetches and saves.
    pub(crate) transfers: Option<Transfers>,
    /// Prompt tokens that it has cached or fetches.
    pub(crate) cached_tokens: u64,
    /// Estimated time of the fetch.
    pub(crate) fetch_ms: f64,
}

/// Whether an upstream can take a request now.
pub(crate) enum Placement {
    At(Box<Chosen>),
    /// Upstreams take work, but none has room.
    NoRoom,
    /// No upstream takes work.
    Nowhere,
}

/// An upstream that may take the request.
struct Choosable {
    candidate: Candidate,
    upstream: Rc<Upstream>,
    version: Option<WeightVersion>,
    scope: Option<String>,
    session: Option<(SessionKey, u64)>,
    parts: Option<StoredParts>,
}

/// What a request asks of every upstream alike.
struct Demand<'a> {
    call: &'a Call,
    engine: Option<EngineSpec>,
    named: Option<NamedVersion>,
    request_ms: f64,
}

impl Gateway {
    /// Chooses an upstream that was not tried yet.
    pub(crate) fn place(&self, call: &Call, progress: &Progress) -> Placement {
        let upstreams = self.untried(call, progress);
        let speeds = self.upstreams.speeds(&call.service);
        let prompt = call.headers.prompt.as_ref();
        let demand = Demand {
            call,
            engine: self.engine(&call.service),
            named: prompt.and_then(|prompt| self.routing.named_version(&prompt.model)),
            request_ms: speeds.request_ms.get(),
        };
        let current: Vec<Rc<Upstream>> =
            upstreams.into_iter().filter(|upstream| !self.is_outdated(upstream, &demand)).collect();
        let mut choosable: Vec<Choosable> =
            current.iter().filter_map(|upstream| self.choosable(upstream, &demand)).collect();
        let shared_tokens = choosable.first().and_then(|first| first.session).map_or(0, |(_, tokens)| tokens);
        let need = PrefillDemand {
            prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
            shared_tokens,
            tokens_per_ms: speeds.tokens_per_ms.get(),
        };
        let candidates: Vec<Candidate> = choosable.iter().map(|choosable| choosable.candidate).collect();
        if demand.engine.is_some() && !self.takes_share(&demand, &current, &candidates) {
            return Placement::NoRoom;
        }
        match choose(&candidates, &need, rand::random()) {
            Some(choice) => {
                let chosen = choosable.swap_remove(choice.index);
                Placement::At(Box::new(self.chosen(&demand, chosen, choice, candidates.len())))
            }
            None if current.is_empty() => Placement::Nowhere,
            None => Placement::NoRoom,
        }
    }

    /// Takes one of this node's part of the free places; `false` if it has had them.
    fn takes_share(&self, demand: &Demand<'_>, current: &[Rc<Upstream>], with_room: &[Candidate]) -> bool {
        let places = SlotCounts {
            free: with_room.iter().map(|candidate| candidate.slots.saturating_sub(candidate.in_flight)).sum(),
            expected_free: with_room.iter().map(Candidate::expected_free_slots).sum(),
            total: current.iter().map(|upstream| upstream.entry.slots).sum(),
            entry_nodes: self.entry_nodes(),
        };
        let mut shares = self.slot_shares.borrow_mut();
        shares.entry(demand.call.service.clone()).or_default().try_take(self.now_ms(), &places)
    }

    /// Returns the upstreams that were not tried; those that could not be reached lately only if none else is left.
    fn untried(&self, call: &Call, progress: &Progress) -> Vec<Rc<Upstream>> {
        let mut untried = self.upstreams.of(&call.service);
        untried.retain(|upstream| !progress.tried.contains(&upstream.entry.id));
        if untried.iter().any(|upstream| !self.is_out_of_reach(upstream)) {
            untried.retain(|upstream| !self.is_out_of_reach(upstream));
        }
        let zones: HashSet<&ZoneName> = untried.iter().map(|upstream| &upstream.entry.zone).collect();
        let mut reach = self.zones.borrow_mut();
        let now_ms = self.now_ms();
        let admitted: HashSet<ZoneName> =
            zones.into_iter().filter(|zone| reach.admits(zone, now_ms)).cloned().collect();
        if !admitted.is_empty() {
            untried.retain(|upstream| admitted.contains(&upstream.entry.zone));
        }
        untried
    }

    /// Returns whether this node could not reach an upstream lately, or others of its zone and it has not tried.
    fn is_out_of_reach(&self, upstream: &Upstream) -> bool {
        if upstream.is_unheard() {
            return self.upstreams.is_told_unreachable(&self.cluster.other_nodes_load(upstream.tag));
        }
        upstream.is_unreachable()
    }

    /// Returns since when an upstream has older weights than those that were named.
    fn outdated_for(upstream: &Upstream, demand: &Demand<'_>) -> Option<Duration> {
        let model = &demand.call.headers.prompt.as_ref()?.model;
        let version = upstream.version_of(model)?;
        demand.named.filter(|named| version < named.version).map(|named| named.since.elapsed())
    }

    /// Returns whether an upstream must not begin a request any more, since its weights are too old.
    fn is_outdated(&self, upstream: &Upstream, demand: &Demand<'_>) -> bool {
        let age = Self::outdated_for(upstream, demand);
        age.is_some_and(|age| age + OLD_WEIGHTS_MARGIN >= self.bounds.weights_limit)
    }

    /// Returns what is known of an upstream for the choice; `None` if it has no room.
    fn choosable(&self, upstream: &Rc<Upstream>, demand: &Demand<'_>) -> Option<Choosable> {
        let call = demand.call;
        let others = self.cluster.other_nodes_load(upstream.tag);
        let in_flight = upstream.in_flight() + others.requests;
        let tokens = upstream.tokens() + others.tokens + call.tokens();
        let memory_tokens = demand.engine.as_ref().map_or(0, |engine| engine.memory_tokens);
        if !has_room(upstream.entry.slots, memory_tokens, in_flight, tokens) {
            return None;
        }
        let prompt = call.headers.prompt.as_ref();
        let version = prompt.and_then(|prompt| upstream.version_of(&prompt.model));
        let scope = prompt.map(|prompt| cache_scope(&prompt.model, version, call.customer.as_deref()));
        let session = scope.as_deref().and_then(|scope| call.session(scope));
        let parts = scope.as_deref().map(|scope| self.stored_parts(call, scope));
        let local_tokens = session.map_or(0, |(key, _)| upstream.cached_tokens(key));
        let (fetched_tokens, fetch_ms) = match &parts {
            Some(parts) if local_tokens == 0 => {
                (parts.tokens(), parts.fetch_ms(upstream, demand.engine.as_ref()))
            }
            Some(_) | None => (0, 0.0),
        };
        let is_old = Self::outdated_for(upstream, demand).is_some_and(|age| age > OLD_WEIGHTS_GRACE);
        let candidate = Candidate {
            in_flight,
            slots: upstream.entry.slots,
            pending_prefill_tokens: upstream.pending_prefill_tokens() + others.pending_prefill_tokens,
            ms_per_request: demand.request_ms / f64::from(upstream.entry.slots.max(1)),
            cached_tokens: local_tokens.max(fetched_tokens),
            fetch_ms,
            in_store_zone: parts.as_ref().is_some_and(|parts| parts.is_near(upstream)),
            recent_failures: upstream.recent_failures() + if is_old { OLD_WEIGHTS_PENALTY } else { 0.0 },
            silent_ms: upstream.silent_for().as_secs_f64() * 1_000.0,
            own_zone: self.upstreams.is_near(upstream),
            session_rank: session.map_or(0, |(key, _)| upstream.session_rank(key)),
        };
        Some(Choosable { candidate, upstream: Rc::clone(upstream), version, scope, session, parts })
    }

    fn chosen(&self, demand: &Demand<'_>, choosable: Choosable, choice: Choice, candidates: usize) -> Chosen {
        let Choosable { candidate, upstream, version, scope, session, parts } = choosable;
        let is_newest = demand.named.is_none_or(|named| version.is_some_and(|held| held >= named.version));
        let transfers =
            parts.map(|parts| self.transfers(demand.call, &parts, is_newest, choice, candidate.fetch_ms));
        let prompt_tokens = demand.call.headers.prompt.as_ref().map_or(0, |prompt| prompt.prompt_tokens);
        Chosen {
            upstream,
            version,
            scope,
            session,
            pending_prefill_tokens: prompt_tokens.saturating_sub(candidate.cached_tokens),
            estimate_ms: choice.estimate_ms,
            candidates,
            transfers,
            cached_tokens: candidate.cached_tokens,
            fetch_ms: candidate.fetch_ms,
        }
    }

    /// Returns what is known of the engines of a service; `None` if it has none.
    pub(crate) fn engine(&self, service: &ServiceName) -> Option<EngineSpec> {
        let table = self.routing.table()?;
        match &table.service(service)?.spec {
            ServiceSpec::Engine(engine) => Some(engine.clone()),
            ServiceSpec::Plain | ServiceSpec::Store(_) => None,
        }
    }
}

/// Returns whether an upstream with `in_flight` requests can take one more, after which they take `tokens`. Plain
/// services have no memory to share and may queue one request for each place.
fn has_room(slots: u32, memory_tokens: u64, in_flight: u32, tokens: u64) -> bool {
    if memory_tokens == 0 {
        return in_flight < slots.saturating_mul(2);
    }
    in_flight < slots && (in_flight == 0 || tokens as f64 <= memory_tokens as f64 * MEMORY_SHARE)
}

/// Separates cached prompts of different models, weight versions and isolated customers.
fn cache_scope(model: &str, version: Option<WeightVersion>, customer: Option<&Customer>) -> String {
    let version = version.unwrap_or_default();
    match customer.filter(|customer| customer.isolated) {
        Some(customer) => format!("{model}/{version}/{}", customer.name),
        None => format!("{model}/{version}"),
    }
}
