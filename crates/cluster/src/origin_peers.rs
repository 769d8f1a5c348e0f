//! The nodes that a node asks for origins and reports them to: entry nodes call a control node, which calls the others. So an origin outlives the entry nodes and any one control node.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_core::ids::{InstanceId, ServiceName, SoftwareVersion};
use daisysill_wire::peer::{PeerClient, Spread};
use futures::{FutureExt, StreamExt, stream::FuturesUnordered};
use tokio::sync::watch;

use crate::{
    driver_input::ReplicaView,
    link::{CallError, Links},
};

/// Timeout of a lookup in what a control node knows itself; the caller waits for the answer.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of the lookups at the other control nodes.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a lookup that a control node may answer after the next reading of the list only.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The nodes to which a node reports origins, and which it asks for them.
#[derive(Clone, Debug)]
pub(crate) struct OriginPeers {
    pub(crate) name: InstanceId,
    pub(crate) links: Links,
    /// This node's replica; entry nodes have none.
    replica: watch::Receiver<ReplicaView>,
    /// The control node that an entry node polls.
    source: watch::Receiver<Option<InstanceId>>,
    /// The other control nodes as this node's replica last named them: a control node that leaves still reports after its
    /// replica has stopped. Empty on entry nodes.
    control_nodes: Arc<Mutex<Vec<InstanceId>>>,
}

impl OriginPeers {
    /// Creates the peers of the node `name`; `source` is the control node that it polls.
    pub(crate) fn new(
        name: &InstanceId,
        links: &Links,
        replica: &watch::Receiver<ReplicaView>,
        source: watch::Receiver<Option<InstanceId>>,
    ) -> Self {
        Self {
            name: name.clone(),
            links: links.clone(),
            replica: replica.clone(),
            source,
            control_nodes: Arc::default(),
        }
    }

    /// Asks for the software version at which a stream of a service began; `None` if no node knows it.
    pub(crate) async fn ask(&self, stream: u64, service: &ServiceName) -> Option<SoftwareVersion> {
        let answers = self.targets().into_iter().map(|target| self.ask_one(target, stream, service));
        let mut answers: FuturesUnordered<_> = answers.collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// Asks one control node. An entry node has it search only if it answers at once that it does not know the stream, since
    /// a search takes as long as the next reading of the list, and a node that is lost would be waited for.
    async fn ask_one(
        &self,
        target: InstanceId,
        stream: u64,
        service: &ServiceName,
    ) -> Option<SoftwareVersion> {
        if self.has_replica() {
            return self.call(&target, stream, service, Spread::None, SPREAD_TIMEOUT).await.ok()?;
        }
        let known = self.call(&target, stream, service, Spread::None, QUESTION_TIMEOUT).await.ok()?;
        if known.is_some() {
            return known;
        }
        self.call(&target, stream, service, Spread::ToControlNodes, SEARCH_TIMEOUT).await.ok()?
    }

    async fn call(
        &self,
        target: &InstanceId,
        stream: u64,
        service: &ServiceName,
        spread: Spread,
        limit: Duration,
    ) -> Result<Option<SoftwareVersion>, CallError> {
        let link = self.links.get(target).ok_or(CallError::NotSent)?;
        let service = service.clone();
        let call = move |client: PeerClient, context| {
            async move { client.stream_origin(context, stream, service, spread).await }.boxed()
        };
        link.call(limit, call).await
    }

    /// Returns the control nodes that this node turns to: an entry node the one that it polls, a control node all others, those
    /// too that do not vote. One that is no member yet turns to the one that it polls.
    pub(crate) fn targets(&self) -> Vec<InstanceId> {
        let mut control_nodes = self.control_nodes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(status) = &self.replica.borrow().status {
            let others = status.voters.members().filter(|name| **name != self.name);
            *control_nodes = others.cloned().collect();
        }
        if !control_nodes.is_empty() {
            return control_nodes.clone();
        }
        self.source.borrow().iter().filter(|source| **source != self.name).cloned().collect()
    }

    /// Returns whether the targets turn to further nodes.
    pub(crate) fn spread(&self) -> Spread {
        if self.has_replica() { Spread::None } else { Spread::ToControlNodes }
    }

    /// Returns whether this is a control node, perhaps one whose replica has stopped.
    fn has_replica(&self) -> bool {
        let control_nodes = self.control_nodes.lock().unwrap_or_else(PoisonError::into_inner);
        !control_nodes.is_empty() || self.replica.borrow().status.is_some()
    }
}
