//! Where streams began, as this node knows it: origins, the software versions that were listed, and what of it is to be
//! reported to other nodes.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::{
    ids::{InstanceId, ServiceName, SoftwareVersion},
    origin_log::{OriginBatch, OriginLog, OriginSource, ProcessId},
    software_history::SoftwareHistory,
    stream_origins::{ORIGIN_LIFETIME_MS, StreamOrigins},
};
use daisysill_wire::peer::{ReportedOrigin, Spread, StreamOrigin};
use tokio::{sync::watch, time::timeout};

use crate::clock::BootInstant;

/// Time in which the next reading of the list reaches all control nodes; the leader begins one about every second.
const READING_TIMEOUT: Duration = Duration::from_millis(1_700);

#[derive(Debug, Default)]
struct Inner {
    known: StreamOrigins,
    history: SoftwareHistory,
    log: OriginLog,
}

/// The origins that this node knows, and those that it reports.
#[derive(Debug)]
pub struct OriginStore {
    start: BootInstant,
    /// This start of the process, which receives origins.
    process: ProcessId,
    /// Notified of each addition to the log.
    additions: watch::Sender<()>,
    /// Notified of each reading of the list.
    readings: watch::Sender<()>,
    inner: Mutex<Inner>,
}

impl Default for OriginStore {
    fn default() -> Self {
        Self {
            start: BootInstant::now(),
            process: ProcessId(rand::random()),
            additions: watch::Sender::new(()),
            readings: watch::Sender::new(()),
            inner: Mutex::default(),
        }
    }
}

impl OriginStore {
    /// Records origins of streams that began just now, to be reported as `spread` says.
    pub fn record(&self, origins: Vec<StreamOrigin>, spread: Spread) {
        let reported = origins.into_iter().map(|origin| ReportedOrigin { origin, age_ms: 0 });
        self.record_reported(reported.collect(), spread);
    }

    /// Records origins that a node reports, to be reported further as `spread` says; returns this process. Those that this
    /// node knows are not reported again.
    pub fn record_reported(&self, origins: Vec<ReportedOrigin>, spread: Spread) -> ProcessId {
        let source = match spread {
            Spread::ToControlNodes => OriginSource::EntryNode,
            Spread::None => OriginSource::ControlNode,
        };
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let mut has_new = false;
        for ReportedOrigin { origin: StreamOrigin { stream, software }, age_ms } in origins {
            let age_ms = u64::from(age_ms);
            if age_ms >= ORIGIN_LIFETIME_MS || inner.known.find(now_ms, stream) == Some(&software) {
                continue;
            }
            inner.known.record(now_ms, stream, &software);
            inner.log.record(now_ms, stream, &software, now_ms.saturating_sub(age_ms), source);
            has_new = true;
        }
        drop(inner);
        if has_new {
            self.additions.send_replace(());
        }
        self.process
    }

    /// Returns the software version at which a stream began, if this node was told.
    pub fn find(&self, stream: u64) -> Option<SoftwareVersion> {
        let now_ms = self.now_ms();
        self.lock().known.find(now_ms, stream).cloned()
    }

    /// Records a reading of the list that began at `begun_at` or later: the service and the software version of each
    /// upstream.
    pub(crate) fn record_listed<'a>(
        &self,
        begun_at: BootInstant,
        listed: impl IntoIterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) {
        let begun_ms = self.ms_at(begun_at);
        self.lock().history.record(begun_ms, listed);
        self.readings.send_replace(());
    }

    /// Returns the only software version at which a stream of a service can have begun that was asked for at `asked_at`.
    /// Waits for a reading of the list that began later; `None` if it does not arrive or there is no such version.
    pub(crate) async fn sole_version(
        &self,
        asked_at: BootInstant,
        service: &ServiceName,
    ) -> Option<SoftwareVersion> {
        let asked_ms = self.ms_at(asked_at);
        let mut readings = self.readings.subscribe();
        let is_decided = |(): &()| {
            let Inner { history, .. } = &*self.lock();
            !history.may_be_sole(asked_ms, service) || history.is_read_after(asked_ms)
        };
        timeout(READING_TIMEOUT, readings.wait_for(is_decided)).await.ok()?.ok()?;
        self.lock().history.sole_version(asked_ms, service).cloned()
    }

    /// Returns a receiver that is notified of origins to report.
    pub(crate) fn additions(&self) -> watch::Receiver<()> {
        self.additions.subscribe()
    }

    /// Returns the next origins to report to a node, at most `max`, and the position behind them.
    pub(crate) fn next_report(&self, receiver: &InstanceId, max: usize) -> (Vec<ReportedOrigin>, u64) {
        let now_ms = self.now_ms();
        let OriginBatch { origins, end } = self.lock().log.batch(now_ms, receiver, max);
        let reported = origins.into_iter().map(|origin| ReportedOrigin {
            age_ms: u32::try_from(now_ms.saturating_sub(origin.began_ms)).unwrap_or(u32::MAX),
            origin: StreamOrigin {
                stream: origin.stream,
                software: SoftwareVersion::clone(&origin.software),
            },
        });
        (reported.collect(), end)
    }

    /// Records that a process of the node took the report that ends at `end`; returns whether it has started anew since the
    /// last one.
    pub(crate) fn record_answer(&self, receiver: &InstanceId, process: ProcessId, end: u64) -> bool {
        self.lock().log.record_answer(receiver, process, end)
    }

    /// Returns whether a node may lack an origin that this one reports.
    pub fn is_behind(&self, receiver: &InstanceId) -> bool {
        let now_ms = self.now_ms();
        self.lock().log.is_behind(now_ms, receiver)
    }

    /// Returns whether this node has any origin to report.
    pub(crate) fn has_origins(&self) -> bool {
        !self.lock().log.is_empty()
    }

    fn now_ms(&self) -> u64 {
        self.ms_at(BootInstant::now())
    }

    fn ms_at(&self, at: BootInstant) -> u64 {
        u64::try_from(at.since(self.start).as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
