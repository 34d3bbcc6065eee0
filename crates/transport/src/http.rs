//! The HTTP side that serves: bounded bodies, answers, errors.

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Method, StatusCode};
use protocol::error::Body;
use protocol::{Error, Kind};
use serde::Serialize;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use warp::Filter;

/// An answer.
pub type Response = warp::reply::Response;

const BACKLOG: u32 = 1024;

/// A request without its body.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Query, without the question mark.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// A header as text; empty when it is absent or no text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// A value of the query; `None` when it is absent.
    pub fn value(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Path segments.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|part| !part.is_empty()).collect()
    }
}

/// Bytes of a body as they come.
pub trait BodyStream: Stream<Item = Result<Bytes, String>> + Send + Unpin {}

impl<T: Stream<Item = Result<Bytes, String>> + Send + Unpin> BodyStream for T {}

/// What answers requests.
pub trait Service: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn call<B: BodyStream>(
        &self,
        head: RequestHead,
        body: B,
    ) -> impl Future<Output = Response> + Send;
}

/// A listening socket. Small events must leave at once, so the sockets that it
/// accepts inherit `TCP_NODELAY`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves until `stop`, then finishes what runs.
pub async fn serve<S: Service>(listener: TcpListener, service: S, stop: CancellationToken) {
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let routes = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, query, headers, body| {
            let service = service.clone();
            let head = RequestHead { method, path: path.as_str().to_owned(), query, headers };
            async move { Ok::<_, Infallible>(answer(service, head, body).await) }
        })
        .map(|result: Result<Response, Infallible>| match result {
            Ok(response) => response,
            Err(never) => match never {},
        });
    warp::serve(routes).incoming(listener).graceful(stop.cancelled_owned()).run().await;
}

async fn answer<S, B, D>(service: S, head: RequestHead, body: B) -> Response
where
    S: Service,
    B: Stream<Item = Result<D, warp::Error>> + Send,
    D: Buf,
{
    let bytes = body.map(|piece| match piece {
        Ok(mut buffer) => Ok(buffer.copy_to_bytes(buffer.remaining())),
        Err(error) => Err(error.to_string()),
    });
    let bytes = std::pin::pin!(bytes);
    service.call(head, bytes).await
}

/// Reads a whole body of at most `limit` bytes within `wait`.
///
/// # Errors
///
/// `TooLarge`, `SlowCaller` or `Malformed`.
pub async fn read_body<B: BodyStream>(
    body: &mut B,
    limit: usize,
    wait: Duration,
) -> Result<Bytes, Error> {
    let whole = async {
        let mut buffer = BytesMut::new();
        while let Some(piece) = body.next().await {
            let piece = piece.map_err(|text| Error::new(Kind::Malformed, text))?;
            if buffer.len() + piece.len() > limit {
                let text = format!("the body is over {limit} bytes");
                return Err(Error::new(Kind::TooLarge, text));
            }
            buffer.extend_from_slice(&piece);
        }
        Ok(buffer.freeze())
    };
    match tokio::time::timeout(wait, whole).await {
        Ok(result) => result,
        Err(_) => Err(slow(wait)),
    }
}

fn slow(wait: Duration) -> Error {
    Error::new(Kind::SlowCaller, format!("the body did not come within {wait:?}"))
}

/// Reads a body line by line, in bounded memory.
pub struct LineReader<B> {
    body: B,
    buffer: BytesMut,
    limit: usize,
    wait: Duration,
    ended: bool,
}

impl<B: BodyStream> LineReader<B> {
    /// Lines of at most `limit` bytes; each piece must come within `wait`.
    pub fn new(body: B, limit: usize, wait: Duration) -> LineReader<B> {
        LineReader { body, buffer: BytesMut::new(), limit, wait, ended: false }
    }

    /// The next line that isn't empty; `None` at the end.
    ///
    /// # Errors
    ///
    /// `TooLarge`, `SlowCaller` or `Malformed`.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1).freeze();
                let line = line.slice(..end);
                if line.iter().any(|byte| !byte.is_ascii_whitespace()) {
                    return Ok(Some(line));
                }
                continue;
            }
            if self.ended {
                let rest = std::mem::take(&mut self.buffer).freeze();
                return Ok(Some(rest).filter(|line| !line.is_empty()));
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), Error> {
        if self.buffer.len() > self.limit {
            let text = format!("a line is over {} bytes", self.limit);
            return Err(Error::new(Kind::TooLarge, text));
        }
        match tokio::time::timeout(self.wait, self.body.next()).await {
            Err(_) => Err(slow(self.wait)),
            Ok(None) => {
                self.ended = true;
                Ok(())
            }
            Ok(Some(Err(text))) => Err(Error::new(Kind::Malformed, text)),
            Ok(Some(Ok(piece))) => {
                self.buffer.extend_from_slice(&piece);
                Ok(())
            }
        }
    }
}

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: u16, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    bytes(status, "application/json", Bytes::from(body))
}

/// An answer with any body.
pub fn bytes(status: u16, kind: &str, body: Bytes) -> Response {
    let mut response = Response::new(body.into());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    set_header(&mut response, CONTENT_TYPE.as_str(), kind);
    response
}

/// The answer that the table gives for an error.
pub fn error(error: &Error) -> Response {
    let mut response = json(error.kind.properties().status, &Body::from(error));
    if let Some(seconds) = error.retry_after_seconds() {
        set_header(&mut response, RETRY_AFTER.as_str(), &seconds.to_string());
    }
    response
}

/// Sets a header; one that can't be sent is left out.
pub fn set_header(response: &mut Response, name: &str, value: &str) {
    let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}

/// A body that comes through a bounded channel.
pub struct ChannelBody(mpsc::Receiver<Result<Bytes, String>>);

impl Stream for ChannelBody {
    type Item = Result<Bytes, String>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// An answer whose body is streamed.
pub fn stream(status: u16, kind: &str, pieces: mpsc::Receiver<Result<Bytes, String>>) -> Response {
    let mut response = warp::reply::Reply::into_response(warp::reply::stream(ChannelBody(pieces)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    set_header(&mut response, CONTENT_TYPE.as_str(), kind);
    response
}
