//! Plain calls of the measuring program.

use std::time::{Duration, Instant};

use awc::Client;
use daisysill_wire::http_types::ErrorBody;

/// Time in which a caller wants its answer.
const TIMEOUT: Duration = Duration::from_secs(15);

/// What a caller saw of one plain call.
#[derive(Clone, Debug, Default)]
pub struct PlainOutcome {
    /// Its idempotency key, or empty.
    pub key: String,
    /// Its body.
    pub body: String,
    /// The HTTP status; 0 if no answer came.
    pub status: u16,
    /// Whether the answer belongs to the call.
    pub is_right: bool,
    /// Time to the answer.
    pub total: Duration,
    /// The result code of a refusal.
    pub result_code: Option<u32>,
    /// What a refusal says about the run.
    pub run_state: Option<String>,
}

/// Fires a cue or renews, under a key of its own.
pub async fn call_once(
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

/// Looks something up; the call may be repeated.
pub async fn look_up(client: &Client, url: &str, token: &str, service: &str, number: usize) -> PlainOutcome {
    let url = format!("{url}/services/{service}/running-order/{number}");
    send(client.get(url).bearer_auth(token), String::new(), format!("look {number}")).await
}

async fn send(request: awc::ClientRequest, key: String, body: String) -> PlainOutcome {
    let began = Instant::now();
    let mut outcome = PlainOutcome { key, body: body.clone(), ..PlainOutcome::default() };
    if let Ok(mut answer) = request.timeout(TIMEOUT).send_body(body).await {
        outcome.status = answer.status().as_u16();
        let text = answer.body().await.unwrap_or_default();
        outcome.is_right = text.ends_with(format!(" {}", outcome.body).as_bytes());
        if let Ok(refusal) = serde_json::from_slice::<ErrorBody>(&text) {
            outcome.result_code = Some(refusal.error.code);
            outcome.run_state = Some(refusal.error.run_state);
        }
    }
    outcome.total = began.elapsed();
    outcome
}
