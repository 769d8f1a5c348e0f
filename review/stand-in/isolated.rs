//! A tenant that becomes isolated while workers hold KV cache that its requests made.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread::sleep,
    time::Duration,
};

use crate::{
    Verdict,
    http::{self, Connection, Message},
    names::{CACHE_SCOPE, EXPECT_INSTANCE, NOT_EXECUTED, PROMPT_PARTS, PUT_CONFIG, SEAL, TOKENS},
    nodes::{Nodes, address, free_network},
    record::Record,
};

const WORKERS: u8 = 3;
const ENTRIES: u8 = 2;
/// `config_apply_ms` of the settings.
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);
/// Requests of each tenant.
const REQUESTS: u32 = 24;

struct World {
    record: Record,
    /// By worker, cache scope and part: the tenant whose request made the KV cache.
    made_by: Mutex<BTreeMap<(u8, String, String), String>>,
    /// Uses of KV cache that a request of another tenant made.
    foreign: Mutex<u32>,
}

impl World {
    fn serve(&self, number: u8, request: &Message, connection: &mut Connection) -> std::io::Result<()> {
        let id = format!("i-{number}");
        let request_id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.header(EXPECT_INSTANCE).is_some_and(|expected| expected != id) {
            let headers = [("x-request-id", request_id.as_str()), (NOT_EXECUTED, "1")];
            return connection.write("HTTP/1.1 421 Misdirected", &headers, b"");
        }
        if request.method() == "GET" {
            let body = "{\"born\":1,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":0}";
            return connection.write(
                "HTTP/1.1 200 OK",
                &[("content-type", "application/json")],
                body.as_bytes(),
            );
        }
        let tenant = request.header("x-tenant").unwrap_or("none").to_owned();
        let salt = request.header(CACHE_SCOPE).unwrap_or("").to_owned();
        let parts = request.header(PROMPT_PARTS).unwrap_or("").to_owned();
        self.record.line(&format!("{id}: {request_id} of {tenant} runs, salt {salt:?}, parts {parts}"));
        let mut made_by = self.made_by.lock().unwrap();
        // Found if all parts before it were found too.
        let mut all_found = true;
        for part in parts.split(',') {
            let key = (number, salt.clone(), part.to_owned());
            match made_by.get(&key) {
                Some(maker) if all_found => {
                    if *maker != tenant {
                        *self.foreign.lock().unwrap() += 1;
                        self.record.line(&format!(
                            "{id}: {request_id} of {tenant} uses part {part} that a request of {maker} made"
                        ));
                    }
                }
                _ => {
                    all_found = false;
                    made_by.entry(key).or_insert_with(|| tenant.clone());
                }
            }
        }
        drop(made_by);
        sleep(Duration::from_millis(20));
        let headers = [
            ("x-request-id", request_id.as_str()),
            (SEAL, "seal"),
            ("x-weight-versions", "1"),
            ("content-type", "text/event-stream"),
        ];
        connection.write("HTTP/1.1 200 OK", &headers, b"id: 1\ndata: a\n\n")
    }

    /// Sends prompts of a tenant that share their first part; the last one is their own.
    fn ask(&self, nodes: &Nodes, tenant: &str) -> u32 {
        let mut served = 0;
        for number in 0..REQUESTS {
            let id = format!("{tenant}-{number}");
            let bearer = format!("Bearer key-{tenant}");
            let parts = format!("5c1e07a2:800,{}{number:04x}:100", if tenant == "red" { "a" } else { "b" });
            let headers = [
                ("host", "a.example"),
                ("x-request-id", id.as_str()),
                ("x-deadline-ms", "3000"),
                ("authorization", bearer.as_str()),
                ("x-model", "m"),
                (TOKENS, "900,10"),
                (PROMPT_PARTS, parts.as_str()),
            ];
            let entry = (number % u32::from(ENTRIES)) as u8;
            let answer =
                http::call(nodes.callers(entry), "POST", "/ask/", &headers, "ask", Duration::from_secs(3));
            let status = answer.map_or(0, |answer| answer.status());
            served += u32::from(status == 200);
            self.record.line(&format!("client: {id} answered {status}"));
            sleep(Duration::from_millis(40));
        }
        served
    }
}

fn config(version: u32, is_red_isolated: bool) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"ask\",\"host\":\"a.example\",\"path_prefix\":\"/ask/\",\
         \"kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":400,\"priority\":0,\"service\":\"engine\",\"max_attempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"gap_goal_ms\":300}}],\"services\":[{{\"name\":\"engine\",\
         \"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kv_capacity\":105242,\"kv_token_bytes\":163840,\"link_mbps\":260000.0,\"stride\":5,\"max_inflight\":12,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"red\",\"api_keys\":[\"key-red\"],\
         \"isolated\":{is_red_isolated}}},{{\"name\":\"blue\",\"api_keys\":[\"key-blue\"],\"isolated\":false}}]}}"
    )
}

pub fn play(record: &Record, is_disrupted: bool) -> Result<Verdict, String> {
    let network = free_network()?;
    let world =
        Arc::new(World { record: record.clone(), made_by: Mutex::default(), foreign: Mutex::default() });
    for number in 0..WORKERS {
        let world = Arc::clone(&world);
        http::serve(address(network, 31 + number, 8_080), move |request, connection| {
            world.serve(number, request, connection)
        });
    }
    let entries: Vec<String> = (0..WORKERS)
        .map(|number| {
            let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3];
            format!(
                "{{\"service\":\"engine\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
                 \"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"id\":\"i-{number}\",\"born\":1}}",
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
    nodes.order(record, PUT_CONFIG, &config(1, false))?;
    for entry in 0..ENTRIES {
        nodes.wait_until_ready(entry)?;
    }
    sleep(Duration::from_secs(2));
    if world.ask(&nodes, "red") == 0 {
        return Err("no request of the tenant red was served".to_owned());
    }
    nodes.order(record, PUT_CONFIG, &config(2, is_disrupted))?;
    sleep(APPLY_LIMIT + Duration::from_secs(1));
    let before = *world.foreign.lock().unwrap();
    if world.ask(&nodes, "blue") == 0 {
        return Err("no request of the tenant blue was served".to_owned());
    }
    let foreign = *world.foreign.lock().unwrap() - before;
    let state = if is_disrupted { "isolated" } else { "not isolated" };
    record.line(&format!(
        "red is {state}; requests of blue used KV cache that requests of red made {foreign} times"
    ));
    // WALL: a request uses KV cache that a request of another tenant made, and one of the two is isolated.
    Ok(if is_disrupted && foreign > 0 { Verdict::Broken } else { Verdict::Held })
}
