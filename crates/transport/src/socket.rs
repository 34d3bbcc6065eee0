//! Sockets of callers, which are reset as long as a response is incomplete.
//!
//! In HTTP/1.0 a response of unknown length ends with its connection. The system closes the
//! connections of a dropped socket or an ended process in order, so that the caller would take any
//! part of such a response for the whole.

use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, Version};
use rustix::net::sockopt;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// How long a caller that goes on sending may take to read its last response.
const MAX_LINGER_TIME: Duration = Duration::from_secs(2);

/// Whether a response that ends with its connection is incomplete; clones share it.
#[derive(Clone, Debug, Default)]
pub struct OpenResponse(Arc<AtomicBool>);

impl OpenResponse {
    /// Follows the body of a response to a request of HTTP `version`. The response is in the earlier
    /// of this version and its own.
    pub fn track<B: Body>(
        &self,
        version: Version,
        response: Response<B>,
    ) -> Response<TrackedBody<B>> {
        let has_length = response.body().size_hint().exact().is_some();
        let version = version.min(response.version());
        let ends_with_connection = version < Version::HTTP_11 && !has_length;
        let open = ends_with_connection.then(|| self.clone());
        self.set(ends_with_connection);
        response.map(|body| TrackedBody { body, open })
    }

    fn set(&self, is_open: bool) {
        self.0.store(is_open, Ordering::Relaxed);
    }

    fn is_open(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Body of a response that closes its [`OpenResponse`] at its end.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    /// `None` if the response doesn't end with its connection, or has ended.
    open: Option<OpenResponse>,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let is_failed = matches!(frame, Some(Err(_)));
        let is_at_end = frame.is_none() || self.body.is_end_stream();
        if is_at_end
            && !is_failed
            && let Some(open) = self.open.take()
        {
            open.set(false);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The connection of a caller.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    open: OpenResponse,
    /// Whether the system resets the connection when the socket is dropped or the process ends.
    is_reset_on_close: bool,
    /// When the connection is closed at the latest; `None` if its caller has sent nothing further.
    lingering: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    /// Wraps a connection. `open` follows the responses that are sent on it.
    pub fn new(stream: TcpStream, open: OpenResponse) -> Socket {
        Socket { stream, open, is_reset_on_close: false, lingering: None }
    }

    /// Before any part of a response that ends with the connection is sent.
    fn prepare_write(&mut self) -> io::Result<()> {
        if self.open.is_open() && !self.is_reset_on_close {
            self.stream.set_zero_linger()?;
            self.is_reset_on_close = true;
        }
        Ok(())
    }

    /// After the last part of a complete response was handed to the system.
    fn prepare_close(&mut self) -> io::Result<()> {
        if self.is_reset_on_close {
            sockopt::set_socket_linger(&self.stream, None)?;
            self.is_reset_on_close = false;
        }
        Ok(())
    }
}

impl Socket {
    /// Discards what the caller sends after its last response. Unread data would make the system
    /// reset the connection, and drop what of the response is still to be sent.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut discarded = [0; 4096];
        loop {
            let mut buffer = ReadBuf::new(&mut discarded);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.lingering.get_or_insert_with(|| Box::pin(sleep(MAX_LINGER_TIME)));
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => break,
            }
        }
        self.lingering.as_mut().map_or(Poll::Ready(()), |end| end.as_mut().poll(cx))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.open.is_open() {
            return Poll::Ready(Ok(())); // Dropping the socket resets the connection.
        }
        self.prepare_close()?;
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        self.poll_discard(cx).map(Ok)
    }
}
