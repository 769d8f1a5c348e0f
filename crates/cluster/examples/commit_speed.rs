//! Measures commits, elections, publication and idle cost of a cluster in one process.
//!
//! `cargo run --release -p daisysill-cluster --example commit_speed [FOLDER [COUNTS]]`: the folder, by default the
//! current one, selects the disk to measure. With node counts, such as `28,56`, only the idle cost is measured,
//! without load and with constantly changing soft reports of nearly the maximum size.

#[path = "commit_speed/idle_cost.rs"]
mod idle_cost;
#[path = "commit_speed/nodes.rs"]
mod nodes;

use std::{
    fs,
    io::Write,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use daisysill_cluster::ClusterHandle;
use daisysill_control::command::{Claim, ClaimKey, Command, Reply, SetDrain};
use daisysill_core::ids::ConfigVersion;
use eyre::{WrapErr, eyre};
use hdrhistogram::Histogram;
use tokio::{runtime::Builder, time::sleep};

use crate::{
    idle_cost::{idle, linear_fit},
    nodes::{Node, TIMEOUT, leader, started},
};

/// Duration of each measurement under load.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Number of publications measured.
const PUBLICATIONS: usize = 50;
/// Number of times that the leader is stopped.
const LEADER_STOPS: usize = 10;
/// Bytes of a write outside the log, about the size of a log entry with a claim.
const BARE_WRITE_BYTES: usize = 256;

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
