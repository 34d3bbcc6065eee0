//! Chat completions in the format of the OpenAI API.

use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Where to resume an interrupted stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Text that the caller has already received.
    pub text: String,
    /// Length of `text` in tokens.
    pub tokens: u32,
}

/// A chat completion request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the service, optionally as `service@version` or `service+adapter`.
    pub model: String,
    /// The conversation so far, oldest message first.
    pub messages: Vec<Message>,
    /// Whether tokens are streamed as they are generated.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate; if absent, the target decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Where to resume after an interruption; sent to targets only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
}

impl Request {
    /// A request with a single user message.
    pub fn user(model: &str, prompt: &str) -> Request {
        Request {
            model: model.into(),
            messages: vec![Message { role: "user".into(), content: prompt.into() }],
            stream: false,
            max_tokens: None,
            resume: None,
        }
    }

    /// The text of all messages in order; routing hashes its prefix.
    pub fn text(&self) -> String {
        self.messages.iter().map(|m| m.content.as_str()).collect::<Vec<_>>().join("\n")
    }
}

/// One choice of a complete response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0; one choice is generated.
    pub index: u32,
    /// The generated message.
    pub message: Message,
    /// `stop`, or `length` if the token limit was reached.
    pub finish_reason: String,
}

/// Token counts of a request and its response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Their sum.
    pub total_tokens: u32,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the response.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Creation time in Unix seconds.
    pub created: u64,
    /// Service that generated the response.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts; zero if the target reported none.
    #[serde(default)]
    pub usage: Usage,
}

/// The increment that one event of a stream carries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Set on the first event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text to append.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One choice of a stream event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// The increment.
    pub delta: Delta,
    /// Set on the last event of a complete response.
    pub finish_reason: Option<String>,
}

/// One event of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the response.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Creation time in Unix seconds.
    pub created: u64,
    /// Service that generates the response.
    pub model: String,
    /// Zero or one choice.
    pub choices: Vec<ChunkChoice>,
}

/// The recorded outcome of a request; only complete responses are recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The complete text.
    pub text: String,
    /// Finish reason: `stop` or `length`.
    pub finish: String,
    /// Tokens generated.
    pub tokens: u32,
}

/// Data of the event that terminates a stream.
pub const DONE: &str = "[DONE]";
