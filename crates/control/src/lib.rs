//! The replicated log of daisysill: replicated state machine, consensus protocol and storage.
//!
//! The protocol is Raft with pre-votes, leader leases and learners. [`Replica`] performs no I/O: its caller passes in
//! messages, proposals, the time and completed writes, and carries out the outputs. [`Storage`] writes its batches.

pub mod api;
pub mod claims;
pub mod command;
pub mod crashes;
mod election;
pub mod entry;
mod first_election;
pub mod leaving;
mod log;
mod log_files;
mod membership;
mod message;
mod progress;
pub mod prompt_runs;
pub mod replica;
mod replication;
mod snapshots;
mod start_check;
pub mod state;
pub mod storage;
pub mod suspect_runs;
mod writes;

pub use api::{
    Input, Output, PeerStatus, ProposalFailure, ReplicaConfig, ReplicaStatus, Role, VoterChange, VoterRefusal,
};
pub use entry::{DiskId, Position, Recovered, VoterSet, WriteBatch};
pub use leaving::Handover;
pub use replica::Replica;
pub use storage::{Storage, StorageError};
