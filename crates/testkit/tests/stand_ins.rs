//! The behaviour of the stand-ins that other tests and the measurements rely on.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use awc::Client;
use daisysill_testkit::{
    engine::{Engine, EngineConfig, StreamFaults, expected_text},
    plain::{PlainFault, PlainService},
    platform::Platform,
    store::{Store, StoreConfig},
    weight_store::WeightStore,
};
use daisysill_wire::http_types::{
    CacheEvents, EngineEvent, EngineLoad, EngineOrder, EngineRequest, ExportReply, ExportRequest,
    ImportReply, ImportRequest, InstanceKind, PlatformList, StoredBlock,
};
use serde::{Serialize, de::DeserializeOwned};

const PROMPT_BYTES_PER_PIECE: usize = 8_000;

fn client() -> Client {
    Client::builder().timeout(Duration::from_secs(20)).finish()
}

fn request(attempt: &str, salt: &str, pieces: &[&str]) -> EngineRequest {
    EngineRequest {
        attempt_id: attempt.to_owned(),
        model: "lyric-llm".to_owned(),
        adapter: None,
        prompt: "p".repeat(PROMPT_BYTES_PER_PIECE * pieces.len().max(1)),
        max_tokens: 3,
        priority: 0,
        cache_salt: salt.to_owned(),
        kv_pieces: pieces.iter().map(|piece| (*piece).to_owned()).collect(),
        resume_from_token: 0,
        resume_text: None,
        weight_version: 1,
    }
}

/// Posts JSON; returns the status, whether `x-not-run` is set, and the body.
async fn post<T: Serialize>(url: &str, path: &str, body: &T) -> (u16, bool, Vec<u8>) {
    let mut response = client().post(format!("{url}{path}")).send_json(body).await.unwrap();
    let not_run = response.headers().contains_key("x-not-run");
    (response.status().as_u16(), not_run, response.body().await.unwrap_or_default().to_vec())
}

async fn get<T: DeserializeOwned>(url: &str, path: &str) -> T {
    client().get(format!("{url}{path}")).send().await.unwrap().json().await.unwrap()
}

/// Runs an attempt and returns its events without the end mark.
async fn run(engine: &Engine, request: &EngineRequest) -> Vec<EngineEvent> {
    let (status, _, body) = post(&engine.url(), "/v1/completions", request).await;
    assert_eq!(status, 200);
    let text = String::from_utf8(body).unwrap();
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    events.filter(|data| *data != "[DONE]").map(|data| serde_json::from_str(data).unwrap()).collect()
}

async fn export(engine: &Engine, store: &Store, pieces: &[&str], generation: u64) -> Vec<StoredBlock> {
    let pieces = pieces.iter().map(|piece| (*piece).to_owned()).collect();
    let request = ExportRequest { pieces, store_url: store.url(), generation };
    let (_, _, body) = post(&engine.url(), "/v1/kv/export", &request).await;
    serde_json::from_slice::<ExportReply>(&body).unwrap().blocks
}

async fn import(engine: &Engine, store: &Store, blocks: Vec<StoredBlock>) -> ImportReply {
    let request = ImportRequest { blocks, store_url: store.url(), transfer_id: "t1".to_owned() };
    let (_, _, body) = post(&engine.url(), "/v1/kv/import", &request).await;
    serde_json::from_slice(&body).unwrap()
}

/// Guards against a cache that serves one customer's pieces to another or exceeds its limit.
#[actix_rt::test]
async fn the_prefix_cache_is_bounded_and_separated_by_salt() {
    let engine = Engine::start(EngineConfig { cache_pieces: 2, ..EngineConfig::default() });
    run(&engine, &request("1", "opera-a", &["a1", "a2"])).await;
    run(&engine, &request("2", "opera-a", &["a1", "a2"])).await;
    run(&engine, &request("3", "opera-b", &["a1", "a2"])).await;
    let records = engine.records();
    let cached: Vec<u64> = records.runs.iter().map(|run| run.cached_tokens).collect();
    assert_eq!(cached, [0, 4_000, 0]);
    assert_eq!((records.foreign_salts, engine.cached_pieces()), (1, 2));
}

/// Guards against an import that fails although the blocks are intact, and one that accepts damaged, freed or older
/// blocks.
#[actix_rt::test]
async fn exported_pieces_are_imported_unless_damaged_freed_or_of_another_generation() {
    let (engine, store) = (Engine::start(EngineConfig::default()), Store::start(StoreConfig::default()));
    run(&engine, &request("1", "opera-a", &["a1", "a2"])).await;
    let blocks = export(&engine, &store, &["a1", "a2"], 7).await;
    assert_eq!((blocks.len(), store.sealed_blocks()), (2, 2));
    engine.evict_all();
    assert_eq!(import(&engine, &store, blocks.clone()).await.imported, 2);
    run(&engine, &request("2", "opera-a", &["a1", "a2"])).await;
    assert_eq!(engine.records().runs[1].cached_tokens, 4_000);

    let mut older_blocks = blocks.clone();
    for block in &mut older_blocks {
        block.generation = 6;
    }
    assert_eq!(import(&engine, &store, older_blocks).await.imported, 0);
    store.damage_blocks();
    assert_eq!(import(&engine, &store, blocks.clone()).await.imported, 0);
    assert!(engine.records().wasted_bytes > 0);
    client().delete(format!("{}/v1/blocks/a1/7", store.url())).send().await.unwrap();
    assert_eq!(import(&engine, &store, blocks).await.imported, 0);
}

/// Guards against a lenient store whose freed blocks cannot be told from sealed ones.
#[actix_rt::test]
async fn a_lenient_store_serves_freed_blocks_and_the_engine_records_their_state() {
    let config = StoreConfig { lenient: true, ..StoreConfig::default() };
    let (engine, store) = (Engine::start(EngineConfig::default()), Store::start(config));
    run(&engine, &request("1", "opera-a", &["a1"])).await;
    let blocks = export(&engine, &store, &["a1"], 1).await;
    client().delete(format!("{}/v1/blocks/a1/1", store.url())).send().await.unwrap();
    import(&engine, &store, blocks).await;
    assert_eq!(engine.records().block_reads[0].store_state, "freed");
}

/// Guards against a store that holds more than its limits allow, and a killed one that still answers.
#[actix_rt::test]
async fn a_store_spills_to_disk_and_refuses_when_both_are_full() {
    let piece = EngineConfig::default().piece_bytes as u64;
    let config = StoreConfig { memory_bytes: piece, disk_bytes: piece, ..StoreConfig::default() };
    let (engine, store) = (Engine::start(EngineConfig::default()), Store::start(config));
    run(&engine, &request("1", "opera-a", &["a1", "a2", "a3"])).await;
    assert_eq!(export(&engine, &store, &["a1", "a2", "a3"], 1).await.len(), 2);
    assert_eq!(store.counts().refused_writes, 1);
    store.kill();
    assert!(client().get(format!("{}/v1/usage", store.url())).send().await.is_err());
}

/// Guards against concurrent transfers that each get the full bandwidth of the link.
#[actix_rt::test]
async fn transfers_share_the_link_of_a_store() {
    let config = StoreConfig { link_bytes_per_s: 2_000_000, ..StoreConfig::default() };
    let (engine, store) = (Engine::start(EngineConfig::default()), Store::start(config));
    run(&engine, &request("1", "opera-a", &["a1", "a2"])).await;
    let started = Instant::now();
    let both =
        futures::future::join(export(&engine, &store, &["a1"], 1), export(&engine, &store, &["a2"], 1));
    both.await;
    let bytes = 2.0 * EngineConfig::default().piece_bytes as f64;
    assert!(started.elapsed().as_secs_f64() > 0.9 * bytes / 2_000_000.0, "{:?}", started.elapsed());
}

/// Guards against stream faults that are not injected, or that change the text of the response.
#[actix_rt::test]
async fn streams_resume_and_inject_faults_on_demand() {
    let engine = Engine::start(EngineConfig::default());
    let faults = StreamFaults { duplicate: true, late: true, foreign: true, ..StreamFaults::default() };
    engine.set_stream_faults(faults);
    let resumed = EngineRequest { resume_from_token: 1, ..request("1", "a", &[]) };
    let events = run(&engine, &resumed).await;
    let indexes: Vec<u64> =
        events.iter().filter(|event| event.attempt_id == "1").map(|event| event.token_index).collect();
    assert_eq!(indexes, [1, 1, 2, 2, 1]);
    assert_eq!(events.iter().filter(|event| event.attempt_id != "1").count(), 2);
    assert!(expected_text(&resumed.prompt, 3).contains(&events[1].text));

    let cut = StreamFaults { cut_after_tokens: Some(1), broken_streams: 1, ..StreamFaults::default() };
    engine.set_stream_faults(cut);
    // The client reports a truncated chunked body as complete, so the missing end mark is what counts.
    let (_, _, body) = post(&engine.url(), "/v1/completions", &resumed).await;
    let body = String::from_utf8(body).unwrap();
    assert!(!body.contains("[DONE]") && body.matches("data: ").count() == 1, "{body}");
    assert_eq!(run(&engine, &resumed).await.len(), 2);
}

/// Guards against attempts that run despite another weight version, a leaving engine or a cancellation.
#[actix_rt::test]
async fn attempts_are_refused_without_running_or_cancelled() {
    let engine = Engine::start(EngineConfig { token_ms: 20, ..EngineConfig::default() });
    let other_version = EngineRequest { weight_version: 2, ..request("1", "a", &[]) };
    let (status, not_run, _) = post(&engine.url(), "/v1/completions", &other_version).await;
    assert_eq!((status, not_run), (409, true));

    let long = EngineRequest { max_tokens: 1_000, ..request("2", "a", &[]) };
    let (url, id) = (engine.url(), "2");
    let cancel = async {
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        client().delete(format!("{url}/v1/requests/{id}")).send().await.unwrap();
    };
    let (response, ()) = futures::future::join(post(&url, "/v1/completions", &long), cancel).await;
    assert!(!String::from_utf8(response.2).unwrap().contains("[DONE]"));

    engine.leave();
    let (status, not_run, _) = post(&engine.url(), "/v1/completions", &request("3", "a", &[])).await;
    assert_eq!((status, not_run, engine.records().runs.len()), (503, true, 1));
}

/// Guards against a full batch that admits a request before one of higher priority.
#[actix_rt::test]
async fn a_full_batch_admits_by_priority() {
    let config = EngineConfig { batch_limit: 1, token_ms: 30, ..EngineConfig::default() };
    let engine = Engine::start(config);
    let of = |attempt: &str, priority| EngineRequest { priority, ..request(attempt, "a", &[]) };
    let first = of("first", 5);
    let (low, high) = (of("low", 5), of("high", 0));
    let later = |wait_ms, request| {
        let engine = &engine;
        async move {
            actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
            run(engine, &request).await
        }
    };
    futures::future::join3(later(0, first), later(50, low), later(100, high)).await;
    let order: Vec<String> = engine.records().runs.into_iter().map(|run| run.attempt_id).collect();
    assert_eq!(order, ["first", "high", "low"]);
}

/// Guards against a crashed engine that keeps its cache or incarnation, or does not come back.
#[actix_rt::test]
async fn a_crashing_prompt_takes_the_engine_down_for_a_while() {
    let config =
        EngineConfig { crash_marker: "boom".to_owned(), crash_down_ms: 200, ..EngineConfig::default() };
    let engine = Engine::start(config);
    run(&engine, &request("1", "a", &["a1"])).await;
    let crash = EngineRequest { prompt: "boom".to_owned(), ..request("2", "a", &[]) };
    assert!(client().post(format!("{}/v1/completions", engine.url())).send_json(&crash).await.is_err());
    assert!(client().get(format!("{}/v1/load", engine.url())).send().await.is_err());
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let load: EngineLoad = get(&engine.url(), "/v1/load").await;
    assert_eq!((load.incarnation, engine.cached_pieces()), (2, 0));
}

/// Guards against cache events without the configured delay and gaps, and a load report without lag.
#[actix_rt::test]
async fn cache_events_are_delayed_with_gaps_and_the_load_report_lags() {
    let config = EngineConfig {
        event_delay_ms: 300,
        event_gap_every: 2,
        load_lag_ms: 60_000,
        ..EngineConfig::default()
    };
    let engine = Engine::start(config);
    let before: EngineLoad = get(&engine.url(), "/v1/load").await;
    run(&engine, &request("1", "a", &["a1", "a2", "a3"])).await;
    let early: CacheEvents = get(&engine.url(), "/v1/cache-events?after=0").await;
    assert_eq!((early.events.len(), early.next_seq), (0, 0));
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let late: CacheEvents = get(&engine.url(), "/v1/cache-events?after=0").await;
    let seqs: Vec<u64> = late.events.iter().map(|event| event.seq).collect();
    assert_eq!((seqs, late.next_seq), (vec![1, 3], 3));
    let after: EngineLoad = get(&engine.url(), "/v1/load").await;
    assert!(after.report_age_ms >= 400 && after.running == before.running);
}

/// Guards against loads that ignore the weight store's limit, and orders accepted despite an old fencing number.
#[actix_rt::test]
async fn weights_load_through_the_shared_store_and_old_fencing_numbers_are_refused() {
    let store = WeightStore::start(100, 1);
    let config =
        EngineConfig { weight_store_url: store.url(), checks_fencing: true, ..EngineConfig::default() };
    let engines = [Engine::start(config.clone()), Engine::start(config)];
    let order = |fencing| EngineOrder { fencing, kind: "load_weights".to_owned(), weight_version: 2 };
    let started = Instant::now();
    for engine in &engines {
        assert_eq!(post(&engine.url(), "/v1/orders", &order(5)).await.0, 200);
    }
    let refused = post(&engines[0].url(), "/v1/completions", &request("1", "a", &[])).await;
    assert_eq!((refused.0, refused.1), (503, true));
    while engines.iter().any(|engine| engine.weight_version() != 2) {
        assert!(started.elapsed() < Duration::from_secs(10));
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(started.elapsed() >= Duration::from_millis(180), "{:?}", started.elapsed());
    assert_eq!(store.max_concurrent_loads(), 2);
    assert_eq!(post(&engines[0].url(), "/v1/orders", &order(4)).await.0, 409);
    assert!(!engines[0].records().orders[1].accepted);
}

/// Guards against a plain service that runs what it refuses as not run, and a platform list without lag.
#[actix_rt::test]
async fn plain_faults_and_list_lag_take_effect() {
    let plain = PlainService::start();
    plain.set_fault(PlainFault::RefuseNotRun);
    let (status, not_run, _) = post(&plain.url(), "/cue", &"c").await;
    assert_eq!((status, not_run, plain.runs("\"c\"")), (503, true, 0));
    plain.set_fault(PlainFault::SwapResponses);
    let url = plain.url();
    let (one, two) = ("one", "two");
    let (first, second) = futures::future::join(post(&url, "/1", &one), post(&url, "/2", &two)).await;
    let first = String::from_utf8(first.2).unwrap();
    let second = String::from_utf8(second.2).unwrap();
    assert!(first.contains("two") && second.contains("one"), "{first} {second}");

    let platform = Platform::start();
    platform.set_lag(Duration::from_millis(300));
    platform.add(InstanceKind::Plain, "ledger", "ledger-1", "howrah", &plain.url());
    platform.set_url_for("n1", "ledger-1", "http://own");
    let list: PlatformList = get(&platform.url(), "/v1/instances").await;
    assert!(list.instances.is_empty());
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let list: PlatformList = get(&platform.url_for("n1"), "/v1/instances").await;
    assert_eq!(list.instances[0].url, "http://own");
}
