//! Elections. A candidate requests pre-votes first, which change no state, so that a replica without a majority does
//! not raise the term.

use std::collections::BTreeMap;

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
        if !self.may_vote() || self.log.last() < self.start_check.min_position {
            return;
        }
        self.leader = None;
        self.role_state = RoleState::Candidate { votes: BTreeMap::new(), pre_vote: true };
        let (term, last) = (self.term + 1, self.log.last());
        for peer in self.other_voters() {
            self.send(&peer, Message::PreVoteRequest { term, last });
        }
        self.count_vote(self.config.name.clone(), self.disk);
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

    /// Returns whether this replica leads, or heard a leader so recently that its lease may still hold.
    fn leader_lease_may_hold(&self) -> bool {
        matches!(self.role_state, RoleState::Leader(_))
            || self.now_ms < self.leader_contact_ms + self.config.election_timeout_ms
    }

    /// Returns whether this replica may vote for a candidate whose log ends at `last`.
    fn may_vote_for(&self, last: Position) -> bool {
        self.may_vote() && last >= self.log.last().max(self.start_check.min_position)
    }

    pub(crate) fn on_pre_vote(&mut self, from: &InstanceId, term: u64, last: Position) {
        let granted = term > self.term && self.may_vote_for(last) && !self.leader_lease_may_hold();
        self.send(from, Message::PreVoteReply { term, granted });
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
        let waiting = matches!(self.role_state, RoleState::Candidate { pre_vote: true, .. });
        if granted && waiting && requested_term == self.term + 1 {
            self.count_vote(from.clone(), disk);
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
        }
        self.send_after_sync(from, Message::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: &InstanceId, disk: DiskId, term: u64, granted: bool) {
        if term > self.term {
            self.enter_term(term);
            return;
        }
        let waiting = matches!(self.role_state, RoleState::Candidate { pre_vote: false, .. });
        if granted && waiting && term == self.term {
            self.count_vote(from.clone(), disk);
        }
    }

    /// Counts a vote or pre-vote. A majority of pre-votes starts the election, a majority of votes wins it.
    pub(crate) fn count_vote(&mut self, from: InstanceId, disk: DiskId) {
        let RoleState::Candidate { votes, pre_vote } = &mut self.role_state else { return };
        votes.insert(from, disk);
        let counted = votes.iter().filter(|(name, disk)| self.voters.has_voter(name, **disk)).count();
        if counted < self.voters.majority() {
            return;
        }
        if *pre_vote { self.request_votes() } else { self.become_leader() }
    }

    fn request_votes(&mut self) {
        self.enter_term(self.term + 1);
        self.voted_for = Some(self.config.name.clone());
        self.role_state = RoleState::Candidate { votes: BTreeMap::new(), pre_vote: false };
        let last = self.log.last();
        for peer in self.other_voters() {
            self.send_after_sync(&peer, Message::VoteRequest { last });
        }
        self.vote_for_self_after_sync();
    }
}
