//! The thread that writes the replica's batches to disk and syncs them.

use std::{
    sync::mpsc as blocking,
    thread::{self, JoinHandle},
    time::Instant,
};

use daisysill_control::{Storage, WriteBatch};
use tokio::sync::mpsc;

use crate::metrics::ClusterMetrics;

/// The result of a write batch.
#[derive(Debug)]
pub(crate) struct WriteDone {
    /// The [`WriteBatch::id`].
    pub(crate) batch_id: u64,
    /// The error; `None` on success.
    pub(crate) error: Option<String>,
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
    ) -> std::io::Result<(Self, mpsc::UnboundedReceiver<WriteDone>)> {
        let (batches, receiver) = blocking::channel::<WriteBatch>();
        // Unbounded, but the replica issues a batch only after the previous one is reported.
        let (done, outcomes) = mpsc::unbounded_channel();
        let run = move || write_all(storage, &receiver, &done, &metrics);
        let thread = thread::Builder::new().name("daisysill-storage".to_owned()).spawn(run)?;
        Ok((Self { batches: Some(batches), thread: Some(thread) }, outcomes))
    }

    /// Queues a batch; returns `false` if the thread has ended.
    pub(crate) fn write(&self, batch: WriteBatch) -> bool {
        self.batches.as_ref().is_some_and(|batches| batches.send(batch).is_ok())
    }
}

impl Drop for StorageThread {
    /// Waits for the queued writes, so that the data folder can be reopened afterwards.
    fn drop(&mut self) {
        self.batches = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write_all(
    mut storage: Option<Storage>,
    batches: &blocking::Receiver<WriteBatch>,
    done: &mpsc::UnboundedSender<WriteDone>,
    metrics: &ClusterMetrics,
) {
    while let Ok(batch) = batches.recv() {
        let start = Instant::now();
        let result = storage.as_mut().map_or(Ok(()), |storage| storage.write(&batch));
        metrics.sync_seconds.observe(start.elapsed().as_secs_f64());
        let error = result.err().map(|error| error.to_string());
        if done.send(WriteDone { batch_id: batch.id, error }).is_err() {
            return;
        }
    }
}
