//! Where upstreams are listed and how they are told what to do.

use std::{collections::BTreeMap, future::Future};

use daisysill_core::{
    ids::{FencingNumber, InstanceId, WeightVersion},
    routing::RoutingSpec,
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
