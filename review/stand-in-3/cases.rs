//! The cases: what each does, and what breaks its rule.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep, spawn},
    time::{Duration, Instant},
};

use crate::{
    deployment::{Node, Place, Route, config, put_config, request, wait_for},
    http::{Answer, call},
    record::Record,
    worker::{Conduct, List, Listed, Run, Worker, entry},
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
        "formation" => formation(trouble, record),
        "replacement" => replacement(trouble, record),
        "equal-requests" => equal_requests(trouble, record),
        "crash-evidence" => crash_evidence(trouble, record),
        "take-ups" => take_ups(trouble, record),
        "foreign-entry" => foreign_entry(trouble, record),
        "software" => software(trouble, record),
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

    fn worker(&self, number: u8, conduct: Conduct, record: &Record) -> Worker {
        let address = self.place.address(200 + number, WORKER_PORT);
        Worker::start(&format!("i-{number}"), address, conduct, &self.runs, record, 3_000)
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        for node in &self.entries {
            wait_for("an entry node is ready", START_LIMIT, || node.is_ready())?;
        }
        Ok(())
    }

    /// Kills all control processes at the same moment, and starts them again within a second.
    fn kill_core(&mut self) {
        self.control.iter_mut().for_each(Node::kill);
        sleep(seconds(0.7));
        self.control.iter_mut().for_each(Node::restart);
    }
}

/// Keeps the list as the platform does, 0.8 s late, until it is dropped.
struct Lister(Arc<AtomicBool>);

impl Lister {
    fn start(list: &List, listed: Vec<(String, String, Worker)>) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (over, list) = (Arc::clone(&is_over), list.clone());
        let text = move || -> Vec<String> {
            listed.iter().map(|(service, zone, worker)| entry(&Listed { service, zone, worker })).collect()
        };
        list.set(&text());
        spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let entries = text();
                sleep(seconds(0.8));
                list.set(&entries);
            }
        });
        Self(is_over)
    }
}

impl Drop for Lister {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
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

/// One of three control machines is lost for good before the first cluster has formed, and replaced at another address.
fn formation(trouble: bool, record: &Record) -> Outcome {
    let place = Place::new(record);
    let list_address = place.address(1, LIST_PORT);
    let _list = List::serve(list_address);
    let seeds = [11, 12, 13];
    let control = |number: u8, zone: &str, is_first| {
        place.node(number, "control", zone, &seeds, list_address, is_first)
    };
    let (mut first, mut second, mut third) =
        (control(11, "z1", true), control(12, "z2", true), control(13, "z3", true));
    // All machines start within 0.3 s of each other, in any order.
    third.start();
    sleep(seconds(0.1));
    if trouble {
        third.kill();
    }
    sleep(seconds(0.1));
    first.start();
    second.start();
    let mut addresses = vec![first.operators(), second.operators(), third.operators()];
    let mut replacement = control(14, "z3", false);
    if trouble {
        sleep(seconds(2.0));
        addresses[2] = replacement.operators();
        replacement.start();
    }
    // From then on nothing happens to any machine. The core counts as stable after `contact_ms`.
    let settled = Instant::now();
    let config =
        config(1, &[Route { name: "safe", kind: "safe", service: "plain", timeout_ms: 3_000 }], &["plain"]);
    let acknowledged = put_config(&addresses, &config, seconds(80.0), record);
    let limit = CONTACT + seconds(4.0);
    Ok(match acknowledged {
        Some(_) if settled.elapsed() <= limit => None,
        Some(took) => Some(format!("the config was acknowledged after {:.1} s", took.as_secs_f64())),
        None => Some(format!(
            "the config was not acknowledged within {:.0} s, while three of three control machines ran untouched",
            settled.elapsed().as_secs_f64()
        )),
    })
}

/// Two control machines are replaced as planned, one after the other; the new ones start first.
fn replacement(trouble: bool, record: &Record) -> Outcome {
    let mut system = System::start(record, 3, 2);
    let worker = system.worker(1, Conduct::Plain { work_ms: 30 }, record);
    let _lister = Lister::start(&system.list, vec![("plain".to_owned(), "z1".to_owned(), worker)]);
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
        let answer = request(system.entries[number % 2].callers(), "GET", "/safe/x", &id, "", 3_000, |_| ());
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
            let head = format!("GET /config/get HTTP/1.1\r\nHost: {address}\r\n");
            let answer = call(*address, &head, "", seconds(4.0), |_| ());
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

/// All workers of a plain service crash at once while clients send equal sound requests, and come back.
fn equal_requests(trouble: bool, record: &Record) -> Outcome {
    let system = System::start(record, 3, 2);
    let work = Conduct::Plain { work_ms: 60 };
    let sampled = record.sampled(50);
    let workers: Vec<Worker> = (1..=6).map(|number| system.worker(number, work, &sampled)).collect();
    let listed = workers.iter().enumerate().map(|(n, worker)| {
        let service = if n < 3 { "booth" } else { "stock" };
        (service.to_owned(), format!("z{}", if n == 2 { 1 } else { n % 3 + 1 }), worker.clone())
    });
    let _lister = Lister::start(&system.list, listed.collect());
    let routes = [
        Route { name: "today", kind: "safe", service: "booth", timeout_ms: 3_000 },
        Route { name: "orders", kind: "safe", service: "booth", timeout_ms: 3_000 },
        Route { name: "stock", kind: "safe", service: "stock", timeout_ms: 3_000 },
    ];
    put_config(&system.operators(), &config(1, &routes, &["booth", "stock"]), START_LIMIT, record)
        .ok_or("no acknowledgement")?;
    system.wait_until_ready()?;
    let is_over = AtomicBool::new(false);
    let numbers = AtomicU64::new(0);
    // Each: when it was sent, its route, and its status.
    let answers: Mutex<Vec<(Instant, &str, u16)>> = Mutex::default();
    let begun = Instant::now();
    let mut back_at = begun;
    thread::scope(|scope| {
        for client in 0..32 {
            let entry = system.entries[client % 2].callers();
            let (is_over, numbers, answers) = (&is_over, &numbers, &answers);
            // Most screens look up the running order of the day, which is one request; the others look up other ones, and the stock.
            let (route, target) = match client {
                0..=23 => ("today", "/today/order"),
                24..=27 => ("orders", "/orders/"),
                _ => ("stock", "/stock/strings"),
            };
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    let target =
                        if route == "orders" { format!("{target}{number}") } else { target.to_owned() };
                    let sent_at = Instant::now();
                    let id = format!("r{number}");
                    let answer = request(entry, "GET", &target, &id, "", 3_000, |_| ());
                    if number % 100 == 0 {
                        record.line(&format!("sent to {entry}: GET {target}"));
                        log_answer(record, &id, &answer);
                    }
                    answers.lock().unwrap().push((sent_at, route, answer.status));
                    sleep(seconds(if answer.status == 200 { 0.01 } else { 0.4 }));
                }
            });
        }
        sleep(seconds(5.0));
        if trouble {
            workers[..3].iter().for_each(Worker::crash);
            sleep(seconds(4.0));
            workers[..3].iter().for_each(Worker::come_up);
            record.line("all workers of booth are back");
        }
        back_at = Instant::now();
        sleep(seconds(70.0));
        is_over.store(true, Ordering::SeqCst);
    });
    let answers = answers.into_inner().unwrap();
    let from = back_at + seconds(12.0);
    let share = |is_counted: &dyn Fn(&str) -> bool| {
        let counted: Vec<u16> = answers
            .iter()
            .filter(|(at, route, _)| *at >= from && is_counted(route))
            .map(|(.., status)| *status)
            .collect();
        let served = counted.iter().filter(|status| **status == 200).count();
        (served, counted.len(), served as f64 / counted.len().max(1) as f64)
    };
    let all = share(&|_| true);
    let today = share(&|route| route == "today");
    for route in ["today", "orders", "stock"] {
        let (served, sent, _) = share(&|known| known == route);
        record.line(&format!("from 12 s after the workers are back: {route}: {served} of {sent} served"));
    }
    let text = format!(
        "GET /today/order was served in {} of {} cases, all requests in {} of {}",
        today.0, today.1, all.0, all.1
    );
    record.line(&text);
    Ok((today.2 < all.2 / 4.0).then_some(text))
}

/// All control processes are killed and come back after a request was blocked that crashes the workers that run it.
fn crash_evidence(trouble: bool, record: &Record) -> Outcome {
    let mut system = System::start(record, 3, 3);
    let work = Conduct::Plain { work_ms: 30 };
    let workers: Vec<Worker> = (1..=9).map(|number| system.worker(number, work, record)).collect();
    let listed = workers
        .iter()
        .enumerate()
        .map(|(n, worker)| ("booth".to_owned(), format!("z{}", n % 3 + 1), worker.clone()));
    let _lister = Lister::start(&system.list, listed.collect());
    let routes = [Route { name: "orders", kind: "safe", service: "booth", timeout_ms: 3_000 }];
    put_config(&system.operators(), &config(1, &routes, &["booth"]), START_LIMIT, record)
        .ok_or("no acknowledgement")?;
    system.wait_until_ready()?;
    let numbers = AtomicU64::new(0);
    let send = |entry: SocketAddr, target: &str| {
        let id = format!("r{}", numbers.fetch_add(1, Ordering::SeqCst));
        record.line(&format!("sent to {entry}: GET {target} as {id}"));
        let answer = request(entry, "GET", target, &id, "", 3_000, |_| ());
        log_answer(record, &id, &answer);
        answer.status
    };
    // Sound requests, which show that the workers and the nodes serve.
    for entry in &system.entries {
        wait_for("a sound request is served", START_LIMIT, || send(entry.callers(), "/orders/sound") == 200)?;
    }
    let runs = Arc::clone(&system.runs);
    let arrivals = || -> Vec<Instant> {
        runs.lock().unwrap().iter().filter(|run| run.target.contains("poison")).map(|run| run.at).collect()
    };
    // The request that crashes workers comes again and again, at any machine, until it has crashed the third.
    let first = system.entries[0].callers();
    let begun = Instant::now();
    while workers.iter().map(|worker| worker.crashes().len()).sum::<usize>() < 3 {
        if begun.elapsed() > START_LIMIT {
            return Err("it has not crashed three workers".to_owned());
        }
        send(first, "/orders/poison");
        sleep(seconds(0.5));
    }
    let mut crashes: Vec<Instant> = workers.iter().flat_map(Worker::crashes).collect();
    crashes.sort();
    let third = crashes[2];
    // It comes again while it is blocked; all crashed workers come back.
    for _ in 0..8 {
        sleep(seconds(0.5));
        send(first, "/orders/poison");
    }
    let before = arrivals().len();
    if trouble {
        system.kill_core();
    }
    let restarted = Instant::now();
    // Twice `contact_ms` after the last event at the core, in which no such request is sent.
    sleep(CONTACT * 2);
    let from = Instant::now();
    for _ in 0..4 {
        thread::scope(|scope| {
            // Two clients at each machine.
            for entry in system.entries.iter().chain(&system.entries) {
                let (address, send) = (entry.callers(), &send);
                scope.spawn(move || send(address, "/orders/poison"));
            }
        });
        sleep(seconds(2.0));
    }
    let late = arrivals().into_iter().filter(|at| *at >= from && *at > third + CONTACT).count();
    record.line(&format!(
        "{before} arrivals of the request before, {late} later than contact_ms after the third crash, the first of them sent {:.1} s after the \
         last start of a control process",
        from.duration_since(restarted).as_secs_f64()
    ));
    let sound = send(first, "/orders/sound");
    record.line(&format!("a sound request gets {sound}"));
    Ok((late > 3).then(|| {
        format!("{late} arrivals of the request later than contact_ms after it has crashed the third worker")
    }))
}

/// Streams that began before all control processes were killed are taken up at another machine.
fn take_ups(trouble: bool, record: &Record) -> Outcome {
    const STREAMS: usize = 16;
    let mut system = System::start(record, 3, 3);
    let conduct = Conduct::Stream { events: 48, gap_ms: 250 };
    let workers: Vec<Worker> = (1..=6).map(|number| system.worker(number, conduct, record)).collect();
    let listed = workers
        .iter()
        .enumerate()
        .map(|(n, worker)| ("llm".to_owned(), format!("z{}", n % 3 + 1), worker.clone()));
    let _lister = Lister::start(&system.list, listed.collect());
    let routes = [Route { name: "draft", kind: "streaming", service: "llm", timeout_ms: 20_000 }];
    put_config(&system.operators(), &config(1, &routes, &["llm"]), START_LIMIT, record)
        .ok_or("no acknowledgement")?;
    system.wait_until_ready()?;
    // So that nothing depends on the start of the system.
    sleep(seconds(5.0));
    let (first, second) = (system.entries[0].callers(), system.entries[1].callers());
    let last_id = |events: &[u8]| -> Option<u64> {
        String::from_utf8_lossy(events)
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .next_back()
    };
    let (begun, gone_on, fresh, fresh_begun) =
        (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let (begun, gone_on) = (&begun, &gone_on);
            scope.spawn(move || {
                let id = format!("s{number}");
                let mut events = Vec::new();
                record.line(&format!("sent to {first}: POST /draft/x as {id}"));
                let answer = request(first, "POST", "/draft/x", &id, "", 20_000, |bytes| {
                    events.extend_from_slice(bytes)
                });
                let Some(last) = last_id(&events) else { return };
                if answer.is_whole {
                    return;
                }
                begun.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("the stream {id} breaks off after event {last}"));
                for attempt in 0..2 {
                    let again = format!("{id}-again{attempt}");
                    let headers = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
                    let mut rest = Vec::new();
                    record.line(&format!(
                        "sent to {second}: POST /draft/x as {again}, after event {last}, resumes {id}"
                    ));
                    let answer = request(second, "POST", "/draft/x", &again, &headers, 8_000, |bytes| {
                        rest.extend_from_slice(bytes)
                    });
                    log_answer(record, &again, &answer);
                    if answer.status == 200 && !rest.is_empty() {
                        gone_on.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                    sleep(seconds(1.0));
                }
            });
        }
        sleep(seconds(1.0));
        if trouble {
            system.kill_core();
        }
        // The core counts as stable 3 s later.
        sleep(seconds(4.5));
        system.entries[0].kill();
        for number in 0..STREAMS {
            let (fresh, fresh_begun) = (&fresh, &fresh_begun);
            scope.spawn(move || {
                let id = format!("n{number}");
                let mut events = Vec::new();
                fresh.fetch_add(1, Ordering::SeqCst);
                let answer = request(second, "POST", "/draft/x", &id, "", 15_000, |bytes| {
                    events.extend_from_slice(bytes)
                });
                log_answer(record, &id, &answer);
                if answer.status == 200 && !events.is_empty() {
                    fresh_begun.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    let (begun, gone_on) = (begun.into_inner(), gone_on.into_inner());
    let (fresh, fresh_begun) = (fresh.into_inner(), fresh_begun.into_inner());
    let text = format!(
        "{gone_on} of {begun} streams went on that were taken up, {fresh_begun} of {fresh} new streams began"
    );
    record.line(&text);
    if begun < 12 || fresh_begun == 0 {
        return Err(format!("too few streams: {text}"));
    }
    Ok(((gone_on as f64 / begun as f64) < fresh_begun as f64 / fresh as f64 / 2.0).then_some(text))
}

/// Another writer leaves an entry in the list that lacks a field, for a worker whose own entry says that it drains.
fn foreign_entry(trouble: bool, record: &Record) -> Outcome {
    const DRAIN: Duration = Duration::from_millis(3_000);
    let system = System::start(record, 3, 2);
    let work = Conduct::Plain { work_ms: 30 };
    let workers: Vec<Worker> = (1..=2).map(|number| system.worker(number, work, record)).collect();
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
        let answer = request(entry, "POST", "/cue/fire", &id, "", 3_000, |_| ());
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

/// Workers start again under their ids with another software version while streams break off.
fn software(trouble: bool, record: &Record) -> Outcome {
    const STREAMS: usize = 20;
    let system = System::start(record, 3, 2);
    let conduct = Conduct::Stream { events: 40, gap_ms: 150 };
    let workers: Vec<Worker> = (1..=3).map(|number| system.worker(number, conduct, record)).collect();
    let listed = workers
        .iter()
        .enumerate()
        .map(|(n, worker)| ("llm".to_owned(), format!("z{}", n % 3 + 1), worker.clone()));
    let _lister = Lister::start(&system.list, listed.collect());
    let routes = [Route { name: "draft", kind: "streaming", service: "llm", timeout_ms: 20_000 }];
    put_config(&system.operators(), &config(1, &routes, &["llm"]), START_LIMIT, record)
        .ok_or("no acknowledgement")?;
    system.wait_until_ready()?;
    sleep(seconds(3.0));
    let mixed = AtomicU64::new(0);
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let (entry, mixed) = (system.entries[number % 2].callers(), &mixed);
            scope.spawn(move || {
                let id = format!("s{number}");
                let mut events = Vec::new();
                record.line(&format!("sent to {entry}: POST /draft/x as {id}"));
                let answer = request(entry, "POST", "/draft/x", &id, "", 15_000, |bytes| {
                    events.extend_from_slice(bytes)
                });
                log_answer(record, &id, &answer);
                let text = String::from_utf8_lossy(&events);
                let versions = ["data: v1", "data: v2"].map(|version| text.matches(version).count());
                record.line(&format!(
                    "the stream {id} holds {} events of v1 and {} of v2",
                    versions[0], versions[1]
                ));
                if versions.iter().all(|count| *count > 0) {
                    mixed.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        sleep(seconds(1.0));
        if trouble {
            // One worker after the other is started again with the next version of its software.
            for worker in &workers {
                worker.crash();
                sleep(seconds(0.3));
                worker.set_software("v2");
                worker.come_up();
                record.line(&format!("worker {} is back with v2", worker.id()));
                sleep(seconds(1.0));
            }
        }
    });
    let mixed = mixed.into_inner();
    Ok((mixed > 2).then(|| format!("{mixed} streams hold events of two software versions")))
}
