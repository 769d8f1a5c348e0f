//! Interfaces to the deployment's platform: the list of upstreams, routing documents, engines and stores.

use std::{
    collections::{BTreeMap, HashMap},
    future::Future,
};

use daisysill_core::{
    ids::{FencingNumber, InstanceId, SoftwareVersion, WeightVersion},
    routing::RoutingSpec,
    store_catalog::PartName,
    value_types,
};
use daisysill_wire::peer::{ColdUpstream, UpstreamEntry, UpstreamSoftware, UpstreamStart};

/// An upstream of the platform's list.
#[derive(Clone, Debug)]
pub struct ListedUpstream {
    /// The entry that nodes exchange.
    pub entry: UpstreamEntry,
    /// The software version that the upstream runs; empty if none is listed.
    pub software: SoftwareVersion,
    /// How long the upstream stays cold, 0 if it is warm; `None` if the list does not say.
    pub cold_left_ms: Option<u64>,
}

impl ListedUpstream {
    /// Splits a list into its entries and their software versions.
    pub(crate) fn split(listed: Vec<Self>) -> (Vec<UpstreamEntry>, Vec<UpstreamSoftware>) {
        let parts = listed.into_iter().map(|Self { entry, software, .. }| {
            let start = UpstreamStart { id: entry.id.clone(), started_unix_ms: entry.started_unix_ms };
            (entry, UpstreamSoftware { start, software })
        });
        parts.unzip()
    }

    /// Returns how long each upstream stays cold of which the list says it.
    pub(crate) fn cold_times(listed: &[Self]) -> Vec<ColdUpstream> {
        let times = listed.iter().filter_map(|Self { entry, cold_left_ms, .. }| {
            let start = UpstreamStart { id: entry.id.clone(), started_unix_ms: entry.started_unix_ms };
            Some(ColdUpstream { start, left_ms: (*cold_left_ms)? })
        });
        times.collect()
    }
}

/// Reads the platform's list of upstreams.
pub trait Discovery: Clone + 'static {
    /// Reads the complete list. Entries that cannot be parsed are left out.
    ///
    /// # Errors
    /// Returns why the list could not be read to its end.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedUpstream>, String>>;
}

/// Parses routing documents.
pub trait DocumentFormat: Send + Sync + 'static {
    /// Parses a document; does not check whether its parts fit together.
    ///
    /// # Errors
    /// Returns what is wrong with the document.
    fn decode(&self, body: &[u8]) -> Result<RoutingSpec, String>;
}

/// An order to load weights.
#[derive(Clone, Debug)]
pub struct LoadOrder {
    /// Name of the model.
    pub model: String,
    /// The version to load.
    pub version: WeightVersion,
    /// The node that holds the lease for orders.
    pub holder: InstanceId,
    /// Fencing number of the lease, by which engines can refuse orders of a former holder.
    pub fencing: FencingNumber,
    /// Number of orders that the engine has accepted before this one. It refuses the order if the number differs when it is
    /// carried out, so that a late order cannot undo a newer one; `None` if the engine does not report the number.
    pub orders_before: Option<u64>,
}

value_types! {
    /// What an engine reports of itself.
    #[derive(Default)]
    pub struct EngineReport {
        /// Its weight versions by model.
        pub versions: BTreeMap<String, WeightVersion>,
        /// Number of orders that it has accepted since its start; `None` if it does not say.
        pub accepted_orders: Option<u64>,
    }
}

/// The response of an upstream to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The upstream is loading the weights.
    Accepted,
    /// The upstream has the weights already.
    InPlace,
    /// Another order is in progress, or the engine has accepted another number of orders than the order says.
    Busy,
    /// The engine rejected the order.
    Refused,
    /// No valid response; the order may still be carried out.
    Unknown,
}

/// Sends orders to engines and reads their reports.
pub trait OrderSender: Clone + 'static {
    /// Reads an engine's report; `None` if it does not respond, or if another one or a later start of it responds.
    fn report(&self, upstream: &UpstreamEntry) -> impl Future<Output = Option<EngineReport>>;

    /// Orders an engine to load weights.
    fn load(&self, upstream: &UpstreamEntry, order: &LoadOrder) -> impl Future<Output = OrderOutcome>;
}

/// Changes in a store.
#[derive(Clone, Debug)]
pub struct StoreEvents {
    /// Changes when the store restarts empty.
    pub epoch: u64,
    /// The `since` of the next call.
    pub next_since: u64,
    /// Whether events since the last call were lost.
    pub has_gap: bool,
    /// Parts with their length in tokens; `None` if the part was removed.
    pub events: Vec<(PartName, Option<u64>)>,
    /// The clock that upstreams and stores share.
    pub clock_ms: Option<u64>,
}

/// The contents of a store.
#[derive(Clone, Debug)]
pub struct StoreList {
    /// Changes when the store restarts empty.
    pub epoch: u64,
    /// The `since` of the next call for events.
    pub next_since: u64,
    /// Completely stored parts with their length in tokens.
    pub complete: HashMap<PartName, u64>,
    /// Parts that are being written, or whose write was aborted.
    pub partial: Vec<PartName>,
}

/// Calls stores; failed calls return `None` or `false`.
pub trait StoreClient: Clone + 'static {
    /// Reads the changes after `since`; without any, the store responds after a delay.
    fn events(&self, address: &str, since: u64) -> impl Future<Output = Option<StoreEvents>>;
    /// Reads the complete contents.
    fn list(&self, address: &str) -> impl Future<Output = Option<StoreList>>;
    /// Frees parts, unless the store has another epoch or its clock has passed `until_ms`; returns whether it did.
    fn free(
        &self,
        address: &str,
        parts: &[PartName],
        epoch: u64,
        until_ms: Option<u64>,
    ) -> impl Future<Output = bool>;
}
