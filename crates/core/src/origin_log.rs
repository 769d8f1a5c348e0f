//! The origins of streams that a node reports to other nodes, and which of them each receiver holds.
//!
//! Receivers keep origins in memory, so a process that started anew holds none. Each answer to a report therefore names
//! the receiver's process: if it is another one than before, all origins are reported to it again.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::{
    ids::{InstanceId, SoftwareVersion},
    stream_origins::ORIGIN_LIFETIME_MS,
};

/// Origins in the log; bounds the memory. The oldest are dropped.
const MAX_LOGGED: usize = 400_000;
/// Receivers whose position is kept; an entry node reports to few control nodes.
const MAX_RECEIVERS: usize = 32;

/// Identifies one start of a process; drawn at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ProcessId(pub u64);

/// How a node learned of an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// The stream began here, or the entry node where it began reported it here.
    EntryNode,
    /// Another control node reported it, and reports it to all others itself.
    ControlNode,
}

/// An origin in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedOrigin {
    /// Hash of the stream.
    pub stream: u64,
    /// The software version that began it.
    pub software: Arc<SoftwareVersion>,
    /// When the stream began, on the node's clock.
    pub began_ms: u64,
    source: OriginSource,
}

/// The next origins to report to a receiver.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginBatch {
    /// The origins, those that were recorded first at the front; empty if the receiver holds all.
    pub origins: Vec<LoggedOrigin>,
    /// Position behind them.
    pub end: u64,
}

/// What a receiver holds.
#[derive(Clone, Copy, Debug)]
struct Receiver {
    process: ProcessId,
    /// Position of the first origin that it may lack.
    next: u64,
    /// Before this position it is sent all origins, behind it only those of entry nodes: it was not running, or not a receiver,
    /// when other control nodes reported theirs.
    all_before: u64,
}

/// The origins that were recorded within their lifetime, in the order in which they were recorded.
#[derive(Debug, Default)]
pub struct OriginLog {
    origins: VecDeque<LoggedOrigin>,
    /// Position of the first origin.
    first: u64,
    receivers: BTreeMap<InstanceId, Receiver>,
    /// Shared by the origins.
    versions: Vec<Arc<SoftwareVersion>>,
}

impl OriginLog {
    /// Records an origin that is to be reported.
    ///
    /// ```
    /// use daisysill_core::origin_log::{OriginLog, OriginSource, ProcessId};
    /// let mut log = OriginLog::default();
    /// log.record(0, 7, &"v1".into(), 0, OriginSource::EntryNode);
    /// let receiver = "c1".into();
    /// let batch = log.batch(0, &receiver, 10);
    /// assert_eq!(batch.origins.len(), 1);
    /// log.record_answer(&receiver, ProcessId(1), batch.end);
    /// assert!(log.batch(0, &receiver, 10).origins.is_empty());
    /// assert!(log.record_answer(&receiver, ProcessId(2), batch.end), "it has started anew");
    /// assert_eq!(log.batch(0, &receiver, 10).origins.len(), 1);
    /// ```
    pub fn record(
        &mut self,
        now_ms: u64,
        stream: u64,
        software: &SoftwareVersion,
        began_ms: u64,
        source: OriginSource,
    ) {
        self.discard_outdated(now_ms);
        if self.origins.len() >= MAX_LOGGED {
            self.discard_first();
        }
        let software = self.shared(software);
        self.origins.push_back(LoggedOrigin { stream, software, began_ms, source });
    }

    /// Returns the next origins to report to a receiver, at most `max`.
    pub fn batch(&mut self, now_ms: u64, receiver: &InstanceId, max: usize) -> OriginBatch {
        self.discard_outdated(now_ms);
        let known = self.receivers.get(receiver);
        let (next, all_before) = known.map_or((0, u64::MAX), |known| (known.next, known.all_before));
        let mut batch = OriginBatch { origins: Vec::new(), end: next.max(self.first) };
        let skipped = usize::try_from(batch.end - self.first).unwrap_or(usize::MAX);
        for origin in self.origins.range(skipped.min(self.origins.len())..) {
            if batch.origins.len() >= max {
                break;
            }
            if origin.source == OriginSource::EntryNode || batch.end < all_before {
                batch.origins.push(origin.clone());
            }
            batch.end += 1;
        }
        batch
    }

    /// Records that a receiver took the batch that ends at `end`, and which process it is. Returns whether it is another one
    /// than before, which is then sent everything again.
    pub fn record_answer(&mut self, receiver: &InstanceId, process: ProcessId, end: u64) -> bool {
        let log_end = self.end();
        if let Some(known) = self.receivers.get_mut(receiver) {
            let has_restarted = known.process != process;
            if has_restarted {
                // It may hold the batch, but nothing of what was reported before.
                *known = Receiver { process, next: 0, all_before: log_end };
            } else {
                known.next = known.next.max(end);
            }
            return has_restarted;
        }
        if self.receivers.len() >= MAX_RECEIVERS {
            // It is sent everything again if this node reports to it once more.
            self.receivers.pop_first();
        }
        self.receivers.insert(receiver.clone(), Receiver { process, next: end, all_before: log_end });
        false
    }

    /// Returns whether a receiver may lack an origin.
    pub fn is_behind(&mut self, now_ms: u64, receiver: &InstanceId) -> bool {
        !self.batch(now_ms, receiver, 1).origins.is_empty()
    }

    /// Returns whether the log holds no origin.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn end(&self) -> u64 {
        self.first + self.origins.len() as u64
    }

    /// Drops the origins whose streams nobody takes up anymore. They are ordered by the time of recording, so one that a
    /// restarted node received late may stay until those before it are outdated.
    fn discard_outdated(&mut self, now_ms: u64) {
        while let Some(first) = self.origins.front() {
            if now_ms.saturating_sub(first.began_ms) < ORIGIN_LIFETIME_MS {
                break;
            }
            self.discard_first();
        }
    }

    fn discard_first(&mut self) {
        self.first += u64::from(self.origins.pop_front().is_some());
        if self.origins.is_empty() {
            self.versions.clear();
        }
    }

    /// Returns the shared copy of a version.
    fn shared(&mut self, software: &SoftwareVersion) -> Arc<SoftwareVersion> {
        if let Some(known) = self.versions.iter().find(|known| known.as_ref() == software) {
            return Arc::clone(known);
        }
        let shared = Arc::new(software.clone());
        self.versions.push(Arc::clone(&shared));
        shared
    }
}
