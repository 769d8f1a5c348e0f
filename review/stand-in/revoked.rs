//! Keys that are taken away until no tenant has one.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    http::{self, Connection, Message},
    names::{EXPECT_INSTANCE, NOT_EXECUTED, PUT_CONFIG, SEAL},
    nodes::{Nodes, address, free_network},
    record::Record,
};

const WORKERS: u8 = 3;
const ENTRIES: u8 = 3;
/// `revoke_ms` of the settings.
const REVOKE_LIMIT: Duration = Duration::from_millis(5_000);
/// Time between the configs that take a key away, as in the site's `revoke`.
const GAP: Duration = Duration::from_millis(1_500);
/// Requests with each key before and after.
const REQUESTS: u32 = 12;

struct World {
    record: Record,
    /// Ids of the requests that ran.
    ran: Mutex<BTreeSet<String>>,
}

impl World {
    fn serve(&self, number: u8, request: &Message, connection: &mut Connection) -> std::io::Result<()> {
        let id = format!("i-{number}");
        if request.path() == "/healthz" {
            return connection.write("HTTP/1.1 200 OK", &[("x-instance-id", &id)], b"");
        }
        let request_id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.header(EXPECT_INSTANCE).is_some_and(|expected| expected != id) {
            let headers = [("x-request-id", request_id.as_str()), (NOT_EXECUTED, "1")];
            return connection.write("HTTP/1.1 421 Misdirected", &headers, b"");
        }
        let tenant = request.header("x-tenant").unwrap_or("none").to_owned();
        self.record.line(&format!("{id}: {request_id} runs, tenant {tenant}"));
        self.ran.lock().unwrap().insert(request_id.clone());
        sleep(Duration::from_millis(20));
        let headers = [("x-request-id", request_id.as_str()), (SEAL, "seal"), ("content-type", "text/plain")];
        connection.write("HTTP/1.1 200 OK", &headers, b"fired")
    }

    /// Sends requests with a key to all entry nodes in turn; returns how many ran.
    fn ask(&self, nodes: &Nodes, key: &str, phase: &str) -> u32 {
        let mut ran = 0;
        for number in 0..REQUESTS {
            let id = format!("{phase}-{key}-{number}");
            let bearer = format!("Bearer {key}");
            let headers = [
                ("host", "a.example"),
                ("x-request-id", &id),
                ("x-deadline-ms", "3000"),
                ("authorization", &bearer),
            ];
            let entry = (number % u32::from(ENTRIES)) as u8;
            let answer =
                http::call(nodes.callers(entry), "POST", "/cues/7", &headers, "fire", Duration::from_secs(3));
            let status = answer.map_or(0, |answer| answer.status());
            let has_run = self.ran.lock().unwrap().contains(&id);
            ran += u32::from(has_run);
            self.record
                .line(&format!("client: {id} to entry node {entry} answered {status}, has run: {has_run}"));
            sleep(Duration::from_millis(50));
        }
        ran
    }
}

/// A config with two tenants, `house` and `office`, and their keys.
fn config(version: u32, house: &str, office: &str) -> String {
    let keys = |key: &str| if key.is_empty() { String::new() } else { format!("\"{key}\"") };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"cues\",\"host\":\"a.example\",\"path_prefix\":\"/cues/\",\
         \"kind\":\"unsafe\",\"timeout_ms\":1500,\"goal_ms\":300,\"priority\":0,\"service\":\"booth\",\"max_attempts\":1,\
         \"public\":false}}],\"services\":[{{\"name\":\"booth\",\"health_path\":\"/healthz\",\"max_conns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"house\",\"api_keys\":[{}]}},\
         {{\"name\":\"office\",\"api_keys\":[{}]}}]}}",
        keys(house),
        keys(office),
    )
}

pub fn play(record: &Record, is_disrupted: bool) -> Result<Verdict, String> {
    let network = free_network()?;
    let world = Arc::new(World { record: record.clone(), ran: Mutex::default() });
    for number in 0..WORKERS {
        let world = Arc::clone(&world);
        http::serve(address(network, 31 + number, 8_080), move |request, connection| {
            world.serve(number, request, connection)
        });
    }
    let entries: Vec<String> = (0..WORKERS)
        .map(|number| {
            format!(
                "{{\"service\":\"booth\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\
                 \"cold_left_ms\":0,\"id\":\"i-{number}\",\"born\":1}}",
                address(network, 31 + number, 8_080),
            )
        })
        .collect();
    let text = format!("{{\"instances\":[{}],\"next_token\":null}}", entries.join(","));
    let list = address(network, 60, 8_007);
    http::serve(list, move |_, connection| {
        connection.write("HTTP/1.1 200 OK", &[("content-type", "application/json")], text.as_bytes())
    });
    let nodes = Nodes::start(network, 3, ENTRIES, list)?;
    nodes.order(record, PUT_CONFIG, &config(1, "key-house", "key-office"))?;
    for entry in 0..ENTRIES {
        nodes.wait_until_ready(entry)?;
    }
    sleep(Duration::from_secs(2));
    for key in ["key-house", "key-office"] {
        if world.ask(&nodes, key, "before") < REQUESTS {
            return Err(format!("requests with {key} did not run before the keys were taken away"));
        }
    }
    if world.ask(&nodes, "key-nobody", "before") > 0 {
        return Err("requests with a key that nobody holds ran from the start".to_owned());
    }
    let (house, office) = if is_disrupted { ("", "") } else { ("key-house", "key-office") };
    nodes.order(record, PUT_CONFIG, &config(2, "key-house", office))?;
    sleep(GAP);
    let confirmed_at: Instant = nodes.order(record, PUT_CONFIG, &config(3, house, office))?;
    sleep((REVOKE_LIMIT + Duration::from_secs(1)).saturating_sub(confirmed_at.elapsed()));
    // CONFIG: a request sent later than `revoke_ms` after the confirmation of a config that took its key away runs.
    let mut taken_away = 0;
    for key in ["key-house", "key-office"] {
        let ran = world.ask(&nodes, key, "after");
        taken_away += if is_disrupted { ran } else { 0 };
    }
    // ROUTE: a request runs whose key no config ever held.
    let never_held = world.ask(&nodes, "key-nobody", "after");
    record.line(&format!(
        "later than {REVOKE_LIMIT:?} after the confirmation, {taken_away} requests ran whose key had been taken away, and \
         {never_held} with a key that no config ever held"
    ));
    Ok(if taken_away + never_held > 0 { Verdict::Broken } else { Verdict::Held })
}
