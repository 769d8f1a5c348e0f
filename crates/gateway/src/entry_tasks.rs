//! What an entry node does beside its requests: follows the list and the configuration, and tells of its work.

use std::{rc::Rc, sync::Arc, time::Duration};

use daisysill_cluster::ClusterHandle;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    discovery::{Discovery, DocumentFormat},
    forward::Gateway,
};

/// A board older than this is not waited for any longer; the list is read here.
const BOARD_LIMIT: Duration = Duration::from_millis(1_800);
/// Time between two own reads of the list, and the jitter on top.
const OWN_LIST_INTERVAL_MS: u64 = 1_000;
const OWN_LIST_JITTER_MS: u64 = 400;
/// Time between two reports of the work in flight.
const REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Logs each loss of contact with the control nodes, and when it is regained.
pub(crate) fn watch_contact(cluster: ClusterHandle) {
    let mut in_touch = cluster.in_touch();
    actix_rt::spawn(async move {
        while in_touch.changed().await.is_ok() {
            let current = *in_touch.borrow_and_update();
            let age_ms = cluster.config_age().map(|age| age.as_millis());
            tracing::info!(event = "control_contact", in_touch = current, config_age_ms = age_ms);
        }
    });
}

/// Starts the tasks of the thread that serves callers.
pub(crate) fn spawn_tasks<D: Discovery>(
    gateway: &Rc<Gateway>,
    format: Arc<dyn DocumentFormat>,
    discovery: D,
) {
    actix_rt::spawn(gateway.routing.clone().follow(gateway.cluster.clone(), format));
    actix_rt::spawn(follow_board(Rc::clone(gateway)));
    actix_rt::spawn(read_list_if_cut_off(Rc::clone(gateway), discovery));
    actix_rt::spawn(share_room(Rc::clone(gateway)));
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let listed = gateway.upstreams.addresses();
            gateway.pool.sweep(|address| listed.contains(address));
        }
    });
}

/// Tells the other nodes of this one's work in flight, and wakes requests that wait for room.
async fn share_room(gateway: Rc<Gateway>) {
    let mut report_due = Instant::now();
    loop {
        let released = timeout_at(report_due, gateway.released.notified()).await.is_ok();
        gateway.wake_waiting();
        if !released {
            gateway.cluster.set_loads(gateway.upstreams.loads());
            report_due = Instant::now() + REPORT_INTERVAL;
        }
    }
}

async fn follow_board(gateway: Rc<Gateway>) {
    let mut boards = gateway.cluster.published_upstreams();
    loop {
        let published_upstreams = Arc::clone(&boards.borrow_and_update());
        if !published_upstreams.source.is_empty() {
            gateway.upstreams.replace(&published_upstreams.upstreams);
            tracing::info!(
                event = "board",
                source = published_upstreams.source,
                number = published_upstreams.number,
                upstreams = published_upstreams.upstreams.len(),
                draining = published_upstreams.upstreams.iter().filter(|entry| entry.draining).count(),
                loading = published_upstreams.upstreams.iter().filter(|entry| entry.loading).count(),
                entry_nodes = published_upstreams.entry_nodes,
            );
        }
        if boards.changed().await.is_err() {
            return;
        }
    }
}

/// Reads the list here while no control node passes it on.
async fn read_list_if_cut_off<D: Discovery>(gateway: Rc<Gateway>, discovery: D) {
    loop {
        let pause_ms = OWN_LIST_INTERVAL_MS + rand::random_range(0..OWN_LIST_JITTER_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        if gateway.cluster.published_upstreams_age().is_some_and(|age| age < BOARD_LIMIT) {
            continue;
        }
        gateway.metrics.list_calls.inc();
        match discovery.list().await {
            Ok(entries) => {
                tracing::info!(event = "own_list", upstreams = entries.len());
                gateway.upstreams.replace(&entries);
            }
            Err(error) => tracing::info!(event = "own_list", error),
        }
    }
}
