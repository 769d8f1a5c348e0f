//! Write batches. One is in flight at a time; changes made meanwhile are collected for the next one (group commit).

use std::{mem, sync::Arc};

use daisysill_core::ids::InstanceId;

use crate::{
    api::Output,
    entry::{HardState, Payload, Snapshot, WriteBatch},
    message::{Envelope, Message},
    replica::{Replica, RoleState},
};

/// Number of minimum election timeouts after which a write counts as stalled.
const STALLED_ELECTION_TIMEOUTS: u64 = 4;

/// Actions to perform once a batch is durable.
#[derive(Debug, Default)]
struct AfterSync {
    messages: Vec<(InstanceId, Envelope)>,
    own_vote_term: Option<u64>,
}

/// The batch issued and not reported as written yet.
#[derive(Debug)]
struct BatchInFlight {
    id: u64,
    /// Last entry that is durable once the batch is synced.
    last_index: u64,
    has_hard_state: bool,
    issued_ms: u64,
    after_sync: AfterSync,
}

/// Changes to write, and what is durable.
#[derive(Debug)]
pub(crate) struct Writes {
    /// Whether the disk id is durable.
    pub(crate) formatted: bool,
    /// Index of the last durable entry.
    pub(crate) synced_index: u64,
    next_batch_id: u64,
    /// Index of the last entry in an issued batch.
    issued_index: u64,
    hard_state_changed: bool,
    truncate_from: Option<u64>,
    snapshot: Option<Arc<Snapshot>>,
    reset_log: bool,
    after_sync: AfterSync,
    in_flight: Option<BatchInFlight>,
}

impl Writes {
    /// Creates the state after a start. The hard state is written first: what was read may come from a write whose sync
    /// failed, so that it is not on the disk.
    pub(crate) fn new(last_index: u64, format: bool) -> Self {
        Self {
            formatted: !format,
            synced_index: last_index,
            next_batch_id: 1,
            issued_index: last_index,
            hard_state_changed: true,
            truncate_from: None,
            snapshot: None,
            reset_log: false,
            after_sync: AfterSync::default(),
            in_flight: None,
        }
    }

    pub(crate) fn hard_state_changed(&mut self) {
        self.hard_state_changed = true;
    }

    /// Returns whether the term and the vote in it are durable.
    pub(crate) fn hard_state_is_durable(&self) -> bool {
        let is_being_written = self.in_flight.as_ref().is_some_and(|batch| batch.has_hard_state);
        !self.hard_state_changed && !is_being_written
    }

    /// Returns how long the batch in flight has been written; 0 if there is none.
    fn in_flight_ms(&self, now_ms: u64) -> u64 {
        self.in_flight.as_ref().map_or(0, |batch| now_ms.saturating_sub(batch.issued_ms))
    }

    /// Records that the log was truncated from `index` onwards.
    pub(crate) fn log_truncated(&mut self, index: u64) {
        if self.issued_index >= index {
            self.truncate_from = Some(self.truncate_from.map_or(index, |earlier| earlier.min(index)));
        }
        self.issued_index = self.issued_index.min(index - 1);
        self.synced_index = self.synced_index.min(index - 1);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.last_index = in_flight.last_index.min(index - 1);
        }
    }

    /// Records a snapshot that this replica has taken.
    pub(crate) fn snapshot_taken(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = Some(snapshot);
    }

    /// Records a snapshot from the leader, which replaces the log.
    pub(crate) fn snapshot_installed(&mut self, snapshot: Arc<Snapshot>) {
        self.issued_index = snapshot.position.index;
        self.synced_index = 0;
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.last_index = 0;
        }
        self.truncate_from = None;
        self.reset_log = true;
        self.snapshot = Some(snapshot);
    }

    pub(crate) fn snapshot_pending(&self) -> bool {
        self.snapshot.is_some()
    }
}

impl Replica {
    /// Sends a message once all changes so far are durable.
    pub(crate) fn send_after_sync(&mut self, to: &InstanceId, message: Message) {
        let envelope = Envelope { disk: self.disk, term: self.term, message };
        self.writes.after_sync.messages.push((to.clone(), envelope));
    }

    /// Counts this replica's vote for itself once it is durable.
    pub(crate) fn vote_for_self_after_sync(&mut self) {
        self.writes.after_sync.own_vote_term = Some(self.term);
    }

    /// Issues a batch with all changes not issued yet, unless one is in flight.
    pub(crate) fn issue_write(&mut self) {
        let last_index = self.log.last().index;
        let writes = &mut self.writes;
        let has_changes = writes.hard_state_changed
            || writes.truncate_from.is_some()
            || writes.snapshot.is_some()
            || writes.issued_index < last_index;
        let has_actions = !writes.after_sync.messages.is_empty() || writes.after_sync.own_vote_term.is_some();
        if writes.in_flight.is_some() || !(has_changes || has_actions) {
            return;
        }
        let hard_state = HardState { disk: self.disk, term: self.term, voted_for: self.voted_for.clone() };
        let batch = WriteBatch {
            id: writes.next_batch_id,
            hard_state: mem::take(&mut writes.hard_state_changed).then_some(hard_state),
            snapshot: writes.snapshot.take(),
            reset_log: mem::take(&mut writes.reset_log),
            truncate_from: writes.truncate_from.take(),
            entries: self.log.entries_after(writes.issued_index).cloned().collect(),
            commit_index: self.commit_index,
            first_index: self.log.first_index(),
        };
        writes.in_flight = Some(BatchInFlight {
            id: batch.id,
            last_index,
            has_hard_state: batch.hard_state.is_some(),
            issued_ms: self.now_ms,
            after_sync: mem::take(&mut writes.after_sync),
        });
        writes.next_batch_id += 1;
        writes.issued_index = last_index;
        self.outputs.push(Output::Write(batch));
    }

    /// Returns whether the disk may hang: the batch in flight has been written for longer than an election takes.
    pub(crate) fn write_is_stalled(&self) -> bool {
        self.writes.in_flight_ms(self.now_ms) >= STALLED_ELECTION_TIMEOUTS * self.config.election_timeout_ms
    }

    pub(crate) fn batch_synced(&mut self, batch_id: u64) {
        let Some(in_flight) = self.writes.in_flight.take_if(|batch| batch.id == batch_id) else { return };
        self.writes.formatted = true;
        let before = self.writes.synced_index;
        self.writes.synced_index = before.max(in_flight.last_index);
        for (to, envelope) in &in_flight.after_sync.messages {
            self.send_envelope(to, envelope);
        }
        if in_flight.after_sync.own_vote_term == Some(self.term) {
            self.count_vote(self.config.name.clone(), self.disk);
        }
        if self.writes.synced_index > before {
            self.acknowledge();
        }
    }

    /// Halts: the contents of the disk are unknown, so nothing may be acknowledged any more.
    pub(crate) fn batch_failed(&mut self, batch_id: u64) {
        if self.writes.in_flight.as_ref().is_none_or(|batch| batch.id != batch_id) {
            return;
        }
        self.end_leadership();
        self.role_state = RoleState::Halted;
        self.leader = None;
    }

    /// Applies the entries that are committed and durable here.
    pub(crate) fn apply_committed(&mut self) {
        let target = self.commit_index.min(self.writes.synced_index);
        while self.state.applied_index < target {
            let index = self.state.applied_index + 1;
            let Some(entry) = self.log.get(index).cloned() else { return };
            let reply = match &entry.payload {
                Payload::Command(command) => self.state.apply(index, entry.time_ms, command),
                Payload::Voters(_) => self.state.apply(index, entry.time_ms, &crate::command::Command::Noop),
            };
            self.complete_proposal(index, reply);
        }
        self.report_config();
        self.step_down_if_removed();
    }

    /// Reports the configuration if it is newer than the last one reported, and durable here.
    pub(crate) fn report_config(&mut self) {
        let version = self.state.config.version;
        let durable = self.state.applied_index <= self.writes.synced_index;
        if durable && version > self.reported_version {
            self.reported_version = version;
            self.outputs.push(Output::ConfigChanged(Arc::clone(&self.state.config)));
        }
    }
}
