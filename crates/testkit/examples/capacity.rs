//! Measures the memory and time that each further upstream, customer, claim, block, piece, origin of a stream or rule file costs
//! a node, at three sizes each. The figures in docs/CAPACITY.md are extrapolated from these slopes.

#![allow(clippy::unwrap_used)]

use std::{
    fmt::Write as _,
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

use daisysill_control::{
    command::{Claim, ClaimKey, ClaimOutcome, Command, FinishClaim, PublishRules, StoredResponse},
    state::AgreedState,
};
use daisysill_core::{
    block::{BlockDescriptor, BlockName},
    ids::{ConfigVersion, InstanceId, SoftwareVersion, WeightVersion},
    origin_log::{OriginLog, OriginSource},
    rules::RuleFile,
    stream_origins::StreamOrigins,
    view::{ClusterView, UpstreamState, UpstreamView},
};
use daisysill_node::{config::Config, directory::BlockDirectory};
use daisysill_testkit::{
    deployment::Deployment, deployment_config::DeploymentConfig, measure_run::resource_usage,
    proxy::Direction,
};
use daisysill_wire::peer::BlockLocation;

/// Size of a stored response body, about that of the response to a fired cue.
const RESPONSE_BYTES: usize = 200;
/// Time over which the use of an idle node is measured.
const IDLE_SAMPLE: Duration = Duration::from_secs(5);

fn main() {
    println!("{:<34} {:>9} {:>12} {:>14}", "what", "count", "kB resident", "us for each");
    series("claims with a stored response", &[2_000, 20_000, 60_000], claims);
    series("upstreams in the view", &[440, 1_320, 4_400], upstreams);
    series("pieces in the view", &[20_000, 100_000, 500_000], pieces);
    series("blocks in the directory", &[20_000, 100_000, 500_000], blocks);
    series("customers in the settings", &[56, 560, 5_600], customers);
    series("origins of streams", &[20_000, 100_000, 400_000], origins);
    series("rule files published", &[5, 50, 200], rule_files);
    actix_rt::System::new().block_on(idle_nodes());
}

/// Builds one kind of state at several sizes and prints its cost. Nothing is freed, so that no memory is reused.
fn series<T>(what: &str, counts: &[usize], build: impl Fn(usize) -> T) {
    for count in counts {
        let (before_kb, start) = (resident_kb(), Instant::now());
        let state = build(*count);
        let (elapsed, after_kb) = (start.elapsed(), resident_kb());
        std::mem::forget(black_box(state));
        let each_us = elapsed.as_secs_f64() * 1e6 / *count as f64;
        println!("{what:<34} {count:>9} {:>12} {each_us:>14.2}", after_kb.saturating_sub(before_kb));
    }
}

fn claims(count: usize) -> AgreedState {
    let mut state = AgreedState::default();
    for number in 0..count {
        let key = ClaimKey {
            customer: "school-band".into(),
            service: "ledger".into(),
            key: format!("renewal-{number:012}"),
        };
        let attempt = format!("att-{number:032x}").into();
        let claim = claim_of(&key, number);
        let index = number as u64 * 2 + 1;
        state.apply(index, index, &Command::Claim(claim));
        let response = StoredResponse {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; RESPONSE_BYTES],
        };
        let finish = FinishClaim { key, attempt, outcome: ClaimOutcome::Answered(response) };
        state.apply(index + 1, index + 1, &Command::FinishClaim(finish));
    }
    state
}

fn claim_of(key: &ClaimKey, number: usize) -> Claim {
    Claim {
        key: key.clone(),
        body_digest: format!("{number:064x}"),
        attempt: format!("att-{number:032x}").into(),
        holder: "howrah-1".into(),
        retention_ms: 604_800_000,
        outcome_timeout_ms: 10_000,
    }
}

fn upstreams(count: usize) -> ClusterView {
    let mut view = ClusterView::default();
    for number in 0..count {
        view.put_upstream(UpstreamView {
            id: format!("worker-{number}").into(),
            service: format!("model-{}", number % 5).into(),
            zone: format!("zone-{}", number % 5).into(),
            state: UpstreamState::Live,
            weight_version: WeightVersion(1),
        });
    }
    view
}

fn pieces(count: usize) -> ClusterView {
    let mut view = upstreams(440);
    for number in 0..count {
        let holder = InstanceId::from(format!("worker-{}", number % 440));
        view.record_piece(&holder, &block_name(number));
    }
    view
}

fn blocks(count: usize) -> BlockDirectory {
    let directory = BlockDirectory::default();
    for number in 0..count {
        let store = InstanceId::from(format!("store-{}", number % 10));
        let block =
            BlockDescriptor { name: block_name(number), length_bytes: 4_000_000, checksum: 1, generation: 1 };
        directory.apply_report(&[BlockLocation { store, block }], &[]);
    }
    directory
}

fn block_name(number: usize) -> BlockName {
    BlockName::from(&blake3::hash(&number.to_le_bytes()).to_hex()[..32])
}

fn customers(count: usize) -> Config {
    let mut text =
        fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/bengal/howrah-1.ini"))
            .unwrap_or_default();
    for number in 0..count {
        let digest = blake3::hash(&number.to_le_bytes()).to_hex();
        let _ = write!(text, "[customer.c{number}]\ntoken_digest = {digest}\nservices = tanpura, ledger\n");
    }
    Config::parse("capacity.ini", &text).unwrap()
}

/// Origins as a node knows and reports them.
fn origins(count: usize) -> (StreamOrigins, OriginLog) {
    let software: SoftwareVersion = "v1.4.2".into();
    let (mut known, mut log) = (StreamOrigins::default(), OriginLog::default());
    for number in 0..count as u64 {
        let stream = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        known.record(0, stream, &software);
        log.record(0, stream, &software, 0, OriginSource::EntryNode);
    }
    (known, log)
}

fn rule_files(count: usize) -> AgreedState {
    let file = |number: usize| RuleFile {
        name: format!("service-{number}.ini"),
        text: format!("[service]\nname = service-{number}\n[rest]\naccelerator_s = 600\nmemory_s = 86400\n"),
    };
    let publish = PublishRules {
        change: "capacity".into(),
        base: ConfigVersion(0),
        files: (0..count).map(file).collect(),
    };
    let mut state = AgreedState::default();
    state.apply(1, 1, &Command::PublishRules(publish));
    state
}

/// Measures a node that serves no requests and polls 10, 40 or 160 engines.
async fn idle_nodes() {
    println!("\n{:<10} {:>16} {:>16} {:>12}", "engines", "core percent", "bytes/s", "kB at most");
    for engines in [10, 40, 160] {
        let deployment = Deployment::start(DeploymentConfig::with_engines(engines));
        deployment.wait_until_ready().await;
        let process = deployment.node("sathorn-1").id();
        let (before, bytes) = (resource_usage(process), polled_bytes(&deployment));
        actix_rt::time::sleep(IDLE_SAMPLE).await;
        let (after, sampled_s) = (resource_usage(process), IDLE_SAMPLE.as_secs_f64());
        let percent = (after.processor_s - before.processor_s) / sampled_s * 100.0;
        let bytes_per_s = (polled_bytes(&deployment) - bytes) as f64 / sampled_s;
        println!("{engines:<10} {percent:>16.2} {bytes_per_s:>16.0} {:>12}", after.peak_memory_kb);
    }
}

/// Returns the bytes between the node and all upstreams so far, in both directions.
fn polled_bytes(deployment: &Deployment) -> u64 {
    let links = deployment.upstreams.listed();
    let links = links.iter().map(|(plan, _)| deployment.upstream_link("sathorn-1", &plan.id));
    links.map(|link| link.passed_bytes(Direction::Forward) + link.passed_bytes(Direction::Backward)).sum()
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
}
