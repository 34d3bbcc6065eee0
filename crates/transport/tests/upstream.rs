//! The client pool as seen from the server's end of a connection.

use bytes::Bytes;
use coordination::presence::Presence;
use http_body_util::Full;
use rstest::rstest;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{JoinSet, LocalSet};
use transport::upstream::{Framing, Pool, Settings};

const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `client` inside a `LocalSet`, as the pool requires.
fn block_on(client: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("create runtime"), client);
}

fn read_request_head(connection: &mut TcpStream) {
    connection.set_read_timeout(Some(READ_TIMEOUT)).expect("set read timeout");
    let mut head = Vec::new();
    let mut byte = [0_u8];
    while !head.ends_with(b"\r\n\r\n") {
        connection.read_exact(&mut byte).expect("read request head");
        head.push(byte[0]);
    }
}

/// Regression test: after a network partition, the socket's send buffer delivered an
/// abandoned request that had been reported as not run.
#[test]
fn connection_is_reset_when_request_is_abandoned() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind listener");
    let address = listener.local_addr().expect("local address");
    let target = std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("accept connection");
        read_request_head(&mut connection);
        connection.read(&mut [0_u8; 16]).map_err(|error| error.kind())
    });
    block_on(async move {
        let pool = Pool::new(Settings::default());
        let request =
            hyper::Request::get("/slow").body(Full::new(Bytes::new())).expect("build request");
        let response = pool.send(address, request);
        let abandoned = tokio::time::timeout(Duration::from_millis(100), response).await;
        assert!(abandoned.is_err(), "the target sent no response");
        // Lets the connection's driver task end.
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    assert_eq!(target.join().expect("target thread"), Err(ErrorKind::ConnectionReset));
}

/// Guards against the end of a connection that passes for a stated end.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Framing::Length)]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n", Framing::Chunks)]
#[case::coding_without_chunks(
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: identity\r\n\r\nok",
    Framing::Connection
)]
#[case::neither("HTTP/1.1 200 OK\r\n\r\nok", Framing::Connection)]
#[case::earlier_version("HTTP/1.0 200 OK\r\n\r\nok", Framing::Connection)]
#[case::no_body_by_status("HTTP/1.1 204 No Content\r\n\r\n", Framing::Length)]
fn framing_says_whether_the_server_states_the_end(
    #[case] response: &'static str,
    #[case] framing: Framing,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind listener");
    let address = listener.local_addr().expect("local address");
    let server = std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("accept connection");
        read_request_head(&mut connection);
        connection.write_all(response.as_bytes()).expect("write response");
    });
    block_on(async move {
        let pool = Pool::new(Settings::default());
        let request = hyper::Request::get("/").body(Full::new(Bytes::new())).expect("a request");
        let exchange = pool.send(address, request).await.expect("a response");
        assert_eq!(exchange.framing(), framing);
    });
    server.join().expect("server thread");
}

/// Answers requests without a stated end until it is aborted, which closes all connections.
async fn serve_unframed(listener: tokio::net::TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let (mut connection, _) = listener.accept().await.expect("accept connection");
        connections.spawn_local(async move {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") && connection.read_buf(&mut head).await? > 0 {}
            connection.write_all(b"HTTP/1.1 200 OK\r\n\r\nok").await
        });
    }
}

/// Guards against whole responses that count as truncated for as long as a monitor is kept.
#[test]
fn monitor_that_could_not_be_opened_is_replaced() {
    block_on(async {
        let pool = Pool::new(Settings::default());
        let get = || hyper::Request::get("/").body(Full::new(Bytes::new())).expect("a request");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
        let address = listener.local_addr().expect("local address");
        let server = tokio::task::spawn_local(serve_unframed(listener));
        let exchange = pool.send(address, get()).await.expect("a response");
        assert!(exchange.monitor().is_none(), "nothing was known of the server");
        exchange.monitor_later();
        let exchange = pool.send(address, get()).await.expect("a response");
        let monitor = exchange.monitor().expect("a monitor from before the request");
        assert_eq!(monitor.presence().await, Presence::Listening);
        server.abort();
        assert!(server.await.is_err_and(|error| error.is_cancelled()));
        assert_eq!(monitor.presence().await, Presence::Closed);
        assert!(pool.send(address, get()).await.is_err(), "nobody listens");
        // The attempt to open a monitor ends.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let listener = tokio::net::TcpListener::bind(address).await.expect("bind listener again");
        let server = tokio::task::spawn_local(serve_unframed(listener));
        let exchange = pool.send(address, get()).await.expect("a response");
        let monitor = exchange.monitor().expect("another monitor");
        assert_eq!(monitor.presence().await, Presence::Listening);
        server.abort();
    });
}
