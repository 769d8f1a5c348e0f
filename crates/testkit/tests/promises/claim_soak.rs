//! Non-idempotent requests (P5, P6) that callers resend through several nodes, while nodes are suspended, killed, stopped and
//! cut off in overlapping series, and upstreams refuse, break off or hang.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    env,
    rc::Rc,
    time::{Duration, Instant},
};

use daisysill_testkit::{deployment::Deployment, plain::PlainFault};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::support::{
    CUE_RULES, Partition, Response, check_runs, config, fire_cue_at, publish_first, set_partition, start_with,
};

const NODES: usize = 4;
const VOTERS: usize = 3;
/// Names the seeds of a run by hand, without the last: `1..51`.
const SEEDS_VARIABLE: &str = "DAISYSILL_SOAK_SEEDS";
/// The faults of a run in CI, which has one seed.
const CI_FAULT_PERIOD: Duration = Duration::from_secs(10);
const FAULT_PERIOD: Duration = Duration::from_secs(20);
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
/// Time after which a caller sends a request without a response again, through the next node.
const CALLER_TIMEOUT: Duration = Duration::from_millis(800);
const RESEND_DELAY: Duration = Duration::from_millis(300);
/// Time after the last fault for which callers wait for a final response: the dispatch window, the request's deadline, the margin
/// for its outcome, and an election.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Nodes that have a fault at the same time; with more there is rarely a majority.
const MAX_FAULTY_NODES: usize = 2;
const FAULT_STEP: Duration = Duration::from_millis(50);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// The fault of one node and when it ends.
#[derive(Clone, Copy, Debug)]
enum NodeFault {
    Suspended(Instant),
    Cut(Partition, Instant),
    Killed(Instant),
    /// Until the process has exited.
    Stopping(Instant),
}

/// Caller URLs by node; a node that is started again has another port.
type Urls = Rc<RefCell<BTreeMap<String, String>>>;

/// Injects faults into nodes and upstreams, in the order that a seed determines.
struct FaultSeries {
    rng: StdRng,
    faults: BTreeMap<String, NodeFault>,
    urls: Urls,
    injected: usize,
}

impl FaultSeries {
    fn new(deployment: &Deployment, seed: u64) -> Self {
        let urls = deployment.node_names().into_iter().map(|name| {
            let url = deployment.caller_url(&name);
            (name, url)
        });
        let urls = Rc::new(RefCell::new(urls.collect()));
        Self { rng: StdRng::seed_from_u64(seed), faults: BTreeMap::new(), urls, injected: 0 }
    }

    async fn run(&mut self, deployment: &mut Deployment, period: Duration) {
        let end = Instant::now() + period;
        while Instant::now() < end {
            self.end_faults(deployment, Instant::now());
            if self.faults.len() < MAX_FAULTY_NODES && self.rng.random_bool(0.2) {
                self.begin_fault(deployment);
            }
            if self.rng.random_bool(0.1) {
                self.set_upstream_fault(deployment);
            }
            actix_rt::time::sleep(FAULT_STEP).await;
        }
        deployment.upstreams.plain.values().for_each(|plain| plain.set_fault(PlainFault::None));
        while !self.faults.is_empty() {
            self.end_faults(deployment, Instant::now() + Duration::from_hours(1));
            actix_rt::time::sleep(FAULT_STEP).await;
        }
    }

    /// Begins a fault of a random node that has none.
    fn begin_fault(&mut self, deployment: &Deployment) {
        let sound = deployment.node_names().into_iter().filter(|name| !self.faults.contains_key(name));
        let sound: Vec<String> = sound.collect();
        let Some(name) = sound.choose(&mut self.rng).cloned() else { return };
        let until = Instant::now() + Duration::from_millis(self.rng.random_range(50..2_500));
        let fault = match self.rng.random_range(0..10) {
            0..4 => NodeFault::Suspended(until),
            4 => NodeFault::Cut(Partition::Both, until),
            5 => NodeFault::Cut(Partition::Inbound, until),
            6 => NodeFault::Cut(Partition::Outbound, until),
            7 | 8 => NodeFault::Killed(until),
            _ => NodeFault::Stopping(Instant::now() + STOP_TIMEOUT),
        };
        match fault {
            NodeFault::Suspended(_) => deployment.suspend(&name),
            NodeFault::Cut(partition, _) => set_partition(deployment, &name, partition, true),
            NodeFault::Killed(_) => deployment.node(&name).signal("KILL"),
            NodeFault::Stopping(_) => deployment.node(&name).signal("TERM"),
        }
        self.injected += 1;
        self.faults.insert(name, fault);
    }

    /// Ends the faults that are due at `now`.
    fn end_faults(&mut self, deployment: &mut Deployment, now: Instant) {
        for (name, fault) in self.faults.clone() {
            match fault {
                NodeFault::Suspended(until) if now >= until => deployment.resume(&name),
                NodeFault::Cut(partition, until) if now >= until => {
                    set_partition(deployment, &name, partition, false);
                }
                NodeFault::Killed(until) if now >= until => self.restart(deployment, &name),
                NodeFault::Stopping(limit) if deployment.has_ended(&name) || Instant::now() >= limit => {
                    assert!(deployment.has_ended(&name), "{name} does not exit within {STOP_TIMEOUT:?}");
                    self.restart(deployment, &name);
                }
                _ => continue,
            }
            self.faults.remove(&name);
        }
    }

    fn restart(&self, deployment: &mut Deployment, name: &str) {
        deployment.restart(name);
        self.urls.borrow_mut().insert(name.to_owned(), deployment.caller_url(name));
    }

    fn set_upstream_fault(&mut self, deployment: &Deployment) {
        let faults = [
            PlainFault::None,
            PlainFault::None,
            PlainFault::RefuseNotRun,
            PlainFault::TruncateResponse,
            PlainFault::HangBeforeRunning,
            PlainFault::HangAfterRunning,
        ];
        let upstreams: Vec<_> = deployment.upstreams.plain.values().collect();
        if let (Some(plain), Some(fault)) = (upstreams.choose(&mut self.rng), faults.choose(&mut self.rng)) {
            plain.set_fault(*fault);
        }
    }
}

/// Sends a request to the nodes in turn until its outcome is final; returns all responses.
async fn resend(urls: Urls, key: String, first: usize, limit: Instant) -> Vec<Response> {
    let mut responses: Vec<Response> = Vec::new();
    for attempt in first.. {
        let url = urls.borrow().values().nth(attempt % NODES).cloned().unwrap();
        let url = format!("{url}/services/booth-app/cues/7/fire");
        let response =
            actix_rt::time::timeout(CALLER_TIMEOUT, fire_cue_at(url, key.clone(), key.clone())).await;
        if let Ok(response) = response {
            let is_final = response.status == 200 || response.code == 1403;
            responses.push(response);
            if is_final {
                break;
            }
        }
        if Instant::now() > limit {
            break;
        }
        actix_rt::time::sleep(RESEND_DELAY).await;
    }
    responses
}

async fn run(seed: u64, period: Duration) {
    let mut config = config(NODES, VOTERS, 1);
    config.extra_node_settings.push_str("balancer_notice_ms = 100\nstop_timeout_s = 2\n");
    let mut deployment = start_with(config).await;
    publish_first(&deployment, &format!("{CUE_RULES}[deadlines]\nrequest_ms = 2000\n")).await;
    deployment.upstreams.plain.values().for_each(|plain| plain.set_delay_ms(20));
    let mut series = FaultSeries::new(&deployment, seed);
    let (urls, limit) = (Rc::clone(&series.urls), Instant::now() + period + FINAL_RESPONSE_TIMEOUT);
    let callers = async {
        let mut requests = Vec::new();
        let end = Instant::now() + period;
        while Instant::now() < end {
            let number = requests.len();
            // Two callers send each request at the same time through different nodes.
            let caller =
                |offset| resend(Rc::clone(&urls), format!("{seed} {number}"), number + offset, limit);
            let (one, other) = (caller(0), caller(1));
            requests.push(actix_rt::spawn(futures::future::join(one, other)));
            actix_rt::time::sleep(REQUEST_INTERVAL).await;
        }
        futures::future::join_all(requests).await
    };
    let (responses, ()) = futures::future::join(callers, series.run(&mut deployment, period)).await;
    let callers: Vec<Vec<Response>> =
        responses.into_iter().map(Result::unwrap).flat_map(|(one, other)| [one, other]).collect();
    let open = callers
        .iter()
        .filter(|attempts| attempts.last().is_none_or(|last| last.status != 200 && last.code != 1403));
    let open = open.count();
    let responses: Vec<Response> = callers.into_iter().flatten().collect();
    let mut codes = BTreeMap::<(u64, &str), usize>::new();
    for response in &responses {
        *codes.entry((response.code, &response.run_state)).or_default() += 1;
    }
    let ran = deployment.upstreams.plain_runs().len();
    println!(
        "seed {seed}: {} faults, {ran} requests ran, {open} callers without a final response, {codes:?}",
        series.injected
    );
    check_runs(&deployment, &responses);
    assert!(ran > 0, "seed {seed}: no request ran");
}

/// Guards against a request that runs twice, or ran although it was refused as `not_run`, when faults of several nodes and
/// upstreams overlap: the claim of a suspended, killed, stopped or isolated holder is granted again too early. Callers without a
/// final response are only counted.
#[actix_rt::test]
async fn requests_resent_during_overlapping_faults_run_at_most_once() {
    let Ok(seeds) = env::var(SEEDS_VARIABLE) else { return run(1, CI_FAULT_PERIOD).await };
    let (first, end) = seeds.split_once("..").unwrap();
    for seed in first.parse().unwrap()..end.parse::<u64>().unwrap() {
        run(seed, FAULT_PERIOD).await;
    }
}
