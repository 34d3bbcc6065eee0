//! Calls of the transport's clients against servers that misbehave. Each test uses a part of it.

#![allow(dead_code)]

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use protocol::chat;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use transport::target::{AttemptError, AttemptMeta, Client, Order, PlainCall};

/// Time limit of calls, which none of them reaches.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs `client` inside a `LocalSet`, as the pool requires.
pub fn block_on(client: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("create runtime"), client);
}

/// A call of the client of the product's own interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Plain,
    Chat,
    Report,
    Order,
}

pub async fn send(client: &Client, to: SocketAddr, call: Call) -> Result<(), AttemptError> {
    let meta = AttemptMeta { timeout: TIMEOUT, ..AttemptMeta::default() };
    match call {
        Call::Plain => {
            let (path, body) = (String::from("/"), Bytes::from_static(b"x"));
            let call = PlainCall { method: Method::POST, path, headers: HeaderMap::new(), body };
            client.plain(to, call, &meta).await.map(drop)
        }
        Call::Chat => client.chat(to, &chat::Request::user("m", "x"), &meta).await.map(drop),
        Call::Report => client.load_report(to, TIMEOUT).await.map(drop),
        Call::Order => {
            let order = Order { version: String::from("v"), adapters: Vec::new() };
            client.order(to, &order, 1, TIMEOUT).await
        }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
pub async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<()> {
    let mut length = 0;
    let mut line = String::from("-");
    while !line.trim_end().is_empty() {
        line.clear();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let value = line.to_ascii_lowercase();
        let value =
            value.strip_prefix("content-length:").and_then(|value| value.trim().parse().ok());
        length = value.unwrap_or(length);
    }
    stream.read_exact(&mut vec![0; length]).await.ok().map(drop)
}
