//! When the target weight versions in force were set.
//!
//! Nodes with a replica work it out from log time, so it outlives every process; other nodes ask the control node that
//! they poll. A node's own time of learning of a version says nothing: the node may just have started.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_control::state::AgreedState;
use daisysill_core::ids::WeightVersion;
use daisysill_wire::peer::TargetAge;

use crate::clock::BootInstant;

#[derive(Clone, Copy, Debug)]
struct SetTarget {
    version: WeightVersion,
    /// The earliest time that is known; each source may take the version for newer than it is, never for older.
    set_at: BootInstant,
}

/// The target version of each model, and when it was set.
#[derive(Debug, Default)]
pub(crate) struct TargetAges(Mutex<BTreeMap<String, SetTarget>>);

impl TargetAges {
    /// Records that a version was set at `set_at` or earlier.
    pub(crate) fn record(&self, model: &str, version: WeightVersion, set_at: BootInstant) {
        let mut targets = self.lock();
        let Some(known) = targets.get_mut(model) else {
            targets.insert(model.to_owned(), SetTarget { version, set_at });
            return;
        };
        if known.version < version {
            *known = SetTarget { version, set_at };
        } else if known.version == version {
            known.set_at = known.set_at.min(set_at);
        }
    }

    /// Records the target versions of a replica that has just applied its state's last entry. The time since that entry
    /// was written is missing from the ages; later entries make up for it.
    pub(crate) fn record_applied(&self, state: &AgreedState) {
        for (model, version) in &state.config.target_versions {
            let age = Duration::from_millis(state.target_version_age_ms(model));
            if let Some(set_at) = BootInstant::now().checked_sub(age) {
                self.record(model, *version, set_at);
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

    /// Returns when a version was set, or a newer one of the same model; `None` if this is not known.
    pub(crate) fn set_at(&self, model: &str, version: WeightVersion) -> Option<BootInstant> {
        self.lock().get(model).filter(|known| known.version >= version).map(|known| known.set_at)
    }

    /// Returns the ages of all versions known, to be sent to another node.
    pub(crate) fn ages(&self) -> Vec<TargetAge> {
        let targets = self.lock();
        let ages = targets.iter().map(|(model, target)| TargetAge {
            model: model.clone(),
            version: target.version,
            age_ms: u64::try_from(target.set_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        });
        ages.collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, SetTarget>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
