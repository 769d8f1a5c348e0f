//! Context that rests in engines after a request, and when it is to be exported.

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

/// Pieces remembered at most; the ones unused for longest are forgotten first.
const MAX_PIECES: usize = 200_000;
/// Pieces exported with one call at most.
const MAX_EXPORT_PIECES: usize = 32;

/// Context that rests in engines.
#[derive(Debug, Default)]
pub struct IdlePieces {
    pieces: Mutex<BTreeMap<(InstanceId, BlockName), Piece>>,
}

#[derive(Clone, Debug)]
struct Piece {
    service: ServiceName,
    last_used: Instant,
    position: usize,
    exported: bool,
}

/// Pieces of one engine that are to be exported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueExport {
    /// The engine that holds them.
    pub engine: InstanceId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The pieces, those nearest the start of their prompt first.
    pub pieces: Vec<BlockName>,
}

impl IdlePieces {
    /// Notes that a request used these pieces at an engine.
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
            // Looked at again: a store may have lost it, and what a store still holds is not sent twice.
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

    /// Forgets everything in an engine that restarted or is gone.
    pub fn forget_engine(&self, engine: &InstanceId) {
        self.lock().retain(|(id, _), _| id != engine);
    }

    /// Returns the pieces that have rested for the time that `export_after` gives for their service, one
    /// entry for each engine, and counts them as exported.
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

    /// Counts pieces as not exported, so that they are tried again.
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
