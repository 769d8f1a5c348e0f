//! Refusals and their HTTP responses.

use actix_web::{HttpResponse, http::StatusCode};
use daisysill_core::result_code::{ResultCode, RunState};
use daisysill_wire::http_types::{ErrorBody, ErrorDetail};

/// Response header with the number of the result code.
pub const RESULT_CODE_HEADER: &str = "x-daisysill-result-code";

/// Why a request gets no response from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Determines the HTTP status and the error type.
    pub code: ResultCode,
    /// Explanation for a person; goes out in the body.
    pub message: String,
    /// Time after which a retry makes sense, if any; sent in the body and, rounded up to seconds, as `retry-after`.
    pub retry_after_ms: Option<u64>,
    /// Whether the request may have been executed; follows from the code unless more is known.
    pub run_state: RunState,
}

impl Refusal {
    /// Creates a refusal without a retry delay, with the run state of the code.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry_after_ms: None, run_state: code.run_state() }
    }

    /// Sets the time after which a retry makes sense.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the body, which a stream that fails half-way carries as its last event.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                code: u32::from(self.code.number()),
                name: self.code.name().to_owned(),
                message: self.message.clone(),
                type_: error_type(self.code).to_owned(),
                run_state: self.run_state.name().to_owned(),
                retry_after_ms: self.retry_after_ms,
            },
        }
    }

    /// Returns the HTTP response with status, headers and body.
    pub fn response(&self) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut builder = HttpResponse::build(status);
        builder.insert_header((RESULT_CODE_HEADER, self.code.number().to_string()));
        if let Some(retry_after_ms) = self.retry_after_ms {
            builder.insert_header(("retry-after", retry_after_ms.div_ceil(1_000).to_string()));
        }
        builder.json(self.body())
    }
}

fn error_type(code: ResultCode) -> &'static str {
    match code.http_status() {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        status if status < 500 => "invalid_request_error",
        _ => "server_error",
    }
}
