//! A worker repeats the beginning of an answer that it gave before, cut inside its first line, where the next answer is due.

use std::{
    collections::HashMap,
    net::TcpListener,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    names::{EXPECT_INSTANCE, SEAL},
    nodes::{Nodes, has_trouble, zone},
    record::Record,
};

/// Time for which answers are spoiled.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const WORKERS: usize = 4;
/// Of these workers, half, one answer in this many is spoiled.
const SPOILED_EVERY: usize = 34;
const CLIENTS: usize = 8;
/// One request in this many fails at its worker.
const FAILED_EVERY: usize = 8;

/// What a worker answered to a request: its status, and the proof.
type Answers = Arc<Mutex<HashMap<String, (u16, String)>>>;

struct Worker {
    id: String,
    is_faulty: bool,
    count: AtomicUsize,
    spoiled: AtomicUsize,
    is_on: Arc<AtomicBool>,
    answers: Answers,
    record: Record,
}

impl Worker {
    /// Serves one connection. What is spoiled stays whole: the answer follows the additional bytes, which belong to no request.
    fn serve(&self, mut connection: Connection) {
        let mut last: Option<String> = None;
        while let Ok(request) = connection.read() {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            if request.header(EXPECT_INSTANCE).is_some_and(|expected| expected != self.id) {
                let other = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
                if connection.write(other.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let fails = request.text().contains("fails");
            let (status, reason) = if fails { (500, "Internal Server Error") } else { (200, "OK") };
            let seal = format!("{}.{id}.{status}", self.id);
            self.record.line(&format!("worker {} runs {id} ({}), answers {status}", self.id, request.start));
            self.answers.lock().unwrap().insert(id.clone(), (status, seal.clone()));
            thread::sleep(Duration::from_millis(15));
            let body = format!("result of {id} by {}: {status}\n", self.id);
            let answer = format!(
                "HTTP/1.1 {status} {reason}\r\nX-Request-Id: {id}\r\n{SEAL}: {seal}\r\nContent-Type: \
                 text/plain\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if self.is_faulty && self.is_on.load(Ordering::Relaxed) {
                let before =
                    last.as_ref().filter(|before| !before.starts_with(&format!("HTTP/1.1 {status}")));
                let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
                let is_due = self.spoiled.load(Ordering::Relaxed) < count / SPOILED_EVERY;
                if let Some(before) = before.filter(|_| is_due) {
                    let number = self.spoiled.fetch_add(1, Ordering::Relaxed);
                    // Each break is one byte further inside the first line.
                    let line = before.find("\r\n").unwrap_or(0);
                    let cut = 13 + number % (line - 12);
                    let extra = &before[..cut];
                    self.record.line(&format!(
                        "worker {} sends the beginning of an earlier answer before that to {id}: {extra:?}",
                        self.id
                    ));
                    if connection.write(extra.as_bytes()).is_err() {
                        return;
                    }
                }
            }
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
            last = Some(answer);
        }
    }
}

fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":3000,\"goal_ms\":300,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":{attempts},\
             \"public\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"ledger\",\"health_path\":\"/healthz\",\
         \"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"house\",\"api_keys\":[\"key1\"],\"priority\":1}}]}}",
        route("renew", "unsafe", 1),
        route("look", "safe", 1),
    )
}

/// Plays the case; returns the exit code.
pub fn run(folder: &Path) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let nodes = Nodes::start(2, &record);
    let answers = Answers::default();
    let is_on = Arc::new(AtomicBool::new(false));
    let mut listed = Vec::new();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let listener = TcpListener::bind((nodes.workers_ip, 0)).unwrap();
        let id = format!("i-{number}");
        listed.push((id.clone(), "ledger", listener.local_addr().unwrap(), zone(number), 6));
        let worker = Arc::new(Worker {
            id,
            is_faulty: number % 2 == 0,
            count: AtomicUsize::new(0),
            spoiled: AtomicUsize::new(0),
            is_on: Arc::clone(&is_on),
            answers: Arc::clone(&answers),
            record: record.clone(),
        });
        workers.push(Arc::clone(&worker));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&worker);
                thread::spawn(move || Connection::over(stream).map(|connection| worker.serve(connection)));
            }
        });
    }
    nodes.list(&listed);
    if !nodes.become_ready(&config(), &record) {
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    is_on.store(has_trouble(), Ordering::Relaxed);
    let start = Instant::now();
    let broken = Arc::new(AtomicUsize::new(0));
    let (sent, good) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = nodes.edge[client % nodes.edge.len()].front();
            let (record, answers) = (record.clone(), Arc::clone(&answers));
            let (broken, sent, good) = (Arc::clone(&broken), Arc::clone(&sent), Arc::clone(&good));
            thread::spawn(move || {
                let mut connection = None;
                let mut number = 0;
                while start.elapsed() < TROUBLE_TIME {
                    thread::sleep(Duration::from_millis(20));
                    number += 1;
                    let id = format!("{client:x}{number:06x}");
                    let route = if client % 4 < 2 { "renew" } else { "look" };
                    let body = if number % FAILED_EVERY == client % FAILED_EVERY { "fails" } else { "holds" };
                    let mut open = match connection.take() {
                        Some(open) => open,
                        None => match Connection::connect(front) {
                            Ok(open) => open,
                            Err(_) => continue,
                        },
                    };
                    let headers = format!(
                        "Host: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\n"
                    );
                    sent.fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("client {client} sends {id} to /{route}/x"));
                    let Ok(answer) = open.call("POST", &format!("/{route}/x"), &headers, body) else {
                        record.line(&format!("client {client} gets no answer to {id}"));
                        continue;
                    };
                    let seal = answer.header(SEAL).map(str::to_owned);
                    let closes = answer.header("connection").is_some_and(|value| value == "close");
                    if !closes {
                        connection = Some(open);
                    }
                    record.line(&format!("client {client} gets {} to {id}, proof {seal:?}", answer.status()));
                    if answer.status() == 200 {
                        good.fetch_add(1, Ordering::Relaxed);
                    }
                    let Some(seal) = seal else { continue };
                    let known = answers.lock().unwrap().get(&id).cloned();
                    let is_that = known.as_ref() == Some(&(answer.status(), seal));
                    if !is_that {
                        broken.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!(
                            "BROKEN (MIXED): {id} has the proof of a worker that answered {known:?}, and status {}",
                            answer.status()
                        ));
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().unwrap();
    }
    is_on.store(false, Ordering::Relaxed);
    let spoiled: usize = workers.iter().map(|worker| worker.spoiled.load(Ordering::Relaxed)).sum();
    let count: usize = workers.iter().map(|worker| worker.count.load(Ordering::Relaxed)).sum();
    let (sent, good) = (sent.load(Ordering::Relaxed), good.load(Ordering::Relaxed));
    let broken = broken.load(Ordering::Relaxed);
    record.line(&format!(
        "sent {sent}, answered with 200 {good}, spoiled {spoiled} of {count} answers of the faulty workers, broken {broken}"
    ));
    if good * 2 < sent || (has_trouble() && spoiled == 0) {
        return 2;
    }
    i32::from(broken > 0)
}
