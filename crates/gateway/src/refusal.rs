//! Answers that the gateway gives itself.

use actix_web::{
    HttpResponse,
    http::{StatusCode, header},
};
use daisysill_core::result_code::{ResultCode, RunState};

/// The header that carries the result code.
const RESULT_CODE_HEADER: &str = "x-daisysill-result-code";

/// Why a request gets no answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The result code.
    pub code: ResultCode,
    /// Whether the request may have run in this try of the caller.
    pub run_state: RunState,
    /// Time after which the caller may come back, where that makes sense.
    pub retry_after_ms: Option<u64>,
    /// The inputs of the decision, for the log.
    pub reason: String,
}

impl Refusal {
    /// Refuses with the run state of the code.
    pub fn new(code: ResultCode, reason: impl Into<String>) -> Self {
        Self { code, run_state: code.run_state(), retry_after_ms: None, reason: reason.into() }
    }

    /// Refuses a request that has certainly not run.
    pub fn not_run(code: ResultCode, reason: impl Into<String>, retry_after_ms: u64) -> Self {
        Self { run_state: RunState::NotRun, retry_after_ms: Some(retry_after_ms), ..Self::new(code, reason) }
    }

    /// Returns the status. 503 promises that the request has not run, so it is never given otherwise.
    pub fn status(&self) -> StatusCode {
        let own = StatusCode::from_u16(self.code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
        match (self.run_state, self.code) {
            (RunState::NotRun, ResultCode::RequestBlocked) => StatusCode::SERVICE_UNAVAILABLE,
            (RunState::MayHaveRun | RunState::Run, _) if own == StatusCode::SERVICE_UNAVAILABLE => {
                StatusCode::BAD_GATEWAY
            }
            _ => own,
        }
    }

    /// Returns the response. With `close`, the caller is told to open a new connection.
    pub fn response(&self, request_id: Option<&str>, close: bool) -> HttpResponse {
        let mut builder = HttpResponse::build(self.status());
        builder.insert_header((RESULT_CODE_HEADER, self.code.number().to_string()));
        if let Some(request_id) = request_id {
            builder.insert_header(("x-request-id", request_id));
        }
        if let Some(after_ms) = self.retry_after_ms {
            builder.insert_header((header::RETRY_AFTER, format!("{:.3}", after_ms as f64 / 1_000.0)));
        }
        if close {
            builder.force_close();
        }
        builder.body(self.code.name())
    }
}
