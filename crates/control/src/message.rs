//! Messages between replicas.

use daisysill_core::value_types;

use crate::entry::{DiskId, Entry, Position, VoterSet};

value_types! {
    /// A message with its sender's disk and term. A vote or acknowledgement counts only for that disk.
    pub(crate) struct Envelope {
        pub(crate) disk: DiskId,
        pub(crate) term: u64,
        pub(crate) message: Message,
    }

    /// The messages of the protocol. `echo_ms` is the leader's clock at sending, echoed in the reply, so that the
    /// leader knows when the peer still accepted it.
    pub(crate) enum Message {
        /// Asks whether a vote in `term` would be granted; changes no state at the receiver.
        PreVoteRequest { term: u64, last: Position },
        PreVoteReply { term: u64, granted: bool },
        VoteRequest { last: Position },
        VoteReply { granted: bool },
        /// Entries that follow `previous`, possibly none.
        Append { previous: Position, entries: Vec<Entry>, commit_index: u64, echo_ms: u64 },
        /// `match_index` is the last durable index that agrees with the leader; `None` rejects the append, and the
        /// leader goes back to `hint`.
        AppendReply { match_index: Option<u64>, hint: u64, echo_ms: u64 },
        SnapshotChunk(SnapshotChunk),
        /// Acknowledges the bytes of a snapshot received in order; 0 starts over.
        SnapshotReply { position: Position, received_bytes: u64, echo_ms: u64 },
        /// Start check of a restarted voter; `check_id` differs at each start.
        PositionRequest { check_id: u64 },
        /// The sender's last entry, and the highest position that the requesting disk acknowledged to it.
        PositionReply { check_id: u64, last: Position, acknowledged: Position },
        /// Asks a first voter for its disk when a cluster is formed.
        BootstrapProbe,
        /// `empty` tells that the sender has neither a term nor a log.
        BootstrapReply { empty: bool },
        /// The recipient's disk is not that of a voter in the voter set as of `committed`, a committed position. Sent to a
        /// replica that acts as a voter: the entry that removed it may never have reached it. Replicas of builds
        /// without this message drop it.
        NotAVoter { committed: Position },
        /// Asks whether the recipient knows a leader; `query_id` differs at each start. Replicas of builds without this
        /// message and its reply drop them.
        LeaderQuery { query_id: u64 },
        LeaderReply { query_id: u64, reply: LeaderReply },
        /// The sender is to stop, and requests of the leader to hand its vote over. Replicas of builds without this message and its
        /// reply drop them.
        LeaveRequest,
        /// Whether a member could take the vote over.
        LeaveReply { has_successor: bool },
    }

    /// What a replica reports to a started voter about the leader and itself.
    pub(crate) struct LeaderReply {
        /// Whether it leads, or has had contact with a leader within its election timeout.
        pub(crate) knows_leader: bool,
        /// Whether it could grant a vote now.
        pub(crate) may_grant: bool,
        /// Whether it has passed its start check and holds every entry that its disk acknowledged.
        pub(crate) is_complete: bool,
        /// Position of its newest voter set.
        pub(crate) voters_position: Position,
    }

    /// A range of bytes of an encoded snapshot; `checksum` is the CRC-32 of the whole.
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
