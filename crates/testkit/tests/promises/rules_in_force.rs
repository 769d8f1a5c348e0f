//! Published rules (P9): conflicts, resends, versions after restarts and cuts, time until in force.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use daisysill_testkit::deployment::Deployment;

use crate::support::{
    CUE_RULES, Cut, IN_FORCE, leader, publish, publish_cue_rules, set_cut, shown, start, wait_in_force,
};

/// Time in which a node that was cut off is back: a connection is tried again after 0.8 s at most, then P9.
const CAUGHT_UP: Duration = Duration::from_secs(4);

fn text(retention_s: u64) -> String {
    format!("{CUE_RULES}keep_s = {retention_s}\n")
}

/// Publishes a number of changes through one node and returns the last version.
async fn publish_many(deployment: &Deployment, node: &str, first: u64, count: u64, mut base: u64) -> u64 {
    for number in first..first + count {
        let told = publish(deployment, node, &format!("many-{number}"), base, &text(10_000 + number)).await;
        assert_eq!(told.status, 200, "{told:?}");
        base = told.body["version"].as_u64().unwrap();
    }
    base
}

/// Guards against two changes on one base that both win or both lose, a conflict that hides the difference, a
/// resend that counts as a second change, and rules that are not in force on seven nodes within two seconds.
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
            async move { publish(deployment, node, &change, base, &text(number)).await }
        });
        let told = futures::future::join_all(publishes).await;
        let won = usize::from(told[0].status != 200);
        let lost = 1 - won;
        assert_eq!((told[won].status, told[lost].status, told[lost].code), (200, 409, 1502), "{told:?}");
        let version = told[won].body["version"].as_u64().unwrap();
        assert_eq!(told[lost].body["current_version"], version);
        let difference = told[lost].body["difference"].to_string();
        let (mine, theirs) = (changes[lost].1.to_string(), changes[won].1.to_string());
        assert!(difference.contains(&mine) && difference.contains(&theirs), "{difference}");
        // The winner resends through another node, as after a lost answer.
        let (node, number) = (&names[(round + 5) % 7], changes[won].1);
        let again = publish(&deployment, node, &format!("change-{number}"), base, &text(number)).await;
        assert_eq!((again.status, &again.body), (200, &told[won].body), "{again:?}");
        wait_in_force(&deployment, version, IN_FORCE).await;
        base = version;
    }
}

/// Guards against a change that counts twice, or not at all, when its answer was lost and it is sent again.
#[actix_rt::test]
async fn a_change_whose_answer_was_lost_is_one_change() {
    let deployment = start(4, 3).await;
    let base = publish_cue_rules(&deployment).await;
    let (node, others) = ("sathorn-2", ["sathorn-1", "bangna-1", "lat-phrao-1"]);
    set_cut(&deployment, node, Cut::Inbound, true);
    let lost = publish(&deployment, node, "lost", base, &text(5_000)).await;
    assert_ne!(lost.status, 200, "the answer was not lost: {lost:?}");
    assert_ne!(lost.run_state, "not_run", "{lost:?}");
    let mut versions = Vec::new();
    for other in others {
        let told = publish(&deployment, other, "lost", base, &text(5_000)).await;
        assert_eq!(told.status, 200, "{told:?}");
        versions.push(told.body["version"].as_u64().unwrap());
    }
    assert!(versions[0] > base && versions.iter().all(|version| *version == versions[0]), "{versions:?}");
    set_cut(&deployment, node, Cut::Inbound, false);
    wait_in_force(&deployment, versions[0], CAUGHT_UP).await;
}

/// Guards against an older version after a restart or a cut, and against a node that does not catch up.
#[actix_rt::test]
async fn no_node_goes_back_after_hundreds_of_changes() {
    let mut deployment = start(7, 3).await;
    let mut base = publish_cue_rules(&deployment).await;
    let leader = leader(&deployment).await;
    let names = deployment.node_names();
    base = publish_many(&deployment, &leader, 0, 300, base).await;
    wait_in_force(&deployment, base, IN_FORCE).await;
    // A follower and a voter, then another voter right after it has caught up.
    let voters: Vec<&String> = names.iter().take(3).filter(|name| **name != leader).collect();
    for name in [&names[6], voters[0], voters[1], &leader] {
        deployment.restart(name);
        let end = Instant::now() + CAUGHT_UP;
        loop {
            let status = deployment.status(name).await.unwrap();
            // A node that does not know the rules yet is not ready, and shows none.
            let shows_none = status.rules_version == 0 && status.life_cycle != "ready";
            assert!(shows_none || status.rules_version == base, "{name} went back: {status:?}");
            if status.rules_version == base && status.life_cycle == "ready" {
                break;
            }
            assert!(Instant::now() < end, "{name} does not catch up: {status:?}");
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }
    // A node that is cut off keeps its version while the others go on.
    let (cut, before) = (&names[4], base);
    set_cut(&deployment, cut, Cut::Both, true);
    let node = self::leader(&deployment).await;
    base = publish_many(&deployment, &node, 300, 50, base).await;
    let end = Instant::now() + Duration::from_secs(7);
    while Instant::now() < end {
        assert_eq!(shown(&deployment).await.into_iter().collect::<BTreeMap<_, _>>()[cut], before);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    set_cut(&deployment, cut, Cut::Both, false);
    wait_in_force(&deployment, base, CAUGHT_UP).await;
}
