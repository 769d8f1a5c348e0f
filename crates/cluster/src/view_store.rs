//! The configuration in force on this node, which never goes back to an older version.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};

use daisysill_control::state::ConfigView;
use daisysill_core::ids::ConfigVersion;
use daisysill_wire::peer::ConfigUpdate;
use tokio::{sync::watch, time::Instant};

use crate::{clock::BootInstant, delta};

/// Configurations kept to send differences from: at 2,200 changes a day these span more than 10 minutes.
const KEPT_VIEWS: usize = 16;
/// Snapshots sent in one second at most; more followers are told to come back.
const SNAPSHOTS_PER_SECOND: u32 = 8;

/// The configuration in force, and how it is known to be the newest.
#[derive(Debug)]
pub(crate) struct ViewStore {
    sender: watch::Sender<Arc<ConfigView>>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    recent: VecDeque<Arc<ConfigView>>,
    confirmed_at: Option<BootInstant>,
    second: Instant,
    snapshots: u32,
}

impl ViewStore {
    /// Starts with an empty configuration.
    pub(crate) fn new() -> Self {
        let inner =
            Inner { recent: VecDeque::new(), confirmed_at: None, second: Instant::now(), snapshots: 0 };
        Self { sender: watch::channel(Arc::default()).0, inner: Mutex::new(inner) }
    }

    /// Returns the configuration in force, and its changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.sender.subscribe()
    }

    /// Returns the configuration in force.
    pub(crate) fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&self.sender.borrow())
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.sender.borrow().version
    }

    /// Puts a configuration in force unless it is older than the present one.
    pub(crate) fn install(&self, view: &Arc<ConfigView>) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if view.version <= self.version() {
            return;
        }
        inner.recent.push_back(self.view());
        if inner.recent.len() > KEPT_VIEWS {
            inner.recent.pop_front();
        }
        self.sender.send_replace(Arc::clone(view));
    }

    /// Puts an update in force; `false` if it does not fit the configuration that this node has.
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

    /// Returns what a follower at version `after` lacks.
    pub(crate) fn update_since(&self, after: ConfigVersion) -> ConfigUpdate {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let view = self.view();
        if after >= view.version {
            return ConfigUpdate::Unchanged(view.version);
        }
        if let Some(base) = inner.recent.iter().find(|recent| recent.version == after) {
            return ConfigUpdate::Delta(Box::new(delta::between(base, &view)));
        }
        if inner.second.elapsed().as_secs() > 0 {
            inner.second = Instant::now();
            inner.snapshots = 0;
        }
        if inner.snapshots >= SNAPSHOTS_PER_SECOND {
            return ConfigUpdate::Deferred(view.version);
        }
        inner.snapshots += 1;
        ConfigUpdate::Snapshot(Box::new(view.as_ref().clone()))
    }

    /// Records that the configuration was the newest agreed one at `at`.
    pub(crate) fn confirm(&self, at: BootInstant) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.confirmed_at = inner.confirmed_at.max(Some(at));
    }

    /// Returns when the configuration was last known to be the newest agreed one.
    pub(crate) fn confirmed_at(&self) -> Option<BootInstant> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).confirmed_at
    }
}
