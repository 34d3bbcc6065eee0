//! Responses that targets or connections break off, as callers and jobs see them.

mod util;

use rstest::rstest;
use std::io::Read;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, HOST, Plan};
use util::raw_caller::{self, BodyEnd, RawResponse, Version};
use util::raw_target::{Answer, End, RawTarget, Request};
use util::wait_until;

/// Headers of a stream that ends with its connection.
const UNFRAMED: &str = "Content-Type: text/event-stream";
/// Headers of a stream in chunks.
const CHUNKED: &str = "Content-Type: text/event-stream\nTransfer-Encoding: chunked";

fn event(n: u64) -> String {
    format!("id: {n}\ndata: part-{n}\n\n")
}

/// Events `from..=to`, joined.
fn events(from: u64, to: u64) -> String {
    (from..=to).map(event).collect()
}

/// Pieces of a body, one chunk each, and the last chunk.
fn chunks(pieces: &[&str]) -> Vec<String> {
    let chunk = |piece: &&str| format!("{:x}\r\n{piece}\r\n", piece.len());
    pieces.iter().map(chunk).chain([String::from("0\r\n\r\n")]).collect()
}

/// Starts a target that answers the fleet's readiness checks, and other requests with `answer`.
fn target(answer: impl Fn(&Request) -> Answer + Send + 'static) -> RawTarget {
    RawTarget::start(move |request| {
        if request.path.starts_with("/open/") {
            return Answer::new(&request.id, "Content-Length: 2", &["ok"], End::KeepAlive);
        }
        answer(request)
    })
}

/// Starts a target that answers each request with the same body.
fn target_with_body(headers: &'static str, pieces: &[&str], end: End) -> RawTarget {
    let pieces: Vec<String> = pieces.iter().map(ToString::to_string).collect();
    target(move |request| {
        let pieces: Vec<&str> = pieces.iter().map(String::as_str).collect();
        Answer::new(&request.id, headers, &pieces, end)
    })
}

/// A target that completes streams in chunks, whichever event they begin with.
fn sound_target() -> RawTarget {
    target(|request| {
        let body = events(request.last_event_id.map_or(1, |id| id + 1), 6);
        let pieces = if body.is_empty() { Vec::new() } else { vec![body.as_str()] };
        let chunks = chunks(&pieces);
        let chunks: Vec<&str> = chunks.iter().map(String::as_str).collect();
        Answer::new(&request.id, CHUNKED, &chunks, End::KeepAlive)
    })
}

/// A fleet of one gateway in front of these targets.
fn fleet_of(targets: &[&RawTarget]) -> Fleet {
    let runner = |n: usize| {
        let id = format!("r{n}");
        ("east", standin::runner::Config { id, ..Default::default() })
    };
    let plan = Plan {
        gateways: vec!["east"],
        runners: (0..targets.len()).map(runner).collect(),
        ..Plan::default()
    };
    // The first address is the platform's.
    let mut addresses = targets.iter().map(|target| target.address);
    let mut count = 0;
    let fleet = Fleet::start_behind_proxies(plan, |address| {
        count += 1;
        if count == 1 { address } else { addresses.next().expect("a target") }
    });
    fleet.configure(7);
    fleet.wait_ready();
    fleet
}

fn call(fleet: &Fleet, version: Version, path: &str, id: &str) -> RawResponse {
    let headers = headers(id);
    raw_caller::call(fleet.gateways[0].front_address, version, path, &headers, "a prompt")
}

fn headers(id: &str) -> String {
    format!("Host: {HOST}\nX-Gatespool-Request-Id: {id}\nX-Gatespool-Deadline-Ms: 4000")
}

#[rstest]
#[case::after_a_field(&["id: 1\ndata: part-1\n\nid: 2\n"])]
#[case::inside_a_line(&["id: 1\ndata: part-1\n\n", "id: 2\ndata: pa"])]
#[case::without_the_empty_line(&["id: 1\ndata: part-1\n\n", "id: 2\ndata: part-2\n"])]
#[case::inside_the_first(&["id: 1\nda"])]
#[case::with_carriage_returns(&["id: 1\r\ndata: part-1\r\n\r\n", "id: 2\r\ndata: part-2\r\n"])]
fn stream_closed_inside_an_event_does_not_look_complete(#[case] pieces: &[&str]) {
    let target = target_with_body(UNFRAMED, pieces, End::Close);
    let fleet = fleet_of(&[&target]);
    let response = call(&fleet, Version::Http11, "/ask/cut", "cut");
    assert!(response.status != 200 || !response.looks_complete(), "{response:?}");
    assert_eq!(target.requests().iter().filter(|r| r.path == "/ask/cut").count(), 1);
}

#[test]
fn chunked_stream_with_its_last_chunk_inside_an_event_does_not_look_complete() {
    let chunks = chunks(&["id: 1\ndata: part-1\n\n", "id: 2\ndata: pa"]);
    let chunks: Vec<&str> = chunks.iter().map(String::as_str).collect();
    let target = target_with_body(CHUNKED, &chunks, End::KeepAlive);
    let fleet = fleet_of(&[&target]);
    let response = call(&fleet, Version::Http11, "/ask/cut", "cut");
    assert!(!response.looks_complete(), "{response:?}");
}

#[test]
fn event_stream_on_a_buffered_route_that_ends_inside_an_event_is_retried() {
    let body = "id: 1\ndata: part-1\n\nid: 2\nda";
    let broken = target_with_body(UNFRAMED, &[body], End::Close);
    let sound = sound_target();
    let fleet = fleet_of(&[&broken, &sound]);
    for n in 0..8 {
        let response = call(&fleet, Version::Http11, "/plain/x", &format!("plain-{n}"));
        assert_eq!((response.status, response.end), (200, BodyEnd::Framed));
        assert_eq!(response.body, events(1, 6));
    }
    assert!(!broken.requests().is_empty());
}

#[test]
fn truncated_stream_counts_as_a_failure_of_its_target() {
    let broken = target_with_body(UNFRAMED, &["id: 1\ndata: part-1\n\nid: 2\nda"], End::Close);
    let sound = sound_target();
    let fleet = fleet_of(&[&broken, &sound]);
    for n in 0..40 {
        call(&fleet, Version::Http11, "/ask/some", &format!("some-{n}"));
    }
    let count = broken.requests().iter().filter(|request| request.path == "/ask/some").count();
    assert!(count <= 10, "{count} of 40 requests went to the target that truncates them all");
    let is_check = |line: &serde_json::Value| line["msg"] == "responses interrupted";
    wait_until("the target is checked", || fleet.log(0).iter().any(is_check));
}

#[rstest]
#[case::unframed(UNFRAMED, &["id: 1\ndata: part-1\n\n", "data: end\n\n"])]
#[case::carriage_returns(UNFRAMED, &["id: 1\r\ndata: part-1\r\n\r\n", "data: end\r\n\r\n"])]
#[case::split_at_the_end(UNFRAMED, &["id: 1\ndata: part-1\n", "\n"])]
#[case::trailing_comment(UNFRAMED, &["id: 1\ndata: part-1\n\n", ": idle\n"])]
#[case::no_events("Content-Type: application/json", &["{\"answer\": 1}"])]
fn whole_unframed_stream_is_passed_on(
    #[case] headers: &'static str,
    #[case] pieces: &[&str],
    #[values("/ask/whole", "/talk/whole")] path: &str,
    #[values(Version::Http10, Version::Http11)] version: Version,
) {
    let target = target_with_body(headers, pieces, End::Close);
    let fleet = fleet_of(&[&target]);
    for n in 0..3 {
        let response = call(&fleet, version, path, &format!("whole-{n}"));
        assert!(response.looks_complete(), "{response:?}");
        assert_eq!(response.body, pieces.concat());
    }
}

#[rstest]
fn event_larger_than_a_buffer_is_passed_on(
    #[values(Version::Http10, Version::Http11)] version: Version,
) {
    let large = format!("id: 1\ndata: {}\n\n", "x".repeat(3 << 20));
    let target = target_with_body(UNFRAMED, &[&large, &event(2)], End::Close);
    let fleet = fleet_of(&[&target]);
    let response = call(&fleet, version, "/ask/large", "large");
    assert!(response.looks_complete(), "{:?}", response.end);
    assert!(response.body == large + &event(2), "{} bytes", response.body.len());
}

#[rstest]
fn part_of_an_event_is_passed_on_as_it_arrives(
    #[values(Version::Http10, Version::Http11)] version: Version,
) {
    let target = target(|request| Answer {
        pause: Duration::from_millis(700),
        ..Answer::new(&request.id, UNFRAMED, &["id: 1\ndata: pa", "rt-1\n\n"], End::Close)
    });
    let fleet = fleet_of(&[&target]);
    let front = fleet.gateways[0].front_address;
    let start = Instant::now();
    let mut stream = raw_caller::send(front, version, "/ask/slow", &headers("slow"), "x");
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("data: pa") {
        let mut buffer = [0; 512];
        let count = stream.read(&mut buffer).expect("a part of the response");
        assert!(count > 0, "the response ended early");
        received.extend_from_slice(&buffer[..count]);
    }
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
}
