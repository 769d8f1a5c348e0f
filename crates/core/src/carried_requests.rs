//! Which requests a connection has carried, and which answers on it belong to the one in progress.
//!
//! An upstream may send a copy of an answer at any later time, also of a refusal, which states that a request has not run. The copy
//! has the ID of the request that was answered. So the ID identifies the request of an answer only while a connection carries each ID
//! once.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Requests after which a connection is not chosen any more. Their hashes fill a table of 1,024 places, some 9 KB.
pub const MAX_CARRIED_REQUESTS: usize = 896;

/// The requests of one connection, known by hashes of their IDs. Two IDs with the same hash count as one.
///
/// ```
/// use daisysill_core::carried_requests::CarriedRequests;
/// let mut carried = CarriedRequests::default();
/// assert!(carried.begin(Some("r1")).is_ok());
/// assert!(carried.is_answer(Some("r1")) && !carried.is_answer(Some("r0")));
/// assert!(carried.admits(Some("r2")) && !carried.admits(Some("r1")));
/// assert!(carried.begin(Some("r1")).is_err());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CarriedRequests {
    hashes: HashSet<u64>,
    /// The ID of the request whose answer is due; `None` also if it has none.
    in_progress: Option<String>,
}

/// The request must not be sent on the connection: its answer could not be distinguished from a copy of an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyCarried;

impl CarriedRequests {
    /// Returns whether the connection may be chosen for a request. Requests without an ID count as one request.
    pub fn admits(&self, request_id: Option<&str>) -> bool {
        !self.is_full() && !self.hashes.contains(&hash(request_id))
    }

    /// Returns whether the connection is chosen for no further request. One that was chosen before may still be sent.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_CARRIED_REQUESTS
    }

    /// Returns the number of requests that were sent.
    pub fn count(&self) -> usize {
        self.hashes.len()
    }

    /// Records that a request is about to be sent.
    ///
    /// # Errors
    /// Fails if it was sent before.
    pub fn begin(&mut self, request_id: Option<&str>) -> Result<(), AlreadyCarried> {
        if !self.hashes.insert(hash(request_id)) {
            return Err(AlreadyCarried);
        }
        self.in_progress = request_id.map(str::to_owned);
        Ok(())
    }

    /// Returns the ID of the request whose answer is due; `None` also if it has none.
    pub fn in_progress(&self) -> Option<&str> {
        self.in_progress.as_deref()
    }

    /// Returns whether an answer with this ID belongs to the request in progress; otherwise it is to be discarded.
    pub fn is_answer(&self, answered_id: Option<&str>) -> bool {
        self.in_progress.as_deref() == answered_id
    }
}

fn hash(request_id: Option<&str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}
