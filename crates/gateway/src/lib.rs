//! The gateway: entry nodes forward callers' requests to upstreams; control nodes keep the upstreams in order.
//!
//! The names and formats of the deployment's platform are behind the traits of [`dialect`] and [`discovery`].

pub mod call;
mod caller_requests;
pub mod config;
pub mod connection;
pub mod control_node;
pub mod dialect;
pub mod discovery;
mod duration;
pub mod entry_node;
mod entry_tasks;
mod event_stream;
mod exchange;
pub mod forward;
mod http_head;
pub mod logging;
pub mod metrics;
mod node_share;
mod outcomes;
mod place;
pub mod pool;
mod prompt_parts;
pub mod refusal;
mod relay;
pub mod rollout;
pub mod routing_state;
mod stop;
mod store_keeper;
pub mod upstreams;
mod waiting;
