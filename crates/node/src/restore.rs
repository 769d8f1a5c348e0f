//! Restores KV cache before an attempt: an engine imports blocks from a store.

use std::{rc::Rc, sync::Arc, time::Duration};

use daisysill_core::{
    block::{BlockDescriptor, BlockName},
    ids::InstanceId,
    route::Decision,
};
use daisysill_wire::http_types::{ImportRequest, StoredBlock};
use tokio::time::{Instant, timeout_at};

use crate::{
    directory::{BlockLease, MAX_LEASE},
    request::new_id,
    shared::Shared,
    upstream_api::{AttemptResult, Engine},
};

/// Factor between the time that a transfer should take at its link's speed and the time that it gets.
const TRANSFER_TIME_FACTOR: u64 = 3;
/// Shortest time limit of a transfer: six small blocks took 240 ms, since each waited for a delayed TCP
/// acknowledgement.
const MIN_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);
const US_PER_S: u64 = 1_000_000;

/// A restore into one engine.
pub struct Restore {
    /// Gives the store's URL, its link speed and the leases of blocks.
    pub shared: Arc<Shared>,
    /// Client for the engine that imports.
    pub engine: Rc<dyn Engine>,
    /// Base URL of the engine that imports.
    pub engine_url: String,
    /// When the response to the caller must be complete; the transfer gets at most half of the time left.
    pub deadline: Instant,
}

impl Restore {
    /// Imports the blocks that the decision plans. Returns the outcome in one line, or `None` without a plan.
    ///
    /// A failed restore costs only time: the engine computes what it did not import. Dropping the future
    /// cancels the transfer.
    pub async fn run(&self, decision: &Decision, names: &[BlockName]) -> Option<String> {
        let plan = decision.restore.as_ref()?;
        let wanted = names.iter().skip(plan.first_piece).take(plan.piece_count).cloned();
        let wanted: Vec<BlockName> = wanted.collect();
        let Some(store_url) = self.shared.upstreams.url(&plan.store) else {
            return Some(format!("nothing restored: store {} is gone", plan.store));
        };
        if !self.shared.may_send(&plan.store) {
            return Some(format!("nothing restored: the zone of store {} is evacuated", plan.store));
        }
        let Some(lease) = self.shared.directory.lease(&plan.store, &wanted, MAX_LEASE) else {
            return Some(format!("nothing restored: store {} no longer lists the blocks", plan.store));
        };
        let end = self.transfer_deadline(&plan.store, &lease);
        let request = ImportRequest {
            blocks: lease.blocks.iter().map(stored_block).collect(),
            store_url,
            transfer_id: new_id("xfer"),
        };
        let mut cancel = CancelOnDrop {
            engine: Rc::clone(&self.engine),
            url: self.engine_url.clone(),
            id: Some(request.transfer_id.clone()),
        };
        let imported = timeout_at(end, self.engine.import(&self.engine_url, &request)).await;
        if matches!(imported, Ok(Ok(_))) {
            cancel.id = None;
        }
        Some(self.record_result(&plan.store, &lease, imported.ok()))
    }

    fn transfer_deadline(&self, store: &InstanceId, lease: &BlockLease) -> Instant {
        let bytes: u64 = lease.blocks.iter().map(|block| block.length_bytes).sum();
        let queued = self.shared.directory.booked_bytes(store).max(bytes);
        let speed = self.shared.upstreams.link_bytes_per_s(store);
        let expected_us = queued.saturating_mul(US_PER_S) / speed.max(1);
        let limit =
            Duration::from_micros(expected_us.saturating_mul(TRANSFER_TIME_FACTOR)).max(MIN_TRANSFER_TIMEOUT);
        // The other half of the remaining time is for computing what is not imported.
        let half = self.deadline.saturating_duration_since(Instant::now()) / 2;
        Instant::now() + limit.min(MAX_LEASE).min(half)
    }

    fn record_result(
        &self,
        store: &InstanceId,
        lease: &BlockLease,
        imported: Option<AttemptResult<daisysill_wire::http_types::ImportReply>>,
    ) -> String {
        let metrics = &self.shared.metrics;
        let wanted = lease.blocks.len();
        let reply = match imported {
            Some(Ok(reply)) => reply,
            Some(Err(error)) => {
                metrics.failed_restores.inc();
                return format!("nothing restored from {store}: {error}");
            }
            None => {
                metrics.failed_restores.inc();
                return format!(
                    "nothing restored from {store}: the transfer took too long and was cancelled"
                );
            }
        };
        metrics.restored_bytes.inc_by(reply.bytes);
        let imported = usize::try_from(reply.imported).unwrap_or(usize::MAX).min(wanted);
        if let Some(missing) = lease.blocks.get(imported) {
            // The engine stops at the first block that is missing or fails verification.
            metrics.partial_restores.inc();
            self.shared.directory.unlist(store, &missing.name, missing.generation);
        }
        format!("{imported} of {wanted} pieces restored from {store}")
    }
}

fn stored_block(block: &BlockDescriptor) -> StoredBlock {
    StoredBlock {
        name: block.name.as_str().to_owned(),
        generation: block.generation,
        length_bytes: block.length_bytes,
        checksum: block.checksum,
    }
}

/// Cancels an attempt or a transfer at its engine when dropped, unless `id` is `None`.
pub struct CancelOnDrop {
    /// Client for the engine.
    pub engine: Rc<dyn Engine>,
    /// Base URL of the engine.
    pub url: String,
    /// Id of the attempt or the transfer.
    pub id: Option<String>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(id) = self.id.take() else { return };
        let (engine, url) = (Rc::clone(&self.engine), std::mem::take(&mut self.url));
        actix_rt::spawn(async move {
            // If the upstream is gone, there is nothing left to cancel.
            let _ = engine.cancel(&url, &id).await;
        });
    }
}
