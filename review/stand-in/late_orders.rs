//! Orders that get no answer and are carried out late, after newer ones.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    http::{self, Connection, Message, json_field},
    names::{
        EXPECT_INSTANCE, EXPECT_VERSION, NOT_EXECUTED, PROMPT_PARTS, PUT_CONFIG, PUT_VERSION, SEAL, TOKENS,
    },
    nodes::{Nodes, address, free_network},
    record::Record,
};

/// Workers of the service.
const WORKERS: u8 = 6;
/// How long after its arrival a late order is carried out; the bench carries them out after 2 to 12 s.
const LATE: Duration = Duration::from_millis(11_500);
/// Time that new weights take a worker.
const LOAD: Duration = Duration::from_millis(270);
/// `version_ms` of the settings.
const VERSION_LIMIT: Duration = Duration::from_millis(6_000);
/// The list is as old as this.
const LIST_LAG: Duration = Duration::from_millis(800);
/// Time that a request runs.
const RUN: Duration = Duration::from_millis(40);

struct Worker {
    id: String,
    version: AtomicU64,
    /// Number of orders accepted.
    accepted: AtomicU64,
    is_loading: AtomicBool,
    /// Whether the next order gets no answer and is carried out late.
    leaves_next: AtomicBool,
}

struct World {
    record: Record,
    workers: Vec<Worker>,
    /// Whether orders may be left unanswered now.
    is_disrupted: AtomicBool,
    /// Orders that arrived while they may be.
    orders: AtomicU64,
    left: AtomicU64,
}

impl World {
    /// Begins to carry out an order; the status is the answer to it.
    fn begin(&self, number: usize, order: &str) -> u16 {
        let worker = &self.workers[number];
        let field = |name: &str| json_field(order, name);
        let Some(version) = field("version").and_then(|version| version.parse::<u64>().ok()) else {
            return 400;
        };
        if field("holder").is_none() || field("fence").is_none() {
            return 400;
        }
        let precondition = field("precondition").and_then(|expected| expected.parse::<u64>().ok());
        if precondition.is_some_and(|expected| expected != worker.accepted.load(Ordering::SeqCst)) {
            return 409;
        }
        if worker.version.load(Ordering::SeqCst) == version {
            return 200;
        }
        if worker.is_loading.swap(true, Ordering::SeqCst) {
            return 409;
        }
        worker.accepted.fetch_add(1, Ordering::SeqCst);
        202
    }

    /// Loads the weights of an order that was accepted.
    fn carry_out(&self, number: usize, order: &str) {
        let worker = &self.workers[number];
        let version = json_field(order, "version").and_then(|version| version.parse().ok()).unwrap_or(0);
        // Runs finish first.
        sleep(RUN + LOAD);
        let before = worker.version.swap(version, Ordering::SeqCst);
        worker.is_loading.store(false, Ordering::SeqCst);
        self.record.line(&format!("{}: weights {before} -> {version}", worker.id));
    }

    fn order(
        self: &Arc<Self>,
        number: usize,
        request: &Message,
        connection: &mut Connection,
    ) -> std::io::Result<()> {
        let worker = &self.workers[number];
        let order = request.text();
        if self.is_disrupted.load(Ordering::SeqCst) {
            self.orders.fetch_add(1, Ordering::SeqCst);
            if worker.leaves_next.swap(false, Ordering::SeqCst) {
                self.left.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!(
                    "{}: order {order} gets no answer, is carried out in {LATE:?}",
                    worker.id
                ));
                let world = Arc::clone(self);
                thread::spawn(move || {
                    sleep(LATE);
                    let status = world.begin(number, &order);
                    world
                        .record
                        .line(&format!("{}: late order {order} -> {status}", world.workers[number].id));
                    if status == 202 {
                        world.carry_out(number, &order);
                    }
                });
                // Keeps the connection without an answer until the caller closes it.
                let _ = connection.read();
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        let status = self.begin(number, &order);
        self.record.line(&format!("{}: order {order} -> {status}", worker.id));
        if status == 202 {
            let world = Arc::clone(self);
            thread::spawn(move || world.carry_out(number, &order));
        }
        connection.write(&format!("HTTP/1.1 {status} Order"), &[("x-instance-id", &worker.id)], b"")
    }

    fn serve(
        self: &Arc<Self>,
        number: usize,
        request: &Message,
        connection: &mut Connection,
    ) -> std::io::Result<()> {
        let worker = &self.workers[number];
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let expected = request.header(EXPECT_INSTANCE);
        let version = worker.version.load(Ordering::SeqCst).to_string();
        if expected.is_some_and(|expected| expected != worker.id) {
            return connection.write(
                "HTTP/1.1 421 Misdirected",
                &[("x-request-id", &id), (NOT_EXECUTED, "1")],
                b"",
            );
        }
        match (request.method(), request.path()) {
            ("GET", "/healthz") => connection.write("HTTP/1.1 200 OK", &[("x-instance-id", &worker.id)], b""),
            ("GET", "/report") => {
                let busy = worker.is_loading.load(Ordering::SeqCst);
                let accepted = worker.accepted.load(Ordering::SeqCst);
                let body = format!(
                    "{{\"born\":1,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":{version},\"adapters\":[]}}],\
                     \"busy\":{busy},\"seq\":{accepted},\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0}}"
                );
                let headers = [("content-type", "application/json"), ("x-instance-id", worker.id.as_str())];
                connection.write("HTTP/1.1 200 OK", &headers, body.as_bytes())
            }
            ("POST", "/order") => self.order(number, request, connection),
            _ => {
                let expected = request.header(EXPECT_VERSION);
                let not_run = [
                    ("x-request-id", id.as_str()),
                    (NOT_EXECUTED, "1"),
                    ("x-weight-versions", version.as_str()),
                ];
                if expected.is_some_and(|expected| expected != version) {
                    self.record.line(&format!(
                        "{}: request {id} for weights {expected:?}, has {version}: 421",
                        worker.id
                    ));
                    return connection.write("HTTP/1.1 421 Misdirected", &not_run, b"");
                }
                if worker.is_loading.load(Ordering::SeqCst) {
                    return connection.write("HTTP/1.1 503 Loading", &not_run, b"");
                }
                self.record.line(&format!("{}: request {id} runs on weights {version}", worker.id));
                sleep(RUN);
                let headers = [
                    ("x-request-id", id.as_str()),
                    (SEAL, "seal"),
                    ("x-weight-versions", version.as_str()),
                    ("content-type", "text/event-stream"),
                ];
                connection.write("HTTP/1.1 200 OK", &headers, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
            }
        }
    }

    fn list_text(&self, network: (u8, u8)) -> String {
        let entries: Vec<String> = (0..).zip(&self.workers)
            .map(|(number, worker)| {
                let version = worker.version.load(Ordering::SeqCst);
                let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3];
                format!(
                    "{{\"service\":\"engine\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
                     \"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":{version},\"adapters\":[]}}],\
                     \"id\":\"{}\",\"born\":1}}",
                    address(network, 31 + number, 8_080),
                    worker.id,
                )
            })
            .collect();
        format!("{{\"instances\":[{}],\"next_token\":null}}", entries.join(","))
    }
}

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":8000,"goal_ms":400,"priority":0,"service":"engine","max_attempts":2,"public":true,"sticky":true,"resumable":true,"gap_goal_ms":300}],"services":[{"name":"engine","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":105242,"kv_token_bytes":163840,"link_mbps":260000.0,"stride":5,"max_inflight":12,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Sends a request every 100 ms to one entry node after the other, until `end`.
fn send_requests(record: &Record, nodes: &Nodes, end: Instant) {
    let mut number = 0_u32;
    while Instant::now() < end {
        number += 1;
        let id = format!("r{number:05}");
        let headers = [
            ("host", "a.example"),
            ("x-request-id", id.as_str()),
            ("x-deadline-ms", "8000"),
            ("x-model", "m"),
            (TOKENS, "100,10"),
            (PROMPT_PARTS, "a1:60,b2:40"),
        ];
        let entry = (number % 2) as u8;
        let answer =
            http::call(nodes.callers(entry), "POST", "/ask/", &headers, "ask", Duration::from_secs(8));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("client: {id} answered {status}"));
        sleep(Duration::from_millis(100));
    }
}

pub fn play(record: &Record, is_disrupted: bool) -> Result<Verdict, String> {
    let network = free_network()?;
    let workers = (0..WORKERS)
        .map(|number| Worker {
            id: format!("i-{number}"),
            version: AtomicU64::new(1),
            accepted: AtomicU64::new(0),
            is_loading: AtomicBool::new(false),
            leaves_next: AtomicBool::new(number % 3 == 0),
        })
        .collect();
    let world = Arc::new(World {
        record: record.clone(),
        workers,
        is_disrupted: AtomicBool::new(false),
        orders: AtomicU64::new(0),
        left: AtomicU64::new(0),
    });
    for number in 0..WORKERS {
        let world = Arc::clone(&world);
        http::serve(address(network, 31 + number, 8_080), move |request, connection| {
            world.serve(usize::from(number), request, connection)
        });
    }
    let listed = Arc::new(Mutex::new(world.list_text(network)));
    let list = address(network, 60, 8_007);
    let shown = Arc::clone(&listed);
    http::serve(list, move |_, connection| {
        let text = shown.lock().unwrap().clone();
        connection.write("HTTP/1.1 200 OK", &[("content-type", "application/json")], text.as_bytes())
    });
    let seen = Arc::clone(&world);
    thread::spawn(move || {
        loop {
            let now = seen.list_text(network);
            sleep(LIST_LAG);
            *listed.lock().unwrap() = now;
        }
    });

    let nodes = Nodes::start(network, 3, 2, list)?;
    nodes.order(record, PUT_CONFIG, CONFIG)?;
    for entry in 0..2 {
        nodes.wait_until_ready(entry)?;
    }
    // The lease for orders may be used 3 s after it was granted.
    sleep(Duration::from_secs(6));
    let began = Instant::now();
    let ends = began + Duration::from_secs(30);
    let confirmed_at = thread::scope(|scope| {
        scope.spawn(|| send_requests(record, &nodes, ends));
        world.is_disrupted.store(is_disrupted, Ordering::SeqCst);
        nodes.order(record, PUT_VERSION, r#"{"model":"m","version":2}"#)?;
        sleep(Duration::from_secs(3));
        let confirmed_at = nodes.order(record, PUT_VERSION, r#"{"model":"m","version":3}"#);
        sleep(Duration::from_secs(4));
        // The disruption has lasted 7 s, as long as in a standard day.
        world.is_disrupted.store(false, Ordering::SeqCst);
        confirmed_at
    })?;

    let held: Vec<u64> = world.workers.iter().map(|worker| worker.version.load(Ordering::SeqCst)).collect();
    let outdated = held.iter().filter(|version| **version < 3).count();
    let (left, orders) = (world.left.load(Ordering::SeqCst), world.orders.load(Ordering::SeqCst));
    record.line(&format!(
        "{left} of {orders} orders in the disruption got no answer; {:.1} s after the confirmation of version 3 the workers hold {held:?}",
        confirmed_at.elapsed().as_secs_f64()
    ));
    // VERSION: when the traffic ends, more than one worker and over a tenth of them still have an older version, after
    // 1.5 x `version_ms` since the confirmation.
    let is_due = confirmed_at.elapsed() > VERSION_LIMIT.mul_f64(1.5);
    if is_disrupted && left < 2 {
        return Err("fewer than two orders could be left unanswered".to_owned());
    }
    let is_broken = is_due && outdated > 1 && outdated * 10 > held.len();
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
