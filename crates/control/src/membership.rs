//! Voter changes, one at a time, and the forming of a new cluster.

use std::collections::{BTreeMap, BTreeSet};

use daisysill_core::ids::InstanceId;

use crate::{
    api::{ProposalFailure, VoterChange, VoterRefusal},
    command::Reply,
    entry::{DiskId, Payload, VoterSet},
    message::Message,
    replica::{Replica, RoleState},
};

/// A cluster that is being formed.
#[derive(Debug)]
pub(crate) struct Bootstrap {
    voters: BTreeSet<InstanceId>,
    /// Disks of the voters that have reported an empty folder.
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
            // A resent change is already in effect.
            self.outputs.push(crate::api::Output::Reply { proposal_id, result: Ok(Reply::Done) });
            return;
        }
        let index = self.append(Payload::Voters(voters));
        self.track_proposal(index, proposal_id);
    }

    /// Returns why a leader would refuse a change now; `None` if it would not, or if this replica does not lead.
    pub fn voter_refusal(&self, change: &VoterChange) -> Option<VoterRefusal> {
        let leads = matches!(self.role_state, RoleState::Leader(_));
        self.voters_after(change).err().filter(|_| leads)
    }

    /// Returns the voter set after a change.
    fn voters_after(&self, change: &VoterChange) -> Result<VoterSet, VoterRefusal> {
        if self.voters_index > self.commit_index || !self.has_committed_in_term() {
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

    /// Returns the disk of a learner that holds everything committed, synced.
    fn caught_up_disk(&self, name: &InstanceId) -> Option<DiskId> {
        let RoleState::Leader(leadership) = &self.role_state else { return None };
        let progress = leadership.peers.get(name)?;
        progress.disk.filter(|_| progress.match_index >= self.commit_index)
    }

    fn is_uninitialized(&self) -> bool {
        self.term == 0 && self.log.last().index == 0
    }

    /// Starts to form a cluster; only the first voter by name does.
    pub(crate) fn start_bootstrap(&mut self, voters: Vec<InstanceId>) {
        let voters: BTreeSet<InstanceId> = voters.into_iter().collect();
        if self.is_uninitialized() && voters.first() == Some(&self.config.name) {
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
            // A cluster exists, so this folder was lost; the operator replaces the voter.
            self.bootstrap = None;
        }
        self.form_if_ready();
    }

    /// Writes the initial voter set once every voter has reported an empty folder.
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
