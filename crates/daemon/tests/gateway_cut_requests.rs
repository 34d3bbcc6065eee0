//! Requests that their callers cut at any byte, as targets and jobs see them.

mod util;

use rstest::rstest;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;
use util::gateway::HOST;
use util::raw_caller::{self, Version};
use util::raw_streams::{call, fleet_of, sound_target};

const READ_TIMEOUT: Duration = Duration::from_secs(20);
const BODY_OF_JOB: &str =
    r#"{"items":[{"id":"i","path":"/batch/i","headers":{},"body":"eA==","tokens":1}]}"#;

/// A request with this body, with its length or in two chunks.
fn request(path: &str, id: &str, body: &str, is_chunked: bool) -> String {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Gatespool-Request-Id: {id}\r\n\
         X-Gatespool-Deadline-Ms: 4000\r\n"
    );
    if !is_chunked {
        return format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    }
    let (first, second) = body.split_at(body.len() / 2);
    let (a, b) = (first.len(), second.len());
    format!(
        "{head}Transfer-Encoding: chunked\r\n\r\n{a:x}\r\n{first}\r\n{b:x}\r\n{second}\r\n0\r\n\r\n"
    )
}

/// Sends a part of a request, closes the connection or one direction of it, and reads what comes.
fn send_part(to: SocketAddr, part: &str, is_half_closed: bool) -> String {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a socket");
    stream.write_all(part.as_bytes()).expect("sent");
    let mut response = Vec::new();
    if is_half_closed {
        stream.shutdown(Shutdown::Write).expect("a connection");
        let _reset = stream.read_to_end(&mut response);
    }
    String::from_utf8_lossy(&response).into_owned()
}

#[rstest]
fn cut_request_is_not_sent_on(
    #[values("/ask/x", "/talk/x", "/plain/x", "/batch/x")] path: &str,
    #[values(false, true)] is_chunked: bool,
    #[values(false, true)] is_half_closed: bool,
) {
    let target = sound_target();
    let fleet = fleet_of(&[&target]);
    let before = target.requests().len();
    let request = request(path, "cut", BODY_OF_JOB, is_chunked);
    for length in 0..request.len() {
        let part = &request[..length];
        let response = send_part(fleet.gateways[0].front_address, part, is_half_closed);
        assert!(!response.starts_with("HTTP/1.1 2"), "{length} bytes: {response}");
    }
    assert!(call(&fleet, Version::Http11, "/plain/last", "last").looks_complete());
    let requests = target.requests().split_off(before);
    assert!(requests.iter().all(|request| request.path == "/plain/last"), "{requests:?}");
    assert_eq!(fleet.results(0, "cut", 0).status, 404);
    let mut stream = TcpStream::connect(fleet.gateways[0].front_address).expect("a connection");
    let whole = raw_caller::exchange(&mut stream, &request);
    assert!([200, 202].contains(&whole.status), "{whole:?}");
}
