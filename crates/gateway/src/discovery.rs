//! Where upstreams are listed and how they are told what to do.

use std::{
    collections::{BTreeMap, HashMap},
    future::Future,
};

use daisysill_core::{
    ids::{FencingNumber, InstanceId, WeightVersion},
    routing::RoutingSpec,
    store_catalog::PartName,
};
use daisysill_wire::peer::UpstreamEntry;

/// The platform's list of upstreams.
pub trait Discovery: Clone + 'static {
    /// Reads the whole list. Entries that cannot be read are left out.
    ///
    /// # Errors
    /// Returns why the list could not be read whole.
    fn list(&self) -> impl Future<Output = Result<Vec<UpstreamEntry>, String>>;
}

/// The format of routing documents.
pub trait DocumentFormat: Send + Sync + 'static {
    /// Reads a document.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    fn decode(&self, body: &[u8]) -> Result<RoutingSpec, String>;
}

/// An order to load weights.
#[derive(Clone, Debug)]
pub struct LoadOrder {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: WeightVersion,
    /// Who gives the order.
    pub holder: InstanceId,
    /// The number of the holder's lease.
    pub fencing: FencingNumber,
}

/// How an upstream answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    InPlace,
    /// Another order is in progress.
    Busy,
    /// It was refused for good.
    Refused,
    /// No answer; it may be carried out later.
    Unknown,
}

/// Gives orders to upstreams and asks them what they hold.
pub trait OrderSender: Clone + 'static {
    /// Asks an engine for its weight versions by model; `None` if it does not answer, or not itself.
    fn versions(
        &self,
        upstream: &UpstreamEntry,
    ) -> impl Future<Output = Option<BTreeMap<String, WeightVersion>>>;

    /// Orders an upstream to load weights.
    fn load(&self, upstream: &UpstreamEntry, order: &LoadOrder) -> impl Future<Output = OrderOutcome>;
}

/// What has changed in a store.
#[derive(Clone, Debug)]
pub struct StoreEvents {
    /// Changes when the store starts empty.
    pub epoch: u64,
    /// Where the next question starts.
    pub next: u64,
    /// Whether events are missing.
    pub has_gap: bool,
    /// Parts with their length in tokens; `None` if a part is gone.
    pub events: Vec<(PartName, Option<u64>)>,
    /// The clock of upstreams and stores in ms.
    pub clock_ms: Option<u64>,
}

/// Everything that lies in a store.
#[derive(Clone, Debug)]
pub struct StoreList {
    /// Changes when the store starts empty.
    pub epoch: u64,
    /// Where the next question for events starts.
    pub next: u64,
    /// Parts that are whole, with their length in tokens.
    pub whole: HashMap<PartName, u64>,
    /// Parts that are being written or whose writing broke off.
    pub partial: Vec<PartName>,
}

/// Talks to stores.
pub trait StoreClient: Clone + 'static {
    /// Asks what has changed since `since`; the store answers after a while if nothing has.
    fn events(&self, address: &str, since: u64) -> impl Future<Output = Option<StoreEvents>>;
    /// Asks for everything.
    fn list(&self, address: &str) -> impl Future<Output = Option<StoreList>>;
    /// Frees parts unless the store has another epoch or its clock has passed `until_ms`.
    fn free(
        &self,
        address: &str,
        parts: &[PartName],
        epoch: u64,
        until_ms: Option<u64>,
    ) -> impl Future<Output = bool>;
}
