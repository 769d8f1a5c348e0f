//! Which requests a connection has carried, and which answers on it belong to the one in progress.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Requests whose IDs are remembered for one connection, which bounds the memory of their hashes to some 20 KB.
const MAX_REMEMBERED_REQUESTS: usize = 1_024;

/// The requests of one connection, known by hashes of their IDs.
///
/// ```
/// use daisysill_core::carried_requests::CarriedRequests;
/// let mut carried = CarriedRequests::default();
/// assert!(!carried.begin(Some("r1")));
/// assert!(carried.is_answer(Some("r1")) && !carried.is_answer(Some("r0")));
/// assert!(carried.begin(Some("r1")));
/// assert_eq!(carried.count(), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CarriedRequests {
    hashes: HashSet<u64>,
    count: u64,
    /// The ID of the request whose answer is due; `None` also if it has none.
    in_progress: Option<String>,
}

impl CarriedRequests {
    /// Returns the number of requests that were sent.
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether a request was sent before.
    pub fn has_carried(&self, request_id: Option<&str>) -> bool {
        self.hashes.contains(&hash(request_id))
    }

    /// Records that a request is about to be sent; returns whether it was sent before.
    pub fn begin(&mut self, request_id: Option<&str>) -> bool {
        let was_carried = self.has_carried(request_id);
        self.count += 1;
        self.in_progress = request_id.map(str::to_owned);
        if self.hashes.len() < MAX_REMEMBERED_REQUESTS {
            self.hashes.insert(hash(request_id));
        }
        was_carried
    }

    /// Returns whether an answer with this ID belongs to the request in progress; otherwise it is one too many.
    pub fn is_answer(&self, answered_id: Option<&str>) -> bool {
        self.in_progress.as_deref() == answered_id
    }
}

fn hash(request_id: Option<&str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}
