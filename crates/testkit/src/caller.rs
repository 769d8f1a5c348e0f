//! A caller of a node: streams a prompt and measures the time to its first token.

use std::time::{Duration, Instant};

use awc::Client;
use daisysill_wire::http_types::{Completion, ErrorBody, Usage};
use futures::StreamExt;
use serde_json::json;

use crate::{deployment::Deployment, deployment_config::DeploymentConfig, engine::expected_text};

/// Time in which `send_prompt` wants the whole answer.
const ASK_DEADLINE: Duration = Duration::from_secs(10);

/// What a caller saw of one prompt.
#[derive(Clone, Debug, Default)]
pub struct PromptOutcome {
    /// The HTTP status; 0 if the connection failed before an answer.
    pub status: u16,
    /// The text of all tokens.
    pub text: String,
    /// Whether the stream ended with its end mark.
    pub is_complete: bool,
    /// Number of tokens.
    pub tokens: u64,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Token counts, if the answer is whole.
    pub usage: Option<Usage>,
    /// The result code of a refusal or of an error in the stream.
    pub result_code: Option<u32>,
    /// What a refusal says about the run.
    pub run_state: Option<String>,
    /// The request id, as `daisysill explain` knows it.
    pub request_id: String,
}

/// A prompt to send.
#[derive(Clone, Debug)]
pub struct PromptRequest<'a> {
    /// Base URL of the node.
    pub url: &'a str,
    /// The bearer token.
    pub token: &'a str,
    /// The model service.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Time in which the whole answer is wanted.
    pub deadline: Duration,
}

/// Streams a prompt to its end.
pub async fn prompt(client: &Client, call: &PromptRequest<'_>) -> PromptOutcome {
    let began = Instant::now();
    let mut outcome = PromptOutcome::default();
    let deadline_ms = u64::try_from(call.deadline.as_millis()).unwrap_or(u64::MAX);
    let body = json!({
        "model": call.model, "prompt": call.prompt, "max_tokens": call.max_tokens,
        "stream": true, "deadline_ms": deadline_ms,
    });
    let request = client.post(format!("{}/v1/completions", call.url)).bearer_auth(call.token);
    // The caller waits a little longer than the deadline it names, so that it gets the node's refusal.
    let request = request.timeout(call.deadline + Duration::from_secs(5));
    let Ok(mut answer) = request.send_json(&body).await else {
        outcome.total = began.elapsed();
        return outcome;
    };
    outcome.status = answer.status().as_u16();
    if answer.status().is_success() {
        let mut buffer = Vec::new();
        while let Some(Ok(chunk)) = answer.next().await {
            buffer.extend_from_slice(&chunk);
            while let Some(end) = buffer.windows(2).position(|window| window == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..end + 2).collect();
                outcome.note_event(event.trim_ascii(), began);
            }
        }
    } else {
        let body = answer.body().await.unwrap_or_default();
        outcome.note_error(&body);
    }
    outcome.total = began.elapsed();
    outcome
}

/// Sends a prompt of a deployment's first customer to one of its nodes.
pub async fn send_prompt(deployment: &Deployment, node: &str, text: &str, max_tokens: u32) -> PromptOutcome {
    let (url, config) = (deployment.caller_url(node), &deployment.config);
    let token = DeploymentConfig::token(&config.customers[0]);
    let call = PromptRequest {
        url: &url,
        token: &token,
        model: &config.model,
        prompt: text,
        max_tokens,
        deadline: ASK_DEADLINE,
    };
    prompt(&Client::default(), &call).await
}

impl PromptOutcome {
    /// Returns whether the whole and right answer came.
    pub fn matches_expected(&self, text: &str, max_tokens: u32) -> bool {
        self.is_complete && self.text == expected_text(text, u64::from(max_tokens))
    }

    fn note_event(&mut self, event: &[u8], began: Instant) {
        let data = event.strip_prefix(b"data: ").unwrap_or(event);
        if data == b"[DONE]" {
            self.is_complete = true;
            return;
        }
        let Ok(completion) = serde_json::from_slice::<Completion>(data) else {
            self.note_error(data);
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

    fn note_error(&mut self, body: &[u8]) {
        if let Ok(body) = serde_json::from_slice::<ErrorBody>(body) {
            self.result_code = Some(body.error.code);
            self.run_state = Some(body.error.run_state);
        }
    }
}
