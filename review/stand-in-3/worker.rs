//! Workers, and the platform's list of them.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use crate::{http::read_request, record::Record};

/// What a worker does with a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Conduct {
    /// Answers after its work.
    Plain { work_ms: u64 },
    /// Answers with this number of events, one at a time.
    Stream { events: u64, gap_ms: u64 },
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub worker: String,
    pub target: String,
}

struct Shared {
    id: Mutex<String>,
    software: Mutex<String>,
    born: AtomicU64,
    address: SocketAddr,
    conduct: Conduct,
    is_up: AtomicBool,
    /// Number of its start.
    start: AtomicU64,
    connections: Mutex<HashMap<u64, TcpStream>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    /// How long it stays down after a request that crashes it.
    crash_ms: u64,
    crashes: Mutex<Vec<Instant>>,
}

/// A worker; clones are the same one.
#[derive(Clone)]
pub struct Worker(Arc<Shared>);

impl Worker {
    /// Starts a worker. A request whose target holds `poison` crashes it for `crash_ms`.
    pub fn start(
        id: &str,
        address: SocketAddr,
        conduct: Conduct,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
        crash_ms: u64,
    ) -> Self {
        let worker = Self(Arc::new(Shared {
            id: Mutex::new(id.to_owned()),
            software: Mutex::new("v1".to_owned()),
            born: AtomicU64::new(1_000),
            address,
            conduct,
            is_up: AtomicBool::new(false),
            start: AtomicU64::new(0),
            connections: Mutex::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
            crash_ms,
            crashes: Mutex::default(),
        }));
        worker.come_up();
        worker
    }

    pub fn id(&self) -> String {
        self.0.id.lock().unwrap().clone()
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    pub fn software(&self) -> String {
        self.0.software.lock().unwrap().clone()
    }

    pub fn set_software(&self, software: &str) {
        *self.0.software.lock().unwrap() = software.to_owned();
    }

    pub fn born(&self) -> u64 {
        self.0.born.load(Ordering::SeqCst)
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.0.crashes.lock().unwrap().clone()
    }

    /// Ends the process: closes the listener and all connections.
    pub fn crash(&self) {
        self.0.is_up.store(false, Ordering::SeqCst);
        self.0.crashes.lock().unwrap().push(Instant::now());
        self.0.record.line(&format!("worker {} crashes", self.id()));
        for (_, stream) in self.0.connections.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the process again at its address, under its id.
    pub fn come_up(&self) {
        let listener = loop {
            match TcpListener::bind(self.0.address) {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(10)),
            }
        };
        listener.set_nonblocking(true).unwrap();
        let start = self.0.start.fetch_add(1, Ordering::SeqCst) + 1;
        self.0.born.fetch_add(1_000, Ordering::SeqCst);
        self.0.is_up.store(true, Ordering::SeqCst);
        let worker = self.clone();
        spawn(move || {
            let mut number = start << 32;
            while worker.is_running(start) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        number += 1;
                        let worker = worker.clone();
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let Ok(copy) = stream.try_clone() else { continue };
                        worker.0.connections.lock().unwrap().insert(number, copy);
                        spawn(move || {
                            worker.serve(stream, start);
                            worker.0.connections.lock().unwrap().remove(&number);
                        });
                    }
                    Err(_) => sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn is_running(&self, start: u64) -> bool {
        self.0.is_up.load(Ordering::SeqCst) && self.0.start.load(Ordering::SeqCst) == start
    }

    fn serve(&self, stream: TcpStream, start: u64) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Some(request) = read_request(&mut reader) {
            if !self.is_running(start) {
                return;
            }
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            let own = self.id();
            if request.header("x-expect-instance").is_some_and(|expected| expected != own) {
                self.0.record.line(&format!("worker {own} answers 421 to {id}"));
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let after = request.header("last-event-id").map(str::to_owned);
            let software = self.software();
            let mut runs = self.0.runs.lock().unwrap();
            runs.push(Run { at: Instant::now(), worker: own.clone(), target: request.target.clone() });
            let number = runs.len();
            drop(runs);
            self.0.record.run(
                number,
                &format!(
                    "worker {own} ({software}) runs {id}: {} {}{}",
                    request.method,
                    request.target,
                    after.as_ref().map_or_else(String::new, |after| format!(", after event {after}"))
                ),
            );
            if request.target.contains("poison") {
                sleep(Duration::from_millis(20));
                self.crash();
                let worker = self.clone();
                spawn(move || {
                    sleep(Duration::from_millis(worker.0.crash_ms));
                    worker.come_up();
                });
                return;
            }
            let seal = format!("X-Request-Id: {id}\r\nX-Response-Seal: seal.{own}.{id}\r\n");
            let is_sent = match self.0.conduct {
                Conduct::Plain { work_ms } => {
                    sleep(Duration::from_millis(work_ms));
                    let body = format!("{own} {id}");
                    let text = format!(
                        "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    self.is_running(start) && stream.write_all(text.as_bytes()).is_ok()
                }
                Conduct::Stream { events, gap_ms } => {
                    let first = after.as_ref().and_then(|after| after.parse::<u64>().ok()).unwrap_or(0) + 1;
                    let head = format!(
                        "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    );
                    let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
                    for number in first..=events {
                        let event = format!("id: {number}\ndata: {software} {own}\n\n");
                        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                        is_sent =
                            is_sent && self.is_running(start) && stream.write_all(chunk.as_bytes()).is_ok();
                        if !is_sent {
                            return;
                        }
                        sleep(Duration::from_millis(gap_ms));
                    }
                    is_sent && stream.write_all(b"0\r\n\r\n").is_ok()
                }
            };
            if !is_sent {
                return;
            }
        }
    }
}

/// A worker's entry in the platform's list.
pub struct Listed<'a> {
    pub service: &'a str,
    pub zone: &'a str,
    pub worker: &'a Worker,
}

/// Returns the fields of an entry as the page names them.
pub fn entry(listed: &Listed) -> String {
    let Listed { service, zone, worker } = listed;
    format!(
        "{{\"id\":\"{}\",\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{}\",\"slots\":8,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[],\"born\":{}}}",
        worker.id(),
        worker.address(),
        worker.software(),
        worker.born()
    )
}

/// The platform's list, as text of its entries.
#[derive(Clone, Default)]
pub struct List(Arc<Mutex<String>>);

impl List {
    /// Serves the list.
    pub fn serve(address: SocketAddr) -> Self {
        let list = Self::default();
        let listener = TcpListener::bind(address).expect("the address of the list is free");
        let served = list.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = served.clone();
                spawn(move || {
                    let Ok(copy) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(copy);
                    let mut stream = stream;
                    while read_request(&mut reader).is_some() {
                        let body =
                            format!("{{\"instances\":[{}],\"next_token\":null}}", list.0.lock().unwrap());
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if stream.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        list
    }

    pub fn set(&self, entries: &[String]) {
        *self.0.lock().unwrap() = entries.join(",");
    }
}
