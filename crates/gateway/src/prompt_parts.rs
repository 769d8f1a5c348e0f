//! The shared parts of a prompt: their location in stores, and what an attempt fetches from and saves to stores.

use std::time::Duration;

use daisysill_core::{
    fetch_backoff::is_late,
    link_booking::{BookingId, may_wait},
    placement::ChosenCandidate,
    routing::EngineSpec,
    upstream_contact::Reach,
};
use daisysill_wire::peer::UpstreamLoad;
use tokio::time::Instant;

use crate::{
    caller_request::CallerRequest,
    duration::millis,
    forward::Gateway,
    header_codec::Transfers,
    placement::ChosenUpstream,
    routing_state::StoreRef,
    store_manager::{FETCH_TIMEOUT, MAX_INDEX_AGE, part_hash, store_tag},
    upstreams::{Upstream, stable_hash},
};

/// A fetch times out after this time, plus a multiple of its time on an idle link, plus a multiple of the estimated
/// wait at the engine. The wait counts because the time runs while the request queues; a prompt whose fetch timed out
/// is prefilled instead, which adds load to an engine that already has too much.
const FETCH_BASE_MS: f64 = 80.0;
const FETCH_TRANSFER_FACTOR: f64 = 3.0;
const FETCH_WAIT_FACTOR: f64 = 2.0;
/// Upper limit of the fetch timeout, in goals of the route.
const MAX_FETCH_GOALS: f64 = 2.5;
/// Factor of the time that a transfer between availability zones occupies a link.
const CROSS_ZONE_FACTOR: u64 = 2;
/// A late fetch counts against its store only if the estimated wait at the engine was at most this long.
const MAX_ENGINE_WAIT_MS: f64 = 160.0;
/// Time for which a part is not saved again after its saving was requested.
const SAVE_INTERVAL: Duration = Duration::from_secs(4);
/// Number of recent saves above which expired ones are dropped.
const MAX_RECENT_SAVES: usize = 4_096;

/// The store that holds a shared part of a prompt, or that it is to be saved to.
struct PartLocation {
    /// From [`part_hash`].
    hash: u64,
    tokens: u64,
    /// `None` if the configuration has no stores.
    store: Option<StoreRef>,
    is_stored: bool,
    /// Whether its fetch is skipped, since an earlier fetch from its store was late or its link is booked for too long.
    is_skipped: bool,
    /// Estimated time for which a fetch waits at the store.
    wait_ms: f64,
}

impl PartLocation {
    /// Returns the time that the part occupies the links to an upstream.
    fn transfer_ms(&self, upstream: &Upstream, engine: &EngineSpec) -> f64 {
        let Some(store) = &self.store else { return 0.0 };
        transfer_ms(store.link_mbit_per_s.min(engine.link_mbit_per_s), self.link_tokens(upstream), engine)
    }

    /// Returns the tokens of the part, counted as often as they occupy the links.
    fn link_tokens(&self, upstream: &Upstream) -> u64 {
        let is_near = self.store.as_ref().is_some_and(|store| store.zone == upstream.entry.zone);
        if is_near { self.tokens } else { self.tokens * CROSS_ZONE_FACTOR }
    }
}

/// Returns the time that `tokens` occupy a link.
fn transfer_ms(link_mbit_per_s: u64, tokens: u64, engine: &EngineSpec) -> f64 {
    let bits = tokens as f64 * engine.token_bytes as f64 * 8.0;
    bits / (link_mbit_per_s.max(1) as f64 * 1_000.0)
}

/// Locations of the shared parts of a prompt, in order.
#[derive(Default)]
pub(crate) struct SharedParts {
    parts: Vec<PartLocation>,
}

impl SharedParts {
    fn fetched(&self) -> impl Iterator<Item = &PartLocation> {
        self.parts.iter().filter(|part| part.is_stored && !part.is_skipped)
    }

    /// Returns the number of tokens that are fetched.
    pub(crate) fn tokens(&self) -> u64 {
        self.fetched().map(|part| part.tokens).sum()
    }

    /// Returns whether the store of the largest part is in the upstream's availability zone.
    pub(crate) fn is_in_zone(&self, upstream: &Upstream) -> bool {
        let largest = self.parts.iter().max_by_key(|part| part.tokens);
        let store = largest.and_then(|part| part.store.as_ref());
        store.is_some_and(|store| store.zone == upstream.entry.zone)
    }

    /// Estimates the time that the upstream takes to fetch the stored parts one after another, with the longest wait at
    /// their stores.
    pub(crate) fn fetch_ms(&self, upstream: &Upstream, engine: Option<&EngineSpec>) -> f64 {
        let Some(engine) = engine else { return 0.0 };
        let transfers_ms: f64 = self.fetched().map(|part| part.transfer_ms(upstream, engine)).sum();
        let wait_ms = self.fetched().map(|part| part.wait_ms).fold(0.0, f64::max);
        transfers_ms + wait_ms
    }
}

impl Gateway {
    /// Finds the store that holds each shared part of a prompt, or that it is to be saved to.
    pub(crate) fn locate_shared_parts(
        &self,
        request: &CallerRequest,
        engine: Option<&EngineSpec>,
        scope: &str,
    ) -> SharedParts {
        let Some(prompt) = &request.headers.prompt else { return SharedParts::default() };
        let all_stores = self.routing.stores();
        let allowed: Vec<&StoreRef> =
            all_stores.iter().filter(|store| self.may_use_zone(request, &store.zone)).collect();
        let clock_known = self.cluster.upstream_clock_ms().is_some();
        // The last part belongs to this request alone.
        let shared = prompt.parts.len().saturating_sub(1);
        let parts = prompt.parts.iter().take(shared).map(|part| {
            let hash = part_hash(scope, &part.id);
            let stored = self.cluster.stored_part(hash, MAX_INDEX_AGE).filter(|_| clock_known);
            // Neither a store that the routing table does not name any more nor one of another region is fetched from.
            let held = stored.and_then(|stored| {
                let holder = allowed.iter().copied().find(|store| store.tag == stored.store)?;
                Some((holder, stored.tokens))
            });
            let is_stored = held.is_some();
            let store = held.map(|(holder, _)| holder).or_else(|| preferred_store(&allowed, hash)).cloned();
            let tokens = held.map_or(part.tokens, |(_, tokens)| tokens.min(part.tokens));
            let wait_ms = match (&store, engine) {
                (Some(store), Some(engine)) => self.link_wait_ms(store, engine),
                (None, _) | (_, None) => 0.0,
            };
            let is_backed_off =
                store.as_ref().is_some_and(|store| !self.fetch_backoff.borrow().admits(store.tag));
            let is_skipped = is_backed_off || !may_wait(wait_ms, due_in_ms(request));
            PartLocation { hash, tokens, store, is_stored, is_skipped, wait_ms }
        });
        SharedParts { parts: parts.collect() }
    }

    /// Estimates the time until a store has sent what all nodes have booked.
    fn link_wait_ms(&self, store: &StoreRef, engine: &EngineSpec) -> f64 {
        let own = self.link_bookings.borrow().tokens(store.tag, self.now_ms());
        let others = self.cluster.other_nodes_load(u64::from(store.tag)).tokens;
        transfer_ms(store.link_mbit_per_s, own + others, engine)
    }

    /// Returns this node's load report: its requests at upstreams, and its fetches from stores.
    pub(crate) fn load_report(&self) -> Vec<UpstreamLoad> {
        let mut loads = self.upstreams.loads();
        if self.contact.reach() != Reach::InTouch {
            // The links of this node are lost; that says nothing about the upstreams.
            for load in &mut loads {
                load.unreachable_from = 0;
            }
        }
        let booked = self.link_bookings.borrow_mut().totals(self.now_ms());
        let store_load =
            |(store, tokens)| UpstreamLoad { upstream: u64::from(store), tokens, ..UpstreamLoad::default() };
        loads.extend(booked.into_iter().map(store_load));
        loads
    }

    /// Decides for each part of a prompt whether it is fetched from a store or saved to one, and sets the time at which
    /// fetches are abandoned.
    pub(crate) fn transfers(
        &self,
        request: &CallerRequest,
        parts: &SharedParts,
        upstream: &Upstream,
        may_save: bool,
        choice: ChosenCandidate,
        fetch_ms: f64,
    ) -> Transfers {
        let mut transfers = Transfers::default();
        for part in &parts.parts {
            let address = part.store.as_ref().map(|store| store.address.clone());
            let fetch = address
                .clone()
                .filter(|_| part.is_stored && !part.is_skipped)
                .map(|address| (address, part.tokens));
            if part.is_stored {
                self.cluster.record_part_use(part.hash);
            }
            if let Some(store) = part.store.as_ref().filter(|_| part.is_stored && part.is_skipped) {
                self.fetch_backoff.borrow_mut().record_skipped(store.tag);
                transfers.skipped_parts += 1;
            }
            let saves = may_save && !part.is_stored && self.try_save(part.hash);
            transfers.fetch.push(fetch);
            transfers.save.push(address.filter(|_| saves));
        }
        // The last part, which belongs to this request alone.
        transfers.fetch.push(None);
        transfers.save.push(None);
        let goals_ms = request.route.goal_ms as f64 * MAX_FETCH_GOALS;
        let timeout_ms = FETCH_BASE_MS
            + FETCH_TRANSFER_FACTOR * fetch_ms
            + FETCH_WAIT_FACTOR * (choice.estimate_ms - fetch_ms);
        let timeout_ms = timeout_ms.min(goals_ms);
        let timeout = Duration::from_secs_f64(timeout_ms / 1_000.0).min(FETCH_TIMEOUT);
        transfers.fetch_until_ms = self.cluster.upstream_clock_ms().unwrap_or(0) + millis(timeout);
        transfers.bookings = self.book_links(parts, upstream, timeout);
        transfers
    }

    /// Books the links of the stores that parts are fetched from, for `timeout` at most.
    fn book_links(&self, parts: &SharedParts, upstream: &Upstream, timeout: Duration) -> Vec<BookingId> {
        let ends_ms = self.now_ms() + millis(timeout);
        let mut bookings = self.link_bookings.borrow_mut();
        let fetched = parts.fetched().filter_map(|part| Some((part.store.as_ref()?.tag, part)));
        fetched.map(|(store, part)| bookings.book(store, part.link_tokens(upstream), ends_ms)).collect()
    }

    /// Ends the bookings of an attempt whose response has begun, or that has failed.
    pub(crate) fn release_links(&self, transfers: &Transfers) {
        let mut bookings = self.link_bookings.borrow_mut();
        for id in &transfers.bookings {
            bookings.release(*id);
        }
    }

    /// Records late fetches with their stores: the response of the chosen upstream began so long after the fetches had
    /// timed out that neither its queue nor the prefill of the rest of the prompt accounts for it.
    pub(crate) fn record_fetch(
        &self,
        request: &CallerRequest,
        chosen: &ChosenUpstream,
        transfers: &Transfers,
    ) {
        let wait_ms = chosen.estimate_ms - chosen.fetch_ms;
        let Some(now_ms) = self.cluster.upstream_clock_ms() else { return };
        let past_timeout_ms = now_ms.saturating_sub(transfers.fetch_until_ms) as f64;
        let tokens_per_ms = self.upstreams.speeds(&request.service).tokens_per_ms.get().max(0.001);
        let rest_ms = chosen.pending_prefill_tokens as f64 / tokens_per_ms;
        let fetched_ms = transfers.fetched_tokens() as f64 / tokens_per_ms;
        if wait_ms > MAX_ENGINE_WAIT_MS || !is_late(past_timeout_ms, rest_ms, fetched_ms) {
            return;
        }
        for (address, tokens) in transfers.fetch.iter().flatten() {
            self.metrics.late_fetches.inc();
            tracing::info!(event = "fetch_late", store = address, tokens, engine_wait_ms = wait_ms);
            self.fetch_backoff.borrow_mut().record_late(store_tag(address));
        }
    }

    /// Returns whether this node may save a part now, and if so records the save.
    fn try_save(&self, part: u64) -> bool {
        let mut recent_saves = self.recent_saves.borrow_mut();
        if recent_saves.len() > MAX_RECENT_SAVES {
            recent_saves.retain(|_, at| at.elapsed() < SAVE_INTERVAL);
        }
        let now = Instant::now();
        let is_due = recent_saves.get(&part).is_none_or(|at| at.elapsed() >= SAVE_INTERVAL);
        if is_due {
            recent_saves.insert(part, now);
        }
        is_due
    }
}

/// Returns the time in which the response is due, which is the whole goal again once that has passed.
fn due_in_ms(request: &CallerRequest) -> u64 {
    let waited_ms = millis(request.arrived.elapsed());
    let goal_ms = request.route.goal_ms;
    if waited_ms < goal_ms { goal_ms - waited_ms } else { goal_ms }
}

/// Returns the store that a part is saved to, by rendezvous hashing: the same on all nodes, and weighted by memory.
fn preferred_store<'a>(stores: &[&'a StoreRef], part: u64) -> Option<&'a StoreRef> {
    let score = |store: &&StoreRef| {
        let uniform = stable_hash(&(part, store.tag)) as f64 / u64::MAX as f64;
        uniform.max(f64::MIN_POSITIVE).ln() / store.memory_tokens.max(1) as f64
    };
    stores.iter().copied().max_by(|left, right| score(left).total_cmp(&score(right)))
}
