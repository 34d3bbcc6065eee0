//! A loopback TCP proxy that injects network faults.

use super::port::ReservedPort;
use super::stutter::{Responses, Stutter};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// What the proxy does to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards everything.
    Pass,
    /// Delays each read by this time.
    Delay(Duration),
    /// Resets all connections, new ones too.
    Reset,
    /// Closes the port and then all connections, in order, as the system does for a process that
    /// ends.
    Refuse,
    /// Forwards nothing and keeps the connections open.
    Stall,
    /// Forwards requests, but no responses.
    StallResponses,
}

/// Three characters in the place of a status code.
pub type StatusCode = [u8; 3];
/// Bytes of a status line before its code.
const STATUS_OFFSET: usize = "HTTP/1.1 ".len();
/// How often a stalled connection checks the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two pieces of a response.
const PIECE_INTERVAL: Duration = Duration::from_millis(10);

/// A proxy that runs until the test process exits.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    stutter: Arc<Mutex<Option<Stutter>>>,
    /// Status code of all responses; `None` for their own.
    status: Arc<Mutex<Option<StatusCode>>>,
    changed: Arc<Notify>,
    /// How often [`Mode::Refuse`] was set; each time closes all connections, however short.
    refusals: Arc<AtomicU64>,
    /// Changed when the port has been closed.
    closed: Arc<watch::Sender<()>>,
    _port: Arc<ReservedPort>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    pub fn start(target: SocketAddr) -> Proxy {
        let port = ReservedPort::any();
        let listener = std::net::TcpListener::bind(port.address).expect("a port");
        listener.set_nonblocking(true).expect("a socket");
        let proxy = Proxy {
            address: port.address,
            mode: Arc::new(Mutex::new(Mode::Pass)),
            stutter: Arc::default(),
            status: Arc::default(),
            changed: Arc::default(),
            refusals: Arc::default(),
            closed: Arc::default(),
            _port: Arc::new(port),
        };
        let task = proxy.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(task.serve(listener, target));
        });
        proxy
    }

    /// Changes the mode, also for open connections.
    pub fn set_mode(&self, mode: Mode) {
        if mode == Mode::Refuse {
            self.refusals.fetch_add(1, Ordering::Relaxed);
        }
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        self.changed.notify_waiters();
    }

    /// Repeats the responses to all requests from now on; `None` to repeat none.
    pub fn set_stutter(&self, stutter: Option<Stutter>) {
        *self.stutter.lock().unwrap_or_else(PoisonError::into_inner) = stutter;
    }

    /// Replaces the status codes of responses from now on; `None` to leave them.
    pub fn set_status(&self, status: Option<StatusCode>) {
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }

    /// Replaces the status code of a response that begins here.
    fn replace_status(&self, bytes: &mut [u8]) {
        let status = *self.status.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(status) = status.filter(|_| bytes.starts_with(b"HTTP/1.")) else {
            return;
        };
        if let Some(code) = bytes.get_mut(STATUS_OFFSET..STATUS_OFFSET + status.len()) {
            code.copy_from_slice(&status);
        }
    }

    fn stutter(&self) -> Option<Stutter> {
        *self.stutter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self, listener: std::net::TcpListener, target: SocketAddr) {
        let mut listener = TcpListener::from_std(listener).expect("a listener");
        let mut refusals = 0;
        loop {
            self.accept(listener, target, refusals).await;
            refusals = self.refusals.load(Ordering::Relaxed);
            self.closed.send_replace(());
            self.wait_until(|| self.mode() != Mode::Refuse).await;
            listener = TcpListener::bind(self.address).await.expect("the port again");
        }
    }

    /// Accepts connections until [`Mode::Refuse`] was set more often than `refusals`.
    async fn accept(&self, listener: TcpListener, target: SocketAddr, refusals: u64) {
        let is_refused = || self.refusals.load(Ordering::Relaxed) > refusals;
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.wait_until(is_refused) => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((client, _)) = accepted else {
                continue;
            };
            if self.mode() == Mode::Reset {
                client.set_zero_linger().expect("a socket");
                continue;
            }
            let closed = self.closed.subscribe();
            tokio::spawn(self.clone().forward(client, target, closed));
        }
    }

    async fn forward(self, client: TcpStream, target: SocketAddr, mut closed: watch::Receiver<()>) {
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _nodelay = (client.set_nodelay(true), server.set_nodelay(true));
        let (mut client_read, mut client_write) = client.into_split();
        let (mut server_read, mut server_write) = server.into_split();
        let is_reset = tokio::select! {
            () = self.copy(&mut client_read, &mut server_write, false) => false,
            () = self.copy(&mut server_read, &mut client_write, true) => false,
            _ = closed.changed() => false,
            () = self.wait_until(|| self.mode() == Mode::Reset) => true,
        };
        if is_reset {
            client_read.as_ref().set_zero_linger().expect("a socket");
            // The half that is dropped first would close its direction in order.
            client_write.forget();
        }
    }

    async fn wait_until(&self, condition: impl Fn() -> bool) {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if condition() {
                return;
            }
            changed.await;
        }
    }

    async fn copy(&self, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf, is_response: bool) {
        let mut buffer = vec![0_u8; 16 << 10];
        let mut responses = Responses::default();
        loop {
            let due = responses.due().map(tokio::time::Instant::from_std);
            let read = tokio::select! {
                read = from.read(&mut buffer) => read.unwrap_or(0),
                () = tokio::time::sleep_until(due.unwrap_or_else(tokio::time::Instant::now)),
                    if due.is_some() =>
                {
                    self.hold(is_response).await;
                    for piece in responses.take() {
                        if to.write_all(&piece).await.is_err() {
                            return;
                        }
                        tokio::time::sleep(PIECE_INTERVAL).await;
                    }
                    continue;
                }
            };
            if read == 0 {
                return;
            }
            self.hold(is_response).await;
            if is_response {
                self.replace_status(&mut buffer[..read]);
            }
            if to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
            if is_response {
                responses.read(&buffer[..read], self.stutter(), Instant::now());
            }
        }
    }

    /// Waits as the mode says before something is forwarded.
    async fn hold(&self, is_response: bool) {
        loop {
            match self.mode() {
                Mode::Stall => tokio::time::sleep(POLL_INTERVAL).await,
                Mode::StallResponses if is_response => tokio::time::sleep(POLL_INTERVAL).await,
                Mode::Delay(delay) => return tokio::time::sleep(delay).await,
                _ => return,
            }
        }
    }
}
