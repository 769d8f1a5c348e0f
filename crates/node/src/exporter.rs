//! Exports idle KV pieces to stores, frees the blocks again after their retention, and exchanges soft reports
//! with the other nodes.

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use actix::{Actor, AsyncContext, Context, WrapFuture};
use daisysill_core::{
    block::{BlockDescriptor, BlockName},
    ids::{InstanceId, ServiceName},
};
use daisysill_wire::{
    http_types::{ExportReply, ExportRequest},
    peer::{BlockLocation, SoftReport},
};

use crate::{
    idle_pieces::DueExport,
    shared::Shared,
    upstream_api::{AttemptError, AttemptResult, Engine, Store},
};

/// Interval between export rounds.
const EXPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between soft reports to the other nodes.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// A piece is exported after this fraction of its retention in accelerator memory, so that it is in a store
/// before the engine evicts it.
const EXPORT_AFTER_DIVISOR: u32 = 4;

/// The actor that exports idle pieces, frees unlisted blocks and exchanges soft reports.
pub struct Exporter {
    shared: Arc<Shared>,
    engine: Rc<dyn Engine>,
    store: Rc<dyn Store>,
    /// Whether an export round is in progress.
    round_running: Rc<std::cell::Cell<bool>>,
}

impl Exporter {
    /// Creates the actor; `start` runs it.
    pub fn new(shared: Arc<Shared>, engine: Rc<dyn Engine>, store: Rc<dyn Store>) -> Self {
        Self { shared, engine, store, round_running: Rc::default() }
    }

    fn start_round(&mut self, context: &mut Context<Self>) {
        // One round at a time, so that background transfers do not pile up on a slow link.
        if self.round_running.replace(true) {
            return;
        }
        let (shared, engine, store) =
            (Arc::clone(&self.shared), Rc::clone(&self.engine), Rc::clone(&self.store));
        let round_running = Rc::clone(&self.round_running);
        let round = async move {
            let export_after = |service: &ServiceName| {
                Duration::from_secs(shared.rules_of(service).rest.accelerator_s) / EXPORT_AFTER_DIVISOR
            };
            for due in shared.idle_pieces.take_due(export_after) {
                export(&shared, engine.as_ref(), &due).await;
            }
            free_unlisted(&shared, store.as_ref()).await;
            round_running.set(false);
        };
        context.spawn(round.into_actor(self));
    }

    /// Publishes this node's soft report and applies those of the other nodes.
    fn exchange_reports(&mut self, _: &mut Context<Self>) {
        let (sealed_blocks, unlisted_blocks) = self.shared.directory.report();
        let stores = self.shared.upstreams.store_ids();
        let booked = |store: InstanceId| {
            let bytes = self.shared.directory.booked_bytes(&store);
            (store, bytes)
        };
        self.shared.cluster.set_soft_report(SoftReport {
            dispatched: self.shared.upstreams.dispatch_counts(),
            booked_bytes: stores.into_iter().map(booked).collect::<BTreeMap<_, _>>(),
            leaving_upstreams: self.shared.upstreams.refused_here(),
            sealed_blocks,
            unlisted_blocks,
        });
        let members = self.shared.cluster.status().members;
        for member in &members {
            self.shared
                .directory
                .apply_report(&member.soft_report.sealed_blocks, &member.soft_report.unlisted_blocks);
        }
        for report in self.shared.cluster.soft_reports() {
            self.shared.upstreams.apply_peer_counts(&report.name, &report.soft_report.dispatched, report.age);
        }
        let leaving = members.iter().flat_map(|member| member.soft_report.leaving_upstreams.iter().cloned());
        self.shared.upstreams.apply_reported_leaving(&leaving.collect());
        self.shared.upstreams.set_node_count(members.iter().filter(|m| m.alive).count() + 1);
    }
}

impl Actor for Exporter {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(EXPORT_INTERVAL, Self::start_round);
        context.run_interval(REPORT_INTERVAL, Self::exchange_reports);
    }
}

/// Exports the due pieces that no store has yet and lists the blocks. If that fails, the pieces become due
/// again.
async fn export(shared: &Shared, engine: &dyn Engine, due: &DueExport) {
    shared.apply_evacuations();
    let missing: Vec<&BlockName> = due.pieces.iter().filter(|name| !shared.directory.holds(name)).collect();
    let (Some(engine_url), Some((store, store_url))) =
        (shared.upstreams.url(&due.engine), shared.upstreams.store_for(&due.engine))
    else {
        return shared.idle_pieces.export_failed(due);
    };
    if missing.is_empty() {
        return;
    }
    let request = ExportRequest {
        generation: new_generation(),
        pieces: missing.iter().map(|name| name.as_str().to_owned()).collect(),
        store_url,
    };
    let Ok(blocks) = exported_blocks(&request, engine.export(&engine_url, &request).await) else {
        shared.metrics.failed_exports.inc();
        return shared.idle_pieces.export_failed(due);
    };
    let retention = Duration::from_secs(shared.rules_of(&due.service).rest.disk_s);
    shared.metrics.exported_blocks.inc_by(blocks.len() as u64);
    for block in blocks {
        shared.directory.list_own(BlockLocation { store: store.clone(), block }, retention);
    }
}

/// Returns the blocks of a reply. A reply with any block that was not requested is rejected as a whole.
fn exported_blocks(
    request: &ExportRequest,
    reply: AttemptResult<ExportReply>,
) -> AttemptResult<Vec<BlockDescriptor>> {
    let reply = reply?;
    let expected = |block: &daisysill_wire::http_types::StoredBlock| {
        block.generation == request.generation && request.pieces.contains(&block.name)
    };
    if !reply.blocks.iter().all(expected) {
        return Err(AttemptError::Failed("the engine reports blocks that were not requested".to_owned()));
    }
    let descriptor = |block: daisysill_wire::http_types::StoredBlock| BlockDescriptor {
        name: BlockName::from(block.name.as_str()),
        length_bytes: block.length_bytes,
        checksum: block.checksum,
        generation: block.generation,
    };
    Ok(reply.blocks.into_iter().map(descriptor).collect())
}

/// Frees the unlisted blocks that are due; those that a store fails to free are tried again later.
async fn free_unlisted(shared: &Shared, store: &dyn Store) {
    for block in shared.directory.expire() {
        let Some(url) = shared.upstreams.url(&block.store) else { continue };
        if !shared.may_send(&block.store) {
            shared.directory.retry_free(block);
            continue;
        }
        match store.free(&url, block.block.name.as_str(), block.block.generation).await {
            Ok(()) => {
                shared.metrics.freed_blocks.inc();
            }
            Err(_) => shared.directory.retry_free(block),
        }
    }
}

/// Returns the generation of a new export: microseconds of the system clock, so that later writes have higher
/// generations, also those of another node or after a restart.
fn new_generation() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
