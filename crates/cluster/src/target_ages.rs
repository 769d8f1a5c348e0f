//! When target weight versions were set.
//!
//! Nodes with a replica work it out from log time, so it outlives every process; other nodes ask the control node that
//! they poll. A node's own time of learning of a version says nothing: the node may just have started.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_control::state::AgreedState;
use daisysill_core::ids::WeightVersion;
use daisysill_wire::peer::TargetAge;

use crate::clock::BootInstant;

/// Maximum number of versions kept of each model.
const MAX_VERSIONS: usize = 64;

/// What is known of the time at which a version was set.
#[derive(Clone, Copy, Debug, Default)]
struct SetTime {
    /// The earliest time that a source named; each may take the version for newer than it is, never for older.
    reported_at: Option<BootInstant>,
    /// A time at which the version was not set yet.
    not_before: Option<BootInstant>,
}

impl SetTime {
    /// Returns the time to count from; `None` if nothing is known.
    fn at(self) -> Option<BootInstant> {
        self.reported_at.or(self.not_before)
    }
}

/// The target versions of each model, and when they were set.
#[derive(Debug, Default)]
pub(crate) struct TargetAges(Mutex<BTreeMap<String, BTreeMap<WeightVersion, SetTime>>>);

impl TargetAges {
    /// Records that a version was set at `reported_at` or earlier.
    fn record(&self, model: &str, version: WeightVersion, reported_at: BootInstant) {
        self.change(model, version, |time| {
            time.reported_at = Some(time.reported_at.map_or(reported_at, |known| known.min(reported_at)));
        });
    }

    /// Records that a version was not set yet at a time; counts until a source names the time at which it was set.
    pub(crate) fn record_not_before(&self, model: &str, version: WeightVersion, not_before: BootInstant) {
        self.change(model, version, |time| time.not_before = time.not_before.max(Some(not_before)));
    }

    fn change(&self, model: &str, version: WeightVersion, change: impl FnOnce(&mut SetTime)) {
        let mut targets = self.lock();
        if !targets.contains_key(model) {
            targets.insert(model.to_owned(), BTreeMap::new());
        }
        let Some(versions) = targets.get_mut(model) else { return };
        change(versions.entry(version).or_default());
        if versions.len() > MAX_VERSIONS {
            versions.pop_first();
        }
    }

    /// Records the target versions of a replica that has just applied its state's last entry. The time since that entry
    /// was written is missing from the ages; the next entry of a running leader makes up for it.
    pub(crate) fn record_applied(&self, state: &AgreedState) {
        for (model, version, age_ms) in state.target_ages_ms() {
            if let Some(set_at) = BootInstant::now().checked_sub(Duration::from_millis(age_ms)) {
                self.record(model, version, set_at);
            }
        }
    }

    /// Records ages that another node measured after `asked_at`.
    pub(crate) fn record_reported(&self, ages: &[TargetAge], asked_at: BootInstant) {
        for TargetAge { model, version, age_ms } in ages {
            if let Some(set_at) = asked_at.checked_sub(Duration::from_millis(*age_ms)) {
                self.record(model, *version, set_at);
            }
        }
    }

    /// Returns when a version was set; `None` if this is not known.
    pub(crate) fn set_at(&self, model: &str, version: WeightVersion) -> Option<BootInstant> {
        self.lock().get(model)?.get(&version)?.at()
    }

    /// Returns when the first version after `version` was set, since when engines with `version` are outdated; `None` if
    /// this is not known.
    pub(crate) fn outdated_since(&self, model: &str, version: WeightVersion) -> Option<BootInstant> {
        let targets = self.lock();
        let mut newer = targets.get(model)?.range((Bound::Excluded(version), Bound::Unbounded));
        newer.next()?.1.at()
    }

    /// Returns the reported ages of all versions, to be sent to another node.
    pub(crate) fn ages(&self) -> Vec<TargetAge> {
        let targets = self.lock();
        let all = targets.iter().flat_map(|(model, versions)| {
            versions.iter().map(move |(version, time)| (model, *version, time.reported_at))
        });
        let ages = all.filter_map(|(model, version, reported_at)| {
            let age_ms = u64::try_from(reported_at?.elapsed().as_millis()).unwrap_or(u64::MAX);
            Some(TargetAge { model: model.clone(), version, age_ms })
        });
        ages.collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, BTreeMap<WeightVersion, SetTime>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
