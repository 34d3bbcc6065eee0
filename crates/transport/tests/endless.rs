//! Targets whose responses never end: the client reads a bounded part of them.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use transport::partition::SimulatedPartition;
use transport::target::{AttemptMeta, Client, PlainCall};

/// Time limit of a call, which is reached only if its response isn't bounded.
const TIMEOUT: Duration = Duration::from_secs(20);
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
/// What the system buffers besides what the client reads.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Starts a target that responds without end; also returns the number of bytes that it has sent.
async fn endless_target() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _read = stream.read(&mut [0; 4096]).await;
        let filler = vec![b'z'; 64 << 10];
        let mut is_open = stream.write_all(HEAD).await.is_ok();
        while is_open {
            is_open = stream.write_all(&filler).await.is_ok();
            counter.fetch_add(filler.len(), Ordering::Relaxed);
        }
    });
    (address, sent)
}

fn client() -> Client {
    Client::new(Duration::from_secs(1), TIMEOUT, SimulatedPartition::new(None))
}

/// Regression: the body of a load report was read whatever its size.
#[tokio::test]
async fn endless_load_report_is_an_error() {
    let (target, sent) = endless_target().await;
    let started = Instant::now();
    assert!(client().load_report(target, TIMEOUT).await.is_err());
    assert!(started.elapsed() < TIMEOUT);
    assert!(sent.load(Ordering::Relaxed) < (1 << 20) + MAX_BUFFERED_BYTES);
}

/// Regression: the response of a plain service was read whatever its size.
#[tokio::test]
async fn endless_response_of_a_plain_service_is_an_error() {
    let (target, sent) = endless_target().await;
    let call = PlainCall {
        method: Method::GET,
        path: String::from("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let meta = AttemptMeta { timeout: TIMEOUT, ..AttemptMeta::default() };
    let started = Instant::now();
    assert!(client().plain(target, call, &meta).await.is_err());
    assert!(started.elapsed() < TIMEOUT);
    assert!(sent.load(Ordering::Relaxed) < (64 << 20) + MAX_BUFFERED_BYTES);
}
