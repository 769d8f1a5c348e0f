//! What a simulated cluster must keep to: checked with each reply, after each step, and after all faults have ended.

use std::{collections::BTreeSet, sync::Arc};

use daisysill_control::{
    ProposalFailure, ReplicaStatus, Role,
    command::{Command, Reply},
    entry::Payload,
};
use daisysill_core::ids::InstanceId;

use crate::sim::Sim;

/// Returns the state of a replica in the chart of voters.
fn voter_state(name: &InstanceId, status: &ReplicaStatus) -> &'static str {
    match status.role {
        Role::Halted => "halted",
        _ if status.waits_for_peers => "checking",
        Role::Leader | Role::Candidate | Role::Follower => "voter",
        Role::Learner if status.voters.learners.contains(name) => "learner",
        Role::Learner => "outside",
    }
}

impl Sim {
    pub(crate) fn record_reply(&mut self, proposal_id: u64, result: Result<Reply, ProposalFailure>) {
        if let (Ok(Reply::Accepted(version)), Some(change)) = (&result, self.proposed.get(&proposal_id)) {
            let first = self.acknowledged.entry(change.clone()).or_insert(version.0);
            assert_eq!(*first, version.0, "a change took effect twice");
        }
        let claim = self.claims.get(&proposal_id);
        let granted = claim.filter(|(_, attempt)| {
            matches!(result, Ok(Reply::Claimed)) && !self.ended_attempts.contains(attempt)
        });
        if let Some((key, attempt)) = granted {
            let attempts = self.granted_attempts.entry(key.clone()).or_default();
            attempts.insert(attempt.clone());
            assert_eq!(attempts.len(), 1, "claim {key} granted to two attempts");
        }
        assert!(self.replies.insert(proposal_id, result).is_none(), "proposal {proposal_id} got two replies");
    }

    /// Checks that a term has one leader, committed entries agree, and the commit index does not go back.
    pub(crate) fn check(&mut self, name: &InstanceId) {
        let node = self.nodes.get_mut(name).unwrap();
        let replica = node.replica.as_ref().unwrap();
        let status = replica.status();
        assert!(status.commit_index >= node.commit_index, "commit index went back at {name}");
        node.commit_index = status.commit_index;
        let state = voter_state(name, &status);
        let before = node.voter_state.replace(state).filter(|before| *before != state);
        if let Some(before) = before {
            let mut declared = self.voter_chart.transitions();
            assert!(
                declared.any(|(from, _, to)| (from, to) == (before, state)),
                "{name}: {before} to {state}"
            );
        }
        if status.role == Role::Leader {
            let leader = self.leaders.entry(status.term).or_insert_with(|| name.clone());
            assert_eq!(leader, name, "two leaders in term {}", status.term);
        }
        // An installed snapshot is applied in memory before it replaces the log on the disk. Until then the synced
        // index is 0, nothing is reported or acknowledged, and the disk still holds the old log.
        let applied = status.applied_index.min(status.synced_index);
        let durable = node.disk.recovered.entries.iter();
        for entry in durable.filter(|entry| entry.position.index <= applied) {
            let first = self.committed.entry(entry.position.index).or_insert_with(|| Arc::clone(entry));
            assert_eq!(first, entry, "{name} applied another entry at {}", entry.position.index);
        }
    }

    /// Checks that at most one replica has a leader lease.
    pub(crate) fn check_leases(&self) {
        let lease_ends =
            self.nodes.values().filter_map(|node| node.replica.as_ref()?.status().leader_until_ms);
        assert!(lease_ends.filter(|until| *until > self.now_ms).count() <= 1, "two leader leases at a time");
    }

    /// Checks that no claim took effect whose proposal failed for certain each time. Its caller is told that the request was not
    /// run and that no majority has committed it.
    fn check_refused_claims(&self) {
        let mut unclear = BTreeSet::new();
        let mut refused = BTreeSet::new();
        for (proposal_id, (_, attempt)) in &self.claims {
            match self.replies.get(proposal_id) {
                Some(Err(ProposalFailure::NotLeader(_) | ProposalFailure::NotAppended)) => {
                    refused.insert(attempt.as_str());
                }
                // A crashed node gives no reply.
                Some(_) | None => drop(unclear.insert(attempt.as_str())),
            }
        }
        for entry in self.committed.values() {
            let Payload::Command(Command::Claim(claim)) = &entry.payload else { continue };
            let attempt = claim.attempt.as_str();
            let is_refused = refused.contains(attempt) && !unclear.contains(attempt);
            assert!(!is_refused, "{attempt} was refused, but its claim is committed");
        }
    }

    fn describe(&self) -> String {
        let statuses = self.nodes.values().filter_map(|node| Some(node.replica.as_ref()?.status()));
        format!("{:#?}", statuses.collect::<Vec<_>>())
    }

    /// Ends all faults, and checks that a leader is elected, nothing acknowledged is lost and the states agree.
    pub(crate) fn heal_and_check(&mut self) {
        self.blocked.clear();
        self.loss_percent = 0;
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        for name in &names {
            if self.nodes[name].replica.is_none() {
                self.start(name);
            }
        }
        self.run_until_leader();
        let leader =
            self.leader().unwrap_or_else(|| panic!("no leader after all faults ended: {}", self.describe()));
        self.propose_drain(&leader, "final");
        self.run_without_faults(400);
        let replica = self.nodes[&leader].replica.as_ref().unwrap();
        let state = replica.state();
        assert!(state.config.draining.contains(&"final".into()), "no progress after all faults ended");
        for (change, version) in &self.acknowledged {
            let kept = state.changes.get(&change.as_str().into());
            assert_eq!(
                kept.map(|kept| kept.version.0),
                Some(*version),
                "acknowledged change {change} is lost"
            );
        }
        self.check_refused_claims();
        for (key, attempts) in &self.granted_attempts {
            let Some(attempt) = attempts.first() else { continue };
            let kept = state.claims.iter().find(|(claim, _)| claim.key == *key).map(|(_, record)| record);
            let kept = kept.map(|record| record.attempt.as_str());
            assert_eq!(kept, Some(attempt.as_str()), "acknowledged claim {key} is lost");
        }
        for member in replica.status().voters.members() {
            let Some(other) = self.nodes[member].replica.as_ref() else { continue };
            assert_eq!(other.state(), state, "{member} differs from {leader}");
        }
    }
}
