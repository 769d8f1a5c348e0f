//! Numbered result codes, their HTTP status, and whether the request may have run.

use serde::{Deserialize, Serialize};

/// Whether the upstream may have executed the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of the request was sent, or the upstream refused it before executing it.
    NotRun,
    /// The request was sent and its outcome is unknown.
    MayHaveRun,
    /// The request was executed.
    Run,
}

impl RunState {
    /// Returns the name used in JSON bodies and logs.
    ///
    /// ```
    /// use daisysill_core::result_code::RunState;
    /// assert_eq!(RunState::MayHaveRun.name(), "may_have_run");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Run => "run",
        }
    }
}

macro_rules! result_codes {
    ($($(#[$meta:meta])* $name:ident = $number:literal, $status:literal, $run:ident, $text:literal;)*) => {
        /// The outcome of a request or a change, as reported to callers, operators and metrics.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ResultCode {
            $($(#[$meta])* $name = $number,)*
        }

        impl ResultCode {
            /// Every code, in ascending order.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the HTTP status of a response with this code.
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns whether the request may have been executed.
            pub const fn run_state(self) -> RunState {
                match self { $(Self::$name => RunState::$run,)* }
            }

            /// Returns the stable name used in JSON bodies and metric labels.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

result_codes! {
    /// The request succeeded.
    Ok = 1000, 200, Run, "ok";
    /// The request carries no bearer token.
    TokenMissing = 1101, 401, NotRun, "token_missing";
    /// The bearer token belongs to no customer.
    TokenUnknown = 1102, 401, NotRun, "token_unknown";
    /// The customer may not use this service.
    ServiceForbidden = 1103, 403, NotRun, "service_forbidden";
    /// The body is not valid JSON of the expected shape.
    BodyMalformed = 1201, 400, NotRun, "body_malformed";
    /// The body exceeds the configured limit.
    BodyTooLarge = 1202, 413, NotRun, "body_too_large";
    /// The body ended before its declared length.
    BodyIncomplete = 1203, 400, NotRun, "body_incomplete";
    /// No service offers the requested model.
    ModelUnknown = 1204, 404, NotRun, "model_unknown";
    /// No such service or route.
    RouteUnknown = 1205, 404, NotRun, "route_unknown";
    /// The request is not idempotent and carries no idempotency key.
    KeyMissing = 1206, 400, NotRun, "key_missing";
    /// The idempotency key was used with another body.
    KeyReused = 1207, 422, NotRun, "key_reused";
    /// The customer's share is used up and its queue is full.
    CustomerOverloaded = 1301, 429, NotRun, "customer_overloaded";
    /// The deadline cannot be met.
    DeadlineUnreachable = 1302, 503, NotRun, "deadline_unreachable";
    /// No upstream of the service is available.
    NoUpstream = 1303, 503, NotRun, "no_upstream";
    /// The claim could not be committed because no majority of the voters is reachable.
    NoQuorum = 1304, 503, NotRun, "no_quorum";
    /// The claim table is full.
    ClaimsFull = 1305, 503, NotRun, "claims_full";
    /// The node is shutting down.
    ShuttingDown = 1306, 503, NotRun, "shutting_down";
    /// The request is blocked because it crashed upstreams.
    RequestBlocked = 1307, 422, MayHaveRun, "request_blocked";
    /// The retry budget is used up.
    RetryBudgetExhausted = 1308, 503, MayHaveRun, "retry_budget_exhausted";
    /// The upstream refused the request before executing it.
    UpstreamRefused = 1309, 503, NotRun, "upstream_refused";
    /// All upstreams name rate limits, and this node's shares of them are used up.
    UpstreamsRateLimited = 1310, 503, NotRun, "upstreams_rate_limited";
    /// No upstream of the software version that began the stream can go on with it, or that version is unknown.
    StreamNotResumable = 1311, 503, NotRun, "stream_not_resumable";
    /// The node's memory for the bodies of requests is used up.
    MemoryExhausted = 1312, 503, NotRun, "memory_exhausted";
    /// The upstream failed after it may have executed the request.
    UpstreamFailed = 1401, 502, MayHaveRun, "upstream_failed";
    /// The deadline passed while the upstream was working.
    DeadlineExceeded = 1402, 504, MayHaveRun, "deadline_exceeded";
    /// An earlier send of this request has an unknown outcome; it is not sent again.
    OutcomeUnknown = 1403, 409, MayHaveRun, "outcome_unknown";
    /// The same request is in progress.
    InProgress = 1404, 409, MayHaveRun, "in_progress";
    /// The dispatch deadline passed before the request was sent.
    DispatchTooLate = 1405, 503, NotRun, "dispatch_too_late";
    /// A rule file has errors.
    RulesInvalid = 1501, 422, NotRun, "rules_invalid";
    /// Another change was accepted on the same base version.
    ChangeConflict = 1502, 409, NotRun, "change_conflict";
    /// The change id was used with other content.
    ChangeIdReused = 1503, 422, NotRun, "change_id_reused";
    /// The change may have been accepted; resend it with the same change id.
    ChangeUncertain = 1504, 503, MayHaveRun, "change_uncertain";
    /// The lease belongs to another holder.
    LeaseHeld = 1505, 409, NotRun, "lease_held";
    /// An internal error.
    Internal = 1901, 500, MayHaveRun, "internal";
}

impl ResultCode {
    /// Returns the number used in responses and logs.
    ///
    /// ```
    /// use daisysill_core::result_code::ResultCode;
    /// assert_eq!(ResultCode::NoQuorum.number(), 1304);
    /// ```
    pub const fn number(self) -> u16 {
        self as u16
    }
}
