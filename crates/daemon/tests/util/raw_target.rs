//! A target that writes its responses byte for byte and ends them as it is told to.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

/// How a response ends, after its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The connection stays open.
    KeepAlive,
    /// The connection is closed in order.
    Close,
    /// The connection is reset.
    Reset,
    /// The process ends: its port and all its connections are closed in order.
    Crash,
    /// As [`End::Crash`], but the connection of the response is closed 2 ms before the port.
    CloseThenCrash,
    /// The process ends and another one, with another id, listens on its port at once.
    Restart,
    /// These bytes follow again and again, each after the pause, until the connection is closed.
    Endless(&'static [u8]),
}

/// Path of the health check, which tells the id of the process.
pub const HEALTH_PATH: &str = "/healthz";

/// Time from the close to the crash of [`End::CloseThenCrash`].
const CRASH_DELAY: Duration = Duration::from_millis(2);
/// Time between the last byte and a reset, so that the reset doesn't overtake it.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// A response, byte for byte.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Head and body, in pieces that are written one by one.
    pub pieces: Vec<Vec<u8>>,
    /// Time between two pieces.
    pub pause: Duration,
    /// What follows the last piece.
    pub end: End,
}

impl Answer {
    /// A response to request `id` with these headers, one a line, and the body in `pieces`.
    pub fn new(id: &str, headers: &str, pieces: &[&str], end: End) -> Answer {
        let headers = headers.replace('\n', "\r\n");
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Gatespool-Request-Id: {id}\r\n\
             X-Gatespool-Server-Stamp: raw-{id}\r\n{headers}\r\n\r\n"
        );
        let body = pieces.iter().map(|piece| piece.as_bytes().to_vec());
        let pieces = std::iter::once(head.into_bytes()).chain(body).collect();
        Answer { pieces, pause: Duration::from_millis(5), end }
    }
}

/// A request as the target received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub path: String,
    /// Event after which a stream is to continue; `None` for a new stream.
    pub last_event_id: Option<u64>,
    /// Number of its connection, from 1.
    pub connection: usize,
}

/// A target that runs until the test process exits, unless it crashes.
#[derive(Clone)]
pub struct RawTarget {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<Request>>>,
    /// Id of the running process; `None` if its health check doesn't tell it.
    id: Arc<Mutex<Option<String>>>,
    connections: Arc<AtomicUsize>,
    /// Connections on which bytes follow without end.
    endless: Arc<AtomicUsize>,
    /// What follows the head of the health check again and again.
    health_filler: Arc<Mutex<Option<&'static [u8]>>>,
    /// What it responds to health checks instead; `None` for the usual response.
    health: Arc<Mutex<Option<Answer>>>,
}

impl RawTarget {
    /// Starts a target that answers requests with `answer`.
    pub fn start(answer: impl Fn(&Request) -> Answer + Send + 'static) -> RawTarget {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a socket");
        let address = listener.local_addr().expect("an address");
        let target = RawTarget {
            address,
            requests: Arc::default(),
            id: Arc::default(),
            connections: Arc::default(),
            endless: Arc::default(),
            health_filler: Arc::default(),
            health: Arc::default(),
        };
        let served = target.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), served.serve(listener, answer));
        });
        target
    }

    /// Sets the id that its health check tells.
    pub fn set_id(&self, id: Option<&str>) {
        *self.lock_id() = id.map(str::to_owned);
    }

    fn lock_id(&self) -> MutexGuard<'_, Option<String>> {
        self.id.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Number of open connections on which bytes follow without end.
    pub fn endless_connections(&self) -> usize {
        self.endless.load(Ordering::Relaxed)
    }

    /// Lets the body of its health check never end.
    pub fn set_endless_health(&self, filler: &'static [u8]) {
        *self.health_filler.lock().unwrap_or_else(PoisonError::into_inner) = Some(filler);
    }

    /// Sets the response to health checks.
    pub fn set_health(&self, answer: Answer) {
        *self.health.lock().unwrap_or_else(PoisonError::into_inner) = Some(answer);
    }

    /// Requests received so far.
    pub fn requests(&self) -> Vec<Request> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Request>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn health(&self) -> Answer {
        if let Some(answer) = self.health.lock().unwrap_or_else(PoisonError::into_inner).clone() {
            return answer;
        }
        let id = self.lock_id().clone();
        let id = id.map(|id| format!("X-Gatespool-Instance-Id: {id}\n")).unwrap_or_default();
        match *self.health_filler.lock().unwrap_or_else(PoisonError::into_inner) {
            Some(filler) => {
                Answer::new("", &format!("{id}Content-Length: 9999"), &[], End::Endless(filler))
            }
            None => Answer::new("", &format!("{id}Content-Length: 0"), &[], End::KeepAlive),
        }
    }

    /// Serves until a crash.
    async fn serve(
        self,
        listener: std::net::TcpListener,
        answer: impl Fn(&Request) -> Answer + 'static,
    ) {
        let listener = TcpListener::from_std(listener).expect("a socket");
        let (answer, crash) = (Rc::new(answer), Rc::new(Notify::new()));
        let restart = Rc::new(Notify::new());
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = crash.notified() => return,
            };
            let (stream, _) = accepted.expect("a connection");
            let connection = self.connections.fetch_add(1, Ordering::Relaxed) + 1;
            stream.set_nodelay(true).expect("a socket");
            let (target, answer, crash) = (self.clone(), answer.clone(), crash.clone());
            let restart = restart.clone();
            spawn_local(async move {
                tokio::select! {
                    has_crashed = target.serve_connection(connection, stream, &*answer, &crash) => {
                        if has_crashed {
                            restart.notify_waiters();
                        }
                    }
                    () = restart.notified() => {}
                }
            });
        }
    }

    /// Serves a connection; `true` if all others of the process end with it.
    async fn serve_connection(
        &self,
        connection: usize,
        stream: TcpStream,
        answer: &impl Fn(&Request) -> Answer,
        crash: &Notify,
    ) -> bool {
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_request(connection, &mut stream).await {
            self.lock().push(request.clone());
            let answer = match request.path.as_str() {
                HEALTH_PATH => self.health(),
                _ => answer(&request),
            };
            for (n, piece) in answer.pieces.iter().enumerate() {
                if n > 1 {
                    tokio::time::sleep(answer.pause).await;
                }
                if stream.write_all(piece).await.is_err() {
                    return false;
                }
            }
            match answer.end {
                End::KeepAlive => {}
                End::Close => return false,
                End::Endless(bytes) => {
                    self.endless.fetch_add(1, Ordering::Relaxed);
                    while stream.write_all(bytes).await.is_ok() {
                        tokio::time::sleep(answer.pause).await;
                    }
                    self.endless.fetch_sub(1, Ordering::Relaxed);
                    return false;
                }
                End::Restart => {
                    self.lock_id().iter_mut().for_each(|id| id.push('x'));
                    return true;
                }
                End::Reset => {
                    tokio::time::sleep(RESET_DELAY).await;
                    stream.get_ref().set_zero_linger().expect("a socket");
                    return false;
                }
                End::Crash => {
                    crash.notify_one();
                    return std::future::pending().await;
                }
                End::CloseThenCrash => {
                    drop(stream);
                    tokio::time::sleep(CRASH_DELAY).await;
                    crash.notify_one();
                    return false;
                }
            }
        }
        false
    }
}

/// Reads the head and the body of a request; `None` at the end of the connection.
async fn read_request(connection: usize, stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request =
        Request { id: String::new(), path: String::new(), last_event_id: None, connection };
    let mut length = 0;
    for n in 0.. {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if n == 0 {
            request.path = line.split(' ').nth(1)?.to_owned();
            continue;
        }
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "x-gatespool-request-id" => request.id = value.to_owned(),
            "last-event-id" => request.last_event_id = value.parse().ok(),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(request)
}
