//! Runs a stand-in on a thread of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use transport::http::{self, Service};

/// A stand-in that runs; it ends when this is dropped.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

/// How a stand-in's process ends and starts again.
#[derive(Clone, Debug)]
pub struct Process {
    /// Ends the process: all its connections close, and its port refuses new ones.
    pub crash: Arc<Notify>,
    /// Time until it starts again.
    pub restart_delay: Duration,
    /// How often it has started.
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

/// Starts `service` at `address` (port 0 takes a free one).
///
/// # Errors
///
/// When the address can't be bound.
pub fn start<S: Service>(address: SocketAddr, service: S) -> std::io::Result<Server> {
    start_process(address, service, Process::default())
}

/// The same, with a process that may crash.
///
/// # Errors
///
/// When the address can't be bound.
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
            // Each life has a runtime of its own: as it is dropped, its sockets close.
            let Some(bound) =
                serve_until_exit(address, service.clone(), &process, &token, &address_tx)
            else {
                return;
            };
            address = bound;
            wait_for_restart(process.restart_delay, &token);
        }
    });
    let ended = || std::io::Error::other("the stand-in's thread ended");
    let address = address_rx.recv().map_err(|_| ended())??;
    Ok(Server { address, stop, thread: Some(thread) })
}

/// Serves until a crash or the stop; gives the address that it was bound to.
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
                // Nobody listens any more after the first life.
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

/// Waits until the process starts again or the stand-in is dropped.
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
            // A panic of the stand-in has been printed by its own thread.
            drop(thread.join());
        }
    }
}
