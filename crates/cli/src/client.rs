//! HTTP client of a node's admin API.

use std::{fmt, time::Duration};

use awc::Client;
use daisysill_core::result_code::ResultCode;
use daisysill_wire::http_types::{ConflictReply, ErrorBody};
use serde::{Serialize, de::DeserializeOwned};

use crate::{exit_code::ExitCode, options::Options};

/// Limit on the time until a node responds.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 67_108_864;

/// Why a request to a node failed.
#[derive(Clone, Debug)]
pub(crate) enum RequestError {
    /// The node could not be reached or did not respond in time; the request may have taken effect.
    Unreachable(String),
    /// The node refused the request.
    Refused(Box<ErrorBody>),
    /// Another change was accepted on the same base version.
    Conflict(Box<ConflictReply>),
    /// The response cannot be decoded, or a local file cannot be read.
    Unexpected(String),
}

impl RequestError {
    /// Returns the exit code for this error.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Conflict(_) => ExitCode::Conflict,
            Self::Refused(body) if body.error.code == u32::from(ResultCode::RulesInvalid.number()) => {
                ExitCode::Invalid
            }
            Self::Refused(body) if body.error.code == u32::from(ResultCode::ChangeUncertain.number()) => {
                ExitCode::Uncertain
            }
            Self::Unreachable(_) | Self::Refused(_) | Self::Unexpected(_) => ExitCode::Failure,
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(message) => write!(f, "the node does not answer: {message}"),
            Self::Refused(body) => write!(f, "refused ({}): {}", body.error.code, body.error.message),
            Self::Conflict(reply) => {
                write!(f, "conflict: version {} is in force", reply.current_version)?;
                reply.difference.iter().try_for_each(|line| write!(f, "\n  {line}"))
            }
            Self::Unexpected(message) => write!(f, "unexpected answer: {message}"),
        }
    }
}

/// Sends a GET request and decodes the JSON response.
pub(crate) async fn get<T: DeserializeOwned>(options: &Options, path: &str) -> Result<T, RequestError> {
    let request = client(options).get(format!("{}{path}", options.node));
    let mut response = request.send().await.map_err(|e| RequestError::Unreachable(e.to_string()))?;
    let status = response.status();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    decode(status.as_u16(), &body.map_err(|e| RequestError::Unreachable(e.to_string()))?)
}

/// Sends a POST request with a JSON body and decodes the JSON response.
pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
    options: &Options,
    path: &str,
    request: &B,
) -> Result<T, RequestError> {
    let sent = client(options).post(format!("{}{path}", options.node)).send_json(request).await;
    let mut response = sent.map_err(|e| RequestError::Unreachable(e.to_string()))?;
    let status = response.status();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    decode(status.as_u16(), &body.map_err(|e| RequestError::Unreachable(e.to_string()))?)
}

fn client(options: &Options) -> Client {
    let builder = Client::builder().timeout(REQUEST_TIMEOUT);
    match &options.admin_token {
        Some(token) => builder.bearer_auth(token).finish(),
        None => builder.finish(),
    }
}

fn decode<T: DeserializeOwned>(status: u16, body: &[u8]) -> Result<T, RequestError> {
    if status == 200 {
        return serde_json::from_slice(body).map_err(|e| RequestError::Unexpected(e.to_string()));
    }
    if let Ok(conflict) = serde_json::from_slice::<ConflictReply>(body) {
        return Err(RequestError::Conflict(Box::new(conflict)));
    }
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(error) => Err(RequestError::Refused(Box::new(error))),
        Err(_) => Err(RequestError::Unexpected(format!("status {status}"))),
    }
}
