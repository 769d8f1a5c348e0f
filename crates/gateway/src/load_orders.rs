//! The orders to load weights that a leader has sent, what came of them, and what engines have reported since.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use daisysill_cluster::BootInstant;
use daisysill_core::{
    ids::{InstanceId, WeightVersion},
    weight_loading::WeightState,
};
use daisysill_wire::peer::UpstreamEntry;
use tokio::time::Instant;

use crate::discovery::{EngineReport, LoadOrder, OrderOutcome};

/// Time between two reads of the weight versions of an upstream that is loading.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// An upstream that does not have its weights after this time is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Another upstream loads in the place of one whose versions could not be read for this time.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Time until an upstream that refused an order is ordered again.
const REFUSED_PAUSE: Duration = Duration::from_millis(600);
/// A list that was read this long after a report is expected to show what the upstream reported. If it shows older weights, the
/// upstream is asked again: it may have gone back to them.
const LIST_LAG: Duration = Duration::from_secs(2);

/// One run of an upstream: its ID and the time of its start in Unix ms.
pub(crate) type Incarnation = (InstanceId, u64);

/// Returns the run of a listed upstream.
pub(crate) fn incarnation(entry: &UpstreamEntry) -> Incarnation {
    (entry.id.clone(), entry.started_unix_ms)
}

/// An order that was sent but whose weights are not yet in place.
#[derive(Clone, Debug)]
struct PendingLoad {
    model: String,
    version: WeightVersion,
    ordered_at: Instant,
    /// When the upstream's weight versions were last asked for.
    polled_at: Instant,
    /// When it last answered.
    answered_at: Instant,
}

/// A weight version that an upstream reported.
#[derive(Clone, Copy, Debug)]
struct ReportedVersion {
    version: WeightVersion,
    at: BootInstant,
}

impl ReportedVersion {
    /// Returns whether a list that was read from `listed_at` on should show the version.
    fn is_listed_by(&self, listed_at: BootInstant) -> bool {
        self.at.elapsed().saturating_sub(listed_at.elapsed()) >= LIST_LAG
    }
}

/// Orders in a row that did not bring their weights.
#[derive(Clone, Copy, Debug, Default)]
struct FailedOrders {
    count: u32,
    /// End of the pause after the last one.
    paused_until: Option<Instant>,
}

/// The orders of one leader, lost when it stops leading.
#[derive(Debug, Default)]
pub(crate) struct LoadOrders {
    /// Weight versions that upstreams reported last, by model. They may be newer than those of the list.
    reported: HashMap<Incarnation, BTreeMap<String, ReportedVersion>>,
    /// Number of orders that upstreams have accepted, where it is certain.
    accepted: HashMap<Incarnation, u64>,
    pending: HashMap<Incarnation, PendingLoad>,
    failed: HashMap<Incarnation, FailedOrders>,
}

impl LoadOrders {
    /// Records that an upstream is about to be ordered to load a version.
    pub(crate) fn begin(&mut self, entry: &UpstreamEntry, model: &str, version: WeightVersion) {
        let now = Instant::now();
        let pending = PendingLoad {
            model: model.to_owned(),
            version,
            ordered_at: now,
            polled_at: now,
            answered_at: now,
        };
        self.pending.insert(incarnation(entry), pending);
    }

    /// Returns the number of orders that an upstream has accepted; `None` if it has to be asked.
    pub(crate) fn accepted_orders(&self, entry: &UpstreamEntry) -> Option<u64> {
        self.accepted.get(&incarnation(entry)).copied()
    }

    /// Records what came of an order that was sent after `orders_before` others.
    pub(crate) fn record_outcome(&mut self, entry: &UpstreamEntry, order: &LoadOrder, outcome: OrderOutcome) {
        let incarnation = incarnation(entry);
        match (outcome, order.orders_before) {
            (OrderOutcome::InPlace, _) => drop(self.record_version(entry, &order.model, order.version)),
            (OrderOutcome::Accepted, Some(before)) => drop(self.accepted.insert(incarnation, before + 1)),
            // Whether the order counts is not known.
            (OrderOutcome::Accepted | OrderOutcome::Unknown, _) => drop(self.accepted.remove(&incarnation)),
            (OrderOutcome::Busy | OrderOutcome::Refused, _) => self.record_refusal(entry),
        }
    }

    /// Records that an upstream did not take its order, or was sent none.
    pub(crate) fn record_refusal(&mut self, entry: &UpstreamEntry) {
        let incarnation = incarnation(entry);
        self.pending.remove(&incarnation);
        self.accepted.remove(&incarnation);
        self.record_failure(incarnation, Some(Instant::now() + REFUSED_PAUSE));
    }

    /// Records the response to a poll of an upstream's report, `None` if there was none. Returns whether it changes what is known
    /// of its weights.
    pub(crate) fn record_report(&mut self, entry: &UpstreamEntry, report: Option<&EngineReport>) -> bool {
        self.record_poll(entry, report.is_some());
        let Some(report) = report else {
            // The next poll follows after the same time as one with a response.
            let unconfirmed = self.reported.get_mut(&incarnation(entry)).into_iter().flatten();
            unconfirmed.for_each(|(_, reported)| reported.at = BootInstant::now());
            return false;
        };
        if let Some(reported) = report.accepted_orders {
            // A report is a moment old, so that it may miss an order that was accepted since.
            let known = self.accepted.entry(incarnation(entry)).or_default();
            *known = (*known).max(reported);
        }
        let mut changed = false;
        for (model, version) in &report.versions {
            changed |= self.record_version(entry, model, *version);
        }
        changed
    }

    /// Records a version that an upstream has, which ends the load of that version or of an older one. Returns whether it
    /// changes what is known.
    fn record_version(&mut self, entry: &UpstreamEntry, model: &str, version: WeightVersion) -> bool {
        let incarnation = incarnation(entry);
        let is_loaded = |pending: &PendingLoad| pending.model == model && version >= pending.version;
        let ends_load = self.pending.get(&incarnation).is_some_and(is_loaded);
        if ends_load {
            self.pending.remove(&incarnation);
            self.failed.remove(&incarnation);
        }
        let reported = ReportedVersion { version, at: BootInstant::now() };
        let known = self.reported.entry(incarnation).or_default().insert(model.to_owned(), reported);
        let known = known.map(|known| known.version);
        if known.is_some_and(|known| version < known) {
            tracing::warn!(
                event = "weights_went_back",
                upstream = entry.id.as_str(),
                model,
                from = known.map(|known| known.0),
                to = version.0,
            );
        }
        ends_load || known != Some(version)
    }

    /// Records that an upstream has been asked for its report, and whether it answered.
    fn record_poll(&mut self, entry: &UpstreamEntry, has_answered: bool) {
        let Some(pending) = self.pending.get_mut(&incarnation(entry)) else { return };
        pending.polled_at = Instant::now();
        if has_answered {
            pending.answered_at = pending.polled_at;
        }
    }

    /// Returns the upstreams whose reports are to be read now, given the list that was read from `listed_at` on.
    pub(crate) fn due(&self, listed: &[UpstreamEntry], listed_at: BootInstant) -> Vec<UpstreamEntry> {
        let is_due = |entry: &&UpstreamEntry| match self.pending.get(&incarnation(entry)) {
            Some(pending) => pending.polled_at.elapsed() >= REPORT_INTERVAL,
            None => self.is_contradicted(entry, listed_at),
        };
        listed.iter().filter(is_due).cloned().collect()
    }

    /// Returns whether the list shows older weights of an upstream than it reported, though it should show those by now.
    fn is_contradicted(&self, entry: &UpstreamEntry, listed_at: BootInstant) -> bool {
        let reported = self.reported.get(&incarnation(entry)).into_iter().flatten();
        reported.into_iter().any(|(model, reported)| {
            let is_older = entry.models.get(model).is_some_and(|listed| *listed < reported.version);
            is_older && reported.is_listed_by(listed_at)
        })
    }

    /// Drops loads that took too long, and everything about upstreams that are no longer listed. Returns whether a load was
    /// dropped.
    pub(crate) fn discard_ended(&mut self, listed: &[UpstreamEntry]) -> bool {
        let listed: Vec<Incarnation> = listed.iter().map(incarnation).collect();
        let before = self.pending.len();
        let is_late = |pending: &PendingLoad| pending.ordered_at.elapsed() >= LOAD_TIMEOUT;
        let late: Vec<Incarnation> =
            self.pending.iter().filter(|(_, load)| is_late(load)).map(|(run, _)| run.clone()).collect();
        for run in late {
            if let Some(load) = self.pending.remove(&run) {
                let (upstream, version) = (run.0.as_str(), load.version.0);
                tracing::info!(event = "load_timeout", upstream, version);
            }
            self.record_failure(run, None);
        }
        self.pending.retain(|run, _| listed.contains(run));
        self.reported.retain(|run, _| listed.contains(run));
        self.accepted.retain(|run, _| listed.contains(run));
        self.failed.retain(|run, _| listed.contains(run));
        before != self.pending.len()
    }

    /// Returns whether an upstream is being ordered, or has not loaded yet what it was ordered to.
    pub(crate) fn is_pending(&self, entry: &UpstreamEntry) -> bool {
        self.pending.contains_key(&incarnation(entry))
    }

    /// Returns whether no load is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds to an entry of the list whether it is loading, and newer versions that it reported.
    pub(crate) fn complete(&self, entry: &mut UpstreamEntry) {
        let incarnation = incarnation(entry);
        entry.loading = self.is_pending(entry);
        for (model, reported) in self.reported.get(&incarnation).into_iter().flatten() {
            let listed = entry.models.entry(model.clone()).or_default();
            *listed = (*listed).max(reported.version);
        }
    }

    /// Returns the state of an engine in the rollout of a version.
    pub(crate) fn weight_state(
        &self,
        engine: &UpstreamEntry,
        model: &str,
        version: WeightVersion,
    ) -> WeightState {
        let incarnation = incarnation(engine);
        let listed = engine.models.get(model).copied();
        let reported = self.reported.get(&incarnation).and_then(|versions| versions.get(model));
        if listed.max(reported.map(|reported| reported.version)).is_some_and(|held| held >= version) {
            return WeightState::UpToDate;
        }
        if let Some(pending) = self.pending.get(&incarnation) {
            let is_silent = pending.answered_at.elapsed() >= SILENCE_LIMIT;
            return if is_silent { WeightState::Unavailable } else { WeightState::Loading };
        }
        let failed = self.failed.get(&incarnation).copied().unwrap_or_default();
        if failed.paused_until.is_some_and(|until| Instant::now() < until) {
            return WeightState::Unavailable;
        }
        WeightState::Outdated { failed_orders: failed.count }
    }

    fn record_failure(&mut self, incarnation: Incarnation, paused_until: Option<Instant>) {
        let failed = self.failed.entry(incarnation).or_default();
        *failed = FailedOrders { count: failed.count.saturating_add(1), paused_until };
    }
}
