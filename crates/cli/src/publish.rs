//! Publishes rule files and waits until they are in force everywhere.

use std::time::{Duration, Instant};

use daisysill_wire::http_types::{ChangeReply, NodeStatus, PublishRequest, RuleFileBody, RulesReply};
use rand::RngExt;

use crate::{
    check,
    client::{self, RequestError},
    exit_code::ExitCode,
    options::{Options, Publish},
};

/// Path of the rule files in force.
const RULES: &str = "/admin/v1/rules";
/// Time between two looks at which nodes have the rules.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// Publishes the rule files of a directory.
pub(crate) async fn run(options: &Options, publish: &Publish) -> Result<ExitCode, RequestError> {
    let directory = &publish.directory;
    let files = check::collect(directory)
        .map_err(|error| RequestError::Unexpected(format!("{}: {error}", directory.display())))?;
    let base_version = match publish.base {
        Some(base) => base,
        None => client::get::<RulesReply>(options, RULES).await?.version,
    };
    let change_id = options.change_id.clone().unwrap_or_else(new_change_id);
    let files = files.into_iter().map(|file| RuleFileBody { name: file.name, text: file.text });
    let request = PublishRequest { change_id: change_id.clone(), base_version, files: files.collect() };
    let reply = match client::post::<_, ChangeReply>(options, RULES, &request).await {
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
    let missing = wait(options, publish, reply.version).await?;
    print(options, reply.version, &missing);
    Ok(if missing.is_empty() { ExitCode::Success } else { ExitCode::NotEverywhere })
}

/// Waits until every live node follows `version`; returns those that do not.
async fn wait(options: &Options, publish: &Publish, version: u64) -> Result<Vec<String>, RequestError> {
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

/// Returns a change id that no other operator uses.
pub(crate) fn new_change_id() -> String {
    format!("chg-{:032x}", rand::rng().random::<u128>())
}
