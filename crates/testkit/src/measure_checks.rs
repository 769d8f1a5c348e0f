//! Counts violations of the promises P1 to P9 in the records of callers and upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde_json::{Value, json};

use crate::{engine::EngineRecords, measure_plain::PlainOutcome, measure_run::RunResult};

/// Time after which a leaving upstream gets no new work.
const LEAVING_NOTICE: Duration = Duration::from_secs(3);

/// Counts violations by promise; `null` stands for a promise that the run did not exercise.
pub fn violations(run: &RunResult) -> Value {
    let engines: BTreeMap<&String, EngineRecords> =
        run.deployment.upstreams.engines.iter().map(|(id, engine)| (id, engine.records())).collect();
    let all: Vec<&EngineRecords> = engines.values().collect();
    let reads = all.iter().flat_map(|records| &records.block_reads);
    let has_reads = reads.clone().count() > 0;
    let unsafe_reads = reads.filter(|read| read.store_state != "sealed").count();
    json!({
        "P1": has_reads.then_some(unsafe_reads),
        "P2": foreign_context(run, &all),
        "P3": all.iter().map(|records| records.foreign_versions).sum::<u64>(),
        "P4": wrong_answers(run),
        "P5": false_refusals(run, &all),
        "P6": repeated_calls(run),
        "P7": run.left.as_ref().map(|(id, at)| {
            engines[id].runs.iter().filter(|record| record.started_at > *at + LEAVING_NOTICE).count()
        }),
        "P8": run.stopped.as_ref().map(|(node, code)| interrupted(run, node) + usize::from(*code != Some(0))),
        "P9": run.without_rules.len(),
    })
}

/// Runs under another customer's salt, and pieces asked for that belong to another customer.
fn foreign_context(run: &RunResult, engines: &[&EngineRecords]) -> u64 {
    let prompts = run.callers.prompts.iter();
    let owners: BTreeMap<&str, &str> =
        prompts.map(|prompt| (prompt.prompt_digest.as_str(), prompt.customer.as_str())).collect();
    let is_foreign = |digest: &str, salt: &str| owners.get(digest).is_some_and(|owner| !salt.contains(owner));
    let runs = engines.iter().flat_map(|records| &records.runs);
    let runs = runs.filter(|record| is_foreign(&record.prompt_digest, &record.cache_salt)).count() as u64;
    runs + engines.iter().map(|records| records.foreign_salts).sum::<u64>()
}

/// Answers with a wrong text, and answers that are not whole although nobody said so.
fn wrong_answers(run: &RunResult) -> usize {
    let prompts = run.callers.prompts.iter().filter(|prompt| !prompt.is_right).count();
    let plain = run.callers.once.iter().chain(&run.callers.look_ups);
    prompts + plain.filter(|call| call.status == 200 && !call.is_right).count()
}

/// Refusals that say `not_run` although an upstream ran the call.
fn false_refusals(run: &RunResult, engines: &[&EngineRecords]) -> usize {
    let ran: BTreeSet<&str> = engines
        .iter()
        .flat_map(|records| &records.runs)
        .map(|record| record.prompt_digest.as_str())
        .collect();
    // A long context is asked for several times, so only prompts that were asked once tell anything.
    let mut asked: BTreeMap<&str, usize> = BTreeMap::new();
    for prompt in &run.callers.prompts {
        *asked.entry(&prompt.prompt_digest).or_default() += 1;
    }
    let says_not_run = |state: &Option<String>| state.as_deref() == Some("not_run");
    let prompts = run.callers.prompts.iter().filter(|prompt| {
        let digest = prompt.prompt_digest.as_str();
        says_not_run(&prompt.outcome.run_state) && asked[digest] == 1 && ran.contains(digest)
    });
    let runs = run.deployment.upstreams.plain_runs();
    let sends = sends_by_call(run);
    let calls = sends.iter().filter(|(call, sends)| {
        sends.iter().all(|send| says_not_run(&send.run_state)) && runs.contains_key(*call)
    });
    prompts.count() + calls.count()
}

/// Calls that may not be repeated and ran more than once.
fn repeated_calls(run: &RunResult) -> usize {
    let runs = run.deployment.upstreams.plain_runs();
    runs.iter().filter(|((key, _), count)| !key.is_empty() && **count > 1).count()
}

/// Streams through a stopped node that began and did not end.
fn interrupted(run: &RunResult, node: &str) -> usize {
    let prompts = run.callers.prompts.iter().filter(|prompt| prompt.node == node);
    prompts.filter(|prompt| prompt.outcome.status == 200 && !prompt.outcome.is_complete).count()
}

fn sends_by_call(run: &RunResult) -> BTreeMap<(String, String), Vec<&PlainOutcome>> {
    let mut sends: BTreeMap<(String, String), Vec<&PlainOutcome>> = BTreeMap::new();
    for send in &run.callers.once {
        sends.entry((send.key.clone(), send.body.clone())).or_default().push(send);
    }
    sends
}
