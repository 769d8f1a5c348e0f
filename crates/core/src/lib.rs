//! Decisions of daisysill as pure functions.
//!
//! Nothing in this crate performs I/O, reads a clock or draws a random number: time and randomness are arguments.
//! Every decision carries its reason.

#[macro_use]
mod macros;

pub mod admission;
mod backlog;
pub mod block;
pub mod block_lifecycle;
pub mod call_backoff;
mod candidates;
pub mod chart;
pub mod cold_start;
mod concurrency;
pub mod config_wait;
pub mod field_value;
mod fill;
mod link_queue;
mod num;
mod piece_index;
mod prefix;
mod return_history;
mod scan;
mod view_instance;
mod view_row;

pub mod carried_requests;
pub mod connection_table;
pub mod crashing_parts;
pub mod crashing_requests;
pub mod evacuation;
pub mod event_tracker;
pub mod fetch_backoff;
pub mod ids;
pub mod ini_check;
pub mod kv_memory_share;
pub mod link;
pub mod link_booking;
pub mod liveness;
pub mod memory_budget;
pub mod memory_mark;
pub mod message_framing;
pub mod origin_log;
pub mod overload;
pub mod place_queue;
pub mod place_use;
pub mod placement;
pub mod poll_source;
pub mod rate_permits;
pub mod rate_share;
pub mod reconnect_backoff;
pub mod regions;
pub mod rejection_guard;
pub mod request_cost;
pub mod result_code;
pub mod retention;
pub mod retry;
pub mod retry_budget;
pub mod rollout;
pub mod route;
pub mod routing;
pub mod rules;
pub mod slot_share;
pub mod software_history;
pub mod store_catalog;
pub mod stream_origins;
pub mod suspect;
pub mod upstream_contact;
pub mod upstream_speed;
pub mod view;
pub mod voters;
pub mod wait_queue;
pub mod weight_loading;
pub mod zone_reachability;
