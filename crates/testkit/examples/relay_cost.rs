//! Measures the overhead of a node in front of an engine: time to the first token, streams and tokens per second, and
//! memory per stream.

use std::{
    fs,
    rc::Rc,
    time::{Duration, Instant},
};

use awc::Client;
use daisysill_testkit::{
    deployment::Deployment,
    deployment_config::DeploymentConfig,
    engine::{Engine, EngineConfig},
    measure_run::resource_usage,
};
use daisysill_wire::http_types::{EngineRequest, InstanceKind};
use eyre::eyre;
use futures::{StreamExt, future::join_all};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Numbers of concurrent streams.
const LEVELS: [usize; 3] = [1, 64, 1_024];
/// Duration of the load for each level and side.
const LEVEL_TIME: Duration = Duration::from_secs(4);
/// Tokens of a paced stream, which takes one second.
const PACED_TOKENS: u32 = 10;
/// Interval between the tokens of a paced stream.
const PACED_TOKEN_MS: u64 = 100;
/// Tokens of an unpaced stream.
const FAST_TOKENS: u32 = 256;
/// Target for the time that a node adds to the median time to the first token with 64 streams.
const TARGET_ADDED_MS: f64 = 1.0;
/// Target for the resident memory of a node with 1,024 streams.
const TARGET_MEMORY_KB: u64 = 64 * 1_024;

/// The engine or node that streams are requested from.
#[derive(Clone)]
struct Target {
    client: Client,
    url: String,
    /// Bearer token of a node's customer; `None` for the engine.
    token: Option<String>,
    max_tokens: u32,
}

/// The results of one level of load.
struct Level {
    first_token_us: Histogram<u64>,
    streams: u64,
    failed: u64,
    tokens: u64,
    elapsed: Duration,
}

fn main() -> eyre::Result<()> {
    actix_rt::System::new().block_on(async {
        let (paced, paced_node) = start(PACED_TOKEN_MS).await;
        let idle_kb = resident_kb(paced_node.node("sathorn-1").id());
        println!("open streams  side      first token p50/p95 ms  streams/s  tokens/s  failed");
        let mut medians = Vec::new();
        for level in LEVELS {
            let direct = measure(&direct(&paced, PACED_TOKENS), level).await?;
            print_level(level, "direct", &direct);
            let node = measure(&through(&paced_node, PACED_TOKENS), level).await?;
            print_level(level, "node", &node);
            let added = node.median_ms() - direct.median_ms();
            println!("{level:>12}  added at the median: {added:.2} ms");
            medians.push((level, added));
        }
        let process = paced_node.node("sathorn-1").id();
        let memory = open_streams_memory(&paced_node, process).await;
        println!(
            "memory: idle {idle_kb} kB, with 1024 open streams {memory} kB ({:.1} kB each), most {} kB",
            memory.saturating_sub(idle_kb) as f64 / 1_024.0,
            resource_usage(process).peak_memory_kb
        );
        drop(paced_node);
        let (fast, fast_node) = start(0).await;
        for (side, target) in
            [("direct", direct(&fast, FAST_TOKENS)), ("node", through(&fast_node, FAST_TOKENS))]
        {
            print_level(64, side, &measure(&target, 64).await?);
        }
        let added = medians.iter().find(|(level, _)| *level == 64).map_or(f64::MAX, |(_, added)| *added);
        print_target("added at the median with 64 streams, ms", added, TARGET_ADDED_MS);
        print_target("memory with 1024 streams, kB", memory as f64, TARGET_MEMORY_KB as f64);
        Ok(())
    })
}

/// Starts an engine and a node in front of it, without a proxy in between.
async fn start(token_ms: u64) -> (Engine, Deployment) {
    let engine = EngineConfig {
        prefill_tokens_per_s: 1_000_000_000,
        token_ms,
        batch_limit: 4_096,
        full_batch_slowdown_percent: 0,
        ..EngineConfig::default()
    };
    let mut config = DeploymentConfig::small();
    config.upstream_proxies = false;
    // The deployment's own engine would be listed with the URL of its proxy.
    config.upstreams.retain(|plan| plan.kind == InstanceKind::Plain);
    config.extra_model = Some("lyric-llm".to_owned());
    let engine = Engine::start(engine);
    let deployment = Deployment::start(config);
    deployment.platform.add(
        InstanceKind::Engine,
        "lyric-llm",
        "lyric-1",
        "bkk-sathorn",
        &engine.direct_url(),
    );
    while deployment.status("sathorn-1").await.is_none_or(|status| {
        !status.upstreams.iter().any(|upstream| upstream.id == "lyric-1" && upstream.state == "live")
    }) {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    (engine, deployment)
}

fn client() -> Client {
    let connector = awc::Connector::new().limit(0);
    Client::builder().connector(connector).disable_timeout().finish()
}

fn direct(engine: &Engine, max_tokens: u32) -> Target {
    Target { client: client(), url: engine.direct_url(), token: None, max_tokens }
}

fn through(deployment: &Deployment, max_tokens: u32) -> Target {
    let token = Some(DeploymentConfig::token("opera-a"));
    Target { client: client(), url: deployment.caller_url("sathorn-1"), token, max_tokens }
}

/// Keeps a number of streams open for `LEVEL_TIME`; each stream that ends is followed by another.
async fn measure(target: &Target, streams: usize) -> eyre::Result<Level> {
    let target = Rc::new(target.clone());
    let began = Instant::now();
    let callers = (0..streams).map(|number| {
        let target = Rc::clone(&target);
        async move {
            // Staggered over one stream's duration, so that streams do not start at the same time.
            let spread = Duration::from_millis(PACED_TOKEN_MS * u64::from(PACED_TOKENS));
            actix_rt::time::sleep(spread.mul_f64(number as f64 / streams as f64)).await;
            let mut outcomes = Vec::new();
            while began.elapsed() < LEVEL_TIME {
                outcomes.push(stream(&target, number).await);
            }
            outcomes
        }
    });
    let outcomes = join_all(callers).await;
    let mut level = Level {
        first_token_us: Histogram::new_with_bounds(1, 60_000_000, 3)?,
        streams: 0,
        failed: 0,
        tokens: 0,
        elapsed: began.elapsed(),
    };
    for outcome in outcomes.into_iter().flatten() {
        match outcome {
            Ok((first, tokens)) => {
                level.streams += 1;
                level.tokens += tokens;
                level.first_token_us.saturating_record(u64::try_from(first.as_micros())?);
            }
            Err(_) => level.failed += 1,
        }
    }
    Ok(level)
}

/// Reads one stream to its end; returns the time to its first bytes and the number of events with text.
async fn stream(target: &Target, number: usize) -> eyre::Result<(Duration, u64)> {
    let began = Instant::now();
    let request = target.client.post(format!("{}/v1/completions", target.url));
    let sent = match &target.token {
        Some(token) => request.bearer_auth(token).send_json(&node_body(number, target.max_tokens)).await,
        None => request.send_json(&engine_body(number, target.max_tokens)).await,
    };
    let mut response = sent.map_err(|error| eyre!("{error}"))?;
    let (mut first, mut text) = (None, Vec::new());
    while let Some(chunk) = response.next().await {
        text.extend_from_slice(&chunk?);
        first.get_or_insert_with(|| began.elapsed());
    }
    let text = String::from_utf8(text)?;
    let first = first
        .filter(|_| text.ends_with("data: [DONE]\n\n"))
        .ok_or_else(|| eyre!("the stream ended without its end mark"))?;
    // A node's last event carries token counts and an empty text.
    let events = text.matches("\"text\":\"").count() - text.matches("\"text\":\"\"").count();
    Ok((first, events as u64))
}

fn node_body(number: usize, max_tokens: u32) -> Value {
    json!({"model": "lyric-llm", "prompt": format!("stream {number}"), "max_tokens": max_tokens, "stream": true})
}

fn engine_body(number: usize, max_tokens: u32) -> EngineRequest {
    EngineRequest {
        attempt_id: format!("direct-{number}"),
        model: "lyric-llm".to_owned(),
        adapter: None,
        prompt: format!("stream {number}"),
        max_tokens,
        priority: 0,
        cache_salt: "direct".to_owned(),
        kv_pieces: Vec::new(),
        resume_from_token: 0,
        resume_text: None,
        weight_version: 0,
    }
}

/// Opens 1,024 streams and returns the node's resident memory while all are open, in kB.
async fn open_streams_memory(deployment: &Deployment, process: u32) -> u64 {
    let target = through(deployment, 30);
    let streams = join_all((0..LEVELS[2]).map(|number| stream(&target, number)));
    let sample = async {
        actix_rt::time::sleep(Duration::from_millis(PACED_TOKEN_MS * 15)).await;
        resident_kb(process)
    };
    futures::future::join(streams, sample).await.1
}

fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
}

impl Level {
    fn median_ms(&self) -> f64 {
        self.first_token_us.value_at_quantile(0.5) as f64 / 1_000.0
    }
}

fn print_level(streams: usize, side: &str, level: &Level) {
    let seconds = level.elapsed.as_secs_f64();
    println!(
        "{streams:>12}  {side:<8}  {:>10.2}/{:<10.2}  {:>9.1}  {:>8.0}  {}",
        level.median_ms(),
        level.first_token_us.value_at_quantile(0.95) as f64 / 1_000.0,
        level.streams as f64 / seconds,
        level.tokens as f64 / seconds,
        level.failed
    );
}

fn print_target(what: &str, measured: f64, target: f64) {
    let word = if measured <= target { "met" } else { "MISSED" };
    println!("{word}: {what}: {measured:.2}, target at most {target}");
}
