//! Requests that a gateway has read get a whole answer, also beside a planned stop.

mod util;

use rstest::rstest;
use standin::runner::Config;
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;
use util::gateway::{Fleet, HOST, Plan};
use util::raw_caller::{self, BodyEnd, RawResponse, Version};
use util::raw_streams::{fleet_of, target_with_body};
use util::raw_target::{End, RawTarget};
use util::wait_until;

/// More than the sockets between a gateway and a caller that doesn't read hold.
const BODY_BYTES: usize = 7_000_000;
const BODY_HEADERS: &str = "Content-Length: 7000000";
const KEPT: &str = "POST /plain/kept HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n";
const EVENT_END: &str = "\n\n";
/// Longer than the grace period of a stop.
const PAUSE: Duration = Duration::from_millis(900);

fn headers(id: &str) -> String {
    format!("Host: {HOST}\nX-Gatespool-Request-Id: {id}\nX-Gatespool-Deadline-Ms: 5000")
}

fn send(fleet: &Fleet, version: Version, path: &str, id: &str) -> TcpStream {
    raw_caller::send(fleet.gateways[0].front_address, version, path, &headers(id), "a prompt")
}

fn wait_run(target: &RawTarget, path: &str) {
    wait_until("it runs", || target.requests().iter().any(|request| request.path == path));
}

#[track_caller]
fn assert_whole(response: &RawResponse, bytes: usize) {
    let RawResponse { status, body, end } = response;
    assert!(response.looks_complete(), "{status}, {} of {bytes} bytes, {end:?}", body.len());
    assert_eq!((*status, body.len()), (200, bytes));
}

/// Regression: a request counted as done before its response was written.
#[rstest]
fn stop_waits_until_a_slow_caller_has_the_response(
    #[values("/plain/slow", "/ask/slow")] path: &str,
    #[values(Version::Http10, Version::Http11)] version: Version,
) {
    let body = "x".repeat(BODY_BYTES - EVENT_END.len()) + EVENT_END;
    let target = target_with_body(BODY_HEADERS, &[&body], End::KeepAlive);
    let fleet = fleet_of(&[&target]);
    let mut caller = send(&fleet, version, path, "slow");
    wait_run(&target, path);
    fleet.gateways[0].terminate();
    sleep(PAUSE);
    assert_whole(&raw_caller::read(&mut caller), BODY_BYTES);
}

/// Regression: a stop didn't wait for requests whose body was on its way.
#[rstest]
#[case::in_the_head("POST /plain/parts HTTP/1.1\r\nHost: a.exa")]
#[case::before_the_body(
    "POST /plain/parts HTTP/1.1\r\nHost: a.example\r\nContent-Length: 8\r\n\r\n"
)]
#[case::in_the_body(
    "POST /plain/parts HTTP/1.1\r\nHost: a.example\r\nContent-Length: 8\r\n\r\na pr"
)]
fn request_that_arrives_in_parts_beside_a_stop_is_answered(#[case] first: &str) {
    let whole =
        "POST /plain/parts HTTP/1.1\r\nHost: a.example\r\nContent-Length: 8\r\n\r\na prompt";
    let target = target_with_body("Content-Length: 2", &["ok"], End::KeepAlive);
    let fleet = fleet_of(&[&target]);
    let mut caller = connect(&fleet);
    caller.write_all(first.as_bytes()).expect("sent");
    sleep(Duration::from_millis(100));
    fleet.gateways[0].terminate();
    sleep(PAUSE);
    caller.write_all(&whole.as_bytes()[first.len()..]).expect("sent");
    assert_whole(&raw_caller::read(&mut caller), 2);
}

#[rstest]
#[case::without_a_request("")]
#[case::after_an_answer(
    "POST /plain/idle HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"
)]
fn stop_does_not_wait_for_idle_connections(#[case] request: &str) {
    let target = target_with_body("Content-Length: 2", &["ok"], End::KeepAlive);
    let mut fleet = fleet_of(&[&target]);
    let mut caller = connect(&fleet);
    caller.write_all(request.as_bytes()).expect("sent");
    sleep(Duration::from_millis(100));
    fleet.gateways[0].terminate();
    sleep(PAUSE);
    assert!(!fleet.gateways[0].is_running());
}

fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.gateways[0].front_address).expect("a connection")
}

/// A connection that stays open after an answer.
fn keep(fleet: &Fleet) -> TcpStream {
    let mut caller = connect(fleet);
    assert_whole(&raw_caller::exchange(&mut caller, KEPT), 2);
    caller
}

/// Regression: a stop closed connections with requests that had arrived and weren't read.
#[test]
fn request_that_arrives_just_before_the_close_is_answered() {
    let target = target_with_body("Content-Length: 2", &["ok"], End::KeepAlive);
    let fleet = fleet_of(&[&target]);
    let mut callers: Vec<_> = (0..20).map(|_| keep(&fleet)).collect();
    fleet.gateways[0].terminate();
    sleep(Duration::from_millis(100));
    fleet.gateways[0].freeze();
    sleep(PAUSE);
    callers.extend((0..20).map(|_| connect(&fleet)));
    callers.iter_mut().for_each(|caller| caller.write_all(KEPT.as_bytes()).expect("sent"));
    fleet.gateways[0].thaw();
    let answers: Vec<_> = callers.iter_mut().map(raw_caller::read).collect();
    let lost = answers.iter().filter(|answer| answer.status != 200).count();
    assert_eq!(lost, 0, "{answers:?}");
}

/// Regression: requests that were still waiting when a stop ran out of time got no answer.
#[rstest]
fn requests_that_outlast_a_stop_are_answered(
    #[values("/plain/late", "/ask/late", "/talk/late")] path: &str,
) {
    // Longer than the stop.
    let first_event_delay = Duration::from_secs(4);
    let fleet = Fleet::start(Plan {
        gateways: vec!["east"],
        runners: vec![("east", Config { slots: 2, first_event_delay, ..Config::default() })],
        settings: vec![String::from("stop.bound_s = 2")],
        ..Plan::default()
    });
    let ids: Vec<String> = (0..12).map(|n| format!("late-{n}")).collect();
    let mut callers: Vec<_> =
        ids.iter().map(|id| send(&fleet, Version::Http11, path, id)).collect();
    sleep(Duration::from_millis(200));
    fleet.gateways[0].terminate();
    let answers: Vec<_> = callers.iter_mut().map(raw_caller::read).collect();
    assert!(answers.iter().all(RawResponse::looks_complete), "{answers:?}");
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    let has_run = |id: &String| fleet.runs(path).iter().any(|run| run.id == *id);
    let is_true = |(id, status): (&String, &u16)| *status == 502 || *status == 503 && !has_run(id);
    assert!(ids.iter().zip(&statuses).all(is_true), "{statuses:?}");
}

/// Regression: a close with unread data reset the connection before the response was sent.
#[rstest]
fn response_before_a_request_that_a_stop_does_not_read_is_whole(
    #[values(0, 100_000)] next_body_bytes: usize,
) {
    let body = "x".repeat(BODY_BYTES - EVENT_END.len()) + EVENT_END;
    let target = target_with_body(BODY_HEADERS, &[&body], End::KeepAlive);
    let fleet = fleet_of(&[&target]);
    let mut caller = connect(&fleet);
    let length = format!("Content-Length: {next_body_bytes}");
    let next = KEPT.replace("Content-Length: 0", &length) + &"x".repeat(next_body_bytes);
    caller.write_all((KEPT.to_owned() + &next).as_bytes()).expect("sent");
    wait_run(&target, "/plain/kept");
    fleet.gateways[0].terminate();
    sleep(PAUSE);
    assert_whole(&raw_caller::read(&mut caller), BODY_BYTES);
}

/// Calls on one connection after the other until none is accepted; the paths without an answer.
fn call_until_stopped(fleet: &Fleet, caller: usize) -> Vec<String> {
    let mut lost = Vec::new();
    let mut paths = (0..).map(|n| format!("/plain/{caller}-{n}"));
    while let Ok(mut stream) = TcpStream::connect(fleet.gateways[0].front_address) {
        for path in paths.by_ref() {
            let request = KEPT.replace("/plain/kept", &path);
            let answer = raw_caller::exchange(&mut stream, &request);
            if answer.end != BodyEnd::Framed {
                lost.push(path);
                break;
            }
            sleep(Duration::from_millis(5));
        }
    }
    lost
}

#[test]
fn callers_of_kept_connections_lose_no_request_that_was_passed_on() {
    let target = target_with_body("Content-Length: 2", &["ok"], End::KeepAlive);
    let fleet = fleet_of(&[&target]);
    let lost: Vec<String> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|n| {
                scope.spawn({
                    let fleet = &fleet;
                    move || call_until_stopped(fleet, n)
                })
            })
            .collect();
        for _ in 0..20 {
            fleet.gateways[0].reload();
            sleep(Duration::from_millis(30));
        }
        fleet.gateways[0].terminate();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    });
    let passed_on = |path: &&String| target.requests().iter().any(|run| run.path == **path);
    assert_eq!(lost.iter().filter(passed_on).count(), 0, "{lost:?}");
}
