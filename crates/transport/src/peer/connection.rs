//! A capnp-rpc connection between two instances that counts its bytes.

use super::arriving::Arriving;
use crate::budget::Budget;
use crate::link::{CHUNK_BYTES, SimulatedLink};
use capnp_rpc::{rpc_twoparty_capnp, twoparty};
use futures_util::AsyncReadExt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Size of the buffers of a connection, of which an instance has hundreds; larger messages bypass
/// them.
const BUFFER_BYTES: usize = 2 << 10;

/// Bytes exchanged with other instances, for metrics, and what bounds them.
#[derive(Debug)]
pub struct Traffic {
    /// Bytes sent since the start of the process.
    pub sent: AtomicU64,
    /// Bytes received since the start of the process.
    pub received: AtomicU64,
    /// The link over which bytes are sent, if a test simulates one.
    pub link: Option<SimulatedLink>,
    /// Memory for messages that are arriving.
    pub messages: Budget,
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic {
            sent: AtomicU64::default(),
            received: AtomicU64::default(),
            link: None,
            messages: Budget::unlimited(),
        }
    }
}

/// One end of a capnp-rpc connection.
pub type Network = twoparty::VatNetwork<
    futures_util::io::BufReader<
        futures_util::io::ReadHalf<tokio_util::compat::Compat<CountedStream>>,
    >,
>;

/// Wraps a stream for capnp-rpc; `None` if it is closed already.
pub fn network(stream: CountedStream, side: rpc_twoparty_capnp::Side) -> Option<Network> {
    stream.stream.set_nodelay(true).ok()?;
    let (read, write) = stream.compat().split();
    let read = futures_util::io::BufReader::with_capacity(BUFFER_BYTES, read);
    let write = futures_util::io::BufWriter::with_capacity(BUFFER_BYTES, write);
    Some(twoparty::VatNetwork::new(read, write, side, capnp::message::ReaderOptions::new()))
}

/// A TCP stream that counts its bytes.
pub struct CountedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
    /// Bytes received on this connection.
    received: Arc<AtomicU64>,
    arriving: Arriving,
    /// Bytes that the simulated link has accepted, and the wait until they are sent.
    accepted: Option<(usize, Pin<Box<Sleep>>)>,
}

impl CountedStream {
    /// Wraps a stream. `traffic` is shared by all connections.
    pub fn new(stream: TcpStream, traffic: Arc<Traffic>) -> CountedStream {
        let arriving = Arriving::new(traffic.messages.clone());
        CountedStream { stream, traffic, received: Arc::default(), arriving, accepted: None }
    }

    /// The number of bytes received on this connection, which grows while it is open.
    pub fn received(&self) -> Arc<AtomicU64> {
        self.received.clone()
    }

    /// Returns the number of bytes, at most `wanted`, that may be written now.
    fn poll_capacity(&mut self, cx: &mut Context<'_>, wanted: usize) -> Poll<usize> {
        let Some(link) = &self.traffic.link else {
            return Poll::Ready(wanted);
        };
        let (bytes, sent) = self.accepted.get_or_insert_with(|| {
            let bytes = wanted.min(CHUNK_BYTES);
            let sent_at = link.accept(bytes, Instant::now());
            (bytes, Box::pin(tokio::time::sleep_until(sent_at.into())))
        });
        ready!(sent.as_mut().poll(cx));
        let bytes = wanted.min(*bytes);
        self.accepted = None;
        Poll::Ready(bytes)
    }
}

impl tokio::io::AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read = buffer.filled().len() - before;
        self.traffic.received.fetch_add(read as u64, Ordering::Relaxed);
        self.received.fetch_add(read as u64, Ordering::Relaxed);
        if !self.arriving.push(&buffer.filled()[before..]) {
            let error = std::io::Error::other("no room for a message, or none that is valid");
            return Poll::Ready(Err(error));
        }
        polled
    }
}

impl tokio::io::AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let capacity = ready!(self.poll_capacity(cx, bytes.len()));
        let polled = Pin::new(&mut self.stream).poll_write(cx, &bytes[..capacity]);
        if let Poll::Ready(Ok(written)) = &polled {
            self.traffic.sent.fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
