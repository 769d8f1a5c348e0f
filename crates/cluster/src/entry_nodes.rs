//! Which entry nodes could serve the callers of one that reaches no upstream.
//!
//! Each control node knows the entry nodes that poll it, and which of all entry nodes have said that they reach no upstream.
//! An entry node asks the control node that it polls, which asks the others.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::{EntryNodesQuestion, PeerClient, Spread};
use futures::{FutureExt, future::join_all};
use rand::seq::SliceRandom;

use crate::{
    clock::BootInstant, handle::ClusterHandle, link::NewerCall, origin_peers::OriginPeers,
    published_upstreams::PublishedStore,
};

/// Time for which a node counts as cut off after it has said so; it repeats it more often.
const CUT_OFF_TIME: Duration = Duration::from_millis(1_500);
/// Time for the control node that an entry node asks, and for those that it asks in turn.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);
const SPREAD_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of entry nodes in an answer; they are drawn at random, so that callers spread over all.
const MAX_NODES: usize = 16;

/// The entry nodes that have said that they reach no upstream, and when.
#[derive(Debug, Default)]
pub(crate) struct CutOffNodes(Mutex<BTreeMap<InstanceId, BootInstant>>);

impl CutOffNodes {
    fn record(&self, question: &EntryNodesQuestion) {
        let mut nodes = self.lock();
        nodes.retain(|_, at| at.elapsed() < CUT_OFF_TIME);
        if question.is_cut_off {
            nodes.insert(question.node.clone(), BootInstant::now());
        } else {
            nodes.remove(&question.node);
        }
    }

    fn contains(&self, node: &InstanceId) -> bool {
        self.lock().get(node).is_some_and(|at| at.elapsed() < CUT_OFF_TIME)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, BootInstant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers the question of an entry node at a control node.
pub(crate) async fn answer(
    question: EntryNodesQuestion,
    published: &PublishedStore,
    cut_off: &CutOffNodes,
    peers: &OriginPeers,
) -> Vec<InstanceId> {
    cut_off.record(&question);
    let mut nodes = published.polling_names();
    if question.spread == Spread::ToControlNodes {
        nodes.extend(peers.ask_entry_nodes(&question.node, question.is_cut_off).await);
    }
    nodes.retain(|node| *node != question.node && !cut_off.contains(node));
    nodes.sort();
    nodes.dedup();
    nodes.shuffle(&mut rand::rng());
    nodes.truncate(MAX_NODES);
    nodes
}

impl OriginPeers {
    /// Asks each target for entry nodes on behalf of `node`; none if no target answers in time.
    async fn ask_entry_nodes(&self, node: &InstanceId, is_cut_off: bool) -> Vec<InstanceId> {
        let spread = self.spread();
        let limit = match spread {
            Spread::ToControlNodes => QUESTION_TIMEOUT,
            Spread::None => SPREAD_TIMEOUT,
        };
        let questions = self.targets().into_iter().map(|target| {
            let question = EntryNodesQuestion { node: node.clone(), is_cut_off, spread };
            async move {
                let link = self.links.get(&target)?;
                let call = move |client: PeerClient, context| {
                    async move { client.entry_nodes(context, question).await }.boxed()
                };
                link.call_newer(NewerCall::EntryNodes, limit, call).await.ok()
            }
        });
        join_all(questions).await.into_iter().flatten().flatten().collect()
    }
}

impl ClusterHandle {
    /// Returns some live entry nodes that reach the upstreams as far as known, and tells the control nodes whether this one
    /// is cut off from them; none if no control node answers.
    pub async fn entry_nodes(&self, is_cut_off: bool) -> Vec<InstanceId> {
        let peers = self.inner.origin_peers.clone();
        // Runs on the cluster's runtime, to which the connections belong.
        let question =
            self.inner.runtime.spawn(async move { peers.ask_entry_nodes(&peers.name, is_cut_off).await });
        question.await.unwrap_or_default()
    }
}
