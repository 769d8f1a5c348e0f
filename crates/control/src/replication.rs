//! Replication: proposals, appends, acknowledgements and the commit index.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use daisysill_core::ids::InstanceId;

use crate::{
    api::{Output, PeerStatus, ProposalFailure},
    command::{Command, Reply},
    entry::{DiskId, Entry, Payload, Position},
    message::Message,
    progress::Progress,
    replica::{Replica, RoleState},
};

/// Maximum uncommitted entries; further proposals are queued.
const MAX_UNCOMMITTED: u64 = 4_096;
/// Maximum queued proposals; further ones fail.
const MAX_QUEUED_PROPOSALS: usize = 16_384;
/// Interval of no-op entries while the state needs log time to advance; only entries advance it.
const LOG_TIME_STEP_MS: u64 = 1_000;

/// State of a leader in its term.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) peers: BTreeMap<InstanceId, Progress>,
    /// Ids of appended proposals without a reply, by index.
    appended: BTreeMap<u64, u64>,
    /// Proposals not appended yet, with their ids.
    queued: VecDeque<(u64, Command)>,
    pub(crate) heartbeat_due_ms: u64,
    /// Index of the first entry that the leader appended in its term.
    term_start_index: u64,
    started_ms: u64,
    /// Log time at `started_ms`.
    start_log_time_ms: u64,
}

impl Replica {
    pub(crate) fn become_leader(&mut self) {
        let start_log_time_ms = self.log.last_time_ms().max(self.state.now_ms);
        self.role_state = RoleState::Leader(Box::new(Leadership {
            peers: BTreeMap::new(),
            appended: BTreeMap::new(),
            queued: VecDeque::new(),
            heartbeat_due_ms: self.now_ms,
            term_start_index: self.log.last().index + 1,
            started_ms: self.now_ms,
            start_log_time_ms,
        }));
        self.leader = Some(self.config.name.clone());
        self.first_election.record_leader();
        self.refresh_peers();
        self.append(Payload::Command(Command::Noop));
        self.tick_leader();
    }

    /// Fails all proposals without a reply and discards the leadership.
    pub(crate) fn end_leadership(&mut self) {
        let RoleState::Leader(leadership) = std::mem::replace(&mut self.role_state, RoleState::Follower)
        else {
            return;
        };
        self.leader = None;
        for proposal_id in leadership.appended.into_values() {
            self.fail_proposal(proposal_id, ProposalFailure::Uncertain);
        }
        for (proposal_id, _) in leadership.queued {
            self.fail_proposal(proposal_id, ProposalFailure::NotAppended);
        }
    }

    /// Keeps one progress record for each member of the voter set.
    pub(crate) fn refresh_peers(&mut self) {
        let RoleState::Leader(leadership) = &mut self.role_state else { return };
        let (voters, name, now_ms) = (&self.voters, &self.config.name, self.now_ms);
        leadership.peers.retain(|peer, _| voters.members().any(|member| member == peer));
        for member in voters.members().filter(|member| *member != name) {
            let next = self.log.last().index + 1;
            leadership.peers.entry(member.clone()).or_insert_with(|| Progress::new(next, now_ms));
        }
    }

    pub(crate) fn propose(&mut self, proposal_id: u64, command: Command) {
        let RoleState::Leader(leadership) = &mut self.role_state else {
            return self.fail_proposal(proposal_id, ProposalFailure::NotLeader(self.leader.clone()));
        };
        if leadership.queued.len() >= MAX_QUEUED_PROPOSALS {
            return self.fail_proposal(proposal_id, ProposalFailure::NotAppended);
        }
        leadership.queued.push_back((proposal_id, command));
        self.append_queued();
    }

    fn append_queued(&mut self) {
        while self.log.last().index < self.commit_index + MAX_UNCOMMITTED {
            let RoleState::Leader(leadership) = &mut self.role_state else { return };
            let Some((proposal_id, command)) = leadership.queued.pop_front() else { return };
            let index = self.append(Payload::Command(command));
            self.track_proposal(index, proposal_id);
        }
    }

    /// Records that the entry at `index` belongs to a proposal.
    pub(crate) fn track_proposal(&mut self, index: u64, proposal_id: u64) {
        if let RoleState::Leader(leadership) = &mut self.role_state {
            leadership.appended.insert(index, proposal_id);
        }
    }

    /// Replies to the proposal of the entry at `index`, if it was made to this leader.
    pub(crate) fn complete_proposal(&mut self, index: u64, reply: Reply) {
        let RoleState::Leader(leadership) = &mut self.role_state else { return };
        if let Some(proposal_id) = leadership.appended.remove(&index) {
            self.outputs.push(Output::Reply { proposal_id, result: Ok(reply) });
        }
    }

    /// Appends an entry in the leader's term and returns its index.
    pub(crate) fn append(&mut self, payload: Payload) -> u64 {
        let position = Position { term: self.term, index: self.log.last().index + 1 };
        let time_ms = self.log_time_ms();
        let sets_voters = matches!(payload, Payload::Voters(_));
        self.log.push(Arc::new(Entry { position, time_ms, payload }));
        if sets_voters {
            self.reload_voters();
            self.refresh_peers();
        }
        position.index
    }

    /// Returns the present log time: the last one before this term plus the time since.
    fn log_time_ms(&self) -> u64 {
        match &self.role_state {
            RoleState::Leader(leadership) => {
                leadership.start_log_time_ms + (self.now_ms - leadership.started_ms)
            }
            _ => 0,
        }
    }

    /// Appends a no-op entry if the state needs log time to advance. Only while all others are committed, so that a
    /// leader without a majority does not fill its log.
    fn advance_log_time(&mut self) {
        let last_ms = self.log.last_time_ms().max(self.state.now_ms);
        let time_ms = self.log_time_ms();
        let all_committed = self.log.last().index == self.commit_index;
        let is_step_over = time_ms >= last_ms + LOG_TIME_STEP_MS;
        // The entry that makes a change due is appended at once: a recent one must not delay it by a step.
        let makes_change_due = self.state.changes_between(last_ms, time_ms);
        if all_committed && (makes_change_due || is_step_over && self.state.needs_log_time(time_ms)) {
            self.append(Payload::Command(Command::Noop));
        }
    }

    /// Sends the heartbeats that are due. Steps down after twice the minimum election timeout without a majority, and if the
    /// others commit entries that its own stalled write keeps it from applying.
    pub(crate) fn tick_leader(&mut self) {
        let quorum_ms = self.quorum_contact_ms();
        let limit_ms = 2 * self.config.election_timeout_ms;
        let RoleState::Leader(leadership) = &mut self.role_state else { return };
        if self.now_ms > quorum_ms.max(leadership.started_ms) + limit_ms {
            return self.become_follower();
        }
        if self.commit_index > self.writes.synced_index && self.write_is_stalled() {
            return self.become_follower();
        }
        let RoleState::Leader(leadership) = &mut self.role_state else { return };
        if self.now_ms < leadership.heartbeat_due_ms {
            return;
        }
        leadership.heartbeat_due_ms = self.now_ms + self.config.heartbeat_ms;
        self.advance_log_time();
        let RoleState::Leader(leadership) = &self.role_state else { return };
        let peers: Vec<_> = leadership.peers.keys().cloned().collect();
        for peer in peers {
            self.heartbeat(&peer);
        }
    }

    /// Returns the latest time at which a majority is known to have accepted this leader.
    fn quorum_contact_ms(&self) -> u64 {
        self.majority_value(self.now_ms, |progress| progress.contact_ms)
    }

    /// Returns the highest value that a majority of the voters has reached; `own` is this replica's.
    fn majority_value(&self, own: u64, of_peer: impl Fn(&Progress) -> u64) -> u64 {
        let RoleState::Leader(leadership) = &self.role_state else { return 0 };
        let value = |(name, disk): (&InstanceId, &DiskId)| {
            if *name == self.config.name {
                return if *disk == self.disk { own } else { 0 };
            }
            let progress = leadership.peers.get(name).filter(|progress| progress.disk == Some(*disk));
            progress.map_or(0, &of_peer)
        };
        let mut values: Vec<u64> = self.voters.voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.voters.majority() - 1).copied().unwrap_or(0)
    }

    /// Returns the end of the leader lease: until then no other replica can be elected. `None` unless this replica
    /// leads and has applied all entries of earlier terms.
    pub(crate) fn leader_until_ms(&self) -> Option<u64> {
        let RoleState::Leader(leadership) = &self.role_state else { return None };
        if self.state.applied_index < leadership.term_start_index {
            return None;
        }
        // A tenth is left for clocks that run at different rates.
        Some(self.quorum_contact_ms() + self.config.election_timeout_ms * 9 / 10)
    }

    pub(crate) fn advance_commit(&mut self) {
        if !matches!(self.role_state, RoleState::Leader(_)) {
            return;
        }
        let index = self.majority_value(self.writes.synced_index, |progress| progress.match_index);
        if index > self.commit_index && self.log.term_at(index) == Some(self.term) {
            self.commit_index = index;
            self.send_commit_index();
        }
        self.append_queued();
    }

    /// Returns the status of the other members; empty unless this replica leads.
    pub(crate) fn peer_status(&self) -> Vec<PeerStatus> {
        let RoleState::Leader(leadership) = &self.role_state else { return Vec::new() };
        let status = |(name, progress): (&InstanceId, &Progress)| PeerStatus {
            name: name.clone(),
            silent_ms: self.now_ms.saturating_sub(progress.contact_ms),
            disk_mismatch: matches!(
                (self.voters.voters.get(name), progress.disk),
                (Some(admitted), Some(reported)) if *admitted != reported
            ),
            caught_up: progress.match_index >= self.commit_index,
            leaving: self.now_ms < progress.leaving_until_ms,
        };
        leadership.peers.iter().map(status).collect()
    }

    /// Returns whether this leader has committed an entry of its term; before, it must not change the voter set.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        match &self.role_state {
            RoleState::Leader(leadership) => self.commit_index >= leadership.term_start_index,
            _ => false,
        }
    }

    /// Steps down once the removal of this replica is committed.
    pub(crate) fn step_down_if_removed(&mut self) {
        let removed = !self.voters.has_voter(&self.config.name, self.disk)
            && self.voters_position.index <= self.commit_index;
        if removed && matches!(self.role_state, RoleState::Leader(_)) {
            self.become_follower();
        }
    }

    /// Handles the sender and term of a message that only a leader sends. Returns whether to process the message: not
    /// if its term is over, or before the start check has passed.
    pub(crate) fn accept_leader(&mut self, from: &InstanceId, term: u64) -> bool {
        if term < self.term || matches!(self.role_state, RoleState::Leader(_)) && term == self.term {
            // The reply carries the newer term, so that the sender steps down.
            self.send(from, Message::AppendReply { match_index: None, hint: 0, echo_ms: 0 });
            return false;
        }
        self.enter_term(term);
        self.role_state = RoleState::Follower;
        self.leader = Some(from.clone());
        self.leader_contact_ms = self.now_ms;
        self.first_election.record_leader();
        self.bootstrap = None;
        self.reset_election_timer();
        self.start_check.passed
    }

    pub(crate) fn on_append(
        &mut self,
        from: &InstanceId,
        term: u64,
        previous: Position,
        entries: Vec<Entry>,
        commit_index: u64,
        echo_ms: u64,
    ) {
        if !self.accept_leader(from, term) {
            return;
        }
        let last_index = previous.index + entries.len() as u64;
        if !self.log_matches(previous) {
            let hint = self.log.last().index.min(previous.index.saturating_sub(1));
            return self.send(from, Message::AppendReply { match_index: None, hint, echo_ms });
        }
        for entry in entries {
            self.append_received(entry);
        }
        self.verified_index = self.verified_index.max(last_index);
        self.commit_index = self.commit_index.max(commit_index.min(self.verified_index));
        let match_index = Some(self.verified_index.min(self.writes.synced_index));
        self.send(from, Message::AppendReply { match_index, hint: 0, echo_ms });
    }

    /// Returns whether the log agrees with the leader's up to `previous`.
    fn log_matches(&self, previous: Position) -> bool {
        // Committed entries agree with every leader's.
        previous.index <= self.commit_index || self.log.term_at(previous.index) == Some(previous.term)
    }

    /// Appends an entry from the leader unless the log holds it; removes entries that conflict with it.
    fn append_received(&mut self, entry: Entry) {
        let index = entry.position.index;
        if index <= self.commit_index || self.log.term_at(index) == Some(entry.position.term) {
            return;
        }
        let conflicts = index <= self.log.last().index;
        if conflicts {
            self.log.truncate_from(index);
            self.writes.log_truncated(index);
        }
        let sets_voters = matches!(entry.payload, Payload::Voters(_));
        self.log.push(Arc::new(entry));
        if conflicts || sets_voters {
            self.reload_voters();
        }
    }

    /// Sends the leader the last durable index that agrees with its log.
    pub(crate) fn acknowledge(&mut self) {
        let Some(leader) = self.leader.clone().filter(|leader| *leader != self.config.name) else { return };
        if self.start_check.passed {
            let match_index = Some(self.verified_index.min(self.writes.synced_index));
            self.send(&leader, Message::AppendReply { match_index, hint: 0, echo_ms: 0 });
        }
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: &InstanceId,
        disk: DiskId,
        term: u64,
        match_index: Option<u64>,
        hint: u64,
        echo_ms: u64,
    ) {
        if term > self.term {
            return self.enter_term(term);
        }
        let RoleState::Leader(leadership) = &mut self.role_state else { return };
        let Some(progress) = leadership.peers.get_mut(from).filter(|_| term == self.term) else { return };
        progress.record_contact(disk, echo_ms);
        let Some(match_index) = match_index else { return progress.record_mismatch(hint) };
        progress.record_match(match_index);
        if let Some(term) = self.log.term_at(match_index) {
            let position = Position { term, index: match_index };
            let known = self.acknowledged.entry(from.clone()).or_insert((disk, position));
            *known = if known.0 == disk { (disk, known.1.max(position)) } else { (disk, position) };
        }
    }
}
