//! Statuses of the answers that the gateway makes itself.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::result_code::{ResultCode, RunState};
use daisysill_gateway::refusal::{Refusal, promises_not_run};

/// Guards against a result code whose status promises "not run" for a request that may have run: only 503 was replaced.
#[test]
fn no_status_promises_not_run_for_a_request_that_may_have_run() {
    for code in ResultCode::ALL {
        let refusal = Refusal::after_attempts(true, *code, "an attempt may have run it", 250);
        assert_eq!(refusal.run_state, RunState::MayHaveRun, "{}", code.name());
        assert!(!promises_not_run(refusal.status()), "{}: {}", code.name(), refusal.status());
        assert_eq!(refusal.retry_after_ms, None, "{}", code.name());
    }
}
