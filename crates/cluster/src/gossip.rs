//! Gossip: each node exchanges heartbeats with a few partners, so that its traffic does not grow with the number
//! of nodes.
//!
//! The partners are the live nodes at distances 1, 2, 4, ... on the ring of the zone's nodes ordered by name,
//! and a node of another zone every few rounds. An update crosses a zone in about as many rounds as the ring has
//! such distances.

use std::{sync::Arc, time::Duration};

use daisysill_core::ids::{InstanceId, ZoneName};
use futures::FutureExt;

use crate::{
    config::ClusterConfig,
    link::{Link, Links},
    members::Members,
    metrics::ClusterMetrics,
    view_store::ViewStore,
};

/// Mean interval between the exchanges that a node starts.
pub(crate) const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// An exchange without a response in this time counts as lost; if nothing at all arrived, its connection is closed.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// One in this many rounds uses a partner in another zone.
const CROSS_ZONE_ROUNDS: usize = 4;
/// One in this many rounds tries a node considered dead, so that nodes find each other again after a partition.
const RETRY_ROUNDS: usize = 5;

/// Exchanges heartbeats with the other nodes.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    /// Name of this node.
    pub(crate) name: InstanceId,
    pub(crate) zone: ZoneName,
    pub(crate) links: Links,
    pub(crate) members: Arc<Members>,
    pub(crate) views: Arc<ViewStore>,
    /// Counts lost heartbeats.
    pub(crate) metrics: ClusterMetrics,
}

impl Gossip {
    /// Creates the gossip of a node, without starting it.
    pub(crate) fn new(
        config: &ClusterConfig,
        links: &Links,
        members: &Arc<Members>,
        views: &Arc<ViewStore>,
        metrics: &ClusterMetrics,
    ) -> Self {
        Self {
            name: config.name.clone(),
            zone: config.zone.clone(),
            links: links.clone(),
            members: Arc::clone(members),
            views: Arc::clone(views),
            metrics: metrics.clone(),
        }
    }

    /// Starts an exchange each round until the task is aborted.
    pub(crate) async fn run(self) {
        for round in 0.. {
            self.members.advance_heartbeat(self.views.version());
            if let Some(link) = self.partner(round) {
                let gossip = self.clone();
                tokio::spawn(async move { gossip.exchange(&link).await });
            }
            if round % 50 == 0 {
                self.links.iter().for_each(|link| link.close_idle());
            }
            let jitter = rand::random_range(0.8..1.2);
            tokio::time::sleep(ROUND_INTERVAL.mul_f64(jitter)).await;
        }
    }

    /// Exchanges heartbeats with all ring partners and some nodes of other zones at once, for an update that cannot
    /// wait for the next rounds.
    pub(crate) async fn notify_partners(&self) {
        self.members.advance_heartbeat(self.views.version());
        let ring = self.ring();
        let near = distances(ring.len()).filter_map(|distance| ring.get(distance - 1).copied());
        let far = self.links.iter().filter(|link| link.zone != self.zone).step_by(16);
        futures::future::join_all(near.chain(far).map(|link| self.exchange(link))).await;
    }

    async fn exchange(&self, link: &Link) {
        let heartbeat = self.members.heartbeat_for(&link.name);
        let call = move |client: daisysill_wire::peer::PeerClient, context| {
            async move { client.heartbeat(context, heartbeat).await }.boxed()
        };
        match link.call(EXCHANGE_TIMEOUT, call).await {
            Ok(reply) if reply.from == link.name => self.members.receive(reply),
            Ok(_) => {}
            Err(_) => {
                self.metrics.heartbeats_lost.inc();
                self.members.exchange_failed(&link.name);
            }
        }
    }

    /// Returns the other nodes of the zone, ordered by name and starting after this node.
    fn ring(&self) -> Vec<&Arc<Link>> {
        let zone = self.links.iter().filter(|link| link.zone == self.zone);
        let (before, after): (Vec<_>, Vec<_>) = zone.partition(|link| link.name < self.name);
        after.into_iter().chain(before).collect()
    }

    fn partner(&self, round: usize) -> Option<Arc<Link>> {
        let ring = self.ring();
        let others: Vec<&Arc<Link>> = self.links.iter().filter(|link| link.zone != self.zone).collect();
        if ring.is_empty() || (round % CROSS_ZONE_ROUNDS == CROSS_ZONE_ROUNDS - 1 && !others.is_empty()) {
            // At most four fixed partners per node, so that their connections stay open.
            let turn = round / CROSS_ZONE_ROUNDS;
            let count = others.len();
            let first = hash_index(&self.name, count) + (turn % count.clamp(1, 4)) * count.div_ceil(4).max(1);
            return self.first_alive(&others, first, turn);
        }
        let distances: Vec<usize> = distances(ring.len()).collect();
        let distance = distances.get(round % distances.len())?;
        self.first_alive(&ring, distance - 1, round)
    }

    fn first_alive(&self, links: &[&Arc<Link>], first: usize, turn: usize) -> Option<Arc<Link>> {
        let in_order = || links.iter().cycle().skip(first).take(links.len());
        let dead: Vec<_> = in_order().filter(|link| !self.members.is_alive(&link.name)).collect();
        if turn.is_multiple_of(RETRY_ROUNDS) && !dead.is_empty() {
            return dead.get(rand::random_range(0..dead.len())).map(|link| Arc::clone(link));
        }
        let alive = in_order().find(|link| self.members.is_alive(&link.name));
        alive.or_else(|| in_order().nth(rand::random_range(0..links.len().max(1)))).map(|l| Arc::clone(l))
    }
}

/// Returns the distances 1, 2, 4, ... up to `count`.
fn distances(count: usize) -> impl Iterator<Item = usize> {
    std::iter::successors(Some(1), |distance| Some(distance * 2))
        .take_while(move |distance| *distance <= count)
}

/// Returns a number below `count` derived from the hash of the name, to spread nodes over `count` choices.
pub(crate) fn hash_index(name: &InstanceId, count: usize) -> usize {
    let digest = blake3::hash(name.as_str().as_bytes());
    let number = digest.as_bytes().iter().take(4).fold(0, |sum: usize, byte| sum * 256 + usize::from(*byte));
    number % count.max(1)
}
