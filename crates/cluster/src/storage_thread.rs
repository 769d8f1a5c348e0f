//! The thread that writes the replica's batches to disk and syncs them. After a failed write it opens the data folder again
//! once the disk accepts writes; a disk that hangs blocks this thread only.

use std::{
    sync::mpsc::{self as blocking, RecvTimeoutError},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use daisysill_control::{Recovered, Storage, StorageError, WriteBatch};
use tokio::sync::mpsc;

use crate::metrics::ClusterMetrics;

/// Time between two attempts to open the data folder again. Short against the pause between the failures of two disks, so
/// that a voter is back before the next one halts.
const REOPEN_INTERVAL: Duration = Duration::from_millis(100);

/// What happened to the data folder.
#[derive(Debug)]
pub(crate) enum StorageEvent {
    /// A batch is durable.
    Synced {
        /// The [`WriteBatch::id`].
        batch_id: u64,
    },
    /// A batch could not be written; no further one is, until the folder is open again.
    Failed {
        /// The [`WriteBatch::id`].
        batch_id: u64,
        error: StorageError,
    },
    /// The folder was opened again after a failed write, with these contents.
    Reopened(Box<Recovered>),
    /// The folder cannot be used any more; an operator has to replace it.
    Unusable(StorageError),
}

/// Handle of the storage thread.
#[derive(Debug)]
pub(crate) struct StorageThread {
    batches: Option<blocking::Sender<WriteBatch>>,
    thread: Option<JoinHandle<()>>,
}

impl StorageThread {
    /// Starts the thread. Without a storage, each batch is reported as written at once: the log is in memory only.
    pub(crate) fn start(
        storage: Option<Storage>,
        metrics: ClusterMetrics,
    ) -> std::io::Result<(Self, mpsc::UnboundedReceiver<StorageEvent>)> {
        let (batches, receiver) = blocking::channel::<WriteBatch>();
        // Unbounded, but the replica issues a batch only after the previous one is reported.
        let (events, outcomes) = mpsc::unbounded_channel();
        let writer = Writer { storage, batches: receiver, events, metrics };
        let thread =
            thread::Builder::new().name("daisysill-storage".to_owned()).spawn(move || writer.run())?;
        Ok((Self { batches: Some(batches), thread: Some(thread) }, outcomes))
    }

    /// Queues a batch; returns `false` if the thread has ended.
    pub(crate) fn write(&self, batch: WriteBatch) -> bool {
        self.batches.as_ref().is_some_and(|batches| batches.send(batch).is_ok())
    }

    /// Lets the thread end after the queued writes; the receiver of the events is closed then.
    pub(crate) fn close(&mut self) {
        self.batches = None;
    }

    /// Leaves the thread to itself, so that nothing waits for a disk that hangs. Its data folder must not be opened again in
    /// this process.
    pub(crate) fn detach(&mut self) {
        self.thread = None;
    }
}

impl Drop for StorageThread {
    /// Waits for the queued writes, so that the data folder can be reopened afterwards.
    fn drop(&mut self) {
        self.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What the thread owns.
struct Writer {
    storage: Option<Storage>,
    batches: blocking::Receiver<WriteBatch>,
    events: mpsc::UnboundedSender<StorageEvent>,
    metrics: ClusterMetrics,
}

impl Writer {
    /// Writes batches until the handle or the receiver of the events is dropped.
    fn run(mut self) {
        while let Ok(batch) = self.batches.recv() {
            let start = Instant::now();
            let result = self.storage.as_mut().map_or(Ok(()), |storage| storage.write(&batch));
            self.metrics.sync_seconds.observe(start.elapsed().as_secs_f64());
            let is_sent = match result {
                Ok(()) => self.send(StorageEvent::Synced { batch_id: batch.id }),
                Err(error) => self.send(StorageEvent::Failed { batch_id: batch.id, error }) && self.reopen(),
            };
            if !is_sent {
                return;
            }
        }
    }

    /// Returns `false` if the receiver is gone.
    fn send(&self, event: StorageEvent) -> bool {
        self.events.send(event).is_ok()
    }

    /// Opens the folder again once the disk accepts writes; returns `false` if the thread is to end. A halted replica
    /// issues no batches, so that the channel only reports the end.
    fn reopen(&mut self) -> bool {
        let Some(storage) = &mut self.storage else { return true };
        loop {
            if let Err(RecvTimeoutError::Disconnected) = self.batches.recv_timeout(REOPEN_INTERVAL) {
                return false;
            }
            match storage.reopen() {
                Ok(recovered) => return self.send(StorageEvent::Reopened(Box::new(recovered))),
                Err(StorageError::Io { .. } | StorageError::Failed) => {}
                Err(error @ StorageError::Damaged { .. }) => {
                    return self.send(StorageEvent::Unusable(error));
                }
            }
        }
    }
}
