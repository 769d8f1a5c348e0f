//! Non-idempotent requests in progress on this node.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use daisysill_control::command::ClaimKey;
use tokio::sync::watch;

use crate::{refusal::Refusal, upstream_api::PlainResponse};

/// The response of a request to a plain service, or why it has none.
pub type PlainResult = Result<PlainResponse, Refusal>;

/// Non-idempotent requests in progress on this node, by idempotency key.
#[derive(Debug, Default)]
pub struct ClaimedRequests {
    running: Mutex<BTreeMap<ClaimKey, Running>>,
}

#[derive(Debug)]
struct Running {
    digest: String,
    result: watch::Receiver<Option<PlainResult>>,
}

/// What [`ClaimedRequests::join`] found.
#[derive(Debug)]
pub enum JoinOutcome {
    /// No request with this key is in progress on this node; the holder of the guard runs it.
    New(ExecutionGuard, watch::Receiver<Option<PlainResult>>),
    /// The same request is in progress on this node; the receiver gets its result.
    Running(watch::Receiver<Option<PlainResult>>),
    /// A different request is in progress under this key.
    KeyReused,
}

impl ClaimedRequests {
    /// Joins the request in progress under `key` if its digest is equal, or registers a new one.
    pub fn join(self: &Arc<Self>, key: &ClaimKey, digest: &str) -> JoinOutcome {
        let mut running = self.lock();
        if let Some(request) = running.get(key) {
            return if request.digest == digest {
                JoinOutcome::Running(request.result.clone())
            } else {
                JoinOutcome::KeyReused
            };
        }
        let (sender, result) = watch::channel(None);
        running.insert(key.clone(), Running { digest: digest.to_owned(), result: result.clone() });
        JoinOutcome::New(ExecutionGuard { requests: Arc::clone(self), key: key.clone(), sender }, result)
    }

    /// Returns the number of requests in progress, or finished without a recorded outcome.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ClaimKey, Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The right to run a request; dropping the guard removes the request from the table.
#[derive(Debug)]
pub struct ExecutionGuard {
    requests: Arc<ClaimedRequests>,
    key: ClaimKey,
    sender: watch::Sender<Option<PlainResult>>,
}

impl ExecutionGuard {
    /// Sends the result to every caller that waits for it.
    pub fn publish(&self, result: PlainResult) {
        self.sender.send_replace(Some(result));
    }

    /// Returns the customer, the service and the idempotency key.
    pub fn key(&self) -> &ClaimKey {
        &self.key
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        self.requests.lock().remove(&self.key);
    }
}
