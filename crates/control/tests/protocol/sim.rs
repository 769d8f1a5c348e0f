//! Replicas on simulated disks and a simulated network, with invariants that are checked after each step.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use daisysill_control::{
    Input, Output, ProposalFailure, Replica, ReplicaConfig, Role, VoterChange, WriteBatch,
    command::{Claim, ClaimKey, ClaimOutcome, Command, FinishClaim, Reply, SetDrain},
    entry::Entry,
};
use daisysill_core::{
    chart::{Chart, VOTER_CHART},
    ids::InstanceId,
};

use crate::disk::Disk;

/// Number of voters that leaders maintain where a test has them do so.
pub(crate) const TARGET_VOTERS: usize = 3;

pub(crate) struct Node {
    pub(crate) replica: Option<Replica>,
    pub(crate) disk: Disk,
    /// Earlier copy of the disk.
    pub(crate) backup: Option<Disk>,
    /// Batch issued and not synced.
    pub(crate) pending: Option<WriteBatch>,
    pub(crate) commit_index: u64,
    pub(crate) config_version: u64,
    /// Last seen state of the chart of voters; `None` before the first step after a start.
    pub(crate) voter_state: Option<&'static str>,
}

/// A simulated cluster; its random choices depend only on the seed.
pub(crate) struct Sim {
    pub(crate) nodes: BTreeMap<InstanceId, Node>,
    pub(crate) now_ms: u64,
    /// Messages in transit: sender, recipient and content.
    pub(crate) network: Vec<(InstanceId, InstanceId, Vec<u8>)>,
    /// Pairs of sender and recipient whose messages are lost.
    pub(crate) blocked: BTreeSet<(InstanceId, InstanceId)>,
    pub(crate) loss_percent: u64,
    pub(crate) replies: BTreeMap<u64, Result<Reply, ProposalFailure>>,
    random: u64,
    next_proposal_id: u64,
    /// Entries applied by any node, by index.
    pub(crate) committed: BTreeMap<u64, Arc<Entry>>,
    /// Leaders by term.
    pub(crate) leaders: BTreeMap<u64, InstanceId>,
    /// Acknowledged changes, with their index.
    pub(crate) acknowledged: BTreeMap<String, u64>,
    /// Changes by proposal.
    pub(crate) proposed: BTreeMap<u64, String>,
    /// Attempts that were granted a claim and have not ended, by key.
    pub(crate) granted_attempts: BTreeMap<String, BTreeSet<String>>,
    /// Keys and attempts by proposal.
    pub(crate) claims: BTreeMap<u64, (String, String)>,
    /// Attempts that ended without running their request; a later grant has no effect.
    pub(crate) ended_attempts: BTreeSet<String>,
    pub(crate) snapshot_entries: u64,
    pub(crate) message_bytes: usize,
    /// Nodes whose disk the operator trusts.
    trusted: BTreeSet<InstanceId>,
    /// The batch that each node is syncing slowly, and when it was first seen.
    issued_ms: BTreeMap<InstanceId, (u64, u64)>,
    /// Nodes whose disk refuses writes.
    full_disks: BTreeSet<InstanceId>,
    pub(crate) voter_chart: Chart,
}

impl Sim {
    pub(crate) fn new(names: &[&str], seed: u64) -> Self {
        let mut sim = Self {
            nodes: BTreeMap::new(),
            now_ms: 0,
            network: Vec::new(),
            blocked: BTreeSet::new(),
            loss_percent: 0,
            replies: BTreeMap::new(),
            random: seed,
            next_proposal_id: 1,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            proposed: BTreeMap::new(),
            granted_attempts: BTreeMap::new(),
            claims: BTreeMap::new(),
            ended_attempts: BTreeSet::new(),
            snapshot_entries: 20,
            // One entry per message, so that a message boundary falls between any two entries.
            message_bytes: 300,
            trusted: BTreeSet::new(),
            issued_ms: BTreeMap::new(),
            full_disks: BTreeSet::new(),
            voter_chart: Chart::parse(VOTER_CHART).unwrap(),
        };
        for name in names {
            sim.add(name);
        }
        sim
    }

    /// Returns a random number below `bound`.
    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % bound
    }

    pub(crate) fn add(&mut self, name: &str) {
        let node = Node {
            replica: None,
            disk: Disk::default(),
            backup: None,
            pending: None,
            commit_index: 0,
            config_version: 0,
            voter_state: None,
        };
        self.nodes.insert(name.into(), node);
        self.start(&name.into());
    }

    pub(crate) fn start(&mut self, name: &InstanceId) {
        let seed = self.random_below(1 << 31) << 31 | self.random_below(1 << 31);
        let (now_ms, snapshot_entries) = (self.now_ms, self.snapshot_entries);
        let message_bytes = self.message_bytes;
        let node = self.nodes.get_mut(name).unwrap();
        let mut config = ReplicaConfig::new(name.clone());
        config.trust_disk = self.trusted.contains(name);
        config.snapshot_entries = snapshot_entries;
        config.retained_entries = 5;
        config.message_bytes = message_bytes;
        config.target_voters = Some(TARGET_VOTERS);
        node.replica = Some(Replica::new(config, node.disk.recovered.clone(), now_ms, seed));
        node.commit_index = 0;
        node.config_version = 0;
        node.voter_state = None;
        self.step(name, Input::Tick);
    }

    /// Stops a node; the batch that it has not synced is lost or survives, at random.
    pub(crate) fn crash(&mut self, name: &InstanceId) {
        let survives = self.random_below(2) == 0;
        let node = self.nodes.get_mut(name).unwrap();
        node.replica = None;
        if let Some(batch) = node.pending.take().filter(|_| survives) {
            node.disk.write(&batch);
        }
    }

    pub(crate) fn sync(&mut self, name: &InstanceId) {
        let node = self.nodes.get_mut(name).unwrap();
        let Some(batch) = node.pending.take() else { return };
        if self.full_disks.contains(name) {
            self.step(name, Input::BatchFailed { batch_id: batch.id });
        } else {
            node.disk.write(&batch);
            self.step(name, Input::BatchSynced { batch_id: batch.id });
        }
    }

    /// Restarts a node with the setting that its disk is trusted, so that it skips the start check.
    pub(crate) fn trust_disk(&mut self, name: &str) {
        self.trusted.insert(name.into());
        self.crash(&name.into());
        self.start(&name.into());
    }

    /// Lets the disk of a node refuse all writes.
    pub(crate) fn fill_disk(&mut self, name: &InstanceId) {
        self.full_disks.insert(name.clone());
    }

    /// Lets the disk of a node accept writes again; a halted replica goes on from what is stored.
    pub(crate) fn empty_disk(&mut self, name: &InstanceId) {
        self.full_disks.remove(name);
        let seed = self.random_below(1 << 31) << 31 | self.random_below(1 << 31);
        let now_ms = self.now_ms;
        let node = self.nodes.get_mut(name).unwrap();
        let halted = node.replica.take_if(|replica| replica.status().role == Role::Halted);
        let Some(halted) = halted else { return };
        node.replica = Some(halted.restarted(node.disk.recovered.clone(), now_ms, seed));
        (node.commit_index, node.config_version) = (0, 0);
        self.step(name, Input::Tick);
    }

    pub(crate) fn step(&mut self, name: &InstanceId, input: Input) {
        let now_ms = self.now_ms;
        let node = self.nodes.get_mut(name).unwrap();
        let Some(replica) = &mut node.replica else { return };
        let mut outputs = Vec::new();
        replica.step(now_ms, input, &mut outputs);
        for output in outputs {
            self.handle_output(name, output);
        }
        self.check(name);
    }

    fn handle_output(&mut self, name: &InstanceId, output: Output) {
        match output {
            Output::Send { to, message } => self.network.push((name.clone(), to, message)),
            Output::Write(batch) => {
                let pending = &mut self.nodes.get_mut(name).unwrap().pending;
                assert!(pending.is_none(), "two batches in flight");
                *pending = Some(batch);
            }
            Output::Reply { proposal_id, result } => self.record_reply(proposal_id, result),
            Output::ConfigChanged(view) => {
                let reported = &mut self.nodes.get_mut(name).unwrap().config_version;
                assert!(view.version.0 > *reported, "configuration version went back at {name}");
                *reported = view.version.0;
            }
        }
    }

    /// Advances time and ticks the replicas with a timer due.
    pub(crate) fn pass_time(&mut self, ms: u64) {
        self.now_ms += ms;
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        for name in names {
            let due = self.nodes[&name].replica.as_ref().is_some_and(|r| r.next_timer_ms() <= self.now_ms);
            if due {
                self.step(&name, Input::Tick);
            }
        }
        self.check_leases();
    }

    /// Delivers a random message; it may be lost or duplicated.
    pub(crate) fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let at = usize::try_from(self.random_below(self.network.len() as u64)).unwrap();
        let roll = self.random_below(100);
        let (from, to, message) =
            if roll < self.loss_percent { self.network[at].clone() } else { self.network.swap_remove(at) };
        if self.blocked.contains(&(from.clone(), to.clone())) || !self.nodes.contains_key(&to) {
            return;
        }
        if roll >= self.loss_percent && roll < 2 * self.loss_percent {
            return;
        }
        self.step(&to, Input::Receive { from, message });
    }

    /// Runs for `ms`, delivering messages in order and syncing at once. Blocked pairs stay blocked.
    pub(crate) fn run_without_faults(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.pass_time(10);
            for _ in 0..6 {
                for (from, to, message) in std::mem::take(&mut self.network) {
                    if !self.blocked.contains(&(from.clone(), to.clone())) && self.nodes.contains_key(&to) {
                        self.step(&to, Input::Receive { from, message });
                    }
                }
                let names: Vec<_> = self.nodes.keys().cloned().collect();
                for name in &names {
                    self.sync(name);
                }
                if self.network.is_empty() {
                    break;
                }
            }
        }
    }

    /// Runs for `ms`, delivering messages in order; each batch is synced `sync_ms` of its node after it was issued, as seen
    /// at steps of 10 ms.
    pub(crate) fn run_with_slow_syncs(&mut self, ms: u64, sync_ms: impl Fn(&InstanceId) -> u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.pass_time(10);
            for (from, to, message) in std::mem::take(&mut self.network) {
                self.step(&to, Input::Receive { from, message });
            }
            let names: Vec<_> = self.nodes.keys().cloned().collect();
            for name in &names {
                let Some(batch) = &self.nodes[name].pending else {
                    self.issued_ms.remove(name);
                    continue;
                };
                let batch_id = batch.id;
                let issued = self.issued_ms.entry(name.clone()).or_insert((batch_id, self.now_ms));
                if issued.0 != batch_id {
                    *issued = (batch_id, self.now_ms);
                }
                if self.now_ms >= issued.1 + sync_ms(name) {
                    self.sync(name);
                }
            }
        }
    }

    pub(crate) fn bootstrap(&mut self, voters: &[&str]) {
        let voters: Vec<InstanceId> = voters.iter().map(|name| (*name).into()).collect();
        for name in &voters {
            self.step(name, Input::Bootstrap { voters: voters.clone() });
        }
        self.run_without_faults(1_000);
        assert!(self.leader().is_some(), "no leader after bootstrap");
    }

    pub(crate) fn leader(&self) -> Option<InstanceId> {
        let leads = |node: &Node| {
            let status = node.replica.as_ref()?.status();
            (status.role == Role::Leader).then_some(status.term)
        };
        let leaders = self.nodes.iter().filter_map(|(name, node)| Some((leads(node)?, name.clone())));
        leaders.max().map(|(_, name)| name)
    }

    pub(crate) fn propose_drain(&mut self, to: &InstanceId, change: &str) -> u64 {
        let proposal_id = self.proposal_id();
        self.proposed.insert(proposal_id, change.to_owned());
        let drain = SetDrain { change: change.into(), upstream: change.into(), draining: true };
        self.step(to, Input::Propose { proposal_id, command: Command::SetDrain(drain) });
        proposal_id
    }

    /// Proposes the claim of a new attempt.
    pub(crate) fn propose_claim(&mut self, to: &InstanceId, key: &str) -> u64 {
        let attempt = format!("attempt-{}", self.next_proposal_id);
        self.propose_claim_of(to, key, attempt)
    }

    /// Proposes a claim once more, as after a lost reply.
    pub(crate) fn repeat_claim(&mut self, to: &InstanceId, proposal_id: u64) {
        let (key, attempt) = self.claims[&proposal_id].clone();
        self.propose_claim_of(to, &key, attempt);
    }

    fn propose_claim_of(&mut self, to: &InstanceId, key: &str, attempt: String) -> u64 {
        let proposal_id = self.proposal_id();
        self.claims.insert(proposal_id, (key.to_owned(), attempt.clone()));
        let claim = Claim {
            key: claim_key(key),
            body_digest: "d".into(),
            attempt: attempt.into(),
            holder: to.clone(),
            outcome_timeout_ms: 1_500,
            retention_ms: u64::MAX,
        };
        self.step(to, Input::Propose { proposal_id, command: Command::Claim(claim) });
        proposal_id
    }

    /// Ends the attempt of a claim without running its request, whether the claim was granted or not.
    pub(crate) fn end_attempt(&mut self, to: &InstanceId, proposal_id: u64) {
        let (key, attempt) = self.claims[&proposal_id].clone();
        self.granted_attempts.entry(key.clone()).or_default().remove(&attempt);
        self.ended_attempts.insert(attempt.clone());
        let finish =
            FinishClaim { key: claim_key(&key), attempt: attempt.into(), outcome: ClaimOutcome::NotRun };
        let proposal_id = self.proposal_id();
        self.step(to, Input::Propose { proposal_id, command: Command::FinishClaim(finish) });
    }

    pub(crate) fn change_voters(&mut self, to: &InstanceId, change: VoterChange) -> u64 {
        let proposal_id = self.proposal_id();
        self.step(to, Input::ChangeVoters { proposal_id, change });
        proposal_id
    }

    fn proposal_id(&mut self) -> u64 {
        self.next_proposal_id += 1;
        self.next_proposal_id
    }

    pub(crate) fn run_until_leader(&mut self) {
        let end_ms = self.now_ms + 6_000;
        self.run_without_faults(300);
        let mut before = self.leader();
        // A removed leader leads until its removal is committed, so the same leader has to be seen twice.
        while self.now_ms < end_ms {
            self.run_without_faults(300);
            let leader = self.leader();
            if leader.is_some() && leader == before {
                return;
            }
            before = leader;
        }
    }

    /// Does what an operator does when too few peers can reply to a start check: unless a leader has its lease,
    /// restarts the voters other than `replaced` with trusted disks.
    pub(crate) fn trust_disks_except(&mut self, replaced: &InstanceId) {
        self.blocked.clear();
        self.loss_percent = 0;
        let names: Vec<_> = self.nodes.keys().filter(|name| *name != replaced).cloned().collect();
        for name in names.iter().filter(|name| self.nodes[*name].replica.is_none()).collect::<Vec<_>>() {
            self.start(name);
        }
        self.run_until_leader();
        // A leader without a majority keeps its role until it notices, but loses its lease.
        let has_lease = |name: InstanceId| {
            let until_ms = self.nodes[&name].replica.as_ref().and_then(|r| r.status().leader_until_ms);
            until_ms.is_some_and(|until_ms| until_ms > self.now_ms)
        };
        if self.leader().is_some_and(has_lease) {
            return;
        }
        for name in &names {
            self.crash(name);
            self.trusted.insert(name.clone());
            self.start(name);
        }
    }
}

fn claim_key(key: &str) -> ClaimKey {
    ClaimKey { customer: "c".into(), service: "s".into(), key: key.into() }
}
