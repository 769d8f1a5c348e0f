//! Acknowledged rule changes and claims while voters are killed together and data folders are lost or damaged.

use std::{fs, path::Path, time::Duration};

use daisysill_testkit::deployment::{Damage, Deployment};

use crate::support::{
    CUE_RULES, check_runs, fire_cue, leader, publish, publish_cue_rules, rules_versions, start,
    wait_until_in_force,
};

/// Time in which a restarted majority elects a leader and every node has its rules.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Rule changes and requests acknowledged so far.
#[derive(Debug, Default)]
struct Acknowledged {
    /// The last rules version.
    version: u64,
    /// Key and response of each request.
    requests: Vec<(String, String)>,
}

impl Acknowledged {
    /// Publishes changes through one node, fires cues through another, and records what is acknowledged.
    async fn add(&mut self, deployment: &Deployment, node: &str, other: &str, count: u64) {
        for _ in 0..count {
            let (number, base) = (self.requests.len(), self.version);
            let text = format!("{CUE_RULES}keep_s = {}\n", 10_000 + number);
            let response = publish(deployment, node, &format!("change-{number}"), base, &text).await;
            assert_eq!(response.status, 200, "{response:?}");
            self.version = response.body["version"].as_u64().unwrap();
            let key = format!("cue {number}");
            let response = fire_cue(deployment, other, &key, &key).await;
            assert_eq!(response.status, 200, "{response:?}");
            self.requests.push((key, response.text));
        }
    }

    /// Fails if the last change is not in force, or a node doesn't have the response of an acknowledged request.
    async fn check(&self, deployment: &Deployment, node: &str) {
        wait_until_in_force(deployment, self.version, RECOVERY_TIMEOUT).await;
        deployment.wait_until_live().await;
        for (key, expected) in &self.requests {
            let response = fire_cue(deployment, node, key, key).await;
            assert_eq!((response.status, &response.text), (200, expected), "{key}: {response:?}");
        }
        check_runs(deployment, &[]);
    }
}

/// Guards against changes, claims and responses that were acknowledged before a majority had them on disk.
#[actix_rt::test]
async fn nothing_acknowledged_is_lost_when_all_voters_are_killed_at_once() {
    let mut deployment = start(5, 3).await;
    let names = deployment.node_names();
    let mut acknowledged =
        Acknowledged { version: publish_cue_rules(&deployment).await, requests: Vec::new() };
    for _ in 0..3 {
        acknowledged.add(&deployment, &names[3], &names[4], 10).await;
        for voter in &names[..3] {
            deployment.node(voter).signal("KILL");
        }
        for voter in &names[..3] {
            deployment.restart(voter);
        }
        let reported = rules_versions(&deployment).await;
        assert!(reported.iter().all(|(_, v)| [0, acknowledged.version].contains(v)), "{reported:?}");
        acknowledged.check(&deployment, &names[3]).await;
    }
}

/// Guards against a voter that votes under its old name with an empty disk: when a second voter fails right after,
/// a majority without acknowledged entries could form. Of five voters the others go on; of three they must wait.
#[actix_rt::test]
async fn a_second_voter_is_lost_right_after_a_repair() {
    for voters in [5, 3] {
        let mut deployment = start(5, voters).await;
        let names = deployment.node_names();
        let mut acknowledged =
            Acknowledged { version: publish_cue_rules(&deployment).await, requests: Vec::new() };
        acknowledged.add(&deployment, &names[1], &names[2], 10).await;
        deployment.restart_empty(&names[0]);
        wait_until_in_force(&deployment, acknowledged.version, RECOVERY_TIMEOUT).await;
        deployment.kill(&names[1]);
        if voters == 5 {
            actix_rt::time::sleep(Duration::from_secs(2)).await;
            acknowledged.add(&deployment, &names[2], &names[3], 5).await;
        } else {
            actix_rt::time::sleep(Duration::from_secs(2)).await;
            for node in [&names[0], &names[2], &names[4]] {
                let response = publish(&deployment, node, "alone", acknowledged.version, CUE_RULES).await;
                assert_eq!(
                    response.status, 503,
                    "two of three voters, one with an empty disk, committed a change: {response:?}"
                );
            }
        }
        deployment.start_node(&names[1]);
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let reported = rules_versions(&deployment).await;
        assert!(reported.iter().all(|(_, version)| *version >= acknowledged.version), "{reported:?}");
        if voters == 5 {
            acknowledged.check(&deployment, &names[4]).await;
        }
    }
}

/// Guards against damaged files that are read as data or not reported, and against damage that loses acknowledged
/// changes or requests.
#[actix_rt::test]
async fn damage_is_reported_with_the_file_and_the_remedy() {
    let mut deployment = start(4, 3).await;
    let names = deployment.node_names();
    let mut acknowledged =
        Acknowledged { version: publish_cue_rules(&deployment).await, requests: Vec::new() };
    acknowledged.add(&deployment, &names[3], &names[3], 20).await;
    let leader = leader(&deployment).await;
    let voter = names[..3].iter().find(|name| **name != leader).unwrap();
    let folder = deployment.data_dir(voter);
    let log = find_file(&folder, "log-");
    let middle = usize::try_from(fs::metadata(folder.join(&log)).unwrap().len() / 2).unwrap();
    for (file, damage) in [
        (log.as_str(), Damage::FlipBit(middle)),
        ("hard-state", Damage::FlipBit(8)),
        ("hard-state", Damage::Truncate(5)),
        ("hard-state", Damage::Delete),
    ] {
        deployment.kill(voter);
        let original = fs::read(folder.join(file)).unwrap();
        deployment.damage(voter, file, damage);
        let (code, stderr) = deployment.environment.expect_start_failure(&deployment.settings(voter));
        assert_eq!(code, Some(1), "{file} {damage:?}: {stderr}");
        assert!(stderr.contains(file) && stderr.contains("empty folder"), "{file} {damage:?}: {stderr}");
        acknowledged.add(&deployment, &names[3], &names[3], 2).await;
        fs::write(folder.join(file), original).unwrap();
        deployment.start_node(voter);
        acknowledged.check(&deployment, voter).await;
    }
    // An interrupted write leaves a truncated tail: the voter starts, but must fetch what it had acknowledged.
    deployment.kill(voter);
    deployment.damage(voter, &log, Damage::Truncate(middle as u64));
    deployment.start_node(voter);
    acknowledged.check(&deployment, voter).await;
    // The remedy that the error names: an empty folder.
    deployment.restart_empty(voter);
    acknowledged.check(&deployment, voter).await;
}

fn find_file(folder: &Path, prefix: &str) -> String {
    let names = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().file_name().into_string().unwrap());
    names.into_iter().find(|name| name.starts_with(prefix)).unwrap()
}
