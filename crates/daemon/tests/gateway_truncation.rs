//! Responses that targets or connections break off, as callers and jobs see them.

mod util;

use rstest::rstest;
use util::gateway::{Fleet, HOST, Plan};
use util::raw_caller::{self, RawResponse, Version};
use util::raw_target::{Answer, End, RawTarget, Request};

/// Headers of a stream that ends with its connection.
const UNFRAMED: &str = "Content-Type: text/event-stream";
/// Headers of a stream in chunks.
const CHUNKED: &str = "Content-Type: text/event-stream\nTransfer-Encoding: chunked";

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
