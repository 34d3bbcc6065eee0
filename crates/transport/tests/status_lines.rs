//! Status lines of no response, as each of the clients sees them.

mod util;

use coordination::retry::Failure;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use transport::partition::SimulatedPartition;
use transport::target::{AttemptError, Client};
use transport::upstream::{Pool, SendError, Settings};
use util::{Call, TIMEOUT, block_on, send};

/// Starts a server that answers whatever it reads with this status line and a load report.
async fn serve(line: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _count = stream.read(&mut [0; 4096]).await.expect("a request");
            let body = r#"{"online":1,"batch":0,"leaving":false}"#;
            let length = body.len();
            let response = format!("{line}\r\nContent-Length: {length}\r\n\r\n{body}");
            stream.write_all(response.as_bytes()).await.expect("sent");
        }
    });
    address
}

/// Calls the own interface of a server.
async fn call(to: SocketAddr, call: Call) -> Result<(), AttemptError> {
    let client = Client::new(TIMEOUT, TIMEOUT, SimulatedPartition::new(None));
    send(&client, to, call).await
}

/// Regression: statuses from 600 on were taken for those of responses.
#[rstest]
fn response_without_a_status_of_http_is_none(
    #[values(
        "HTTP/1.1 000 Nothing",
        "HTTP/1.1 000",
        "HTTP/1.0 000 Nothing",
        "HTTP/1.1 001 One",
        "HTTP/1.1 099 Early",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 -01 Less",
        "HTTP/1.1 2OO OK",
        "HTTP/1.1",
        "HTTP/2.0 200 OK",
        "200 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 600 Odd",
        "HTTP/1.0 777 Odd",
        "HTTP/1.1 999"
    )]
    line: &'static str,
) {
    block_on(async move {
        let address = serve(line).await;
        let pool = Pool::new(Settings::default());
        let request = Request::get("/").body(Full::default()).expect("a request");
        let response = pool.send(address, request).await;
        assert!(matches!(response, Err(SendError::OutcomeUnknown(_))), "{response:?}");
        for kind in [Call::Plain, Call::Chat, Call::Report, Call::Order] {
            let failure = call(address, kind).await.map_err(|error| error.failure);
            assert_eq!(failure, Err(Failure::Unknown), "{kind:?}");
        }
    });
}

/// Guards against a limit that is too narrow: such a status is one of its class.
#[rstest]
fn unknown_status_within_the_classes_of_http_is_a_response(
    #[values("HTTP/1.1 299 Odd", "HTTP/1.1 499", "HTTP/1.0 599 Odd")] line: &'static str,
) {
    block_on(async move {
        let address = serve(line).await;
        let pool = Pool::new(Settings::default());
        let request = Request::get("/").body(Full::default()).expect("a request");
        let response = pool.send(address, request).await.expect("a response");
        assert!(line.contains(response.head().status.as_str()), "{line}");
    });
}

/// Regression: the report of a target that failed to make one was believed.
#[rstest]
fn load_report_of_a_failed_call_is_none(
    #[values("HTTP/1.1 500 Internal Server Error", "HTTP/1.1 404 Not Found", "HTTP/1.1 302 Found")]
    line: &'static str,
) {
    block_on(async move {
        assert!(call(serve(line).await, Call::Report).await.is_err());
    });
}

/// Regression: a response with a status that can't be said was one of success.
#[rstest]
fn own_response_without_a_status_of_http_is_a_failure(
    #[values(0, 99, 600, 999, 1_000)] status: u16,
) {
    let body = bytes::Bytes::from_static(b"x");
    assert_eq!(transport::http::bytes(status, "text/plain", body).status(), 500);
    assert_eq!(transport::http::json(status, &"x").status(), 500);
}
