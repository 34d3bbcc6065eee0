//! Chat completions in the form that stock clients use.

use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// Where a broken stream goes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Text the caller already has.
    pub text: String,
    /// How many tokens that text is.
    pub tokens: u32,
}

/// A chat completion request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Service name, optionally `service@version` or `service+adapter`.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether tokens are sent as they come.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Towards targets only: where to go on after a cut.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
}

impl Request {
    /// A request of one user message.
    pub fn user(model: &str, prompt: &str) -> Request {
        Request {
            model: model.into(),
            messages: vec![Message { role: "user".into(), content: prompt.into() }],
            stream: false,
            max_tokens: None,
            resume: None,
        }
    }

    /// All message text in order; routing hashes its start.
    pub fn text(&self) -> String {
        self.messages.iter().map(|m| m.content.as_str()).collect::<Vec<_>>().join("\n")
    }
}

/// One choice of a whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0; one choice is generated.
    pub index: u32,
    /// The answer.
    pub message: Message,
    /// `stop` or `length` for a whole answer.
    pub finish_reason: String,
}

/// Token counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens read.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Their sum.
    pub total_tokens: u32,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the answer.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Unix seconds.
    pub created: u64,
    /// Service that answered.
    pub model: String,
    /// The one choice.
    pub choices: Vec<Choice>,
    /// Token counts.
    #[serde(default)]
    pub usage: Usage,
}

/// What one event of a stream adds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Set on the first event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text added.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One choice of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// What is added.
    pub delta: Delta,
    /// Set on the last event of a whole answer.
    pub finish_reason: Option<String>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the answer.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Unix seconds.
    pub created: u64,
    /// Service that answers.
    pub model: String,
    /// The one choice.
    pub choices: Vec<ChunkChoice>,
}

/// The kept outcome of a request: the whole text, never a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The whole text.
    pub text: String,
    /// Why it ended: `stop` or `length`.
    pub finish: String,
    /// Tokens generated.
    pub tokens: u32,
}

/// The event that ends a stream.
pub const DONE: &str = "[DONE]";
