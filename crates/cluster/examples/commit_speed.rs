//! Measures commits, elections, publication and idle cost of a cluster in one process.
//!
//! `cargo run --release -p daisysill-cluster --example commit_speed [FOLDER [COUNTS]]`: the folder, by default the
//! current one, selects the disk to measure. With node counts, such as `28,56`, only the idle cost is measured,
//! without load and with constantly changing soft reports of nearly the maximum size.

use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::mpsc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use daisysill_cluster::{Cluster, ClusterConfig, ClusterHandle, PeerAddress, Role};
use daisysill_control::command::{Claim, ClaimKey, Command, Reply, SetDrain};
use daisysill_core::ids::ConfigVersion;
use daisysill_wire::peer::{DispatchCount, SoftReport};
use eyre::{WrapErr, eyre};
use hdrhistogram::Histogram;
use tokio::{runtime::Builder, sync::oneshot, time::sleep};

/// Duration of each measurement under load.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Duration of each measurement of idle cost, and of the wait before it.
const IDLE_TIME: Duration = Duration::from_secs(10);
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Number of publications measured.
const PUBLICATIONS: usize = 50;
/// Number of times that the leader is stopped.
const LEADER_STOPS: usize = 10;
/// Bytes of a write outside the log, about the size of a log entry with a claim.
const BARE_WRITE_BYTES: usize = 256;
/// Clock ticks per second in `/proc/self/stat`.
const CLOCK_TICKS: f64 = 100.0;
/// Bytes of a memory page in `/proc/self/statm`.
const PAGE_BYTES: f64 = 4_096.0;
/// Timeout for a cluster to form or a change to arrive.
const TIMEOUT: Duration = Duration::from_mins(1);

struct Node {
    config: ClusterConfig,
    running: Option<(ClusterHandle, oneshot::Sender<()>, JoinHandle<eyre::Result<()>>)>,
}

impl Node {
    fn start(&mut self) -> eyre::Result<()> {
        let config = self.config.clone();
        let (ready, started) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(async move {
                let (handle, _) = Cluster::start(config).await?;
                ready.send(handle.clone())?;
                let _ = stopped.await;
                handle.stop().await;
                Ok(())
            })
        });
        let handle = started.recv().wrap_err("a node did not start")?;
        self.running = Some((handle, stop, thread));
        Ok(())
    }

    fn stop(&mut self) -> eyre::Result<()> {
        let Some((_, stop, thread)) = self.running.take() else { return Ok(()) };
        let _ = stop.send(());
        thread.join().map_err(|_| eyre!("a node ended with a panic"))?
    }

    fn handle(&self) -> eyre::Result<&ClusterHandle> {
        self.running.as_ref().map(|(handle, ..)| handle).ok_or_else(|| eyre!("the node is not running"))
    }
}

/// Prepares three voters and `count - 3` nodes without a replica, in three zones.
fn nodes(folder: &Path, count: usize) -> eyre::Result<Vec<Node>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
    let name = |index: usize| format!("node-{index:02}");
    let zone = |index: usize| format!("zone-{}", index % 3);
    let peers = addresses.iter().enumerate().map(|(index, address)| PeerAddress {
        name: name(index).into(),
        zone: zone(index).into(),
        address: *address,
    });
    let peers: Vec<PeerAddress> = peers.collect();
    let config = |index: usize| ClusterConfig {
        name: name(index).into(),
        zone: zone(index).into(),
        data_dir: (index < 3).then(|| folder.join(format!("{count}-{index}"))),
        peer_listen: addresses[index],
        peers: peers.clone(),
        bootstrap_voters: (0..3).map(|voter| name(voter).into()).collect(),
        trust_disk: false,
        bootstrap: true,
        names_are_addresses: false,
        target_voters: None,
        secret: "a shared secret".to_owned(),
    };
    Ok((0..count).map(|index| Node { config: config(index), running: None }).collect())
}

async fn started(folder: &Path, count: usize) -> eyre::Result<Vec<Node>> {
    let mut nodes = nodes(folder, count)?;
    nodes.iter_mut().try_for_each(Node::start)?;
    let start = Instant::now();
    while !nodes.iter().all(|node| node.handle().is_ok_and(|handle| handle.status().current)) {
        eyre::ensure!(start.elapsed() < TIMEOUT, "{count} nodes did not form a cluster");
        sleep(Duration::from_millis(20)).await;
    }
    Ok(nodes)
}

fn leader(nodes: &[Node]) -> Option<usize> {
    let leads = |node: &Node| node.handle().is_ok_and(|handle| handle.status().role == Role::Leader);
    nodes.iter().position(leads)
}

fn drain(number: usize) -> Command {
    let upstream = format!("worker-{}", number % 20).into();
    Command::SetDrain(SetDrain {
        change: format!("change {number}").into(),
        upstream,
        draining: number % 40 < 20,
    })
}

fn claim(writer: usize, number: u64) -> Command {
    let key = format!("{writer} {number}");
    Command::Claim(Claim {
        body_digest: key.clone(),
        attempt: key.clone().into(),
        key: ClaimKey { customer: "customer".into(), service: "ledger".into(), key },
        holder: "node".into(),
        outcome_timeout_ms: 5_000,
        retention_ms: 5_000,
    })
}

fn measure_bare_syncs(folder: &Path) -> eyre::Result<()> {
    let mut file = fs::File::create(folder.join("bare"))?;
    let mut times = Histogram::<u64>::new(3)?;
    let start = Instant::now();
    while start.elapsed() < LOAD_TIME {
        let before = Instant::now();
        file.write_all(&[0; BARE_WRITE_BYTES])?;
        file.sync_data()?;
        times.record(u64::try_from(before.elapsed().as_micros())?)?;
    }
    print_times("bare syncs, 1 writer", &times);
    Ok(())
}

fn print_times(what: &str, times: &Histogram<u64>) {
    let per_second = times.len() as f64 / LOAD_TIME.as_secs_f64();
    let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    println!("{what}: {per_second:.0}/s, p50 {:.2} ms, p99 {:.2} ms", ms(0.5), ms(0.99));
}

async fn commits(nodes: &[Node], through: usize, writers: usize, what: &str) -> eyre::Result<()> {
    let start = Instant::now();
    let write = |writer: usize| {
        let handle = nodes[through].handle().cloned();
        async move {
            let handle = handle?;
            let mut times = Histogram::<u64>::new(3)?;
            let mut failed = 0_u64;
            for number in 0.. {
                if start.elapsed() >= LOAD_TIME {
                    break;
                }
                let before = Instant::now();
                match handle.propose(claim(writer + 1_000 * writers + 1_000_000 * through, number)).await {
                    Ok(Reply::Claimed) => times.record(u64::try_from(before.elapsed().as_micros())?)?,
                    _ => failed += 1,
                }
            }
            eyre::Ok((times, failed))
        }
    };
    let mut all = Histogram::<u64>::new(3)?;
    let mut failures = 0;
    for result in futures::future::join_all((0..writers).map(write)).await {
        let (times, failed) = result?;
        all.add(times)?;
        failures += failed;
    }
    print_times(&format!("commits {what}, {writers} writers"), &all);
    if failures > 0 {
        println!("  {failures} proposals failed");
    }
    Ok(())
}

async fn leader_stops(nodes: &mut [Node]) -> eyre::Result<()> {
    let mut gaps = Vec::new();
    for _ in 0..LEADER_STOPS {
        let start = Instant::now();
        while !nodes.iter().all(|node| node.handle().is_ok_and(|h| h.status().leader.is_some())) {
            eyre::ensure!(start.elapsed() < TIMEOUT, "no leader");
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_secs(1)).await;
        let old = leader(nodes).ok_or_else(|| eyre!("no leader"))?;
        let before = Instant::now();
        nodes[old].stop()?;
        while leader(nodes).is_none() {
            eyre::ensure!(before.elapsed() < TIMEOUT, "no new leader");
            sleep(Duration::from_millis(1)).await;
        }
        gaps.push(before.elapsed().as_millis());
        nodes[old].start()?;
    }
    gaps.sort_unstable();
    let median = gaps[gaps.len() / 2];
    println!("without a leader after it stops, {LEADER_STOPS} times: median {median} ms, all {gaps:?} ms");
    Ok(())
}

async fn publications(nodes: &[Node]) -> eyre::Result<()> {
    let mut times = Histogram::<u64>::new(3)?;
    for number in 0..PUBLICATIONS {
        let before = Instant::now();
        let reply = nodes[number % nodes.len()].handle()?.propose(drain(number)).await?;
        let Reply::Accepted(version) = reply else { return Err(eyre!("unexpected reply: {reply:?}")) };
        for node in nodes {
            in_force(node.handle()?, version).await?;
        }
        times.record(u64::try_from(before.elapsed().as_micros())?)?;
        sleep(Duration::from_millis(50)).await;
    }
    let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    let count = nodes.len();
    println!("publish to in force on {count} nodes: p50 {:.1} ms, p99 {:.1} ms", ms(0.5), ms(0.99));
    Ok(())
}

async fn in_force(handle: &ClusterHandle, version: ConfigVersion) -> eyre::Result<()> {
    let mut view = handle.view();
    let arrived = view.wait_for(|view| view.version >= version);
    tokio::time::timeout(TIMEOUT, arrived).await.wrap_err("the change did not arrive")??;
    Ok(())
}

/// Resources that the process has used, and bytes that its nodes have sent and received.
struct Usage {
    cpu_s: f64,
    rss_bytes: f64,
    sent: Vec<f64>,
    received: Vec<f64>,
}

fn usage(nodes: &[Node]) -> eyre::Result<Usage> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = statm.split_whitespace().nth(1).unwrap_or("0").parse()?;
    let mut usage = Usage {
        cpu_s: (ticks(11) + ticks(12)) / CLOCK_TICKS,
        rss_bytes: pages * PAGE_BYTES,
        sent: Vec::new(),
        received: Vec::new(),
    };
    for node in nodes {
        let metrics = node.handle()?.metrics();
        usage.sent.push(metrics.total_bytes_out() as f64);
        usage.received.push(metrics.total_bytes_in() as f64);
    }
    Ok(usage)
}

/// Idle cost at one cluster size: averages per node, and the traffic of the node with the most.
struct IdleCost {
    nodes: f64,
    bytes_per_s: f64,
    most_bytes_per_s: f64,
    cpu_share: f64,
    rss_mb: f64,
}

async fn idle(folder: &Path, count: usize, busy: bool) -> eyre::Result<IdleCost> {
    let mut nodes = started(folder, count).await?;
    change_reports(&nodes, SETTLE_TIME, busy).await?;
    let before = usage(&nodes)?;
    change_reports(&nodes, IDLE_TIME, busy).await?;
    let after = usage(&nodes)?;
    let mut dead = 0;
    for node in &nodes {
        dead += node.handle()?.status().members.iter().filter(|member| !member.alive).count();
    }
    let per_node: Vec<f64> = (0..count)
        .map(|n| after.sent[n] - before.sent[n] + after.received[n] - before.received[n])
        .map(|bytes| bytes / IDLE_TIME.as_secs_f64())
        .collect();
    let cost = IdleCost {
        nodes: count as f64,
        bytes_per_s: per_node.iter().sum::<f64>() / count as f64,
        most_bytes_per_s: per_node.iter().copied().fold(0.0, f64::max),
        cpu_share: (after.cpu_s - before.cpu_s) / IDLE_TIME.as_secs_f64() / count as f64,
        rss_mb: after.rss_bytes / 1_048_576.0,
    };
    nodes.iter_mut().try_for_each(Node::stop)?;
    println!(
        "{count} nodes, {}: {:.0} bytes/s per node in and out (most: {:.0}), {:.2}% of a core per node, \
         {:.1} MB resident for the process, {dead} of {} considered dead",
        if busy { "full soft reports" } else { "without load" },
        cost.bytes_per_s,
        cost.most_bytes_per_s,
        100.0 * cost.cpu_share,
        cost.rss_mb,
        count * (count - 1),
    );
    Ok(cost)
}

/// Waits for `time`; if `busy`, each node meanwhile changes its soft report of nearly the maximum size four times a
/// second.
async fn change_reports(nodes: &[Node], time: Duration, busy: bool) -> eyre::Result<()> {
    let start = Instant::now();
    while busy && start.elapsed() < time {
        for node in nodes {
            let report = |worker: u64| {
                (format!("worker-{worker:04}").into(), u64::try_from(start.elapsed().as_micros()))
            };
            let mut soft_report = SoftReport::default();
            for worker in 0..60 {
                let (name, tokens) = report(worker);
                soft_report.dispatched.insert(name, DispatchCount { tokens: tokens?, window_ms: 250 });
            }
            node.handle()?.set_soft_report(soft_report);
        }
        sleep(Duration::from_millis(250)).await;
    }
    sleep(time.saturating_sub(start.elapsed())).await;
    Ok(())
}

/// Returns the slope of `value` per node and its intercept, by least squares.
fn linear_fit(costs: &[IdleCost], value: impl Fn(&IdleCost) -> f64) -> (f64, f64) {
    let count = costs.len() as f64;
    let mean_x = costs.iter().map(|cost| cost.nodes).sum::<f64>() / count;
    let mean_y = costs.iter().map(&value).sum::<f64>() / count;
    let covariance: f64 = costs.iter().map(|cost| (cost.nodes - mean_x) * (value(cost) - mean_y)).sum();
    let variance: f64 = costs.iter().map(|cost| (cost.nodes - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

async fn run(folder: &Path) -> eyre::Result<()> {
    let mut costs = Vec::new();
    for count in [3, 7, 14, 28] {
        costs.push(idle(folder, count, false).await?);
    }
    let (bytes, base) = linear_fit(&costs, |cost| cost.bytes_per_s);
    println!("bytes/s per node: {base:.0} + {bytes:.1} per node of the cluster");
    let (cpu, base) = linear_fit(&costs, |cost| 100.0 * cost.cpu_share);
    println!("processor time per node: {base:.3}% + {cpu:.4}% of a core per node of the cluster");
    let (rss, base) = linear_fit(&costs, |cost| cost.rss_mb);
    println!("resident memory of the process: {base:.1} MB + {rss:.2} MB per node");

    let folder = folder.join("load");
    fs::create_dir_all(&folder)?;
    let mut nodes = started(&folder, 7).await?;
    publications(&nodes).await?;
    measure_bare_syncs(&folder)?;
    for writers in [1, 16, 256] {
        let through = leader(&nodes).ok_or_else(|| eyre!("no leader"))?;
        commits(&nodes, through, writers, "at the leader").await?;
    }
    for writers in [1, 16, 256] {
        commits(&nodes, 6, writers, "forwarded").await?;
    }
    measure_bare_syncs(&folder)?;
    leader_stops(&mut nodes).await?;
    nodes.iter_mut().try_for_each(Node::stop)
}

fn main() -> eyre::Result<()> {
    let parent = std::env::args().nth(1).map_or_else(|| PathBuf::from("."), PathBuf::from);
    let counts = std::env::args().nth(2).unwrap_or_default();
    let counts: Vec<usize> = counts.split(',').filter_map(|count| count.parse().ok()).collect();
    let folder = tempfile::tempdir_in(parent)?;
    Builder::new_current_thread().enable_all().build()?.block_on(async {
        if counts.is_empty() {
            return run(folder.path()).await;
        }
        for count in counts {
            idle(&folder.path().join("idle"), count, false).await?;
            idle(&folder.path().join("busy"), count, true).await?;
        }
        Ok(())
    })
}
