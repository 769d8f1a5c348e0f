//! Answers in the form that OpenAI-style clients expect.

use std::time::{SystemTime, UNIX_EPOCH};

use daisysill_wire::http_types::{
    ChatChoice, ChatChunk, ChatChunkChoice, ChatCompletion, ChatCompletionRequest, ChatDelta, ChatMessage,
    Completion, CompletionChoice, Usage,
};

use crate::sse::json_event;

/// The two kinds of answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// Writes the answers to one request.
#[derive(Clone, Debug)]
pub struct AnswerWriter {
    kind: AnswerKind,
    id: String,
    model: String,
    created: u64,
}

impl AnswerWriter {
    /// Creates a writer for the answers to one request.
    pub fn new(kind: AnswerKind, id: &str, model: &str) -> Self {
        Self { kind, id: id.to_owned(), model: model.to_owned(), created: unix_time_s() }
    }

    /// Returns the event that carries one token.
    pub fn token_event(&self, text: &str, first: bool) -> String {
        match self.kind {
            AnswerKind::Chat => {
                let role = first.then(|| "assistant".to_owned());
                let delta = ChatDelta { role, content: Some(text.to_owned()) };
                json_event(&self.chat_chunk(delta, None, None))
            }
            AnswerKind::Text => json_event(&self.completion(text, None, None)),
        }
    }

    /// Returns the last event before `[DONE]`.
    pub fn finish_event(&self, finish_reason: &str, usage: &Usage) -> String {
        let (reason, usage) = (Some(finish_reason), Some(usage));
        match self.kind {
            AnswerKind::Chat => {
                let delta = ChatDelta { role: None, content: None };
                json_event(&self.chat_chunk(delta, reason, usage))
            }
            AnswerKind::Text => json_event(&self.completion("", reason, usage)),
        }
    }

    /// Returns the body of an answer that is not streamed.
    ///
    /// # Errors
    /// Fails if the body cannot be written as JSON.
    pub fn whole(&self, text: &str, finish_reason: &str, usage: &Usage) -> serde_json::Result<String> {
        match self.kind {
            AnswerKind::Chat => serde_json::to_string(&ChatCompletion {
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
            AnswerKind::Text => {
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

/// Joins a conversation into one prompt; earlier messages come first, so that a longer conversation keeps
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

/// Returns the prompt of a chat request.
pub fn chat_prompt(request: &ChatCompletionRequest) -> String {
    join_messages(&request.messages)
}

fn unix_time_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}
