//! The first election after voters have started, for example after a power loss of all of them.
//!
//! Until it has had contact with a leader, a started voter asks the others whether they know one. It stands as soon as a majority
//! could grant a vote, instead of waiting out a random election timeout of its own.
//!
//! A voter's acknowledgements before its restart may support a lease for one more election timeout, and it cannot know
//! when it sent them. So it grants no vote that long after its start (the start guard). The guard is lifted early only if
//! every other voter of a committed set has stated after this start that it does not lead: the leader that such a lease
//! would belong to is one of them, and it cannot lead the same term again.

use std::collections::BTreeMap;

use daisysill_core::ids::InstanceId;
use rand::RngExt;

use crate::{
    entry::{DiskId, Position},
    message::{LeaderReply, Message},
    replica::{Replica, RoleState},
};

/// Number of election timeouts after the start during which a voter asks at each heartbeat interval; then it asks once
/// per election timeout.
const FREQUENT_QUERY_TIMEOUTS: u64 = 20;

/// Two queries are at least a heartbeat interval divided by this apart.
const SOON_DIVISOR: u64 = 4;

/// What this replica knows about leaders since its start.
#[derive(Debug)]
pub(crate) struct FirstElection {
    /// Random id of this start; replies to queries of an earlier one do not count.
    pub(crate) query_id: u64,
    started_ms: u64,
    query_due_ms: u64,
    last_query_ms: u64,
    /// Time before which this replica does not stand early, since an election may be in progress.
    stand_after_ms: u64,
    /// Time before which a granted pre-vote does not postpone the next election again.
    postpone_after_ms: u64,
    /// Whether this replica has had contact with a leader or led since its start.
    has_had_leader: bool,
    /// Whether no lease can rely on what this disk acknowledged before the start.
    guard_lifted: bool,
    /// The newest reply of each voter that knows no leader, with its disk.
    replies: BTreeMap<InstanceId, (DiskId, LeaderReply)>,
}

impl FirstElection {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            query_id: 0,
            started_ms: now_ms,
            query_due_ms: now_ms,
            last_query_ms: now_ms,
            stand_after_ms: now_ms,
            postpone_after_ms: now_ms,
            has_had_leader: false,
            guard_lifted: false,
            replies: BTreeMap::new(),
        }
    }

    /// Records that this replica leads or has had contact with a leader.
    pub(crate) fn record_leader(&mut self) {
        self.has_had_leader = true;
        self.replies.clear();
    }

    /// Returns whether the guard after a start is lifted. It applies again once there has been contact with a leader.
    pub(crate) fn guard_is_lifted(&self) -> bool {
        self.guard_lifted && !self.has_had_leader
    }
}

impl Replica {
    fn awaits_first_leader(&self) -> bool {
        let is_electable = matches!(self.role_state, RoleState::Follower | RoleState::Candidate { .. });
        is_electable && !self.first_election.has_had_leader && self.is_voter()
    }

    /// Returns the time of the next query; `u64::MAX` if none is due.
    pub(crate) fn leader_query_due_ms(&self) -> u64 {
        if self.awaits_first_leader() { self.first_election.query_due_ms } else { u64::MAX }
    }

    pub(crate) fn tick_first_election(&mut self) {
        if !self.awaits_first_leader() || self.now_ms < self.first_election.query_due_ms {
            return;
        }
        self.first_election.last_query_ms = self.now_ms;
        self.first_election.query_due_ms = self.now_ms + self.query_interval_ms();
        let query_id = self.first_election.query_id;
        for peer in self.other_voters() {
            self.send(&peer, Message::LeaderQuery { query_id });
        }
        self.evaluate_replies();
    }

    /// Lets the next query follow a fraction of the heartbeat interval after the last one.
    fn query_soon(&mut self) {
        let soon_ms = self.first_election.last_query_ms + self.config.heartbeat_ms / SOON_DIVISOR;
        let due_ms = &mut self.first_election.query_due_ms;
        *due_ms = (*due_ms).min(soon_ms.max(self.now_ms));
    }

    fn query_interval_ms(&self) -> u64 {
        let frequent_ms = FREQUENT_QUERY_TIMEOUTS * self.config.election_timeout_ms;
        let is_frequent = self.now_ms < self.first_election.started_ms + frequent_ms;
        if is_frequent { self.config.heartbeat_ms } else { self.config.election_timeout_ms }
    }

    pub(crate) fn on_leader_query(&mut self, from: &InstanceId, query_id: u64) {
        let reply = LeaderReply {
            knows_leader: self.knows_leader(),
            may_grant: self.may_grant(),
            is_complete: self.is_complete(),
            voters_position: self.voters_position,
        };
        self.send(from, Message::LeaderReply { query_id, reply });
        if !self.first_election.replies.contains_key(from) {
            // A voter that has just started can be reached now.
            self.query_soon();
        }
    }

    pub(crate) fn on_leader_reply(
        &mut self,
        from: &InstanceId,
        disk: DiskId,
        query_id: u64,
        reply: LeaderReply,
    ) {
        if query_id != self.first_election.query_id || !self.awaits_first_leader() {
            return;
        }
        if reply.knows_leader {
            self.first_election.replies.remove(from);
            return;
        }
        self.first_election.replies.insert(from.clone(), (disk, reply));
        self.evaluate_replies();
    }

    /// Returns whether this replica leads, or has had contact with a leader within its election timeout.
    fn knows_leader(&self) -> bool {
        let has_recent_contact = self.now_ms < self.leader_contact_ms + self.config.election_timeout_ms;
        matches!(self.role_state, RoleState::Leader(_))
            || (self.first_election.has_had_leader && has_recent_contact)
    }

    /// Returns whether this replica could grant a vote now.
    fn may_grant(&self) -> bool {
        self.may_vote() && !self.leader_lease_may_hold() && self.writes.hard_state_is_durable()
    }

    /// Returns whether this voter has passed its start check and holds every entry that its disk ever acknowledged.
    fn is_complete(&self) -> bool {
        self.may_vote() && self.log.last() >= self.start_check.min_position
    }

    fn evaluate_replies(&mut self) {
        if !self.first_election.guard_lifted && self.no_older_lease_holds() {
            self.first_election.guard_lifted = true;
            // The others lift theirs at about the same time, as their next replies state.
            self.query_soon();
        }
        self.stand_early();
    }

    /// Returns whether every other voter has stated since this start that it does not lead. The voter set must be committed
    /// and the newest one of all voters: otherwise a leader outside this set may hold a lease.
    fn no_older_lease_holds(&self) -> bool {
        let own = &self.config.name;
        let has_replied = |(name, disk): (&InstanceId, &DiskId)| {
            let reply = self.first_election.replies.get(name).filter(|(of_disk, _)| of_disk == disk);
            reply.is_some_and(|(_, reply)| reply.is_complete && reply.voters_position == self.voters_position)
        };
        self.is_complete()
            && self.voters.has_voter(own, self.disk)
            && self.voters_position != Position::default()
            && self.voters_position.index <= self.commit_index
            && self.voters.voters.iter().filter(|(name, _)| *name != own).all(has_replied)
    }

    /// Schedules an election at a random time within a heartbeat interval if a majority could grant a vote.
    fn stand_early(&mut self) {
        if self.now_ms < self.first_election.stand_after_ms || !self.may_grant() || !self.is_complete() {
            return;
        }
        let replies = self.first_election.replies.iter();
        let granting = replies.filter(|(_, (_, reply))| reply.may_grant);
        let mut granting: BTreeMap<_, _> = granting.map(|(name, (disk, _))| (name.clone(), *disk)).collect();
        granting.insert(self.config.name.clone(), self.disk);
        if !self.voters.has_majority(&granting) {
            return;
        }
        let due_ms = self.now_ms + self.rng.random_range(0..=self.config.heartbeat_ms);
        self.election_due_ms = self.election_due_ms.min(due_ms);
        self.wait_for_election(due_ms);
    }

    /// Lets an election that begins at `from_ms` end before this replica stands early again.
    pub(crate) fn wait_for_election(&mut self, from_ms: u64) {
        self.first_election.stand_after_ms = from_ms + self.election_wait_ms();
    }

    /// Postpones this replica's own early election after it has granted a pre-vote, so that the votes are not split. At most
    /// once per election timeout: the candidate may not get a majority.
    pub(crate) fn yield_to_candidate(&mut self) {
        if !self.awaits_first_leader() || self.now_ms < self.first_election.postpone_after_ms {
            return;
        }
        self.first_election.postpone_after_ms = self.now_ms + self.config.election_timeout_ms;
        let wait_ms = self.election_wait_ms();
        self.election_due_ms = self.election_due_ms.max(self.now_ms + wait_ms);
        self.wait_for_election(self.now_ms);
    }

    /// Returns a random time in which an election ends: two round trips and a sync. While a sync lasts longer, no
    /// election starts anyway.
    fn election_wait_ms(&mut self) -> u64 {
        let quarter_ms = self.config.election_timeout_ms / 4;
        quarter_ms + self.rng.random_range(0..=quarter_ms)
    }
}
