//! Events of a streamed response, and the unstreamed response that they make up.

use bytes::Bytes;
use futures_util::StreamExt;
use protocol::chat::{self, Chunk, ChunkChoice, Delta};
use transport::body;
use transport::http::{self, Response};

/// Encodes one chunk as a server-sent event.
pub fn event(model: &str, content: Option<String>, finish_reason: Option<&str>) -> Bytes {
    let chunk = Chunk {
        id: String::from("standin"),
        object: String::from("chat.completion.chunk"),
        created: 0,
        model: model.into(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta { role: None, content },
            finish_reason: finish_reason.map(str::to_owned),
        }],
    };
    let data = serde_json::to_string(&chunk).unwrap_or_default();
    Bytes::from(format!("data: {data}\n\n"))
}

/// Collects the events of a stream into one completion.
pub async fn collect_response(mut body: body::Receiver) -> Response {
    let mut parser = transport::sse::DataParser::default();
    while let Some(Ok(bytes)) = body.next().await {
        parser.push(&bytes);
    }
    let mut text = String::new();
    while let Some(data) = parser.next_data() {
        if let Ok(chunk) = serde_json::from_str::<Chunk>(&data) {
            let content = chunk.choices.into_iter().next().and_then(|choice| choice.delta.content);
            text.push_str(&content.unwrap_or_default());
        }
    }
    let message = chat::Message { role: "assistant".into(), content: text };
    let choice = chat::Choice { index: 0, message, finish_reason: "stop".into() };
    http::json(
        200,
        &chat::Completion {
            id: "standin".into(),
            object: "chat.completion".into(),
            created: 0,
            model: String::new(),
            choices: vec![choice],
            usage: chat::Usage::default(),
        },
    )
}
