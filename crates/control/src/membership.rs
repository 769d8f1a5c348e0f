//! Changes of the voter set, one at a time, and the bootstrap of a new cluster.

use std::collections::{BTreeMap, BTreeSet};

use daisysill_core::ids::InstanceId;

use crate::{
    api::{ProposalFailure, VoterChange, VoterRefusal},
    command::Reply,
    entry::{DiskId, Payload, Position, VoterSet},
    message::Message,
    replica::{Replica, RoleState},
};

/// A bootstrap in progress at the first voter by name, which collects the disks of all first voters.
#[derive(Debug)]
pub(crate) struct Bootstrap {
    voters: BTreeSet<InstanceId>,
    /// Disks of the voters that have reported an empty data folder.
    disks: BTreeMap<InstanceId, DiskId>,
    pub(crate) retry_ms: u64,
}

impl Replica {
    pub(crate) fn change_voters(&mut self, proposal_id: u64, change: &VoterChange) {
        if !matches!(self.role_state, RoleState::Leader(_)) {
            return self.fail_proposal(proposal_id, ProposalFailure::NotLeader(self.leader.clone()));
        }
        let Ok(voters) = self.voters_after(change) else {
            return self.fail_proposal(proposal_id, ProposalFailure::NotAppended);
        };
        if voters == self.voters {
            // The change is in effect already, for example because it is a resend.
            self.outputs.push(crate::api::Output::Reply { proposal_id, result: Ok(Reply::Done) });
            return;
        }
        let index = self.append(Payload::Voters(voters));
        self.track_proposal(index, proposal_id);
    }

    /// Returns why this leader would refuse a change now; `None` if it would accept it, or if this replica does not
    /// lead.
    pub fn voter_refusal(&self, change: &VoterChange) -> Option<VoterRefusal> {
        let leads = matches!(self.role_state, RoleState::Leader(_));
        self.voters_after(change).err().filter(|_| leads)
    }

    /// Returns the voter set that a change leads to.
    fn voters_after(&self, change: &VoterChange) -> Result<VoterSet, VoterRefusal> {
        if self.voters_position.index > self.commit_index || !self.has_committed_in_term() {
            return Err(VoterRefusal::ChangeInProgress);
        }
        let mut voters = self.voters.clone();
        match change {
            VoterChange::AddLearner(name) => {
                if !voters.voters.contains_key(name) {
                    voters.learners.insert(name.clone());
                }
            }
            VoterChange::Promote(name) => {
                if voters.voters.contains_key(name) {
                    return Ok(voters);
                }
                if !voters.learners.remove(name) {
                    return Err(VoterRefusal::NotALearner);
                }
                let disk = self.caught_up_disk(name).ok_or(VoterRefusal::NotCaughtUp)?;
                voters.voters.insert(name.clone(), disk);
            }
            VoterChange::Remove(name) => {
                voters.learners.remove(name);
                voters.voters.remove(name);
            }
        }
        if voters.voters.is_empty() { Err(VoterRefusal::LastVoter) } else { Ok(voters) }
    }

    /// Returns the disk of a peer that has synced every committed entry.
    fn caught_up_disk(&self, name: &InstanceId) -> Option<DiskId> {
        let RoleState::Leader(leadership) = &self.role_state else { return None };
        let progress = leadership.peers.get(name)?;
        progress.disk.filter(|_| progress.match_index >= self.commit_index)
    }

    /// Notifies a replica that acts as a voter if it is none in the committed voter set. Its requests are processed all the
    /// same: it may have become a voter since, by an entry that this replica does not know to be committed.
    pub(crate) fn notify_if_not_a_voter(&mut self, peer: &InstanceId, disk: DiskId) {
        let is_voter = |voters: &VoterSet| voters.has_voter(peer, disk);
        if self.committed_voters().is_none_or(is_voter) || is_voter(&self.voters) {
            return;
        }
        let Some(term) = self.log.term_at(self.commit_index) else { return };
        let committed = Position { term, index: self.commit_index };
        self.send(peer, Message::NotAVoter { committed });
    }

    /// Stops acting as a voter if the own voter set is older than a committed one without this replica. No set between
    /// the two can be in force: the committed position succeeds or excludes every entry before it.
    pub(crate) fn on_not_a_voter(&mut self, committed: Position) {
        if committed <= self.voters_position || !self.is_voter() {
            return;
        }
        self.not_a_voter_at = Some(committed);
        // A replica that is no voter takes what a leader sends without a check.
        self.start_check.passed = true;
        self.become_follower();
    }

    pub(crate) fn is_uninitialized(&self) -> bool {
        self.term == 0 && self.log.last().index == 0
    }

    /// Starts the bootstrap of a cluster if this is the first voter by name and has neither a term nor a log.
    pub(crate) fn start_bootstrap(&mut self, voters: Vec<InstanceId>) {
        let voters: BTreeSet<InstanceId> = voters.into_iter().collect();
        if self.may_form && self.is_uninitialized() && voters.first() == Some(&self.config.name) {
            let retry_ms = self.now_ms;
            self.bootstrap = Some(Bootstrap { voters, disks: BTreeMap::new(), retry_ms });
            self.tick_bootstrap();
        }
    }

    pub(crate) fn tick_bootstrap(&mut self) {
        let Some(bootstrap) = &mut self.bootstrap else { return };
        if self.now_ms < bootstrap.retry_ms {
            return;
        }
        bootstrap.retry_ms = self.now_ms + self.config.heartbeat_ms;
        if !self.writes.formatted {
            return;
        }
        bootstrap.disks.insert(self.config.name.clone(), self.disk);
        let others: Vec<_> =
            bootstrap.voters.iter().filter(|name| **name != self.config.name).cloned().collect();
        for peer in others {
            self.send(&peer, Message::BootstrapProbe);
        }
        self.form_if_ready();
    }

    pub(crate) fn on_bootstrap_probe(&mut self, from: &InstanceId) {
        let empty = self.is_uninitialized();
        self.send(from, Message::BootstrapReply { empty });
    }

    pub(crate) fn on_bootstrap_reply(&mut self, from: &InstanceId, disk: DiskId, empty: bool) {
        let Some(bootstrap) = &mut self.bootstrap else { return };
        if !bootstrap.voters.contains(from) {
            return;
        }
        if empty {
            bootstrap.disks.insert(from.clone(), disk);
        } else {
            // A cluster exists, so this voter has lost its data folder; the operator has to replace it.
            self.bootstrap = None;
        }
        self.form_if_ready();
    }

    /// Appends the initial voter set and leads, once every first voter has reported an empty data folder.
    fn form_if_ready(&mut self) {
        let Some(bootstrap) = &self.bootstrap else { return };
        if !self.is_uninitialized() || bootstrap.disks.len() < bootstrap.voters.len() {
            return;
        }
        let voters = VoterSet { voters: bootstrap.disks.clone(), learners: BTreeSet::new() };
        self.bootstrap = None;
        self.enter_term(1);
        self.voted_for = Some(self.config.name.clone());
        self.append(Payload::Voters(voters));
        self.become_leader();
    }
}
