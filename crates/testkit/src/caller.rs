//! A caller that streams prompts through a node and measures the time to the first token.

use std::time::{Duration, Instant};

use awc::Client;
use daisysill_wire::http_types::{Completion, ErrorBody, Usage};
use futures::StreamExt;
use serde_json::json;

use crate::{deployment::Deployment, deployment_config::DeploymentConfig, engine::expected_text};

/// Deadline of `send_prompt`.
const PROMPT_DEADLINE: Duration = Duration::from_secs(10);

/// The result of one prompt as its caller saw it.
#[derive(Clone, Debug, Default)]
pub struct PromptOutcome {
    /// HTTP status; 0 if the connection failed or timed out before a response.
    pub status: u16,
    /// Text of all received tokens.
    pub text: String,
    /// Whether the stream reached its end mark.
    pub is_complete: bool,
    /// Number of received tokens.
    pub tokens: u64,
    /// Time from the request to the first token; `None` if there was no token.
    pub first_token: Option<Duration>,
    /// Time from the request to the end of the response.
    pub total: Duration,
    /// Token counts; `None` if the stream did not reach the event that carries them.
    pub usage: Option<Usage>,
    /// Result code of a refusal or of an error in the stream.
    pub result_code: Option<u32>,
    /// Run state that a refusal or an error in the stream gives, such as `not_run`.
    pub run_state: Option<String>,
    /// Request id, as shown by `daisysill explain`; empty if there was no event.
    pub request_id: String,
}

/// A prompt to send.
#[derive(Clone, Debug)]
pub struct PromptRequest<'a> {
    /// Base URL for callers of the node.
    pub url: &'a str,
    /// Bearer token of the customer.
    pub token: &'a str,
    /// Name of the model service.
    pub model: &'a str,
    /// Text of the prompt.
    pub prompt: &'a str,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Time in which the response must be complete; sent to the node in milliseconds.
    pub deadline: Duration,
}

/// Sends a prompt and reads the response to its end.
pub async fn prompt(client: &Client, request: &PromptRequest<'_>) -> PromptOutcome {
    let began = Instant::now();
    let mut outcome = PromptOutcome::default();
    let deadline_ms = u64::try_from(request.deadline.as_millis()).unwrap_or(u64::MAX);
    let body = json!({
        "model": request.model, "prompt": request.prompt, "max_tokens": request.max_tokens,
        "stream": true, "deadline_ms": deadline_ms,
    });
    let http_request = client.post(format!("{}/v1/completions", request.url)).bearer_auth(request.token);
    // Longer than the deadline, so that the node's refusal at the deadline still arrives.
    let http_request = http_request.timeout(request.deadline + Duration::from_secs(5));
    let Ok(mut response) = http_request.send_json(&body).await else {
        outcome.total = began.elapsed();
        return outcome;
    };
    outcome.status = response.status().as_u16();
    if response.status().is_success() {
        let mut buffer = Vec::new();
        while let Some(Ok(chunk)) = response.next().await {
            buffer.extend_from_slice(&chunk);
            while let Some(end) = buffer.windows(2).position(|window| window == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..end + 2).collect();
                outcome.record_event(event.trim_ascii(), began);
            }
        }
    } else {
        let body = response.body().await.unwrap_or_default();
        outcome.record_error(&body);
    }
    outcome.total = began.elapsed();
    outcome
}

/// Sends a prompt of a deployment's first customer to a node, with a deadline of 10 s.
pub async fn send_prompt(deployment: &Deployment, node: &str, text: &str, max_tokens: u32) -> PromptOutcome {
    let (url, config) = (deployment.caller_url(node), &deployment.config);
    let token = DeploymentConfig::token(&config.customers[0]);
    let request = PromptRequest {
        url: &url,
        token: &token,
        model: &config.model,
        prompt: text,
        max_tokens,
        deadline: PROMPT_DEADLINE,
    };
    prompt(&Client::default(), &request).await
}

impl PromptOutcome {
    /// Returns whether the response is complete and has the text that the engines generate for this prompt.
    pub fn matches_expected(&self, text: &str, max_tokens: u32) -> bool {
        self.is_complete && self.text == expected_text(text, u64::from(max_tokens))
    }

    fn record_event(&mut self, event: &[u8], began: Instant) {
        let data = event.strip_prefix(b"data: ").unwrap_or(event);
        if data == b"[DONE]" {
            self.is_complete = true;
            return;
        }
        let Ok(completion) = serde_json::from_slice::<Completion>(data) else {
            self.record_error(data);
            return;
        };
        self.request_id = completion.id;
        for choice in completion.choices.iter().filter(|choice| !choice.text.is_empty()) {
            self.first_token.get_or_insert_with(|| began.elapsed());
            self.text.push_str(&choice.text);
            self.tokens += 1;
        }
        self.usage = completion.usage.or(self.usage.take());
    }

    fn record_error(&mut self, body: &[u8]) {
        if let Ok(body) = serde_json::from_slice::<ErrorBody>(body) {
            self.result_code = Some(body.error.code);
            self.run_state = Some(body.error.run_state);
        }
    }
}
