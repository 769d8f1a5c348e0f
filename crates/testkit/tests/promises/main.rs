//! The promises of the design page, checked with several real nodes while faults occur.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod at_most_once;
mod blocks;
mod crashes;
mod durable_state;
mod orders;
mod rules_in_force;
mod stops;
mod support;
