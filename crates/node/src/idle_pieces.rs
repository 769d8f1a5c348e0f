//! KV pieces that stay in engines after a request, and when they are to be exported to a store.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::{
    block::BlockName,
    ids::{InstanceId, ServiceName},
};
use tokio::time::Instant;

/// Limit of tracked pieces; those unused for longest are forgotten first.
const MAX_PIECES: usize = 200_000;
/// Limit of pieces in one export request.
const MAX_EXPORT_PIECES: usize = 32;

/// The KV pieces that requests of this node left in engines.
#[derive(Debug, Default)]
pub struct IdlePieces {
    pieces: Mutex<BTreeMap<(InstanceId, BlockName), Piece>>,
}

#[derive(Clone, Debug)]
struct Piece {
    service: ServiceName,
    last_used: Instant,
    /// Index in the prompt; pieces are exported in this order.
    position: usize,
    /// Whether [`IdlePieces::take_due`] returned the piece since its last use.
    exported: bool,
}

/// Pieces of one engine and service that are to be exported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueExport {
    /// The engine that has them in its cache.
    pub engine: InstanceId,
    /// The service that the engine belongs to.
    pub service: ServiceName,
    /// The pieces, ordered by their position in the prompt.
    pub pieces: Vec<BlockName>,
}

impl IdlePieces {
    /// Records that a request used the pieces of its prompt, first to last, at an engine.
    pub fn record_use(&self, engine: &InstanceId, service: &ServiceName, names: &[BlockName]) {
        let now = Instant::now();
        let mut pieces = self.lock();
        for (position, name) in names.iter().enumerate() {
            let piece = pieces.entry((engine.clone(), name.clone())).or_insert_with(|| Piece {
                service: service.clone(),
                last_used: now,
                position,
                exported: false,
            });
            piece.last_used = now;
            // Export is tried again, since the store may have lost the piece; the exporter skips pieces that
            // are still listed.
            piece.exported = false;
        }
        while pieces.len() > MAX_PIECES {
            let oldest = pieces.iter().min_by_key(|(_, piece)| piece.last_used).map(|(key, _)| key.clone());
            let Some(oldest) = oldest else { break };
            pieces.remove(&oldest);
        }
    }

    /// Forgets a piece that the engine evicted.
    pub fn forget(&self, engine: &InstanceId, name: &BlockName) {
        self.lock().remove(&(engine.clone(), name.clone()));
    }

    /// Forgets all pieces of an engine that restarted or is no longer listed.
    pub fn forget_engine(&self, engine: &InstanceId) {
        self.lock().retain(|(id, _), _| id != engine);
    }

    /// Returns the pieces that have been idle for the time that `export_after` gives for their service, one
    /// entry for each engine and service, and marks them as exported.
    pub fn take_due<F>(&self, export_after: F) -> Vec<DueExport>
    where
        F: Fn(&ServiceName) -> Duration,
    {
        let now = Instant::now();
        let mut pieces = self.lock();
        let mut due: BTreeMap<(InstanceId, ServiceName), Vec<(usize, BlockName)>> = BTreeMap::new();
        for ((engine, name), piece) in pieces.iter() {
            if !piece.exported && now - piece.last_used >= export_after(&piece.service) {
                let key = (engine.clone(), piece.service.clone());
                due.entry(key).or_default().push((piece.position, name.clone()));
            }
        }
        let take = |((engine, service), mut names): (_, Vec<(usize, BlockName)>)| {
            names.sort();
            names.truncate(MAX_EXPORT_PIECES);
            DueExport { engine, service, pieces: names.into_iter().map(|(_, name)| name).collect() }
        };
        let due: Vec<DueExport> = due.into_iter().map(take).collect();
        for export in &due {
            for name in &export.pieces {
                if let Some(piece) = pieces.get_mut(&(export.engine.clone(), name.clone())) {
                    piece.exported = true;
                }
            }
        }
        due
    }

    /// Marks the pieces of a failed export as not exported, so that it is tried again.
    pub fn export_failed(&self, export: &DueExport) {
        let mut pieces = self.lock();
        for name in &export.pieces {
            if let Some(piece) = pieces.get_mut(&(export.engine.clone(), name.clone())) {
                piece.exported = false;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(InstanceId, BlockName), Piece>> {
        self.pieces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
