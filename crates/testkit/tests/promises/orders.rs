//! Weight rollouts under a lease while its holder is frozen or cut off from the other nodes (P3, orders).

use std::time::{Duration, Instant};

use daisysill_testkit::{deployment::Deployment, engine::EngineRecords};

use crate::support::{
    Cut, ask_as, check_answer, config, leader, publish_first, set_cut, set_weights, start_with,
};

const MAX_LOADING: u64 = 3;
const RULES: &str = "[service]\nname = lyric-llm\n[weights]\nmax_loading = 3\nfloor_percent = 20\n";
/// The lease, the longest order of its former holder, and the rollout itself.
const ROLLED_OUT: Duration = Duration::from_secs(25);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Freeze,
    Cut,
}

/// Guards against orders of a holder that lost its lease, too many loads at once, answers that mix weight versions
/// or break off during a swap, and blocks of another version.
#[actix_rt::test]
async fn no_engine_acts_on_an_older_order() {
    let cases = [(Fault::Freeze, true), (Fault::Freeze, false), (Fault::Cut, true), (Fault::Cut, false)];
    futures::future::join_all(cases.map(|(fault, checks)| roll_out(fault, checks))).await;
}

async fn roll_out(fault: Fault, checks_fencing: bool) {
    let mut config = config(4, 3, 8);
    config.engine.checks_fencing = checks_fencing;
    config.weight_load_ms = 500;
    let deployment = start_with(config).await;
    publish_first(&deployment, RULES).await;
    let first_leader = leader(&deployment).await;
    set_weights(&deployment, &first_leader, 0, 2).await;
    wait(&deployment, |records| !records.orders.is_empty()).await;
    let holder = holder(&deployment).await;
    match fault {
        Fault::Freeze => deployment.suspend(&holder),
        Fault::Cut => set_cut(&deployment, &holder, Cut::Both, true),
    }
    let others: Vec<String> = deployment.node_names().into_iter().filter(|name| *name != holder).collect();
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    set_weights(&deployment, &others[0], 2, 3).await;
    let orders = async {
        wait(&deployment, |records| records.orders.iter().any(|order| order.weight_version == 3)).await;
        // In this time a holder that does not stop by itself sees engines with a version other than its own.
        actix_rt::time::sleep(Duration::from_millis(1_500)).await;
        match fault {
            Fault::Freeze => deployment.resume(&holder),
            Fault::Cut => set_cut(&deployment, &holder, Cut::Both, false),
        }
        let end = Instant::now() + ROLLED_OUT;
        while deployment.upstreams.engines.values().any(|engine| engine.weight_version() != 3) {
            assert!(Instant::now() < end, "the rollout does not end");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    };
    let mut orders = std::pin::pin!(orders);
    let mut number = 0;
    // Callers with long prompts that come back, so that blocks of every version lie in caches and stores.
    while futures::poll!(&mut orders).is_pending() {
        let text = format!("{} {}", "la".repeat(8_100), number % 4);
        let outcome = ask_as(&deployment, &others[number % others.len()], "opera-1", &text).await;
        check_answer(&outcome, &text, &[1, 2, 3]);
        number += 1;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    for (id, engine) in &deployment.upstreams.engines {
        let records = engine.records();
        let late = records.orders.iter().filter(|order| order.fencing < order.highest_fencing_before);
        let acted: Vec<_> = late.filter(|order| order.accepted).collect();
        assert!(acted.is_empty(), "{fault:?} {checks_fencing}: {id} acted on {acted:?}");
        assert_eq!((engine.weight_version(), records.foreign_versions), (3, 0), "{id}");
    }
    let most = deployment.upstreams.weights.max_concurrent_loads();
    assert!(most <= MAX_LOADING, "{fault:?}: {most} engines loaded at once");
}

/// Waits until an engine's records fulfil a condition.
async fn wait(deployment: &Deployment, condition: impl Fn(&EngineRecords) -> bool) {
    let end = Instant::now() + ROLLED_OUT;
    while !deployment.upstreams.engines.values().any(|engine| condition(&engine.records())) {
        assert!(Instant::now() < end, "no order came");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the node that has given orders.
async fn holder(deployment: &Deployment) -> String {
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
    panic!("no node has given orders");
}
