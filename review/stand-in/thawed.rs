//! A key that is taken away while an entry node is frozen.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    http::{self, Connection, Message},
    names::{EXPECT_INSTANCE, NOT_EXECUTED, PUT_CONFIG, SEAL},
    nodes::{Nodes, SIGCONT, SIGSTOP, address, free_network},
    record::Record,
};

const WORKERS: u8 = 3;
/// Entry nodes, as in the site; one of them is frozen.
const ENTRIES: u8 = 6;
const REVOKE_LIMIT: Duration = Duration::from_millis(5_000);
const FREEZE: Duration = Duration::from_millis(7_000);
/// Rounds of freeze and revocation; the first in which the rule is broken is the last.
const ROUNDS: u32 = 8;
/// Clients, each with a connection that it keeps.
const CLIENTS: u32 = 700;
/// The clients send their requests from this time before the freeze ends.
const LEAD: Duration = Duration::from_millis(500);
/// Time over which they do.
const SPREAD: Duration = Duration::from_millis(1_000);

struct World {
    record: Record,
    ran: Mutex<BTreeSet<String>>,
}

impl World {
    fn serve(&self, number: u8, request: &Message, connection: &mut Connection) -> std::io::Result<()> {
        let id = format!("i-{number}");
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
}

/// A config in which the keys of the rounds before `first` have been taken away from the tenant `office`.
fn config(version: u32, first: u32) -> String {
    let keys = (first..=ROUNDS).map(|round| format!("\"key-{round}\"")).collect::<Vec<_>>().join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"cues\",\"host\":\"a.example\",\"path_prefix\":\"/cues/\",\
         \"kind\":\"safe\",\"timeout_ms\":1500,\"goal_ms\":300,\"priority\":0,\"service\":\"booth\",\"max_attempts\":1,\
         \"public\":false}}],\"services\":[{{\"name\":\"booth\",\"health_path\":\"/healthz\",\"max_conns\":960,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"house\",\"api_keys\":[\"key-house\"]}},\
         {{\"name\":\"office\",\"api_keys\":[{keys}]}}]}}"
    )
}

/// Takes and gives a process its processor as an allotment of a quarter of each tenth of a second, until it is told to stop.
struct Allotment {
    host: u8,
    is_frozen: AtomicBool,
    has_ended: AtomicBool,
}

impl Allotment {
    fn run(&self, nodes: &Nodes) {
        while !self.has_ended.load(Ordering::SeqCst) {
            if self.is_frozen.load(Ordering::SeqCst) {
                nodes.signal(self.host, SIGSTOP);
                sleep(Duration::from_millis(1));
                continue;
            }
            nodes.signal(self.host, SIGCONT);
            sleep(Duration::from_millis(25));
            nodes.signal(self.host, SIGSTOP);
            sleep(Duration::from_millis(75));
        }
        nodes.signal(self.host, SIGCONT);
    }
}

/// A client with a connection that it keeps: sends one request at the start, and one at `second_at`.
fn client(record: &Record, nodes: &Nodes, round: u32, number: u32, second_at: impl Fn() -> Option<Instant>) {
    let Ok(mut connection) = Connection::open(nodes.callers(0), Duration::from_secs(4)) else { return };
    for phase in ["early", "late"] {
        if phase == "late" {
            loop {
                match second_at() {
                    Some(at) if Instant::now() >= at => break,
                    Some(at) => sleep(at.saturating_duration_since(Instant::now())),
                    None => sleep(Duration::from_millis(20)),
                }
            }
        }
        let id = format!("{phase}-{round}-{number}");
        let key = format!("Bearer key-{round}");
        let headers = [
            ("host", "a.example"),
            ("x-request-id", id.as_str()),
            ("x-deadline-ms", "3000"),
            ("authorization", key.as_str()),
        ];
        record.line(&format!("client: {id} is sent"));
        let sent = connection.write("GET /cues/7 HTTP/1.1", &headers, b"");
        let answer = sent.and_then(|()| connection.read());
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        record.line(&format!("client: {id} answered {status}"));
    }
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
                "{{\"service\":\"booth\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
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
    nodes.order(record, PUT_CONFIG, &config(1, 1))?;
    nodes.wait_until_ready(0)?;
    sleep(Duration::from_secs(1));
    let allotment =
        Allotment { host: 11, is_frozen: AtomicBool::new(false), has_ended: AtomicBool::new(false) };
    thread::scope(|scope| {
        scope.spawn(|| allotment.run(&nodes));
        let played = (1..=ROUNDS).try_fold(0, |ran, round| match ran {
            0 => play_round(record, &nodes, &world, &allotment, round, is_disrupted),
            ran => Ok(ran),
        });
        allotment.has_ended.store(true, Ordering::SeqCst);
        // CONFIG: a request sent later than `revoke_ms` after the confirmation of a config that took its key away runs.
        played.map(|ran| if ran > 0 { Verdict::Broken } else { Verdict::Held })
    })
}

/// Takes the key of a round away while the entry node is frozen; returns how many requests with it ran that were sent too late.
fn play_round(
    record: &Record,
    nodes: &Nodes,
    world: &World,
    allotment: &Allotment,
    round: u32,
    is_disrupted: bool,
) -> Result<usize, String> {
    let thaws_at: Mutex<Option<Instant>> = Mutex::new(None);
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let thaws_at = &thaws_at;
            let after = SPREAD.mul_f64(f64::from(number) / f64::from(CLIENTS));
            scope.spawn(move || {
                client(record, nodes, round, number, || thaws_at.lock().unwrap().map(|at| at - LEAD + after));
            });
            sleep(Duration::from_millis(3));
        }
        sleep(Duration::from_millis(500));
        let frozen_at = Instant::now();
        if is_disrupted {
            allotment.is_frozen.store(true, Ordering::SeqCst);
            record.line("the entry node is frozen");
        }
        sleep(Duration::from_millis(300));
        let confirmed = nodes.order(record, PUT_CONFIG, &config(round + 1, round + 1));
        *thaws_at.lock().unwrap() = Some(frozen_at + FREEZE);
        sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
        allotment.is_frozen.store(false, Ordering::SeqCst);
        record.line("the entry node goes on");
        sleep(SPREAD);
        let confirmed_at = confirmed?;
        // The first of these requests is sent LEAD before the freeze ends.
        if confirmed_at + REVOKE_LIMIT >= frozen_at + FREEZE - LEAD {
            return Err("the config was confirmed too late".to_owned());
        }
        Ok(())
    })?;
    let late = format!("late-{round}-");
    let ran = world.ran.lock().unwrap().iter().filter(|id| id.starts_with(&late)).count();
    record.line(&format!(
        "{ran} of {CLIENTS} requests ran that were sent later than {REVOKE_LIMIT:?} after the confirmation"
    ));
    Ok(ran)
}
