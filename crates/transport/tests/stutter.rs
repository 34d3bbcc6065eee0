//! Servers that send each response twice, the second time where the response to the next request on
//! the connection is expected.

mod util;

use bytes::Bytes;
use coordination::retry::Failure;
use http_body_util::Full;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Method, Request};
use protocol::chat;
use rstest::rstest;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::vec::IntoIter;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use transport::partition::SimulatedPartition;
use transport::target::{AttemptError, AttemptMeta, Client, Order, PlainCall, StreamItem};
use transport::upstream::{Pool, SendError, Settings};
use util::{TIMEOUT, block_on, read_request};

/// Starts a server whose `n`th request, over all connections, has the `n`th of these responses, after
/// the one before on the same connection.
async fn start(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let responses = Rc::new(RefCell::new(responses.into_iter()));
    spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            spawn_local(serve(BufReader::new(stream), responses.clone()));
        }
    });
    address
}

async fn serve(mut stream: BufReader<TcpStream>, responses: Rc<RefCell<IntoIter<String>>>) {
    let mut before = String::new();
    while read_request(&mut stream).await.is_some() {
        let own = responses.borrow_mut().next().expect("a response");
        let _closed = stream.write_all(format!("{before}{own}").as_bytes()).await;
        before = own;
    }
}

fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Lets the client see the end of a response, and use its connection for the next request.
async fn pause() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

fn client() -> Client {
    Client::new(TIMEOUT, TIMEOUT, SimulatedPartition::new(None))
}

fn meta(attempt: u64) -> AttemptMeta {
    AttemptMeta { attempt, timeout: TIMEOUT, ..AttemptMeta::default() }
}

async fn plain(client: &Client, to: SocketAddr, attempt: u64) -> Result<Bytes, AttemptError> {
    let (path, body) = (String::from("/"), Bytes::from_static(b"x"));
    let call = PlainCall { method: Method::POST, path, headers: HeaderMap::new(), body };
    client.plain(to, call, &meta(attempt)).await.map(|response| response.body)
}

async fn first_token(client: &Client, to: SocketAddr, attempt: u64) -> Option<StreamItem> {
    let request = chat::Request::user("m", "x");
    let mut stream = client.chat(to, &request, &meta(attempt)).await.expect("a stream");
    let first = stream.next().await.ok();
    while !matches!(stream.next().await, Ok(StreamItem::End(_)) | Err(_)) {}
    first
}

/// Regression: callers of plain services got the bodies of others.
#[rstest]
fn second_response_reaches_no_other_caller(
    #[values("200 OK", "500 Internal Server Error")] status: &'static str,
) {
    block_on(async move {
        let to = start(vec![response(status, "first"), response("200 OK", "second")]).await;
        let client = client();
        assert_eq!(plain(&client, to, 1).await.as_deref(), Ok(&b"first"[..]));
        pause().await;
        assert_eq!(plain(&client, to, 2).await.as_deref(), Ok(&b"second"[..]));
    });
}

/// Regression: callers got the streams of others.
#[test]
fn second_stream_reaches_no_other_caller() {
    let stream = |text: &str| {
        let chunk = |choice: &str| {
            let head = r#""id":"c","object":"chat.completion.chunk","created":0,"model":"m""#;
            format!(r#"{{{head},"choices":[{{"index":0,{choice}}}]}}"#)
        };
        let token = chunk(&format!(r#""delta":{{"content":"{text}"}}"#));
        let last = chunk(r#""delta":{},"finish_reason":"stop""#);
        response("200 OK", &format!("data: {token}\n\ndata: {last}\n\ndata: [DONE]\n\n"))
    };
    block_on(async move {
        let to = start(vec![stream("first"), stream("second")]).await;
        let client = client();
        for (attempt, text) in [(1, "first"), (2, "second")] {
            let token = first_token(&client, to, attempt).await;
            assert_eq!(token, Some(StreamItem::Token(text.to_owned())));
            pause().await;
        }
    });
}

/// Regression: an earlier report was believed, and an order counted as executed by the response to
/// an earlier one.
#[test]
fn second_response_is_no_report_and_no_execution_of_an_order() {
    let report = |online: u32| {
        let report = format!("{{\"online\":{online},\"batch\":0,\"leaving\":false}}");
        response("200 OK", &report)
    };
    block_on(async move {
        let order = Order { version: String::from("v"), adapters: Vec::new() };
        let conflict = response("409 Conflict", "");
        let to = start(vec![report(1), report(2), response("200 OK", ""), conflict]).await;
        let client = client();
        for online in [1, 2] {
            let report = client.load_report(to, TIMEOUT).await;
            assert_eq!(report.expect("a report").online, online);
            pause().await;
        }
        assert_eq!(client.order(to, &order, 1, TIMEOUT).await, Ok(()));
        pause().await;
        let outdated = client.order(to, &order, 1, TIMEOUT).await;
        assert_eq!(outdated.map_err(|error| error.failure), Err(Failure::Refused));
    });
}

const ID: HeaderName = HeaderName::from_static("id");

/// A response that names a request; an empty id names none.
fn named(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok")
}

/// Sends requests with these ids, one after the other, to a server with these responses; returns the
/// number of connections, and how many responses belonged to a request.
async fn send_all(ids: &[&str], responses: &[&str]) -> (u64, usize) {
    let to = start(responses.iter().map(|id| named(id)).collect()).await;
    let pool = Pool::new(Settings { id_header: Some(ID), ..Settings::default() });
    let mut own = 0;
    for id in ids {
        let request = Request::get("/").header(ID, *id).body(Full::default()).expect("a request");
        match pool.send(to, request).await {
            Ok(mut exchange) => {
                assert_eq!(exchange.read_to_end(10).await.as_deref(), Ok(&b"ok"[..]));
                own += 1;
            }
            Err(error) => assert!(matches!(error, SendError::Foreign(_)), "{error:?}"),
        }
        pause().await;
    }
    (pool.connections_opened(), own)
}

/// Each response comes again before the next one on its connection, where there is a next one.
#[rstest]
#[case::no_ids_as_of_health_checks(&["", "", ""], &["", "", ""], (3, 3))]
#[case::servers_that_name_none(&["a", "b", "c"], &["", "", ""], (3, 3))]
#[case::one_id_again(&["a", "a", "a"], &["a", "a", "a"], (3, 3))]
#[case::response_to_another_request(&["a", "b", "c", "d"], &["a", "b", "c", "d"], (3, 3))]
#[case::first_response_names_another(&["a", "b"], &["x", "b"], (2, 1))]
#[case::name_for_a_request_without_one(&["", "b"], &["x", "b"], (2, 1))]
fn request_gets_a_response_of_its_own_or_none(
    #[case] ids: &[&str],
    #[case] responses: &[&str],
    #[case] expected: (u64, usize),
) {
    block_on(async move {
        assert_eq!(send_all(ids, responses).await, expected);
    });
}
