//! A caller that reads responses byte for byte, and tells those that are complete by their
//! framing from truncated ones.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP version of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    Http10,
    Http11,
}

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// As its length or its last chunk says.
    Framed,
    /// Before its length was reached, or without a last chunk.
    Truncated,
    /// The body has neither a length nor chunks, and the connection was closed in order.
    Closed,
    /// The connection was reset.
    Reset,
}

/// A response as far as it was received.
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// Status code; 0 if no response arrived.
    pub status: u16,
    /// Body without its framing.
    pub body: String,
    pub end: BodyEnd,
}

impl RawResponse {
    /// Whether a caller takes the response for a complete one.
    pub fn looks_complete(&self) -> bool {
        matches!(self.end, BodyEnd::Framed | BodyEnd::Closed)
    }
}

/// Sends a request with these headers, one a line, and reads the response to its end.
#[track_caller]
pub fn call(
    to: SocketAddr,
    version: Version,
    path: &str,
    headers: &str,
    body: &str,
) -> RawResponse {
    let mut stream = send(to, version, path, headers, body);
    read(&mut stream)
}

/// Sends a request and returns its connection.
#[track_caller]
pub fn send(to: SocketAddr, version: Version, path: &str, headers: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a socket");
    let version = match version {
        Version::Http10 => "HTTP/1.0",
        Version::Http11 => "HTTP/1.1\r\nConnection: close",
    };
    let headers = headers.replace('\n', "\r\n");
    let length = body.len();
    let request =
        format!("POST {path} {version}\r\n{headers}\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).expect("sent");
    stream
}

/// Reads a response to the end of its connection.
#[track_caller]
pub fn read(stream: &mut TcpStream) -> RawResponse {
    let (response, error) = read_bytes(stream);
    assert!(!is_timeout(error), "the response didn't end: {response:?}");
    response
}

/// Reads a response to the end of its connection, or until nothing comes within the read timeout.
pub fn read_available(stream: &mut TcpStream) -> RawResponse {
    read_bytes(stream).0
}

/// Sends a request on a connection that stays open, and reads its response; one without an end if
/// the connection ended before.
pub fn exchange(stream: &mut TcpStream, request: &str) -> RawResponse {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    let mut is_open = stream.write_all(request.as_bytes()).is_ok();
    loop {
        let response = parse(&String::from_utf8_lossy(&received));
        if response.end == BodyEnd::Framed || !is_open {
            return response;
        }
        let count = stream.read(&mut buffer).unwrap_or(0);
        is_open = count > 0;
        received.extend_from_slice(&buffer[..count]);
    }
}

fn is_timeout(error: Option<ErrorKind>) -> bool {
    matches!(error, Some(ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

fn read_bytes(stream: &mut TcpStream) -> (RawResponse, Option<ErrorKind>) {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    let error = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break None,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) => break Some(error.kind()),
        }
    };
    let response = parse(&String::from_utf8_lossy(&received));
    let is_reset = error == Some(ErrorKind::ConnectionReset);
    let end = if is_reset { BodyEnd::Reset } else { response.end };
    (RawResponse { end, ..response }, error)
}

fn parse(text: &str) -> RawResponse {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return RawResponse { status: 0, body: String::new(), end: BodyEnd::Truncated };
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let head = head.to_ascii_lowercase();
    let header =
        |name: &str| head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    if header("transfer-encoding") == Some("chunked") {
        let (body, is_whole) = decode_chunks(body);
        let end = if is_whole { BodyEnd::Framed } else { BodyEnd::Truncated };
        return RawResponse { status, body, end };
    }
    let end = match header("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) if body.len() == length => BodyEnd::Framed,
        Some(_) => BodyEnd::Truncated,
        None => BodyEnd::Closed,
    };
    RawResponse { status, body: body.to_owned(), end }
}

/// The data of all chunks, and whether the last chunk arrived.
fn decode_chunks(encoded: &str) -> (String, bool) {
    let mut data = String::new();
    let mut rest = encoded;
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (data, after == "\r\n");
        }
        let Some(chunk) = after.get(..size) else {
            data.push_str(after);
            break;
        };
        data.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (data, false)
}
