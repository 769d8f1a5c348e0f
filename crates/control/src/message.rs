//! Messages between replicas.

use daisysill_core::value_types;

use crate::entry::{DiskId, Entry, Position, VoterSet};

value_types! {
    /// A message with the disk of its sender, so that a vote or acknowledgement counts for that disk only.
    pub(crate) struct Envelope {
        pub(crate) disk: DiskId,
        pub(crate) term: u64,
        pub(crate) message: Message,
    }

    /// The messages of the protocol. `echo_ms` is the sender's clock and comes back in the reply.
    pub(crate) enum Message {
        /// Asks whether a vote in `term` would be granted; changes nothing at the receiver.
        PreVoteRequest { term: u64, last: Position },
        PreVoteReply { term: u64, granted: bool },
        VoteRequest { last: Position },
        VoteReply { granted: bool },
        Append { previous: Position, entries: Vec<Entry>, commit_index: u64, echo_ms: u64 },
        AppendReply { match_index: Option<u64>, hint: u64, echo_ms: u64 },
        SnapshotChunk(SnapshotChunk),
        /// Tells how many bytes of the snapshot have arrived in order.
        SnapshotReply { position: Position, received_bytes: u64, echo_ms: u64 },
        /// Sent by a voter that has started.
        PositionRequest { check_id: u64 },
        /// The sender's last entry, and what it remembers that the asking disk acknowledged.
        PositionReply { check_id: u64, last: Position, acknowledged: Position },
        BootstrapProbe,
        BootstrapReply { empty: bool },
    }

    /// A part of a snapshot.
    pub(crate) struct SnapshotChunk {
        pub(crate) position: Position,
        pub(crate) voters: VoterSet,
        pub(crate) total_bytes: u64,
        pub(crate) checksum: u32,
        pub(crate) offset: u64,
        pub(crate) data: Vec<u8>,
        pub(crate) echo_ms: u64,
    }
}
