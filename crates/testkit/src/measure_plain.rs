//! Plain requests of the benchmark.

use std::time::{Duration, Instant};

use awc::Client;
use daisysill_wire::http_types::ErrorBody;

/// Time after which a caller gives up.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// The result of one plain request as its caller saw it.
#[derive(Clone, Debug, Default)]
pub struct PlainOutcome {
    /// Idempotency key; empty for an idempotent request.
    pub key: String,
    /// Body of the request.
    pub body: String,
    /// HTTP status; 0 if the connection failed or timed out before a response.
    pub status: u16,
    /// Whether the response is the one to this request.
    pub is_correct: bool,
    /// Time from the request to the end of the response.
    pub total: Duration,
    /// Result code of a refusal.
    pub result_code: Option<u32>,
    /// Run state that a refusal gives, such as `not_run`.
    pub run_state: Option<String>,
}

/// Sends a non-idempotent request; the number determines its key, path and body.
pub async fn send_non_idempotent(
    client: &Client,
    url: &str,
    token: &str,
    service: &str,
    number: usize,
) -> PlainOutcome {
    let (key, body) = (format!("key-{number}"), format!("fire {number}"));
    let url = format!("{url}/services/{service}/cues/{number}/fire");
    let request = client.post(url).insert_header(("idempotency-key", key.as_str()));
    send(request.bearer_auth(token), key, body).await
}

/// Sends an idempotent request, without a key.
pub async fn send_idempotent(
    client: &Client,
    url: &str,
    token: &str,
    service: &str,
    number: usize,
) -> PlainOutcome {
    let url = format!("{url}/services/{service}/running-order/{number}");
    send(client.get(url).bearer_auth(token), String::new(), format!("look {number}")).await
}

async fn send(request: awc::ClientRequest, key: String, body: String) -> PlainOutcome {
    let began = Instant::now();
    let mut outcome = PlainOutcome { key, body: body.clone(), ..PlainOutcome::default() };
    if let Ok(mut response) = request.timeout(RESPONSE_TIMEOUT).send_body(body).await {
        outcome.status = response.status().as_u16();
        let text = response.body().await.unwrap_or_default();
        outcome.is_correct = text.ends_with(format!(" {}", outcome.body).as_bytes());
        if let Ok(refusal) = serde_json::from_slice::<ErrorBody>(&text) {
            outcome.result_code = Some(refusal.error.code);
            outcome.run_state = Some(refusal.error.run_state);
        }
    }
    outcome.total = began.elapsed();
    outcome
}
