//! Measures what an idle cluster costs: bytes, processor time and memory.

use std::{
    fs,
    path::Path,
    time::{Duration, Instant},
};

use daisysill_wire::peer::{DispatchCount, SoftReport};
use tokio::time::sleep;

use crate::nodes::{Node, started};

/// Duration of each measurement, and of the wait before it.
const IDLE_TIME: Duration = Duration::from_secs(10);
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Clock ticks per second in `/proc/self/stat`.
const CLOCK_TICKS: f64 = 100.0;
/// Bytes of a memory page in `/proc/self/statm`.
const PAGE_BYTES: f64 = 4_096.0;

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
pub(crate) struct IdleCost {
    nodes: f64,
    /// Bytes in and out.
    pub(crate) bytes_per_s: f64,
    most_bytes_per_s: f64,
    /// Share of a core.
    pub(crate) cpu_share: f64,
    /// Resident memory of the process.
    pub(crate) rss_mb: f64,
}

/// Measures the idle cost of `count` nodes; if `busy`, with constantly changing soft reports.
pub(crate) async fn idle(folder: &Path, count: usize, busy: bool) -> eyre::Result<IdleCost> {
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
pub(crate) fn linear_fit(costs: &[IdleCost], value: impl Fn(&IdleCost) -> f64) -> (f64, f64) {
    let count = costs.len() as f64;
    let mean_x = costs.iter().map(|cost| cost.nodes).sum::<f64>() / count;
    let mean_y = costs.iter().map(&value).sum::<f64>() / count;
    let covariance: f64 = costs.iter().map(|cost| (cost.nodes - mean_x) * (value(cost) - mean_y)).sum();
    let variance: f64 = costs.iter().map(|cost| (cost.nodes - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}
