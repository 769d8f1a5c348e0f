//! Publishes rule files and optionally waits until they are in force on every live node.

use std::time::{Duration, Instant};

use daisysill_wire::http_types::{ChangeReply, NodeStatus, PublishRequest, RuleFileBody, RulesReply};
use rand::RngExt;

use crate::{
    check,
    client::{self, RequestError},
    exit_code::ExitCode,
    options::{Options, Publish},
};

/// Path at which the rule files in force are read and replaced.
const RULES_PATH: &str = "/admin/v1/rules";
/// Interval between checks of which nodes have the rules in force.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// Publishes the rule files below a directory.
pub(crate) async fn run(options: &Options, publish: &Publish) -> Result<ExitCode, RequestError> {
    let directory = &publish.directory;
    let files = check::read_rule_files(directory)
        .map_err(|error| RequestError::Unexpected(format!("{}: {error}", directory.display())))?;
    let base_version = match publish.base {
        Some(base) => base,
        None => client::get::<RulesReply>(options, RULES_PATH).await?.version,
    };
    let change_id = options.change_id.clone().unwrap_or_else(new_change_id);
    let files = files.into_iter().map(|file| RuleFileBody { name: file.name, text: file.text });
    let request = PublishRequest { change_id: change_id.clone(), base_version, files: files.collect() };
    let reply = match client::post::<_, ChangeReply>(options, RULES_PATH, &request).await {
        Ok(reply) => reply,
        Err(RequestError::Unreachable(message)) => {
            eprintln!("daisysill: the change may have been accepted ({message})");
            eprintln!("resend it with --change-id {change_id} --base {base_version}");
            return Ok(ExitCode::Uncertain);
        }
        Err(error) => return Err(error),
    };
    if !publish.wait {
        print(options, reply.version, &[]);
        return Ok(ExitCode::Success);
    }
    let missing = wait_for_nodes(options, publish, reply.version).await?;
    print(options, reply.version, &missing);
    Ok(if missing.is_empty() { ExitCode::Success } else { ExitCode::NotEverywhere })
}

/// Waits until `version` is in force on every live node; returns the nodes on which it is not when the time
/// is up.
async fn wait_for_nodes(
    options: &Options,
    publish: &Publish,
    version: u64,
) -> Result<Vec<String>, RequestError> {
    let end = Instant::now() + Duration::from_secs(publish.timeout_s);
    loop {
        let status: NodeStatus = client::get(options, "/admin/v1/status").await?;
        let missing = nodes_without(&status, version);
        if missing.is_empty() || Instant::now() >= end {
            return Ok(missing);
        }
        actix_rt::time::sleep(WAIT_INTERVAL).await;
    }
}

fn nodes_without(status: &NodeStatus, version: u64) -> Vec<String> {
    let behind = status.members.iter().filter(|m| m.alive && m.config_version < version);
    let mut missing: Vec<String> = behind.map(|member| member.name.clone()).collect();
    if status.config_version < version {
        missing.push(status.name.clone());
    }
    missing
}

fn print(options: &Options, version: u64, missing: &[String]) {
    if options.json {
        println!("{}", serde_json::json!({ "version": version, "missing": missing }));
        return;
    }
    println!("version {version} is accepted");
    for name in missing {
        println!("not yet in force on {name}");
    }
}

/// Returns a random change id, so that no two changes have the same.
pub(crate) fn new_change_id() -> String {
    format!("chg-{:032x}", rand::rng().random::<u128>())
}
