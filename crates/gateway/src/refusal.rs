//! Responses that the gateway sends itself instead of relaying one of an upstream.

use actix_web::{
    HttpResponse,
    http::{StatusCode, header},
};
use daisysill_core::result_code::{ResultCode, RunState};

/// Header that carries the number of the result code.
const RESULT_CODE_HEADER: &str = "x-daisysill-result-code";

/// Returns whether a status promises that the request has not run and will not run.
///
/// ```
/// use actix_web::http::StatusCode;
/// use daisysill_gateway::refusal::promises_not_run;
/// assert!(promises_not_run(StatusCode::TOO_MANY_REQUESTS));
/// assert!(!promises_not_run(StatusCode::BAD_GATEWAY));
/// ```
pub const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A request that the gateway refuses or has failed to forward.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The code reported to the caller; its name is the body.
    pub code: ResultCode,
    /// Whether the request may have run, counting only this try of the caller.
    pub run_state: RunState,
    /// Time after which the caller may retry; `None` if no retry is suggested.
    pub retry_after_ms: Option<u64>,
    /// Cause with the inputs of the decision; logged, not sent.
    pub reason: String,
}

impl Refusal {
    /// Creates a refusal with the default run state of the code and without retry-after.
    pub fn new(code: ResultCode, reason: impl Into<String>) -> Self {
        Self { code, run_state: code.run_state(), retry_after_ms: None, reason: reason.into() }
    }

    /// Creates a refusal of a request that has certainly not run.
    pub fn not_run(code: ResultCode, reason: impl Into<String>, retry_after_ms: u64) -> Self {
        Self { run_state: RunState::NotRun, retry_after_ms: Some(retry_after_ms), ..Self::new(code, reason) }
    }

    /// Creates a refusal of a request that may have run before, by an earlier attempt, or certainly has not.
    pub fn after_attempts(
        may_have_run: bool,
        code: ResultCode,
        reason: impl Into<String>,
        retry_after_ms: u64,
    ) -> Self {
        if may_have_run {
            return Self { run_state: RunState::MayHaveRun, ..Self::new(code, reason) };
        }
        Self::not_run(code, reason, retry_after_ms)
    }

    /// Returns the HTTP status. One that promises that the request has not run becomes 502 if it may have run.
    pub fn status(&self) -> StatusCode {
        let own = StatusCode::from_u16(self.code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
        match (self.run_state, self.code) {
            (RunState::NotRun, ResultCode::RequestBlocked) => StatusCode::SERVICE_UNAVAILABLE,
            (RunState::MayHaveRun | RunState::Run, ResultCode::RequestBlocked) => StatusCode::BAD_GATEWAY,
            (RunState::MayHaveRun | RunState::Run, _) if promises_not_run(own) => StatusCode::BAD_GATEWAY,
            _ => own,
        }
    }

    /// Builds the response to the caller.
    pub fn response(&self, request_id: Option<&str>) -> HttpResponse {
        let mut builder = HttpResponse::build(self.status());
        builder.insert_header((RESULT_CODE_HEADER, self.code.number().to_string()));
        if let Some(request_id) = request_id {
            builder.insert_header(("x-request-id", request_id));
        }
        if let Some(after_ms) = self.retry_after_ms {
            builder.insert_header((header::RETRY_AFTER, format!("{:.3}", after_ms as f64 / 1_000.0)));
        }
        builder.body(self.code.name())
    }
}
