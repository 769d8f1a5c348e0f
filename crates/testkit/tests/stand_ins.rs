//! The stand-ins keep to the rules that other tests and the measurements rely on.

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

const PIECE_PROMPT_BYTES: usize = 8_000;

fn client() -> Client {
    Client::builder().timeout(Duration::from_secs(20)).finish()
}

fn request(attempt: &str, salt: &str, pieces: &[&str]) -> EngineRequest {
    EngineRequest {
        attempt_id: attempt.to_owned(),
        model: "lyric-llm".to_owned(),
        adapter: None,
        prompt: "p".repeat(PIECE_PROMPT_BYTES * pieces.len().max(1)),
        max_tokens: 3,
        priority: 0,
        cache_salt: salt.to_owned(),
        kv_pieces: pieces.iter().map(|piece| (*piece).to_owned()).collect(),
        resume_from_token: 0,
        resume_text: None,
        weight_version: 1,
    }
}

async fn post<T: Serialize>(url: &str, path: &str, body: &T) -> (u16, bool, Vec<u8>) {
    let mut answer = client().post(format!("{url}{path}")).send_json(body).await.unwrap();
    let not_run = answer.headers().contains_key("x-not-run");
    (answer.status().as_u16(), not_run, answer.body().await.unwrap_or_default().to_vec())
}

async fn get<T: DeserializeOwned>(url: &str, path: &str) -> T {
    client().get(format!("{url}{path}")).send().await.unwrap().json().await.unwrap()
}

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

/// Guards against a cache that serves one customer's pieces to another or forgets its limit.
#[actix_rt::test]
async fn the_prefix_cache_is_kept_apart_by_salt_and_bounded() {
    let engine = Engine::start(EngineConfig { cache_pieces: 2, ..EngineConfig::default() });
    run(&engine, &request("1", "opera-a", &["a1", "a2"])).await;
    run(&engine, &request("2", "opera-a", &["a1", "a2"])).await;
    run(&engine, &request("3", "opera-b", &["a1", "a2"])).await;
    let records = engine.records();
    let cached: Vec<u64> = records.runs.iter().map(|run| run.cached_tokens).collect();
    assert_eq!(cached, [0, 4_000, 0]);
    assert_eq!((records.foreign_salts, engine.cached_pieces()), (1, 2));
}

/// Guards against a restore that fails although the blocks are whole, and one that takes damaged blocks.
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

    let mut older = blocks.clone();
    for block in &mut older {
        block.generation = 6;
    }
    assert_eq!(import(&engine, &store, older).await.imported, 0);
    store.damage_blocks();
    assert_eq!(import(&engine, &store, blocks.clone()).await.imported, 0);
    assert!(engine.records().wasted_bytes > 0);
    client().delete(format!("{}/v1/blocks/a1/7", store.url())).send().await.unwrap();
    assert_eq!(import(&engine, &store, blocks).await.imported, 0);
}

/// Guards against a lenient store whose freed blocks nobody can tell from sealed ones.
#[actix_rt::test]
async fn a_lenient_store_hands_out_freed_blocks_and_the_engine_records_it() {
    let config = StoreConfig { lenient: true, ..StoreConfig::default() };
    let (engine, store) = (Engine::start(EngineConfig::default()), Store::start(config));
    run(&engine, &request("1", "opera-a", &["a1"])).await;
    let blocks = export(&engine, &store, &["a1"], 1).await;
    client().delete(format!("{}/v1/blocks/a1/1", store.url())).send().await.unwrap();
    import(&engine, &store, blocks).await;
    assert_eq!(engine.records().block_reads[0].store_state, "freed");
}

/// Guards against a store without limits.
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

/// Guards against transfers that do not share the link.
#[actix_rt::test]
async fn the_link_of_a_store_is_shared() {
    let config = StoreConfig { link_bytes_per_s: 2_000_000, ..StoreConfig::default() };
    let (engine, store) = (Engine::start(EngineConfig::default()), Store::start(config));
    run(&engine, &request("1", "opera-a", &["a1", "a2"])).await;
    let began = Instant::now();
    let both =
        futures::future::join(export(&engine, &store, &["a1"], 1), export(&engine, &store, &["a2"], 1));
    both.await;
    let bytes = 2.0 * EngineConfig::default().piece_bytes as f64;
    assert!(began.elapsed().as_secs_f64() > 0.9 * bytes / 2_000_000.0, "{:?}", began.elapsed());
}

/// Guards against faults of streams that are not injected, or change the right answer.
#[actix_rt::test]
async fn streams_are_doubled_late_crossed_resumed_and_cut_on_demand() {
    let engine = Engine::start(EngineConfig::default());
    let faults = StreamFaults { duplicate: true, late: true, foreign: true, ..StreamFaults::default() };
    engine.set_stream_faults(faults);
    let asked = EngineRequest { resume_from_token: 1, ..request("1", "a", &[]) };
    let events = run(&engine, &asked).await;
    let indexes: Vec<u64> =
        events.iter().filter(|event| event.attempt_id == "1").map(|event| event.token_index).collect();
    assert_eq!(indexes, [1, 1, 2, 2, 1]);
    assert_eq!(events.iter().filter(|event| event.attempt_id != "1").count(), 2);
    assert!(expected_text(&asked.prompt, 3).contains(&events[1].text));

    let cut = StreamFaults { cut_after_tokens: Some(1), broken_streams: 1, ..StreamFaults::default() };
    engine.set_stream_faults(cut);
    // The client reports a chunked body that ends early as whole, so the missing end mark is what counts.
    let (_, _, body) = post(&engine.url(), "/v1/completions", &asked).await;
    let body = String::from_utf8(body).unwrap();
    assert!(!body.contains("[DONE]") && body.matches("data: ").count() == 1, "{body}");
    assert_eq!(run(&engine, &asked).await.len(), 2);
}

/// Guards against attempts that run in spite of another weight version, a leave or a cancel.
#[actix_rt::test]
async fn attempts_are_refused_without_running_or_cancelled() {
    let engine = Engine::start(EngineConfig { token_ms: 20, ..EngineConfig::default() });
    let other = EngineRequest { weight_version: 2, ..request("1", "a", &[]) };
    let (status, not_run, _) = post(&engine.url(), "/v1/completions", &other).await;
    assert_eq!((status, not_run), (409, true));

    let long = EngineRequest { max_tokens: 1_000, ..request("2", "a", &[]) };
    let (url, id) = (engine.url(), "2");
    let cancel = async {
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        client().delete(format!("{url}/v1/requests/{id}")).send().await.unwrap();
    };
    let (answer, ()) = futures::future::join(post(&url, "/v1/completions", &long), cancel).await;
    assert!(!String::from_utf8(answer.2).unwrap().contains("[DONE]"));

    engine.leave();
    let (status, not_run, _) = post(&engine.url(), "/v1/completions", &request("3", "a", &[])).await;
    assert_eq!((status, not_run, engine.records().runs.len()), (503, true, 1));
}

/// Guards against a full batch that lets later requests of lower priority go first.
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

/// Guards against a crash that keeps the cache or the incarnation, or never ends.
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

/// Guards against cache events without delay and gaps, and a load report without lag.
#[actix_rt::test]
async fn events_come_late_with_gaps_and_the_load_report_lags() {
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

/// Guards against loads that ignore the weight store's limit, and old orders that pass a check.
#[actix_rt::test]
async fn weights_load_through_the_shared_store_and_old_fencing_numbers_are_refused() {
    let store = WeightStore::start(100, 1);
    let config =
        EngineConfig { weight_store_url: store.url(), checks_fencing: true, ..EngineConfig::default() };
    let engines = [Engine::start(config.clone()), Engine::start(config)];
    let order = |fencing| EngineOrder { fencing, kind: "load_weights".to_owned(), weight_version: 2 };
    let began = Instant::now();
    for engine in &engines {
        assert_eq!(post(&engine.url(), "/v1/orders", &order(5)).await.0, 200);
    }
    let refused = post(&engines[0].url(), "/v1/completions", &request("1", "a", &[])).await;
    assert_eq!((refused.0, refused.1), (503, true));
    while engines.iter().any(|engine| engine.weight_version() != 2) {
        assert!(began.elapsed() < Duration::from_secs(10));
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(began.elapsed() >= Duration::from_millis(180), "{:?}", began.elapsed());
    assert_eq!(store.max_concurrent_loads(), 2);
    assert_eq!(post(&engines[0].url(), "/v1/orders", &order(4)).await.0, 409);
    assert!(!engines[0].records().orders[1].accepted);
}

/// Guards against a plain service that runs what it says it did not, and a list without lag.
#[actix_rt::test]
async fn plain_faults_and_the_lag_of_the_list() {
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
