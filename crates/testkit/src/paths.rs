//! HTTP paths that the stand-ins serve.

/// The platform's list of instances (GET).
pub const INSTANCES: &str = "/v1/instances";
/// Runs an attempt on an engine and streams its tokens (POST).
pub const COMPLETIONS: &str = "/v1/completions";
/// Cancels an attempt or a transfer by its id (DELETE).
pub const REQUEST: &str = "/v1/requests/{id}";
/// An engine's load report (GET).
pub const LOAD: &str = "/v1/load";
/// An engine's cache events after a sequence number (GET).
pub const CACHE_EVENTS: &str = "/v1/cache-events";
/// Exports KV pieces from an engine to a store (POST).
pub const KV_EXPORT: &str = "/v1/kv/export";
/// Imports KV pieces from a store into an engine (POST).
pub const KV_IMPORT: &str = "/v1/kv/import";
/// Gives an engine an order, such as to load weights (POST).
pub const ORDERS: &str = "/v1/orders";
/// One generation of a block in a store (PUT, GET, DELETE).
pub const BLOCK: &str = "/v1/blocks/{name}/{generation}";
/// Seals a block that was written, after which it can be read (POST).
pub const BLOCK_SEAL: &str = "/v1/blocks/{name}/{generation}/seal";
/// Used bytes and limits of a store (GET).
pub const USAGE: &str = "/v1/usage";
/// The platform's list with the URLs that one reader is given (GET).
pub const INSTANCES_FOR: &str = "/for/{reader}/v1/instances";
/// Loads one weight version from the weight store (GET).
pub const WEIGHTS: &str = "/v1/weights/{version}";
