//! Elections. A candidate requests pre-votes first, which change no state, so that a replica without a majority does
//! not raise the term.
//!
//! A vote counts once it is durable, and a sync may last longer than an election timeout. So that elections on slow disks
//! end, no term is started while votes of the present one are being synced: a replica neither requests nor grants
//! pre-votes meanwhile, and a candidate still counts the votes of its term while it requests pre-votes for the next one.

use std::{collections::BTreeMap, mem};

use daisysill_core::ids::InstanceId;

use crate::{
    entry::{DiskId, Position},
    message::Message,
    replica::{Replica, RoleState},
};

impl Replica {
    pub(crate) fn tick_election(&mut self) {
        if self.now_ms < self.election_due_ms {
            return;
        }
        self.reset_election_timer();
        // Also if this replica may not campaign: its node takes a named leader for one that is in contact.
        self.leader = None;
        if !self.may_vote()
            || self.log.last() < self.start_check.min_position
            || !self.writes.hard_state_is_durable()
            || self.write_is_stalled()
        {
            return;
        }
        let votes = match &mut self.role_state {
            RoleState::Candidate { votes, .. } => mem::take(votes),
            RoleState::Follower | RoleState::Leader(_) | RoleState::Halted => BTreeMap::new(),
        };
        self.role_state = RoleState::Candidate { votes, pre_votes: Some(BTreeMap::new()) };
        let (term, last) = (self.term + 1, self.log.last());
        for peer in self.other_voters() {
            self.send(&peer, Message::PreVoteRequest { term, last });
        }
        self.count_pre_vote(self.config.name.clone(), self.disk);
    }

    /// Becomes a follower in a higher term; does nothing for the present or an earlier one.
    pub(crate) fn enter_term(&mut self, term: u64) {
        if term <= self.term {
            return;
        }
        self.become_follower();
        self.term = term;
        self.voted_for = None;
        self.leader = None;
        self.verified_index = 0;
        self.writes.hard_state_changed();
    }

    pub(crate) fn become_follower(&mut self) {
        self.end_leadership();
        self.role_state = RoleState::Follower;
        self.reset_election_timer();
    }

    /// Returns whether this replica leads, or had contact with a leader or started so recently that a lease may still hold.
    pub(crate) fn leader_lease_may_hold(&self) -> bool {
        let contact_is_recent = self.now_ms < self.leader_contact_ms + self.config.election_timeout_ms;
        matches!(self.role_state, RoleState::Leader(_))
            || (contact_is_recent && !self.first_election.guard_is_lifted())
    }

    /// Returns whether this replica may vote for a candidate whose log ends at `last`.
    fn may_vote_for(&self, last: Position) -> bool {
        self.may_vote() && last >= self.log.last().max(self.start_check.min_position)
    }

    pub(crate) fn on_pre_vote(&mut self, from: &InstanceId, term: u64, last: Position) {
        let granted = term > self.term
            && self.may_vote_for(last)
            && !self.leader_lease_may_hold()
            && self.writes.hard_state_is_durable();
        self.send(from, Message::PreVoteReply { term, granted });
        if granted {
            self.yield_to_candidate();
        }
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: &InstanceId,
        disk: DiskId,
        term: u64,
        requested_term: u64,
        granted: bool,
    ) {
        if term > self.term {
            self.enter_term(term);
            return;
        }
        if granted && requested_term == self.term + 1 {
            self.count_pre_vote(from.clone(), disk);
        }
    }

    pub(crate) fn on_vote(&mut self, from: &InstanceId, term: u64, last: Position) {
        // A resent request of the term gets its reply again; any other is ignored while a leader lease may hold.
        let resent = term == self.term && self.voted_for.as_ref() == Some(from);
        if self.leader_lease_may_hold() && !resent {
            return;
        }
        self.enter_term(term);
        let can_vote = self.voted_for.as_ref().is_none_or(|name| name == from);
        let granted = term == self.term && can_vote && self.may_vote_for(last);
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(from.clone());
            self.writes.hard_state_changed();
            self.reset_election_timer();
            self.wait_for_election(self.now_ms);
        }
        let reply = Message::VoteReply { granted };
        if granted { self.send_after_sync(from, reply) } else { self.send(from, reply) }
    }

    pub(crate) fn on_vote_reply(&mut self, from: &InstanceId, disk: DiskId, term: u64, granted: bool) {
        if term > self.term {
            self.enter_term(term);
            return;
        }
        if granted && term == self.term {
            self.count_vote(from.clone(), disk);
        }
    }

    /// Counts a pre-vote for the next term. A majority starts the election.
    fn count_pre_vote(&mut self, from: InstanceId, disk: DiskId) {
        let RoleState::Candidate { pre_votes: Some(pre_votes), .. } = &mut self.role_state else { return };
        pre_votes.insert(from, disk);
        if self.voters.has_majority(pre_votes) {
            self.request_votes();
        }
    }

    /// Counts a vote in this term. A majority that includes this replica wins the election: without its own durable vote,
    /// the replica could lead the same term a second time after a crash.
    pub(crate) fn count_vote(&mut self, from: InstanceId, disk: DiskId) {
        let RoleState::Candidate { votes, .. } = &mut self.role_state else { return };
        votes.insert(from, disk);
        if votes.contains_key(&self.config.name) && self.voters.has_majority(votes) {
            self.become_leader();
        }
    }

    fn request_votes(&mut self) {
        self.enter_term(self.term + 1);
        self.voted_for = Some(self.config.name.clone());
        self.role_state = RoleState::Candidate { votes: BTreeMap::new(), pre_votes: None };
        let last = self.log.last();
        // The others sync their votes while this replica syncs its own, unless its log might be shorter after a crash.
        let log_is_durable = self.writes.synced_index >= last.index;
        for peer in self.other_voters() {
            let request = Message::VoteRequest { last };
            if log_is_durable { self.send(&peer, request) } else { self.send_after_sync(&peer, request) }
        }
        self.vote_for_self_after_sync();
    }
}
