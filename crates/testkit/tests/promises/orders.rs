//! Weight rollouts under a lease whose holder is suspended or partitioned from the other nodes (P3, fencing of orders).

use std::time::{Duration, Instant};

use daisysill_testkit::{deployment::Deployment, engine::EngineRecords};

use crate::support::{
    Partition, check_response, config, leader, publish_first, send_prompt_as, set_partition,
    set_target_version, start_with,
};

const MAX_LOADING: u64 = 3;
const RULES: &str = "[service]\nname = lyric-llm\n[weights]\nmax_loading = 3\nfloor_percent = 20\n";
/// Covers the lease, the order timeout of its former holder, and the rollout itself.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(25);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Suspend,
    Partition,
}

/// Guards against orders of a holder that lost its lease, too many loads at once, responses that mix weight versions
/// or break off during a swap, and blocks of another weight version.
#[actix_rt::test]
async fn no_engine_acts_on_an_older_order() {
    let cases = [
        (Fault::Suspend, true),
        (Fault::Suspend, false),
        (Fault::Partition, true),
        (Fault::Partition, false),
    ];
    futures::future::join_all(cases.map(|(fault, checks_fencing)| roll_out(fault, checks_fencing))).await;
}

async fn roll_out(fault: Fault, checks_fencing: bool) {
    let mut config = config(4, 3, 8);
    config.engine.checks_fencing = checks_fencing;
    config.weight_load_ms = 500;
    let deployment = start_with(config).await;
    publish_first(&deployment, RULES).await;
    let first_leader = leader(&deployment).await;
    set_target_version(&deployment, &first_leader, 0, 2).await;
    wait_for_records(&deployment, |records| !records.orders.is_empty()).await;
    let holder = lease_holder(&deployment).await;
    match fault {
        Fault::Suspend => deployment.suspend(&holder),
        Fault::Partition => set_partition(&deployment, &holder, Partition::Both, true),
    }
    let others: Vec<String> = deployment.node_names().into_iter().filter(|name| *name != holder).collect();
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    set_target_version(&deployment, &others[0], 2, 3).await;
    let orders = async {
        wait_for_records(&deployment, |records| records.orders.iter().any(|order| order.weight_version == 3))
            .await;
        // In this time the former holder, if it did not stop, would find engines with a version other than its target.
        actix_rt::time::sleep(Duration::from_millis(1_500)).await;
        match fault {
            Fault::Suspend => deployment.resume(&holder),
            Fault::Partition => set_partition(&deployment, &holder, Partition::Both, false),
        }
        let deadline = Instant::now() + ROLLOUT_TIMEOUT;
        while deployment.upstreams.engines.values().any(|engine| engine.weight_version() != 3) {
            assert!(Instant::now() < deadline, "the rollout does not end");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    };
    let mut orders = std::pin::pin!(orders);
    let mut number = 0;
    // Long prompts that are sent repeatedly, so that caches and stores hold blocks of every weight version.
    while futures::poll!(&mut orders).is_pending() {
        let text = format!("{} {}", "la".repeat(8_100), number % 4);
        let outcome = send_prompt_as(&deployment, &others[number % others.len()], "opera-1", &text).await;
        check_response(&outcome, &text, &[1, 2, 3]);
        number += 1;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    for (id, engine) in &deployment.upstreams.engines {
        let records = engine.records();
        let outdated = records.orders.iter().filter(|order| order.fencing < order.highest_fencing_before);
        let accepted: Vec<_> = outdated.filter(|order| order.accepted).collect();
        assert!(accepted.is_empty(), "{fault:?} {checks_fencing}: {id} accepted {accepted:?}");
        assert_eq!((engine.weight_version(), records.foreign_versions), (3, 0), "{id}");
    }
    let max_loads = deployment.upstreams.weights.max_concurrent_loads();
    assert!(max_loads <= MAX_LOADING, "{fault:?}: {max_loads} engines loaded at once");
}

/// Waits until the records of any engine meet a condition.
async fn wait_for_records(deployment: &Deployment, condition: impl Fn(&EngineRecords) -> bool) {
    let deadline = Instant::now() + ROLLOUT_TIMEOUT;
    while !deployment.upstreams.engines.values().any(|engine| condition(&engine.records())) {
        assert!(Instant::now() < deadline, "no engine met the condition in time");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the first node whose metrics show that it has sent orders.
async fn lease_holder(deployment: &Deployment) -> String {
    for name in deployment.node_names() {
        let url = format!("http://{}/metrics", deployment.node(&name).addresses.admin);
        let body = awc::Client::default().get(url).send().await.unwrap().body().limit(1 << 24).await.unwrap();
        let text = String::from_utf8(body.to_vec()).unwrap();
        let orders =
            text.lines().find(|line| line.starts_with("daisysill_orders")).filter(|l| !l.ends_with(" 0"));
        if orders.is_some() {
            return name;
        }
    }
    panic!("no node has sent orders");
}
