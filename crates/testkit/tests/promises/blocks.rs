//! Customers with equal text, and blocks from stores that hand out what they should not (P1 to P4).

use std::{
    fmt::Write as _,
    time::{Duration, Instant},
};

use daisysill_testkit::{deployment::Deployment, engine::Engine};

use crate::support::{ask_as, check_answer, config, leader, publish_first, set_weights, start_with};

const RULES: &str = "[service]\nname = lyric-llm\n[rest]\naccelerator_s = 1\n[costs]\nrecompute_weight_us = 1000\n\
     [weights]\nmax_loading = 3\nfloor_percent = 20\n";
const ROUNDS: usize = 30;
/// Time in which nodes hear of an eviction; they ask engines several times a second.
const EVICTION_HEARD: Duration = Duration::from_millis(500);

/// Guards against context of another customer or weight version, blocks that are used unsealed, freed or damaged,
/// and answers that are not whole, while stores hand out anything, slow down and die and weights are swapped.
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
    let began = Instant::now();
    for round in 0..ROUNDS {
        match round {
            8 => stores[0].damage_blocks(),
            10 => set_weights(&deployment, &node, 0, 2).await,
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
            // A node that has not heard of the eviction takes the context for cached and restores nothing.
            actix_rt::time::sleep(EVICTION_HEARD).await;
        }
        let asked = (0..6).map(|number| {
            // Both customers send the same three texts at the same time.
            let text = format!("{}{}", "la".repeat(8_100), number / 2);
            let (deployment, node) = (&deployment, &names[(round + number) % names.len()]);
            let customer = ["opera-1", "opera-2"][number % 2];
            async move { (ask_as(deployment, node, customer, &text).await, text) }
        });
        for (outcome, text) in futures::future::join_all(asked).await {
            check_answer(&outcome, &text, &[1, 2]);
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
    let elapsed = began.elapsed();
    assert!(restored > 0, "nothing was restored in {elapsed:?}: {}", restore_trace(&deployment).await);
}

/// Returns what the nodes, the engines and the stores say of exports and restores.
async fn restore_trace(deployment: &Deployment) -> String {
    let mut trace = String::new();
    for name in deployment.node_names() {
        let url = format!("http://{}/metrics", deployment.node(&name).addresses.admin);
        let mut response = awc::Client::default().get(url).send().await.unwrap();
        let text = String::from_utf8(response.body().await.unwrap().to_vec()).unwrap();
        let lines = text.lines().filter(|line| {
            let is_about = ["export", "restore", "_tokens_total"].iter().any(|word| line.contains(word));
            is_about && !line.starts_with('#')
        });
        write!(trace, "\n{name}: {}", lines.collect::<Vec<_>>().join(", ")).unwrap();
        let explain = deployment.environment.cli_command(deployment.node(&name), &["explain"]).output();
        let explain = explain.unwrap().stdout;
        let decisions = String::from_utf8(explain).unwrap();
        let last = decisions.lines().filter(|line| line.contains("restored")).take(6);
        write!(trace, "\n{}", last.collect::<Vec<_>>().join("\n")).unwrap();
    }
    for (name, store) in &deployment.upstreams.stores {
        write!(trace, "\n{name}: {} sealed, {:?}", store.sealed_blocks(), store.counts()).unwrap();
    }
    for (name, engine) in &deployment.upstreams.engines {
        write!(trace, "\n{name}: {} reads", engine.records().block_reads.len()).unwrap();
    }
    trace
}
