//! The task that owns the replica of a node with a data folder.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use daisysill_control::{
    Input, Output, ProposalFailure, Replica, ReplicaStatus, Role, VoterChange,
    command::{Command, Reply},
};
use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::ForwardError;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep_until},
};

use crate::{
    clock::BootInstant,
    metrics::ClusterMetrics,
    outbox::Outbox,
    storage_thread::{StorageThread, WriteDone},
    view_store::ViewStore,
};

/// Inputs that wait for the driver at most.
pub(crate) const INPUT_QUEUE: usize = 4_096;
/// Inputs handled before their outputs, so that proposals that wait share a write and a message.
const INPUTS_PER_ROUND: usize = 256;
/// A leader that leaves waits this long for its proposals in progress.
const SETTLE_LIMIT: Duration = Duration::from_secs(1);

/// The answer to a proposal.
pub(crate) type ProposalResult = Result<Reply, ForwardError>;

/// What the driver is told.
#[derive(Debug)]
pub(crate) enum DriverInput {
    /// Messages of another replica.
    Receive {
        /// The other node.
        from: InstanceId,
        /// The messages.
        messages: Vec<Vec<u8>>,
    },
    /// A command is to be committed.
    Propose {
        /// The command.
        command: Command,
        /// Gets the answer; dropped unanswered if the outcome is uncertain.
        answer: oneshot::Sender<ProposalResult>,
    },
    /// The voters are to be changed.
    ChangeVoters {
        /// The change.
        change: VoterChange,
        /// Gets the answer, as for a command.
        answer: oneshot::Sender<ProposalResult>,
    },
    /// The leader has stopped.
    LeaderStopped {
        /// The node that says so; ignored unless it is the leader.
        from: InstanceId,
        /// The term that it led; a late message about an earlier one is ignored.
        term: u64,
        /// Whether this voter campaigns at once.
        campaign: bool,
    },
    /// The node leaves: the replica stops once its proposals are settled.
    Leave {
        /// Told when the replica has stopped.
        stopped: oneshot::Sender<()>,
    },
}

/// What the rest of the node sees of the replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaView {
    /// The status; `None` on a node without a replica and after the replica has left.
    pub(crate) status: Option<ReplicaStatus>,
}

impl ReplicaView {
    /// Returns whether the replica knows a leader that it can reach.
    pub(crate) fn has_leader(&self) -> bool {
        self.status.as_ref().is_some_and(|s| s.leader.is_some() && s.role != Role::Halted)
    }
}

/// Terms that do not change while a replica runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DriverTerms {
    /// Shortest election timeout.
    pub(crate) election_timeout_ms: u64,
    /// Whether a follower that hears its leader takes its own configuration for current.
    pub(crate) trusts_leader_contact: bool,
}

/// Runs a replica.
#[derive(Debug)]
pub(crate) struct Driver {
    replica: Replica,
    start: Instant,
    boot_start: BootInstant,
    /// Time by which the replica's clock is ahead, see `leader_stopped`.
    ahead_ms: u64,
    terms: DriverTerms,
    storage: StorageThread,
    outbox: Outbox,
    views: Arc<ViewStore>,
    metrics: ClusterMetrics,
    status: watch::Sender<ReplicaView>,
    answers: BTreeMap<u64, oneshot::Sender<ProposalResult>>,
    next_proposal_id: u64,
    outputs: Vec<Output>,
    leaving: Option<(oneshot::Sender<()>, Instant)>,
    halted: bool,
}

impl Driver {
    /// Prepares a driver; the replica's clock starts now.
    pub(crate) fn new(
        replica: Replica,
        terms: DriverTerms,
        storage: StorageThread,
        outbox: Outbox,
        views: Arc<ViewStore>,
        metrics: ClusterMetrics,
        status: watch::Sender<ReplicaView>,
    ) -> Self {
        Self {
            replica,
            start: Instant::now(),
            boot_start: BootInstant::now(),
            ahead_ms: 0,
            terms,
            storage,
            outbox,
            views,
            metrics,
            status,
            answers: BTreeMap::new(),
            next_proposal_id: 0,
            outputs: Vec::new(),
            leaving: None,
            halted: false,
        }
    }

    /// Runs until it is aborted or the node has left. `first_voters` are given only to the first of them.
    pub(crate) async fn run(
        mut self,
        first_voters: Vec<InstanceId>,
        mut inputs: mpsc::Receiver<DriverInput>,
        mut writes: mpsc::UnboundedReceiver<WriteDone>,
    ) {
        self.views.install(&Arc::clone(&self.replica.state().config));
        if !first_voters.is_empty() {
            // The replica ignores this unless its folder is empty, and asks the others for theirs.
            self.step(Input::Bootstrap { voters: first_voters });
        }
        loop {
            self.flush();
            if self.has_settled() {
                self.stop();
                return;
            }
            let timer_ms = self.replica.next_timer_ms().saturating_sub(self.ahead_ms);
            let timer = self.start + Duration::from_millis(timer_ms);
            let timer = self.leaving.as_ref().map_or(timer, |(_, limit)| timer.min(*limit));
            tokio::select! {
                biased;
                done = writes.recv() => self.written(done),
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                    for _ in 1..INPUTS_PER_ROUND {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.take(input);
                    }
                }
                () = sleep_until(timer) => {}
            }
            self.step(Input::Tick);
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.boot_start.elapsed().as_millis()).unwrap_or(u64::MAX).saturating_add(self.ahead_ms)
    }

    fn step(&mut self, input: Input) {
        let now_ms = self.now_ms();
        self.replica.step(now_ms, input, &mut self.outputs);
    }

    fn take(&mut self, input: DriverInput) {
        match input {
            DriverInput::Receive { from, messages } => {
                for message in messages {
                    self.step(Input::Receive { from: from.clone(), message });
                }
            }
            DriverInput::Propose { command, answer } => self.propose(command, answer),
            DriverInput::ChangeVoters { change, answer } => self.change_voters(change, answer),
            DriverInput::LeaderStopped { from, term, campaign } => self.leader_stopped(&from, term, campaign),
            DriverInput::Leave { stopped } => self.leaving = Some((stopped, Instant::now() + SETTLE_LIMIT)),
        }
    }

    fn propose(&mut self, command: Command, answer: oneshot::Sender<ProposalResult>) {
        if self.leaving.is_some() {
            let _ = answer.send(Err(ForwardError::NotAppended));
            return;
        }
        if answer.is_closed() {
            // The caller has given up and answered that the command was not committed.
            return;
        }
        self.next_proposal_id += 1;
        self.answers.insert(self.next_proposal_id, answer);
        self.step(Input::Propose { proposal_id: self.next_proposal_id, command });
    }

    fn change_voters(&mut self, change: VoterChange, answer: oneshot::Sender<ProposalResult>) {
        if let Some(refusal) = self.replica.voter_refusal(&change) {
            let _ = answer.send(Ok(Reply::VotersRefused(refusal)));
            return;
        }
        log::debug!("change of the voters asked for: {change:?}");
        self.next_proposal_id += 1;
        self.answers.insert(self.next_proposal_id, answer);
        self.step(Input::ChangeVoters { proposal_id: self.next_proposal_id, change });
    }

    /// Sets the replica's clock forward, so that it acts as if the leader had been silent for that long. Only
    /// the pace of this clock matters to the protocol, and the leader that says so has stopped for good.
    fn leader_stopped(&mut self, from: &InstanceId, term: u64, campaign: bool) {
        let status = self.replica.status();
        if status.leader.as_ref() != Some(from) || status.term != term {
            return;
        }
        // After one timeout a voter grants votes; after two, the longest there is, it campaigns.
        self.ahead_ms +=
            if campaign { 2 * self.terms.election_timeout_ms } else { self.terms.election_timeout_ms };
    }

    fn written(&mut self, done: Option<WriteDone>) {
        let Some(done) = done else { return };
        let Some(error) = done.error else { return self.step(Input::Written { write: done.write }) };
        if !self.halted {
            self.halted = true;
            log::error!("the data folder cannot be written; this voter has halted: {error}");
        }
        self.step(Input::WriteFailed { write: done.write });
    }

    fn flush(&mut self) {
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Send { to, message } => self.outbox.send(&to, message),
                Output::Write(batch) => {
                    self.storage.write(batch);
                }
                Output::Reply { proposal_id, result } => {
                    if let Some(answer) = self.answers.remove(&proposal_id) {
                        let _ = answer.send(result.map_err(forward_error));
                    }
                }
                Output::ConfigChanged(view) => self.views.install(&view),
            }
        }
        self.publish_status();
    }

    fn publish_status(&mut self) {
        let status = self.replica.status();
        let now_ms = self.now_ms();
        let led = match status.role {
            Role::Leader => status.leader_until_ms.is_some_and(|until_ms| now_ms < until_ms),
            Role::Follower => {
                let applied = status.applied_index == status.commit_index;
                self.terms.trusts_leader_contact && status.leader.is_some() && applied
            }
            Role::Candidate | Role::Learner | Role::Halted => false,
        };
        if led {
            self.views.confirm(BootInstant::now());
        }
        self.status.send_if_modified(|view| {
            let Some(old) = &view.status else {
                view.status = Some(status);
                return true;
            };
            if old.role != Role::Candidate && status.role == Role::Candidate {
                self.metrics.elections.inc();
            }
            if old.role != status.role {
                log::info!("role {:?} in term {}", status.role, status.term);
            }
            self.metrics.commits.inc_by(status.commit_index.saturating_sub(old.commit_index));
            let changed = old.role != status.role
                || old.leader != status.leader
                || old.term != status.term
                || old.voters != status.voters
                || old.waits_for_peers != status.waits_for_peers
                || old.disk_outdated != status.disk_outdated
                || old.last_index != status.last_index
                || old.commit_index != status.commit_index;
            view.status = Some(status);
            changed
        });
    }

    fn has_settled(&self) -> bool {
        self.leaving.as_ref().is_some_and(|(_, limit)| self.answers.is_empty() || Instant::now() >= *limit)
    }

    /// Stops taking part. The other voters then elect a leader as after a crash, but nothing is in progress.
    fn stop(self) {
        self.status.send_replace(ReplicaView::default());
        if let Some((stopped, _)) = self.leaving {
            let _ = stopped.send(());
        }
    }
}

fn forward_error(failure: ProposalFailure) -> ForwardError {
    match failure {
        ProposalFailure::NotLeader(leader) => ForwardError::NotLeader(leader),
        ProposalFailure::NotAppended => ForwardError::NotAppended,
        ProposalFailure::Uncertain => ForwardError::Uncertain,
    }
}
