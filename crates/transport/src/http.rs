//! HTTP server of the product's own API: bounded request bodies, responses and errors.

use crate::body;
use crate::head;
use crate::server::ACCEPT_RETRY_DELAY;
use crate::socket::{OpenResponse, Socket};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use hyper_util::service::TowerToHyperService;
use protocol::error::Body;
use protocol::{Error, Kind};
use serde::Serialize;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;
use warp::Filter;

/// An HTTP response, complete or streamed.
pub type Response = warp::reply::Response;

const LISTEN_BACKLOG: u32 = 1024;

/// Head of an HTTP request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// HTTP method.
    pub method: Method,
    /// Path without the query, not decoded.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// All headers.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Returns the value of a header; empty if the header is absent or not ASCII.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the value of a query parameter, not decoded.
    pub fn value(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the path segments that aren't empty.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }
}

/// A request body as a stream of chunks.
pub trait BodyStream: Stream<Item = Result<Bytes, String>> + Send + Unpin {}

impl<T: Stream<Item = Result<Bytes, String>> + Send + Unpin> BodyStream for T {}

/// Handles the requests of a server.
pub trait Service: Clone + Send + Sync + 'static {
    /// Handles one request.
    fn call<B: BodyStream>(
        &self,
        head: RequestHead,
        body: B,
    ) -> impl Future<Output = Response> + Send;
}

/// Binds a listening socket. Accepted connections inherit `TCP_NODELAY`, so that
/// small events are sent immediately.
///
/// # Errors
///
/// The address can't be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Serves until `stop` is cancelled, then completes the requests in progress.
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
            async move { Ok::<_, Infallible>(handle(service, head, body).await) }
        })
        .map(|result: Result<Response, Infallible>| match result {
            Ok(response) => response,
            Err(never) => match never {},
        });
    let routes = TowerToHyperService::new(warp::service(routes));
    let connections = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, routes.clone(), connections.watcher()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    connections.shutdown().await;
}

async fn serve_connection<R>(stream: TcpStream, routes: R, watcher: Watcher)
where
    R: hyper::service::Service<Request<Incoming>, Response = Response> + Send + 'static,
    R::Future: Send + 'static,
    R::Error: std::error::Error + Send + Sync + 'static,
{
    let open = OpenResponse::default();
    let socket = Socket::new(stream, open.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (version, open) = (request.version(), open.clone());
        let response = routes.call(request);
        async move { Ok::<_, R::Error>(open.track(version, response.await?)) }
    });
    let builder = Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    // Errors are ignored: the handler notices that its future or body is dropped.
    let _result = watcher.watch(connection).await;
}

async fn handle<S, B, D>(service: S, head: RequestHead, body: B) -> Response
where
    S: Service,
    B: Stream<Item = Result<D, warp::Error>> + Send,
    D: Buf,
{
    let bytes = body.map(|chunk| match chunk {
        Ok(mut buffer) => Ok(buffer.copy_to_bytes(buffer.remaining())),
        Err(error) => Err(error.to_string()),
    });
    let bytes = std::pin::pin!(bytes);
    service.call(head, bytes).await
}

/// Reads a complete body of at most `max_bytes` within `timeout`.
///
/// # Errors
///
/// `TooLarge` or `SlowCaller` if a limit is exceeded, `Malformed` if the
/// connection fails.
pub async fn read_body<B: BodyStream>(
    body: &mut B,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Error> {
    let read = async {
        let mut buffer = BytesMut::new();
        while let Some(chunk) = body.next().await {
            let chunk = chunk.map_err(|text| Error::new(Kind::Malformed, text))?;
            if buffer.len() + chunk.len() > max_bytes {
                let text = format!("the body exceeds {max_bytes} bytes");
                return Err(Error::new(Kind::TooLarge, text));
            }
            buffer.extend_from_slice(&chunk);
        }
        Ok(buffer.freeze())
    };
    match tokio::time::timeout(timeout, read).await {
        Ok(result) => result,
        Err(_) => Err(body_timeout(timeout)),
    }
}

fn body_timeout(timeout: Duration) -> Error {
    Error::new(Kind::SlowCaller, format!("the body did not arrive within {timeout:?}"))
}

/// Reads a body line by line in bounded memory.
pub struct LineReader<B> {
    body: B,
    buffer: BytesMut,
    max_line_bytes: usize,
    chunk_timeout: Duration,
    is_at_end: bool,
}

impl<B: BodyStream> LineReader<B> {
    /// Reads lines of at most `max_line_bytes`; each chunk of the body must
    /// arrive within `chunk_timeout`.
    pub fn new(body: B, max_line_bytes: usize, chunk_timeout: Duration) -> LineReader<B> {
        LineReader {
            body,
            buffer: BytesMut::new(),
            max_line_bytes,
            chunk_timeout,
            is_at_end: false,
        }
    }

    /// Returns the next line that isn't blank, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// `TooLarge` or `SlowCaller` if a limit is exceeded, `Malformed` if the
    /// connection fails.
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
            if self.is_at_end {
                let rest = std::mem::take(&mut self.buffer).freeze();
                return Ok(Some(rest).filter(|line| !line.is_empty()));
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), Error> {
        if self.buffer.len() > self.max_line_bytes {
            let text = format!("a line exceeds {} bytes", self.max_line_bytes);
            return Err(Error::new(Kind::TooLarge, text));
        }
        match tokio::time::timeout(self.chunk_timeout, self.body.next()).await {
            Err(_) => Err(body_timeout(self.chunk_timeout)),
            Ok(None) => {
                self.is_at_end = true;
                Ok(())
            }
            Ok(Some(Err(text))) => Err(Error::new(Kind::Malformed, text)),
            Ok(Some(Ok(chunk))) => {
                self.buffer.extend_from_slice(&chunk);
                Ok(())
            }
        }
    }
}

/// Creates a response with a JSON body.
pub fn json<T: Serialize>(status: u16, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    bytes(status, "application/json", Bytes::from(body))
}

/// The status code of a response. A number that is none, as a stored outcome may have, is that of a
/// failure.
pub fn status_code(status: u16) -> StatusCode {
    let code = StatusCode::from_u16(status).ok().filter(|code| head::has_class(*code));
    code.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Creates a response with a body of any content type.
pub fn bytes(status: u16, content_type: &str, body: Bytes) -> Response {
    let mut response = Response::new(body.into());
    *response.status_mut() = status_code(status);
    set_header(&mut response, CONTENT_TYPE.as_str(), content_type);
    response
}

/// Creates the response to a failed request, with `Retry-After` if a retry may help.
pub fn error(error: &Error) -> Response {
    let mut response = json(error.kind.properties().status, &Body::from(error));
    if let Some(seconds) = error.retry_after_seconds() {
        set_header(&mut response, RETRY_AFTER.as_str(), &seconds.to_string());
    }
    response
}

/// Sets a response header; an invalid name or value is ignored.
pub fn set_header(response: &mut Response, name: &str, value: &str) {
    let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}

/// Creates a response with a streamed body.
pub fn stream(status: u16, content_type: &str, body: body::Receiver) -> Response {
    let mut response = warp::reply::Reply::into_response(warp::reply::stream(body));
    *response.status_mut() = status_code(status);
    set_header(&mut response, CONTENT_TYPE.as_str(), content_type);
    response
}
