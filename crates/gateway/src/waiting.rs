//! Requests that wait until an upstream has room.

use std::time::Duration;

use daisysill_core::{result_code::ResultCode, wait_queue::WaitQueue};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    caller_request::{Call, Progress, urgency},
    duration::millis,
    forward::{BUSY_RETRY_MS, Gateway},
    refusal::Refusal,
};

/// A request waits for room until this share of its goal has passed; later its answer would be late.
const WAIT_GOAL_SHARE: f64 = 0.5;

impl Gateway {
    /// Waits until a request ends at an upstream of the service; `false` if the wait would make the answer late.
    pub(crate) async fn wait_for_room(&self, call: &Call, progress: &mut Progress) -> bool {
        let goal = Duration::from_millis(call.route.goal_ms);
        let latest = call.arrived + goal.mul_f64(WAIT_GOAL_SHARE);
        if Instant::now() >= latest || call.time_left() == Duration::ZERO {
            return false;
        }
        self.metrics.waits_for_room.inc();
        let (wake, woken) = oneshot::channel();
        let now_ms = self.now_ms();
        let due_ms = now_ms + millis(latest.saturating_duration_since(Instant::now()));
        let queued = |act: &mut dyn FnMut(&mut WaitQueue<oneshot::Sender<()>>)| {
            act(self.waiting.borrow_mut().entry(call.service.clone()).or_default());
        };
        let mut turn = None;
        let mut wake = Some(wake);
        queued(&mut |queue| {
            turn = wake.take().map(|wake| queue.push(urgency(call), due_ms, now_ms, wake));
        });
        let began = Instant::now();
        let woken = timeout_at(latest, woken).await.is_ok();
        progress.waited += began.elapsed();
        if let Some(turn) = turn {
            queued(&mut |queue| queue.remove(&turn));
        }
        woken
    }

    /// Wakes requests that wait: the first of each service, since one place is free.
    pub(crate) fn wake_waiting(&self) {
        for queue in self.waiting.borrow_mut().values_mut() {
            while let Some(wake) = queue.pop() {
                if wake.send(()).is_ok() {
                    break;
                }
            }
        }
    }

    pub(crate) fn no_room(&self, call: &Call, progress: &Progress) -> Refusal {
        if progress.may_have_run > 0 {
            return Refusal::new(ResultCode::UpstreamFailed, "no other upstream has room");
        }
        let waiting = self.waiting.borrow().get(&call.service).map_or(0, WaitQueue::len);
        let reason = format!("no upstream has room; {waiting} requests wait");
        // The callers that are refused together come back spread over the next goals.
        let retry_ms = BUSY_RETRY_MS + rand::random_range(0..=call.route.goal_ms.max(1));
        Refusal::not_run(ResultCode::DeadlineUnreachable, reason, retry_ms)
    }
}
