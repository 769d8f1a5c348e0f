//! Planned stops: a voter that is to stop hands its vote over to a learner first.
//!
//! It requests this of the leader until it is no voter anymore, and votes meanwhile. The leader keeps the request for a
//! short time only, so a new leader learns of it with the next one, and a node that has started again does not count as
//! one that stops. Which change is due is decided by `daisysill_core::voters`; the leader's node proposes it.

use daisysill_core::{
    ids::InstanceId,
    value_types,
    voters::{Member, MembershipChange, Presence, is_silent, next_change},
};

use crate::{
    api::{PeerStatus, ReplicaStatus, VoterChange},
    message::Message,
    replica::{Replica, RoleState},
};

/// Number of heartbeat intervals for which a leader keeps a request.
const REQUEST_LIFETIME_HEARTBEATS: u64 = 10;
/// Number of minimum election timeouts after which a voter without an answer of a leader stops all the same. Several elections
/// fit in, since the vote of this voter may be needed in them.
const UNANSWERED_TIMEOUTS: u64 = 10;

value_types! {
    /// Progress of the handover of a vote before a planned stop.
    #[derive(Copy)]
    pub enum Handover {
        /// No stop is planned.
        NotRequested,
        /// The node must go on voting.
        InProgress,
        /// The node may stop: it does not vote, or nobody can take its vote over.
        Ended,
    }
}

/// A planned stop of this replica.
#[derive(Debug)]
pub(crate) struct Leaving {
    request_due_ms: u64,
    /// When a leader answered last, or the stop began.
    answered_ms: u64,
    /// Whether a successor existed at the last answer.
    has_successor: bool,
}

impl Replica {
    pub(crate) fn begin_leaving(&mut self) {
        let now_ms = self.now_ms;
        self.leaving = Some(Leaving { request_due_ms: now_ms, answered_ms: now_ms, has_successor: true });
        self.tick_leaving();
    }

    /// Returns the time of the next request; `u64::MAX` if none is due.
    pub(crate) fn leave_request_due_ms(&self) -> u64 {
        self.leaving.as_ref().map_or(u64::MAX, |leaving| leaving.request_due_ms)
    }

    pub(crate) fn tick_leaving(&mut self) {
        let now_ms = self.now_ms;
        let Some(leaving) = self.leaving.as_mut().filter(|leaving| now_ms >= leaving.request_due_ms) else {
            return;
        };
        leaving.request_due_ms = now_ms + self.config.heartbeat_ms;
        if let Some(leader) = self.leader.clone().filter(|leader| *leader != self.config.name) {
            self.send(&leader, Message::LeaveRequest);
        }
    }

    pub(crate) fn on_leave_request(&mut self, from: &InstanceId) {
        let leaving_until_ms = self.now_ms + REQUEST_LIFETIME_HEARTBEATS * self.config.heartbeat_ms;
        let RoleState::Leader(leadership) = &mut self.role_state else { return };
        // `notify_if_not_a_voter` answers one that is no member anymore.
        let Some(progress) = leadership.peers.get_mut(from) else { return };
        progress.leaving_until_ms = leaving_until_ms;
        let has_successor = self.has_successor();
        self.send(from, Message::LeaveReply { has_successor });
    }

    pub(crate) fn on_leave_reply(&mut self, from: &InstanceId, has_successor: bool) {
        let now_ms = self.now_ms;
        if self.leader.as_ref() != Some(from) {
            return;
        }
        if let Some(leaving) = &mut self.leaving {
            leaving.answered_ms = now_ms;
            leaving.has_successor = has_successor;
        }
    }

    /// Returns whether this leader can replace a voter that stops: a learner is there, perhaps not caught up yet, or one has
    /// been promoted already.
    fn has_successor(&self) -> bool {
        let is_ready = |peer: &PeerStatus| {
            self.voters.learners.contains(&peer.name) && !peer.leaving && !is_silent(peer.silent_ms)
        };
        self.is_in_replacement() || self.peer_status().iter().any(is_ready)
    }

    /// Returns whether a successor votes already beside the voter that it replaces.
    fn is_in_replacement(&self) -> bool {
        self.config.target_voters.is_some_and(|target| self.voters.voters.len() > target)
    }

    /// Returns how far the handover of this replica's vote is.
    pub(crate) fn handover(&self) -> Handover {
        let Some(leaving) = &self.leaving else { return Handover::NotRequested };
        let unanswered_ms = UNANSWERED_TIMEOUTS * self.config.election_timeout_ms;
        let may_continue = match &self.role_state {
            RoleState::Halted => false,
            RoleState::Leader(_) => self.has_successor(),
            RoleState::Follower | RoleState::Candidate { .. } => {
                let is_possible = self.is_in_replacement() || !self.voters.learners.is_empty();
                is_possible && leaving.has_successor && self.now_ms < leaving.answered_ms + unanswered_ms
            }
        };
        if self.is_voter() && may_continue { Handover::InProgress } else { Handover::Ended }
    }
}

impl ReplicaStatus {
    /// Returns whether a planned stop of this replica or, as far as this leader knows, of another member is in progress.
    pub fn has_leaving(&self) -> bool {
        self.handover != Handover::NotRequested || self.peers.iter().any(|peer| peer.leaving)
    }

    /// Returns the change of the voters that is due, if `own` leads; `target` is the number of voters to maintain.
    pub fn due_change(&self, own: &InstanceId, target: usize) -> Option<VoterChange> {
        let leader = Member {
            name: own.clone(),
            votes: self.voters.voters.contains_key(own),
            silent_ms: 0,
            disk_mismatch: false,
            caught_up: true,
            presence: Presence::of(self.handover != Handover::NotRequested),
        };
        let member = |peer: &PeerStatus| Member {
            name: peer.name.clone(),
            votes: self.voters.voters.contains_key(&peer.name),
            silent_ms: peer.silent_ms,
            disk_mismatch: peer.disk_mismatch,
            caught_up: peer.caught_up,
            presence: Presence::of(peer.leaving),
        };
        let others: Vec<Member> = self.peers.iter().map(member).collect();
        Some(match next_change(&leader, &others, target)? {
            MembershipChange::Promote(name) => VoterChange::Promote(name),
            MembershipChange::Remove(name) => VoterChange::Remove(name),
        })
    }
}
