//! The cases: what each does, and what breaks its rule.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Node, Place, Route, config, put_config, request, wait_for},
    http::{Answer, call},
    names::GET_CONFIG,
    record::Record,
    worker::{List, Listed, Run, Worker, entry},
};

/// `Ok(Some(text))` if the rule was broken.
type Outcome = Result<Option<String>, String>;

const LIST_PORT: u16 = 8_007;
const WORKER_PORT: u16 = 8_080;
const START_LIMIT: Duration = Duration::from_secs(20);
const CONTACT: Duration = Duration::from_millis(3_000);

pub fn run(case: &str, trouble: bool, record: &Record) -> Outcome {
    record.line(&format!("case {case}, trouble {trouble}"));
    match case {
        "replacement" => replacement(trouble, record),
        "foreign-entry" => foreign_entry(trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

/// A running deployment with workers.
struct System {
    control: Vec<Node>,
    entries: Vec<Node>,
    list: List,
    runs: Arc<Mutex<Vec<Run>>>,
    place: Place,
}

impl System {
    fn start(record: &Record, control: u8, entries: u8) -> Self {
        let place = Place::new(record);
        let list_address = place.address(1, LIST_PORT);
        let list = List::serve(list_address);
        let seeds: Vec<u8> = (11..11 + control.min(3)).collect();
        let mut control: Vec<Node> = (0..control)
            .map(|n| place.node(11 + n, "control", &format!("z{}", n % 3 + 1), &seeds, list_address, true))
            .collect();
        let mut entries: Vec<Node> = (0..entries)
            .map(|n| place.node(101 + n, "edge", &format!("z{}", n % 3 + 1), &seeds, list_address, true))
            .collect();
        control.iter_mut().chain(&mut entries).for_each(Node::start);
        Self { control, entries, list, runs: Arc::default(), place }
    }

    fn operators(&self) -> Vec<SocketAddr> {
        self.control.iter().map(Node::operators).collect()
    }

    fn worker(&self, number: u8, record: &Record) -> Worker {
        let address = self.place.address(200 + number, WORKER_PORT);
        Worker::start(&format!("i-{number}"), address, &self.runs, record)
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        for node in &self.entries {
            wait_for("an entry node is ready", START_LIMIT, || node.is_ready())?;
        }
        Ok(())
    }
}

fn log_answer(record: &Record, id: &str, answer: &Answer) {
    record.line(&format!(
        "the client gets {} to {id}{}{}",
        answer.status,
        answer
            .header("x-daisysill-result-code")
            .map_or_else(String::new, |code| format!(", result code {code}")),
        answer.header("retry-after").map_or_else(String::new, |after| format!(", retry after {after} s")),
    ));
}

/// Two control machines are replaced as planned, one after the other; the new ones start first.
fn replacement(trouble: bool, record: &Record) -> Outcome {
    let mut system = System::start(record, 3, 2);
    let worker = system.worker(1, record);
    system.list.set(&[entry(&Listed { service: "plain", zone: "z1", worker: &worker })]);
    let route = || [Route { name: "safe", kind: "safe", service: "plain", timeout_ms: 3_000 }];
    let first = config(1, &route(), &["plain"]);
    put_config(&system.operators(), &first, START_LIMIT, record).ok_or("no acknowledgement")?;
    system.wait_until_ready()?;
    sleep(seconds(5.0));
    // The new machines start first, and have had `sync_s` twice when the old ones are told to stop.
    let list_address = system.place.address(1, LIST_PORT);
    let successor = |number: u8, zone: &str| {
        system.place.node(number, "control", zone, &[11, 12, 13], list_address, false)
    };
    let mut successors = [successor(14, "z3"), successor(15, "z2")];
    successors.iter_mut().for_each(Node::start);
    sleep(seconds(8.0));
    if !system.control[2].terminate() {
        return Err("the planned stop took longer than grace_s".to_owned());
    }
    let mut addresses: Vec<SocketAddr> = successors.iter().map(Node::operators).collect();
    addresses.push(system.control[0].operators());
    sleep(seconds(1.0));
    if trouble {
        if !system.control[1].terminate() {
            return Err("the planned stop took longer than grace_s".to_owned());
        }
    } else {
        addresses.push(system.control[1].operators());
    }
    // From then on nothing happens to any machine. The core counts as stable after `contact_ms`.
    sleep(CONTACT);
    let second = config(2, &route(), &["plain"]);
    let acknowledged = put_config(&addresses, &second, seconds(30.0), record);
    let mut served = 0;
    for number in 0..20 {
        let id = format!("r{number}");
        let answer = request(system.entries[number % 2].callers(), "GET", "/safe/x", &id, "", 3_000);
        log_answer(record, &id, &answer);
        served += usize::from(answer.status == 200);
        sleep(seconds(0.1));
    }
    // Longer than `contact_ms`, as at the end of a day.
    let begun = Instant::now();
    let mut statuses = Vec::new();
    let mut is_read = false;
    while begun.elapsed() < seconds(15.0) && !is_read {
        for address in &addresses {
            let head = format!("GET {GET_CONFIG} HTTP/1.1\r\nHost: {address}\r\n");
            let answer = call(*address, &head, "", seconds(4.0));
            record.line(&format!("{address} answers {} to the read of the config", answer.status));
            statuses.push(answer.status);
            is_read |= answer.status == 200
                && [&first, &second].iter().any(|config| config.as_bytes() == answer.body);
        }
        sleep(seconds(0.5));
    }
    record
        .line(&format!("version 2 acknowledged: {}, {served} of 20 requests served", acknowledged.is_some()));
    Ok((!is_read).then(|| {
        format!(
            "the config that was acknowledged can't be read from any of the three control machines that run; version 2 acknowledged: {}; {served} of \
             20 requests served",
            acknowledged.is_some()
        )
    }))
}

/// Another writer leaves an entry in the list that lacks a field, for a worker whose own entry says that it drains.
fn foreign_entry(trouble: bool, record: &Record) -> Outcome {
    const DRAIN: Duration = Duration::from_millis(3_000);
    let system = System::start(record, 3, 2);
    let workers: Vec<Worker> = (1..=2).map(|number| system.worker(number, record)).collect();
    let entries: Vec<String> =
        workers.iter().map(|worker| entry(&Listed { service: "booth", zone: "z1", worker })).collect();
    // Its software version is missing; the rest is as the worker's own entry was before.
    let foreign = trouble.then(|| entries[0].replace("\"version\":\"v1\",", ""));
    let list = |own: &[String]| {
        let all: Vec<String> = own.iter().cloned().chain(foreign.clone()).collect();
        system.list.set(&all);
    };
    list(&entries);
    let routes = [Route { name: "cue", kind: "unsafe", service: "booth", timeout_ms: 3_000 }];
    put_config(&system.operators(), &config(1, &routes, &["booth"]), START_LIMIT, record)
        .ok_or("no acknowledgement")?;
    system.wait_until_ready()?;
    sleep(seconds(4.0));
    let draining = [entries[0].replace("\"ready\"", "\"draining\""), entries[1].clone()];
    list(&draining);
    let listed_at = Instant::now();
    record.line(&format!("the list shows that {} drains", workers[0].id()));
    let mut number = 0;
    while listed_at.elapsed() < seconds(12.0) {
        number += 1;
        let id = format!("r{number}");
        let entry = system.entries[number % 2].callers();
        record.line(&format!("sent to {entry}: POST /cue/fire as {id}"));
        let answer = request(entry, "POST", "/cue/fire", &id, "", 3_000);
        log_answer(record, &id, &answer);
        sleep(seconds(0.05));
    }
    let runs = system.runs.lock().unwrap();
    let late = runs.iter().filter(|run| run.worker == workers[0].id() && run.at > listed_at + DRAIN).count();
    let text = format!(
        "{late} of {number} requests reached the worker later than drain_ms after the list showed that it drains"
    );
    record.line(&text);
    Ok((late > 0).then_some(text))
}
