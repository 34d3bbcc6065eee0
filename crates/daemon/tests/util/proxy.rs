//! A loopback TCP proxy that injects network faults.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What the proxy does to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards everything.
    Pass,
    /// Delays each read by this time.
    Delay(Duration),
    /// Closes all connections, new ones too.
    Reset,
    /// Forwards nothing and keeps the connections open.
    Stall,
    /// Forwards requests, but no responses.
    StallResponses,
}

/// How often a stalled connection checks the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy that runs until the test process exits.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    changed: Arc<Notify>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a socket");
        let address = listener.local_addr().expect("an address");
        let proxy =
            Proxy { address, mode: Arc::new(Mutex::new(Mode::Pass)), changed: Arc::default() };
        let task = proxy.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(task.serve(listener, target));
        });
        proxy
    }

    /// Changes the mode, also for open connections.
    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        self.changed.notify_waiters();
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self, listener: std::net::TcpListener, target: SocketAddr) {
        let listener = TcpListener::from_std(listener).expect("a listener");
        loop {
            let Ok((client, _)) = listener.accept().await else {
                continue;
            };
            if self.mode() != Mode::Reset {
                tokio::spawn(self.clone().forward(client, target));
            }
        }
    }

    async fn forward(self, client: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _nodelay = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let requests = self.clone().copy(client_read, server_write, false);
        let responses = self.clone().copy(server_read, client_write, true);
        tokio::select! {
            () = requests => {}
            () = responses => {}
            () = self.wait_for_reset() => {}
        }
    }

    async fn wait_for_reset(&self) {
        loop {
            let changed = self.changed.notified();
            if self.mode() == Mode::Reset {
                return;
            }
            changed.await;
        }
    }

    async fn copy(
        self,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
        is_response: bool,
    ) {
        let mut buffer = vec![0_u8; 16 << 10];
        loop {
            let Ok(read) = from.read(&mut buffer).await else {
                return;
            };
            if read == 0 {
                return;
            }
            loop {
                match self.mode() {
                    Mode::Stall => tokio::time::sleep(POLL_INTERVAL).await,
                    Mode::StallResponses if is_response => tokio::time::sleep(POLL_INTERVAL).await,
                    Mode::Delay(delay) => {
                        tokio::time::sleep(delay).await;
                        break;
                    }
                    _ => break,
                }
            }
            if to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
    }
}
