//! Runs a stand-in on a thread of its own.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use tokio_util::sync::CancellationToken;
use transport::http::{self, Service};

/// A stand-in that runs; it ends when this is dropped.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

/// Starts `service` at `address` (port 0 takes a free one).
///
/// # Errors
///
/// When the address can't be bound.
pub fn start<S: Service>(address: SocketAddr, service: S) -> std::io::Result<Running> {
    let stop = CancellationToken::new();
    let token = stop.clone();
    let (tell, told) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else {
            return;
        };
        runtime.block_on(async move {
            let listener = http::listen(address);
            let bound = listener.and_then(|l| l.local_addr().map(|a| (l, a)));
            match bound {
                Err(error) => drop(tell.send(Err(error))),
                Ok((listener, address)) => {
                    drop(tell.send(Ok(address)));
                    tokio::select! {
                        () = http::serve(listener, service, CancellationToken::new()) => {}
                        () = token.cancelled() => {}
                    }
                }
            }
        });
    });
    let ended = || std::io::Error::other("the stand-in's thread ended");
    let address = told.recv().map_err(|_| ended())??;
    Ok(Running { address, stop, thread: Some(thread) })
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            // A panic of the stand-in has been printed by its own thread.
            drop(thread.join());
        }
    }
}
