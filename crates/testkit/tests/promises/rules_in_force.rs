//! Published rules (P9): conflicts, resends, versions after restarts and partitions, time until in force.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use daisysill_testkit::deployment::Deployment;

use crate::support::{
    CUE_RULES, IN_FORCE_TIMEOUT, Partition, leader, publish, publish_cue_rules, rules_versions,
    set_partition, start, wait_until_in_force,
};

/// Time in which an isolated node catches up: at most 0.8 s until it reconnects, then the time of P9.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(4);

fn rules_text(retention_s: u64) -> String {
    format!("{CUE_RULES}keep_s = {retention_s}\n")
}

/// Publishes a number of changes through one node and returns the last version.
async fn publish_many(deployment: &Deployment, node: &str, first: u64, count: u64, mut base: u64) -> u64 {
    for number in first..first + count {
        let response =
            publish(deployment, node, &format!("many-{number}"), base, &rules_text(10_000 + number)).await;
        assert_eq!(response.status, 200, "{response:?}");
        base = response.body["version"].as_u64().unwrap();
    }
    base
}

/// Guards against two changes on one base version that are both accepted or both refused, a conflict without the
/// difference, a resend that counts as a second change, and rules not in force on seven nodes within two seconds.
#[actix_rt::test]
async fn of_two_changes_on_one_base_one_wins_everywhere() {
    let deployment = start(7, 3).await;
    let mut base = publish_cue_rules(&deployment).await;
    let names = deployment.node_names();
    for round in 0..10 {
        let (one, other) = (&names[round % 7], &names[(round + 3) % 7]);
        let changes = [(one, 20_000 + round as u64), (other, 30_000 + round as u64)];
        let publishes = changes.map(|(node, number)| {
            let (deployment, change) = (&deployment, format!("change-{number}"));
            async move { publish(deployment, node, &change, base, &rules_text(number)).await }
        });
        let responses = futures::future::join_all(publishes).await;
        let won = usize::from(responses[0].status != 200);
        let lost = 1 - won;
        assert_eq!(
            (responses[won].status, responses[lost].status, responses[lost].code),
            (200, 409, 1502),
            "{responses:?}"
        );
        let version = responses[won].body["version"].as_u64().unwrap();
        assert_eq!(responses[lost].body["current_version"], version);
        let difference = responses[lost].body["difference"].to_string();
        let (mine, theirs) = (changes[lost].1.to_string(), changes[won].1.to_string());
        assert!(difference.contains(&mine) && difference.contains(&theirs), "{difference}");
        // The winner resends through another node, as after a lost response.
        let (node, number) = (&names[(round + 5) % 7], changes[won].1);
        let resent = publish(&deployment, node, &format!("change-{number}"), base, &rules_text(number)).await;
        assert_eq!((resent.status, &resent.body), (200, &responses[won].body), "{resent:?}");
        wait_until_in_force(&deployment, version, IN_FORCE_TIMEOUT).await;
        base = version;
    }
}

/// Guards against a change that counts twice, or not at all, when its response was lost and it is resent.
#[actix_rt::test]
async fn a_change_whose_response_was_lost_counts_once() {
    let deployment = start(4, 3).await;
    let base = publish_cue_rules(&deployment).await;
    let (node, others) = ("sathorn-2", ["sathorn-1", "bangna-1", "lat-phrao-1"]);
    set_partition(&deployment, node, Partition::Inbound, true);
    let lost = publish(&deployment, node, "lost", base, &rules_text(5_000)).await;
    assert_ne!(lost.status, 200, "the response was not lost: {lost:?}");
    assert_ne!(lost.run_state, "not_run", "{lost:?}");
    let mut versions = Vec::new();
    for other in others {
        let response = publish(&deployment, other, "lost", base, &rules_text(5_000)).await;
        assert_eq!(response.status, 200, "{response:?}");
        versions.push(response.body["version"].as_u64().unwrap());
    }
    assert!(versions[0] > base && versions.iter().all(|version| *version == versions[0]), "{versions:?}");
    set_partition(&deployment, node, Partition::Inbound, false);
    wait_until_in_force(&deployment, versions[0], CATCH_UP_TIMEOUT).await;
}

/// Guards against a node that reports an older version after a restart or partition, or does not catch up.
#[actix_rt::test]
async fn no_node_reverts_after_hundreds_of_changes() {
    let mut deployment = start(7, 3).await;
    let mut base = publish_cue_rules(&deployment).await;
    let leader = leader(&deployment).await;
    let names = deployment.node_names();
    base = publish_many(&deployment, &leader, 0, 300, base).await;
    wait_until_in_force(&deployment, base, IN_FORCE_TIMEOUT).await;
    // A follower and a voter, then another voter right after it has caught up.
    let voters: Vec<&String> = names.iter().take(3).filter(|name| **name != leader).collect();
    for name in [&names[6], voters[0], voters[1], &leader] {
        deployment.restart(name);
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        loop {
            let status = deployment.status(name).await.unwrap();
            // A node that does not know the rules yet is not ready, and reports version 0.
            let reports_none = status.rules_version == 0 && status.life_cycle != "ready";
            assert!(reports_none || status.rules_version == base, "{name} reverted: {status:?}");
            if status.rules_version == base && status.life_cycle == "ready" {
                break;
            }
            assert!(Instant::now() < deadline, "{name} does not catch up: {status:?}");
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }
    // An isolated node keeps its version while the others go on.
    let (isolated, before) = (&names[4], base);
    set_partition(&deployment, isolated, Partition::Both, true);
    let node = self::leader(&deployment).await;
    base = publish_many(&deployment, &node, 300, 50, base).await;
    let deadline = Instant::now() + Duration::from_secs(7);
    while Instant::now() < deadline {
        assert_eq!(
            rules_versions(&deployment).await.into_iter().collect::<BTreeMap<_, _>>()[isolated],
            before
        );
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    set_partition(&deployment, isolated, Partition::Both, false);
    wait_until_in_force(&deployment, base, CATCH_UP_TIMEOUT).await;
}
