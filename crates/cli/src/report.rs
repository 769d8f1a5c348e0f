//! Commands that show the state of a node, or change drain marks, voters and weight versions, through the
//! admin API.

use daisysill_wire::http_types::{
    ChangeReply, DrainRequest, ExplainReply, NodeStatus, VoterAction, VotersReply, VotersRequest,
    WeightsRequest,
};
use serde::Serialize;

use crate::{
    client::{self, RequestError},
    exit_code::ExitCode,
    options::Options,
    publish::new_change_id,
};

/// Shows a node, its cluster and its upstreams.
pub(crate) async fn status(options: &Options) -> Result<ExitCode, RequestError> {
    let status: NodeStatus = client::get(options, "/admin/v1/status").await?;
    if print_json(options, &status) {
        return Ok(ExitCode::Success);
    }
    println!("node {} in {}: {}", status.name, status.availability_zone, status.life_cycle);
    println!("log: {}, term {}, leader {}", status.role, status.term, or_none(&status.leader));
    if status.disk != "none" {
        println!("log: disk {}", status.disk);
    }
    println!("log: committed {}, applied {}", status.commit_index, status.applied_index);
    println!("configuration {}, rules {}", status.config_version, status.rules_version);
    for member in &status.members {
        let alive = if member.alive { "alive" } else { "not heard" };
        let (name, zone, version) = (&member.name, &member.availability_zone, member.config_version);
        println!("member {name} in {zone}: {alive}, configuration {version}, heard {} ms ago", member.age_ms);
    }
    for upstream in &status.upstreams {
        let (id, service, zone) = (&upstream.id, &upstream.service, &upstream.availability_zone);
        println!(
            "upstream {id} of {service} in {zone}: {}, {} in flight",
            upstream.state, upstream.in_flight
        );
    }
    Ok(ExitCode::Success)
}

/// Shows why requests were served as they were; fails if the node does not know the request asked for.
pub(crate) async fn explain(options: &Options, request_id: Option<&str>) -> Result<ExitCode, RequestError> {
    let query = request_id.map(|id| format!("?request_id={id}")).unwrap_or_default();
    let reply: ExplainReply = client::get(options, &format!("/admin/v1/explain{query}")).await?;
    if print_json(options, &reply) {
        return Ok(ExitCode::Success);
    }
    for request in &reply.requests {
        let (id, customer, service) = (&request.request_id, &request.customer, &request.service);
        println!("{id} of {customer} for {service}: result {}", request.result_code);
        println!("  {}", request.states.join(" > "));
        for decision in &request.decisions {
            println!("  {decision}");
        }
    }
    Ok(if request_id.is_some() && reply.requests.is_empty() { ExitCode::Failure } else { ExitCode::Success })
}

/// Shows the voters and learners.
pub(crate) async fn voters(options: &Options) -> Result<ExitCode, RequestError> {
    let status: NodeStatus = client::get(options, "/admin/v1/status").await?;
    print_voters(options, &VotersReply { voters: status.voters, learners: status.learners });
    Ok(ExitCode::Success)
}

/// Adds, promotes or removes a voter and shows the voters that result.
pub(crate) async fn change_voters(
    options: &Options,
    action: VoterAction,
    name: &str,
) -> Result<ExitCode, RequestError> {
    let request = VotersRequest { action, name: name.to_owned() };
    let reply = client::post(options, "/admin/v1/voters", &request).await?;
    print_voters(options, &reply);
    Ok(ExitCode::Success)
}

fn print_voters(options: &Options, reply: &VotersReply) {
    if print_json(options, reply) {
        return;
    }
    if reply.voters.is_empty() {
        println!("this node holds no replica; ask a node with a data folder for the voters");
        return;
    }
    println!("voters: {}", reply.voters.join(", "));
    println!("learners: {}", or_none(&reply.learners.join(", ")));
}

/// Sets or clears the drain mark of an upstream.
pub(crate) async fn drain(
    options: &Options,
    upstream: &str,
    draining: bool,
) -> Result<ExitCode, RequestError> {
    let request = DrainRequest { change_id: change_id(options), upstream: upstream.to_owned(), draining };
    let reply = client::post(options, "/admin/v1/drains", &request).await?;
    print_change(options, &reply);
    Ok(ExitCode::Success)
}

/// Rolls out a weight version.
pub(crate) async fn weights(
    options: &Options,
    service: &str,
    base: u64,
    version: u64,
) -> Result<ExitCode, RequestError> {
    let request = WeightsRequest {
        change_id: change_id(options),
        service: service.to_owned(),
        base_version: base,
        version,
    };
    let reply = client::post(options, "/admin/v1/weights", &request).await?;
    print_change(options, &reply);
    Ok(ExitCode::Success)
}

/// Returns the id that the options give the change, or a new one.
pub(crate) fn change_id(options: &Options) -> String {
    options.change_id.clone().unwrap_or_else(new_change_id)
}

/// Prints the version of an accepted change.
pub(crate) fn print_change(options: &Options, reply: &ChangeReply) {
    if !print_json(options, reply) {
        println!("version {} is accepted", reply.version);
    }
}

/// Prints a value as JSON if the options ask for it; returns whether they do.
pub(crate) fn print_json<T: Serialize>(options: &Options, value: &T) -> bool {
    if options.json {
        println!("{}", serde_json::to_string(value).unwrap_or_default());
    }
    options.json
}

fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}
