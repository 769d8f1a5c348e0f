//! The configuration in force on this node; its version never decreases.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_control::state::ConfigView;
use daisysill_core::ids::ConfigVersion;
use daisysill_wire::peer::ConfigUpdate;
use tokio::{sync::watch, time::Instant};

use crate::{clock::BootInstant, delta, target_ages::TargetAges};

/// Number of previous configurations retained for deltas: at 2,200 changes a day they span more than 10 minutes.
const MAX_RECENT_VIEWS: usize = 16;
/// Snapshots are sent at this rate, and at least one a second; further followers get `Deferred`. A wave of nodes that
/// join must not keep this node from its heartbeats.
const MAX_SNAPSHOT_BYTES_PER_S: usize = 8 * 1_024 * 1_024;
/// Size of a snapshot beside its document and rule files.
const SNAPSHOT_BASE_BYTES: usize = 1_024;
/// Time without a confirmation after which contact counts as lost: longer than a poll by a relay and then one by its
/// follower take.
const CONTACT_GAP: Duration = Duration::from_millis(2_500);

/// The configuration in force, and when it was last confirmed to be the newest.
#[derive(Debug)]
pub(crate) struct ViewStore {
    /// When the target versions in it were set; recorded before it is put in force.
    pub(crate) target_ages: TargetAges,
    sender: watch::Sender<Arc<ConfigView>>,
    inner: Mutex<Inner>,
}

/// A configuration, and when it was last known to be the newest that a majority agreed on.
#[derive(Clone, Debug)]
pub struct ConfirmedView {
    /// The configuration.
    pub view: Arc<ConfigView>,
    /// `None` if it was never confirmed.
    pub confirmed_at: Option<BootInstant>,
}

#[derive(Debug)]
struct Inner {
    recent: VecDeque<Arc<ConfigView>>,
    confirmed_at: Option<BootInstant>,
    window_start: Instant,
    /// Bytes of the snapshots sent since `window_start`.
    snapshot_bytes: usize,
}

impl ViewStore {
    /// Creates a store with an empty configuration of version 0.
    pub(crate) fn new() -> Self {
        let inner = Inner {
            recent: VecDeque::new(),
            confirmed_at: None,
            window_start: Instant::now(),
            snapshot_bytes: 0,
        };
        Self {
            target_ages: TargetAges::default(),
            sender: watch::channel(Arc::default()).0,
            inner: Mutex::new(inner),
        }
    }

    /// Returns a receiver of the configuration in force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.sender.subscribe()
    }

    /// Returns the configuration in force.
    pub(crate) fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&self.sender.borrow())
    }

    /// Returns the configuration in force with its confirmation, read together: a confirmation must not be taken for one of an
    /// older configuration that a reader still holds.
    pub(crate) fn confirmed_view(&self) -> ConfirmedView {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        ConfirmedView { view: self.view(), confirmed_at: inner.confirmed_at }
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.sender.borrow().version
    }

    /// Puts a configuration in force if it is newer than the present one.
    pub(crate) fn install(&self, view: &Arc<ConfigView>) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if view.version <= self.version() {
            return;
        }
        inner.recent.push_back(self.view());
        if inner.recent.len() > MAX_RECENT_VIEWS {
            inner.recent.pop_front();
        }
        self.sender.send_replace(Arc::clone(view));
    }

    /// Puts an update in force; returns `false` if it was deferred or is a delta from another version.
    pub(crate) fn install_update(&self, update: &ConfigUpdate) -> bool {
        match update {
            ConfigUpdate::Unchanged(_) => true,
            ConfigUpdate::Deferred(_) => false,
            ConfigUpdate::Snapshot(view) => {
                self.install(&Arc::new(view.as_ref().clone()));
                true
            }
            ConfigUpdate::Delta(delta) => {
                let Some(view) = delta::apply(&self.view(), delta) else { return false };
                self.install(&Arc::new(view));
                true
            }
        }
    }

    /// Returns the update for a follower at version `after`.
    pub(crate) fn update_since(&self, after: ConfigVersion) -> ConfigUpdate {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let view = self.view();
        if after >= view.version {
            return ConfigUpdate::Unchanged(view.version);
        }
        if let Some(base) = inner.recent.iter().find(|recent| recent.version == after) {
            return ConfigUpdate::Delta(Box::new(delta::diff(base, &view)));
        }
        if inner.window_start.elapsed().as_secs() > 0 {
            inner.window_start = Instant::now();
            inner.snapshot_bytes = 0;
        }
        if inner.snapshot_bytes >= MAX_SNAPSHOT_BYTES_PER_S {
            return ConfigUpdate::Deferred(view.version);
        }
        inner.snapshot_bytes += snapshot_bytes(&view);
        ConfigUpdate::Snapshot(Box::new(view.as_ref().clone()))
    }

    /// Records that `version` was the newest that a majority agreed on at `at`, unless the configuration in force is older.
    pub(crate) fn confirm(&self, version: ConfigVersion, at: BootInstant) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if self.version() < version {
            return;
        }
        inner.confirmed_at = inner.confirmed_at.max(Some(at));
    }

    /// Returns whether the configuration has not been confirmed for so long that contact with the voters was lost.
    pub(crate) fn lacks_confirmation(&self) -> bool {
        self.confirmed_at().is_none_or(|at| at.elapsed() >= CONTACT_GAP)
    }

    /// Returns when the configuration was last known to be the newest that a majority agreed on.
    pub(crate) fn confirmed_at(&self) -> Option<BootInstant> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).confirmed_at
    }
}

/// Returns the version that an update leads to.
pub(crate) const fn version_of(update: &ConfigUpdate) -> ConfigVersion {
    match update {
        ConfigUpdate::Unchanged(version) | ConfigUpdate::Deferred(version) => *version,
        ConfigUpdate::Delta(delta) => delta.version,
        ConfigUpdate::Snapshot(view) => view.version,
    }
}

/// Returns the approximate size of a configuration as a message.
fn snapshot_bytes(view: &ConfigView) -> usize {
    let document = view.document.as_ref().map_or(0, |document| document.body.len());
    let rules: usize = view.rules.iter().map(|file| file.name.len() + file.text.len()).sum();
    SNAPSHOT_BASE_BYTES + document + rules
}
