//! Reports origins to other nodes until each of them has all that it may lack, also if it starts anew.
//!
//! A receiver is sent new origins at once, and asked for its process from time to time while there is something that it could
//! have lost. One that has started anew is sent everything again, page by page.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use daisysill_core::{ids::InstanceId, origin_log::ProcessId};
use daisysill_wire::peer::{PeerClient, ReportedOrigin, StreamOrigin};
use futures::{FutureExt, future::join_all};
use tokio::{
    task::{AbortHandle, JoinSet},
    time::{sleep, timeout},
};

use crate::{
    handle::ClusterHandle, link::NewerCall, origin_peers::OriginPeers, origins::OriginStore,
    soft_state::SoftState,
};

/// Time for which origins are collected before they are reported. Callers take up a stream after it broke, and a new
/// connection alone takes them some milliseconds.
const COLLECT_TIME: Duration = Duration::from_millis(15);
/// Interval at which a receiver that holds all is asked for its process, so that one that started anew is noticed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a report is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of origins in a report, about 40 KB.
const PAGE_ORIGINS: usize = 2_000;
/// Pause after a full page, so that a control node that started anew is not kept from its heartbeats.
const PAGE_PAUSE: Duration = Duration::from_millis(10);
/// Interval at which the receivers are looked up.
const TARGETS_INTERVAL: Duration = Duration::from_millis(100);
/// The process of receivers of builds without `report_origins`, whose starts cannot be distinguished.
const OLD_BUILD: ProcessId = ProcessId(0);

/// Reports the origins of a node to all its receivers until the task is aborted.
pub(crate) async fn run(peers: OriginPeers, soft_state: Arc<SoftState>) {
    let mut reporters = JoinSet::new();
    let mut running: BTreeMap<InstanceId, AbortHandle> = BTreeMap::new();
    loop {
        let targets = peers.targets();
        running.retain(|name, reporter| {
            let remains = targets.contains(name);
            if !remains {
                reporter.abort();
            }
            remains
        });
        while reporters.try_join_next().is_some() {}
        for name in targets {
            running.entry(name).or_insert_with_key(|name| {
                let peer = Peer { peers: peers.clone(), name: name.clone() };
                let soft_state = Arc::clone(&soft_state);
                reporters.spawn(async move { report_to(&soft_state.origins, &peer.name, &peer).await })
            });
        }
        sleep(TARGETS_INTERVAL).await;
    }
}

/// A node to which origins are reported.
pub trait OriginReceiver: Send + Sync {
    /// Reports origins, possibly none; returns the process that took them, or `None` if none is known to have.
    fn report(&self, origins: Vec<ReportedOrigin>) -> impl Future<Output = Option<ProcessId>> + Send;
}

/// Reports the origins of a store to the node `name`, those that it lacks and new ones, until the task is aborted.
pub async fn report_to(store: &OriginStore, name: &InstanceId, receiver: &impl OriginReceiver) {
    let mut additions = store.additions();
    loop {
        if store.has_origins() && !report_all(store, name, receiver).await {
            sleep(RETRY_DELAY).await;
            continue;
        }
        if let Ok(Ok(())) = timeout(CHECK_INTERVAL, additions.changed()).await {
            sleep(COLLECT_TIME).await;
        }
    }
}

/// Reports what a node may lack, at least an empty page, which shows whether it has started anew. Returns whether it holds
/// all.
async fn report_all(store: &OriginStore, name: &InstanceId, receiver: &impl OriginReceiver) -> bool {
    loop {
        let (page, end) = store.next_report(name, PAGE_ORIGINS);
        let Some(process) = receiver.report(page).await else { return false };
        if store.record_answer(name, process, end) {
            log::info!("{name} has started anew; reports where streams began to it again");
        }
        if !store.is_behind(name) {
            return true;
        }
        sleep(PAGE_PAUSE).await;
    }
}

/// Another node of the cluster as a receiver.
struct Peer {
    peers: OriginPeers,
    name: InstanceId,
}

impl OriginReceiver for Peer {
    async fn report(&self, origins: Vec<ReportedOrigin>) -> Option<ProcessId> {
        let link = self.peers.links.get(&self.name)?;
        let spread = self.peers.spread();
        if link.admits(NewerCall::ReportOrigins) {
            let call = move |client: PeerClient, context| {
                async move { client.report_origins(context, origins, spread).await }.boxed()
            };
            return link.call_newer(NewerCall::ReportOrigins, REPORT_TIMEOUT, call).await.ok();
        }
        let origins: Vec<StreamOrigin> = origins.into_iter().map(|reported| reported.origin).collect();
        let call = move |client: PeerClient, context| {
            async move { client.stream_origins(context, origins, spread).await }.boxed()
        };
        link.call(REPORT_TIMEOUT, call).await.ok().map(|()| OLD_BUILD)
    }
}

impl ClusterHandle {
    /// Reports the origins of streams that other nodes lack before this one ends; returns after `limit` at the latest.
    pub async fn hand_over_origins(&self, limit: Duration) {
        let (peers, soft_state) = (self.inner.origin_peers.clone(), Arc::clone(&self.inner.soft_state));
        // Runs on the cluster's runtime, to which the connections belong.
        let reports = self.inner.runtime.spawn(async move {
            let store = &soft_state.origins;
            let behind = peers.targets().into_iter().filter(|name| store.is_behind(name));
            let receivers: Vec<Peer> = behind.map(|name| Peer { peers: peers.clone(), name }).collect();
            join_all(receivers.iter().map(|peer| report_all(store, &peer.name, peer))).await;
        });
        let _ = timeout(limit, reports).await;
    }
}
