//! Starts and ends evacuations of availability zones, and shows them, through the admin API.

use daisysill_wire::http_types::{EvacuationRequest, EvacuationsReply};

use crate::{
    client::{self, RequestError},
    exit_code::ExitCode,
    options::Options,
    report::{change_id, print_change, print_json},
};

/// Path at which evacuations are read and changed.
const EVACUATIONS_PATH: &str = "/admin/v1/evacuations";

/// Starts or ends the evacuation of a zone.
pub(crate) async fn change(options: &Options, zone: &str, evacuated: bool) -> Result<ExitCode, RequestError> {
    let request = EvacuationRequest { change_id: change_id(options), zone: zone.to_owned(), evacuated };
    let reply = client::post(options, EVACUATIONS_PATH, &request).await?;
    print_change(options, &reply);
    Ok(ExitCode::Success)
}

/// Shows one zone, or all evacuated ones, as the node sees them; fails if the node does not know the zone.
pub(crate) async fn status(options: &Options, zone: Option<&str>) -> Result<ExitCode, RequestError> {
    let mut reply: EvacuationsReply = client::get(options, EVACUATIONS_PATH).await?;
    if let Some(name) = zone {
        reply.zones.retain(|evacuated| evacuated.zone == name);
        if reply.zones.is_empty() && !reply.known_zones.iter().any(|known| known == name) {
            eprintln!("daisysill: unknown zone {name}; the zones are {}", reply.known_zones.join(", "));
            return Ok(ExitCode::Failure);
        }
    }
    if print_json(options, &reply) {
        return Ok(ExitCode::Success);
    }
    for evacuated in &reply.zones {
        let (name, known_for_s) = (&evacuated.zone, evacuated.known_for_ms / 1_000);
        println!(
            "zone {name} is evacuated, known to this node for {known_for_s} s, {} requests in flight",
            evacuated.in_flight
        );
    }
    if reply.zones.is_empty() {
        println!(
            "{}",
            zone.map_or("no zone is evacuated".to_owned(), |name| format!("zone {name} is not evacuated"))
        );
    }
    Ok(ExitCode::Success)
}
