//! HTTP/1 client pool for targets and the platform.
//!
//! Unlike general-purpose pools, it tells exactly what was sent: a [`SendError`]
//! says whether any byte of the request may have left, a dropped exchange resets
//! its connection at once, discarding unsent data, and a connection is reused
//! only after a complete response. Where servers repeat the id of a request in
//! their responses, a response to another request is an error.
//!
//! It doesn't retry, and must be used inside a `LocalSet`.
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

mod exchange;
mod monitor;
mod ownership;
mod short_reads;

pub use exchange::{Exchange, Framing};
pub use monitor::Monitor;
use monitor::Monitors;
use ownership::{Carried, Distrust, RequestId};
use short_reads::ShortReads;

use crate::{clock, head};
use bytes::Bytes;
use coordination::presence::Presence;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Maximum time that a request waits for its monitor, whose connection is opened beside its own.
const MONITOR_TIMEOUT: Duration = Duration::from_millis(20);

/// Settings of a connection pool.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum idle time of a connection whose server announces no `Keep-Alive` timeout.
    pub idle_timeout: Duration,
    /// Subtracted from the server's `Keep-Alive` timeout, so that a request isn't sent
    /// while the server closes the connection.
    pub idle_margin: Duration,
    /// Maximum number of idle connections per address.
    pub max_idle_per_host: usize,
    /// Header whose value the servers repeat in the response to a request; `None` for servers that
    /// are trusted to send one response to each.
    pub id_header: Option<HeaderName>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            connect_timeout: Duration::from_millis(300),
            idle_timeout: Duration::from_secs(4),
            idle_margin: Duration::from_millis(500),
            max_idle_per_host: 16,
            id_header: None,
        }
    }
}

/// Why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The connection was refused, so no byte of the request was sent.
    Refused(String),
    /// The request was sent at least in part, but there is no response.
    OutcomeUnknown(String),
    /// The request was sent, and a response came that may belong to another one.
    Foreign(String),
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SendError::NotSent(text) | SendError::Refused(text) => write!(f, "not sent: {text}"),
            SendError::OutcomeUnknown(text) | SendError::Foreign(text) => {
                write!(f, "sent, no response: {text}")
            }
        }
    }
}

impl std::error::Error for SendError {}

#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    carried: Carried,
    // Owns the socket; dropping the connection closes it.
    _driver: AbortOnDrop,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires: Instant,
}

type IdleConnections = Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>;

/// Pool of connections by address; clones share it.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: Settings,
    idle: IdleConnections,
    opened: Rc<Cell<u64>>,
    monitors: Rc<RefCell<Monitors>>,
    distrust: Rc<RefCell<Distrust>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(settings: Settings) -> Pool {
        Pool {
            settings,
            idle: IdleConnections::default(),
            opened: Rc::default(),
            monitors: Rc::default(),
            distrust: Rc::default(),
        }
    }

    /// Number of connections opened since the pool was created.
    pub fn connections_opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes idle connections to addresses for which `keep` returns `false`.
    pub fn retain_idle(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.idle.borrow_mut().retain(|address, _| keep(*address));
        self.monitors.borrow_mut().retain(keep);
    }

    /// Closes idle connections to an address, such as after a restart of its process.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Sends a request and waits for the head of its response. Dropping the
    /// future or the returned exchange resets the connection.
    ///
    /// # Errors
    ///
    /// There is no response; the variant says whether the request may have been sent.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        let id = self.request_id(&request);
        let mut request = request;
        let mut monitor = self.monitor_of_known(to);
        loop {
            let idle = self.take_idle(to, &id, clock::now());
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(to).await?,
            };
            if let Some(opened) = &monitor
                && !opened.is_open_within(MONITOR_TIMEOUT).await
            {
                monitor = None;
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.exchange(to, connection, &id, response, monitor),
                Err(mut error) => match error.take_message() {
                    // The server closed the idle connection; nothing was sent.
                    Some(unsent) if is_reused => request = unsent,
                    Some(_) => return Err(SendError::NotSent(error.error().to_string())),
                    None => return Err(SendError::OutcomeUnknown(error.error().to_string())),
                },
            }
        }
    }

    fn request_id(&self, request: &Request<Full<Bytes>>) -> RequestId {
        let name = self.settings.id_header.as_ref()?;
        ownership::request_id(name, request.headers())
    }

    /// The exchange whose response has begun, if the response is whole and belongs to the request.
    fn exchange(
        &self,
        to: SocketAddr,
        mut connection: Connection,
        id: &RequestId,
        response: Response<Incoming>,
        monitor: Option<Rc<Monitor>>,
    ) -> Result<Exchange, SendError> {
        if let Some(fault) = head::fault(&response) {
            return Err(SendError::OutcomeUnknown(fault.to_owned()));
        }
        let names_request = match &self.settings.id_header {
            None => true,
            Some(name) => {
                let is_first = connection.carried.is_empty();
                let owned = ownership::check(name, response.headers(), id, is_first);
                owned.inspect_err(|_| self.on_foreign(to))?
            }
        };
        connection.carried.add(id);
        let (head, body) = response.into_parts();
        let framing = Framing::of(&head, &body);
        Ok(Exchange {
            to,
            head,
            framing,
            body,
            connection: Some(connection),
            names_request,
            pool: self.clone(),
            monitor,
            is_at_end: false,
        })
    }

    /// Avoids a server's idle connections, which may bring further responses in the wrong place.
    fn on_foreign(&self, to: SocketAddr) {
        self.distrust.borrow_mut().add(to, clock::now());
        self.close_idle(to);
    }

    fn may_reuse(&self, to: SocketAddr, now: Instant) -> bool {
        !self.distrust.borrow().contains(to, now)
    }

    fn take_idle(&self, to: SocketAddr, id: &RequestId, now: Instant) -> Option<Connection> {
        let has_ids = self.settings.id_header.is_some();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&to)?;
        connections.retain(|idle| now < idle.expires && !idle.connection.sender.is_closed());
        let is_suitable = |idle: &IdleConnection| {
            let Connection { sender, carried, .. } = &idle.connection;
            sender.is_ready() && (!has_ids || carried.allows(id))
        };
        let index = connections.iter().rposition(is_suitable)?;
        Some(connections.remove(index).connection)
    }

    fn put_idle(&self, to: SocketAddr, connection: Connection, headers: &HeaderMap, now: Instant) {
        let Some(idle_timeout) = idle_timeout(headers, &self.settings) else {
            return;
        };
        if !connection.carried.is_empty() && !self.may_reuse(to, now) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(to).or_default();
        connections.retain(|old| now < old.expires && !old.connection.sender.is_closed());
        if connections.len() < self.settings.max_idle_per_host {
            connections.push(IdleConnection { connection, expires: now + idle_timeout });
        }
    }

    /// Checks whether a process listens on an address. An established connection is
    /// kept for the next request.
    pub async fn probe(&self, to: SocketAddr) -> Presence {
        let stream = match connect(to, self.settings.connect_timeout).await {
            Ok(stream) => stream,
            Err(error) => return presence(&error),
        };
        match self.handshake(stream).await {
            Ok(connection) => {
                self.put_idle(to, connection, &HeaderMap::new(), clock::now());
                Presence::Listening
            }
            Err(_) => Presence::Unknown,
        }
    }

    /// Opens a connection that shows whether the process at an address goes on running; its users
    /// share it.
    fn monitor(&self, to: SocketAddr) {
        let timeout = self.settings.connect_timeout;
        self.monitors.borrow_mut().get_or_open(to, timeout, clock::now());
    }

    /// The connection of [`Pool::monitor`], if responses from there have ended with theirs.
    fn monitor_of_known(&self, to: SocketAddr) -> Option<Rc<Monitor>> {
        let timeout = self.settings.connect_timeout;
        self.monitors.borrow_mut().reopen(to, timeout, clock::now())
    }

    async fn open(&self, to: SocketAddr) -> Result<Connection, SendError> {
        match connect(to, self.settings.connect_timeout).await {
            Ok(stream) => self.handshake(stream).await,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                Err(SendError::Refused(format!("{to}: {error}")))
            }
            Err(error) => Err(SendError::NotSent(format!("{to}: {error}"))),
        }
    }

    async fn handshake(&self, stream: TcpStream) -> Result<Connection, SendError> {
        stream.set_nodelay(true).map_err(|error| SendError::NotSent(error.to_string()))?;
        // Close with a reset: an orderly close would still deliver buffered data, so an
        // abandoned request could reach its target after a network partition.
        stream.set_zero_linger().map_err(|error| SendError::NotSent(error.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(ShortReads(stream)))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        self.opened.set(self.opened.get() + 1);
        let driver = tokio::task::spawn_local(async move {
            // The exchange that uses the connection reports errors.
            let _result = connection.await;
        });
        Ok(Connection { sender, carried: Carried::default(), _driver: AbortOnDrop(driver) })
    }
}

/// Opens a connection within `timeout`.
pub(crate) async fn connect(to: SocketAddr, timeout: Duration) -> std::io::Result<TcpStream> {
    let connect = tokio::time::timeout(timeout, TcpStream::connect(to));
    connect
        .await
        .unwrap_or_else(|_| Err(std::io::Error::new(ErrorKind::TimedOut, "connection timed out")))
}

/// What a failed connection attempt shows of the process at the address.
pub(crate) fn presence(error: &std::io::Error) -> Presence {
    match error.kind() {
        ErrorKind::ConnectionRefused => Presence::Refused,
        _ => Presence::Unknown,
    }
}

/// Idle timeout of a connection after a response with these headers; `None` if the
/// server closes it.
fn idle_timeout(headers: &HeaderMap, settings: &Settings) -> Option<Duration> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = |value: &str| value.split(',').any(|p| p.trim().eq_ignore_ascii_case("close"));
    if text("connection").is_some_and(closes) {
        return None;
    }
    let keep_alive = text("keep-alive").and_then(|value| {
        let parts = value.split(',').filter_map(|part| part.trim().split_once('='));
        let mut timeout = parts.filter(|(key, _)| key.eq_ignore_ascii_case("timeout"));
        timeout.next().and_then(|(_, seconds)| seconds.trim().parse::<u64>().ok())
    });
    match keep_alive {
        None => Some(settings.idle_timeout),
        Some(seconds) => Duration::from_secs(seconds).checked_sub(settings.idle_margin),
    }
}
