//! The task that owns the replica of a node: feeds it inputs and timers, and carries out its outputs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use daisysill_control::{
    Handover, Input, Output, ProposalFailure, Recovered, Replica, Role, VoterChange,
    command::{Command, Reply},
};
use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::ForwardError;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep_until, timeout},
};

use crate::{
    clock::BootInstant,
    confirmation::{ReplicaStep, confirmed_at},
    driver_input::{DriverInput, Leaving, LeavingPhase, ProposalResult, ReplicaView},
    metrics::ClusterMetrics,
    outbox::Outbox,
    storage_thread::{StorageEvent, StorageThread},
    view_store::ViewStore,
};

/// Maximum number of inputs queued for the driver.
pub(crate) const INPUT_QUEUE_LEN: usize = 4_096;
/// Maximum number of inputs handled before their outputs, so that queued proposals share a write and a message.
const MAX_INPUT_BATCH: usize = 256;
/// Maximum time that a leaving node waits for its proposals in progress.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time that a leaving node waits for the write in progress; a disk may hang.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// The first line of the error if the data folder cannot be opened, at the start or after a failed write.
pub(crate) const OPEN_ERROR: &str = "the data folder cannot be used; if a file in it is damaged, keep a copy of the folder, \
    start this voter with an empty folder, and replace it in the voter set before another voter is lost";

/// Settings of a driver.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DriverConfig {
    /// Minimum election timeout; the maximum is twice this.
    pub(crate) election_timeout_ms: u64,
    /// Whether a follower in contact with its leader considers its own configuration current.
    pub(crate) trusts_leader_contact: bool,
}

/// Runs the replica of a node.
#[derive(Debug)]
pub(crate) struct Driver {
    replica: Replica,
    start: Instant,
    boot_started_at: BootInstant,
    last_step: ReplicaStep,
    /// Added to the replica's clock; see `leader_stopped`.
    clock_offset_ms: u64,
    config: DriverConfig,
    storage: StorageThread,
    outbox: Outbox,
    views: Arc<ViewStore>,
    /// Index of the applied entry up to which the ages of target versions are recorded.
    ages_index: u64,
    metrics: ClusterMetrics,
    status: watch::Sender<ReplicaView>,
    pending: BTreeMap<u64, oneshot::Sender<ProposalResult>>,
    last_proposal_id: u64,
    outputs: Vec<Output>,
    /// Set once the node leaves.
    leaving: Option<Leaving>,
    /// Voters of the cluster that this node forms if its data folder is empty; empty on all nodes but one.
    bootstrap_voters: Vec<InstanceId>,
}

impl Driver {
    /// Creates a driver; the replica's clock starts at zero now.
    pub(crate) fn new(
        replica: Replica,
        config: DriverConfig,
        storage: StorageThread,
        outbox: Outbox,
        views: Arc<ViewStore>,
        metrics: ClusterMetrics,
        status: watch::Sender<ReplicaView>,
    ) -> Self {
        let now = BootInstant::now();
        Self {
            replica,
            start: Instant::now(),
            boot_started_at: now,
            last_step: ReplicaStep { now_ms: 0, at: now },
            clock_offset_ms: 0,
            config,
            storage,
            outbox,
            views,
            ages_index: 0,
            metrics,
            status,
            pending: BTreeMap::new(),
            last_proposal_id: 0,
            outputs: Vec::new(),
            leaving: None,
            bootstrap_voters: Vec::new(),
        }
    }

    /// Runs until the task is aborted or the replica has stopped to leave. `bootstrap_voters` is empty except on the
    /// one node that forms a new cluster.
    pub(crate) async fn run(
        mut self,
        bootstrap_voters: Vec<InstanceId>,
        mut inputs: mpsc::Receiver<DriverInput>,
        mut storage_events: mpsc::UnboundedReceiver<StorageEvent>,
    ) {
        self.bootstrap_voters = bootstrap_voters;
        self.start_replica();
        loop {
            self.flush();
            if self.has_settled() {
                return self.finish(storage_events).await;
            }
            let timer_ms = self.replica.next_timer_ms().saturating_sub(self.clock_offset_ms);
            let timer = self.start + Duration::from_millis(timer_ms);
            let timer = self.leaving.as_ref().map_or(timer, |leaving| timer.min(leaving.phase.end()));
            tokio::select! {
                biased;
                event = storage_events.recv() => self.handle_storage(event),
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.handle(input);
                    for _ in 1..MAX_INPUT_BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.handle(input);
                    }
                }
                () = sleep_until(timer) => {}
            }
            self.step(Input::Tick);
        }
    }

    fn start_replica(&mut self) {
        self.record_target_ages();
        self.views.install(&Arc::clone(&self.replica.state().config));
        if !self.bootstrap_voters.is_empty() {
            // The replica ignores this unless its data folder is empty, and checks those of the other voters.
            self.step(Input::Bootstrap { voters: self.bootstrap_voters.clone() });
        }
    }

    /// Reads the clock for a step of the replica.
    fn begin_step(&self) -> ReplicaStep {
        let at = BootInstant::now();
        let elapsed_ms = u64::try_from(at.since(self.boot_started_at).as_millis()).unwrap_or(u64::MAX);
        ReplicaStep { now_ms: elapsed_ms.saturating_add(self.clock_offset_ms), at }
    }

    fn step(&mut self, input: Input) {
        self.last_step = self.begin_step();
        self.replica.step(self.last_step.now_ms, input, &mut self.outputs);
    }

    fn handle(&mut self, input: DriverInput) {
        match input {
            DriverInput::Receive { from, messages } => {
                for message in messages {
                    self.step(Input::Receive { from: from.clone(), message });
                }
            }
            DriverInput::Propose { command, respond_to } => self.propose(command, respond_to),
            DriverInput::ChangeVoters { change, respond_to } => self.change_voters(change, respond_to),
            DriverInput::LeaderStopped { from, term, campaign } => self.leader_stopped(&from, term, campaign),
            DriverInput::Leave { stopped, hand_over_until } => self.leave(stopped, hand_over_until),
        }
    }

    fn leave(&mut self, stopped: oneshot::Sender<()>, hand_over_until: Option<Instant>) {
        let phase = match hand_over_until {
            Some(until) => LeavingPhase::HandingOver(until),
            None => LeavingPhase::Settling(Instant::now() + SETTLE_TIMEOUT),
        };
        self.leaving = Some(Leaving { stopped, phase });
        if hand_over_until.is_some() {
            self.step(Input::Leave);
        }
    }

    fn propose(&mut self, command: Command, respond_to: oneshot::Sender<ProposalResult>) {
        if matches!(&self.leaving, Some(Leaving { phase: LeavingPhase::Settling(_), .. })) {
            let _ = respond_to.send(Err(ForwardError::NotAppended));
            return;
        }
        if respond_to.is_closed() {
            // The caller has given up and reported that the command was not committed.
            return;
        }
        self.last_proposal_id += 1;
        self.pending.insert(self.last_proposal_id, respond_to);
        self.step(Input::Propose { proposal_id: self.last_proposal_id, command });
    }

    fn change_voters(&mut self, change: VoterChange, respond_to: oneshot::Sender<ProposalResult>) {
        if let Some(refusal) = self.replica.voter_refusal(&change) {
            let _ = respond_to.send(Ok(Reply::VotersRefused(refusal)));
            return;
        }
        log::debug!("proposing voter change {change:?}");
        self.last_proposal_id += 1;
        self.pending.insert(self.last_proposal_id, respond_to);
        self.step(Input::ChangeVoters { proposal_id: self.last_proposal_id, change });
    }

    /// Advances the replica's clock, so that it acts as if the leader had been silent for that long. This is safe:
    /// the protocol depends only on the rate of this clock, and the leader that sent this has stopped for good.
    fn leader_stopped(&mut self, from: &InstanceId, term: u64, campaign: bool) {
        let status = self.replica.status();
        if status.leader.as_ref() != Some(from) || status.term != term {
            return;
        }
        // After one election timeout a voter grants votes; after two, the maximum, it starts an election.
        self.clock_offset_ms +=
            if campaign { 2 * self.config.election_timeout_ms } else { self.config.election_timeout_ms };
    }

    fn handle_storage(&mut self, event: Option<StorageEvent>) {
        match event {
            None => {}
            Some(StorageEvent::Synced { batch_id }) => self.step(Input::BatchSynced { batch_id }),
            Some(StorageEvent::Failed { batch_id, error }) => {
                log::error!("the data folder cannot be written; this voter has halted: {error}");
                self.metrics.failed_writes.inc();
                self.step(Input::BatchFailed { batch_id });
            }
            Some(StorageEvent::Reopened(recovered)) => self.restart_replica(*recovered),
            Some(StorageEvent::Unusable(error)) => {
                log::error!("{OPEN_ERROR}: {error}; this voter stays halted");
            }
        }
    }

    /// Continues from the data folder as after a restart of the process.
    fn restart_replica(&mut self, recovered: Recovered) {
        let entries = recovered.entries.len();
        self.replica = self.replica.restarted(recovered, self.begin_step().now_ms, rand::random());
        let last_index = self.replica.status().last_index;
        log::info!(
            "the data folder can be written again; this voter resumes with {entries} entries up to {last_index}"
        );
        self.metrics.disk_recoveries.inc();
        self.ages_index = 0;
        self.start_replica();
    }

    fn flush(&mut self) {
        // Before the configuration is put in force, so that the age of every version in it is known.
        self.record_target_ages();
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Send { to, message } => self.outbox.send(&to, message),
                Output::Write(batch) => {
                    self.storage.write(batch);
                }
                Output::Reply { proposal_id, result } => {
                    if let Some(respond_to) = self.pending.remove(&proposal_id) {
                        let _ = respond_to.send(result.map_err(forward_error));
                    }
                }
                Output::ConfigChanged(view) => self.views.install(&view),
            }
        }
        self.publish_status();
    }

    fn record_target_ages(&mut self) {
        let state = self.replica.state();
        if state.applied_index > self.ages_index {
            self.ages_index = state.applied_index;
            self.views.target_ages.record_applied(state);
        }
    }

    fn publish_status(&mut self) {
        let status = self.replica.status();
        if let Some(at) = confirmed_at(&status, self.last_step, self.config.trusts_leader_contact) {
            self.views.confirm(self.replica.state().config.version, at);
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
                log::info!("role changed to {:?} in term {}", status.role, status.term);
            }
            self.metrics.commits.inc_by(status.commit_index.saturating_sub(old.commit_index));
            let changed = old.role != status.role
                || old.leader != status.leader
                || old.term != status.term
                || old.voters != status.voters
                || old.waits_for_peers != status.waits_for_peers
                || old.disk_outdated != status.disk_outdated
                || old.handover != status.handover
                || old.has_leaving() != status.has_leaving()
                || old.last_index != status.last_index
                || old.commit_index != status.commit_index;
            view.status = Some(status);
            changed
        });
    }

    /// Returns whether the node leaves, its vote is handed over as far as possible, and all proposals have results or the time
    /// for them is over.
    fn has_settled(&mut self) -> bool {
        let Some(leaving) = &mut self.leaving else { return false };
        let now = Instant::now();
        if let LeavingPhase::HandingOver(until) = leaving.phase {
            let status = self.replica.status();
            if status.handover == Handover::InProgress && now < until {
                return false;
            }
            log::info!("leaves; handover of the vote: {:?}, voters: {:?}", status.handover, status.voters);
            leaving.phase = LeavingPhase::Settling(now + SETTLE_TIMEOUT);
        }
        self.pending.is_empty() || now >= leaving.phase.end()
    }

    /// Stops the replica. The other voters then elect a leader as after a crash, but no proposal is in progress.
    async fn finish(mut self, mut storage_events: mpsc::UnboundedReceiver<StorageEvent>) {
        self.status.send_replace(ReplicaView::default());
        self.storage.close();
        let last_write = async { while storage_events.recv().await.is_some() {} };
        if timeout(LAST_WRITE_TIMEOUT, last_write).await.is_err() {
            log::warn!(
                "the disk has not ended the last write after {LAST_WRITE_TIMEOUT:?}; this voter stops without it"
            );
            self.storage.detach();
        }
        if let Some(Leaving { stopped, .. }) = self.leaving {
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
