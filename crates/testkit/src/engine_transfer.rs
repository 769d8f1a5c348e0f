//! Export and import of KV pieces between a stand-in engine and a store, over the engine's rate-limited link.

use std::time::Duration;

use actix_web::{
    HttpResponse,
    web::{Bytes, Data, Json},
};
use awc::Client;
use daisysill_wire::http_types::{
    ExportReply, ExportRequest, ImportReply, ImportRequest, SealRequest, StoredBlock,
};
use futures::{StreamExt, stream};

use crate::{
    engine::EngineState,
    store::BLOCK_STATE_HEADER,
    util::{CHUNK_BYTES, lock},
};

/// Period at which a transfer checks whether it was cancelled.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A block that an engine read from a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockRead {
    /// Name of the block that was requested.
    pub name: String,
    /// Generation that was requested.
    pub generation: u64,
    /// State of the block in the store: `sealed`, `unsealed` or `freed`; the last two only from a lenient store.
    pub store_state: String,
    /// Salt of the customer whose context the block holds; empty if its header is unreadable.
    pub cache_salt: String,
    /// Weight version that computed the block; 0 if its header is unreadable.
    pub weight_version: u64,
    /// Whether the block passed verification and was cached.
    pub used: bool,
}

/// Returns a block: a header of four lines, filled up to `length` with bytes derived from it.
fn block_bytes(name: &str, generation: u64, salt: &str, weight_version: u64, length: usize) -> Bytes {
    let mut bytes = format!("{name}\n{generation}\n{salt}\n{weight_version}\n").into_bytes();
    let fill = blake3::hash(&bytes);
    let padding = length.saturating_sub(bytes.len());
    bytes.extend(fill.as_bytes().iter().copied().cycle().take(padding));
    bytes.into()
}

struct BlockHeader {
    name: String,
    generation: u64,
    salt: String,
    weight_version: u64,
}

/// Parses the header that `block_bytes` writes.
fn block_header(bytes: &[u8]) -> Option<BlockHeader> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let mut line = || std::str::from_utf8(lines.next()?).ok();
    Some(BlockHeader {
        name: line()?.to_owned(),
        generation: line()?.parse().ok()?,
        salt: line()?.to_owned(),
        weight_version: line()?.parse().ok()?,
    })
}

/// Writes and seals the requested pieces; stops at the first one that the store does not take.
pub(crate) async fn export(request: Json<ExportRequest>, state: Data<EngineState>) -> HttpResponse {
    let (state, mut blocks, client) = (state.into_inner(), Vec::new(), client());
    for name in &request.pieces {
        // Evicted since the request was made.
        let Some((salt, version)) = lock(&state.cache).find(name) else { continue };
        let bytes = block_bytes(name, request.generation, &salt, version, state.config.piece_bytes);
        let block = StoredBlock {
            name: name.clone(),
            length_bytes: bytes.len() as u64,
            checksum: crc32fast::hash(&bytes),
            generation: request.generation,
        };
        if write_block(&client, &state, &request.store_url, &block, bytes).await.is_none() {
            lock(&state.records).wasted_bytes += block.length_bytes;
            break;
        }
        lock(&state.records).exported_bytes += block.length_bytes;
        blocks.push(block);
    }
    HttpResponse::Ok().json(ExportReply { blocks })
}

/// Writes one block over the engine's link and seals it; `None` if the store cannot be reached or refuses.
async fn write_block(
    client: &Client,
    state: &std::sync::Arc<EngineState>,
    store_url: &str,
    block: &StoredBlock,
    bytes: Bytes,
) -> Option<()> {
    let url = format!("{store_url}/v1/blocks/{}/{}", block.name, block.generation);
    let link_owner = std::sync::Arc::clone(state);
    let body = stream::unfold((link_owner, bytes), |(state, mut bytes)| async move {
        if bytes.is_empty() {
            return None;
        }
        let chunk = bytes.split_to(bytes.len().min(CHUNK_BYTES));
        state.link.throttle(chunk.len()).await;
        Some((Ok::<_, std::io::Error>(chunk), (state, bytes)))
    });
    let response = client.put(&url).send_stream(Box::pin(body)).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let seal = SealRequest { length_bytes: block.length_bytes, checksum: block.checksum };
    let response = client.post(format!("{url}/seal")).send_json(&seal).await.ok()?;
    response.status().is_success().then_some(())
}

/// Reads, verifies and caches blocks in order; stops at the first one that is missing, invalid or cancelled.
pub(crate) async fn import(request: Json<ImportRequest>, state: Data<EngineState>) -> HttpResponse {
    let (state, client) = (state.into_inner(), client());
    let mut reply = ImportReply { imported: 0, bytes: 0 };
    for block in &request.blocks {
        let url = format!("{}/v1/blocks/{}/{}", request.store_url, block.name, block.generation);
        let reading = read_block(&client, &state, &url);
        let cancelled = wait_for_cancel(&state, &request.transfer_id);
        let read = tokio::select! {
            read = reading => read,
            () = cancelled => None,
        };
        let Some((bytes, store_state)) = read else { break };
        lock(&state.records).imported_bytes += bytes.len() as u64;
        reply.bytes += bytes.len() as u64;
        if !verify_and_cache(&state, block, &bytes, store_state) {
            lock(&state.records).wasted_bytes += bytes.len() as u64;
            break;
        }
        reply.imported += 1;
    }
    HttpResponse::Ok().json(reply)
}

/// Reads a block with the state that the store reports; the bytes of an incomplete read count as wasted.
async fn read_block(client: &Client, state: &EngineState, url: &str) -> Option<(Vec<u8>, String)> {
    let mut response = client.get(url).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let store_state = response.headers().get(BLOCK_STATE_HEADER).and_then(|value| value.to_str().ok());
    let store_state = store_state.unwrap_or_default().to_owned();
    let mut reading = PartialRead { state, bytes: Vec::new() };
    while let Some(chunk) = response.next().await {
        let chunk = chunk.ok()?;
        state.link.throttle(chunk.len()).await;
        reading.bytes.extend_from_slice(&chunk);
    }
    Some((std::mem::take(&mut reading.bytes), store_state))
}

/// Counts its bytes as wasted when dropped, unless they were taken out before.
struct PartialRead<'a> {
    state: &'a EngineState,
    bytes: Vec<u8>,
}

impl Drop for PartialRead<'_> {
    fn drop(&mut self) {
        lock(&self.state.records).wasted_bytes += self.bytes.len() as u64;
    }
}

/// Verifies length, checksum, name and generation of a block, and caches it; returns whether it is valid.
fn verify_and_cache(state: &EngineState, block: &StoredBlock, bytes: &[u8], store_state: String) -> bool {
    let header = block_header(bytes);
    let is_intact = bytes.len() as u64 == block.length_bytes && crc32fast::hash(bytes) == block.checksum;
    let is_requested = header
        .as_ref()
        .is_some_and(|header| header.name == block.name && header.generation == block.generation);
    let used = is_intact && is_requested;
    let (cache_salt, weight_version) =
        header.map(|header| (header.salt, header.weight_version)).unwrap_or_default();
    let mut cache = lock(&state.cache);
    if used {
        cache.insert(&cache_salt, &block.name, weight_version, bytes.len() as u64);
    }
    let mut records = lock(&state.records);
    records.wasted_bytes += cache.take_wasted_bytes();
    records.block_reads.push(BlockRead {
        name: block.name.clone(),
        generation: block.generation,
        store_state,
        cache_salt,
        weight_version,
        used,
    });
    used
}

async fn wait_for_cancel(state: &EngineState, transfer_id: &str) {
    while !state.is_cancelled(transfer_id) {
        actix_rt::time::sleep(CANCEL_POLL_INTERVAL).await;
    }
}

/// A client without a time-out: a transfer takes as long as the limited links need.
fn client() -> Client {
    Client::builder().disable_timeout().finish()
}
