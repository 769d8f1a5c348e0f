//! The HTTP paths of all stand-ins.

/// The platform's list of instances.
pub const INSTANCES: &str = "/v1/instances";
/// Starts an attempt at an engine.
pub const COMPLETIONS: &str = "/v1/completions";
/// Cancels an attempt or a transfer.
pub const REQUEST: &str = "/v1/requests/{id}";
/// An engine's load report.
pub const LOAD: &str = "/v1/load";
/// An engine's cache events.
pub const CACHE_EVENTS: &str = "/v1/cache-events";
/// Exports KV pieces to a store.
pub const KV_EXPORT: &str = "/v1/kv/export";
/// Imports KV pieces from a store.
pub const KV_IMPORT: &str = "/v1/kv/import";
/// Orders to an engine.
pub const ORDERS: &str = "/v1/orders";
/// One generation of a block in a store.
pub const BLOCK: &str = "/v1/blocks/{name}/{generation}";
/// Seals a block.
pub const BLOCK_SEAL: &str = "/v1/blocks/{name}/{generation}/seal";
/// How full a store is.
pub const USAGE: &str = "/v1/usage";
/// The platform's list as one reader sees it.
pub const INSTANCES_FOR: &str = "/for/{reader}/v1/instances";
/// Weights of one version in the weight store.
pub const WEIGHTS: &str = "/v1/weights/{version}";
