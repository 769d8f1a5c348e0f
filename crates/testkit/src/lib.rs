//! Stand-ins for upstreams and the platform, real processes in a temporary folder, and fault injection.

// Test support ends a test by panicking; it is never part of the product.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod engine;
mod engine_cache;
pub mod engine_orders;
pub mod engine_run;
pub mod engine_transfer;
pub mod environment;
pub mod paths;
pub mod plain;
pub mod platform;
pub mod proxy;
pub mod server;
pub mod slots;
pub mod store;
pub mod util;
pub mod weight_store;
