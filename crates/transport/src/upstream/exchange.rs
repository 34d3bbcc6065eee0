//! Requests in progress and the bodies of their responses.

use super::{Connection, Monitor, Pool};
use crate::clock;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use std::net::SocketAddr;
use std::rc::Rc;

/// What tells the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Its length, which may be zero by its status.
    Length,
    /// Its last chunk.
    Chunks,
    /// The end of the connection, which is also what a process leaves that ends halfway.
    Connection,
}

impl Framing {
    /// Framing of a response as received.
    pub(crate) fn of(head: &Parts, body: &Incoming) -> Framing {
        let codings = head.headers.get_all(TRANSFER_ENCODING).iter().next_back();
        if body.is_end_stream() {
            return Framing::Length;
        }
        if let Some(codings) = codings {
            let last = codings.as_bytes().rsplit(|byte| *byte == b',').next().unwrap_or_default();
            let is_chunked = last.trim_ascii().eq_ignore_ascii_case(b"chunked");
            return if is_chunked { Framing::Chunks } else { Framing::Connection };
        }
        let has_length = head.headers.contains_key(CONTENT_LENGTH);
        if has_length { Framing::Length } else { Framing::Connection }
    }

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}

/// A request in progress whose response head has been received.
#[derive(Debug)]
pub struct Exchange {
    pub(super) to: SocketAddr,
    pub(super) head: Parts,
    pub(super) framing: Framing,
    pub(super) body: Incoming,
    pub(super) connection: Option<Connection>,
    /// Whether the response names its request, so that its connection may carry another one.
    pub(super) names_request: bool,
    pub(super) pool: Pool,
    /// Open before the request was sent; `None` if it wasn't known to be needed, or couldn't be
    /// opened.
    pub(super) monitor: Option<Rc<Monitor>>,
    pub(super) is_at_end: bool,
}

impl Exchange {
    /// Status and headers of the response.
    pub fn head(&self) -> &Parts {
        &self.head
    }

    /// Whether the response names its request, where the servers are expected to. Otherwise it
    /// belongs to the request as the only one of its connection.
    pub fn names_request(&self) -> bool {
        self.names_request
    }

    /// What tells the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// A connection that shows whether the process that responds goes on running; `None` if there
    /// was none before the request was sent. One opened later might be to another process.
    pub fn monitor(&self) -> Option<&Monitor> {
        self.monitor.as_deref()
    }

    /// Notes that responses from there end with their connections, so that later requests have a
    /// monitor.
    pub fn monitor_later(&self) {
        self.pool.monitor(self.to);
    }

    /// Returns the next chunk of the body, or `None` at its end, when the connection
    /// is returned to the pool.
    ///
    /// # Errors
    ///
    /// The response was interrupted.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            if self.is_at_end {
                return Ok(None);
            }
            match self.body.frame().await {
                None => self.finish(),
                Some(Err(error)) => return Err(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    // Trailers are ignored.
                    Err(_) => {}
                },
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// The response was interrupted, or the rest exceeds `max_bytes`.
    pub async fn read_to_end(&mut self, max_bytes: usize) -> Result<Bytes, String> {
        let mut buffer = bytes::BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if buffer.len() + chunk.len() > max_bytes {
                return Err(format!("the response exceeds {max_bytes} bytes"));
            }
            buffer.extend_from_slice(&chunk);
        }
        Ok(buffer.freeze())
    }

    fn finish(&mut self) {
        self.is_at_end = true;
        if let Some(connection) = self.connection.take().filter(|_| self.names_request) {
            self.pool.put_idle(self.to, connection, &self.head.headers, clock::now());
        }
    }
}
