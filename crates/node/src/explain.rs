//! Keeps why the latest requests were served as they were.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use daisysill_wire::http_types::Explanation;

/// Explanations kept.
const KEPT_REQUESTS: usize = 1_000;

/// The latest explanations, newest first.
#[derive(Debug, Default)]
pub struct ExplainLog {
    entries: Mutex<VecDeque<Explanation>>,
}

impl ExplainLog {
    /// Adds the explanation of a finished request.
    pub fn add(&self, explanation: Explanation) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push_front(explanation);
        entries.truncate(KEPT_REQUESTS);
    }

    /// Returns at most `limit` explanations, of one request if its id is given.
    pub fn find(&self, request_id: Option<&str>, limit: usize) -> Vec<Explanation> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let wanted = entries.iter().filter(|e| request_id.is_none_or(|id| e.request_id == id));
        wanted.take(limit).cloned().collect()
    }
}
