//! The protocol state machine: dispatch of inputs, timers and status.

use std::{collections::BTreeMap, sync::Arc};

use daisysill_core::ids::{ConfigVersion, InstanceId};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

use crate::{
    api::{Input, Output, ProposalFailure, ReplicaConfig, ReplicaStatus, Role},
    entry::{DiskId, Position, Recovered, Snapshot, VoterSet},
    log::Log,
    membership::Bootstrap,
    message::{Envelope, Message},
    replication::Leadership,
    snapshots::IncomingSnapshot,
    start_check::StartCheck,
    state::AgreedState,
    writes::Writes,
};

/// What this replica is in its term.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower,
    /// Seeks votes; the votes received so far, and whether they are only pre-votes.
    Candidate {
        votes: BTreeMap<InstanceId, DiskId>,
        pre_vote: bool,
    },
    Leader(Box<Leadership>),
    Halted,
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) now_ms: u64,
    pub(crate) rng: StdRng,
    pub(crate) disk: DiskId,
    pub(crate) term: u64,
    pub(crate) voted_for: Option<InstanceId>,
    pub(crate) role_state: RoleState,
    pub(crate) leader: Option<InstanceId>,
    /// When the leader was last heard; starts with the replica, since a lease may depend on it.
    pub(crate) leader_contact_ms: u64,
    pub(crate) election_due_ms: u64,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    pub(crate) voters: VoterSet,
    /// Index of the entry that set `voters`.
    pub(crate) voters_index: u64,
    pub(crate) commit_index: u64,
    /// Last index known to agree with the leader of the term.
    pub(crate) verified_index: u64,
    pub(crate) state: AgreedState,
    pub(crate) reported_version: ConfigVersion,
    pub(crate) writes: Writes,
    pub(crate) start_check: StartCheck,
    pub(crate) acknowledged: BTreeMap<InstanceId, (DiskId, Position)>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) bootstrap: Option<Bootstrap>,
    pub(crate) outputs: Vec<Output>,
}

impl Replica {
    /// Creates a replica from what its folder held. `seed` gives the disk id of an empty folder and the
    /// election timeouts; it must differ at every start.
    pub fn new(config: ReplicaConfig, recovered: Recovered, now_ms: u64, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let new_disk = DiskId(rng.next_u64());
        let formatted = recovered.hard_state.is_some();
        let (disk, term, voted_for) =
            recovered.hard_state.map_or((new_disk, 0, None), |hard| (hard.disk, hard.term, hard.voted_for));
        let base = match recovered.entries.first() {
            // The term before the first kept entry is not stored; it is needed only for a follower that lags
            // that far, which then gets a snapshot.
            Some(first) => Position { term: 0, index: first.position.index - 1 },
            None => recovered.snapshot.as_ref().map_or(Position::default(), |snapshot| snapshot.position),
        };
        let base = match &recovered.snapshot {
            Some(snapshot) if snapshot.position.index == base.index => snapshot.position,
            _ => base,
        };
        let log = Log::new(base, recovered.entries);
        let last = log.last();
        let state =
            recovered.snapshot.as_ref().and_then(|snapshot| postcard::from_bytes(&snapshot.state).ok());
        let mut replica = Self {
            now_ms,
            rng,
            disk,
            term: term.max(last.term),
            voted_for,
            role_state: RoleState::Follower,
            leader: None,
            leader_contact_ms: now_ms,
            election_due_ms: now_ms,
            commit_index: recovered.commit_index.min(last.index),
            verified_index: 0,
            log,
            snapshot: recovered.snapshot,
            voters: VoterSet::default(),
            voters_index: 0,
            state: state.unwrap_or_default(),
            reported_version: ConfigVersion::default(),
            writes: Writes::new(last.index, !formatted),
            start_check: StartCheck::default(),
            acknowledged: BTreeMap::new(),
            incoming: None,
            bootstrap: None,
            outputs: Vec::new(),
            config,
        };
        replica.start_check.exempt = !formatted || replica.config.trust_disk;
        replica.start_check.check_id = replica.rng.next_u64();
        replica.reload_voters();
        // Not left to `reload_voters`: it sees a voter already if the log's commit index covers the voter set.
        replica.start_check.passed = replica.start_check.exempt || !replica.is_voter();
        replica.reset_election_timer();
        replica.apply_committed();
        replica
    }

    /// Processes one input at `now_ms` on this instance's monotonic clock.
    pub fn step(&mut self, now_ms: u64, input: Input, outputs: &mut Vec<Output>) {
        self.now_ms = self.now_ms.max(now_ms);
        if matches!(self.role_state, RoleState::Halted) {
            if let Input::Propose { proposal_id, .. } | Input::ChangeVoters { proposal_id, .. } = input {
                self.fail_proposal(proposal_id, ProposalFailure::NotLeader(None));
            }
            outputs.append(&mut self.outputs);
            return;
        }
        match input {
            Input::Tick => self.tick(),
            Input::Receive { from, message } => self.receive(&from, &message),
            Input::Propose { proposal_id, command } => self.propose(proposal_id, command),
            Input::ChangeVoters { proposal_id, change } => self.change_voters(proposal_id, &change),
            Input::Bootstrap { voters } => self.start_bootstrap(voters),
            Input::Written { write } => self.written(write),
            Input::WriteFailed { write } => self.write_failed(write),
        }
        self.advance();
        outputs.append(&mut self.outputs);
    }

    /// Returns when the next tick is due.
    pub fn next_timer_ms(&self) -> u64 {
        let retry_ms = match (self.start_check.passed, &self.bootstrap) {
            (true, None) => u64::MAX,
            (true, Some(bootstrap)) => bootstrap.retry_ms,
            (false, _) => self.start_check.retry_ms,
        };
        let due_ms = match &self.role_state {
            RoleState::Halted => u64::MAX,
            RoleState::Leader(leadership) => leadership.heartbeat_due_ms,
            RoleState::Follower | RoleState::Candidate { .. } => self.election_due_ms,
        };
        due_ms.min(retry_ms)
    }

    /// Returns the agreed state as far as this replica has applied it.
    pub fn state(&self) -> &AgreedState {
        &self.state
    }

    /// Returns the state of this replica.
    pub fn status(&self) -> ReplicaStatus {
        let role = match &self.role_state {
            RoleState::Halted => Role::Halted,
            RoleState::Leader(_) => Role::Leader,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Follower if self.may_vote() => Role::Follower,
            RoleState::Follower => Role::Learner,
        };
        ReplicaStatus {
            role,
            term: self.term,
            leader: self.leader.clone(),
            leader_until_ms: self.leader_until_ms(),
            last_index: self.log.last().index,
            synced_index: self.writes.synced_index,
            commit_index: self.commit_index,
            applied_index: self.state.applied_index,
            voters: self.voters.clone(),
            leader_silent_ms: self.now_ms.saturating_sub(self.leader_contact_ms),
            peers: self.peer_status(),
            waits_for_peers: self.is_voter() && !self.start_check.passed,
            disk_outdated: self.start_check.outdated
                && self.synced_position() < self.start_check.min_position,
        }
    }

    fn tick(&mut self) {
        self.tick_start_check();
        self.tick_bootstrap();
        match &self.role_state {
            RoleState::Leader(_) => self.tick_leader(),
            RoleState::Follower | RoleState::Candidate { .. } => self.tick_election(),
            RoleState::Halted => {}
        }
    }

    fn receive(&mut self, from: &InstanceId, message: &[u8]) {
        let Ok(envelope) = postcard::from_bytes::<Envelope>(message) else { return };
        // Nothing may be promised before the disk id is durable.
        if *from == self.config.name || !self.writes.formatted {
            return;
        }
        let Envelope { disk, term, message } = envelope;
        match message {
            Message::PreVoteRequest { term, last } => self.on_pre_vote(from, term, last),
            Message::PreVoteReply { term: requested_term, granted } => {
                self.on_pre_vote_reply(from, disk, term, requested_term, granted);
            }
            Message::VoteRequest { last } => self.on_vote(from, term, last),
            Message::VoteReply { granted } => self.on_vote_reply(from, disk, term, granted),
            Message::Append { previous, entries, commit_index, echo_ms } => {
                self.on_append(from, term, previous, entries, commit_index, echo_ms);
            }
            Message::AppendReply { match_index, hint, echo_ms } => {
                self.on_append_reply(from, disk, term, match_index, hint, echo_ms);
            }
            Message::SnapshotChunk(chunk) => self.on_chunk(from, term, chunk),
            Message::SnapshotReply { position, received_bytes, echo_ms } => {
                self.on_chunk_reply(from, disk, term, position, received_bytes, echo_ms);
            }
            Message::PositionRequest { check_id } => self.on_position_request(from, disk, check_id),
            Message::PositionReply { check_id, last, acknowledged } => {
                self.on_position_reply(from, disk, term, check_id, last, acknowledged);
            }
            Message::BootstrapProbe => self.on_bootstrap_probe(from),
            Message::BootstrapReply { empty } => self.on_bootstrap_reply(from, disk, empty),
        }
    }

    /// Does what follows from any input: commit, apply, snapshot, send, write.
    fn advance(&mut self) {
        if matches!(self.role_state, RoleState::Halted) {
            return;
        }
        self.advance_commit();
        self.apply_committed();
        self.take_snapshot_if_due();
        self.replicate();
        self.issue_write();
    }

    pub(crate) fn send(&mut self, to: &InstanceId, message: Message) {
        let envelope = Envelope { disk: self.disk, term: self.term, message };
        self.send_envelope(to, &envelope);
    }

    pub(crate) fn send_envelope(&mut self, to: &InstanceId, envelope: &Envelope) {
        if let Ok(message) = postcard::to_stdvec(envelope) {
            self.outputs.push(Output::Send { to: to.clone(), message });
        }
    }

    pub(crate) fn fail_proposal(&mut self, proposal_id: u64, failure: ProposalFailure) {
        self.outputs.push(Output::Reply { proposal_id, result: Err(failure) });
    }

    /// Returns the voters other than this replica.
    pub(crate) fn other_voters(&self) -> Vec<InstanceId> {
        self.voters.voters.keys().filter(|name| **name != self.config.name).cloned().collect()
    }

    /// Returns the voter set by which this replica and its disk vote. That may be the committed set while the
    /// newest one, which removes this replica, is not committed: otherwise nobody could be elected if only
    /// this replica holds the removal and the others wait for a candidate that holds as much.
    pub(crate) fn own_voter_set(&self) -> Option<&VoterSet> {
        let has_voter = |voters: &&VoterSet| voters.has_voter(&self.config.name, self.disk);
        let committed = || {
            let in_log = self.log.latest_voters(self.commit_index).map(|(_, voters)| voters);
            in_log.or_else(|| self.snapshot.as_ref().map(|snapshot| &snapshot.voters))
        };
        Some(&self.voters).filter(has_voter).or_else(|| committed().filter(has_voter))
    }

    /// Returns whether this replica and its disk are among the voters.
    pub(crate) fn is_voter(&self) -> bool {
        self.own_voter_set().is_some()
    }

    /// Takes the voter set from the newest entry that has one, or from the snapshot.
    pub(crate) fn reload_voters(&mut self) {
        let newest = self.log.latest_voters(u64::MAX).map(|(index, voters)| (index, voters.clone()));
        let from_snapshot = || self.snapshot.as_ref().map(|s| (s.position.index, s.voters.clone()));
        let voted = self.is_voter();
        (self.voters_index, self.voters) = newest.or_else(from_snapshot).unwrap_or_default();
        if self.is_voter() && !voted {
            self.start_check.passed = self.start_check.exempt;
            self.start_check.retry_ms = self.now_ms;
        }
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let shortest = self.config.election_timeout_ms;
        self.election_due_ms = self.now_ms + shortest + self.rng.random_range(0..=shortest);
    }
}
