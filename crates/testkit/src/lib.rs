//! Test support: stand-ins for upstreams and the platform, real node processes, fault injection and benchmarks.

// A test fails by panicking, and this crate is used by tests only.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod caller;
pub mod deployment;
pub mod deployment_config;
pub mod engine;
mod engine_cache;
pub mod engine_orders;
pub mod engine_run;
pub mod engine_transfer;
pub mod environment;
pub mod full_disk;
pub mod malformed_responses;
pub mod measure_checks;
pub mod measure_config;
pub mod measure_load;
pub mod measure_plain;
pub mod measure_report;
pub mod measure_run;
pub mod paths;
pub mod plain;
pub mod platform;
pub mod proxy;
mod proxy_relay;
pub mod response_server;
pub mod server;
pub mod slots;
pub mod store;
pub mod upstreams;
pub mod util;
pub mod weight_store;
