//! A leader's replication progress and flow control for each peer.

use daisysill_core::ids::InstanceId;

use crate::{
    entry::{DiskId, Entry, Position},
    message::Message,
    replica::{Replica, RoleState},
    snapshots::OutgoingSnapshot,
};

/// Maximum unacknowledged appends to a peer.
const MAX_INFLIGHT_APPENDS: u32 = 8;

/// Replication progress of a peer.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Disk that the peer reported last; `None` before its first reply.
    pub(crate) disk: Option<DiskId>,
    /// Last index that the peer's disk has acknowledged as synced.
    pub(crate) match_index: u64,
    /// Next index to send.
    pub(crate) next_index: u64,
    /// Time at which the leader sent the newest message that the peer has replied to.
    pub(crate) contact_ms: u64,
    /// Until then the peer counts as one that is to stop; 0 if it never requested to leave.
    pub(crate) leaving_until_ms: u64,
    in_flight: u32,
    /// Whether the peer's position is unknown; then one append is sent at a time.
    probing: bool,
    replied_since_heartbeat: bool,
    pub(crate) outgoing: Option<OutgoingSnapshot>,
}

impl Progress {
    pub(crate) fn new(next_index: u64, now_ms: u64) -> Self {
        Self {
            disk: None,
            match_index: 0,
            next_index,
            contact_ms: now_ms,
            leaving_until_ms: 0,
            in_flight: 0,
            probing: true,
            replied_since_heartbeat: true,
            outgoing: None,
        }
    }

    pub(crate) fn record_contact(&mut self, disk: DiskId, echo_ms: u64) {
        if self.disk != Some(disk) {
            // Acknowledgements of another disk do not count.
            self.match_index = 0;
        }
        self.disk = Some(disk);
        self.contact_ms = self.contact_ms.max(echo_ms);
        self.replied_since_heartbeat = true;
    }

    pub(crate) fn record_match(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(match_index + 1);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.probing = false;
        self.outgoing.take_if(|outgoing| outgoing.snapshot.position.index <= match_index);
    }

    pub(crate) fn record_mismatch(&mut self, hint: u64) {
        self.next_index = self.next_index.min(hint + 1).max(1);
        self.in_flight = 0;
        self.probing = true;
    }

    /// Opens the window for the next heartbeat interval. Without any reply since the last one, messages may have been
    /// lost, so sending resumes from the acknowledged position.
    fn reset_window(&mut self) {
        if self.in_flight > 0 && !self.replied_since_heartbeat {
            self.next_index = self.next_index.min(self.match_index + 1);
            self.probing = true;
        }
        self.in_flight = 0;
        self.replied_since_heartbeat = false;
    }

    fn window(&self) -> u32 {
        if self.probing { 1 } else { MAX_INFLIGHT_APPENDS }
    }
}

impl Replica {
    fn progress(&mut self, peer: &InstanceId) -> Option<&mut Progress> {
        match &mut self.role_state {
            RoleState::Leader(leadership) => leadership.peers.get_mut(peer),
            _ => None,
        }
    }

    /// Resets a peer's acknowledged position: it has restarted and its disk may be older.
    pub(crate) fn reset_match(&mut self, peer: &InstanceId) {
        if let Some(progress) = self.progress(peer) {
            progress.match_index = 0;
            progress.probing = true;
        }
    }

    pub(crate) fn heartbeat(&mut self, peer: &InstanceId) {
        let Some(progress) = self.progress(peer) else { return };
        progress.reset_window();
        if progress.outgoing.is_some() {
            return self.send_chunk(peer);
        }
        self.send_append(peer, true);
    }

    /// Sends each peer its missing entries, as far as its window allows.
    pub(crate) fn replicate(&mut self) {
        let RoleState::Leader(leadership) = &self.role_state else { return };
        let peers: Vec<_> = leadership.peers.keys().cloned().collect();
        for peer in peers {
            while self.send_append(&peer, false) {}
        }
    }

    /// Sends the new commit index at once to the peers that have been sent all entries.
    pub(crate) fn send_commit_index(&mut self) {
        let last_index = self.log.last().index;
        let RoleState::Leader(leadership) = &self.role_state else { return };
        let idle = leadership.peers.iter().filter(|(_, progress)| progress.next_index > last_index);
        let idle: Vec<_> = idle.map(|(peer, _)| peer.clone()).collect();
        for peer in idle {
            self.send_append(&peer, true);
        }
    }

    /// Sends one append, or starts a snapshot if the peer is behind the log. With `allow_empty`, an append is sent
    /// even if there are no entries or the window is full. Returns whether entries were sent.
    fn send_append(&mut self, peer: &InstanceId, allow_empty: bool) -> bool {
        let last_index = self.log.last().index;
        let now_ms = self.now_ms;
        let message_bytes = self.config.message_bytes;
        let Some(progress) = self.progress(peer) else { return false };
        let has_capacity = progress.outgoing.is_none() && progress.in_flight < progress.window();
        if !allow_empty && (!has_capacity || progress.next_index > last_index) {
            return false;
        }
        let previous_index = progress.next_index - 1;
        let Some(term) = self.log.term_at(previous_index) else {
            self.start_snapshot(peer);
            return false;
        };
        let mut entries: Vec<Entry> = Vec::new();
        let mut bytes = 0;
        for entry in self.log.entries_after(previous_index).take_while(|_| has_capacity) {
            bytes += entry.approx_bytes();
            if !entries.is_empty() && bytes > message_bytes {
                break;
            }
            entries.push(Entry::clone(entry));
        }
        let sent = entries.len() as u64;
        let previous = Position { term, index: previous_index };
        let commit_index = self.commit_index;
        let Some(progress) = self.progress(peer) else { return false };
        progress.next_index += sent;
        progress.in_flight += u32::from(sent > 0);
        self.send(peer, Message::Append { previous, entries, commit_index, echo_ms: now_ms });
        sent > 0
    }
}
