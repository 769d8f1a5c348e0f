//! Counts violations of the promises P1 to P9 of `docs/PROMISES.md` in the records of callers and upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde_json::{Value, json};

use crate::{engine::EngineRecords, measure_plain::PlainOutcome, measure_run::RunResult};

/// Time after which an upstream that is listed as leaving must get no new requests.
const LEAVING_NOTICE: Duration = Duration::from_secs(3);

/// Counts violations by promise; `null` if the run did not exercise the promise.
pub fn violations(run: &RunResult) -> Value {
    let engines: BTreeMap<&String, EngineRecords> =
        run.deployment.upstreams.engines.iter().map(|(id, engine)| (id, engine.records())).collect();
    let all: Vec<&EngineRecords> = engines.values().collect();
    let reads = all.iter().flat_map(|records| &records.block_reads);
    let has_reads = reads.clone().count() > 0;
    let unsafe_reads = reads.filter(|read| read.store_state != "sealed").count();
    json!({
        "P1": has_reads.then_some(unsafe_reads),
        "P2": foreign_uses(run, &all),
        "P3": all.iter().map(|records| records.foreign_versions).sum::<u64>(),
        "P4": wrong_responses(run),
        "P5": wrong_refusals(run, &all),
        "P6": repeated_runs(run),
        "P7": run.leaving_engine.as_ref().map(|(id, at)| {
            engines[id].runs.iter().filter(|record| record.started_at > *at + LEAVING_NOTICE).count()
        }),
        "P8": run.stopped_node.as_ref().map(|(node, code)| interrupted(run, node) + usize::from(*code != Some(0))),
        "P9": run.outdated_nodes.len(),
    })
}

/// Attempts under another customer's salt, and attempts that named another customer's cached pieces.
fn foreign_uses(run: &RunResult, engines: &[&EngineRecords]) -> u64 {
    let prompts = run.callers.prompts.iter();
    let owners: BTreeMap<&str, &str> =
        prompts.map(|prompt| (prompt.prompt_digest.as_str(), prompt.customer.as_str())).collect();
    let is_foreign = |digest: &str, salt: &str| owners.get(digest).is_some_and(|owner| !salt.contains(owner));
    let runs = engines.iter().flat_map(|records| &records.runs);
    let runs = runs.filter(|record| is_foreign(&record.prompt_digest, &record.cache_salt)).count() as u64;
    runs + engines.iter().map(|records| records.foreign_salts).sum::<u64>()
}

/// Prompts with a wrong text, as far as it arrived, and plain responses with 200 that are truncated or another's.
fn wrong_responses(run: &RunResult) -> usize {
    let prompts = run.callers.prompts.iter().filter(|prompt| !prompt.is_correct).count();
    let plain = run.callers.non_idempotent.iter().chain(&run.callers.idempotent);
    prompts + plain.filter(|request| request.status == 200 && !request.is_correct).count()
}

/// Refusals with the run state `not_run` although an upstream ran the request.
fn wrong_refusals(run: &RunResult, engines: &[&EngineRecords]) -> usize {
    let ran: BTreeSet<&str> = engines
        .iter()
        .flat_map(|records| &records.runs)
        .map(|record| record.prompt_digest.as_str())
        .collect();
    // Prompts with a long context are sent several times and a run cannot be attributed to one of them, so only prompts
    // that were sent once count.
    let mut sent: BTreeMap<&str, usize> = BTreeMap::new();
    for prompt in &run.callers.prompts {
        *sent.entry(&prompt.prompt_digest).or_default() += 1;
    }
    let is_not_run = |state: &Option<String>| state.as_deref() == Some("not_run");
    let prompts = run.callers.prompts.iter().filter(|prompt| {
        let digest = prompt.prompt_digest.as_str();
        is_not_run(&prompt.outcome.run_state) && sent[digest] == 1 && ran.contains(digest)
    });
    let runs = run.deployment.upstreams.plain_runs();
    let sends = sends_by_request(run);
    let plain = sends.iter().filter(|(request, sends)| {
        sends.iter().all(|send| is_not_run(&send.run_state)) && runs.contains_key(*request)
    });
    prompts.count() + plain.count()
}

/// Non-idempotent requests that ran more than once.
fn repeated_runs(run: &RunResult) -> usize {
    let runs = run.deployment.upstreams.plain_runs();
    runs.iter().filter(|((key, _), count)| !key.is_empty() && **count > 1).count()
}

/// Streams through the stopped node that started and did not reach their end.
fn interrupted(run: &RunResult, node: &str) -> usize {
    let prompts = run.callers.prompts.iter().filter(|prompt| prompt.node == node);
    prompts.filter(|prompt| prompt.outcome.status == 200 && !prompt.outcome.is_complete).count()
}

/// Groups the sends of non-idempotent requests by idempotency key and body.
fn sends_by_request(run: &RunResult) -> BTreeMap<(String, String), Vec<&PlainOutcome>> {
    let mut sends: BTreeMap<(String, String), Vec<&PlainOutcome>> = BTreeMap::new();
    for send in &run.callers.non_idempotent {
        sends.entry((send.key.clone(), send.body.clone())).or_default().push(send);
    }
    sends
}
