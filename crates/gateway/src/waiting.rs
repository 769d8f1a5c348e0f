//! Requests that wait until an upstream has capacity.

use std::{rc::Rc, time::Duration};

use daisysill_core::{result_code::ResultCode, routing::RoutingTable, wait_queue::WaitQueue};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    caller_request::{AttemptHistory, CallerRequest, urgency},
    duration::millis,
    forward::Gateway,
    permits::LimitWait,
    refusal::Refusal,
    refusal_rules::BUSY_RETRY_MS,
};

/// Share of a request's goal for which it waits for capacity; after a longer wait its response would be late.
const WAIT_GOAL_SHARE: f64 = 0.5;
/// Time for which a stream that goes on waits for capacity; callers leave one that pauses for longer than two seconds.
const MAX_RESUME_WAIT: Duration = Duration::from_secs(1);

/// Time for which a request waits for the first configuration and list of upstreams after the start of this node.
const START_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a waiting request checks for them.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Gateway {
    /// Waits until capacity may be free again; `false` if the wait would make the response late.
    pub(crate) async fn wait_for_capacity(
        &self,
        request: &CallerRequest,
        history: &mut AttemptHistory,
    ) -> bool {
        let latest = latest_start(request, history);
        if Instant::now() >= latest || request.time_left() == Duration::ZERO {
            return false;
        }
        self.metrics.waits_for_room.inc();
        let (waker, woken) = oneshot::channel();
        let now_ms = self.now_ms();
        let due_ms = now_ms + millis(latest.saturating_duration_since(Instant::now()));
        let with_queue = |act: &mut dyn FnMut(&mut WaitQueue<oneshot::Sender<()>>)| {
            act(self.waiting.borrow_mut().entry(request.service.clone()).or_default());
        };
        let mut position = None;
        let mut waker = Some(waker);
        with_queue(&mut |queue| {
            position = waker.take().map(|waker| queue.push(urgency(request, history), due_ms, now_ms, waker));
        });
        let began = Instant::now();
        let woken = timeout_at(latest, woken).await.is_ok();
        history.waited += began.elapsed();
        if let Some(position) = position {
            with_queue(&mut |queue| queue.remove(&position));
        }
        woken
    }

    /// Waits until this node, which has just started, knows the listed upstreams; `false` if it knew them before or does not
    /// learn them in time.
    pub(crate) async fn wait_for_first_list(&self, request: &CallerRequest) -> bool {
        if self.upstreams.is_listed() {
            return false;
        }
        let limit = request.deadline.min(request.arrived + START_TIMEOUT);
        wait_for_first(limit, || self.upstreams.is_listed().then_some(())).await.is_some()
    }

    /// Returns the routing table. Waits for it if this node has just started; `None` if none arrives in time.
    pub(crate) async fn first_table(&self, arrived: Instant) -> Option<Rc<RoutingTable>> {
        let table = || self.confirmed_table().map(|confirmed| confirmed.table);
        wait_for_first(arrived + START_TIMEOUT, table).await
    }

    /// Waits until a permit is granted, or the share or the pause of an upstream admits a request of this node again; `false` if the
    /// wait would make the response late.
    pub(crate) async fn wait_for_rate_limit(
        &self,
        request: &CallerRequest,
        history: &mut AttemptHistory,
        wait: LimitWait,
    ) -> bool {
        let began = Instant::now();
        let latest = latest_start(request, history);
        if began + wait.earliest > latest || wait.earliest >= request.time_left() {
            return false;
        }
        self.metrics.waits_for_room.inc();
        let limit = wait.share.min(latest.saturating_duration_since(began)).min(request.time_left());
        if wait.earliest < wait.share {
            self.wait_for_grant(limit).await;
        } else {
            sleep(limit).await;
        }
        history.waited += began.elapsed();
        true
    }

    /// Wakes the first waiting request of each service, since a request that ended frees one slot.
    pub(crate) fn wake_waiting(&self) {
        for queue in self.waiting.borrow_mut().values_mut() {
            while let Some(waker) = queue.pop() {
                if waker.send(()).is_ok() {
                    break;
                }
            }
        }
    }

    /// Returns the refusal of a request for which no upstream has capacity in time.
    pub(crate) fn no_capacity_refusal(&self, request: &CallerRequest, history: &AttemptHistory) -> Refusal {
        if history.may_have_run > 0 {
            return Refusal::new(ResultCode::UpstreamFailed, "no other upstream has room");
        }
        let waiting = self.waiting.borrow().get(&request.service).map_or(0, WaitQueue::len);
        let reason = format!("no upstream has room; {waiting} requests wait");
        Refusal::not_run(ResultCode::DeadlineUnreachable, reason, self.overload_pause_ms(request))
    }
}

impl Gateway {
    /// Records that the request is refused for lack of capacity; returns the time after which its caller should come back.
    fn overload_pause_ms(&self, request: &CallerRequest) -> u64 {
        let mut overloads = self.overloads.borrow_mut();
        let overload = overloads.entry(request.service.clone()).or_default();
        let now_ms = self.now_ms();
        overload.record_refusal(now_ms);
        overload.retry_after_ms(now_ms, millis(request.time_left()), BUSY_RETRY_MS, rand::random())
    }
}

/// Returns what `find` finds, as soon as it does; `None` if it finds nothing until `limit`.
async fn wait_for_first<T>(limit: Instant, find: impl Fn() -> Option<T>) -> Option<T> {
    loop {
        let found = find();
        if found.is_some() || Instant::now() >= limit {
            return found;
        }
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Returns the refusal of a request for which no upstream admits a request of this node for `wait`.
pub(crate) fn rate_limit_refusal(
    request: &CallerRequest,
    history: &AttemptHistory,
    wait: Duration,
) -> Refusal {
    let wait_ms = millis(wait);
    let reason = format!(
        "no upstream takes a request of this node for {wait_ms} ms: rate limits, pauses or cold upstreams"
    );
    let retry_ms = spread_retry_ms(request, wait_ms.max(BUSY_RETRY_MS));
    history.refusal(ResultCode::UpstreamsRateLimited, reason, retry_ms)
}

/// Returns the latest time at which an attempt may begin after a wait.
fn latest_start(request: &CallerRequest, history: &AttemptHistory) -> Instant {
    match history.resumed_at {
        Some(resumed_at) => resumed_at + MAX_RESUME_WAIT,
        None => request.arrived + Duration::from_millis(request.route.goal_ms).mul_f64(WAIT_GOAL_SHARE),
    }
}

/// Spreads the retries of callers that are refused at the same time.
fn spread_retry_ms(request: &CallerRequest, earliest_ms: u64) -> u64 {
    earliest_ms + rand::random_range(0..=request.route.goal_ms.max(1))
}
