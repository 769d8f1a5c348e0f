//! The promises P1 to P9 of `docs/design.md`, checked with several real nodes under injected faults.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod at_most_once;
mod blocks;
mod claim_soak;
mod crashes;
mod durable_state;
mod orders;
mod rules_in_force;
mod stops;
mod support;
