//! The gateway: entry nodes forward callers' requests to upstreams; control nodes list the upstreams, roll out model
//! weights and manage the stores.
//!
//! The traits of [`header_codec`] and [`discovery`] hide the names and formats of the deployment's platform.

mod attempt;
pub mod body_buffer;
mod buffered;
pub mod caller_request;
pub mod cold;
mod cold_list;
pub mod config;
pub mod connection;
mod contact;
pub mod control_node;
pub mod discovery;
mod duration;
pub mod entry_node;
mod entry_peers;
mod entry_tasks;
pub mod event_stream;
mod exchange;
pub mod forward;
pub mod header_codec;
pub mod hints;
pub mod http_head;
mod load_orders;
pub mod logging;
pub mod metrics;
mod node_share;
mod open_streams;
mod outcomes;
pub mod outdated;
mod pass_on;
mod passing;
pub mod pause;
pub mod peer_headers;
mod placement;
pub mod pool;
mod prompt_parts;
pub mod rate_limit;
pub mod refusal;
mod refusal_rules;
pub mod rejection_limit;
mod relay;
mod request_handler;
pub mod rollout;
pub mod routing_state;
pub mod service_speeds;
mod silence;
mod stop;
mod store_manager;
mod stream_origin;
pub mod unanswered;
pub mod upstreams;
mod waiting;
