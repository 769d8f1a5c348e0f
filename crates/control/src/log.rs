//! The log entries held in memory: all since the last snapshot, and some before it.

use std::{collections::VecDeque, sync::Arc};

use crate::entry::{Entry, Payload, Position, VoterSet};

/// Contiguous entries after `base`.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<Arc<Entry>>,
    bytes: usize,
}

impl Log {
    /// Creates a log; `base` is the position before the first of `entries`.
    pub(crate) fn new(base: Position, entries: Vec<Arc<Entry>>) -> Self {
        let bytes = entries.iter().map(|entry| entry.approx_bytes()).sum();
        Self { base, entries: entries.into(), bytes }
    }

    pub(crate) fn first_index(&self) -> u64 {
        self.base.index + 1
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    pub(crate) fn last_time_ms(&self) -> u64 {
        self.entries.back().map_or(0, |entry| entry.time_ms)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Arc<Entry>> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term at `index`; `None` beyond the end, and before `base`.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Returns the entries after `index`.
    pub(crate) fn entries_after(&self, index: u64) -> impl Iterator<Item = &Arc<Entry>> {
        let offset = (index + 1).saturating_sub(self.first_index());
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(self.entries.len());
        self.entries.range(start..)
    }

    /// Returns the estimated size of the entries in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn push(&mut self, entry: Arc<Entry>) {
        self.bytes += entry.approx_bytes();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` onwards.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let keep = usize::try_from(index.saturating_sub(self.first_index())).unwrap_or(usize::MAX);
        while self.entries.len() > keep
            && let Some(entry) = self.entries.pop_back()
        {
            self.bytes -= entry.approx_bytes();
        }
    }

    /// Drops the entries before `index`.
    pub(crate) fn drop_before(&mut self, index: u64) {
        while self.first_index() < index
            && let Some(entry) = self.entries.pop_front()
        {
            self.base = entry.position;
            self.bytes -= entry.approx_bytes();
        }
    }

    /// Returns the last voter set in the entries up to `index`, with the position of its entry.
    pub(crate) fn latest_voters(&self, index: u64) -> Option<(Position, &VoterSet)> {
        let older = self.entries.iter().rev().skip_while(|entry| entry.position.index > index);
        older.into_iter().find_map(|entry| match &entry.payload {
            Payload::Voters(voters) => Some((entry.position, voters)),
            Payload::Command(_) => None,
        })
    }
}
