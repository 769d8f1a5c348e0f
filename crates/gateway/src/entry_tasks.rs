//! Background tasks of an entry node: follow the configuration and the list of upstreams, and report the node's load.

use std::{rc::Rc, sync::Arc, time::Duration};

use daisysill_cluster::{BootInstant, ClusterHandle};
use daisysill_control::state::ConfigView;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    cold_list::follow_cold_upstreams,
    contact::watch_contact,
    discovery::{Discovery, ListedUpstream},
    entry_peers::follow_entry_peers,
    forward::Gateway,
    permits::follow_permit_needs,
};

/// If the list published by the leader is older than this, the node reads the platform's list itself. A published list
/// gets as old as the interval of the leader's reads, two reads of several pages, and the polls on its way.
const MAX_LIST_AGE: Duration = Duration::from_millis(2_200);
/// Time between two own reads of the platform's list, without jitter.
const OWN_LIST_INTERVAL_MS: u64 = 1_000;
/// Upper bound of the random time added to it, for each entry node: all of them lose the leader's list at the same
/// moment, and together must not flood the platform.
const OWN_LIST_JITTER_PER_NODE_MS: u64 = 20;
/// The same for all of a few entry nodes.
const MIN_OWN_LIST_JITTER_MS: u64 = 400;
/// Time after the start before the first own read, in which the leader's list usually arrives.
const FIRST_OWN_LIST_DELAY: Duration = Duration::from_secs(1);
/// Time between two load reports to the other nodes.
const REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two sweeps of the connection pool.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Starts a task that logs when contact with the control nodes is lost and regained.
pub(crate) fn spawn_contact_log(cluster: ClusterHandle) {
    let mut control_contact = cluster.control_contact();
    actix_rt::spawn(async move {
        while control_contact.changed().await.is_ok() {
            let current = *control_contact.borrow_and_update();
            let age_ms = cluster.config_age().map(|age| age.as_millis());
            tracing::info!(event = "control_contact", in_touch = current, config_age_ms = age_ms);
        }
    });
}

/// Starts the background tasks on the thread that serves callers.
pub(crate) fn spawn_tasks<D: Discovery>(gateway: &Rc<Gateway>, discovery: D) {
    let installer = Rc::clone(gateway);
    let install_rest = move |view: &ConfigView| installer.install_evacuations(&view.draining);
    actix_rt::spawn(gateway.routing.clone().follow(install_rest));
    actix_rt::spawn(follow_published_upstreams(Rc::clone(gateway)));
    actix_rt::spawn(poll_list_fallback(Rc::clone(gateway), discovery));
    actix_rt::spawn(report_loads(Rc::clone(gateway)));
    actix_rt::spawn(follow_cold_upstreams(Rc::clone(gateway)));
    actix_rt::spawn(follow_permit_needs(Rc::clone(gateway)));
    actix_rt::spawn(watch_contact(Rc::clone(gateway)));
    actix_rt::spawn(follow_entry_peers(Rc::clone(gateway)));
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let listed = gateway.upstreams.addresses();
            gateway.pool.sweep(|address| listed.contains(address));
            gateway.update_hint_gauges();
            gateway.update_evacuation_gauges();
        }
    });
}

/// Reports this node's load to the other nodes, and wakes requests that wait for capacity whenever a request ends and
/// with each report.
async fn report_loads(gateway: Rc<Gateway>) {
    let mut report_due = Instant::now();
    loop {
        let has_ended = timeout_at(report_due, gateway.request_ended.notified()).await.is_ok();
        gateway.wake_waiting();
        gateway.process_clock.now_ms();
        gateway.retry_node_peak.record(gateway.entry_nodes());
        if !has_ended {
            gateway.cluster.set_loads(gateway.load_report());
            report_due = Instant::now() + REPORT_INTERVAL;
        }
    }
}

/// Follows the list of upstreams that the leader publishes.
async fn follow_published_upstreams(gateway: Rc<Gateway>) {
    let mut updates = gateway.cluster.published_upstreams();
    loop {
        let published = Arc::clone(&updates.borrow_and_update());
        if !published.source.is_empty() {
            gateway.upstreams.replace(&published.upstreams);
            gateway.record_node_count();
            gateway.apply_cold_reading();
            tracing::info!(
                event = "board",
                source = published.source,
                number = published.number,
                upstreams = published.upstreams.len(),
                draining = published.upstreams.iter().filter(|entry| entry.draining).count(),
                loading = published.upstreams.iter().filter(|entry| entry.loading).count(),
                entry_nodes = published.entry_nodes,
            );
        }
        if updates.changed().await.is_err() {
            return;
        }
    }
}

/// Reads the platform's list while the leader publishes none.
async fn poll_list_fallback<D: Discovery>(gateway: Rc<Gateway>, discovery: D) {
    sleep(FIRST_OWN_LIST_DELAY).await;
    loop {
        let jitter_ms = OWN_LIST_JITTER_PER_NODE_MS * u64::from(gateway.entry_nodes());
        let pause_ms = OWN_LIST_INTERVAL_MS + rand::random_range(0..jitter_ms.max(MIN_OWN_LIST_JITTER_MS));
        sleep(Duration::from_millis(pause_ms)).await;
        if gateway.cluster.published_upstreams_age().is_some_and(|age| age < MAX_LIST_AGE) {
            continue;
        }
        gateway.metrics.list_calls.inc();
        let begun_at = BootInstant::now();
        match discovery.list().await {
            Ok(listed) => {
                gateway.cluster.record_cold(ListedUpstream::cold_times(&listed), begun_at);
                let (entries, software) = ListedUpstream::split(listed);
                gateway.cluster.record_software(software);
                tracing::info!(event = "own_list", upstreams = entries.len());
                gateway.upstreams.replace(&entries);
                gateway.apply_cold_reading();
            }
            Err(error) => tracing::info!(event = "own_list", error),
        }
    }
}
