//! Serves a stand-in on its own thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use transport::http::{self, Service};

/// A running stand-in; dropping it stops the stand-in.
#[derive(Debug)]
pub struct Server {
    /// Listening address.
    pub address: SocketAddr,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

/// Simulated process of a stand-in, which can crash and restart.
#[derive(Clone, Debug)]
pub struct Process {
    /// Crashes the process: closes its connections and its port until the restart.
    pub crash: Arc<Notify>,
    /// Time from a crash to the restart.
    pub restart_delay: Duration,
    /// Number of starts.
    pub starts: Arc<AtomicU64>,
}

impl Default for Process {
    fn default() -> Process {
        Process {
            crash: Arc::default(),
            restart_delay: Duration::from_secs(3_600),
            starts: Arc::default(),
        }
    }
}

/// Serves `service` at `address`; port 0 selects a free one.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start<S: Service>(address: SocketAddr, service: S) -> std::io::Result<Server> {
    start_process(address, service, Process::default())
}

/// Like [`start`], with a process that can crash.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start_process<S: Service>(
    address: SocketAddr,
    service: S,
    process: Process,
) -> std::io::Result<Server> {
    let stop = CancellationToken::new();
    let token = stop.clone();
    let (address_tx, address_rx) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let mut address = address;
        while !token.is_cancelled() {
            // Dropping the runtime of a crashed process closes its sockets.
            let Some(bound) =
                serve_until_exit(address, service.clone(), &process, &token, &address_tx)
            else {
                return;
            };
            address = bound;
            wait_for_restart(process.restart_delay, &token);
        }
    });
    let ended = || std::io::Error::other("stand-in thread ended before it listened");
    let address = address_rx.recv().map_err(|_| ended())??;
    Ok(Server { address, stop, thread: Some(thread) })
}

/// Serves until a crash or the stop; returns the bound address, or `None` if it could not listen.
fn serve_until_exit<S: Service>(
    address: SocketAddr,
    service: S,
    process: &Process,
    stop: &CancellationToken,
    address_tx: &Sender<std::io::Result<SocketAddr>>,
) -> Option<SocketAddr> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().ok()?;
    runtime.block_on(async {
        let listener = http::listen(address);
        match listener.and_then(|l| l.local_addr().map(|a| (l, a))) {
            Err(error) => {
                drop(address_tx.send(Err(error)));
                None
            }
            Ok((listener, address)) => {
                process.starts.fetch_add(1, Ordering::Relaxed);
                // After the first start nobody receives the address.
                drop(address_tx.send(Ok(address)));
                tokio::select! {
                    () = http::serve(listener, service, CancellationToken::new()) => {}
                    () = process.crash.notified() => {}
                    () = stop.cancelled() => {}
                }
                Some(address)
            }
        }
    })
}

/// Waits until the restart is due or the stand-in is stopped.
fn wait_for_restart(restart_delay: Duration, stop: &CancellationToken) {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    let until = std::time::Instant::now() + restart_delay;
    while !stop.is_cancelled() && std::time::Instant::now() < until {
        std::thread::sleep(POLL_INTERVAL);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the thread.
            drop(thread.join());
        }
    }
}
