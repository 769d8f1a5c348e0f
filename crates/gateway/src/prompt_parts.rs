//! The shared parts of a prompt: their location in stores, and what an attempt fetches from and saves to stores.

use std::time::Duration;

use daisysill_core::{placement::ChosenCandidate, routing::EngineSpec};
use tokio::time::Instant;

use crate::{
    caller_request::CallerRequest,
    duration::millis,
    forward::Gateway,
    header_codec::Transfers,
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
    /// Whether its fetch is skipped, since an earlier fetch from its store was late.
    is_skipped: bool,
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

    /// Estimates the time that the upstream takes to fetch the stored parts one after another on idle links.
    pub(crate) fn fetch_ms(&self, upstream: &Upstream, engine: Option<&EngineSpec>) -> f64 {
        /// Factor for transfers between availability zones.
        const CROSS_ZONE_FACTOR: f64 = 2.0;
        let Some(engine) = engine else { return 0.0 };
        let part_ms = |part: &PartLocation| {
            let Some(store) = &part.store else { return 0.0 };
            let link = store.link_mbit_per_s.min(engine.link_mbit_per_s).max(1) as f64;
            let bits = part.tokens as f64 * engine.token_bytes as f64 * 8.0;
            let factor = if store.zone == upstream.entry.zone { 1.0 } else { CROSS_ZONE_FACTOR };
            factor * bits / (link * 1_000.0)
        };
        self.fetched().map(part_ms).sum()
    }
}

impl Gateway {
    /// Finds the store that holds each shared part of a prompt, or that it is to be saved to.
    pub(crate) fn locate_shared_parts(&self, request: &CallerRequest, scope: &str) -> SharedParts {
        let Some(prompt) = &request.headers.prompt else { return SharedParts::default() };
        let all_stores = self.routing.stores();
        let clock_known = self.cluster.upstream_clock_ms().is_some();
        // The last part belongs to this request alone.
        let shared = prompt.parts.len().saturating_sub(1);
        let parts = prompt.parts.iter().take(shared).map(|part| {
            let hash = part_hash(scope, &part.id);
            let stored = self.cluster.stored_part(hash, MAX_INDEX_AGE).filter(|_| clock_known);
            // A store that the routing table does not name any more cannot be fetched from.
            let held = stored.and_then(|stored| {
                let holder = all_stores.iter().find(|store| store.tag == stored.store)?;
                Some((holder, stored.tokens))
            });
            let is_stored = held.is_some();
            let store =
                held.map(|(holder, _)| holder).or_else(|| preferred_store(&all_stores, hash)).cloned();
            let tokens = held.map_or(part.tokens, |(_, tokens)| tokens.min(part.tokens));
            let is_skipped =
                store.as_ref().is_some_and(|store| !self.fetch_backoff.borrow().admits(store.tag));
            PartLocation { hash, tokens, store, is_stored, is_skipped }
        });
        SharedParts { parts: parts.collect() }
    }

    /// Decides for each part of a prompt whether it is fetched from a store or saved to one, and sets the time at which
    /// fetches are abandoned.
    pub(crate) fn transfers(
        &self,
        request: &CallerRequest,
        parts: &SharedParts,
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
        transfers
    }

    /// Records late fetches with their stores: the response began after the fetches had timed out, and the wait of
    /// `wait_ms` estimated at the engine does not account for it.
    pub(crate) fn record_fetch(&self, transfers: &Transfers, wait_ms: f64) {
        let now_ms = self.cluster.upstream_clock_ms();
        let is_late = now_ms.is_some_and(|now_ms| now_ms > transfers.fetch_until_ms);
        if !is_late || wait_ms > MAX_ENGINE_WAIT_MS {
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

/// Returns the store that a part is saved to, by rendezvous hashing: the same on all nodes, and weighted by memory.
fn preferred_store(stores: &[StoreRef], part: u64) -> Option<&StoreRef> {
    let score = |store: &&StoreRef| {
        let uniform = stable_hash(&(part, store.tag)) as f64 / u64::MAX as f64;
        uniform.max(f64::MIN_POSITIVE).ln() / store.memory_tokens.max(1) as f64
    };
    stores.iter().max_by(|left, right| score(left).total_cmp(&score(right)))
}
