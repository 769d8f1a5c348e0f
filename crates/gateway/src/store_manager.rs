//! Manages the stores: follows their events, publishes to entry nodes which parts may be fetched, and frees parts that
//! are no longer worth their space. Done by one node at a time, under the lease for stores.

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

use crate::{discovery::StoreClient, duration::millis, placement::PARTITION_SIGN, upstreams::stable_hash};

/// Entry nodes start no fetch based on an index older than this.
pub(crate) const MAX_INDEX_AGE: Duration = Duration::from_secs(5);
/// Upper limit of the fetch timeout.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between retiring and freeing a part, beyond the age of the index and the fetch timeout: covers the age of the
/// copies that control nodes pass on, differences of clocks, and requests in transit.
const RETIREMENT_MARGIN: Duration = Duration::from_millis(1_500);
/// Time between two rounds of retiring and freeing parts.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two complete lists, which reveal parts whose write was aborted.
const LIST_INTERVAL: Duration = Duration::from_secs(12);
/// Pause after a call to a store that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between two polls for events.
const EVENTS_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of parts freed by one call.
const MAX_FREED_PARTS: usize = 256;
/// The store refuses a free that arrives later than this.
const FREE_TIMEOUT_MS: u64 = 500;

/// Returns the hash that identifies a part among nodes.
pub(crate) fn part_hash(scope: &str, id: &str) -> u64 {
    stable_hash(&(scope, id))
}

/// Returns the hash that identifies a store among nodes.
pub(crate) fn store_tag(address: &str) -> u32 {
    // 32 bits are enough to distinguish a few stores.
    #[allow(clippy::cast_possible_truncation)]
    let tag = stable_hash(&address) as u32;
    tag
}

/// Returns the stores of a routing table.
pub(crate) fn stores_of(table: &RoutingTable) -> impl Iterator<Item = &StoreSpec> {
    table.services().filter_map(|service| match &service.spec {
        ServiceSpec::Store(store) => Some(store),
        ServiceSpec::Engine(_) | ServiceSpec::Plain => None,
    })
}

/// State shared by the tasks of all stores.
struct Shared {
    cluster: ClusterHandle,
    lease: Rc<LeaseHolder>,
    /// By model: cache scopes with an older weight version are out of use.
    oldest_in_use: RefCell<HashMap<String, WeightVersion>>,
    started: Instant,
}

/// Runs a task for each store of the routing table while this node holds the lease.
pub(crate) struct StoreManager<C> {
    client: C,
    shared: Rc<Shared>,
    tasks: BTreeMap<String, (AbortHandle, UsedParts)>,
    is_open: bool,
}

/// Hashes of parts that were used since the task of a store last ran its maintenance.
type UsedParts = Rc<RefCell<HashSet<u64>>>;

impl<C: StoreClient> StoreManager<C> {
    /// Starts no tasks yet; see [`Self::step`].
    pub(crate) fn new(client: C, cluster: ClusterHandle, lease: Rc<LeaseHolder>) -> Self {
        let shared = Shared { cluster, lease, oldest_in_use: RefCell::default(), started: Instant::now() };
        Self { client, shared: Rc::new(shared), tasks: BTreeMap::new(), is_open: false }
    }

    /// Starts and stops tasks to match the lease and the stores of the routing table. To be called several times a
    /// second.
    pub(crate) fn step(
        &mut self,
        table: Option<&RoutingTable>,
        oldest_in_use: HashMap<String, WeightVersion>,
    ) {
        let holds_lease = self.shared.lease.fencing().is_some();
        if !holds_lease {
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
                        millis(MAX_INDEX_AGE + FETCH_TIMEOUT + RETIREMENT_MARGIN),
                    ),
                    is_reachable: true,
                };
                (actix_rt::spawn(store.run()).abort_handle(), used)
            });
        }
    }

    /// Stops all tasks and withdraws the published index.
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

impl<C> Drop for StoreManager<C> {
    fn drop(&mut self) {
        self.shared.cluster.close_catalog();
        for (task, _) in self.tasks.values() {
            task.abort();
        }
    }
}

/// Manages one store.
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
        let mut previous_partial: HashSet<PartName> = HashSet::new();
        loop {
            let Some(list) = self.client.list(&self.address).await else {
                self.set_reachable(false);
                sleep(RETRY_INTERVAL).await;
                continue;
            };
            self.record_contact(true);
            let epoch = list.epoch;
            let now_ms = self.now_ms();
            let parts = list.complete.len();
            self.catalog.replace(list.complete, now_ms);
            self.publish_all();
            // A part that is still partial since the previous list: its write was aborted, which no event reports.
            let partial: HashSet<PartName> = list.partial.into_iter().collect();
            let stuck: Vec<PartName> = partial.intersection(&previous_partial).cloned().collect();
            tracing::info!(
                event = "store_listed",
                store = self.address,
                epoch,
                parts,
                partial = partial.len(),
                stuck = stuck.len(),
                used_tokens = self.catalog.used_tokens(),
            );
            previous_partial = partial;
            self.free(&stuck, epoch, None).await;
            if !self.follow(epoch, list.next_since).await {
                self.catalog.clear();
                previous_partial.clear();
                self.publish(None);
            }
        }
    }

    /// Follows events until the next list is due or events were lost; `false` if the store has restarted empty.
    async fn follow(&mut self, epoch: u64, mut since: u64) -> bool {
        let list_due = Instant::now() + LIST_INTERVAL;
        let mut maintenance_due = Instant::now() + MAINTENANCE_INTERVAL;
        let mut clock = None;
        while Instant::now() < list_due {
            let polled_at = BootInstant::now();
            let Some(update) = self.client.events(&self.address, since).await else {
                self.set_reachable(false);
                sleep(RETRY_INTERVAL).await;
                continue;
            };
            self.set_reachable(true);
            if update.epoch != epoch {
                tracing::info!(event = "store_restarted", store = self.address, epoch = update.epoch);
                return false;
            }
            since = update.next_since;
            let now_ms = self.now_ms();
            for (name, stored) in update.events {
                match stored {
                    Some(tokens) => self.catalog.record_stored(name, tokens, now_ms),
                    None => self.catalog.record_removed(&name),
                }
            }
            clock = update.clock_ms.map(|clock_ms| (clock_ms, polled_at)).or(clock);
            self.publish(update.clock_ms.map(|clock_ms| (clock_ms, BootInstant::now())));
            if Instant::now() >= maintenance_due {
                maintenance_due = Instant::now() + MAINTENANCE_INTERVAL;
                self.maintain(epoch, clock).await;
            }
            if update.has_gap {
                return true;
            }
            sleep(EVENTS_INTERVAL).await;
        }
        true
    }

    /// Withdraws the store's parts from the published index while it does not respond, and publishes them again after.
    fn set_reachable(&mut self, reachable: bool) {
        if !self.record_contact(reachable) {
            return;
        }
        if reachable {
            self.publish_all();
        } else if self.holds_lease() {
            self.shared.cluster.publish_store(store_tag(&self.address), Vec::new());
        }
    }

    /// Records whether the store responds; returns whether that has changed.
    fn record_contact(&mut self, reachable: bool) -> bool {
        let has_changed = std::mem::replace(&mut self.is_reachable, reachable) != reachable;
        if has_changed {
            tracing::info!(event = "store_contact", store = self.address, reachable);
        }
        has_changed
    }

    /// Returns whether this node may change stores and publish their content. To be checked right before, since the
    /// process may have been suspended.
    fn holds_lease(&self) -> bool {
        self.shared.lease.fencing().is_some()
    }

    /// Publishes all parts of the store that may be fetched, and withdraws others that are still published as its.
    fn publish_all(&mut self) {
        if !self.holds_lease() {
            return;
        }
        self.catalog.take_changes();
        let store = store_tag(&self.address);
        let content = self.catalog.fetchable().map(|(name, tokens)| {
            let part = part_hash(&name.scope, &name.id);
            StoredPart { part, store, tokens }
        });
        self.shared.cluster.publish_store(store, content.collect());
    }

    /// Records uses, retires parts and frees those that were retired long enough ago. `clock` is a reading of the
    /// store's clock in ms and the time of it.
    async fn maintain(&mut self, epoch: u64, clock: Option<(u64, BootInstant)>) {
        // A part must not count as retired before that is published.
        if !self.holds_lease() {
            return;
        }
        let now_ms = self.now_ms();
        let used = std::mem::take(&mut *self.used.borrow_mut());
        self.catalog.record_used(|name| used.contains(&part_hash(&name.scope, &name.id)), now_ms);
        let oldest = self.shared.oldest_in_use.borrow().clone();
        self.catalog.retire(|scope| is_in_use(scope, &oldest), now_ms);
        self.publish(None);
        let due: Vec<PartName> = self.catalog.freeable(now_ms).into_iter().take(MAX_FREED_PARTS).collect();
        let until_ms = clock.map(|(clock_ms, at)| clock_ms + millis(at.elapsed()) + FREE_TIMEOUT_MS);
        self.free(&due, epoch, until_ms).await;
    }

    async fn free(&mut self, parts: &[PartName], epoch: u64, until_ms: Option<u64>) {
        if parts.is_empty() || !self.holds_lease() {
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

    /// Publishes the changes of the catalog and, if given, a reading of the store's clock.
    fn publish(&mut self, clock: Option<(u64, BootInstant)>) {
        if !self.holds_lease() {
            return;
        }
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

/// Returns whether a cache scope, which begins with `model/version`, belongs to a weight version that is in use.
fn is_in_use(scope: &str, oldest: &HashMap<String, WeightVersion>) -> bool {
    let mut parts = scope.split('/');
    let (Some(model), Some(version)) = (parts.next(), parts.next()) else { return false };
    let version = version.split_once(PARTITION_SIGN).map_or(version, |(version, _)| version);
    let Ok(version) = version.parse() else { return false };
    oldest.get(model).is_none_or(|oldest| WeightVersion(version) >= *oldest)
}
