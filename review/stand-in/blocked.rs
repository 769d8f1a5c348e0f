//! Workers that crash one after the other while they run requests that are alike, none of which is to blame.

use std::{
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, sleep},
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
const ENTRIES: u8 = 2;
/// Time that a request runs.
const RUN: Duration = Duration::from_millis(60);
/// Time for which a worker that crashed is down.
const DOWN: Duration = Duration::from_secs(5);
/// Time between two crashes.
const CRASH_INTERVAL: Duration = Duration::from_millis(5_500);
/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(95);
/// The list is as old as this.
const LIST_LAG: Duration = Duration::from_millis(800);

/// One worker, which has a new id after each crash.
#[derive(Default)]
struct Worker {
    starts: AtomicU64,
    /// Connections that are open now; none while the worker is down.
    connections: Mutex<Option<Vec<TcpStream>>>,
    /// Requests of the tenant `booth` that run now.
    running: AtomicU64,
}

struct World {
    record: Record,
    workers: Vec<Worker>,
    network: (u8, u8),
}

impl World {
    fn id(&self, number: u8) -> String {
        format!("i-{number}-{}", self.workers[usize::from(number)].starts.load(Ordering::SeqCst))
    }

    /// Starts a worker; it serves until it crashes.
    fn start(self: &Arc<Self>, number: u8) {
        let worker = &self.workers[usize::from(number)];
        worker.starts.fetch_add(1, Ordering::SeqCst);
        let place = address(self.network, 31 + number, 8_080);
        let listener = loop {
            match TcpListener::bind(place) {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).expect("a listener cannot be set up");
        *worker.connections.lock().unwrap() = Some(Vec::new());
        let id = self.id(number);
        self.record.line(&format!("{id} starts"));
        let world = Arc::clone(self);
        thread::spawn(move || {
            loop {
                let worker = &world.workers[usize::from(number)];
                if worker.connections.lock().unwrap().is_none() {
                    return;
                }
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let Ok(copy) = stream.try_clone() else { continue };
                match worker.connections.lock().unwrap().as_mut() {
                    Some(open) => open.push(copy),
                    None => return,
                }
                let (world, id) = (Arc::clone(&world), id.clone());
                thread::spawn(move || {
                    let mut connection = Connection::over(stream);
                    while let Ok(Some(request)) = connection.read() {
                        if world.serve(number, &id, &request, &mut connection).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    fn serve(
        &self,
        number: u8,
        id: &str,
        request: &Message,
        connection: &mut Connection,
    ) -> std::io::Result<()> {
        let worker = &self.workers[usize::from(number)];
        let request_id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.header(EXPECT_INSTANCE).is_some_and(|expected| expected != id) {
            let headers = [("x-request-id", request_id.as_str()), (NOT_EXECUTED, "1")];
            return connection.write("HTTP/1.1 421 Misdirected", &headers, b"");
        }
        if request.path() == "/healthz" {
            return connection.write("HTTP/1.1 200 OK", &[("x-instance-id", id)], b"");
        }
        self.record.line(&format!("{id}: {request_id} runs"));
        let is_counted = request.header("x-tenant") == Some("booth");
        if is_counted {
            worker.running.fetch_add(1, Ordering::SeqCst);
        }
        sleep(RUN);
        if is_counted {
            worker.running.fetch_sub(1, Ordering::SeqCst);
        }
        let headers = [("x-request-id", request_id.as_str()), (SEAL, "seal"), ("content-type", "text/plain")];
        connection.write("HTTP/1.1 200 OK", &headers, b"the running order")
    }

    /// Crashes a worker while it runs a request of the tenant `booth`, and starts it again.
    fn crash(self: &Arc<Self>, number: u8) {
        let worker = &self.workers[usize::from(number)];
        let end = Instant::now() + Duration::from_secs(3);
        while worker.running.load(Ordering::SeqCst) == 0 && Instant::now() < end {
            sleep(Duration::from_millis(2));
        }
        let open = worker.connections.lock().unwrap().take().unwrap_or_default();
        for connection in open {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("{} crashes", self.id(number)));
        sleep(DOWN);
        worker.running.store(0, Ordering::SeqCst);
        self.start(number);
    }

    fn list_text(&self) -> String {
        let entries: Vec<String> = (0..WORKERS)
            .map(|number| {
                format!(
                    "{{\"service\":\"booth\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\
                     \"cold_left_ms\":0,\"id\":\"{}\",\"born\":{}}}",
                    address(self.network, 31 + number, 8_080),
                    self.id(number),
                    self.workers[usize::from(number)].starts.load(Ordering::SeqCst),
                )
            })
            .collect();
        format!("{{\"instances\":[{}],\"next_token\":null}}", entries.join(","))
    }
}

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"order","host":"a.example","path_prefix":"/order/","kind":"safe","timeout_ms":1500,"goal_ms":300,"priority":0,"service":"booth","max_attempts":2,"public":false}],"services":[{"name":"booth","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"booth","api_keys":["key-booth"]},{"name":"office","api_keys":["key-office"]}]}"#;

/// What became of the requests of one tenant.
#[derive(Default)]
struct Served {
    asked: AtomicU64,
    served: AtomicU64,
}

/// Sends one request, and once more at the other machine if it fails, as the clients of the site do.
fn ask(record: &Record, nodes: &Nodes, tenant: &str, number: u32, counts: &Served) {
    // All requests of `booth` are for the same page; those of `office` are for new ones.
    let path = if tenant == "booth" { "/order/running".to_owned() } else { format!("/order/{number}") };
    let key = format!("Bearer key-{tenant}");
    counts.asked.fetch_add(1, Ordering::SeqCst);
    for attempt in 0..2_u32 {
        let id = format!("{tenant}-{number}-{attempt}");
        let headers = [
            ("host", "a.example"),
            ("x-request-id", &id),
            ("x-deadline-ms", "3000"),
            ("authorization", &key),
        ];
        let entry = ((number + attempt) % u32::from(ENTRIES)) as u8;
        let answer = http::call(nodes.callers(entry), "GET", &path, &headers, "", Duration::from_secs(3));
        let header = |name: &str| answer.as_ref().and_then(|answer| answer.header(name));
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!(
            "client: {id} answered {status} {}",
            header("x-daisysill-result-code").unwrap_or("-")
        ));
        if status == 200 {
            counts.served.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let wait: f64 = header("retry-after").and_then(|wait| wait.parse().ok()).unwrap_or(0.1);
        sleep(Duration::from_secs_f64(wait.min(1.0)));
    }
}

/// Sends a request every `interval` until `end`, whatever became of the ones before.
fn send(record: &Record, nodes: &Nodes, tenant: &str, interval: Duration, counts: &Served, end: Instant) {
    thread::scope(|scope| {
        let mut number = 0;
        let mut next = Instant::now();
        while next < end {
            sleep(next.saturating_duration_since(Instant::now()));
            scope.spawn(move || ask(record, nodes, tenant, number, counts));
            number += 1;
            next += interval;
        }
    });
}

pub fn play(record: &Record, is_disrupted: bool) -> Result<Verdict, String> {
    let network = free_network()?;
    let workers = (0..WORKERS).map(|_| Worker::default()).collect();
    let world = Arc::new(World { record: record.clone(), workers, network });
    for number in 0..WORKERS {
        world.start(number);
    }
    let listed = Arc::new(Mutex::new(world.list_text()));
    let list = address(network, 60, 8_007);
    let shown = Arc::clone(&listed);
    http::serve(list, move |_, connection| {
        let text = shown.lock().unwrap().clone();
        connection.write("HTTP/1.1 200 OK", &[("content-type", "application/json")], text.as_bytes())
    });
    let seen = Arc::clone(&world);
    thread::spawn(move || {
        loop {
            let now = seen.list_text();
            sleep(LIST_LAG);
            *listed.lock().unwrap() = now;
        }
    });
    let nodes = Nodes::start(network, 3, ENTRIES, list)?;
    nodes.order(record, PUT_CONFIG, CONFIG)?;
    for entry in 0..ENTRIES {
        nodes.wait_until_ready(entry)?;
    }
    sleep(Duration::from_secs(2));
    let (booth, office) = (Served::default(), Served::default());
    let end = Instant::now() + LENGTH;
    thread::scope(|scope| {
        scope.spawn(|| send(record, &nodes, "booth", Duration::from_millis(100), &booth, end));
        scope.spawn(|| send(record, &nodes, "office", Duration::from_millis(33), &office, end));
        if is_disrupted {
            sleep(Duration::from_secs(1));
            for number in 0..WORKERS {
                let next = Instant::now() + CRASH_INTERVAL;
                world.crash(number);
                sleep(next.saturating_duration_since(Instant::now()));
            }
        }
    });
    let share = |asked: u64, served: u64| served as f64 / asked.max(1) as f64;
    let (asked, served) = (booth.asked.load(Ordering::SeqCst), booth.served.load(Ordering::SeqCst));
    let (others, others_served) = (office.asked.load(Ordering::SeqCst), office.served.load(Ordering::SeqCst));
    let of_tenant = share(asked, served);
    let of_all = share(asked + others, served + others_served);
    record.line(&format!(
        "booth: {served} of {asked} served; office: {others_served} of {others}; share of booth {of_tenant:.3}, of all {of_all:.3}"
    ));
    // Starved: a tenant's requests are served less than a quarter as often as all.
    Ok(if of_tenant < of_all / 4.0 { Verdict::Broken } else { Verdict::Held })
}
