//! Turns the records of benchmark runs into a result file and a table.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::{
    measure_checks::violations,
    measure_config::MeasureConfig,
    measure_load::{PromptKind, PromptRecord},
    measure_plain::PlainOutcome,
    measure_run::RunResult,
};

/// Largest time of a histogram; longer ones count as this.
const MAX_RECORDED_US: u64 = 60_000_000;

/// Returns the result of one policy as it is written to the result file.
///
/// # Errors
/// Fails if a histogram cannot be built.
pub fn report(config: &MeasureConfig, policy: &str, run: &RunResult) -> eyre::Result<Value> {
    let prompts = &run.callers.prompts;
    let of = |kind: PromptKind| prompts.iter().filter(move |prompt| prompt.kind == kind).collect::<Vec<_>>();
    let deployment = &run.deployment.config;
    Ok(json!({
        "preset": config.preset,
        "policy": policy,
        "fault": format!("{:?}", config.fault),
        "seconds": run.elapsed.as_secs_f64(),
        "seed": config.seed,
        "load_percent": config.load_percent,
        "time_to_first_token_ms": {
            deployment.model.clone(): first_token(&prompts.iter().collect::<Vec<_>>())?,
            "short": first_token(&of(PromptKind::Short))?,
            "long_first": first_token(&of(PromptKind::LongFirst))?,
            "long_return": first_token(&of(PromptKind::LongReturn))?,
        },
        "time_to_answer_ms": {
            deployment.plain.clone(): plain_times(run.callers.non_idempotent.iter().chain(&run.callers.idempotent))?,
        },
        "engines": engine_figures(run),
        "stores": store_figures(run),
        "results": result_codes(run),
        "fairness": fairness(&of(PromptKind::Short))?,
        "nodes": node_figures(run),
        "violations": violations(run),
    }))
}

/// Prints the main figures of all policies, one policy a row.
pub fn print_table(results: &[Value]) {
    println!(
        "{:<16} {:>6} {:>24} {:>24} {:>11} {:>9} {:>8} {:>8}  violations",
        "policy",
        "served",
        "first token p50/95/99 ms",
        "return p50/95/99 ms",
        "recomputed",
        "wasted MB",
        "fair",
        "cpu s"
    );
    for result in results {
        let times = &result["time_to_first_token_ms"];
        let all =
            times.as_object().into_iter().flatten().find(|(name, _)| !PROMPT_KINDS.contains(&name.as_str()));
        let served = result["results"]["ok"].as_u64().unwrap_or_default();
        println!(
            "{:<16} {served:>6} {:>24} {:>24} {:>10.1}% {:>9.2} {:>8.2} {:>8.2}  {}",
            result["policy"].as_str().unwrap_or_default(),
            all.map(|(_, times)| percentiles(times)).unwrap_or_default(),
            percentiles(&times["long_return"]),
            result["engines"]["recomputed_percent"].as_f64().unwrap_or_default(),
            result["engines"]["vain_bytes"].as_f64().unwrap_or_default() / 1e6,
            result["fairness"]["slowest_to_fastest_p95"].as_f64().unwrap_or_default(),
            result["nodes"]["processor_s_total"].as_f64().unwrap_or_default(),
            result["violations"],
        );
        println!("{:<16} results: {}", "", result["results"]);
    }
}

/// Keys of `time_to_first_token_ms` other than the model, which stands for all prompts.
const PROMPT_KINDS: &[&str] = &["short", "long_first", "long_return"];

fn percentiles(times: &Value) -> String {
    let of = |name: &str| times[name].as_f64().unwrap_or_default();
    format!("{:.0}/{:.0}/{:.0}", of("p50"), of("p95"), of("p99"))
}

fn first_token(prompts: &[&PromptRecord]) -> eyre::Result<Value> {
    distribution(prompts.iter().filter_map(|prompt| prompt.outcome.first_token))
}

fn plain_times<'a>(requests: impl Iterator<Item = &'a PlainOutcome>) -> eyre::Result<Value> {
    distribution(requests.filter(|request| request.status == 200).map(|request| request.total))
}

/// Returns the count and percentiles in milliseconds.
fn distribution(times: impl Iterator<Item = std::time::Duration>) -> eyre::Result<Value> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, 3)?;
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDED_US));
    }
    let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Ok(json!({ "count": histogram.len(), "p50": ms(0.5), "p95": ms(0.95), "p99": ms(0.99) }))
}

fn engine_figures(run: &RunResult) -> Value {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for engine in run.deployment.upstreams.engines.values() {
        let records = engine.records();
        for (name, value) in [
            ("computed_tokens", records.computed_tokens),
            ("cached_tokens", records.cached_tokens),
            ("vain_bytes", records.wasted_bytes),
            ("imported_bytes", records.imported_bytes),
            ("exported_bytes", records.exported_bytes),
            ("runs", records.runs.len() as u64),
            ("refusals", records.refusals.values().sum()),
        ] {
            *sums.entry(name).or_default() += value;
        }
    }
    let total = (sums["computed_tokens"] + sums["cached_tokens"]).max(1);
    let recomputed = sums["computed_tokens"] as f64 / total as f64 * 100.0;
    let mut figures = json!(sums);
    figures["recomputed_percent"] = json!(recomputed);
    figures
}

fn store_figures(run: &RunResult) -> Value {
    let capacity = run.deployment.config.store.link_bytes_per_s as f64 * run.elapsed.as_secs_f64();
    let stores = run.deployment.upstreams.stores.iter().map(|(id, store)| {
        let (counts, moved) = (store.counts(), store.moved_bytes());
        let figures = json!({
            "moved_bytes": moved,
            "link_use_percent": moved as f64 / capacity.max(1.0) * 100.0,
            "vain_bytes": counts.wasted_bytes,
            "reads": counts.reads,
            "refused_reads": counts.refused_reads,
            "refused_writes": counts.refused_writes,
        });
        (id.clone(), figures)
    });
    Value::Object(stores.collect())
}

/// Counts `ok` responses, refusals and stream errors by result code, and the others as `broken_off`.
fn result_codes(run: &RunResult) -> Value {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    let mut count = |is_ok: bool, code: Option<u32>| {
        let name = match (is_ok, code) {
            (true, _) => "ok".to_owned(),
            (false, Some(code)) => code.to_string(),
            (false, None) => "broken_off".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    };
    for prompt in &run.callers.prompts {
        count(prompt.outcome.is_complete, prompt.outcome.result_code);
    }
    for request in run.callers.non_idempotent.iter().chain(&run.callers.idempotent) {
        count(request.status == 200, request.result_code);
    }
    json!(counts)
}

/// Compares the customers by their short prompts, whose length does not depend on the customer.
fn fairness(prompts: &[&PromptRecord]) -> eyre::Result<Value> {
    let mut by_customer: BTreeMap<&str, Vec<&PromptRecord>> = BTreeMap::new();
    for prompt in prompts {
        by_customer.entry(&prompt.customer).or_default().push(prompt);
    }
    let mut customers = BTreeMap::new();
    for (customer, prompts) in by_customer {
        customers.insert(customer, first_token(&prompts)?);
    }
    let p95 = customers.values().filter_map(|times| times["p95"].as_f64()).filter(|p95| *p95 > 0.0);
    let (fastest, slowest) = p95.fold((f64::MAX, 0.0_f64), |(low, high), p95| (low.min(p95), high.max(p95)));
    Ok(json!({ "customers": customers, "slowest_to_fastest_p95": slowest / fastest }))
}

fn node_figures(run: &RunResult) -> Value {
    let total: f64 = run.usage_by_node.values().map(|used| used.processor_s).sum();
    let nodes = run.usage_by_node.iter().map(|(name, used)| {
        let core_percent = used.processor_s / run.elapsed.as_secs_f64() * 100.0;
        let figures = json!({
            "processor_s": used.processor_s, "core_percent": core_percent, "memory_kb": used.peak_memory_kb,
        });
        (name.clone(), figures)
    });
    json!({ "processor_s_total": total, "by_name": Value::Object(nodes.collect()) })
}
