//! An entry node that is cut off from all workers: its connections to them open, and are reset once they carry a request.

use std::{
    fs,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
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

const WORKERS: u8 = 6;
const ENTRIES: u8 = 4;
/// The entry node that is cut off.
const CUT_OFF: u8 = 0;
/// `contact_ms` of the settings.
const CONTACT_LIMIT: Duration = Duration::from_millis(3_000);
/// Length of the cut.
const CUT: Duration = Duration::from_secs(12);
/// Time between two requests at an entry node.
const INTERVAL: Duration = Duration::from_millis(50);

struct World {
    record: Record,
    is_cut: AtomicBool,
    /// Process of the entry node that is cut off; 0 before it has started.
    process: AtomicU64,
    /// Its open connections.
    connections: Mutex<Vec<TcpStream>>,
}

/// Returns whether the other end of a connection belongs to a process on this machine.
fn belongs_to(peer: SocketAddr, own: SocketAddr, process: u64) -> bool {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(address) => {
            format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
        }
        SocketAddr::V6(_) => String::new(),
    };
    let ends = format!("{} {}", hex(peer), hex(own));
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let Some(inode) =
        table.lines().find(|line| line.contains(&ends)).and_then(|line| line.split_whitespace().nth(9))
    else {
        return false;
    };
    let socket = format!("socket:[{inode}]");
    let open = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    open.filter_map(|entry| fs::read_link(entry.path()).ok()).any(|target| target.to_string_lossy() == socket)
}

impl World {
    fn serve_worker(self: &Arc<Self>, number: u8, place: SocketAddr) {
        let listener = TcpListener::bind(place).expect("an address is in use");
        let world = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = Arc::clone(&world);
                thread::spawn(move || world.serve_connection(number, place, stream));
            }
        });
    }

    fn serve_connection(&self, number: u8, place: SocketAddr, stream: TcpStream) {
        let Ok(peer) = stream.peer_addr() else { return };
        let is_of_node = belongs_to(peer, place, self.process.load(Ordering::SeqCst));
        if is_of_node {
            if let Ok(copy) = stream.try_clone() {
                self.connections.lock().unwrap().push(copy);
            }
        }
        let mut connection = Connection::over(stream);
        loop {
            // The request waits unread, so that closing the connection resets it.
            if !matches!(connection.stream.peek(&mut [0]), Ok(1)) {
                return;
            }
            if is_of_node && self.is_cut.load(Ordering::SeqCst) {
                // The copy would keep the connection open.
                self.connections.lock().unwrap().retain(|copy| copy.peer_addr().ok() != Some(peer));
                return;
            }
            let Ok(Some(request)) = connection.read() else { return };
            if self.answer(number, &request, &mut connection).is_err() {
                return;
            }
        }
    }

    fn answer(&self, number: u8, request: &Message, connection: &mut Connection) -> std::io::Result<()> {
        let id = format!("i-{number}");
        let request_id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.header(EXPECT_INSTANCE).is_some_and(|expected| expected != id) {
            let headers = [("x-request-id", request_id.as_str()), (NOT_EXECUTED, "1")];
            return connection.write("HTTP/1.1 421 Misdirected", &headers, b"");
        }
        self.record.line(&format!("{id}: {request_id} runs"));
        sleep(Duration::from_millis(40));
        let headers = [("x-request-id", request_id.as_str()), (SEAL, "seal"), ("content-type", "text/plain")];
        connection.write("HTTP/1.1 200 OK", &headers, b"done")
    }

    /// Begins the cut: connections that are open are reset too.
    fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// First tries in the time that counts, by entry node.
#[derive(Default)]
struct Tries {
    asked: AtomicU64,
    served: AtomicU64,
}

fn send(record: &Record, nodes: &Nodes, entry: u8, tries: &Tries, counts_from: Instant, end: Instant) {
    thread::scope(|scope| {
        let mut number = 0_u32;
        let mut next = Instant::now();
        while next < end {
            sleep(next.saturating_duration_since(Instant::now()));
            let is_counted = next >= counts_from;
            scope.spawn(move || {
                // Two of three requests may run only once, as in the site's traffic.
                let path = if number % 3 == 0 { "/order/7" } else { "/cues/7" };
                let id = format!("e{entry}-{number}");
                let headers = [("host", "a.example"), ("x-request-id", &id), ("x-deadline-ms", "3000")];
                let answer =
                    http::call(nodes.callers(entry), "POST", path, &headers, "x", Duration::from_secs(3));
                let status = answer.as_ref().map_or(0, Message::status);
                record.line(&format!("client: {id} {path} answered {status}"));
                if is_counted {
                    tries.asked.fetch_add(1, Ordering::SeqCst);
                    tries.served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                }
            });
            number += 1;
            next += INTERVAL;
        }
    });
}

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"order","host":"a.example","path_prefix":"/order/","kind":"safe","timeout_ms":1500,"goal_ms":300,"priority":0,"service":"booth","max_attempts":2,"public":true},{"name":"cues","host":"a.example","path_prefix":"/cues/","kind":"unsafe","timeout_ms":1500,"goal_ms":300,"priority":0,"service":"booth","max_attempts":1,"public":true}],"services":[{"name":"booth","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn play(record: &Record, is_disrupted: bool) -> Result<Verdict, String> {
    let network = free_network()?;
    let world = Arc::new(World {
        record: record.clone(),
        is_cut: AtomicBool::new(false),
        process: AtomicU64::new(0),
        connections: Mutex::default(),
    });
    for number in 0..WORKERS {
        world.serve_worker(number, address(network, 31 + number, 8_080));
    }
    let entries: Vec<String> = (0..WORKERS)
        .map(|number| {
            let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3];
            format!(
                "{{\"service\":\"booth\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\
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
    world.process.store(nodes.process(11 + CUT_OFF).into(), Ordering::SeqCst);
    nodes.order(record, PUT_CONFIG, CONFIG)?;
    for entry in 0..ENTRIES {
        nodes.wait_until_ready(entry)?;
    }
    // The nodes learn of each other.
    sleep(Duration::from_secs(4));
    let tries: Vec<Tries> = (0..ENTRIES).map(|_| Tries::default()).collect();
    let cut_at = Instant::now() + Duration::from_secs(4);
    let end = cut_at + CUT;
    thread::scope(|scope| {
        for (entry, tries) in (0..ENTRIES).zip(&tries) {
            let nodes = &nodes;
            scope.spawn(move || send(record, nodes, entry, tries, cut_at + CONTACT_LIMIT, end));
        }
        sleep(cut_at.saturating_duration_since(Instant::now()));
        if is_disrupted {
            world.cut();
            record.line(&format!("entry node {CUT_OFF} is cut off from the workers"));
        }
    });
    let count = |tries: &Tries| (tries.asked.load(Ordering::SeqCst), tries.served.load(Ordering::SeqCst));
    let mut others = (0, 0);
    for (entry, tries) in (0..).zip(&tries) {
        let (asked, served) = count(tries);
        record.line(&format!(
            "entry node {entry}: {served} of {asked} first tries served from contact_ms after the cut began"
        ));
        if entry != CUT_OFF {
            others = (others.0 + asked, others.1 + served);
        }
    }
    let (asked, served) = count(&tries[usize::from(CUT_OFF)]);
    let share = |(asked, served): (u64, u64)| served as f64 / asked.max(1) as f64;
    // RECOVER: served less than two thirds as often as at the others, and more than 10 + 1 in 50 of all first tries fail there.
    let is_served_less = share((asked, served)) < share(others) * 2.0 / 3.0;
    let too_many_fail = (asked - served) as f64 > 10.0 + (asked + others.0) as f64 / 50.0;
    Ok(if is_served_less && too_many_fail { Verdict::Broken } else { Verdict::Held })
}
