//! Snapshots of the agreed state: creation, transfer in chunks and installation.

use std::sync::Arc;

use daisysill_core::ids::InstanceId;

use crate::{
    entry::{DiskId, Position, Snapshot},
    log::Log,
    message::{Message, SnapshotChunk},
    replica::{Replica, RoleState},
    state::AgreedState,
};

/// Maximum entries retained before a snapshot that was taken because of their size.
const RETAINED_IF_LARGE: u64 = 8;

/// Transfer of a snapshot to a peer.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    pub(crate) snapshot: Arc<Snapshot>,
    checksum: u32,
    offset: u64,
}

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    term: u64,
    position: Position,
    checksum: u32,
    data: Vec<u8>,
}

impl Replica {
    /// Takes a snapshot if enough entries were applied since the last one or the entries in memory are too large, and
    /// drops old entries. Not while the previous snapshot waits to be written.
    pub(crate) fn take_snapshot_if_due(&mut self) {
        let applied_index = self.state.applied_index;
        let previous = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        let by_bytes = self.log.bytes() > self.config.snapshot_bytes && applied_index > previous;
        let due = by_bytes || applied_index >= previous + self.config.snapshot_entries;
        if !due || self.writes.snapshot_pending() {
            return;
        }
        let Some(term) = self.log.term_at(applied_index) else { return };
        let Ok(state) = postcard::to_stdvec(&self.state) else { return };
        let in_log = self.log.latest_voters(applied_index).map(|(_, voters)| voters.clone());
        let voters = in_log.or_else(|| self.snapshot.as_ref().map(|snapshot| snapshot.voters.clone()));
        let position = Position { term, index: applied_index };
        let snapshot = Arc::new(Snapshot { position, voters: voters.unwrap_or_default(), state });
        self.snapshot = Some(Arc::clone(&snapshot));
        self.writes.snapshot_taken(snapshot);
        let retained = if by_bytes { RETAINED_IF_LARGE } else { u64::MAX }.min(self.config.retained_entries);
        self.log.drop_before((applied_index + 1).saturating_sub(retained));
    }

    pub(crate) fn start_snapshot(&mut self, peer: &InstanceId) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        let checksum = crc32fast::hash(&snapshot.state);
        let RoleState::Leader(leadership) = &mut self.role_state else { return };
        if let Some(progress) = leadership.peers.get_mut(peer) {
            progress.outgoing = Some(OutgoingSnapshot { snapshot, checksum, offset: 0 });
        }
        self.send_chunk(peer);
    }

    /// Sends the chunk at the offset that the peer has acknowledged.
    pub(crate) fn send_chunk(&mut self, peer: &InstanceId) {
        let RoleState::Leader(leadership) = &self.role_state else { return };
        let Some(outgoing) = leadership.peers.get(peer).and_then(|progress| progress.outgoing.as_ref())
        else {
            return;
        };
        let state = &outgoing.snapshot.state;
        let start = usize::try_from(outgoing.offset).unwrap_or(usize::MAX).min(state.len());
        let end = start.saturating_add(self.config.message_bytes).min(state.len());
        let chunk = SnapshotChunk {
            position: outgoing.snapshot.position,
            voters: outgoing.snapshot.voters.clone(),
            total_bytes: state.len() as u64,
            checksum: outgoing.checksum,
            offset: start as u64,
            data: state[start..end].to_vec(),
            echo_ms: self.now_ms,
        };
        self.send(peer, Message::SnapshotChunk(chunk));
    }

    pub(crate) fn on_chunk(&mut self, from: &InstanceId, term: u64, chunk: SnapshotChunk) {
        if !self.accept_leader(from, term) {
            return;
        }
        let SnapshotChunk { position, voters, total_bytes, checksum, offset, data, echo_ms } = chunk;
        // A late chunk must not replace a log that holds the position: entries after it may be acknowledged.
        if position.index <= self.commit_index || self.log.term_at(position.index) == Some(position.term) {
            self.verified_index = self.verified_index.max(position.index);
            self.commit_index = self.commit_index.max(position.index);
            return self.acknowledge();
        }
        let incoming = self.incoming.take().filter(|incoming| {
            incoming.term == term && incoming.position == position && incoming.checksum == checksum
        });
        let mut incoming =
            incoming.unwrap_or(IncomingSnapshot { term, position, checksum, data: Vec::new() });
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&data);
        }
        let received_bytes = incoming.data.len() as u64;
        if received_bytes < total_bytes {
            self.incoming = Some(incoming);
            return self.send(from, Message::SnapshotReply { position, received_bytes, echo_ms });
        }
        let valid = crc32fast::hash(&incoming.data) == checksum;
        let state = AgreedState::decode(&incoming.data).ok().filter(|_| valid);
        let Some(state) = state else {
            return self.send(from, Message::SnapshotReply { position, received_bytes: 0, echo_ms });
        };
        self.install(Arc::new(Snapshot { position, voters, state: incoming.data }), state);
    }

    /// Replaces the log and the state with a snapshot from the leader.
    fn install(&mut self, snapshot: Arc<Snapshot>, state: AgreedState) {
        let position = snapshot.position;
        self.log = Log::new(position, Vec::new());
        self.commit_index = position.index;
        self.verified_index = self.verified_index.max(position.index);
        self.state = state;
        self.snapshot = Some(Arc::clone(&snapshot));
        self.writes.snapshot_installed(snapshot);
        self.reload_voters();
        self.report_config();
    }

    pub(crate) fn on_chunk_reply(
        &mut self,
        from: &InstanceId,
        disk: DiskId,
        term: u64,
        position: Position,
        received_bytes: u64,
        echo_ms: u64,
    ) {
        if term > self.term {
            return self.enter_term(term);
        }
        let RoleState::Leader(leadership) = &mut self.role_state else { return };
        let Some(progress) = leadership.peers.get_mut(from).filter(|_| term == self.term) else { return };
        let Some(outgoing) = progress.outgoing.as_mut() else { return };
        if outgoing.snapshot.position != position
            || (received_bytes != 0 && received_bytes <= outgoing.offset)
        {
            return;
        }
        outgoing.offset = received_bytes;
        progress.record_contact(disk, echo_ms);
        self.send_chunk(from);
    }
}
