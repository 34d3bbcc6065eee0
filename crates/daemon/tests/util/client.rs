//! A blocking HTTP client.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use protocol::chat::{Chunk, DONE};
use protocol::kind::Kind;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;
use tokio::runtime::Runtime;

static RUNTIME: LazyLock<Runtime> = LazyLock::new(|| Runtime::new().expect("a runtime"));
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code; 0 if no response arrived.
    pub status: u16,
    pub headers: HeaderMap,
    /// Body, as far as it was received.
    pub body: Bytes,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl Response {
    /// The body as JSON.
    #[track_caller]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|_| panic!("body isn't JSON: {self:?}"))
    }

    /// Error kind; `None` if the response isn't an error.
    pub fn error_kind(&self) -> Option<Kind> {
        let body: protocol::error::Body = serde_json::from_slice(&self.body).ok()?;
        Some(body.error.kind)
    }

    /// Value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Text of a completion that wasn't streamed.
    #[track_caller]
    pub fn text(&self) -> String {
        self.json()["choices"][0]["message"]["content"].as_str().expect("a string").to_owned()
    }

    /// Text of a streamed completion, and whether its final event arrived.
    pub fn streamed_text(&self) -> (String, bool) {
        let body = String::from_utf8_lossy(&self.body);
        let mut text = String::new();
        let mut is_done = false;
        for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
            is_done |= data == DONE;
            if let Ok(chunk) = serde_json::from_str::<Chunk>(data) {
                let content = chunk.choices.into_iter().next().and_then(|c| c.delta.content);
                text.push_str(&content.unwrap_or_default());
            }
        }
        (text, is_done)
    }
}

/// Sends a request on a connection of its own.
pub fn call(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Response {
    let mut builder = Request::builder().method(method).uri(format!("http://{to}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder.body(Full::new(body.into())).expect("a request");
    RUNTIME.block_on(async move {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        match tokio::time::timeout(CALL_TIMEOUT, exchange(&client, request)).await {
            Ok(Some(response)) => response,
            _ => Response {
                status: 0,
                headers: HeaderMap::new(),
                body: Bytes::new(),
                is_complete: false,
            },
        }
    })
}

async fn exchange(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<Response> {
    let response = client.request(request).await.ok()?;
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    Some(Response { status, headers, body: bytes.into(), is_complete })
}

/// Sends a GET request.
pub fn get(to: SocketAddr, path: &str) -> Response {
    call("GET", to, path, &[], Bytes::new())
}

/// Posts a JSON body.
pub fn post(to: SocketAddr, path: &str, headers: &[(&str, &str)], body: &Value) -> Response {
    call("POST", to, path, headers, serde_json::to_vec(body).expect("JSON"))
}

/// Requests a chat completion; `extra` adds fields to the body.
pub fn chat(to: SocketAddr, prompt: &str, headers: &[(&str, &str)], extra: Value) -> Response {
    let mut body = serde_json::json!({
        "model": "pustak-llm",
        "messages": [{ "role": "user", "content": prompt }],
    });
    if let (Value::Object(into), Value::Object(extra)) = (&mut body, extra) {
        into.extend(extra);
    }
    post(to, "/v1/chat/completions", headers, &body)
}

/// Current Unix time in milliseconds.
pub fn unix_millis() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.expect("a time after 1970").as_millis() as u64
}
