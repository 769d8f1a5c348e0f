//! A prompt that crashes each engine that runs it.

use std::time::{Duration, Instant};

use crate::support::{check_response, config, send_prompt_as, start_with};

/// Time from the second crash until all nodes block the prompt.
const BLOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// Engines that one prompt may crash.
const MAX_CRASHES: u64 = 3;
const BLOCKED_CODE: u32 = 1_307;

/// Guards against a prompt that keeps crashing engines while its caller resends it through every node.
#[actix_rt::test]
async fn a_resent_crashing_prompt_is_blocked_on_all_nodes() {
    crash_engines(0).await;
}

/// Guards against blocking unrelated prompts that ran beside a crashing one and were retried beside it.
#[actix_rt::test]
async fn unrelated_prompts_beside_a_crashing_one_are_served() {
    crash_engines(28).await;
}

/// Resends a crashing prompt until it is blocked, beside `unrelated` prompts of another customer.
async fn crash_engines(unrelated: usize) {
    let mut config = config(7, 3, 8);
    "poison".clone_into(&mut config.engine.crash_marker);
    config.engine.token_ms = 10;
    // A proxy would accept a connection to an engine that is down, and reset it.
    config.upstream_proxies = false;
    let deployment = start_with(config).await;
    let names = deployment.node_names();
    let count_crashes =
        || deployment.upstreams.engines.values().map(|engine| engine.records().crashes).sum::<u64>();
    let unrelated = names.iter().cycle().take(unrelated).enumerate().map(|(number, node)| {
        let deployment = &deployment;
        async move {
            let text = format!("innocent {number}");
            (send_prompt_as(deployment, node, "opera-2", &text).await, text)
        }
    });
    let crashing = async {
        let started = Instant::now();
        let mut second_crash = None;
        for node in names.iter().cycle() {
            send_prompt_as(&deployment, node, "opera-1", "poison").await;
            if count_crashes() >= 2 {
                second_crash.get_or_insert_with(Instant::now);
            }
            if second_crash.is_some_and(|at| at.elapsed() > BLOCK_TIMEOUT) {
                break;
            }
            assert!(started.elapsed() < Duration::from_secs(20), "no second crash");
        }
        let total = count_crashes();
        for node in &names {
            let outcome = send_prompt_as(&deployment, node, "opera-1", "poison").await;
            assert_eq!(outcome.result_code, Some(BLOCKED_CODE), "{node}: {outcome:?}");
        }
        total
    };
    let (outcomes, total) = futures::future::join(futures::future::join_all(unrelated), crashing).await;
    assert_eq!(total, count_crashes());
    assert!(total <= MAX_CRASHES, "{total} engines crashed");
    // The engines come back after half a second; a caller whose stream was lost sends its prompt again.
    for (_, text) in &outcomes {
        check_response(&send_prompt_as(&deployment, &names[0], "opera-2", text).await, text, &[1]);
    }
}

/// Guards against prompts that crash one engine after the other because of the same prefix, though no two of them are
/// alike, and against sound prompts of the same customer that are refused with them.
#[actix_rt::test]
async fn prompts_that_share_a_crashing_prefix_are_blocked() {
    const ROUNDS: usize = 14;
    const MAX_CRASHES: u64 = 8;
    let mut config = config(6, 3, 8);
    "poison".clone_into(&mut config.engine.crash_marker);
    config.upstream_proxies = false;
    // The prefix is longer than a piece, so that the prompts share one.
    let prefix = "poison ".repeat(2_000);
    let deployment = start_with(config).await;
    let names = deployment.node_names();
    for (round, node) in (0..ROUNDS).zip(names.iter().cycle()) {
        send_prompt_as(&deployment, node, "opera-1", &format!("{prefix}{round}")).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    let crashes: u64 = deployment.upstreams.engines.values().map(|engine| engine.records().crashes).sum();
    assert!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
    for node in &names {
        check_response(&send_prompt_as(&deployment, node, "opera-1", "sound").await, "sound", &[1]);
    }
}
