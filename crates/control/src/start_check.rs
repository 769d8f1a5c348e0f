//! The check of a started voter with its peers, which finds a disk that is older than what it acknowledged.

use std::collections::BTreeMap;

use daisysill_core::ids::InstanceId;

use crate::{
    entry::{DiskId, Position},
    message::Message,
    replica::Replica,
};

/// What the peers have told a started voter.
#[derive(Debug, Default)]
pub(crate) struct StartCheck {
    /// Whether this replica may acknowledge and vote. It is cleared when the replica becomes a voter, also by
    /// an entry that arrives after the start: an older disk may stem from before the admission.
    pub(crate) passed: bool,
    /// Whether no check is needed: the folder was empty, or the operator vouches for it.
    pub(crate) exempt: bool,
    /// Identifies the check, so that replies to an earlier start are not counted.
    pub(crate) check: u64,
    pub(crate) retry_ms: u64,
    /// Nobody behind this position gets this replica's vote, and it does not campaign before it reaches it.
    pub(crate) floor: Position,
    /// Whether a peer remembers a higher acknowledgement than the disk holds.
    pub(crate) outdated: bool,
    replies: BTreeMap<InstanceId, Position>,
}

impl Replica {
    /// Returns how many peers must answer. An entry that this disk may have acknowledged was committed by a
    /// majority; leaving this voter out, so many of the others include at least one that holds it.
    fn peers_to_ask(&self) -> usize {
        let Some(set) = self.own_voter_set() else { return 0 };
        let voters = set.voters.len();
        (voters + 1 - set.majority()).min(voters - 1)
    }

    pub(crate) fn tick_start_check(&mut self) {
        if self.start_check.passed || self.now_ms < self.start_check.retry_ms {
            return;
        }
        self.start_check.retry_ms = self.now_ms + self.config.heartbeat_ms;
        if self.start_check.replies.len() >= self.peers_to_ask() {
            self.start_check.passed = true;
            return;
        }
        let peers: Vec<_> =
            self.own_voter_set().map_or_else(Vec::new, |set| set.voters.keys().cloned().collect());
        for peer in peers {
            if peer != self.config.name {
                self.send(&peer, Message::AskPosition { check: self.start_check.check });
            }
        }
    }

    pub(crate) fn on_ask_position(&mut self, from: &InstanceId, disk: DiskId, check: u64) {
        let remembered = self.acknowledged.get(from).filter(|(known, _)| *known == disk);
        let acknowledged = remembered.map_or(Position::default(), |(_, position)| *position);
        self.forget_progress(from);
        // The last entry counts once it is durable: an answer must not be forgotten.
        self.send_synced(from, Message::PositionReply { check, last: self.log.last(), acknowledged });
    }

    pub(crate) fn on_position_reply(
        &mut self,
        from: &InstanceId,
        disk: DiskId,
        term: u64,
        check: u64,
        last: Position,
        acknowledged: Position,
    ) {
        let asked = self.own_voter_set().is_some_and(|set| set.counts(from, disk));
        if self.start_check.passed || check != self.start_check.check || !asked {
            return;
        }
        if term > self.term {
            self.enter_term(term);
        }
        self.start_check.outdated |= acknowledged > self.log.last();
        self.start_check.floor = self.start_check.floor.max(last).max(acknowledged);
        self.start_check.replies.insert(from.clone(), last);
        if self.start_check.replies.len() >= self.peers_to_ask() {
            self.start_check.passed = true;
        }
    }

    /// Returns the last durable position.
    pub(crate) fn own_position(&self) -> Position {
        let index = self.writes.synced_index;
        self.log.term_at(index).map_or(Position::default(), |term| Position { term, index })
    }

    /// Returns whether this replica may grant votes.
    pub(crate) fn may_vote(&self) -> bool {
        self.is_voter() && self.start_check.passed && self.writes.formatted
    }
}
