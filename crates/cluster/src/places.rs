//! Places (slots) of plain services at an entry node: acquired from the leader, and released when a request has ended.

use std::{sync::Arc, time::Duration};

use daisysill_core::{ids::ServiceName, place_queue::PlaceEnd};
use daisysill_wire::peer::{PeerClient, PlaceAnswer, PlaceRelease, PlaceRequest};
use futures::FutureExt;
use tokio::{
    runtime::Handle,
    time::{sleep, timeout},
};

use crate::{
    handle::ClusterHandle,
    link::{Link, NewerCall},
    observer::RESPONSE_GRACE,
};

/// Attempts to release a place.
const RELEASE_ATTEMPTS: u32 = 3;
/// Delay after a failed attempt.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What became of a request for a place.
#[derive(Debug)]
pub enum PlaceOutcome {
    /// The request may be sent to the place's upstream.
    Granted(HeldPlace),
    /// The request would be late; its caller should come back after this time.
    Refused {
        /// The time in ms.
        retry_after_ms: u64,
    },
    /// The leader is not known, can't be reached, doesn't know the call or did not answer in time.
    Unanswered,
}

/// A place that the leader granted; released on drop.
#[derive(Debug)]
pub struct HeldPlace {
    upstream: u64,
    place: u64,
    service: ServiceName,
    end: PlaceEnd,
    leader: Arc<Link>,
    runtime: Handle,
}

impl HeldPlace {
    /// Returns the hash of the upstream's id.
    pub const fn upstream(&self) -> u64 {
        self.upstream
    }

    /// Records that the upstream serves the request.
    pub fn mark_served(&mut self) {
        self.end = PlaceEnd::Ended;
    }

    /// Records that the upstream has rejected the request.
    pub fn mark_rejected(&mut self) {
        self.end = PlaceEnd::Rejected;
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let leader = Arc::clone(&self.leader);
        let release = PlaceRelease { service: self.service.clone(), place: self.place, end: self.end };
        // A leader that granted the place knows the call. A place whose release is lost expires at the deadline of its request,
        // which is many times the time for which places are held.
        self.runtime.spawn(async move {
            for _ in 0..RELEASE_ATTEMPTS {
                let releases = vec![release.clone()];
                let call = |client: PeerClient, context| {
                    async move { client.release_places(context, releases).await }.boxed()
                };
                if leader.call(RESPONSE_GRACE, call).await.is_ok() {
                    break;
                }
                sleep(RELEASE_RETRY_DELAY).await;
            }
        });
    }
}

impl ClusterHandle {
    /// Acquires a place from the leader and waits for its answer for at most `limit`. A place that is granted later is
    /// released at once.
    pub async fn acquire_place(&self, request: PlaceRequest, limit: Duration) -> PlaceOutcome {
        let Some(leader) = self.inner.leader.get().and_then(|name| self.inner.proposer.links.get(&name))
        else {
            return PlaceOutcome::Unanswered;
        };
        let runtime = self.inner.runtime.clone();
        // Runs on the cluster's runtime, to which the connections belong, and continues if this future is dropped: its output is
        // then dropped, which releases the place.
        let call = self.inner.runtime.spawn(acquire(leader, runtime, request));
        match timeout(limit, call).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => PlaceOutcome::Unanswered,
        }
    }
}

async fn acquire(leader: Arc<Link>, runtime: Handle, request: PlaceRequest) -> PlaceOutcome {
    let service = request.service.clone();
    let limit = Duration::from_millis(request.max_wait_ms) + RESPONSE_GRACE;
    let call =
        |client: PeerClient, context| async move { client.acquire_place(context, request).await }.boxed();
    match leader.call_newer(NewerCall::AcquirePlace, limit, call).await {
        Ok(PlaceAnswer::Granted { place, upstream }) => PlaceOutcome::Granted(HeldPlace {
            upstream,
            place,
            service,
            end: PlaceEnd::Failed,
            leader,
            runtime,
        }),
        Ok(PlaceAnswer::Refused { retry_after_ms }) => PlaceOutcome::Refused { retry_after_ms },
        Ok(PlaceAnswer::NotLeader | PlaceAnswer::Overloaded) | Err(_) => PlaceOutcome::Unanswered,
    }
}
