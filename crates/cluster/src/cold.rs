//! Which upstreams are cold, by the newest reading of the platform's list that this node knows of.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use daisysill_wire::peer::{ColdReply, ColdUpstream, UpstreamEntry, UpstreamStart};
use tokio::sync::watch;

use crate::{clock::BootInstant, software::start_of};

/// Two readings of the list are further apart than this. The times of one reading, as two calls give them, differ by less.
const MIN_READING_INTERVAL: Duration = Duration::from_millis(300);
/// Upstreams that are no longer listed are dropped once this many are known for each listed one.
const MAX_READ_PER_LISTED: usize = 4;

/// The cold state of the upstreams of one reading of the list.
#[derive(Clone, Debug, Default)]
pub struct ColdReading {
    /// When the list was read, or earlier; `None` if it never was.
    pub read_at: Option<BootInstant>,
    cold: HashMap<UpstreamStart, Duration>,
    /// The upstreams that this reading or an earlier one showed.
    read: HashSet<UpstreamStart>,
}

impl ColdReading {
    /// Returns how long an upstream stays cold from the reading on, zero if it is warm; `None` if no reading showed it.
    pub fn left(&self, upstream: &UpstreamEntry) -> Option<Duration> {
        let start = start_of(upstream);
        self.read.contains(&start).then(|| self.cold.get(&start).copied().unwrap_or_default())
    }

    /// Replaces the cold upstreams; returns whether one was not cold before.
    fn set_cold(&mut self, read_at: BootInstant, cold: Vec<ColdUpstream>) -> bool {
        let cold: HashMap<UpstreamStart, Duration> =
            cold.into_iter().map(|one| (one.start, Duration::from_millis(one.left_ms))).collect();
        let is_newly_cold = cold.keys().any(|start| !self.cold.contains_key(start));
        self.read.extend(cold.keys().cloned());
        self.cold = cold;
        self.read_at = Some(read_at);
        is_newly_cold
    }
}

/// The newest reading, and what is asked about it.
#[derive(Debug, Default)]
pub(crate) struct ColdTable {
    reading: watch::Sender<Arc<ColdReading>>,
    is_awaited: AtomicBool,
    /// Whether an upstream has become cold since the last publication.
    is_newly_cold: AtomicBool,
    asked_at: Mutex<Option<BootInstant>>,
}

impl ColdTable {
    /// Returns a receiver of the newest reading.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<ColdReading>> {
        self.reading.subscribe()
    }

    /// Records a reading by this node, with all listed upstreams.
    pub(crate) fn record(&self, times: Vec<ColdUpstream>, read_at: BootInstant) {
        self.replace(read_at, |reading| {
            reading.read = times.iter().map(|one| one.start.clone()).collect();
            let cold = times.into_iter().filter(|one| one.left_ms > 0).collect();
            if reading.set_cold(read_at, cold) {
                self.is_newly_cold.store(true, Ordering::Relaxed);
            }
        });
    }

    /// Adopts the response to a request about the upstreams `asked` at `asked_at`.
    pub(crate) fn adopt(&self, asked: Vec<UpstreamStart>, answer: ColdReply, asked_at: BootInstant) {
        // An age is less than a millisecond more than it says.
        let age = answer.age_ms.map(|age_ms| Duration::from_millis(age_ms.saturating_add(1)));
        let Some(read_at) = age.and_then(|age| asked_at.checked_sub(age)) else { return };
        let unread: HashSet<UpstreamStart> = answer.unread.into_iter().collect();
        self.replace(read_at, |reading| {
            reading.set_cold(read_at, answer.cold);
            reading.read.extend(asked.into_iter().filter(|start| !unread.contains(start)));
        });
    }

    /// Applies a reading, unless it is older than the known one.
    fn replace(&self, read_at: BootInstant, change: impl FnOnce(&mut ColdReading)) {
        self.reading.send_if_modified(|shared| {
            if shared.read_at.is_some_and(|known| known > read_at) {
                return false;
            }
            change(Arc::make_mut(shared));
            true
        });
    }

    /// Returns the response to a node that requests the cold state of upstreams that are new to it.
    pub(crate) fn answer(&self, asked: Vec<UpstreamStart>) -> ColdReply {
        let reading = Arc::clone(&self.reading.borrow());
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let cold = reading
            .cold
            .iter()
            .map(|(start, left)| ColdUpstream { start: start.clone(), left_ms: millis(*left) });
        ColdReply {
            age_ms: reading.read_at.map(|at| millis(at.elapsed())),
            cold: cold.collect(),
            unread: asked.into_iter().filter(|start| !reading.read.contains(start)).collect(),
        }
    }

    /// Returns the listed upstreams that no reading showed.
    pub(crate) fn missing(&self, listed: &[UpstreamEntry]) -> Vec<UpstreamStart> {
        let reading = self.reading.borrow();
        listed.iter().map(start_of).filter(|start| !reading.read.contains(start)).collect()
    }

    /// Drops upstreams that are no longer listed, if they are many.
    pub(crate) fn prune(&self, listed: &[UpstreamEntry]) {
        self.reading.send_if_modified(|shared| {
            if shared.read.len() > listed.len() * MAX_READ_PER_LISTED {
                let listed: HashSet<UpstreamStart> = listed.iter().map(start_of).collect();
                Arc::make_mut(shared).read.retain(|start| listed.contains(start));
            }
            false
        });
    }

    /// Sets whether this node waits for a newer reading.
    pub(crate) fn set_awaited(&self, is_awaited: bool) {
        self.is_awaited.store(is_awaited, Ordering::Relaxed);
    }

    /// Returns whether newer readings matter to this node.
    pub(crate) fn is_needed(&self) -> bool {
        self.is_awaited.load(Ordering::Relaxed) || !self.reading.borrow().cold.is_empty()
    }

    /// Returns whether to ask about the reading of `read_at`: it is newer than the known one, and was not asked about just now.
    pub(crate) fn try_ask(&self, read_at: BootInstant) -> bool {
        let is_newer =
            self.reading.borrow().read_at.is_none_or(|known| read_at.since(known) > MIN_READING_INTERVAL);
        let mut asked_at = self.asked_at.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = is_newer && asked_at.is_none_or(|at| at.elapsed() > MIN_READING_INTERVAL);
        if is_due {
            *asked_at = Some(BootInstant::now());
        }
        is_due
    }

    /// Returns whether an upstream has become cold since the last call.
    pub(crate) fn take_newly_cold(&self) -> bool {
        self.is_newly_cold.swap(false, Ordering::Relaxed)
    }
}
