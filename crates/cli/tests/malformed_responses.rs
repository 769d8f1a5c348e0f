//! Malformed responses of a node's admin API to the command.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use assert_cmd::Command;
use daisysill_testkit::{
    malformed_responses::{Body, MalformedResponse, malformed_responses, sound_responses},
    response_server::{Delivery, ResponseServer},
};

const FIELDS: &str = "Content-Type: application/json\r\n";
/// The parts of a response of which neither is one.
const PARTS: [&str; 2] =
    [r#"{"known_zones":["z1","z2"],"zones":[{"zone":"z1","known_for_ms":7000,"#, r#""in_flight":3}]}"#];
const OUTPUT: &str = "zone z1 is evacuated, known to this node for 7 s, 3 requests in flight\n";

/// Returns what the command prints if it succeeds.
fn printed(server: &ResponseServer, response: Vec<u8>) -> Option<String> {
    server.respond(response, Delivery::Whole);
    let url = format!("http://{}", server.address());
    let mut command = Command::cargo_bin("daisysill").unwrap();
    let output = command.args(["--node", &url, "evacuate", "status"]).output().unwrap();
    output.status.success().then(|| String::from_utf8(output.stdout).unwrap())
}

/// Guards against a part of a response that is shown as the whole one.
#[test]
fn a_part_of_a_response_is_not_shown() {
    let (server, body) = (ResponseServer::start(Vec::new()), Body::of_parts(PARTS[0], PARTS[1]));
    let sound = sound_responses()[0].bytes(FIELDS, &body);
    assert_eq!(printed(&server, sound).as_deref(), Some(OUTPUT));
    let shows_part = |malformed: &MalformedResponse| {
        printed(&server, malformed.bytes(FIELDS, &body)).is_some_and(|output| output != OUTPUT)
    };
    let shown: Vec<&str> = malformed_responses()
        .iter()
        .filter(|malformed| shows_part(malformed))
        .map(|malformed| malformed.name)
        .collect();
    assert!(shown.is_empty(), "{shown:?}");
}
