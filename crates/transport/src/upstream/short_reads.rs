//! Streams that are read in short pieces.
//!
//! The HTTP client enlarges its buffer as long as each read fills it, and hands bodies on in pieces
//! of that size. Responses whose callers read slowly would hold several such pieces each.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Longest piece; just too short to fill a buffer of 16 KiB, so that none is larger.
const MAX_READ_BYTES: usize = (16 << 10) - 1;

/// A stream that is read in short pieces.
#[derive(Debug)]
pub(super) struct ShortReads<S>(pub S);

impl<S: AsyncRead + Unpin> AsyncRead for ShortReads<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if buffer.remaining() <= MAX_READ_BYTES {
            return Pin::new(&mut self.0).poll_read(cx, buffer);
        }
        let mut short = ReadBuf::new(buffer.initialize_unfilled_to(MAX_READ_BYTES));
        ready!(Pin::new(&mut self.0).poll_read(cx, &mut short))?;
        let read = short.filled().len();
        buffer.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ShortReads<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
