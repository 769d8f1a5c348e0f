//! A stand-in for a KV store with a memory tier, a disk tier and a rate-limited link.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use actix_web::{
    HttpResponse,
    web::{self, Bytes, Data, Json, Path, Payload},
};
use daisysill_wire::http_types::{SealRequest, StoreUsage};
use futures::{StreamExt, stream};

use crate::{
    paths,
    proxy::Proxy,
    server::StandInServer,
    util::{CHUNK_BYTES, RateLimiter, lock},
};

/// Response header with the state of a block that is read; other than `sealed` only from a lenient store.
pub const BLOCK_STATE_HEADER: &str = "x-block-state";

/// Capacities and rates of a stand-in store.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Capacity of the memory tier; the least recently used blocks move to disk.
    pub memory_bytes: u64,
    /// Capacity of the disk tier; a full store refuses writes.
    pub disk_bytes: u64,
    /// Rate of the link that all transfers share; 0 means no limit.
    pub link_bytes_per_s: u64,
    /// Rate of reads from disk; 0 means no limit.
    pub disk_bytes_per_s: u64,
    /// Whether unsealed and freed blocks can be read, so that a test depends on the reader's checks alone.
    pub lenient: bool,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            memory_bytes: 64_000_000,
            disk_bytes: 256_000_000,
            link_bytes_per_s: 100_000_000,
            disk_bytes_per_s: 0,
            lenient: false,
        }
    }
}

/// A running stand-in store, which is reached through its own fault-injecting proxy.
#[derive(Debug)]
pub struct Store {
    _server: StandInServer,
    proxy: Proxy,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    config: StoreConfig,
    link: RateLimiter,
    disk: RateLimiter,
    blocks: Mutex<Blocks>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BlockState {
    Unsealed,
    Sealed,
    Freed,
}

#[derive(Debug)]
struct Block {
    bytes: Bytes,
    state: BlockState,
    on_disk: bool,
    /// Value of `Blocks::uses` at the last write or read.
    last_use: u64,
    was_read: bool,
}

/// Name and generation.
type BlockKey = (String, u64);

#[derive(Debug, Default)]
struct Blocks {
    by_key: BTreeMap<BlockKey, Block>,
    /// Counter that orders uses.
    uses: u64,
    counts: StoreCounts,
}

/// Counters of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounts {
    /// Reads that reached the end of a block.
    pub reads: u64,
    /// Blocks sealed so far.
    pub sealed: u64,
    /// Refused reads of unsealed, freed or unknown blocks.
    pub refused_reads: u64,
    /// Writes refused because the store was full.
    pub refused_writes: u64,
    /// Bytes of aborted or refused writes, of aborted reads, and of sealed blocks that were freed without a read.
    pub wasted_bytes: u64,
}

impl Store {
    /// Starts an empty store.
    pub fn start(config: StoreConfig) -> Self {
        let state = Arc::new(State {
            link: RateLimiter::new(config.link_bytes_per_s),
            disk: RateLimiter::new(config.disk_bytes_per_s),
            config,
            blocks: Mutex::default(),
        });
        let data = Data::from(Arc::clone(&state));
        let server = StandInServer::start(move |routes| {
            routes
                .app_data(data.clone())
                .route(paths::BLOCK, web::put().to(write))
                .route(paths::BLOCK_SEAL, web::post().to(seal))
                .route(paths::BLOCK, web::get().to(read))
                .route(paths::BLOCK, web::delete().to(free))
                .route(paths::USAGE, web::get().to(usage));
        });
        let proxy = Proxy::start(Some(server.address()));
        Self { _server: server, proxy, state }
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.proxy.url()
    }

    /// Returns the proxy in front of the store, for fault injection.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    /// Changes the rate of the link that all transfers share; 0 means no limit.
    pub fn set_link_bytes_per_s(&self, bytes_per_s: u64) {
        self.state.link.set(bytes_per_s);
    }

    /// Returns the bytes of all transfers over the link.
    pub fn moved_bytes(&self) -> u64 {
        self.state.link.passed_bytes()
    }

    /// Returns a copy of the counters.
    pub fn counts(&self) -> StoreCounts {
        lock(&self.state.blocks).counts
    }

    /// Returns the number of sealed blocks.
    pub fn sealed_blocks(&self) -> usize {
        let blocks = lock(&self.state.blocks);
        blocks.by_key.values().filter(|block| block.state == BlockState::Sealed).count()
    }

    /// Flips one bit of every block, as a failing disk does.
    pub fn damage_blocks(&self) {
        for block in lock(&self.state.blocks).by_key.values_mut() {
            let mut bytes = block.bytes.to_vec();
            if let Some(last) = bytes.last_mut() {
                *last ^= 1;
            }
            block.bytes = bytes.into();
        }
    }

    /// Makes the store unreachable until `restart`, and discards all blocks.
    pub fn kill(&self) {
        self.proxy.close();
        lock(&self.state.blocks).by_key.clear();
    }

    /// Makes a killed store reachable again, on the same port and empty.
    pub fn restart(&self) {
        self.proxy.reopen();
    }
}

impl State {
    /// Moves the least recently used blocks to disk until the new bytes fit into memory; returns whether both tiers
    /// suffice.
    fn make_room(&self, blocks: &mut Blocks, new_bytes: u64) -> bool {
        if new_bytes > self.config.memory_bytes {
            return false;
        }
        while blocks.bytes(false) + new_bytes > self.config.memory_bytes {
            let in_memory = blocks.by_key.values_mut().filter(|block| !block.on_disk);
            let Some(oldest) = in_memory.min_by_key(|block| block.last_use) else { return false };
            oldest.on_disk = true;
        }
        blocks.bytes(true) <= self.config.disk_bytes
    }
}

impl Blocks {
    /// Returns the used bytes of a tier.
    fn bytes(&self, on_disk: bool) -> u64 {
        self.by_key
            .values()
            .filter(|block| block.on_disk == on_disk)
            .map(|block| block.bytes.len() as u64)
            .sum()
    }

    fn next_use(&mut self) -> u64 {
        self.uses += 1;
        self.uses
    }
}

async fn write(key: Path<BlockKey>, mut payload: Payload, state: Data<State>) -> HttpResponse {
    let (key, mut bytes) = (key.into_inner(), web::BytesMut::new());
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            lock(&state.blocks).counts.wasted_bytes += bytes.len() as u64;
            return HttpResponse::BadRequest().finish();
        };
        state.link.throttle(chunk.len()).await;
        bytes.extend_from_slice(&chunk);
    }
    let mut blocks = lock(&state.blocks);
    let length = bytes.len() as u64;
    if blocks.by_key.get(&key).is_some_and(|block| block.state != BlockState::Unsealed) {
        blocks.counts.wasted_bytes += length;
        return HttpResponse::Conflict().body("this generation is already sealed or freed\n");
    }
    if !state.make_room(&mut blocks, length) {
        blocks.counts.refused_writes += 1;
        blocks.counts.wasted_bytes += length;
        return HttpResponse::InsufficientStorage().insert_header(("x-not-run", "1")).body("full\n");
    }
    let last_use = blocks.next_use();
    let block = Block {
        bytes: bytes.freeze(),
        state: BlockState::Unsealed,
        on_disk: false,
        last_use,
        was_read: false,
    };
    blocks.by_key.insert(key, block);
    HttpResponse::Ok().json(serde_json::json!({}))
}

async fn seal(key: Path<BlockKey>, request: Json<SealRequest>, state: Data<State>) -> HttpResponse {
    let mut blocks = lock(&state.blocks);
    let Some(block) = blocks.by_key.get_mut(&key.into_inner()) else {
        return HttpResponse::NotFound().finish();
    };
    let matches = block.bytes.len() as u64 == request.length_bytes
        && crc32fast::hash(&block.bytes) == request.checksum
        && block.state != BlockState::Freed;
    if !matches {
        return HttpResponse::Conflict().body("length or checksum differ\n");
    }
    if block.state == BlockState::Unsealed {
        block.state = BlockState::Sealed;
        blocks.counts.sealed += 1;
    }
    HttpResponse::Ok().json(serde_json::json!({}))
}

/// Counts a read when dropped: as complete, or its bytes as wasted if it was aborted.
struct TrackedRead {
    state: Arc<State>,
    sent_bytes: u64,
    finished: bool,
}

impl Drop for TrackedRead {
    fn drop(&mut self) {
        let counts = &mut lock(&self.state.blocks).counts;
        if self.finished {
            counts.reads += 1;
        } else {
            counts.wasted_bytes += self.sent_bytes;
        }
    }
}

async fn read(key: Path<BlockKey>, state: Data<State>) -> HttpResponse {
    let state = state.into_inner();
    let (bytes, on_disk, block_state) = {
        let mut blocks = lock(&state.blocks);
        let last_use = blocks.next_use();
        let lenient = state.config.lenient;
        let found = blocks.by_key.get_mut(&key.into_inner());
        let Some(block) = found.filter(|block| lenient || block.state == BlockState::Sealed) else {
            blocks.counts.refused_reads += 1;
            return HttpResponse::NotFound().body("no sealed block of this name and generation\n");
        };
        block.last_use = last_use;
        block.was_read = true;
        (block.bytes.clone(), block.on_disk, block.state)
    };
    let length = bytes.len() as u64;
    let tracked = TrackedRead { state, sent_bytes: 0, finished: false };
    let body = stream::unfold((tracked, bytes), move |(mut tracked, mut bytes)| async move {
        if bytes.is_empty() {
            return None;
        }
        let chunk = bytes.split_to(bytes.len().min(CHUNK_BYTES));
        if on_disk {
            tracked.state.disk.throttle(chunk.len()).await;
        }
        tracked.state.link.throttle(chunk.len()).await;
        tracked.sent_bytes += chunk.len() as u64;
        tracked.finished = bytes.is_empty();
        Some((Ok::<_, actix_web::Error>(chunk), (tracked, bytes)))
    });
    HttpResponse::Ok()
        .insert_header((BLOCK_STATE_HEADER, format!("{block_state:?}").to_lowercase()))
        .no_chunking(length)
        .streaming(Box::pin(body))
}

async fn free(key: Path<BlockKey>, state: Data<State>) -> HttpResponse {
    let (key, mut blocks) = (key.into_inner(), lock(&state.blocks));
    let Some(block) = blocks.by_key.get_mut(&key) else { return HttpResponse::NotFound().finish() };
    let wasted_bytes =
        if block.state == BlockState::Sealed && !block.was_read { block.bytes.len() } else { 0 };
    if state.config.lenient {
        block.state = BlockState::Freed;
    } else {
        blocks.by_key.remove(&key);
    }
    blocks.counts.wasted_bytes += wasted_bytes as u64;
    HttpResponse::Ok().json(serde_json::json!({}))
}

async fn usage(state: Data<State>) -> HttpResponse {
    let blocks = lock(&state.blocks);
    HttpResponse::Ok().json(StoreUsage {
        memory_bytes: blocks.bytes(false),
        memory_limit_bytes: state.config.memory_bytes,
        disk_bytes: blocks.bytes(true),
        disk_limit_bytes: state.config.disk_bytes,
        link_bytes_per_s: state.link.bytes_per_s(),
    })
}
