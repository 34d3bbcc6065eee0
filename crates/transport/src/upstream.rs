//! HTTP connections that this instance opens, one exchange at a time on each.
//!
//! For targets and for the platform alike. What it gives over a ready client
//! pool is certainty about what was sent: a [`SendError`] says whether a byte of
//! the request can have left, an exchange that is dropped resets its connection
//! at once (which is how a target learns that nobody waits any more, and what is
//! still on its way is dropped with it), and a
//! connection is used again only after a whole answer with nothing behind it.
//!
//! It doesn't retry and doesn't choose; it lives inside a `LocalSet`.
//!
//! ```no_run
//! # async fn example() -> Result<(), transport::upstream::SendError> {
//! use bytes::Bytes;
//! use http_body_util::Full;
//! use transport::upstream::{Pool, Settings};
//!
//! let pool = Pool::new(Settings::default());
//! let request = hyper::Request::get("/report").body(Full::new(Bytes::new())).unwrap();
//! let exchange = pool.send(([127, 0, 0, 1], 8080).into(), request).await?;
//! println!("{}", exchange.head().status);
//! # Ok(())
//! # }
//! ```

use crate::clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// How connections are opened and kept.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest wait for a connection to come up.
    pub connect_timeout: Duration,
    /// Longest rest of a connection whose peer doesn't tell when it closes it.
    pub idle_timeout: Duration,
    /// How much earlier than the peer's own time a resting connection is given
    /// up, so that a request doesn't cross the peer's close.
    pub idle_margin: Duration,
    /// Most connections kept at rest for each address.
    pub max_idle_per_host: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            connect_timeout: Duration::from_millis(300),
            idle_timeout: Duration::from_secs(4),
            idle_margin: Duration::from_millis(500),
            max_idle_per_host: 16,
        }
    }
}

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request left.
    NotSent(String),
    /// The request left, at least in part, and no answer came.
    OutcomeUnknown(String),
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SendError::NotSent(text) => write!(f, "not sent: {text}"),
            SendError::OutcomeUnknown(text) => write!(f, "sent, no answer: {text}"),
        }
    }
}

impl std::error::Error for SendError {}

/// What an attempt to connect says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It takes connections.
    Listening,
    /// Its machine answers that nobody listens there: the process is gone.
    Refused,
    /// Nothing tells: no answer in time, or another failure.
    Unknown,
}

/// A task that ends with its owner; here, the task that drives a connection.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    // Held so that dropping the connection closes its socket.
    _driver: Driver,
}

#[derive(Debug)]
struct Resting {
    connection: Connection,
    until: Instant,
}

type Shelf = Rc<RefCell<HashMap<SocketAddr, Vec<Resting>>>>;

/// Connections by address.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: Settings,
    shelf: Shelf,
    opened: Rc<Cell<u64>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(settings: Settings) -> Pool {
        Pool { settings, shelf: Shelf::default(), opened: Rc::default() }
    }

    /// Connections opened so far.
    pub fn connections_opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes the connections at rest to addresses that `keep` refuses.
    pub fn retain_idle(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.shelf.borrow_mut().retain(|address, _| keep(*address));
    }

    /// Closes the connections at rest to an address: another process listens there now.
    pub fn close_idle(&self, address: SocketAddr) {
        self.shelf.borrow_mut().remove(&address);
    }

    /// Sends a request and waits for the head of its answer. Dropping the
    /// future, or the exchange that it gives, resets the connection.
    ///
    /// # Errors
    ///
    /// Whether the request can have left.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        let mut request = request;
        loop {
            let rested = self.take(to, clock::now());
            let is_rested = rested.is_some();
            let mut connection = match rested {
                Some(connection) => connection,
                None => self.open(to).await?,
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    let pool = self.clone();
                    let kept = Some(connection);
                    return Ok(Exchange { to, head, body, kept, pool, ended: false });
                }
                Err(mut error) => match error.take_message() {
                    // The peer closed it while it rested; nothing left.
                    Some(back) if is_rested => request = back,
                    Some(_) => return Err(SendError::NotSent(error.error().to_string())),
                    None => return Err(SendError::OutcomeUnknown(error.error().to_string())),
                },
            }
        }
    }

    fn take(&self, to: SocketAddr, now: Instant) -> Option<Connection> {
        let mut shelf = self.shelf.borrow_mut();
        let resting = shelf.get_mut(&to)?;
        while let Some(last) = resting.pop() {
            if now < last.until && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    fn put(&self, to: SocketAddr, connection: Connection, headers: &HeaderMap, now: Instant) {
        let Some(rest) = rest(headers, self.settings) else {
            return;
        };
        let mut shelf = self.shelf.borrow_mut();
        let resting = shelf.entry(to).or_default();
        resting.retain(|old| now < old.until && !old.connection.sender.is_closed());
        if resting.len() < self.settings.max_idle_per_host {
            resting.push(Resting { connection, until: now + rest });
        }
    }

    /// Whether anybody listens at `to`; a connection that comes up rests for the next
    /// request.
    pub async fn probe(&self, to: SocketAddr) -> ProbeResult {
        let stream = match self.connect(to).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                return ProbeResult::Refused;
            }
            Err(_) => return ProbeResult::Unknown,
        };
        match self.establish(stream).await {
            Ok(connection) => {
                self.put(to, connection, &HeaderMap::new(), clock::now());
                ProbeResult::Listening
            }
            Err(_) => ProbeResult::Unknown,
        }
    }

    async fn connect(&self, to: SocketAddr) -> std::io::Result<TcpStream> {
        let connect = tokio::time::timeout(self.settings.connect_timeout, TcpStream::connect(to));
        connect.await.unwrap_or_else(|_| {
            Err(std::io::Error::new(ErrorKind::TimedOut, "took no connection in time"))
        })
    }

    async fn open(&self, to: SocketAddr) -> Result<Connection, SendError> {
        match self.connect(to).await {
            Ok(stream) => self.establish(stream).await,
            Err(error) => Err(SendError::NotSent(format!("{to}: {error}"))),
        }
    }

    async fn establish(&self, stream: TcpStream) -> Result<Connection, SendError> {
        stream.set_nodelay(true).map_err(|error| SendError::NotSent(error.to_string()))?;
        // Closing resets. An orderly close has the system deliver what was sent, for
        // as long as a cut lasts: a request that was given up, and even promised not
        // to run any more, reached its target 5.7 s later in a replay of such a cut.
        stream.set_zero_linger().map_err(|error| SendError::NotSent(error.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        self.opened.set(self.opened.get() + 1);
        let driver = tokio::task::spawn_local(async move {
            // How the connection ended shows in the exchange that used it.
            let _ended = connection.await;
        });
        Ok(Connection { sender, _driver: Driver(driver) })
    }
}

/// How long a connection may rest after an answer with these headers; `None`
/// when the peer closes it.
fn rest(headers: &HeaderMap, settings: Settings) -> Option<Duration> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = |value: &str| value.split(',').any(|p| p.trim().eq_ignore_ascii_case("close"));
    if text("connection").is_some_and(closes) {
        return None;
    }
    let told = text("keep-alive").and_then(|value| {
        let parts = value.split(',').filter_map(|part| part.trim().split_once('='));
        let mut timeout = parts.filter(|(key, _)| key.eq_ignore_ascii_case("timeout"));
        timeout.next().and_then(|(_, seconds)| seconds.trim().parse::<u64>().ok())
    });
    match told {
        None => Some(settings.idle_timeout),
        Some(seconds) => Duration::from_secs(seconds).checked_sub(settings.idle_margin),
    }
}

/// One answer as it comes.
#[derive(Debug)]
pub struct Exchange {
    to: SocketAddr,
    head: Parts,
    body: Incoming,
    kept: Option<Connection>,
    pool: Pool,
    ended: bool,
}

impl Exchange {
    /// Status and headers of the answer.
    pub fn head(&self) -> &Parts {
        &self.head
    }

    /// Whether the end of the body can be told from a connection that closes early.
    pub fn has_body_framing(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }

    /// The next piece of the body; `None` at its end, after which the
    /// connection rests for the next request.
    ///
    /// # Errors
    ///
    /// How the answer broke off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            if self.ended {
                return Ok(None);
            }
            match self.body.frame().await {
                None => self.finish(),
                Some(Err(error)) => return Err(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    // Trailers say nothing here.
                    Err(_) => {}
                },
            }
        }
    }

    /// The rest of the body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// How the answer broke off, or that it is too long.
    pub async fn read_to_end(&mut self, limit: usize) -> Result<Bytes, String> {
        let mut whole = bytes::BytesMut::new();
        while let Some(piece) = self.next().await? {
            if whole.len() + piece.len() > limit {
                return Err(format!("the answer is over {limit} bytes"));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(connection) = self.kept.take() {
            self.pool.put(self.to, connection, &self.head.headers, clock::now());
        }
    }
}
