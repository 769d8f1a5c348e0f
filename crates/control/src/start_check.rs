//! The start check: a restarted voter compares its log with its peers' before it votes or acknowledges entries, since
//! its disk may be older than what it has acknowledged.
//!
//! A voter that lacks entries of its peers repeats the check until it has them: a peer may be removed, or replace
//! entries that were not committed, and then no candidate can ever have them.

use std::{collections::BTreeMap, mem};

use daisysill_core::ids::InstanceId;
use rand::Rng;

use crate::{
    entry::{DiskId, Position},
    message::Message,
    replica::Replica,
};

/// State of the start check.
#[derive(Debug, Default)]
pub(crate) struct StartCheck {
    /// Whether this replica may vote and acknowledge entries. Reset when the replica becomes a voter, even by an
    /// entry that arrives after the start: an older disk may be from before its admission.
    pub(crate) passed: bool,
    /// Whether the check is skipped: the folder was empty, or the operator trusts the disk.
    pub(crate) exempt: bool,
    /// Random id of this check, so that replies to an earlier one are not counted.
    pub(crate) check_id: u64,
    pub(crate) retry_ms: u64,
    /// Lowest last position of a candidate that gets this replica's vote; the replica itself does not campaign before
    /// it has reached it.
    pub(crate) min_position: Position,
    /// Whether a peer has recorded an acknowledgement beyond the log of this disk.
    pub(crate) outdated: bool,
    /// Highest position that a peer has recorded as acknowledged by this disk.
    acknowledged: Position,
    /// Last position of each peer that has replied to this check.
    replies: BTreeMap<InstanceId, Position>,
}

impl Replica {
    /// Returns the number of peers that must reply. An entry that this disk may have acknowledged was committed by a
    /// majority; without this voter, that many of the others include at least one that holds it.
    fn required_replies(&self) -> usize {
        let Some(set) = self.own_voter_set() else { return 0 };
        let voters = set.voters.len();
        (voters + 1 - set.majority()).min(voters - 1)
    }

    /// Returns whether the check has not passed, or is repeated because this replica lacks entries.
    pub(crate) fn start_check_continues(&self) -> bool {
        !self.start_check.passed || self.log.last() < self.start_check.min_position
    }

    pub(crate) fn tick_start_check(&mut self) {
        if !self.start_check_continues() || self.now_ms < self.start_check.retry_ms {
            return;
        }
        self.start_check.retry_ms = self.now_ms + self.config.heartbeat_ms;
        if self.complete_start_check() {
            return;
        }
        let peers: Vec<_> =
            self.own_voter_set().map_or_else(Vec::new, |set| set.voters.keys().cloned().collect());
        for peer in peers {
            if peer != self.config.name {
                self.send(&peer, Message::PositionRequest { check_id: self.start_check.check_id });
            }
        }
    }

    pub(crate) fn on_position_request(&mut self, from: &InstanceId, disk: DiskId, check_id: u64) {
        let remembered = self.acknowledged.get(from).filter(|(known, _)| *known == disk);
        let acknowledged = remembered.map_or(Position::default(), |(_, position)| *position);
        self.reset_match(from);
        // Sent once the last entry is durable: the reply must stay true after a crash.
        self.send_after_sync(from, Message::PositionReply { check_id, last: self.log.last(), acknowledged });
    }

    pub(crate) fn on_position_reply(
        &mut self,
        from: &InstanceId,
        disk: DiskId,
        term: u64,
        check_id: u64,
        last: Position,
        acknowledged: Position,
    ) {
        let asked = self.own_voter_set().is_some_and(|set| set.has_voter(from, disk));
        if !self.start_check_continues() || check_id != self.start_check.check_id || !asked {
            return;
        }
        if term > self.term {
            self.enter_term(term);
        }
        self.start_check.outdated |= acknowledged > self.log.last();
        self.start_check.acknowledged = self.start_check.acknowledged.max(acknowledged);
        self.start_check.replies.insert(from.clone(), last);
        self.complete_start_check();
    }

    /// Passes the check once enough of the voters have replied, and prepares the next one. Returns whether it passed.
    fn complete_start_check(&mut self) -> bool {
        let peers = self.own_voter_set().map(|set| set.voters.clone()).unwrap_or_default();
        let required = self.required_replies();
        let check = &mut self.start_check;
        check.replies.retain(|peer, _| peers.contains_key(peer));
        if check.replies.len() < required {
            return false;
        }
        let last = mem::take(&mut check.replies).into_values().max().unwrap_or_default();
        check.passed = true;
        check.min_position = last.max(check.acknowledged);
        check.check_id = self.rng.next_u64();
        check.retry_ms = self.now_ms + self.config.election_timeout_ms;
        true
    }

    /// Returns the position of the last durable entry.
    pub(crate) fn synced_position(&self) -> Position {
        let index = self.writes.synced_index;
        self.log.term_at(index).map_or(Position::default(), |term| Position { term, index })
    }

    /// Returns whether this replica may grant votes.
    pub(crate) fn may_vote(&self) -> bool {
        self.is_voter() && self.start_check.passed && self.writes.formatted
    }
}
