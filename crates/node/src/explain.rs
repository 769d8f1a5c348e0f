//! Keeps the decisions of the latest requests for `daisysill explain`.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use daisysill_wire::http_types::Explanation;

/// Number of finished requests whose explanations are kept.
const MAX_EXPLANATIONS: usize = 1_000;

/// The explanations of the latest finished requests, newest first.
#[derive(Debug, Default)]
pub struct ExplainLog {
    entries: Mutex<VecDeque<Explanation>>,
}

impl ExplainLog {
    /// Adds the explanation of a finished request; the oldest one is dropped if there are too many.
    pub fn add(&self, explanation: Explanation) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push_front(explanation);
        entries.truncate(MAX_EXPLANATIONS);
    }

    /// Returns at most `limit` explanations, newest first; only those of `request_id` if it is given.
    pub fn find(&self, request_id: Option<&str>, limit: usize) -> Vec<Explanation> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let wanted = entries.iter().filter(|e| request_id.is_none_or(|id| e.request_id == id));
        wanted.take(limit).cloned().collect()
    }
}
