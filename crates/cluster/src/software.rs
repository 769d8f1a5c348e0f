//! The software versions of upstreams, as the platform lists them.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use daisysill_core::ids::{ServiceName, SoftwareVersion};
use daisysill_wire::peer::{UpstreamEntry, UpstreamSoftware, UpstreamStart};

/// Upstreams that are no longer listed are dropped once this many are known for each listed one.
const MAX_KNOWN_PER_LISTED: usize = 4;

/// The software version of each upstream that was listed recently.
#[derive(Debug, Default)]
pub(crate) struct SoftwareTable(Mutex<HashMap<UpstreamStart, SoftwareVersion>>);

impl SoftwareTable {
    /// Records software versions.
    pub(crate) fn record(&self, software: Vec<UpstreamSoftware>) {
        self.lock().extend(software.into_iter().map(|entry| (entry.start, entry.software)));
    }

    /// Returns the software version of an upstream; `None` if it is not known, or none is listed.
    pub(crate) fn get(&self, start: &UpstreamStart) -> Option<SoftwareVersion> {
        self.lock().get(start).filter(|software| !software.as_str().is_empty()).cloned()
    }

    /// Returns the software versions of those upstreams that are known.
    pub(crate) fn known(&self, starts: Vec<UpstreamStart>) -> Vec<UpstreamSoftware> {
        let table = self.lock();
        let known = starts.into_iter().filter_map(|start| {
            let software = table.get(&start)?.clone();
            Some(UpstreamSoftware { start, software })
        });
        known.collect()
    }

    /// Returns the service and the software version of each listed upstream, an empty one if none is listed; `None` if one
    /// is not known.
    pub(crate) fn of_listed<'a>(
        &self,
        listed: &'a [UpstreamEntry],
    ) -> Option<Vec<(&'a ServiceName, SoftwareVersion)>> {
        let table = self.lock();
        listed.iter().map(|entry| Some((&entry.service, table.get(&start_of(entry))?.clone()))).collect()
    }

    /// Returns the listed upstreams whose software version is not known.
    pub(crate) fn missing(&self, listed: &[UpstreamEntry]) -> Vec<UpstreamStart> {
        let table = self.lock();
        listed.iter().map(start_of).filter(|start| !table.contains_key(start)).collect()
    }

    /// Drops upstreams that are no longer listed, if they are many.
    pub(crate) fn prune(&self, listed: &[UpstreamEntry]) {
        let mut table = self.lock();
        if table.len() > listed.len() * MAX_KNOWN_PER_LISTED {
            let listed: Vec<UpstreamStart> = listed.iter().map(start_of).collect();
            table.retain(|start, _| listed.contains(start));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamStart, SoftwareVersion>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the start of a listed upstream.
pub(crate) fn start_of(entry: &UpstreamEntry) -> UpstreamStart {
    UpstreamStart { id: entry.id.clone(), started_unix_ms: entry.started_unix_ms }
}
