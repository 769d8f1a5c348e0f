//! Runs a node and stand-ins in one process: a prompt is served, idles, is exported and evicted, and returns.
//! Prints both times to the first token and the decisions behind each.

use std::time::{Duration, Instant};

use awc::Client;
use daisysill_node::{
    app::{self, RunningNode},
    config::Config,
};
use daisysill_testkit::{
    caller::{PromptOutcome, PromptRequest, prompt},
    engine::{Engine, EngineConfig, expected_text},
    platform::Platform,
    store::{Store, StoreConfig},
};
use daisysill_wire::http_types::{ExplainReply, InstanceKind, NodeStatus, PublishRequest, RuleFileBody};
use eyre::{OptionExt, WrapErr, ensure, eyre};

/// Length of the prompt: ten pieces, whose prefill takes one second.
const PROMPT_TOKENS: usize = 20_000;
/// Rate of the link to the store, over which all pieces pass in 0.13 s.
const LINK_BYTES_PER_S: u64 = 20_000_000;
/// Time in which the idle context must be exported.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time in which the node must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a node that considers an engine live receives its first load report.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(200);
const TOKEN: &str = "opera-a-token";
const RULES: &str =
    "[service]\nname = lyric-llm\n[rest]\naccelerator_s = 1\nmemory_s = 600\ndisk_s = 86400\n";

struct Quickstart {
    node: RunningNode,
    engine: Engine,
    store: Store,
    _platform: Platform,
}

fn main() -> eyre::Result<()> {
    actix_rt::System::new().block_on(async {
        let quickstart = Quickstart::start().await?;
        quickstart.run().await?;
        quickstart.node.stop().await;
        Ok(())
    })
}

impl Quickstart {
    async fn start() -> eyre::Result<Self> {
        let engine_config = EngineConfig { link_bytes_per_s: LINK_BYTES_PER_S, ..EngineConfig::default() };
        let store_config = StoreConfig { link_bytes_per_s: LINK_BYTES_PER_S, ..StoreConfig::default() };
        let settings_piece_bytes = engine_config.piece_bytes;
        let (engine, store) = (Engine::start(engine_config), Store::start(store_config));
        let platform = Platform::start();
        platform.add(InstanceKind::Engine, "lyric-llm", "lyric-1", "bkk-sathorn", &engine.url());
        platform.add(InstanceKind::Store, "score-cache", "score-cache-1", "bkk-sathorn", &store.url());
        let settings = settings(&platform.url(), settings_piece_bytes);
        let config = Config::parse("quickstart", &settings).map_err(|errors| {
            eyre!("invalid settings: {}", errors.first().map(ToString::to_string).unwrap_or_default())
        })?;
        let node = app::start(config).await?;
        Ok(Self { node, engine, store, _platform: platform })
    }

    async fn run(&self) -> eyre::Result<()> {
        self.wait_until_ready().await?;
        self.publish_rules().await?;
        let text = "la ".repeat(PROMPT_TOKENS * 4 / 3 + 1);
        println!("First request, {PROMPT_TOKENS} tokens:");
        let first = self.send_prompt(&text).await?;
        println!("Quiet, until the context is exported ...");
        let exported = self.wait_for_export().await;
        if exported == 0 {
            println!("  nothing was exported within {} s", EXPORT_TIMEOUT.as_secs());
        } else {
            println!("  {exported} pieces exported to score-cache-1");
        }
        self.engine.evict_all();
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        println!("Evicted from the engine. The prompt returns:");
        let imported_before = self.engine.records().imported_bytes;
        let second = self.send_prompt(&text).await?;
        let restored = self.engine.records().imported_bytes > imported_before;
        println!("The return was {}.", if restored { "RESTORED from the store" } else { "RECOMPUTED" });
        println!("Time to first token: {} ms, then {} ms.", first.as_millis(), second.as_millis());
        Ok(())
    }

    /// Sends the prompt, checks the response and returns the time to its first token.
    async fn send_prompt(&self, text: &str) -> eyre::Result<Duration> {
        let url = format!("http://{}", self.node.addresses.caller);
        let deadline = Duration::from_secs(20);
        let request = PromptRequest {
            url: &url,
            token: TOKEN,
            model: "lyric-llm",
            prompt: text,
            max_tokens: 8,
            deadline,
        };
        let outcome: PromptOutcome = prompt(&Client::default(), &request).await;
        ensure!(outcome.is_complete, "the response is incomplete: {outcome:?}");
        ensure!(outcome.text == expected_text(text, 8), "the response has a wrong text: {:?}", outcome.text);
        let first_token = outcome.first_token.ok_or_eyre("the response has no token")?;
        let reused = outcome.usage.and_then(|usage| usage.cached_tokens).unwrap_or_default();
        println!("  first token after {} ms, {reused} tokens reused", first_token.as_millis());
        for decision in self.decisions(&outcome.request_id).await? {
            println!("  decision: {decision}");
        }
        Ok(first_token)
    }

    async fn decisions(&self, request_id: &str) -> eyre::Result<Vec<String>> {
        let reply: ExplainReply = self.get("/admin/v1/explain?limit=20").await?;
        let found = reply.requests.into_iter().find(|request| request.request_id == request_id);
        Ok(found.map(|request| request.decisions).unwrap_or_default())
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            let status: NodeStatus = self.get("/admin/v1/status").await?;
            if status.life_cycle == "ready"
                && status.upstreams.iter().any(|upstream| upstream.state == "live")
            {
                actix_rt::time::sleep(FIRST_REPORT_DELAY).await;
                return Ok(());
            }
            ensure!(
                Instant::now() < end,
                "the node is not ready within {READY_TIMEOUT:?}: {}",
                status.life_cycle
            );
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn publish_rules(&self) -> eyre::Result<()> {
        let files = vec![RuleFileBody { name: "lyric.ini".to_owned(), text: RULES.to_owned() }];
        let change_id = "quickstart".to_owned();
        let request = PublishRequest { base_version: 0, change_id, files };
        let url = format!("http://{}/admin/v1/rules", self.node.addresses.admin);
        let response = Client::default().post(url).send_json(&request).await;
        let response = response.map_err(|error| eyre!("cannot publish rules: {error}"))?;
        ensure!(response.status().is_success(), "rules were refused: {}", response.status());
        Ok(())
    }

    /// Waits until all cached pieces are in the store, or for 8 s; returns the number of pieces in the store.
    async fn wait_for_export(&self) -> usize {
        let (end, expected) = (Instant::now() + EXPORT_TIMEOUT, self.engine.cached_pieces());
        while self.store.sealed_blocks() < expected && Instant::now() < end {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        self.store.sealed_blocks()
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let url = format!("http://{}{path}", self.node.addresses.admin);
        let response = Client::default().get(url).send().await;
        let mut response = response.map_err(|error| eyre!("{path}: {error}"))?;
        response.json().await.wrap_err_with(|| path.to_owned())
    }
}

fn settings(platform: &str, piece_bytes: usize) -> String {
    let digest = blake3::hash(TOKEN.as_bytes()).to_hex();
    format!(
        "[node]\nname = sathorn-1\navailability_zone = bkk-sathorn\ncaller_listen = 127.0.0.1:0\n\
         admin_listen = 127.0.0.1:0\n\
         [cluster]\npeer_listen = 127.0.0.1:0\nsecret = quickstart\nbootstrap_voters = sathorn-1\n\
         [platform]\nurl = {platform}\npoll_ms = 50\n\
         [service.lyric-llm]\nkind = model\npoll_ms = 50\npiece_bytes = {piece_bytes}\n\
         link_bytes_per_s = {LINK_BYTES_PER_S}\n\
         [service.score-cache]\nkind = store\nlink_bytes_per_s = {LINK_BYTES_PER_S}\n\
         [customer.opera-a]\ntoken_digest = {digest}\nservices = lyric-llm\n"
    )
}
