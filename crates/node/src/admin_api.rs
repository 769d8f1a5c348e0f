//! HTTP API for operators, the balancer and metrics.

use actix_web::{
    HttpResponse,
    body::BoxBody,
    dev::{ServiceRequest, ServiceResponse},
    middleware::{Next, from_fn},
    web::{self, Data, Json, Query, ServiceConfig as Routes},
};
use daisysill_cluster::{ClusterStatus, ProposeError};
use daisysill_control::{
    VoterChange,
    command::{Command, Conflict, PublishRules, Reply, SetDrain, SetWeights},
};
use daisysill_core::{
    evacuation::zone_mark,
    ids::{ChangeId, ConfigVersion, InstanceId, ServiceName, WeightVersion, ZoneName},
    result_code::ResultCode,
    rules::RuleFile,
};
use daisysill_wire::http_types::{
    ChangeReply, ConflictReply, DrainRequest, EvacuationRequest, EvacuationsReply, ExplainReply,
    MemberStatus, NodeStatus, PublishRequest, RuleFileBody, RulesReply, VoterAction, VotersReply,
    VotersRequest, WeightsRequest, WhereRequest,
};
use serde::Deserialize;

use crate::{auth::check_token, explain_choice::explain_choice, refusal::Refusal, shared::Shared};

/// Retry delay suggested to operators while no majority of the voters can be reached.
const NO_QUORUM_RETRY_MS: u64 = 2_000;
/// Number of explanations returned if the query gives no limit.
const DEFAULT_EXPLANATIONS: usize = 20;
/// Maximum size of a request body; a change of the rules carries all rule files.
const MAX_BODY_BYTES: usize = 16_777_216;

/// Adds the routes of the admin API. Those below `/admin/v1` require the operators' token, if the settings
/// have one.
pub fn routes(routes: &mut Routes) {
    routes
        .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .service(
            web::scope("/admin/v1")
                .wrap(from_fn(authenticate))
                .route("/status", web::get().to(status))
                .route("/rules", web::get().to(rules))
                .route("/rules", web::post().to(publish))
                .route("/drains", web::post().to(drain))
                .route("/evacuations", web::get().to(evacuations))
                .route("/evacuations", web::post().to(evacuate))
                .route("/weights", web::post().to(weights))
                .route("/voters", web::post().to(voters))
                .route("/where", web::post().to(where_now))
                .route("/explain", web::get().to(explain)),
        );
}

/// Refuses requests without the operators' token; accepts all if the settings have no digest of one.
async fn authenticate(
    request: ServiceRequest,
    next: Next<BoxBody>,
) -> Result<ServiceResponse<BoxBody>, actix_web::Error> {
    let expected = request.app_data::<Data<Shared>>().and_then(|s| s.config.node.admin_token_digest.clone());
    match expected.map_or(Ok(()), |digest| check_token(request.request(), &digest)) {
        Ok(()) => next.call(request).await,
        Err(refusal) => Ok(request.into_response(refusal.response())),
    }
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(shared: Data<Shared>) -> HttpResponse {
    let state = shared.lifecycle_state();
    match state.as_str() {
        // An isolated node still serves what it can without the cluster.
        "ready" | "isolated" => HttpResponse::Ok().body(format!("{state}\n")),
        _ => HttpResponse::ServiceUnavailable().body(format!("{state}\n")),
    }
}

async fn metrics(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(shared.metrics.encode())
}

async fn status(shared: Data<Shared>) -> HttpResponse {
    let cluster = shared.cluster.status();
    let view = shared.cluster.view().borrow().clone();
    let member = |member: &daisysill_cluster::MemberState| MemberStatus {
        name: member.name.to_string(),
        availability_zone: member.zone.to_string(),
        alive: member.alive,
        config_version: member.config_version.0,
        age_ms: member
            .last_heard
            .map_or(0, |heard| u64::try_from(heard.elapsed().as_millis()).unwrap_or(u64::MAX)),
    };
    HttpResponse::Ok().json(NodeStatus {
        name: shared.config.node.name.to_string(),
        availability_zone: shared.config.node.zone.to_string(),
        life_cycle: shared.lifecycle_state(),
        role: cluster.role.name().to_owned(),
        term: cluster.term,
        leader: cluster.leader.as_ref().map(ToString::to_string).unwrap_or_default(),
        commit_index: cluster.commit_index,
        applied_index: cluster.applied_index,
        voters: names(&cluster.voters),
        learners: names(&cluster.learners),
        disk: disk_state(&cluster, &shared.config.node.name).to_owned(),
        config_version: view.version.0,
        rules_version: view.rules_version.0,
        members: cluster.members.iter().map(member).collect(),
        upstreams: shared.upstreams.status(),
    })
}

async fn rules(shared: Data<Shared>) -> HttpResponse {
    let view = shared.cluster.view().borrow().clone();
    let body = |file: &RuleFile| RuleFileBody { name: file.name.clone(), text: file.text.clone() };
    let files = view.rules.iter().map(body).collect();
    HttpResponse::Ok().json(RulesReply { version: view.rules_version.0, files })
}

async fn publish(shared: Data<Shared>, request: Json<PublishRequest>) -> HttpResponse {
    let request = request.into_inner();
    let files = request.files.into_iter().map(|file| RuleFile { name: file.name, text: file.text });
    let publish = PublishRules {
        change: ChangeId::from(request.change_id),
        base: ConfigVersion(request.base_version),
        files: files.collect(),
    };
    change(&shared, Command::PublishRules(publish)).await
}

async fn drain(shared: Data<Shared>, request: Json<DrainRequest>) -> HttpResponse {
    let request = request.into_inner();
    let drain = SetDrain {
        change: ChangeId::from(request.change_id),
        upstream: InstanceId::from(request.upstream),
        draining: request.draining,
    };
    change(&shared, Command::SetDrain(drain)).await
}

async fn evacuations(shared: Data<Shared>) -> HttpResponse {
    shared.apply_evacuations();
    HttpResponse::Ok().json(EvacuationsReply {
        zones: shared.upstreams.evacuated_zones(),
        known_zones: shared.known_zones().into_iter().collect(),
    })
}

/// Starts or ends the evacuation of a zone. An end is accepted for every zone that has a mark, listed or not.
async fn evacuate(shared: Data<Shared>, request: Json<EvacuationRequest>) -> HttpResponse {
    let request = request.into_inner();
    let mark = zone_mark(&ZoneName::from(request.zone.as_str()));
    let known = shared.known_zones();
    let is_marked = shared.cluster.view().borrow().draining.contains(&mark);
    if !known.contains(&request.zone) && (request.evacuated || !is_marked) {
        let zones: Vec<String> = known.into_iter().collect();
        let message = format!("unknown zone {}; the zones are {}", request.zone, zones.join(", "));
        return Refusal::new(ResultCode::RouteUnknown, message).response();
    }
    let drain =
        SetDrain { change: ChangeId::from(request.change_id), upstream: mark, draining: request.evacuated };
    change(&shared, Command::SetDrain(drain)).await
}

async fn weights(shared: Data<Shared>, request: Json<WeightsRequest>) -> HttpResponse {
    let request = request.into_inner();
    let weights = SetWeights {
        change: ChangeId::from(request.change_id),
        base: WeightVersion(request.base_version),
        service: ServiceName::from(request.service),
        version: WeightVersion(request.version),
    };
    change(&shared, Command::SetWeights(weights)).await
}

async fn voters(shared: Data<Shared>, request: Json<VotersRequest>) -> HttpResponse {
    let request = request.into_inner();
    let name = InstanceId::from(request.name);
    let cluster = &shared.config.cluster;
    let known = name == cluster.name || cluster.peers.iter().any(|peer| peer.name == name);
    if !known && request.action != VoterAction::Remove {
        // A voter that no node can reach would raise the majority needed without ever contributing to it.
        let message = format!("{name} is not a node of this deployment: the settings have no [peer.{name}]");
        return Refusal::new(ResultCode::ChangeConflict, message).response();
    }
    let change = match request.action {
        VoterAction::Add => VoterChange::AddLearner(name),
        VoterAction::Promote => VoterChange::Promote(name),
        VoterAction::Remove => VoterChange::Remove(name),
    };
    match shared.cluster.change_voters(change).await {
        Ok(Reply::Done) => {
            let status = shared.cluster.status();
            let (voters, learners) = (names(&status.voters), names(&status.learners));
            HttpResponse::Ok().json(VotersReply { voters, learners })
        }
        Ok(Reply::VotersRefused(refusal)) => {
            Refusal::new(ResultCode::ChangeConflict, refusal.to_string()).response()
        }
        Ok(_) => Refusal::new(ResultCode::Internal, "unexpected reply to a change").response(),
        Err(error) => not_committed(error),
    }
}

fn names(ids: &[InstanceId]) -> Vec<String> {
    ids.iter().map(ToString::to_string).collect()
}

fn disk_state(cluster: &ClusterStatus, name: &InstanceId) -> &'static str {
    match () {
        () if cluster.disk_outdated => "outdated",
        () if cluster.waits_for_peers => "waiting_for_peers",
        () if cluster.voters.contains(name) => "confirmed",
        () => "none",
    }
}

async fn change(shared: &Shared, command: Command) -> HttpResponse {
    match shared.cluster.propose(command).await {
        Ok(Reply::Accepted(version)) => HttpResponse::Ok().json(ChangeReply { version: version.0 }),
        Ok(Reply::Conflict(conflict)) => conflict_response(conflict),
        Ok(Reply::ChangeIdReused) => {
            Refusal::new(ResultCode::ChangeIdReused, "the change id was used with other content").response()
        }
        Ok(Reply::RulesInvalid(errors)) => {
            Refusal::new(ResultCode::RulesInvalid, errors.join("\n")).response()
        }
        Ok(_) => Refusal::new(ResultCode::Internal, "unexpected reply to a change").response(),
        Err(error) => not_committed(error),
    }
}

fn not_committed(error: ProposeError) -> HttpResponse {
    match error {
        ProposeError::NotCommitted => {
            Refusal::new(ResultCode::NoQuorum, ProposeError::NotCommitted.to_string())
                .retry_after_ms(NO_QUORUM_RETRY_MS)
                .response()
        }
        ProposeError::Uncertain => {
            let message = "the change may have been accepted; resend it with the same change id";
            Refusal::new(ResultCode::ChangeUncertain, message).retry_after_ms(NO_QUORUM_RETRY_MS).response()
        }
    }
}

fn conflict_response(conflict: Conflict) -> HttpResponse {
    let refusal = Refusal::new(ResultCode::ChangeConflict, "another change was accepted on the same base");
    HttpResponse::Conflict().json(ConflictReply {
        error: refusal.body().error,
        current_version: conflict.current.0,
        difference: conflict.difference,
    })
}

/// Query of `/admin/v1/explain`; both parts are optional.
#[derive(Debug, Deserialize)]
struct ExplainQuery {
    request_id: Option<String>,
    limit: Option<usize>,
}

async fn explain(shared: Data<Shared>, query: Query<ExplainQuery>) -> HttpResponse {
    let limit = query.limit.unwrap_or(DEFAULT_EXPLANATIONS);
    let requests = shared.explain.find(query.request_id.as_deref(), limit);
    HttpResponse::Ok().json(ExplainReply { requests })
}

/// Explains where a request would go now.
async fn where_now(shared: Data<Shared>, request: Json<WhereRequest>) -> HttpResponse {
    match explain_choice(&shared, &request) {
        Ok(reply) => HttpResponse::Ok().json(reply),
        Err(refusal) => refusal.response(),
    }
}
