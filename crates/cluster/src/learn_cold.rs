//! Asks a control node which upstreams are cold, on behalf of a node that polls it.

use std::time::Duration;

use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::{ObserveReply, PeerClient};
use futures::FutureExt;

use crate::{
    clock::BootInstant,
    link::NewerCall,
    observer::{Observer, RESPONSE_GRACE},
};

impl Observer {
    /// Learns which upstreams are cold before a new list is adopted, and with each later reading of the list while it matters:
    /// always on a control node, which others ask, and on an entry node while an upstream is cold or of unknown state.
    pub(crate) async fn learn_cold(&self, source: &InstanceId, reply: &ObserveReply, polled_at: BootInstant) {
        let table = &self.soft_state.cold;
        let age = reply.published_age_ms.map(Duration::from_millis);
        let Some(read_at) = age.and_then(|age| polled_at.checked_sub(age)) else { return };
        let is_new = reply.published_upstreams.is_some();
        let is_due = (self.has_replica() || table.is_needed()) && table.try_ask(read_at);
        let Some(link) = self.links.get(source).filter(|_| is_new || is_due) else { return };
        let list = reply.published_upstreams.clone().unwrap_or_else(|| self.published.get());
        let missing = table.missing(&list.upstreams);
        let (asked, asked_at) = (missing.clone(), BootInstant::now());
        let call =
            |client: PeerClient, context| async move { client.cold_upstreams(context, asked).await }.boxed();
        match link.call_newer(NewerCall::ColdUpstreams, RESPONSE_GRACE, call).await {
            Ok(answer) => table.adopt(missing, answer, asked_at),
            Err(error) => log::info!("no cold upstreams from {source}: {error:?}"),
        }
        table.prune(&list.upstreams);
    }
}
