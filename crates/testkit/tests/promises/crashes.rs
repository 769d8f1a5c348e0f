//! A prompt that crashes every engine that runs it.

use std::time::{Duration, Instant};

use crate::support::{ask_as, check_answer, config, start_with};

/// Time from the second crash to the block on all nodes, and the engines that one prompt may take down.
const BLOCKED: Duration = Duration::from_secs(2);
const MAX_LOST: u64 = 3;
const BLOCKED_CODE: u32 = 1_307;

/// Guards against a prompt that goes on to crash engines while its caller sends it again through every node.
#[actix_rt::test]
async fn a_resent_crashing_prompt_is_blocked_on_all_nodes() {
    crash(0).await;
}

/// Guards against a block of innocent prompts that ran beside a crashing one and were tried again beside it.
#[actix_rt::test]
async fn innocent_prompts_beside_a_crashing_one_are_served() {
    crash(28).await;
}

async fn crash(innocent: usize) {
    let mut config = config(7, 3, 8);
    "poison".clone_into(&mut config.engine.crash_marker);
    config.engine.token_ms = 10;
    // A link would accept a connection to an engine that is down, and reset it.
    config.upstream_proxies = false;
    let deployment = start_with(config).await;
    let names = deployment.node_names();
    let crashes =
        || deployment.upstreams.engines.values().map(|engine| engine.records().crashes).sum::<u64>();
    let innocent = names.iter().cycle().take(innocent).enumerate().map(|(number, node)| {
        let deployment = &deployment;
        async move {
            let text = format!("innocent {number}");
            (ask_as(deployment, node, "opera-2", &text).await, text)
        }
    });
    let poison = async {
        let began = Instant::now();
        let mut second_crash = None;
        for node in names.iter().cycle() {
            ask_as(&deployment, node, "opera-1", "poison").await;
            if crashes() >= 2 {
                second_crash.get_or_insert_with(Instant::now);
            }
            if second_crash.is_some_and(|at| at.elapsed() > BLOCKED) {
                break;
            }
            assert!(began.elapsed() < Duration::from_secs(20), "no second crash");
        }
        let lost = crashes();
        for node in &names {
            let outcome = ask_as(&deployment, node, "opera-1", "poison").await;
            assert_eq!(outcome.result_code, Some(BLOCKED_CODE), "{node}: {outcome:?}");
        }
        lost
    };
    let (answers, lost) = futures::future::join(futures::future::join_all(innocent), poison).await;
    assert_eq!(lost, crashes());
    assert!(lost <= MAX_LOST, "{lost} engines were lost");
    // The engines come back after half a second; an innocent caller whose stream was lost asks again.
    for (_, text) in &answers {
        check_answer(&ask_as(&deployment, &names[0], "opera-2", text).await, text, &[1]);
    }
}
