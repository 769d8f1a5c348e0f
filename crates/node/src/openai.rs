//! Responses in the format of the `OpenAI` API.

use std::time::{SystemTime, UNIX_EPOCH};

use daisysill_wire::http_types::{
    ChatChoice, ChatChunk, ChatChunkChoice, ChatCompletion, ChatCompletionRequest, ChatDelta, ChatMessage,
    Completion, CompletionChoice, Usage,
};

use crate::sse::json_event;

/// The API whose response format is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// Formats the response to one request; all chunks have the same id and creation time.
#[derive(Clone, Debug)]
pub struct ResponseWriter {
    kind: ResponseKind,
    id: String,
    model: String,
    created: u64,
}

impl ResponseWriter {
    /// Creates a writer; the creation time of the response is now.
    pub fn new(kind: ResponseKind, id: &str, model: &str) -> Self {
        Self { kind, id: id.to_owned(), model: model.to_owned(), created: unix_time_s() }
    }

    /// Returns the event for one token; the `first` one of a chat also names the role.
    pub fn token_event(&self, text: &str, first: bool) -> String {
        match self.kind {
            ResponseKind::Chat => {
                let role = first.then(|| "assistant".to_owned());
                let delta = ChatDelta { role, content: Some(text.to_owned()) };
                json_event(&self.chat_chunk(delta, None, None))
            }
            ResponseKind::Text => json_event(&self.completion(text, None, None)),
        }
    }

    /// Returns the last event before `[DONE]`, which carries the finish reason and the usage.
    pub fn finish_event(&self, finish_reason: &str, usage: &Usage) -> String {
        let (reason, usage) = (Some(finish_reason), Some(usage));
        match self.kind {
            ResponseKind::Chat => {
                let delta = ChatDelta { role: None, content: None };
                json_event(&self.chat_chunk(delta, reason, usage))
            }
            ResponseKind::Text => json_event(&self.completion("", reason, usage)),
        }
    }

    /// Returns the body of a response that is not streamed.
    ///
    /// # Errors
    /// Fails if the body cannot be serialized.
    pub fn full_body(&self, text: &str, finish_reason: &str, usage: &Usage) -> serde_json::Result<String> {
        match self.kind {
            ResponseKind::Chat => serde_json::to_string(&ChatCompletion {
                id: self.id.clone(),
                object: "chat.completion".to_owned(),
                created: self.created,
                model: self.model.clone(),
                choices: vec![ChatChoice {
                    index: 0,
                    message: ChatMessage { role: "assistant".to_owned(), content: text.to_owned() },
                    finish_reason: Some(finish_reason.to_owned()),
                }],
                usage: usage.clone(),
            }),
            ResponseKind::Text => {
                serde_json::to_string(&self.completion(text, Some(finish_reason), Some(usage)))
            }
        }
    }

    fn chat_chunk(&self, delta: ChatDelta, finish_reason: Option<&str>, usage: Option<&Usage>) -> ChatChunk {
        ChatChunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChatChunkChoice {
                index: 0,
                delta,
                finish_reason: finish_reason.map(str::to_owned),
            }],
            usage: usage.cloned(),
        }
    }

    fn completion(&self, text: &str, finish_reason: Option<&str>, usage: Option<&Usage>) -> Completion {
        Completion {
            id: self.id.clone(),
            object: "text_completion".to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![CompletionChoice {
                index: 0,
                text: text.to_owned(),
                finish_reason: finish_reason.map(str::to_owned),
            }],
            usage: usage.cloned(),
        }
    }
}

/// Joins a conversation into one prompt; earlier messages come first, so that a longer conversation shares
/// the prefix of a shorter one.
///
/// ```
/// use daisysill_wire::http_types::{ChatCompletionRequest, ChatMessage};
/// let message = ChatMessage { role: "user".into(), content: "la".into() };
/// assert_eq!(daisysill_node::openai::join_messages(&[message]), "<user>la\n<assistant>");
/// ```
pub fn join_messages(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push('<');
        prompt.push_str(&message.role);
        prompt.push('>');
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt.push_str("<assistant>");
    prompt
}

/// Returns the prompt that the messages of a chat request form.
pub fn chat_prompt(request: &ChatCompletionRequest) -> String {
    join_messages(&request.messages)
}

fn unix_time_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}
