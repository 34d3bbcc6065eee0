//! Heads of responses that a server cuts at any byte, as each of the clients sees them.

mod util;

use bytes::Bytes;
use coordination::retry::Failure;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, spawn_local};
use transport::partition::SimulatedPartition;
use transport::target::Client;
use transport::upstream::{Exchange, Pool, SendError, Settings};
use util::{Call, TIMEOUT, block_on, read_request, send};

/// Time for which a client waits on after a part of a head from a server that stays silent.
const SILENCE: Duration = Duration::from_millis(100);
/// Time between the last byte and a reset, so that the reset doesn't overtake it.
const RESET_DELAY: Duration = Duration::from_millis(5);
/// Number of cuts that are tried at a time.
const MAX_CONCURRENT: usize = 64;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// What a server does after a part of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    Silence,
}

/// A server that responds with a part of a head.
#[derive(Clone, Debug)]
struct Server {
    part: &'static [u8],
    end: End,
    /// Number of whole responses before it.
    before: usize,
    /// Number of them that are still to be sent.
    whole: Rc<Cell<usize>>,
    /// Number of requests that got the part.
    cuts: Rc<Cell<usize>>,
    address: SocketAddr,
}

impl Server {
    async fn start(part: &'static [u8], end: End, before: usize) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let whole = Rc::new(Cell::new(before));
        let server = Server { part, end, before, whole, cuts: Rc::default(), address };
        let served = server.clone();
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                spawn_local(served.clone().serve(stream));
            }
        });
        server
    }

    /// What a call gets; `None` if it still waits well after the part of a head.
    async fn response<T>(&self, call: impl Future<Output = T>) -> Option<T> {
        let silence = async {
            while self.cuts.get() == 0 || self.end != End::Silence {
                tokio::time::sleep(RESET_DELAY).await;
            }
            tokio::time::sleep(SILENCE).await;
        };
        tokio::select! {
            response = call => Some(response),
            () = silence => None,
        }
    }

    async fn serve(self, stream: TcpStream) -> Option<()> {
        let mut stream = BufReader::new(stream);
        read_request(&mut stream).await?;
        while self.whole.get() > 0 {
            self.whole.set(self.whole.get() - 1);
            stream.write_all(WHOLE.as_bytes()).await.ok()?;
            read_request(&mut stream).await?;
        }
        stream.write_all(self.part).await.ok()?;
        self.cuts.set(self.cuts.get() + 1);
        match self.end {
            End::Close => {}
            End::Reset => {
                tokio::time::sleep(RESET_DELAY).await;
                stream.get_ref().set_zero_linger().ok()?;
            }
            End::Silence => std::future::pending().await,
        }
        Some(())
    }
}

/// Calls a server for each part of a response, from its first `first` bytes to all but the last.
async fn for_each_cut<F: Future<Output = ()> + 'static>(
    response: &'static str,
    first: usize,
    end: End,
    before: usize,
    call: impl Fn(Server) -> F,
) {
    let mut calls = JoinSet::new();
    for length in first..response.len() {
        let server = Server::start(&response.as_bytes()[..length], end, before).await;
        let (cuts, call) = (server.cuts.clone(), call(server));
        calls.spawn_local(async move {
            call.await;
            assert_eq!(cuts.get(), 1, "the request is sent once, and its response cut");
        });
        if calls.len() >= MAX_CONCURRENT {
            calls.join_next().await.expect("a call").expect("no panic");
        }
    }
    while let Some(call) = calls.join_next().await {
        call.expect("no panic");
    }
}

fn get() -> Request<Full<Bytes>> {
    Request::get("/").body(Full::default()).expect("a request")
}

async fn read_all(exchange: Result<Exchange, SendError>) -> Result<Bytes, String> {
    exchange.map_err(|error| error.to_string())?.read_to_end(1 << 20).await
}

async fn check_pool(server: Server) {
    let pool = Pool::new(Settings { connect_timeout: TIMEOUT, ..Settings::default() });
    for _ in 0..server.before {
        let whole = read_all(pool.send(server.address, get()).await).await;
        assert_eq!(whole.as_deref(), Ok(&b"ok"[..]));
        // Lets the connection's driver task see the end of the response.
        tokio::task::yield_now().await;
    }
    match server.response(pool.send(server.address, get())).await {
        None => assert_eq!(server.end, End::Silence),
        Some(result) => assert!(matches!(result, Err(SendError::OutcomeUnknown(_))), "{result:?}"),
    }
    assert_eq!(pool.connections_opened(), 1);
}

#[rstest]
#[case::status("HTTP/1.1 200 OK\r\n\r\n")]
#[case::no_reason("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n")]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Gatespool-Request-Id: r\r\n\r\n")]
#[case::length_0("HTTP/1.1 200 OK\r\nX-Gatespool-Request-Id: r\r\nContent-Length: 0\r\n\r\n")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer: s\r\n\r\n")]
#[case::unframed("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer: s\r\n\r\n")]
#[case::closing("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")]
#[case::no_content("HTTP/1.1 204 No Content\r\nServer: s\r\n\r\n")]
#[case::folded("HTTP/1.1 200 OK\r\nX-Long: a\r\n b\r\nContent-Length: 0\r\n\r\n")]
#[case::line_feeds("HTTP/1.1 200 OK\nServer: s\nContent-Length: 0\n\n")]
#[case::version_1_0("HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n")]
#[case::version_1_0_length(
    "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n"
)]
#[case::after_continue("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]
#[case::after_hints(
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 0\r\n\r\n\
     HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
fn cut_head_is_no_response(
    #[case] head: &'static str,
    #[values(End::Close, End::Reset, End::Silence)] end: End,
    #[values(0, 1)] before: usize,
) {
    block_on(for_each_cut(head, 0, end, before, check_pool));
}

/// As for heads: the part of a body, of the size of a chunk, or of the last chunk's line end.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "data: part\n\n")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "00c\r\ndata: part\n\n\r\n10;x=y\r\n0123456789abcdef\r\n0\r\nX-Trailer: a\r\n\r\n"
)]
fn cut_body_is_not_whole(
    #[case] head: &'static str,
    #[case] body: &'static str,
    #[values(End::Close, End::Reset)] end: End,
) {
    let response: &'static str = format!("{head}{body}").leak();
    block_on(for_each_cut(response, head.len(), end, 0, |server: Server| async move {
        let pool = Pool::new(Settings { connect_timeout: TIMEOUT, ..Settings::default() });
        let result = read_all(pool.send(server.address, get()).await).await;
        assert!(result.is_err(), "{result:?}");
    }));
}

/// Regression: a part of a head, and the whole one of a failure behind it, were taken for one head,
/// with the status of the first and the body of the second.
#[rstest]
fn head_behind_a_part_of_another_does_not_complete_it(
    #[values(
        "HTTP/1.1 200 OK\r\nServer: s/1.1\r\nContent-Type: text/event-stream\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Gatespool-Request-Id: r\r\n\r\n",
        "HTTP/1.0 200 Fine\nX-Gatespool-Request-Id: r\nContent-Length: 0\nServer: s\n\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nServer: s\r\n\r\n"
    )]
    head: &'static str,
    #[values("HTTP/1.1 500 Internal Server Error", "HTTP/1.0 500")] status: &'static str,
    #[values(false, true)] is_own_interface: bool,
) {
    let behind = format!("{status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    block_on(async move {
        for length in 1..head.len() {
            let part = format!("{}{behind}", &head[..length]).into_bytes().leak();
            let server = Server::start(part, End::Close, 0).await;
            let is_success = if is_own_interface {
                let client = Client::new(TIMEOUT, TIMEOUT, SimulatedPartition::new(None));
                send(&client, server.address, Call::Order).await.is_ok()
            } else {
                let pool = Pool::new(Settings::default());
                let response = pool.send(server.address, get()).await;
                response.is_ok_and(|exchange| exchange.head().status.is_success())
            };
            assert!(!is_success, "{length} bytes of the first head");
            assert_eq!(server.cuts.get(), 1);
        }
    });
}

async fn check_client(server: Server, call: Call) {
    let client = Client::new(TIMEOUT, TIMEOUT, SimulatedPartition::new(None));
    for _ in 0..server.before {
        send(&client, server.address, Call::Plain).await.expect("a whole response");
        tokio::task::yield_now().await;
    }
    match server.response(send(&client, server.address, call)).await {
        None => assert_eq!(server.end, End::Silence),
        Some(result) => assert!(result.is_err_and(|error| error.failure == Failure::Unknown)),
    }
}

#[rstest]
fn cut_head_is_no_response_to_calls_of_the_own_interface(
    #[values(Call::Plain, Call::Chat, Call::Report, Call::Order)] call: Call,
    #[values(
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer: s\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer: s\r\n\r\n",
        "HTTP/1.0 200 OK\nServer: s\n\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    )]
    head: &'static str,
    #[values(End::Close, End::Reset, End::Silence)] end: End,
    #[values(0, 1)] before: usize,
) {
    block_on(for_each_cut(head, 0, end, before, move |server| check_client(server, call)));
}

/// Parts of heads that would make a whole head together with the response that follows them.
const SURPLUS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Pad: ",
    "HTTP/1.1 204 No Content\r\nX-Pad: ",
    "HTTP/1.1 503 Service Unavailable\r\nX-Gatespool-Not-Run: 1\r\nX-Pad:",
    "HTTP/1.1 100 Continue\r\nX-Pad: ",
];

/// Responds whole, with a part of another head behind it, and without a length to what follows.
async fn serve_surplus(stream: TcpStream, surplus: &'static str, is_early: bool) -> Option<()> {
    let mut stream = BufReader::new(stream);
    let first = format!("{WHOLE}{surplus}");
    if is_early {
        stream.fill_buf().await.ok()?;
        stream.write_all(first.as_bytes()).await.ok()?;
        read_request(&mut stream).await?;
    } else {
        read_request(&mut stream).await?;
        stream.write_all(first.as_bytes()).await.ok()?;
    }
    read_request(&mut stream).await?;
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nsecond").await.ok()
}

/// Guards against a response whose head begins with the rest of an earlier one.
#[rstest]
fn part_of_a_head_behind_a_response_does_not_begin_the_next(
    #[values(0, 1, 2, 3)] surplus: usize,
    #[values(false, true)] is_early: bool,
    #[values(0, 1)] pause_ms: u64,
) {
    block_on(async move {
        for _ in 0..20 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
            let address = listener.local_addr().expect("an address");
            let server = spawn_local(async move {
                let (first, _) = listener.accept().await.expect("a connection");
                let first = spawn_local(serve_surplus(first, SURPLUS[surplus], is_early));
                let (second, _) = listener.accept().await.expect("another connection");
                let mut second = BufReader::new(second);
                read_request(&mut second).await.expect("a request");
                let whole = second.write_all(b"HTTP/1.1 200 OK\r\n\r\nsecond").await;
                whole.expect("sent");
                drop(second);
                let _first = first.await;
            });
            let pool = Pool::new(Settings::default());
            let size = if is_early { 8 << 20 } else { 1 };
            let body = Full::new(Bytes::from(vec![b'x'; size]));
            let request = Request::post("/").body(body).expect("a request");
            let first = read_all(pool.send(address, request).await).await;
            assert_eq!(first.as_deref(), Ok(&b"ok"[..]));
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let second = read_all(pool.send(address, get()).await).await;
            assert!(second.as_deref().map_or(true, |body| body == b"second"), "{second:?}");
            server.abort();
        }
    });
}
