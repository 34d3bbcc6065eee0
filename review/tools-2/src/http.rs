//! A blocking HTTP client: one call on a connection of its own.

use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for a connection, and for each part of a response.
const TIMEOUT: Duration = Duration::from_secs(6);

/// A response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status code; 0 if no whole response arrived.
    pub status: u16,
    /// Lines of the head.
    pub head: String,
    pub body: Vec<u8>,
    /// Why there is no whole response; empty if there is one.
    pub fault: String,
}

impl Response {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Whether the response is one that a runner made.
    pub fn has_stamp(&self) -> bool {
        self.head.to_ascii_lowercase().contains("x-gatespool-server-stamp:")
    }

    /// Status, stamp and the beginning of the body, for the record.
    pub fn summary(&self) -> String {
        let text: String = self.text().trim_end().chars().take(160).collect();
        let stamp = if self.has_stamp() { ", made by a runner" } else { "" };
        let fault = if self.fault.is_empty() { String::new() } else { format!(", {}", self.fault) };
        format!("{}{stamp}{fault}: {text}", self.status)
    }
}

/// Sends a call and reads its response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Response {
    match try_call(to, method, path, headers, body) {
        Ok(response) => response,
        Err(error) => Response { fault: error.to_string(), ..Response::default() },
    }
}

fn try_call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if method == "POST" {
        request.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    request.push_str("Connection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    stream.write_all(body)?;
    let mut received = Vec::new();
    let end = stream.read_to_end(&mut received);
    let mut response = parse(&received).ok_or_else(|| io::Error::other("no whole response"))?;
    if let Err(error) = end {
        response.fault = error.to_string();
    }
    Ok(response)
}

fn parse(received: &[u8]) -> Option<Response> {
    let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let rest = &received[end + 4..];
    let lower = head.to_ascii_lowercase();
    let is_chunked = lower.contains("transfer-encoding: chunked");
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|text| text.trim().parse::<usize>().ok());
    let (body, fault) = match (is_chunked, length) {
        (true, _) => chunks(rest),
        (false, Some(length)) if rest.len() < length => (rest.to_vec(), "cut short"),
        (false, _) => (rest.to_vec(), ""),
    };
    Some(Response { status, head, body, fault: fault.to_owned() })
}

/// The data of all chunks, and what is wrong with them.
fn chunks(bytes: &[u8]) -> (Vec<u8>, &'static str) {
    let mut data = Vec::new();
    let mut rest = bytes;
    loop {
        let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
            return (data, "cut short");
        };
        let size = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (data, "malformed chunk");
        };
        rest = &rest[end + 2..];
        if size == 0 {
            return (data, "");
        }
        if rest.len() < size + 2 {
            data.extend_from_slice(&rest[..rest.len().min(size)]);
            return (data, "cut short");
        }
        data.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
}
