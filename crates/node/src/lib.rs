//! The daisysilld process as a library, so that examples can run it in their own process.

pub mod admin_api;
pub mod agreement;
pub mod app;
pub mod auth;
pub mod caller_api;
pub mod claim;
pub mod claimed_calls;
pub mod config;
pub mod connection;
pub mod dispatch;
pub mod engine_client;
pub mod exit_code;
pub mod explain;
pub mod http;
pub mod metrics;
pub mod openai;
pub mod options;
pub mod plain_call;
pub mod plain_client;
pub mod platform_client;
pub mod refusal;
pub mod request;
pub mod shared;
pub mod sse;
pub mod upstream_edge;
pub mod upstreams;
