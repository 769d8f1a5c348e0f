//! Acknowledged changes and claims while voters are killed together and data folders are lost or damaged.

use std::{fs, path::Path, time::Duration};

use daisysill_testkit::deployment::{Damage, Deployment};

use crate::support::{
    CUE_RULES, check_runs, fire, leader, publish, publish_cue_rules, shown, start, wait_in_force,
};

/// Time in which a majority that was restarted elects a leader and every node has its configuration.
const RECOVERED: Duration = Duration::from_secs(10);

/// What was acknowledged so far.
#[derive(Debug, Default)]
struct Acknowledged {
    version: u64,
    /// Key and answer of each call.
    calls: Vec<(String, String)>,
}

impl Acknowledged {
    /// Publishes changes and fires calls through two nodes, and notes what is acknowledged.
    async fn add(&mut self, deployment: &Deployment, node: &str, other: &str, count: u64) {
        for _ in 0..count {
            let (number, base) = (self.calls.len(), self.version);
            let text = format!("{CUE_RULES}keep_s = {}\n", 10_000 + number);
            let told = publish(deployment, node, &format!("change-{number}"), base, &text).await;
            assert_eq!(told.status, 200, "{told:?}");
            self.version = told.body["version"].as_u64().unwrap();
            let key = format!("cue {number}");
            let told = fire(deployment, other, &key, &key).await;
            assert_eq!(told.status, 200, "{told:?}");
            self.calls.push((key, told.text));
        }
    }

    /// Fails if an acknowledged change or call is lost on a node.
    async fn check(&self, deployment: &Deployment, node: &str) {
        wait_in_force(deployment, self.version, RECOVERED).await;
        deployment.wait_until_live().await;
        for (key, answer) in &self.calls {
            let told = fire(deployment, node, key, key).await;
            assert_eq!((told.status, &told.text), (200, answer), "{key}: {told:?}");
        }
        check_runs(deployment, &[]);
    }
}

/// Guards against changes, claims and answers that were acknowledged before they were on a majority of disks.
#[actix_rt::test]
async fn nothing_acknowledged_is_lost_when_all_voters_are_killed_at_once() {
    let mut deployment = start(5, 3).await;
    let names = deployment.node_names();
    let mut acknowledged = Acknowledged { version: publish_cue_rules(&deployment).await, calls: Vec::new() };
    for _ in 0..3 {
        acknowledged.add(&deployment, &names[3], &names[4], 10).await;
        for voter in &names[..3] {
            deployment.node(voter).signal("KILL");
        }
        for voter in &names[..3] {
            deployment.restart(voter);
        }
        let shown = shown(&deployment).await;
        assert!(shown.iter().all(|(_, v)| [0, acknowledged.version].contains(v)), "{shown:?}");
        acknowledged.check(&deployment, &names[3]).await;
    }
}

/// Guards against an empty disk that votes under its old name: a second loss right after would then make a majority
/// that lacks acknowledged entries. With five voters the others go on; with three they must wait.
#[actix_rt::test]
async fn a_second_voter_is_lost_right_after_a_repair() {
    for voters in [5, 3] {
        let mut deployment = start(5, voters).await;
        let names = deployment.node_names();
        let mut acknowledged =
            Acknowledged { version: publish_cue_rules(&deployment).await, calls: Vec::new() };
        acknowledged.add(&deployment, &names[1], &names[2], 10).await;
        deployment.restart_empty(&names[0]);
        wait_in_force(&deployment, acknowledged.version, RECOVERED).await;
        deployment.kill(&names[1]);
        if voters == 5 {
            actix_rt::time::sleep(Duration::from_secs(2)).await;
            acknowledged.add(&deployment, &names[2], &names[3], 5).await;
        } else {
            actix_rt::time::sleep(Duration::from_secs(2)).await;
            for node in [&names[0], &names[2], &names[4]] {
                let told = publish(&deployment, node, "alone", acknowledged.version, CUE_RULES).await;
                assert_eq!(told.status, 503, "two of three voters with one empty disk agreed: {told:?}");
            }
        }
        deployment.start_node(&names[1]);
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let shown = shown(&deployment).await;
        assert!(shown.iter().all(|(_, version)| *version >= acknowledged.version), "{shown:?}");
        if voters == 5 {
            acknowledged.check(&deployment, &names[4]).await;
        }
    }
}

/// Guards against damage that is read as data, not reported, or that loses what was acknowledged.
#[actix_rt::test]
async fn damage_is_reported_with_the_file_and_the_way_out() {
    let mut deployment = start(4, 3).await;
    let names = deployment.node_names();
    let mut acknowledged = Acknowledged { version: publish_cue_rules(&deployment).await, calls: Vec::new() };
    acknowledged.add(&deployment, &names[3], &names[3], 20).await;
    let leader = leader(&deployment).await;
    let voter = names[..3].iter().find(|name| **name != leader).unwrap();
    let folder = deployment.data_dir(voter);
    let log = file_of(&folder, "log-");
    let middle = usize::try_from(fs::metadata(folder.join(&log)).unwrap().len() / 2).unwrap();
    for (file, damage) in [
        (log.as_str(), Damage::FlipBit(middle)),
        ("hard-state", Damage::FlipBit(8)),
        ("hard-state", Damage::Truncate(5)),
        ("hard-state", Damage::Delete),
    ] {
        deployment.kill(voter);
        let kept = fs::read(folder.join(file)).unwrap();
        deployment.damage(voter, file, damage);
        let (code, said) = deployment.environment.expect_start_failure(&deployment.settings(voter));
        assert_eq!(code, Some(1), "{file} {damage:?}: {said}");
        assert!(said.contains(file) && said.contains("empty folder"), "{file} {damage:?}: {said}");
        acknowledged.add(&deployment, &names[3], &names[3], 2).await;
        fs::write(folder.join(file), kept).unwrap();
        deployment.start_node(voter);
        acknowledged.check(&deployment, voter).await;
    }
    // A cut tail is what an interrupted write leaves: the voter starts, but must learn what it had acknowledged.
    deployment.kill(voter);
    deployment.damage(voter, &log, Damage::Truncate(middle as u64));
    deployment.start_node(voter);
    acknowledged.check(&deployment, voter).await;
    // The way out: an empty folder.
    deployment.restart_empty(voter);
    acknowledged.check(&deployment, voter).await;
}

fn file_of(folder: &Path, prefix: &str) -> String {
    let names = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().file_name().into_string().unwrap());
    names.into_iter().find(|name| name.starts_with(prefix)).unwrap()
}
