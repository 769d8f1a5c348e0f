//! What admission would do with a request now; offers are decided by it, so that `daisysill where` shows the same.

use crate::{
    admission::{Admission, MIN_RETRY_AFTER_MS, Offer},
    result_code::ResultCode,
};

/// What [`Admission::offer`] would do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Preview {
    /// It would start.
    Admit {
        /// One line for `daisysill explain`.
        reason: String,
    },
    /// It would wait in its customer's queue.
    Queue {
        /// One line for `daisysill explain`.
        reason: String,
        /// Expected wait.
        wait_ms: u64,
    },
    /// It would be refused.
    Refuse {
        /// Result code of the refusal.
        code: ResultCode,
        /// When a retry makes sense.
        retry_after_ms: u64,
        /// One line for `daisysill explain`.
        reason: String,
    },
}

impl Admission {
    /// Returns what [`Self::offer`] would do now, without a change.
    ///
    /// ```
    /// use daisysill_core::admission::{Admission, AdmissionPolicy, ConcurrencyPolicy, Offer, Preview};
    /// let concurrency = ConcurrencyPolicy { initial: 1, min: 1, max: 8 };
    /// let policy = AdmissionPolicy { max_queue_per_customer: 4, max_queue: 64, concurrency };
    /// let mut admission = Admission::new(policy);
    /// let offer = Offer { customer: &"opera-a".into(), share: 1, start_within_ms: 5_000 };
    /// assert!(matches!(admission.preview(&offer), Preview::Admit { .. }));
    /// admission.offer(0, &offer);
    /// assert!(matches!(admission.preview(&offer), Preview::Queue { .. }));
    /// ```
    pub fn preview(&self, offer: &Offer<'_>) -> Preview {
        let share = offer.share.max(1);
        let flow = self.flows.get(offer.customer);
        let (queued, in_flight) = flow.map_or((0, 0), |flow| (flow.queue.len(), flow.in_flight));
        if queued == 0 && self.may_start(share, in_flight, flow.is_some()) {
            let reason = format!(
                "admitted: {} of {} slots in use, {in_flight} by this customer",
                self.in_flight,
                self.limit.limit()
            );
            return Preview::Admit { reason };
        }
        let wait_ms = self.queue_wait_ms(share, queued, flow.is_some());
        if wait_ms > offer.start_within_ms {
            let text =
                format!("expected wait {wait_ms} ms, start needed within {} ms", offer.start_within_ms);
            return refuse(ResultCode::DeadlineUnreachable, wait_ms - offer.start_within_ms, &text);
        }
        if queued >= self.policy.max_queue_per_customer {
            let text = format!("{queued} requests of this customer wait");
            return refuse(
                ResultCode::CustomerOverloaded,
                self.start_interval_ms(share, flow.is_some()),
                &text,
            );
        }
        if self.waiting >= self.policy.max_queue && !self.may_exceed_queue(share, queued) {
            let text = format!("{} requests wait", self.waiting);
            return refuse(
                ResultCode::CustomerOverloaded,
                self.start_interval_ms(share, flow.is_some()),
                &text,
            );
        }
        let reason = format!("queued: {queued} of this customer ahead, expected wait {wait_ms} ms");
        Preview::Queue { reason, wait_ms }
    }
}

fn refuse(code: ResultCode, retry_after_ms: u64, text: &str) -> Preview {
    let retry_after_ms = retry_after_ms.max(MIN_RETRY_AFTER_MS);
    let reason = format!("refused: {text}; come back in {retry_after_ms} ms");
    Preview::Refuse { code, retry_after_ms, reason }
}
