//! The platform's store with the limit of its pages: an object's spec and status together hold at
//! most `value_bytes`. The project's stand-in limits each of them alone, so this stands before it.

use crate::wire;
use standin::objects::Objects;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// `value_bytes` of the settings.
pub const VALUE_BYTES: usize = 1_048_576;

/// Serves the store with its limit.
#[derive(Clone)]
pub struct LimitedStore {
    pub address: SocketAddr,
    store: SocketAddr,
    objects: Objects,
    rejected: Arc<AtomicU64>,
}

impl LimitedStore {
    /// Starts serving the store at `store`.
    pub fn start(store: SocketAddr, objects: Objects) -> io::Result<LimitedStore> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let limited = LimitedStore { address, store, objects, rejected: Arc::default() };
        let server = limited.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // A connection ends with an error when its caller is gone.
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        Ok(limited)
    }

    /// Number of writes that were rejected because the object would be too large.
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    fn serve(&self, mut caller: TcpStream) -> io::Result<()> {
        caller.set_nodelay(true)?;
        let mut store = TcpStream::connect(self.store)?;
        store.set_nodelay(true)?;
        while let Some(request) = wire::read(&mut caller)? {
            if self.is_too_large(&request) {
                self.rejected.fetch_add(1, Ordering::Relaxed);
                caller.write_all(
                    b"HTTP/1.1 413 Payload Too Large\r\nContent-Type: application/json\r\n\
                      Content-Length: 2\r\n\r\n{}",
                )?;
                continue;
            }
            store.write_all(&request.head)?;
            store.write_all(&request.body)?;
            let Some(response) = wire::read(&mut store)? else {
                return Ok(());
            };
            caller.write_all(&response.head)?;
            caller.write_all(&response.body)?;
        }
        Ok(())
    }

    /// Whether a write would make an object larger than the store keeps.
    fn is_too_large(&self, request: &wire::Message) -> bool {
        let (method, path) = request.first_words();
        if method == "POST" {
            return request.body.len() > VALUE_BYTES;
        }
        let mut parts = path.split('/').skip(2);
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        if method != "PUT" || parts.next() != Some("status") {
            return method == "PUT" && request.body.len() > VALUE_BYTES;
        }
        let spec =
            self.objects.get(kind, name).map_or(0, |object| object["spec"].to_string().len());
        spec + request.body.len() > VALUE_BYTES
    }
}
