//! The shared parts of a prompt: where they lie, and what an attempt fetches and saves.

use std::time::Duration;

use daisysill_core::{placement::Choice, routing::EngineSpec};
use tokio::time::Instant;

use crate::{
    caller_request::Call,
    duration::millis,
    forward::Gateway,
    header_codec::Transfers,
    routing_state::StoreRef,
    store_manager::{FETCH_LIMIT, INDEX_LIMIT, part_hash, store_tag},
    upstreams::{Upstream, stable_hash},
};

/// A fetch is given up after this time, so many times what it takes on an idle link, and so many times the estimate of
/// the wait at the engine: its time runs while the request waits, and a prompt whose fetch was given up is read and
/// adds load where there is too much.
const FETCH_BASE_MS: f64 = 80.0;
const FETCH_TIMES: f64 = 3.0;
const FETCH_WAITS: f64 = 2.0;
/// No fetch is worth more than this many goals.
const FETCH_GOALS: f64 = 2.5;
/// A fetch that came too late counts against its store if the wait at the engine was estimated at less than this.
const BLAMED_WAIT_MS: f64 = 160.0;
/// A part that is being saved is not saved again for this time.
const SAVE_TIME: Duration = Duration::from_secs(4);
/// Parts being saved that are remembered before the old ones are dropped.
const MAX_SAVING: usize = 4_096;

/// Where a shared part of a prompt lies, or is to be saved.
struct PartPlace {
    hash: u64,
    tokens: u64,
    store: Option<StoreRef>,
    is_stored: bool,
    /// Whether it is not fetched because its store cannot keep up.
    is_left_out: bool,
}

/// The shared parts of a prompt.
#[derive(Default)]
pub(crate) struct StoredParts {
    places: Vec<PartPlace>,
}

impl StoredParts {
    fn fetched(&self) -> impl Iterator<Item = &PartPlace> {
        self.places.iter().filter(|place| place.is_stored && !place.is_left_out)
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.fetched().map(|place| place.tokens).sum()
    }

    /// Returns whether the store of the largest part is in the upstream's availability zone.
    pub(crate) fn is_near(&self, upstream: &Upstream) -> bool {
        let largest = self.places.iter().max_by_key(|place| place.tokens);
        let store = largest.and_then(|place| place.store.as_ref());
        store.is_some_and(|store| store.zone == upstream.entry.zone)
    }

    /// Estimates how long the upstream takes to fetch the stored parts, one after another.
    pub(crate) fn fetch_ms(&self, upstream: &Upstream, engine: Option<&EngineSpec>) -> f64 {
        /// Transfers between availability zones take this many times as long.
        const BETWEEN_ZONES: f64 = 2.0;
        let Some(engine) = engine else { return 0.0 };
        let part_ms = |place: &PartPlace| {
            let Some(store) = &place.store else { return 0.0 };
            let link = store.link_mbit_per_s.min(engine.link_mbit_per_s).max(1) as f64;
            let bits = place.tokens as f64 * engine.token_bytes as f64 * 8.0;
            let factor = if store.zone == upstream.entry.zone { 1.0 } else { BETWEEN_ZONES };
            factor * bits / (link * 1_000.0)
        };
        self.fetched().map(part_ms).sum()
    }
}

impl Gateway {
    /// Finds for each shared part of a prompt where it lies, or where it is to be saved.
    pub(crate) fn stored_parts(&self, call: &Call, scope: &str) -> StoredParts {
        let Some(prompt) = &call.headers.prompt else { return StoredParts::default() };
        let known = self.routing.stores();
        let clock_known = self.cluster.upstream_clock_ms().is_some();
        // The last part is the request's own.
        let shared = prompt.parts.len().saturating_sub(1);
        let places = prompt.parts.iter().take(shared).map(|part| {
            let hash = part_hash(scope, &part.id);
            let stored = self.cluster.stored_part(hash, INDEX_LIMIT).filter(|_| clock_known);
            let holder = stored.and_then(|stored| known.iter().find(|store| store.tag == stored.store));
            let is_stored = stored.is_some();
            let store = holder.or_else(|| home_store(&known, hash)).cloned();
            let tokens = stored.map_or(part.tokens, |stored| stored.tokens.min(part.tokens));
            let is_left_out =
                store.as_ref().is_some_and(|store| !self.fetch_backoff.borrow().admits(store.tag));
            PartPlace { hash, tokens, store, is_stored, is_left_out }
        });
        StoredParts { places: places.collect() }
    }

    /// Decides for each shared part of a prompt whether it is fetched from a store or saved to one.
    pub(crate) fn transfers(
        &self,
        call: &Call,
        parts: &StoredParts,
        may_save: bool,
        choice: Choice,
        fetch_ms: f64,
    ) -> Transfers {
        let mut transfers = Transfers::default();
        for place in &parts.places {
            let address = place.store.as_ref().map(|store| store.address.clone());
            let fetch = address
                .clone()
                .filter(|_| place.is_stored && !place.is_left_out)
                .map(|address| (address, place.tokens));
            if place.is_stored {
                self.cluster.record_part_use(place.hash);
            }
            if let Some(store) = place.store.as_ref().filter(|_| place.is_stored && place.is_left_out) {
                self.fetch_backoff.borrow_mut().record_skipped(store.tag);
                transfers.left_out_parts += 1;
            }
            let saves = may_save && !place.is_stored && self.may_save(place.hash);
            transfers.fetch.push(fetch);
            transfers.save.push(address.filter(|_| saves));
        }
        // The request's own part.
        transfers.fetch.push(None);
        transfers.save.push(None);
        let goals_ms = call.route.goal_ms as f64 * FETCH_GOALS;
        let limit_ms = FETCH_BASE_MS + FETCH_TIMES * fetch_ms + FETCH_WAITS * (choice.estimate_ms - fetch_ms);
        let limit_ms = limit_ms.min(goals_ms);
        let limit = Duration::from_secs_f64(limit_ms / 1_000.0).min(FETCH_LIMIT);
        transfers.fetch_until_ms = self.cluster.upstream_clock_ms().unwrap_or(0) + millis(limit);
        transfers
    }

    /// Notes the stores whose fetch came too late: the answer began after the fetch was given up, and not because of
    /// a wait at the engine of `wait_ms`.
    pub(crate) fn note_fetch(&self, transfers: &Transfers, wait_ms: f64) {
        let now_ms = self.cluster.upstream_clock_ms();
        let is_late = now_ms.is_some_and(|now_ms| now_ms > transfers.fetch_until_ms);
        if !is_late || wait_ms > BLAMED_WAIT_MS {
            return;
        }
        for (address, tokens) in transfers.fetch.iter().flatten() {
            self.metrics.late_fetches.inc();
            tracing::info!(event = "fetch_late", store = address, tokens, engine_wait_ms = wait_ms);
            self.fetch_backoff.borrow_mut().record_late(store_tag(address));
        }
    }

    /// Returns whether a part is not being saved already, and notes that it is from now on.
    fn may_save(&self, part: u64) -> bool {
        let mut saving = self.saving.borrow_mut();
        if saving.len() > MAX_SAVING {
            saving.retain(|_, at| at.elapsed() < SAVE_TIME);
        }
        let now = Instant::now();
        let is_free = saving.get(&part).is_none_or(|at| at.elapsed() >= SAVE_TIME);
        if is_free {
            saving.insert(part, now);
        }
        is_free
    }
}

/// The store that a part is saved to, the same on all nodes; larger stores get more parts.
fn home_store(stores: &[StoreRef], part: u64) -> Option<&StoreRef> {
    let score = |store: &&StoreRef| {
        let draw = stable_hash(&(part, store.tag)) as f64 / u64::MAX as f64;
        draw.max(f64::MIN_POSITIVE).ln() / store.memory_tokens.max(1) as f64
    };
    stores.iter().max_by(|left, right| score(left).total_cmp(&score(right)))
}
