//! Single-threaded HTTP server of the gateway.
//!
//! Unlike [`crate::http`], it gives handlers full control of the response: any
//! status and headers, aborted bodies, and connections closed without a response.
//! If the caller disconnects, the handler's future or the receiving half of its
//! body channel is dropped.

use crate::body::{self, Aborted};
use crate::budget::Budget;
use crate::connections::{Connection, Connections};
use crate::socket::{OpenResponse, Socket};
use bytes::Bytes;
use futures_util::Stream as _;
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
use tokio_util::sync::CancellationToken;

/// Avoids a busy loop while the process is out of file descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// After it, the runtime has looked for what had arrived before.
const ARRIVAL_DELAY: Duration = Duration::from_millis(1);
/// Small, so that a caller that doesn't read is noticed by backpressure.
const BODY_CHANNEL_CAPACITY: usize = 8;

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// The complete body, with a known length.
    Full(Bytes),
    /// The complete body, whose end is told only by that of the connection.
    Unframed(Bytes),
    /// Chunks of a streamed body; an error closes the connection.
    Stream(body::Receiver),
}

/// Creates a streamed body and the sender of its chunks.
pub fn body_channel() -> (body::Sender, Body) {
    let (sender, receiver) = body::channel(BODY_CHANNEL_CAPACITY);
    (sender, Body::Stream(receiver))
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match &mut *self {
            Body::Full(bytes) | Body::Unframed(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
            }
            Body::Stream(chunks) => {
                let chunk = Pin::new(chunks).poll_next(cx);
                chunk.map(|chunk| chunk.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Body::Unframed(_) | Body::Stream(_) => SizeHint::default(),
        }
    }
}

/// Handles the requests of a server.
pub trait Handler: 'static {
    /// Handles one request; an error closes the connection without a response.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, Aborted>>;

    /// Maximum size of a request head in bytes; at least 16 KiB are allowed.
    fn max_head_bytes(&self) -> usize;
}

/// Serves until `stop` is cancelled; open connections complete their request in progress. New ones
/// that `connections` doesn't admit are closed at once.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    connections: Rc<Connections>,
    stop: CancellationToken,
) {
    let mut closed = std::pin::pin!(closed(&stop));
    loop {
        let accepted = tokio::select! {
            biased; // What has arrived is served.
            accepted = listener.accept() => accepted,
            () = closed.as_mut() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(connection) = connections.open() {
                    let task = serve_connection(stream, connection, handler.clone(), stop.clone());
                    connections.spawn(task);
                }
            }
            // Probably out of file descriptors.
            Err(_) => {
                if !connections.close_idle() {
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Returns once the server stops and what had arrived by then can be read.
async fn closed(stop: &CancellationToken) {
    stop.cancelled().await;
    tokio::time::sleep(ARRIVAL_DELAY).await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    connection: Connection,
    handler: Rc<H>,
    stop: CancellationToken,
) {
    if stream.set_nodelay(true).is_err() {
        return; // The caller has disconnected already.
    }
    let max_head_bytes = handler.max_head_bytes();
    let open = OpenResponse::default();
    let socket = Socket::new(stream, open.clone());
    let requests = connection.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, open) = (handler.clone(), open.clone());
        let busy = requests.start_request();
        let version = request.version();
        async move {
            let response = open.track(version, handler.handle(request).await?);
            Ok::<_, Aborted>(response.map(|body| busy.until_end_of(body)))
        }
    });
    let serving = http1::Builder::new()
        .max_buf_size(max_head_bytes.max(16 << 10))
        .serve_connection(TokioIo::new(socket), service);
    let mut serving = std::pin::pin!(serving);
    // Errors are ignored: the handler notices that its future or body is dropped.
    tokio::select! {
        biased; // A request that has arrived is read.
        _result = serving.as_mut() => return,
        () = closed(&stop) => {}
        () = connection.closing() => {}
    }
    serving.as_mut().graceful_shutdown();
    let _result = serving.await;
}

/// Why a body wasn't read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It exceeds its limit.
    TooLarge,
    /// Bodies of other requests leave no room for it.
    NoRoom,
}

/// Reads a complete body of at most `max_bytes`, which uses `budget` as long as it exists.
///
/// # Errors
///
/// The caller disconnected before the end of the body.
pub async fn read_body(
    body: &mut Incoming,
    max_bytes: usize,
    budget: &Budget,
) -> Result<Result<Bytes, Refusal>, Aborted> {
    use http_body_util::BodyExt;
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Ok(Err(Refusal::TooLarge));
    }
    let mut reservation = budget.reserve();
    if !reservation.grow(announced as usize) {
        return Ok(Err(Refusal::NoRoom));
    }
    let mut buffer = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Aborted)?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Ok(Err(Refusal::TooLarge));
        }
        if !reservation.grow(buffer.len() + data.len()) {
            return Ok(Err(Refusal::NoRoom));
        }
        buffer.extend_from_slice(&data);
    }
    Ok(Ok(reservation.hold(buffer.freeze())))
}
