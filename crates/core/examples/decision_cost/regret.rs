//! Simulation of several nodes that route by stale load reports.
//!
//! The regret of a decision is the time to first token at the chosen upstream less the lowest at any upstream.

#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]

use std::collections::BTreeMap;

use daisysill_core::{
    block::BlockName,
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    route::{RoutePolicy, RouteRequest, choose},
    view::{ClusterView, LoadReport, PeerLoad, UpstreamState, UpstreamView},
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};

const NODES: usize = 7;
const UPSTREAMS: usize = 20;
const PREFIXES: usize = 60;
const PIECES: usize = 8;
const PIECE_TOKENS: u64 = 500;
/// Interval at which nodes exchange their dispatch counts.
const PEER_REPORT_MS: u64 = 100;
/// Time until a load report reaches the nodes.
const REPORT_LAG_MS: u64 = 100;
const RUN_MS: u64 = 4_000;
/// Simulation runs, each with its own seed.
const RUNS: u64 = 40;
const VERSION: WeightVersion = WeightVersion(1);

/// A method to choose among upstreams of similar cost.
#[derive(Clone, Copy)]
struct Method {
    name: &'static str,
    near_tie_factor: f64,
    /// Whether a node chooses between two random upstreams only.
    two_choices: bool,
    /// Whether nodes exchange their dispatch counts.
    shared_counts: bool,
}

const METHODS: &[Method] = &[
    Method { name: "lowest estimate only", near_tie_factor: 1.0, two_choices: false, shared_counts: false },
    Method { name: "power of two choices", near_tie_factor: 1.0, two_choices: true, shared_counts: false },
    Method { name: "near-ties 1.05", near_tie_factor: 1.05, two_choices: false, shared_counts: false },
    Method { name: "near-ties 1.25", near_tie_factor: 1.25, two_choices: false, shared_counts: false },
    Method { name: "near-ties 1.5", near_tie_factor: 1.5, two_choices: false, shared_counts: false },
    Method {
        name: "power of two choices, shared counts",
        near_tie_factor: 1.0,
        two_choices: true,
        shared_counts: true,
    },
    Method { name: "lowest, shared counts", near_tie_factor: 1.0, two_choices: false, shared_counts: true },
    Method {
        name: "near-ties 1.02, shared counts",
        near_tie_factor: 1.02,
        two_choices: false,
        shared_counts: true,
    },
    Method {
        name: "near-ties 1.05, shared counts",
        near_tie_factor: 1.05,
        two_choices: false,
        shared_counts: true,
    },
    Method {
        name: "near-ties 1.15, shared counts",
        near_tie_factor: 1.15,
        two_choices: false,
        shared_counts: true,
    },
    Method {
        name: "near-ties 1.25, shared counts",
        near_tie_factor: 1.25,
        two_choices: false,
        shared_counts: true,
    },
];

/// Parameters of the simulated upstreams and requests.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// Number of upstreams that hold each prefix.
    holders: usize,
    min_tokens_per_s: u64,
    /// Requests per millisecond at all nodes together.
    arrivals_per_ms: f64,
}

const SCENARIOS: &[Scenario] = &[
    Scenario { name: "cached prefixes", holders: 2, min_tokens_per_s: 8_000, arrivals_per_ms: 0.06 },
    Scenario { name: "nothing cached", holders: 0, min_tokens_per_s: 8_000, arrivals_per_ms: 0.025 },
    Scenario {
        name: "nothing cached, equal speeds",
        holders: 0,
        min_tokens_per_s: 11_999,
        arrivals_per_ms: 0.025,
    },
];

/// The actual state of one upstream, which nodes know only from reports.
struct Worker {
    id: InstanceId,
    tokens_per_s: u64,
    backlog_us: f64,
}

struct Node {
    view: ClusterView,
    /// Time of the last known load report.
    report_ms: u64,
    /// Times and tokens of dispatches since, by upstream.
    sent: Vec<Vec<(u64, u64)>>,
}

struct Cluster {
    workers: Vec<Worker>,
    /// Indices of the upstreams that hold each prefix.
    holders: Vec<Vec<usize>>,
    pieces: Vec<BTreeMap<WeightVersion, Vec<BlockName>>>,
}

impl Cluster {
    fn random(scenario: &Scenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = (0..UPSTREAMS).map(|at| Worker {
            id: InstanceId::from(format!("worker-{at}")),
            tokens_per_s: rng.random_range(scenario.min_tokens_per_s..12_000),
            backlog_us: rng.random_range(0.0..400_000.0),
        });
        let workers = workers.collect();
        let mut order: Vec<usize> = (0..UPSTREAMS).collect();
        let mut holders = Vec::new();
        for _ in 0..PREFIXES {
            order.shuffle(&mut rng);
            holders.push(order[..scenario.holders].to_vec());
        }
        let name = |prefix: usize, piece: usize| {
            BlockName::from(format!("{:016x}", (prefix * 97 + piece + 1) * 0x9e37_79b9_7f4a).as_str())
        };
        let names = |prefix| (0..PIECES).map(|piece| name(prefix, piece)).collect();
        let pieces = (0..PREFIXES).map(|prefix| BTreeMap::from([(VERSION, names(prefix))])).collect();
        Self { workers, holders, pieces }
    }

    fn node(&self) -> Node {
        let mut view = ClusterView::default();
        for worker in &self.workers {
            view.put_upstream(UpstreamView {
                id: worker.id.clone(),
                service: "lyric-llm".into(),
                zone: "zone".into(),
                state: UpstreamState::Live,
                weight_version: VERSION,
            });
        }
        for (prefix, holders) in self.holders.iter().enumerate() {
            for holder in holders {
                let names = &self.pieces[prefix][&VERSION];
                for name in names {
                    view.record_piece(&self.workers[*holder].id, name);
                }
            }
        }
        Node { view, report_ms: 0, sent: vec![Vec::new(); UPSTREAMS] }
    }

    /// Returns the actual time to first token and the prefill time in it.
    fn first_token_us(&self, worker: usize, prefix: usize, tokens: u64) -> (f64, f64) {
        let cached = if self.holders[prefix].contains(&worker) { PIECES as u64 * PIECE_TOKENS } else { 0 };
        let computed = tokens.saturating_sub(cached) as f64 / self.workers[worker].tokens_per_s as f64 * 1e6;
        (self.workers[worker].backlog_us + computed, computed)
    }

    fn reports(&self, at_ms: u64) -> Vec<LoadReport> {
        let report = |worker: &Worker| LoadReport {
            at_ms,
            queue_tokens: (worker.backlog_us * worker.tokens_per_s as f64 / 1e6) as u64,
            prefill_tokens_per_s: worker.tokens_per_s,
        };
        self.workers.iter().map(report).collect()
    }
}

/// Prints the regret of every method in every scenario at several report intervals.
pub(crate) fn print() {
    for scenario in SCENARIOS {
        for report_every_ms in [250, 500, 1_000] {
            for method in METHODS {
                let mut regrets: Vec<f64> = Vec::new();
                (0..RUNS).for_each(|seed| run(scenario, method, report_every_ms, seed, &mut regrets));
                regrets.sort_by(f64::total_cmp);
                let mean = regrets.iter().sum::<f64>() / regrets.len() as f64 / 1_000.0;
                let p95 = regrets[regrets.len() * 95 / 100] / 1_000.0;
                println!("{}, {report_every_ms}, {}, {mean:.1}, {p95:.1}", scenario.name, method.name);
            }
        }
    }
}

fn run(scenario: &Scenario, method: &Method, report_every_ms: u64, seed: u64, regrets: &mut Vec<f64>) {
    let mut cluster = Cluster::random(scenario, seed);
    let mut nodes: Vec<Node> = (0..NODES).map(|_| cluster.node()).collect();
    let mut rng = StdRng::seed_from_u64(seed + 1_000);
    let mut pending: Vec<LoadReport> = cluster.reports(0);
    for now_ms in 0..RUN_MS {
        cluster.workers.iter_mut().for_each(|w| w.backlog_us = (w.backlog_us - 1_000.0).max(0.0));
        if now_ms % report_every_ms == 0 {
            pending = cluster.reports(now_ms);
        }
        if now_ms % report_every_ms == REPORT_LAG_MS || now_ms == 0 {
            for node in &mut nodes {
                apply_reports(node, &cluster, &pending);
            }
        }
        if method.shared_counts && now_ms % PEER_REPORT_MS == 0 {
            exchange_counts(&mut nodes, &cluster, now_ms);
        }
        // A geometric number of arrivals with the scenario's mean.
        let arrival_probability = scenario.arrivals_per_ms / (1.0 + scenario.arrivals_per_ms);
        while rng.random_range(0.0..1.0) < arrival_probability {
            let node = rng.random_range(0..NODES);
            let prefix = rng.random_range(0..PREFIXES);
            let tokens = rng.random_range(4_000..8_000);
            let chosen = decide(method, &nodes[node], &cluster, prefix, tokens, now_ms, &mut rng);
            let (actual_us, computed_us) = cluster.first_token_us(chosen, prefix, tokens);
            let costs = (0..UPSTREAMS).map(|worker| cluster.first_token_us(worker, prefix, tokens).0);
            regrets.push(actual_us - costs.fold(f64::INFINITY, f64::min));
            cluster.workers[chosen].backlog_us += computed_us;
            let sent = (computed_us * cluster.workers[chosen].tokens_per_s as f64 / 1e6) as u64;
            nodes[node].view.record_dispatch(&cluster.workers[chosen].id, now_ms, sent);
            nodes[node].sent[chosen].push((now_ms, sent));
        }
    }
}

fn apply_reports(node: &mut Node, cluster: &Cluster, reports: &[LoadReport]) {
    for (at, report) in reports.iter().enumerate() {
        node.view.record_report(&cluster.workers[at].id, *report);
        node.report_ms = report.at_ms;
        node.sent[at].retain(|(sent_ms, _)| *sent_ms >= report.at_ms);
    }
}

fn exchange_counts(nodes: &mut [Node], cluster: &Cluster, now_ms: u64) {
    for from in 0..nodes.len() {
        for (at, worker) in cluster.workers.iter().enumerate() {
            let load = PeerLoad {
                peer: InstanceId::from(format!("node-{from}")),
                since_ms: nodes[from].report_ms,
                at_ms: now_ms,
                tokens: nodes[from].sent[at].iter().map(|(_, tokens)| tokens).sum(),
            };
            for (to, node) in nodes.iter_mut().enumerate() {
                if to != from {
                    node.view.record_peer_load(&worker.id, load.clone());
                }
            }
        }
    }
}

fn decide(
    method: &Method,
    node: &Node,
    cluster: &Cluster,
    prefix: usize,
    tokens: u64,
    now_ms: u64,
    rng: &mut StdRng,
) -> usize {
    let mut excluded: Vec<InstanceId> = Vec::new();
    if method.two_choices {
        let mut order: Vec<usize> = (0..UPSTREAMS).collect();
        order.shuffle(rng);
        excluded = order[2..].iter().map(|at| cluster.workers[*at].id.clone()).collect();
    }
    let (service, zone) = (ServiceName::from("lyric-llm"), ZoneName::from("zone"));
    let request = RouteRequest {
        service: &service,
        zone: &zone,
        pieces: &cluster.pieces[prefix],
        prompt_tokens: tokens,
        pinned_version: None,
        excluded: &excluded,
        now_ms,
    };
    let policy = RoutePolicy {
        piece_tokens: PIECE_TOKENS,
        piece_bytes: 1,
        recompute_weight_us: 0.0,
        cross_zone_us: 0.0,
        prefill_during_restore: false,
        near_tie_factor: method.near_tie_factor,
    };
    let decision = choose(&node.view, &request, &policy, rng.random());
    let chosen = decision.map(|decision| decision.upstream);
    cluster.workers.iter().position(|worker| Some(&worker.id) == chosen.as_ref()).unwrap_or(0)
}
