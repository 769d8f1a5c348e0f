//! The routing table and the model versions in force on this node, and how fresh they are.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
    sync::Arc,
};

use daisysill_cluster::ClusterHandle;
use daisysill_control::state::ConfigView;
use daisysill_core::{
    ids::{WeightVersion, ZoneName},
    routing::RoutingTable,
};
use tokio::time::Instant;

use crate::{
    discovery::DocumentFormat,
    store_manager::{store_tag, stores_of},
};

/// A weight version and when this node learned of it.
#[derive(Clone, Copy, Debug)]
pub struct NamedVersion {
    /// The version.
    pub version: WeightVersion,
    /// When this node learned of it.
    pub since: Instant,
}

/// A store as requests see it.
#[derive(Clone, Debug)]
pub struct StoreRef {
    /// Its name among nodes.
    pub tag: u32,
    /// Its address.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Speed of its link.
    pub link_mbit_per_s: u64,
    /// Tokens that it holds.
    pub memory_tokens: u64,
}

#[derive(Debug, Default)]
struct Inner {
    stores: Rc<Vec<StoreRef>>,
    table: Option<Rc<RoutingTable>>,
    named: HashMap<String, NamedVersion>,
}

/// The routing state of a node.
#[derive(Clone, Debug, Default)]
pub struct RoutingState {
    inner: Rc<RefCell<Inner>>,
}

impl RoutingState {
    /// Returns the routing table; `None` before the first configuration has arrived.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.inner.borrow().table.clone()
    }

    /// Returns the stores.
    pub fn stores(&self) -> Rc<Vec<StoreRef>> {
        Rc::clone(&self.inner.borrow().stores)
    }

    /// Returns the weight version that a model is to be served with, if one was named.
    pub fn named_version(&self, model: &str) -> Option<NamedVersion> {
        self.inner.borrow().named.get(model).copied()
    }

    /// Puts a configuration in force. An older document never replaces a newer one.
    fn install(&self, view: &ConfigView, format: &dyn DocumentFormat) {
        let mut inner = self.inner.borrow_mut();
        inner.name_versions(&view.target_versions);
        let Some(document) = &view.document else { return };
        if inner.table.as_ref().is_some_and(|table| table.version() >= document.version) {
            return;
        }
        let table = format
            .decode(&document.body)
            .and_then(|spec| RoutingTable::build(spec).map_err(|error| error.to_string()));
        match table {
            Ok(table) => {
                tracing::info!(
                    event = "routing_installed",
                    version = table.version(),
                    log_index = view.version.0
                );
                let stores = stores_of(&table).map(|store| StoreRef {
                    tag: store_tag(&store.address),
                    address: store.address.clone(),
                    zone: store.zone.clone(),
                    link_mbit_per_s: store.link_mbit_per_s,
                    memory_tokens: store.memory_tokens,
                });
                inner.stores = Rc::new(stores.collect());
                inner.table = Some(Rc::new(table));
            }
            // Checked before it was agreed on, so this is a fault of this program.
            Err(error) => {
                tracing::error!(event = "routing_unreadable", version = document.version, error);
            }
        }
    }

    /// Follows the cluster's configuration until it is aborted.
    pub async fn follow(self, cluster: ClusterHandle, format: Arc<dyn DocumentFormat>) {
        let mut views = cluster.view();
        loop {
            let view = Arc::clone(&views.borrow_and_update());
            self.install(&view, format.as_ref());
            if views.changed().await.is_err() {
                return;
            }
        }
    }
}

impl Inner {
    fn name_versions(&mut self, versions: &BTreeMap<String, WeightVersion>) {
        for (model, version) in versions {
            let known = self.named.get(model).map(|named| named.version);
            if known.is_none_or(|known| known < *version) {
                tracing::info!(event = "weights_named", model, version = version.0);
                self.named.insert(model.clone(), NamedVersion { version: *version, since: Instant::now() });
            }
        }
    }
}
