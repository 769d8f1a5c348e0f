//! Stand-ins for upstreams and the platform, real processes in a temporary folder, and fault injection.

// Test support ends a test by panicking; it is never part of the product.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod engine;
pub mod environment;
pub mod paths;
pub mod plain;
pub mod platform;
pub mod server;
