//! Keeps the catalog of the managed stores: follows their events, tells entry nodes what may be fetched, and frees
//! what is no longer worth its space. Done by one node at a time, under the same lease as orders.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use daisysill_cluster::{BootInstant, ClusterHandle, LeaseHolder};
use daisysill_core::{
    ids::WeightVersion,
    routing::{RoutingTable, ServiceSpec, StoreSpec},
    store_catalog::{CatalogChange, PartName, StoreCatalog},
};
use daisysill_wire::peer::StoredPart;
use tokio::{
    task::AbortHandle,
    time::{Instant, sleep},
};

use crate::{discovery::StoreClient, duration::millis, upstreams::stable_hash};

/// An entry node starts no fetch on news older than this.
pub(crate) const INDEX_LIMIT: Duration = Duration::from_secs(5);
/// A fetch that has not ended after this time is given up by its upstream.
pub(crate) const FETCH_LIMIT: Duration = Duration::from_secs(2);
/// Left for clocks and for a request that is on its way.
const RETIREMENT_MARGIN: Duration = Duration::from_secs(1);
/// Time between two looks at what is to be retired and freed.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two whole lists, by which parts whose writing broke off are found.
const LIST_INTERVAL: Duration = Duration::from_secs(12);
/// Pause after a store did not answer, and between two questions for events.
const RETRY: Duration = Duration::from_millis(400);
const EVENTS_PAUSE: Duration = Duration::from_millis(150);
/// Parts freed by one call at most.
const MAX_FREED: usize = 256;
/// A free that arrives later than this is refused by the store.
const FREE_LIMIT_MS: u64 = 500;

/// Returns the name of a part among nodes.
pub(crate) fn part_hash(scope: &str, id: &str) -> u64 {
    stable_hash(&(scope, id))
}

/// Returns the name of a store among nodes.
pub(crate) fn store_tag(address: &str) -> u32 {
    // The low half is enough to tell a few stores apart.
    #[allow(clippy::cast_possible_truncation)]
    let tag = stable_hash(&address) as u32;
    tag
}

/// The stores of a routing document.
pub(crate) fn stores_of(table: &RoutingTable) -> impl Iterator<Item = &StoreSpec> {
    table.services().filter_map(|service| match &service.spec {
        ServiceSpec::Store(store) => Some(store),
        ServiceSpec::Engine(_) | ServiceSpec::Plain => None,
    })
}

/// What is shared by the tasks of one term.
struct Shared {
    cluster: ClusterHandle,
    keeper: Rc<LeaseHolder>,
    /// Scopes that are out of use, by model: versions below this.
    oldest_in_use: RefCell<HashMap<String, WeightVersion>>,
    started: Instant,
}

/// Keeps the catalog while it exists.
pub(crate) struct StoreKeeper<C> {
    client: C,
    shared: Rc<Shared>,
    tasks: BTreeMap<String, (AbortHandle, UsedParts)>,
    is_open: bool,
}

/// Parts that were used and that a task has yet to look at.
type UsedParts = Rc<RefCell<HashSet<u64>>>;

impl<C: StoreClient> StoreKeeper<C> {
    /// Prepares to keep the catalog once the lease is held.
    pub(crate) fn new(client: C, cluster: ClusterHandle, keeper: Rc<LeaseHolder>) -> Self {
        let shared = Shared { cluster, keeper, oldest_in_use: RefCell::default(), started: Instant::now() };
        Self { client, shared: Rc::new(shared), tasks: BTreeMap::new(), is_open: false }
    }

    /// Follows the stores of the routing document in force. To be called several times a second.
    pub(crate) fn step(
        &mut self,
        table: Option<&RoutingTable>,
        oldest_in_use: HashMap<String, WeightVersion>,
    ) {
        let holds = self.shared.keeper.fencing().is_some();
        if !holds {
            self.close();
            return;
        }
        if !self.is_open {
            self.shared.cluster.open_catalog();
            self.is_open = true;
        }
        *self.shared.oldest_in_use.borrow_mut() = oldest_in_use;
        let used_parts = self.shared.cluster.take_used_parts();
        let specs = table.into_iter().flat_map(stores_of);
        let stores: BTreeMap<String, u64> =
            specs.map(|store| (store.address.clone(), store.memory_tokens)).collect();
        self.tasks.retain(|address, (task, used)| {
            used.borrow_mut().extend(&used_parts);
            let kept = stores.contains_key(address);
            if !kept {
                task.abort();
            }
            kept
        });
        for (address, capacity) in stores {
            let (client, shared) = (&self.client, &self.shared);
            self.tasks.entry(address).or_insert_with_key(|address| {
                let used = UsedParts::default();
                let store = StoreTask {
                    client: client.clone(),
                    shared: Rc::clone(shared),
                    used: Rc::clone(&used),
                    address: address.clone(),
                    catalog: StoreCatalog::new(
                        capacity,
                        millis(INDEX_LIMIT + FETCH_LIMIT + RETIREMENT_MARGIN),
                    ),
                    is_reachable: true,
                };
                (actix_rt::spawn(store.run()).abort_handle(), used)
            });
        }
    }

    fn close(&mut self) {
        if self.is_open {
            self.shared.cluster.close_catalog();
        }
        self.is_open = false;
        for (task, _) in std::mem::take(&mut self.tasks).into_values() {
            task.abort();
        }
    }
}

impl<C> Drop for StoreKeeper<C> {
    fn drop(&mut self) {
        self.shared.cluster.close_catalog();
        for (task, _) in self.tasks.values() {
            task.abort();
        }
    }
}

/// Follows one store.
struct StoreTask<C> {
    client: C,
    shared: Rc<Shared>,
    used: UsedParts,
    address: String,
    catalog: StoreCatalog,
    is_reachable: bool,
}

impl<C: StoreClient> StoreTask<C> {
    async fn run(mut self) {
        let mut broken_off: HashSet<PartName> = HashSet::new();
        loop {
            let Some(list) = self.client.list(&self.address).await else {
                sleep(RETRY).await;
                continue;
            };
            let epoch = list.epoch;
            let now_ms = self.now_ms();
            let parts = list.whole.len();
            self.catalog.replace(list.whole, now_ms);
            self.publish(None);
            // Still not whole since the last list: its writing broke off, and nobody was told of it.
            let partial: HashSet<PartName> = list.partial.into_iter().collect();
            let stuck: Vec<PartName> = partial.intersection(&broken_off).cloned().collect();
            tracing::info!(
                event = "store_listed",
                store = self.address,
                epoch,
                parts,
                partial = partial.len(),
                stuck = stuck.len(),
                used_tokens = self.catalog.used_tokens(),
            );
            broken_off = partial;
            self.free(&stuck, epoch, None).await;
            if !self.follow(epoch, list.next).await {
                self.catalog.clear();
                broken_off.clear();
                self.publish(None);
            }
        }
    }

    /// Follows events until the next list is due; `false` if the store has started empty.
    async fn follow(&mut self, epoch: u64, mut since: u64) -> bool {
        let list_due = Instant::now() + LIST_INTERVAL;
        let mut upkeep_due = Instant::now() + UPKEEP_INTERVAL;
        let mut clock = None;
        while Instant::now() < list_due {
            let asked_at = BootInstant::now();
            let Some(news) = self.client.events(&self.address, since).await else {
                self.set_reachable(false);
                sleep(RETRY).await;
                continue;
            };
            self.set_reachable(true);
            if news.epoch != epoch {
                tracing::info!(event = "store_restarted", store = self.address, epoch = news.epoch);
                return false;
            }
            since = news.next;
            let now_ms = self.now_ms();
            for (name, stored) in news.events {
                match stored {
                    Some(tokens) => self.catalog.record_stored(name, tokens, now_ms),
                    None => self.catalog.record_removed(&name),
                }
            }
            clock = news.clock_ms.map(|clock_ms| (clock_ms, asked_at)).or(clock);
            self.publish(clock.map(|(clock_ms, _)| (clock_ms, BootInstant::now())));
            if Instant::now() >= upkeep_due {
                upkeep_due = Instant::now() + UPKEEP_INTERVAL;
                self.upkeep(epoch, clock).await;
            }
            if news.has_gap {
                return true;
            }
            sleep(EVENTS_PAUSE).await;
        }
        true
    }

    /// While the store does not answer, nothing is to be fetched from it.
    fn set_reachable(&mut self, reachable: bool) {
        if std::mem::replace(&mut self.is_reachable, reachable) == reachable {
            return;
        }
        tracing::info!(event = "store_contact", store = self.address, reachable);
        let store = store_tag(&self.address);
        let changes = self.catalog.fetchable().map(|(name, tokens)| {
            let part = part_hash(&name.scope, &name.id);
            (part, reachable.then_some(StoredPart { part, store, tokens }))
        });
        self.shared.cluster.publish_stored_parts(changes.collect(), None);
    }

    async fn upkeep(&mut self, epoch: u64, clock: Option<(u64, BootInstant)>) {
        let now_ms = self.now_ms();
        let used = std::mem::take(&mut *self.used.borrow_mut());
        self.catalog.record_used(|name| used.contains(&part_hash(&name.scope, &name.id)), now_ms);
        let oldest = self.shared.oldest_in_use.borrow().clone();
        self.catalog.retire(|scope| is_in_use(scope, &oldest), now_ms);
        self.publish(None);
        let due: Vec<PartName> = self.catalog.freeable(now_ms).into_iter().take(MAX_FREED).collect();
        let until_ms = clock.map(|(clock_ms, at)| clock_ms + millis(at.elapsed()) + FREE_LIMIT_MS);
        self.free(&due, epoch, until_ms).await;
    }

    async fn free(&mut self, parts: &[PartName], epoch: u64, until_ms: Option<u64>) {
        // Asked right before: the process may have been suspended.
        if parts.is_empty() || self.shared.keeper.fencing().is_none() {
            return;
        }
        let freed = self.client.free(&self.address, parts, epoch, until_ms).await;
        tracing::info!(event = "parts_freed", store = self.address, parts = parts.len(), freed);
        if freed {
            for part in parts {
                self.catalog.record_removed(part);
            }
        }
    }

    fn publish(&mut self, clock: Option<(u64, BootInstant)>) {
        let store = store_tag(&self.address);
        let changes = self.catalog.take_changes().into_iter().map(|change| match change {
            CatalogChange::Stored(name, tokens) => {
                let part = part_hash(&name.scope, &name.id);
                (part, Some(StoredPart { part, store, tokens }))
            }
            CatalogChange::Retired(name) => (part_hash(&name.scope, &name.id), None),
        });
        self.shared.cluster.publish_stored_parts(changes.collect(), clock);
    }

    fn now_ms(&self) -> u64 {
        millis(self.shared.started.elapsed())
    }
}

fn is_in_use(scope: &str, oldest: &HashMap<String, WeightVersion>) -> bool {
    let mut parts = scope.split('/');
    let (Some(model), Some(version)) = (parts.next(), parts.next()) else { return false };
    let Ok(version) = version.parse() else { return false };
    oldest.get(model).is_none_or(|oldest| WeightVersion(version) >= *oldest)
}
