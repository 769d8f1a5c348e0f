//! Polls a control node for the configuration, its freshness and the published upstreams, and reports soft state to it.
//!
//! Control nodes poll the leader; entry nodes poll a control node, which passes on what it has from the leader.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_control::Role as ReplicaRole;
use daisysill_core::{
    ids::{ConfigVersion, InstanceId, WeightVersion},
    poll_source::{PollOutcome, PollSources},
};
use daisysill_wire::peer::{
    ConfigUpdate, ControlNode, ObserveReply, ObserveRequest, PeerClient, UpstreamCrash, UpstreamEntry,
};
use futures::{
    FutureExt,
    future::{join, join3},
};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    clock::BootInstant,
    driver_input::ReplicaView,
    link::{CallError, Link, Links, NewerCall},
    outcome_queue::OutcomeQueue,
    propose::LeaderHint,
    published_upstreams::PublishedStore,
    soft_state::SoftState,
    view_store::{ConfirmedView, ViewStore, version_of},
};

/// How long a source holds a poll without a change. Adds to the age of what the node knows, so it is a fraction of the
/// age at which the node looks elsewhere.
const POLL_MS: u64 = 400;
/// The same for polls of control nodes, whose own followers wait for what they learn.
const CONTROL_POLL_MS: u64 = 100;
/// Time between two requests for what does not come with the polls.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Time beyond the poll after which the source counts as failed.
pub(crate) const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Delay before the next poll after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Contact counts as lost after this time without a current source; a single failed poll is not a loss.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(1);
/// A source whose configuration or published upstreams are older than this is left for another.
const MAX_SOURCE_AGE_MS: u64 = 1_500;
/// Maximum time that a replica waits for a configuration version that a voter already has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of crashes queued for the next poll.
const MAX_QUEUED_CRASHES: usize = 64;

/// Returns the poll time of a node with work in flight. It grows with the number of entry nodes that poll one control
/// node, which bounds the load on that node.
fn busy_poll_ms(entry_nodes: u32, control_nodes: usize) -> u64 {
    const BUSY_POLL_MS: u64 = 40;
    const NODES_AT_FULL_RATE: u64 = 64;
    let nodes = u64::from(entry_nodes) / control_nodes.max(1) as u64;
    (BUSY_POLL_MS * nodes / NODES_AT_FULL_RATE).clamp(BUSY_POLL_MS, POLL_MS)
}

/// Crashes to be reported with the next poll, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashQueue(Arc<Mutex<Vec<UpstreamCrash>>>);

impl CrashQueue {
    /// Queues a crash; drops the oldest if the queue is full.
    pub(crate) fn add(&self, crash: UpstreamCrash) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() >= MAX_QUEUED_CRASHES {
            waiting.remove(0);
        }
        waiting.push(crash);
    }

    fn take(&self) -> Vec<UpstreamCrash> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Polls the control nodes on behalf of a node with automatic membership.
#[derive(Clone, Debug)]
pub(crate) struct Observer {
    /// Name of this node.
    pub(crate) name: InstanceId,
    /// The nodes that it may poll.
    pub(crate) sources: PollSources,
    pub(crate) links: Links,
    pub(crate) views: Arc<ViewStore>,
    pub(crate) published: Arc<PublishedStore>,
    /// Work in flight and stored parts.
    pub(crate) soft_state: Arc<SoftState>,
    pub(crate) leader: LeaderHint,
    /// This node's replica; a node that receives the log installs the configuration from it only.
    pub(crate) replica: watch::Receiver<ReplicaView>,
    pub(crate) crash_queue: CrashQueue,
    pub(crate) outcome_queue: OutcomeQueue,
    /// Whether a recent poll returned a current configuration and current upstreams; its changes are logged.
    pub(crate) control_contact: watch::Sender<bool>,
    /// The control node that this node turns to: the last current one or, while none is, one that answers.
    pub(crate) source: watch::Sender<Option<InstanceId>>,
}

impl Observer {
    /// Polls until the task is aborted, except while this node is leader.
    pub(crate) async fn run(mut self) {
        let start = Instant::now();
        let mut refresh_due = start;
        let mut contact = Contact::default();
        loop {
            self.learn_voters();
            if self.is_leader() {
                let _ = timeout(Duration::from_millis(POLL_MS), self.replica.changed()).await;
                continue;
            }
            let leader = self.leader.get().filter(|_| self.has_replica());
            let Some(source) = self.sources.choose(leader.as_ref(), elapsed_ms(start)) else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let begun_at = Instant::now();
            let outcome = self.poll_once(&source).await;
            if outcome != PollOutcome::Current {
                log::info!(
                    "poll of {source}: {outcome:?} after {} ms, configuration {} of age {:?}",
                    elapsed_ms(begun_at),
                    self.views.version().0,
                    self.views.confirmed_at().map(BootInstant::elapsed),
                );
            }
            self.sources.record(&source, outcome, elapsed_ms(start));
            let is_current = outcome == PollOutcome::Current;
            if is_current {
                contact.record_current(&source);
            }
            // While no control node is current, one that answers is turned to.
            let is_answering = outcome == PollOutcome::Outdated && !contact.lasts();
            if is_current || is_answering {
                self.source.send_replace(Some(source.clone()));
            }
            let in_contact = contact.lasts();
            self.control_contact.send_if_modified(|known| std::mem::replace(known, in_contact) != in_contact);
            if !is_current {
                sleep(RETRY_DELAY).await;
            } else if Instant::now() >= refresh_due {
                self.refresh(&source).await;
                refresh_due = Instant::now() + REFRESH_INTERVAL;
            }
        }
    }

    /// Learns which nodes may answer polls from the own replica, which may stop while the nodes of the settings are gone.
    fn learn_voters(&mut self) {
        if let Some(status) = &self.replica.borrow().status {
            let voters: Vec<InstanceId> = status.voters.voters.keys().cloned().collect();
            self.sources.add_others(&voters);
        }
    }

    /// Asks a current source for what does not come with the polls, or was not learned with them.
    async fn refresh(&mut self, source: &InstanceId) {
        let published = self.published.get();
        let software = self.learn_software(source, &published.upstreams);
        if self.has_replica() {
            software.await;
            return;
        }
        // At the same time, since the next poll waits for all of them.
        let (control_nodes, ages) = (self.control_nodes(source), self.refresh_target_ages(source));
        let (nodes, (), ()) = join3(control_nodes, software, ages).await;
        if !nodes.is_empty() {
            self.sources.set_control_nodes(nodes.into_iter().map(|node| (node.name, node.zone)));
        }
    }

    async fn poll_once(&mut self, source: &InstanceId) -> PollOutcome {
        let requested_at = BootInstant::now();
        let Ok(reply) = self.poll(source).await else {
            if self.leader.get().as_ref() == Some(source) {
                self.leader.set(None);
            }
            return PollOutcome::Unreachable;
        };
        self.sources.add_others(&reply.voters);
        if !self.receives_log() {
            self.learn_target_ages(source, &reply.update).await;
        }
        // Before the calls that it does not depend on: each may take as long as its timeout.
        self.apply_config(&reply, requested_at).await;
        let listed = reply.published_upstreams.as_ref().map_or(&[][..], |published| &published.upstreams);
        join(self.learn_software(source, listed), self.learn_cold(source, &reply, requested_at)).await;
        self.apply_published(&reply, requested_at);
        let is_current = |age_ms: Option<u64>| age_ms.is_some_and(|age_ms| age_ms < MAX_SOURCE_AGE_MS);
        if is_current(reply.age_ms) && is_current(reply.published_age_ms) {
            PollOutcome::Current
        } else {
            PollOutcome::Outdated
        }
    }

    /// Learns the software versions of new upstreams, normally before they are adopted, so that this node and those that poll
    /// it never use one of an unknown version. If that fails, they are asked for again soon.
    async fn learn_software(&self, source: &InstanceId, listed: &[UpstreamEntry]) {
        let missing = self.soft_state.software.missing(listed);
        let Some(link) = self.links.get(source).filter(|_| !missing.is_empty()) else { return };
        let call =
            |client: PeerClient, context| async move { client.software_of(context, missing).await }.boxed();
        match link.call(RESPONSE_GRACE, call).await {
            Ok(software) => self.soft_state.software.record(software),
            Err(error) => log::info!("no software versions from {source}: {error:?}"),
        }
        self.soft_state.software.prune(listed);
    }

    /// Learns the ages of target versions before they are put in force, so that this node never takes one for newer than it
    /// is. If that fails, those that this node has just learned of count from the time at which they were not set yet.
    async fn learn_target_ages(&self, source: &InstanceId, update: &ConfigUpdate) {
        let ConfirmedView { view: present, confirmed_at } = self.views.confirmed_view();
        let targets = targets_after(update, &present.target_versions);
        let is_unknown = |(model, version): &(&String, &WeightVersion)| {
            self.views.target_ages.set_at(model, **version).is_none()
        };
        if !targets.iter().any(|target| is_unknown(&target)) {
            return;
        }
        self.refresh_target_ages(source).await;
        let Some(confirmed_at) = confirmed_at else { return };
        for (model, version) in targets.iter().filter(is_unknown) {
            if present.target_versions.get(model) != Some(version) {
                self.views.target_ages.record_not_before(model, *version, confirmed_at);
            }
        }
    }

    /// Asks for the ages of target versions. A control node that has just started may take them for newer than they are, so
    /// they are asked for again from time to time.
    async fn refresh_target_ages(&self, source: &InstanceId) {
        let Some(link) = self.links.get(source) else { return };
        let asked_at = BootInstant::now();
        let call = |client: PeerClient, context| async move { client.target_ages(context).await }.boxed();
        match link.call_newer(NewerCall::TargetAges, RESPONSE_GRACE, call).await {
            Ok(ages) => self.views.target_ages.record_reported(&ages, asked_at),
            Err(error) => log::info!("no ages of target versions from {source}: {error:?}"),
        }
    }

    /// Asks which control nodes may be polled; none if the source does not answer or knows none.
    async fn control_nodes(&self, source: &InstanceId) -> Vec<ControlNode> {
        let Some(link) = self.links.get(source) else { return Vec::new() };
        let call = |client: PeerClient, context| async move { client.control_nodes(context).await }.boxed();
        link.call(RESPONSE_GRACE, call).await.unwrap_or_default()
    }

    pub(crate) fn has_replica(&self) -> bool {
        self.replica.borrow().status.is_some()
    }

    /// Returns whether this node installs the configuration from its log: not without a replica, with a halted one, or if
    /// it is no member, since no leader sends to it then.
    fn receives_log(&self) -> bool {
        let view = self.replica.borrow();
        let Some(status) = &view.status else { return false };
        match status.role {
            ReplicaRole::Halted => false,
            ReplicaRole::Learner => status.voters.members().any(|member| *member == self.name),
            ReplicaRole::Leader | ReplicaRole::Follower | ReplicaRole::Candidate => true,
        }
    }

    fn is_leader(&mut self) -> bool {
        let view = self.replica.borrow_and_update();
        view.status.as_ref().is_some_and(|status| status.leader.as_ref() == Some(&self.name))
    }

    async fn poll(&self, source: &InstanceId) -> Result<ObserveReply, CallError> {
        let link = self.links.get(source).ok_or(CallError::NotSent)?;
        let published = self.published.get();
        let crashes = self.crash_queue.take();
        let report = self.soft_state.own_report();
        let wait_ms = match (crashes.is_empty(), report.loads.is_empty()) {
            (false, _) => 0,
            (true, _) if self.has_replica() => CONTROL_POLL_MS,
            (true, true) if !self.views.lacks_confirmation() => POLL_MS,
            // Polls are short as well while a source that cannot confirm the configuration may be able to at any moment.
            (true, _) => busy_poll_ms(published.entry_nodes, self.sources.control_nodes()),
        };
        let requested_at = BootInstant::now();
        let request = ObserveRequest {
            node: self.name.clone(),
            config_after: self.views.version(),
            published_after: (published.source.clone(), published.number),
            stored_after: report.stored_after.clone(),
            loads: report.loads.clone(),
            used_parts: report.used_parts,
            crashes: crashes.clone(),
        };
        let call = move |client: PeerClient, context| {
            async move { client.observe(context, request, wait_ms).await }.boxed()
        };
        let poll = link.call(Duration::from_millis(wait_ms) + RESPONSE_GRACE, call);
        let (reply, ()) = join(poll, self.report_outcomes(&link)).await;
        match &reply {
            Ok(reply) => {
                self.soft_state.apply_totals(&report.loads, &reply.loads, requested_at);
                if let Some(update) = &reply.stored {
                    self.soft_state.apply_stored_parts(update, &report.stored_after, requested_at);
                }
            }
            Err(_) => crashes.into_iter().for_each(|crash| self.crash_queue.add(crash)),
        }
        reply
    }

    /// Reports the queued outcomes of prompts; if that fails, they are reported with the next poll.
    async fn report_outcomes(&self, link: &Link) {
        if self.outcome_queue.is_empty() {
            return;
        }
        let (outcomes, message) = self.outcome_queue.take();
        let call = |client: PeerClient, context| {
            async move { client.prompt_outcomes(context, message).await }.boxed()
        };
        if link.call(RESPONSE_GRACE, call).await.is_err() {
            self.outcome_queue.add(outcomes);
        }
    }

    /// Puts the configuration of a response in force.
    async fn apply_config(&self, reply: &ObserveReply, requested_at: BootInstant) {
        let receives_log = self.receives_log();
        let newest = version_of(&reply.update);
        let installed = match (&reply.update, receives_log) {
            // The entry arrives shortly.
            (_, true) => self.reaches_version(newest).await,
            (ConfigUpdate::Unchanged(_), false) => self.views.version() >= newest,
            (update, false) => self.views.install_update(update),
        };
        if installed && let Some(at) = reply.age_ms.and_then(|age_ms| measured_at(requested_at, age_ms)) {
            self.views.confirm(newest, at);
        }
    }

    /// Adopts the published upstreams of a response, and the leader that it names.
    fn apply_published(&self, reply: &ObserveReply, requested_at: BootInstant) {
        let published_at = reply.published_age_ms.and_then(|age_ms| measured_at(requested_at, age_ms));
        if let Some(at) = published_at {
            self.published.adopt(reply.published_upstreams.clone(), at);
            if self.has_replica() {
                self.soft_state.record_listed(at, &self.published.get().upstreams);
            }
        }
        if reply.leader.is_some() {
            self.leader.set(reply.leader.clone());
        }
    }

    /// Waits until the configuration is as new as `version`; returns whether this happens in time.
    async fn reaches_version(&self, version: ConfigVersion) -> bool {
        let mut view = self.views.subscribe();
        timeout(CATCH_UP_TIMEOUT, view.wait_for(|view| view.version >= version))
            .await
            .is_ok_and(|view| view.is_ok())
    }
}

/// Returns the latest time at which what a response states to be `age_ms` old was current. Ages are measured after the request was
/// sent, so they count from then; an age is less than a millisecond more than it says.
fn measured_at(requested_at: BootInstant, age_ms: u64) -> Option<BootInstant> {
    requested_at.checked_sub(Duration::from_millis(age_ms.saturating_add(1)))
}

/// Returns the target versions in force after an update of a configuration with those of `present`.
fn targets_after<'a>(
    update: &'a ConfigUpdate,
    present: &'a BTreeMap<String, WeightVersion>,
) -> &'a BTreeMap<String, WeightVersion> {
    match update {
        ConfigUpdate::Unchanged(_) | ConfigUpdate::Deferred(_) => present,
        ConfigUpdate::Delta(delta) => delta.target_versions.as_ref().unwrap_or(present),
        ConfigUpdate::Snapshot(view) => &view.target_versions,
    }
}

/// The last control node that was current, and when.
#[derive(Debug, Default)]
struct Contact(Option<(InstanceId, Instant)>);

impl Contact {
    /// Records a poll of a current control node, and logs if it is another one than before.
    fn record_current(&mut self, source: &InstanceId) {
        let before = self.0.as_ref().map(|(name, _)| name);
        if before != Some(source) {
            log::info!("follows control node {source}; before: {before:?}");
        }
        self.0 = Some((source.clone(), Instant::now()));
    }

    /// Returns whether contact is not lost yet.
    fn lasts(&self) -> bool {
        self.0.as_ref().is_some_and(|(_, at)| at.elapsed() < CONTACT_TIMEOUT)
    }
}

fn elapsed_ms(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
