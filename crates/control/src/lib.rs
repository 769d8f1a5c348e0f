//! The replicated log of daisysill: agreed state, protocol and storage.

pub mod command;
pub mod state;
