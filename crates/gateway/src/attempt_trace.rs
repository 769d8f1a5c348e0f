//! What an attempt did on its connection, for the logs and metrics.

use std::cell::Cell;

use actix_web::http::StatusCode;

use crate::connection::UpstreamConnection;

/// The connection of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionUse {
    /// Its number in the logs of this process.
    pub(crate) connection: u64,
    /// How many requests it has carried, with that of the attempt.
    pub(crate) requests: usize,
}

impl ConnectionUse {
    /// Describes a connection right before a request is sent on it.
    pub(crate) fn before_sending(connection: &UpstreamConnection) -> Self {
        Self { connection: connection.number(), requests: connection.carried().count() + 1 }
    }
}

/// What an answer too many states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscardedAnswer {
    /// That its request has not run.
    NotRun,
    /// A success.
    Success,
    /// Another failure.
    Failure,
}

impl DiscardedAnswer {
    pub(crate) fn new(status: StatusCode, not_executed: bool) -> Self {
        if status.is_success() {
            Self::Success
        } else if not_executed || status == StatusCode::MISDIRECTED_REQUEST {
            Self::NotRun
        } else {
            Self::Failure
        }
    }

    /// Returns the `kind` label used in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Success => "success",
            Self::Failure => "failure",
        }
    }
}

/// What is known of an attempt while it is in progress and once it has ended.
#[derive(Debug, Default)]
pub(crate) struct AttemptTrace {
    /// `None` while no byte was written.
    pub(crate) connection_use: Cell<Option<ConnectionUse>>,
}
