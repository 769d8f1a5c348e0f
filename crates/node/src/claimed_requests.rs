//! Calls that run at most once and are in progress on this node.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use daisysill_control::command::ClaimKey;
use tokio::sync::watch;

use crate::{refusal::Refusal, upstream_api::PlainResponse};

/// How a call ended, once it has.
pub type CallResult = Result<PlainResponse, Refusal>;

/// Calls that run at most once and are in progress on this node.
#[derive(Debug, Default)]
pub struct ClaimedRequests {
    running: Mutex<BTreeMap<ClaimKey, Running>>,
}

#[derive(Debug)]
struct Running {
    digest: String,
    result: watch::Receiver<Option<CallResult>>,
}

/// What a caller finds when it brings a call.
#[derive(Debug)]
pub enum Joined {
    /// The call is new on this node; whoever holds the ticket runs it.
    New(Ticket, watch::Receiver<Option<CallResult>>),
    /// The call is in progress on this node; its result arrives here.
    Running(watch::Receiver<Option<CallResult>>),
    /// The key is in use for another call.
    KeyReused,
}

impl ClaimedRequests {
    /// Joins a call in progress or starts a new one.
    pub fn join(self: &Arc<Self>, key: &ClaimKey, digest: &str) -> Joined {
        let mut running = self.lock();
        if let Some(call) = running.get(key) {
            return if call.digest == digest {
                Joined::Running(call.result.clone())
            } else {
                Joined::KeyReused
            };
        }
        let (sender, result) = watch::channel(None);
        running.insert(key.clone(), Running { digest: digest.to_owned(), result: result.clone() });
        Joined::New(Ticket { calls: Arc::clone(self), key: key.clone(), sender }, result)
    }

    /// Returns the number of calls in progress, or finished with an outcome that is not recorded yet.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ClaimKey, Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The right to run a call; the call leaves the table when the ticket is dropped.
#[derive(Debug)]
pub struct Ticket {
    calls: Arc<ClaimedRequests>,
    key: ClaimKey,
    sender: watch::Sender<Option<CallResult>>,
}

impl Ticket {
    /// Gives the result to every caller that waits for it.
    pub fn publish(&self, result: CallResult) {
        self.sender.send_replace(Some(result));
    }

    /// Returns what identifies the call.
    pub fn key(&self) -> &ClaimKey {
        &self.key
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.calls.lock().remove(&self.key);
    }
}
