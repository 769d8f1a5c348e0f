//! The orders to load weights that a leader has sent, and what came of them.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use daisysill_core::{
    ids::{InstanceId, WeightVersion},
    weight_loading::WeightState,
};
use daisysill_wire::peer::UpstreamEntry;
use tokio::time::Instant;

/// Time between two reads of the weight versions of an upstream that is loading.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// An upstream that does not have its weights after this time is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Another upstream loads in the place of one whose versions could not be read for this time.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Time until an upstream that refused an order is ordered again.
const REFUSED_PAUSE: Duration = Duration::from_millis(600);

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
    /// Weight versions that upstreams reported, which may be newer than those of the list.
    reported: HashMap<Incarnation, BTreeMap<String, WeightVersion>>,
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

    /// Records that an upstream did not take its order.
    pub(crate) fn record_refusal(&mut self, entry: &UpstreamEntry) {
        let incarnation = incarnation(entry);
        self.pending.remove(&incarnation);
        self.record_failure(incarnation, Some(Instant::now() + REFUSED_PAUSE));
    }

    /// Records a version that an upstream has, which ends the load of that version or of an older one. Returns whether it
    /// changes what is known.
    pub(crate) fn record_version(
        &mut self,
        entry: &UpstreamEntry,
        model: &str,
        version: WeightVersion,
    ) -> bool {
        let incarnation = incarnation(entry);
        let is_loaded = |pending: &PendingLoad| pending.model == model && version >= pending.version;
        let ends_load = self.pending.get(&incarnation).is_some_and(is_loaded);
        if ends_load {
            self.pending.remove(&incarnation);
            self.failed.remove(&incarnation);
        }
        let known = self.reported.entry(incarnation).or_default().entry(model.to_owned()).or_default();
        let is_newer = *known < version;
        *known = (*known).max(version);
        ends_load || is_newer
    }

    /// Records that an upstream has been asked for its versions, and whether it answered.
    pub(crate) fn record_poll(&mut self, entry: &UpstreamEntry, has_answered: bool) {
        let Some(pending) = self.pending.get_mut(&incarnation(entry)) else { return };
        pending.polled_at = Instant::now();
        if has_answered {
            pending.answered_at = pending.polled_at;
        }
    }

    /// Returns the upstreams whose versions are to be asked for now.
    pub(crate) fn due(&self, listed: &[UpstreamEntry]) -> Vec<UpstreamEntry> {
        let is_due = |entry: &&UpstreamEntry| {
            let pending = self.pending.get(&incarnation(entry));
            pending.is_some_and(|pending| pending.polled_at.elapsed() >= REPORT_INTERVAL)
        };
        listed.iter().filter(is_due).cloned().collect()
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
        self.failed.retain(|run, _| listed.contains(run));
        before != self.pending.len()
    }

    /// Returns whether no load is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds to an entry of the list whether it is loading, and newer versions that it reported.
    pub(crate) fn complete(&self, entry: &mut UpstreamEntry) {
        let incarnation = incarnation(entry);
        entry.loading = self.pending.contains_key(&incarnation);
        for (model, version) in self.reported.get(&incarnation).into_iter().flatten() {
            let listed = entry.models.entry(model.clone()).or_default();
            *listed = (*listed).max(*version);
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
        let reported = self.reported.get(&incarnation).and_then(|versions| versions.get(model)).copied();
        if listed.max(reported).is_some_and(|held| held >= version) {
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
