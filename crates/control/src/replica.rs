//! The replica: its state, dispatch of inputs, timers and status. Elections, replication and the other parts of the
//! protocol are methods of [`Replica`] in modules of their own.

use std::{collections::BTreeMap, sync::Arc};

use daisysill_core::ids::{ConfigVersion, InstanceId};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

use crate::{
    api::{Input, Output, ProposalFailure, ReplicaConfig, ReplicaStatus, Role},
    entry::{DiskId, Position, Recovered, Snapshot, VoterSet},
    first_election::FirstElection,
    leaving::Leaving,
    log::Log,
    membership::Bootstrap,
    message::{Envelope, Message},
    replication::Leadership,
    snapshots::IncomingSnapshot,
    start_check::StartCheck,
    state::AgreedState,
    writes::Writes,
};

/// Role of the replica, with the state that only this role has.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower,
    /// Requests votes in its term, or pre-votes for the next one.
    Candidate {
        /// Votes granted in the term, with the disk of each voter.
        votes: BTreeMap<InstanceId, DiskId>,
        /// Pre-votes granted for the next term; `None` before they are requested.
        pre_votes: Option<BTreeMap<InstanceId, DiskId>>,
    },
    Leader(Box<Leadership>),
    Halted,
}

/// One replica of the log: a voter or learner of the cluster.
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
    /// Time of the last message from a leader. Starts as the time of creation: before the restart, a leader's lease may
    /// have relied on this replica.
    pub(crate) leader_contact_ms: u64,
    pub(crate) election_due_ms: u64,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    pub(crate) voters: VoterSet,
    /// Position of the entry or snapshot that `voters` is from.
    pub(crate) voters_position: Position,
    /// A committed position as of which this replica is no voter, as a peer stated; older voter sets do not count.
    pub(crate) not_a_voter_at: Option<Position>,
    pub(crate) commit_index: u64,
    /// Last index known to agree with the log of the term's leader.
    pub(crate) verified_index: u64,
    pub(crate) state: AgreedState,
    /// Configuration version of the last [`Output::ConfigChanged`].
    pub(crate) reported_version: ConfigVersion,
    pub(crate) writes: Writes,
    pub(crate) start_check: StartCheck,
    pub(crate) first_election: FirstElection,
    /// The planned stop of this replica's node, once it has begun.
    pub(crate) leaving: Option<Leaving>,
    /// Highest position that each peer's disk has acknowledged to this replica as leader, for the start check.
    pub(crate) acknowledged: BTreeMap<InstanceId, (DiskId, Position)>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) bootstrap: Option<Bootstrap>,
    /// Whether it may form a new cluster: not after an attempt in this process, whose late replies could count for another
    /// one in the same term.
    pub(crate) may_form: bool,
    pub(crate) outputs: Vec<Output>,
}

impl Replica {
    /// Creates a replica from the contents of its data folder. `seed` determines the disk id of an empty folder, the
    /// start check's id and the election timeouts; it must differ at each start.
    pub fn new(config: ReplicaConfig, recovered: Recovered, now_ms: u64, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let new_disk = DiskId(rng.next_u64());
        let formatted = recovered.hard_state.is_some();
        let (disk, term, voted_for) =
            recovered.hard_state.map_or((new_disk, 0, None), |hard| (hard.disk, hard.term, hard.voted_for));
        let base = match recovered.entries.first() {
            // The term before the first stored entry is unknown. It is needed only for a follower that far behind,
            // which then gets a snapshot.
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
            recovered.snapshot.as_ref().and_then(|snapshot| AgreedState::decode(&snapshot.state).ok());
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
            voters_position: Position::default(),
            not_a_voter_at: None,
            state: state.unwrap_or_default(),
            reported_version: ConfigVersion::default(),
            writes: Writes::new(last.index, !formatted),
            start_check: StartCheck::default(),
            first_election: FirstElection::new(now_ms),
            leaving: None,
            acknowledged: BTreeMap::new(),
            incoming: None,
            bootstrap: None,
            may_form: true,
            outputs: Vec::new(),
            config,
        };
        replica.start_check.exempt = !formatted || replica.config.trust_disk;
        replica.start_check.check_id = replica.rng.next_u64();
        replica.first_election.query_id = replica.start_check.check_id;
        replica.reload_voters();
        // `reload_voters` does not set this if the replica is a voter already, by the committed voter set in the log.
        replica.start_check.passed = replica.start_check.exempt || !replica.is_voter();
        replica.reset_election_timer();
        replica.apply_committed();
        replica
    }

    /// Creates the replica that continues with the contents of the data folder after it was opened again. Equal to a restart
    /// of the process.
    #[must_use]
    pub fn restarted(&self, recovered: Recovered, now_ms: u64, seed: u64) -> Self {
        let may_form = self.may_form && self.is_uninitialized();
        Self { may_form, ..Self::new(self.config.clone(), recovered, now_ms, seed) }
    }

    /// Processes an input at `now_ms` on this instance's monotonic clock, and appends the resulting actions to
    /// `outputs`. A halted replica ignores all inputs but proposals, which fail.
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
            Input::Leave => self.begin_leaving(),
            Input::BatchSynced { batch_id } => self.batch_synced(batch_id),
            Input::BatchFailed { batch_id } => self.batch_failed(batch_id),
        }
        self.advance();
        outputs.append(&mut self.outputs);
    }

    /// Returns the time at which the next [`Input::Tick`] is due; `u64::MAX` for never.
    pub fn next_timer_ms(&self) -> u64 {
        let retry_ms = match (self.start_check_continues(), &self.bootstrap) {
            (false, None) => u64::MAX,
            (false, Some(bootstrap)) => bootstrap.retry_ms,
            (true, _) => self.start_check.retry_ms,
        };
        let due_ms = match &self.role_state {
            RoleState::Halted => u64::MAX,
            RoleState::Leader(leadership) => leadership.heartbeat_due_ms,
            RoleState::Follower | RoleState::Candidate { .. } => self.election_due_ms,
        };
        due_ms.min(retry_ms).min(self.leader_query_due_ms()).min(self.leave_request_due_ms())
    }

    /// Returns the agreed state at the last entry that this replica has applied.
    pub fn state(&self) -> &AgreedState {
        &self.state
    }

    /// Returns the status of this replica.
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
            voters: self.reported_voters(),
            leader_silent_ms: self.now_ms.saturating_sub(self.leader_contact_ms),
            peers: self.peer_status(),
            waits_for_peers: self.is_voter() && !self.start_check.passed,
            disk_outdated: self.start_check.outdated
                && self.synced_position() < self.start_check.min_position,
            handover: self.handover(),
        }
    }

    fn tick(&mut self) {
        self.tick_start_check();
        self.tick_bootstrap();
        self.tick_first_election();
        self.tick_leaving();
        match &self.role_state {
            RoleState::Leader(_) => self.tick_leader(),
            RoleState::Follower | RoleState::Candidate { .. } => self.tick_election(),
            RoleState::Halted => {}
        }
    }

    fn receive(&mut self, from: &InstanceId, message: &[u8]) {
        let Ok(envelope) = postcard::from_bytes::<Envelope>(message) else { return };
        // No vote or acknowledgement may be sent before the disk id is durable.
        if *from == self.config.name || !self.writes.formatted {
            return;
        }
        let Envelope { disk, term, message } = envelope;
        match message {
            Message::PreVoteRequest { term, last } => {
                self.notify_if_not_a_voter(from, disk);
                self.on_pre_vote(from, term, last);
            }
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
            Message::PositionRequest { check_id } => {
                self.notify_if_not_a_voter(from, disk);
                self.on_position_request(from, disk, check_id);
            }
            Message::PositionReply { check_id, last, acknowledged } => {
                self.on_position_reply(from, disk, term, check_id, last, acknowledged);
            }
            Message::BootstrapProbe => self.on_bootstrap_probe(from),
            Message::BootstrapReply { empty } => self.on_bootstrap_reply(from, disk, empty),
            Message::NotAVoter { committed } => self.on_not_a_voter(committed),
            Message::LeaderQuery { query_id } => self.on_leader_query(from, query_id),
            Message::LeaderReply { query_id, reply } => self.on_leader_reply(from, disk, query_id, reply),
            Message::LeaveRequest => {
                self.notify_if_not_a_voter(from, disk);
                self.on_leave_request(from);
            }
            Message::LeaveReply { has_successor } => self.on_leave_reply(from, has_successor),
        }
    }

    /// Performs the work that any input may cause: commit, apply, snapshot, replicate and write.
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

    /// Returns the voter set that makes this replica with its disk a voter: the last one or, while the removal of this
    /// replica is not committed, the committed one. Otherwise no leader could be elected if only this replica holds the
    /// removal, since the others vote only for a candidate whose log is as long. `None` if a peer has reported that this replica
    /// was removed since.
    pub(crate) fn own_voter_set(&self) -> Option<&VoterSet> {
        if self.not_a_voter_at > Some(self.voters_position) {
            return None;
        }
        let includes_self = |voters: &&VoterSet| voters.has_voter(&self.config.name, self.disk);
        Some(&self.voters).filter(includes_self).or_else(|| self.committed_voters().filter(includes_self))
    }

    /// Returns the voter set as far as it is known, without this replica if a peer has reported its removal.
    fn reported_voters(&self) -> VoterSet {
        let mut voters = self.voters.clone();
        if self.not_a_voter_at > Some(self.voters_position) {
            voters.voters.remove(&self.config.name);
        }
        voters
    }

    /// Returns the newest voter set known to be committed; `None` if none is.
    pub(crate) fn committed_voters(&self) -> Option<&VoterSet> {
        let in_log = self.log.latest_voters(self.commit_index).map(|(_, voters)| voters);
        in_log.or_else(|| self.snapshot.as_ref().map(|snapshot| &snapshot.voters))
    }

    /// Returns whether this replica is a voter with its present disk.
    pub(crate) fn is_voter(&self) -> bool {
        self.own_voter_set().is_some()
    }

    /// Sets the voter set from the last entry that has one, or from the snapshot. A replica that becomes a voter has to
    /// pass the start check.
    pub(crate) fn reload_voters(&mut self) {
        let in_log = self.log.latest_voters(u64::MAX).map(|(position, voters)| (position, voters.clone()));
        let from_snapshot = || self.snapshot.as_ref().map(|s| (s.position, s.voters.clone()));
        let was_voter = self.is_voter();
        (self.voters_position, self.voters) = in_log.or_else(from_snapshot).unwrap_or_default();
        if self.is_voter() && !was_voter {
            self.start_check.passed = self.start_check.exempt;
            self.start_check.retry_ms = self.now_ms;
        }
    }

    /// Sets a random election timeout between the minimum and twice the minimum.
    pub(crate) fn reset_election_timer(&mut self) {
        let minimum_ms = self.config.election_timeout_ms;
        self.election_due_ms = self.now_ms + minimum_ms + self.rng.random_range(0..=minimum_ms);
    }
}
