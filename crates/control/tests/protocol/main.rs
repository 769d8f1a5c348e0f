#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
//! The protocol on simulated disks and a simulated network.

mod checks;
mod disk;
mod faults;
mod first_election;
mod full_disks;
mod handover;
mod leadership;
mod log_time;
mod removed_voters;
mod silent_leaders;
mod sim;
