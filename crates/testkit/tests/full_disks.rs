//! Voters whose disks are full for seconds, and one that is removed while its process is suspended.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    cell::Cell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use awc::Client;
use daisysill_testkit::{
    deployment::Deployment,
    deployment_config::{DeploymentConfig, NodePlan},
};
use daisysill_wire::http_types::{ChangeReply, NodeStatus};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;

/// Time for which each disk refuses writes.
const FULL: Duration = Duration::from_secs(3);
/// Time between two disks.
const PAUSE: Duration = Duration::from_millis(300);
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the last disk has room by which changes are accepted.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(4);
/// Time in which accepted rules are in force on every node (P9).
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an operator sends a change again.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time in which a removed voter that reaches the others has learned of its removal.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which it must not act as a voter afterwards; several election timeouts.
const REMOVED_PERIOD: Duration = Duration::from_secs(3);
/// Time in which the voters accept an operator's change of their set.
const VOTERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts three nodes, all of them voters.
async fn start() -> Deployment {
    let mut config = DeploymentConfig::small();
    for name in ["sathorn-2", "sathorn-3"] {
        config.nodes.push(NodePlan { name: name.to_owned(), zone: "bkk-sathorn".to_owned(), voter: true });
    }
    let deployment = Deployment::start(config);
    deployment.wait_until_live().await;
    deployment
}

/// Publishes rules that differ by `number` through a node once; returns their version if they are accepted.
async fn publish(deployment: &Deployment, node: &str, number: u64) -> Option<u64> {
    let base = deployment.status(node).await?.rules_version;
    let keep_s = 3_600 + number;
    let text =
        format!("[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire\nkeep_s = {keep_s}\n");
    let file = json!({"name": "booth.ini", "text": text});
    let body = json!({"change_id": format!("{node}-{number}"), "base_version": base, "files": [file]});
    let url = format!("http://{}/admin/v1/rules", deployment.node(node).addresses.admin);
    let client = Client::builder().timeout(OPERATOR_TIMEOUT).finish();
    let mut response = client.post(url).send_json(&body).await.ok()?;
    let is_accepted = response.status().is_success();
    let reply: Option<ChangeReply> = if is_accepted { response.json().await.ok() } else { None };
    reply.map(|reply| reply.version)
}

/// Publishes rules through a node, again with the next number until they are accepted; returns their version.
async fn publish_until(
    deployment: &Deployment,
    node: &str,
    numbers: &Cell<u64>,
    deadline: Instant,
) -> Result<u64, String> {
    while Instant::now() < deadline {
        if let Some(version) = publish(deployment, node, next(numbers)).await {
            return Ok(version);
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    Err(format!("{node} accepts no change"))
}

fn next(numbers: &Cell<u64>) -> u64 {
    numbers.set(numbers.get() + 1);
    numbers.get()
}

/// Waits until every node reports these rules or newer ones.
async fn wait_until_in_force(deployment: &Deployment, version: u64, deadline: Instant) -> Result<(), String> {
    loop {
        let statuses = deployment.statuses().await;
        let is_in_force = |status: &Option<NodeStatus>| {
            status.as_ref().is_some_and(|status| status.rules_version >= version)
        };
        if statuses.values().all(is_in_force) {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(format!("version {version} is not in force: {:?}", described(&statuses)));
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns a line for each node.
fn described(statuses: &BTreeMap<String, Option<NodeStatus>>) -> Vec<String> {
    let line = |(name, status): (&String, &Option<NodeStatus>)| match status {
        Some(status) => {
            format!("{name}: {}, rules {}, disk {}", status.role, status.rules_version, status.disk)
        }
        None => format!("{name}: no status"),
    };
    statuses.iter().map(line).collect()
}

/// Fills one disk after the other; returns the role of each node at the end of its turn.
async fn fill_disks(deployment: &Deployment) -> Vec<String> {
    let mut roles = Vec::new();
    for name in deployment.node_names() {
        actix_rt::time::sleep(PAUSE).await;
        deployment.set_disk_full(&name, true);
        actix_rt::time::sleep(FULL).await;
        roles.push(deployment.status(&name).await.map_or_else(String::new, |status| status.role));
        deployment.set_disk_full(&name, false);
    }
    roles
}

/// Guards against voters that halt for a full disk and do not go on once it has room: after the second one no change is
/// accepted any more.
#[actix_rt::test]
async fn changes_are_accepted_after_disks_were_full_one_after_another() {
    let deployment = Rc::new(start().await);
    let (numbers, is_disturbed) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(true)));
    let changes = {
        let (deployment, numbers, is_disturbed) =
            (Rc::clone(&deployment), Rc::clone(&numbers), Rc::clone(&is_disturbed));
        actix_rt::spawn(async move {
            let (mut rng, mut newest) = (StdRng::seed_from_u64(38), 0);
            let names = deployment.node_names();
            while is_disturbed.get() {
                let node = &names[rng.random_range(0..names.len())];
                newest = newest.max(publish(&deployment, node, next(&numbers)).await.unwrap_or_default());
                actix_rt::time::sleep(CHANGE_INTERVAL).await;
            }
            newest
        })
    };
    let roles = fill_disks(&deployment).await;
    let start = Instant::now();
    let deadline = start + RECOVERY_TIMEOUT;
    is_disturbed.set(false);
    let mut newest = 0;
    // One after the other, as of two changes on one base only one is accepted.
    for name in deployment.node_names() {
        match publish_until(&deployment, &name, &numbers, deadline).await {
            Ok(version) => newest = newest.max(version),
            Err(error) => {
                panic!("{error}: {:?}\n{}", described(&deployment.statuses().await), deployment.logs())
            }
        }
    }
    println!("every node has accepted a change after {:?}, halted: {roles:?}", start.elapsed());
    let newest = newest.max(changes.await.unwrap());
    wait_until_in_force(&deployment, newest, Instant::now() + IN_FORCE_TIMEOUT).await.unwrap();
    assert_eq!(roles, ["halted"; 3], "a disk was not full");
    let mut deployment = Rc::into_inner(deployment).unwrap();
    for name in deployment.node_names() {
        assert!(!deployment.has_ended(&name), "{name} has ended");
    }
}

/// Runs `daisysill voters` with an action through a node until it succeeds.
async fn change_voters(deployment: &Deployment, through: &str, action: &str, name: &str) {
    let deadline = Instant::now() + VOTERS_TIMEOUT;
    loop {
        let arguments = ["voters", action, name];
        let mut command = deployment.environment.cli_command(deployment.node(through), &arguments);
        let output = tokio::task::spawn_blocking(move || command.output()).await.unwrap().unwrap();
        if output.status.success() {
            return;
        }
        assert!(Instant::now() < deadline, "voters {action} {name}: {output:?}\n{}", deployment.logs());
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Checks that a removed voter reports in time that it votes no more, and that this stays so.
async fn check_removed(deployment: &Deployment, name: &str, when: &str) {
    let start = Instant::now();
    let is_removed = |status: &NodeStatus| matches!(status.role.as_str(), "learner" | "observer");
    let mut learned_after = None;
    while learned_after.is_none_or(|after: Duration| start.elapsed() < after + REMOVED_PERIOD) {
        let status = deployment.status(name).await.unwrap();
        let (role, voters) = (&status.role, &status.voters);
        match learned_after {
            None if is_removed(&status) => learned_after = Some(start.elapsed()),
            None => assert!(
                start.elapsed() < REMOVAL_TIMEOUT,
                "{when}: {role} of {voters:?} after {REMOVAL_TIMEOUT:?}\n{}",
                deployment.logs()
            ),
            Some(_) => assert!(is_removed(&status), "{when}: {role} of {voters:?} again"),
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    println!("{when}: no voter after {learned_after:?}");
}

/// Returns the node that leads, and another one.
async fn leader_and_follower(deployment: &Deployment) -> (String, String) {
    let deadline = Instant::now() + VOTERS_TIMEOUT;
    loop {
        let statuses: Vec<NodeStatus> = deployment.statuses().await.into_values().flatten().collect();
        let named = |role: &str| statuses.iter().find(|status| status.role == role).map(|s| s.name.clone());
        if let (Some(leader), Some(follower)) = (named("leader"), named("follower")) {
            return (leader, follower);
        }
        assert!(Instant::now() < deadline, "no leader");
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Guards against a voter that was removed while it was suspended, and stays a candidate for good: after it is resumed,
/// and after it is started again from its own folder.
#[actix_rt::test]
async fn a_voter_removed_while_suspended_follows_and_can_be_added_again() {
    let mut deployment = start().await;
    let (leader, removed) = leader_and_follower(&deployment).await;
    let numbers = Cell::new(0);
    deployment.suspend(&removed);
    change_voters(&deployment, &leader, "remove", &removed).await;
    deployment.resume(&removed);
    check_removed(&deployment, &removed, "resumed").await;
    publish_and_follow(&deployment, &leader, &numbers).await;
    deployment.restart(&removed);
    check_removed(&deployment, &removed, "restarted").await;
    publish_and_follow(&deployment, &leader, &numbers).await;
    change_voters(&deployment, &leader, "add", &removed).await;
    change_voters(&deployment, &leader, "promote", &removed).await;
    let deadline = Instant::now() + VOTERS_TIMEOUT;
    loop {
        let status = deployment.status(&removed).await.unwrap();
        let is_voter = status.voters.contains(&removed) && status.disk == "confirmed";
        if is_voter && matches!(status.role.as_str(), "follower" | "leader") {
            break;
        }
        assert!(Instant::now() < deadline, "{removed} is no voter: {} {}", status.role, status.disk);
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    publish_and_follow(&deployment, &removed, &numbers).await;
}

/// Publishes rules through a node and waits until they are in force everywhere.
async fn publish_and_follow(deployment: &Deployment, through: &str, numbers: &Cell<u64>) {
    let deadline = Instant::now() + VOTERS_TIMEOUT;
    let version = publish_until(deployment, through, numbers, deadline).await.unwrap();
    let in_force = wait_until_in_force(deployment, version, Instant::now() + IN_FORCE_TIMEOUT).await;
    in_force.unwrap_or_else(|error| panic!("{error}\n{}", deployment.logs()));
}

/// Waits until a node lists itself no more among the voters; fails after the time that a removed voter has to learn of it.
async fn wait_until_unlisted(deployment: &Deployment, name: &str, when: &str) {
    let start = Instant::now();
    loop {
        let status = deployment.status(name).await.unwrap();
        if !status.voters.iter().any(|voter| voter == name) {
            assert_eq!(status.disk, "none", "{when}");
            println!("{when}: unlisted after {:?}", start.elapsed());
            return;
        }
        assert!(start.elapsed() < REMOVAL_TIMEOUT, "{when}: {name} lists the voters {:?}", status.voters);
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Guards against a removed voter that lists itself as a voter for good, because the entry that removed it never came.
#[actix_rt::test]
async fn a_voter_removed_while_suspended_does_not_list_itself() {
    let mut deployment = start().await;
    let (leader, removed) = leader_and_follower(&deployment).await;
    deployment.suspend(&removed);
    change_voters(&deployment, &leader, "remove", &removed).await;
    deployment.resume(&removed);
    wait_until_unlisted(&deployment, &removed, "resumed").await;
    deployment.restart(&removed);
    wait_until_unlisted(&deployment, &removed, "restarted").await;
}
