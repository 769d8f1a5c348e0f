//! Requests that wait until an upstream has capacity.

use std::time::Duration;

use daisysill_core::{result_code::ResultCode, wait_queue::WaitQueue};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    caller_request::{AttemptHistory, CallerRequest, urgency},
    duration::millis,
    forward::{BUSY_RETRY_MS, Gateway},
    refusal::Refusal,
};

/// Share of a request's goal for which it waits for capacity; after a longer wait its response would be late.
const WAIT_GOAL_SHARE: f64 = 0.5;

impl Gateway {
    /// Waits until capacity may be free again; `false` if the wait would make the response late.
    pub(crate) async fn wait_for_capacity(
        &self,
        request: &CallerRequest,
        history: &mut AttemptHistory,
    ) -> bool {
        let goal = Duration::from_millis(request.route.goal_ms);
        let latest = request.arrived + goal.mul_f64(WAIT_GOAL_SHARE);
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
            position = waker.take().map(|waker| queue.push(urgency(request), due_ms, now_ms, waker));
        });
        let began = Instant::now();
        let woken = timeout_at(latest, woken).await.is_ok();
        history.waited += began.elapsed();
        if let Some(position) = position {
            with_queue(&mut |queue| queue.remove(&position));
        }
        woken
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
        // Spreads the retries of callers that are refused at the same time.
        let retry_ms = BUSY_RETRY_MS + rand::random_range(0..=request.route.goal_ms.max(1));
        Refusal::not_run(ResultCode::DeadlineUnreachable, reason, retry_ms)
    }
}
