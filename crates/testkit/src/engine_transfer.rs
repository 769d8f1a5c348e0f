//! Export and import of KV pieces between a stand-in engine and a store.

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

/// Time between two looks at whether a transfer was cancelled.
const CANCEL_CHECK: Duration = Duration::from_millis(20);

/// A block that an engine read from a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockRead {
    /// The block's name.
    pub name: String,
    /// The generation asked for.
    pub generation: u64,
    /// In what state the store handed it out: sealed, unsealed or freed.
    pub store_state: String,
    /// The customer whose context it holds.
    pub cache_salt: String,
    /// The weight version that computed it.
    pub weight_version: u64,
    /// Whether it passed the checks and went into the cache.
    pub used: bool,
}

/// The head of a block; the rest is filled up to its length.
fn block_bytes(name: &str, generation: u64, salt: &str, weight_version: u64, length: usize) -> Bytes {
    let mut bytes = format!("{name}\n{generation}\n{salt}\n{weight_version}\n").into_bytes();
    let fill = blake3::hash(&bytes);
    let missing = length.saturating_sub(bytes.len());
    bytes.extend(fill.as_bytes().iter().copied().cycle().take(missing));
    bytes.into()
}

struct BlockHead {
    name: String,
    generation: u64,
    salt: String,
    weight_version: u64,
}

fn block_head(bytes: &[u8]) -> Option<BlockHead> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let mut line = || std::str::from_utf8(lines.next()?).ok();
    Some(BlockHead {
        name: line()?.to_owned(),
        generation: line()?.parse().ok()?,
        salt: line()?.to_owned(),
        weight_version: line()?.parse().ok()?,
    })
}

/// Writes and seals cached pieces; stops at the first that fails.
pub(crate) async fn export(request: Json<ExportRequest>, state: Data<EngineState>) -> HttpResponse {
    let (state, mut blocks, client) = (state.into_inner(), Vec::new(), client());
    for name in &request.pieces {
        // A piece that was evicted in the meantime is left out.
        let Some((salt, version)) = lock(&state.cache).find(name) else { continue };
        let bytes = block_bytes(name, request.generation, &salt, version, state.config.piece_bytes);
        let block = StoredBlock {
            name: name.clone(),
            length_bytes: bytes.len() as u64,
            checksum: crc32fast::hash(&bytes),
            generation: request.generation,
        };
        if write(&client, &state, &request.store_url, &block, bytes).await.is_none() {
            lock(&state.records).wasted_bytes += block.length_bytes;
            break;
        }
        lock(&state.records).exported_bytes += block.length_bytes;
        blocks.push(block);
    }
    HttpResponse::Ok().json(ExportReply { blocks })
}

async fn write(
    client: &Client,
    state: &std::sync::Arc<EngineState>,
    store_url: &str,
    block: &StoredBlock,
    bytes: Bytes,
) -> Option<()> {
    let url = format!("{store_url}/v1/blocks/{}/{}", block.name, block.generation);
    let limited = std::sync::Arc::clone(state);
    let body = stream::unfold((limited, bytes), |(state, mut bytes)| async move {
        if bytes.is_empty() {
            return None;
        }
        let chunk = bytes.split_to(bytes.len().min(CHUNK_BYTES));
        state.link.pass(chunk.len()).await;
        Some((Ok::<_, std::io::Error>(chunk), (state, bytes)))
    });
    let answer = client.put(&url).send_stream(Box::pin(body)).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let seal = SealRequest { length_bytes: block.length_bytes, checksum: block.checksum };
    let answer = client.post(format!("{url}/seal")).send_json(&seal).await.ok()?;
    answer.status().is_success().then_some(())
}

/// Reads and verifies blocks in order; stops at the first that is missing, fails or is cancelled.
pub(crate) async fn import(request: Json<ImportRequest>, state: Data<EngineState>) -> HttpResponse {
    let (state, client) = (state.into_inner(), client());
    let mut reply = ImportReply { imported: 0, bytes: 0 };
    for block in &request.blocks {
        let url = format!("{}/v1/blocks/{}/{}", request.store_url, block.name, block.generation);
        let reading = read(&client, &state, &url);
        let cancelled = cancelled(&state, &request.transfer_id);
        let read = tokio::select! {
            read = reading => read,
            () = cancelled => None,
        };
        let Some((bytes, store_state)) = read else { break };
        lock(&state.records).imported_bytes += bytes.len() as u64;
        reply.bytes += bytes.len() as u64;
        if !take_in(&state, block, &bytes, store_state) {
            lock(&state.records).wasted_bytes += bytes.len() as u64;
            break;
        }
        reply.imported += 1;
    }
    HttpResponse::Ok().json(reply)
}

/// Reads a whole block; what was read of one that breaks off counts as moved in vain.
async fn read(client: &Client, state: &EngineState, url: &str) -> Option<(Vec<u8>, String)> {
    let mut answer = client.get(url).send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let store_state = answer.headers().get(BLOCK_STATE_HEADER).and_then(|value| value.to_str().ok());
    let store_state = store_state.unwrap_or_default().to_owned();
    let mut reading = PartialRead { state, bytes: Vec::new() };
    while let Some(chunk) = answer.next().await {
        let chunk = chunk.ok()?;
        state.link.pass(chunk.len()).await;
        reading.bytes.extend_from_slice(&chunk);
    }
    Some((std::mem::take(&mut reading.bytes), store_state))
}

/// Counts what it holds as moved in vain unless it was taken out before.
struct PartialRead<'a> {
    state: &'a EngineState,
    bytes: Vec<u8>,
}

impl Drop for PartialRead<'_> {
    fn drop(&mut self) {
        lock(&self.state.records).wasted_bytes += self.bytes.len() as u64;
    }
}

/// Verifies a block and puts it into the cache.
fn take_in(state: &EngineState, block: &StoredBlock, bytes: &[u8], store_state: String) -> bool {
    let head = block_head(bytes);
    let is_complete = bytes.len() as u64 == block.length_bytes && crc32fast::hash(bytes) == block.checksum;
    let is_asked_for =
        head.as_ref().is_some_and(|head| head.name == block.name && head.generation == block.generation);
    let used = is_complete && is_asked_for;
    let (cache_salt, weight_version) = head.map(|head| (head.salt, head.weight_version)).unwrap_or_default();
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

async fn cancelled(state: &EngineState, transfer_id: &str) {
    while !state.is_cancelled(transfer_id) {
        actix_rt::time::sleep(CANCEL_CHECK).await;
    }
}

fn client() -> Client {
    Client::builder().disable_timeout().finish()
}
