//! HTTP connections that this instance accepts, on one thread.
//!
//! Unlike [`crate::http`], which serves the product's own interface, this one
//! leaves the whole answer to its handler: any status and headers, bodies that
//! break off, and connections that close without an answer. A caller that goes
//! away drops the handler's future or the receiving end of its body, and that
//! is how the handler learns of it.

use bytes::Bytes;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Pause after an accept that failed (out of descriptors, mostly).
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Pieces of a streamed body between its maker and the socket. A few are enough
/// to keep the socket busy; more would only hide a caller that doesn't read.
const PIECES: usize = 8;

/// Why an answer broke off after its head was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the answer broke off")
    }
}

impl std::error::Error for BodyAborted {}

/// Where the pieces of a streamed body are put.
pub type BodySender = mpsc::Sender<Result<Bytes, BodyAborted>>;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Full(Bytes),
    /// Pieces as they come; an error closes the connection.
    Stream(mpsc::Receiver<Result<Bytes, BodyAborted>>),
}

/// A body whose pieces are put into the sender.
pub fn body_channel() -> (BodySender, Body) {
    let (sender, receiver) = mpsc::channel(PIECES);
    (sender, Body::Stream(receiver))
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match &mut *self {
            Body::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Body::Full(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Body::Stream(pieces) => {
                pieces.poll_recv(cx).map(|piece| piece.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}

/// What answers requests.
pub trait Handler: 'static {
    /// Answers one request; an error closes the connection without an answer.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, BodyAborted>>;

    /// Most bytes of a request's head.
    fn max_head_bytes(&self) -> usize;
}

/// Serves until `stop`, then lets each connection finish its exchange.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(stream, handler.clone(), stop.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<H: Handler>(stream: TcpStream, handler: Rc<H>, stop: CancellationToken) {
    if stream.set_nodelay(true).is_err() {
        return; // The caller has gone already.
    }
    let max_head_bytes = handler.max_head_bytes();
    let service = service_fn(move |request| handler.clone().handle(request));
    let connection = http1::Builder::new()
        .max_buf_size(max_head_bytes.max(16 << 10))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // How a caller's connection ended is the handler's business: it sees its
    // future or its body dropped.
    tokio::select! {
        _ended = connection.as_mut() => return,
        () = stop.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ended = connection.await;
}

/// Reads a whole body of at most `limit` bytes; `None` when it is longer.
///
/// # Errors
///
/// The caller broke off.
pub async fn read_body(body: &mut Incoming, limit: usize) -> Result<Option<Bytes>, BodyAborted> {
    use http_body_util::BodyExt;
    if body.size_hint().lower() > limit as u64 {
        return Ok(None);
    }
    let mut whole = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyAborted)?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Ok(None);
        }
        whole.extend_from_slice(&data);
    }
    Ok(Some(whole.freeze()))
}
