//! Customers with equal prompts, and stores that serve blocks which must not be used (P1 to P4).

use std::{
    fmt::Write as _,
    time::{Duration, Instant},
};

use daisysill_testkit::{deployment::Deployment, engine::Engine};

use crate::support::{
    check_response, config, leader, publish_first, send_prompt_as, set_target_version, start_with,
};

const RULES: &str = "[service]\nname = lyric-llm\n[rest]\naccelerator_s = 1\n[costs]\nrecompute_weight_us = 1000\n\
     [weights]\nmax_loading = 3\nfloor_percent = 20\n";
const ROUNDS: usize = 30;
/// Time in which nodes learn of an eviction; they poll engines several times a second.
const EVICTION_PROPAGATION: Duration = Duration::from_millis(500);

/// Guards against using KV blocks of another customer or weight version, or unsealed, freed or damaged ones, and
/// against incomplete responses, while lenient stores slow down and crash and weights are swapped.
#[actix_rt::test]
async fn only_own_and_sealed_blocks_are_used() {
    let mut config = config(3, 3, 4);
    config.store.lenient = true;
    config.store.memory_bytes = 2_000_000;
    config.store.disk_bytes = 2_000_000;
    let deployment = start_with(config).await;
    publish_first(&deployment, RULES).await;
    let node = leader(&deployment).await;
    let names = deployment.node_names();
    let stores: Vec<_> = deployment.upstreams.stores.values().collect();
    let started = Instant::now();
    for round in 0..ROUNDS {
        match round {
            8 => stores[0].damage_blocks(),
            10 => set_target_version(&deployment, &node, 0, 2).await,
            16 => stores[1].set_link_bytes_per_s(200_000),
            20 => stores[0].kill(),
            24 => stores[0].restart(),
            26 => stores[1].kill(),
            _ => {}
        }
        if round % 2 == 1 {
            for engine in deployment.upstreams.engines.values() {
                engine.evict_all();
            }
            // A node that does not know of the eviction yet counts the prefix as cached and restores nothing.
            actix_rt::time::sleep(EVICTION_PROPAGATION).await;
        }
        let prompts = (0..6).map(|number| {
            // Both customers send the same three texts at the same time.
            let text = format!("{}{}", "la".repeat(8_100), number / 2);
            let (deployment, node) = (&deployment, &names[(round + number) % names.len()]);
            let customer = ["opera-1", "opera-2"][number % 2];
            async move { (send_prompt_as(deployment, node, customer, &text).await, text) }
        });
        for (outcome, text) in futures::future::join_all(prompts).await {
            check_response(&outcome, &text, &[1, 2]);
        }
        actix_rt::time::sleep(Duration::from_millis(600)).await;
    }
    let records: Vec<_> = deployment.upstreams.engines.values().map(Engine::records).collect();
    for records in &records {
        assert_eq!((records.foreign_salts, records.foreign_versions), (0, 0));
        let bad = records.block_reads.iter().filter(|read| read.used && read.store_state != "sealed");
        assert_eq!(bad.count(), 0);
    }
    let restored = records.iter().flat_map(|records| &records.block_reads).filter(|read| read.used).count();
    let elapsed = started.elapsed();
    assert!(restored > 0, "nothing was restored in {elapsed:?}: {}", restore_trace(&deployment).await);
}

/// Returns metrics, decisions and counts of exports and restores, for the failure message.
async fn restore_trace(deployment: &Deployment) -> String {
    let mut trace = String::new();
    for name in deployment.node_names() {
        let url = format!("http://{}/metrics", deployment.node(&name).addresses.admin);
        let mut response = awc::Client::default().get(url).send().await.unwrap();
        let text = String::from_utf8(response.body().await.unwrap().to_vec()).unwrap();
        let lines = text.lines().filter(|line| {
            let is_relevant = ["export", "restore", "_tokens_total"].iter().any(|word| line.contains(word));
            is_relevant && !line.starts_with('#')
        });
        write!(trace, "\n{name}: {}", lines.collect::<Vec<_>>().join(", ")).unwrap();
        let explain = deployment.environment.cli_command(deployment.node(&name), &["explain"]).output();
        let explain = explain.unwrap().stdout;
        let decisions = String::from_utf8(explain).unwrap();
        let restores = decisions.lines().filter(|line| line.contains("restored")).take(6);
        write!(trace, "\n{}", restores.collect::<Vec<_>>().join("\n")).unwrap();
    }
    for (name, store) in &deployment.upstreams.stores {
        write!(trace, "\n{name}: {} sealed, {:?}", store.sealed_blocks(), store.counts()).unwrap();
    }
    for (name, engine) in &deployment.upstreams.engines {
        write!(trace, "\n{name}: {} reads", engine.records().block_reads.len()).unwrap();
    }
    trace
}
