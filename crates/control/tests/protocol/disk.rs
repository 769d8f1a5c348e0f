//! The simulated disk of a replica.

use std::sync::Arc;

use daisysill_control::{Recovered, WriteBatch};

/// Synced contents of a simulated disk.
#[derive(Clone, Default)]
pub(crate) struct Disk {
    pub(crate) recovered: Recovered,
}

impl Disk {
    pub(crate) fn write(&mut self, batch: &WriteBatch) {
        let disk = &mut self.recovered;
        if let Some(hard_state) = &batch.hard_state {
            disk.hard_state = Some(hard_state.clone());
        }
        if let Some(snapshot) = &batch.snapshot {
            disk.snapshot = Some(Arc::clone(snapshot));
        }
        if batch.reset_log {
            disk.entries.clear();
        }
        let truncate_from = batch.truncate_from.unwrap_or(u64::MAX);
        disk.entries.retain(|entry| entry.position.index < truncate_from);
        disk.entries.extend(batch.entries.iter().cloned());
        if batch.snapshot.is_some() {
            disk.entries.retain(|entry| entry.position.index >= batch.first_index);
        }
        if !batch.entries.is_empty() {
            disk.commit_index = disk.commit_index.max(batch.commit_index);
        }
        if let Some(snapshot) = &disk.snapshot {
            disk.commit_index = disk.commit_index.max(snapshot.position.index);
        }
    }
}
