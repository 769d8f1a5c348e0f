//! The routing table, the stores and the target versions of models in force on this node.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use daisysill_cluster::{BootInstant, ClusterHandle, ConfirmedView};
use daisysill_control::state::ConfigView;
use daisysill_core::{
    ids::{ConfigVersion, WeightVersion, ZoneName},
    routing::RoutingTable,
};

use crate::{
    discovery::DocumentFormat,
    store_manager::{store_tag, stores_of},
};

/// A store of the routing table.
#[derive(Clone, Debug)]
pub struct StoreRef {
    /// Hash of the address that identifies the store among nodes.
    pub tag: u32,
    /// Address in the form that engines expect.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Bandwidth of its network link.
    pub link_mbit_per_s: u64,
    /// Capacity in tokens.
    pub memory_tokens: u64,
}

/// The routing table in force, with the confirmation of the configuration that it belongs to. Read as one value, since a newer
/// confirmation says nothing about an older table.
#[derive(Clone, Debug)]
pub struct ConfirmedTable {
    /// The routing table.
    pub table: Rc<RoutingTable>,
    confirmed_at: Option<BootInstant>,
}

impl ConfirmedTable {
    /// Returns the time, suspended time included, since the table was known to be that of the newest configuration; `None` if it
    /// never was.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.map(BootInstant::elapsed)
    }
}

#[derive(Debug, Default)]
struct Inner {
    /// The configuration that was last put in force; `None` before the first.
    version: Option<ConfigVersion>,
    /// Whether the routing table is that of this configuration: `false` if its document could not be read.
    has_its_table: bool,
    stores: Rc<Vec<StoreRef>>,
    table: Option<Rc<RoutingTable>>,
    /// Target versions by model.
    targets: BTreeMap<String, WeightVersion>,
}

/// Wraps the document format for `Debug`.
#[derive(Clone)]
struct SharedFormat(Arc<dyn DocumentFormat>);

impl std::fmt::Debug for SharedFormat {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedFormat")
    }
}

/// The configuration in force; clones share it.
#[derive(Clone, Debug)]
pub struct RoutingState {
    cluster: ClusterHandle,
    format: SharedFormat,
    inner: Rc<RefCell<Inner>>,
}

impl RoutingState {
    /// Starts without a configuration of `cluster`, whose routing documents have the given format.
    pub fn new(cluster: ClusterHandle, format: Arc<dyn DocumentFormat>) -> Self {
        Self { cluster, format: SharedFormat(format), inner: Rc::default() }
    }

    /// Returns the cluster whose configuration is in force.
    pub fn cluster(&self) -> &ClusterHandle {
        &self.cluster
    }

    /// Returns the routing table; `None` before the first configuration has arrived.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.inner.borrow().table.clone()
    }

    /// Returns the stores of the routing table; none before the first configuration has arrived.
    pub fn stores(&self) -> Rc<Vec<StoreRef>> {
        Rc::clone(&self.inner.borrow().stores)
    }

    /// Returns the weight version that a model is to be served with; `None` if the operator has set none.
    pub fn target_version(&self, model: &str) -> Option<WeightVersion> {
        self.inner.borrow().targets.get(model).copied()
    }

    /// Puts target versions in force; logs those that are new, with their ages.
    fn install_targets(&self, targets: &BTreeMap<String, WeightVersion>) {
        let mut inner = self.inner.borrow_mut();
        let raised = targets.iter().filter(|(model, version)| inner.targets.get(*model) < Some(version));
        for (model, version) in raised {
            let set_at = self.cluster.target_version_set_at(model, *version);
            let age_ms = set_at.map(|at| at.elapsed().as_millis());
            tracing::info!(event = "weights_named", model, version = version.0, age_ms);
        }
        inner.targets.clone_from(targets);
    }

    /// Puts the routing table of a configuration in force. An older document never replaces a newer one.
    fn install_table(&self, view: &ConfigView) {
        let mut inner = self.inner.borrow_mut();
        inner.version = Some(view.version);
        inner.has_its_table = true;
        let Some(document) = &view.document else { return };
        if inner.table.as_ref().is_some_and(|table| table.version() >= document.version) {
            return;
        }
        let decoded = self.format.0.decode(&document.body);
        let table = decoded.and_then(|spec| RoutingTable::build(spec).map_err(|error| error.to_string()));
        match table {
            Ok(table) => {
                tracing::info!(
                    event = "routing_installed",
                    version = table.version(),
                    log_index = view.version.0
                );
                inner.stores = Rc::new(store_refs(&table));
                inner.table = Some(Rc::new(table));
            }
            // Documents are checked before they are proposed, so this is a bug.
            Err(error) => {
                inner.has_its_table = false;
                tracing::error!(event = "routing_unreadable", version = document.version, error);
            }
        }
    }

    /// Puts the newest configuration of the cluster in force if it is not yet, the rest of it with `install_rest` before the
    /// routing table; returns the table with its confirmation, `None` before the first configuration has arrived.
    ///
    /// Called before each decision by the configuration: a confirmation is known on other threads as soon as it arrives, and
    /// the task that follows the configuration runs later.
    pub fn update(&self, install_rest: impl FnOnce(&ConfigView)) -> Option<ConfirmedTable> {
        let ConfirmedView { view, confirmed_at } = self.cluster.confirmed_view();
        if self.inner.borrow().version.is_none_or(|version| version < view.version) {
            self.install_targets(&view.target_versions);
            install_rest(&view);
            self.install_table(&view);
        }
        let inner = self.inner.borrow();
        let confirmed_at = confirmed_at.filter(|_| inner.has_its_table);
        inner.table.clone().map(|table| ConfirmedTable { table, confirmed_at })
    }

    /// Puts each new configuration of the cluster in force, as [`Self::update`] does; runs until the task is aborted or the
    /// cluster stops.
    pub async fn follow(self, install_rest: impl Fn(&ConfigView)) {
        let mut views = self.cluster.view();
        loop {
            views.mark_unchanged();
            self.update(&install_rest);
            if views.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Returns the stores of a routing table.
fn store_refs(table: &RoutingTable) -> Vec<StoreRef> {
    let stores = stores_of(table).map(|store| StoreRef {
        tag: store_tag(&store.address),
        address: store.address.clone(),
        zone: store.zone.clone(),
        link_mbit_per_s: store.link_mbit_per_s,
        memory_tokens: store.memory_tokens,
    });
    stores.collect()
}
