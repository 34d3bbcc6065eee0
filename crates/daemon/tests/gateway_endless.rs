//! Targets that send bytes without end which are no answer: in a head, in place of one, or in a
//! body. Memory and time stay bounded, and the slot and the connection come back.

mod util;

use rstest::rstest;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use util::gateway::Fleet;
use util::raw_streams::{
    CHUNKED, UNFRAMED, event, events, fleet_with_slots, headers, target, with_length,
};
use util::raw_target::{Answer, End, RawTarget, Request};
use util::wait_until;

/// Time by which a request ends whose deadline is 4 s.
const MAX_TIME: Duration = Duration::from_millis(4_500);
/// Longest wait of a caller, so that a test ends.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum resident memory of a gateway at any time, in kilobytes.
const MAX_MEMORY_KB: u64 = 96 << 10;
/// Time between two pieces of a target that sends slowly.
const SLOW: Duration = Duration::from_millis(60);
const FAST: Duration = Duration::ZERO;

const STATUS_LINE: &[u8] = b"HTTP/1.1 200 OK\r\n";
const HEADER_LINE: &[u8] = b"X-Filler: 0123456789012345678901234567890123456789\r\n";
const INTERIM: &[u8] = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const TEXT: &[u8] = &[b'z'; 16 << 10];
const CHUNK: &[u8] = b"20\r\nzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz\r\n";
const COMMENTS: &[u8] = b": still here\n\n";
const CHUNK_OF_COMMENT: &[u8] = b"e\r\n: still here\n\n\r\n";

/// What a target sends.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// A status line, and headers without end.
    Head,
    /// Interim responses without end.
    Interim,
    /// Bytes that aren't HTTP.
    Garbage,
    /// A body without a length.
    Body,
    /// Chunks that are no events.
    Chunks,
    /// An event, and comments after it.
    Comments,
    /// Status 500, and a body in chunks.
    FailedBody,
}

impl Form {
    fn answer(self, id: &str, pause: Duration) -> Answer {
        let raw = |pieces: &[&[u8]], filler| Answer {
            pieces: pieces.iter().map(|piece| piece.to_vec()).collect(),
            pause,
            end: End::Endless(filler),
        };
        let with_head = |headers: &str, pieces: &[&str], filler| Answer {
            pause,
            ..Answer::new(id, headers, pieces, End::Endless(filler))
        };
        match self {
            Form::Head => raw(&[STATUS_LINE], HEADER_LINE),
            Form::Interim => raw(&[], INTERIM),
            Form::Garbage => raw(&[], TEXT),
            Form::Body => with_head("Content-Type: text/plain", &[], TEXT),
            Form::Chunks => with_head(CHUNKED, &[], CHUNK),
            Form::Comments => with_head(UNFRAMED, &[&event(1)], COMMENTS),
            Form::FailedBody => {
                let mut answer = with_head(CHUNKED, &[], CHUNK_OF_COMMENT);
                let head = String::from_utf8_lossy(&answer.pieces[0]).into_owned();
                answer.pieces[0] = head.replace("200 OK", "500 Failed").into_bytes();
                answer
            }
        }
    }
}

/// How a response ended for its caller.
#[derive(Debug)]
struct Ending {
    /// First bytes of the response.
    head: String,
    elapsed: Duration,
    /// Whether the connection was closed or reset in time.
    is_closed: bool,
    is_reset: bool,
    /// Whether the last chunk arrived.
    is_complete: bool,
}

/// Sends a request and reads until the response ends; keeps little of it.
fn call(fleet: &Fleet, path: &str, id: &str) -> Ending {
    let started = Instant::now();
    let mut stream = TcpStream::connect(fleet.gateways[0].front_address).expect("a connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a socket");
    let headers = headers(id).replace('\n', "\r\n");
    let request = format!(
        "POST {path} HTTP/1.1\r\n{headers}\r\nConnection: close\r\nContent-Length: 1\r\n\r\np"
    );
    stream.write_all(request.as_bytes()).expect("it is sent");
    let (mut head, mut tail) = (Vec::new(), Vec::new());
    let mut buffer = vec![0; 64 << 10];
    let (is_closed, is_reset) = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break (true, false),
            Ok(read) => {
                head.extend(buffer[..read].iter().take(64_usize.saturating_sub(head.len())));
                tail = buffer[read.saturating_sub(16)..read].to_vec();
            }
            Err(error) => {
                let is_reset = error.kind() == ErrorKind::ConnectionReset;
                break (is_reset, is_reset);
            }
        }
        if started.elapsed() > READ_TIMEOUT {
            break (false, false);
        }
    };
    Ending {
        head: String::from_utf8_lossy(&head).into_owned(),
        elapsed: started.elapsed(),
        is_closed,
        is_reset,
        is_complete: tail.ends_with(b"\r\n0\r\n\r\n"),
    }
}

/// Most memory that the gateway has used, in kilobytes.
fn peak_memory_kb(fleet: &Fleet) -> u64 {
    let path = format!("/proc/{}/status", fleet.gateways[0].process_id());
    let text = std::fs::read_to_string(path).expect("a running process");
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).expect("a line");
    line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
}

/// A target that answers requests whose path holds `endless` with this form, and others soundly.
fn endless_target(form: Form, pause: Duration) -> RawTarget {
    target(move |request| {
        if request.path.contains("endless") {
            return form.answer(&request.id, pause);
        }
        sound_answer(request)
    })
}

/// A complete stream, from its first event or from the one after the last that was received.
fn sound_answer(request: &Request) -> Answer {
    let body = events(request.last_event_id.map_or(1, |id| id + 1), 3);
    Answer::new(&request.id, &with_length(&body), &[&body], End::KeepAlive)
}

#[track_caller]
fn check_recovered(fleet: &Fleet, target: &RawTarget) {
    wait_until("the connection is closed", || target.endless_connections() == 0);
    let memory = peak_memory_kb(fleet);
    assert!(memory < MAX_MEMORY_KB, "{memory} kB of memory");
    // There is one slot, and a target that misbehaved may be left out for a while.
    wait_until("the slot is usable", || fleet.send(0, "/talk/sound", "sound").status == 200);
}

/// Guards against requests that hold a caller, a slot and a connection for as long as a target
/// sends.
#[rstest]
fn endless_response_ends_by_the_deadline(
    #[values(
        Form::Head,
        Form::Interim,
        Form::Garbage,
        Form::Body,
        Form::Chunks,
        Form::Comments,
        Form::FailedBody
    )]
    form: Form,
    #[values("/plain/endless", "/ask/endless", "/talk/endless")] path: &str,
    #[values(FAST, SLOW)] pause: Duration,
) {
    let target = endless_target(form, pause);
    let fleet = fleet_with_slots(&[&target], 1);
    let ending = call(&fleet, path, "endless");
    assert!(ending.is_closed && ending.elapsed < MAX_TIME, "{ending:?}");
    let is_success = ending.head.contains(" 200 OK");
    assert!(!(is_success && ending.is_complete), "{ending:?}");
    assert!(!ending.head.is_empty(), "no answer");
    check_recovered(&fleet, &target);
}

/// Guards against items that hold a slot for as long as a target sends. The second run is sound.
#[rstest]
fn endless_response_to_an_item_ends(
    #[values(
        Form::Head,
        Form::Interim,
        Form::Garbage,
        Form::Body,
        Form::Chunks,
        Form::Comments,
        Form::FailedBody
    )]
    form: Form,
    #[values(FAST, SLOW)] pause: Duration,
) {
    let runs = AtomicUsize::new(0);
    let target = target(move |request| {
        let is_item = request.path.starts_with("/batch/");
        if is_item && runs.fetch_add(1, Ordering::Relaxed) == 0 {
            return form.answer(&request.id, pause);
        }
        sound_answer(request)
    });
    let fleet = fleet_with_slots(&[&target], 1);
    assert_eq!(fleet.submit(0, "job", &["item"]).status, 202);
    let started = Instant::now();
    let is_listed = || fleet.results(0, "job", 0).json()["results"][0]["state"] == "complete";
    while !is_listed() {
        assert!(started.elapsed() < Duration::from_secs(30), "the item isn't run again");
        std::thread::sleep(Duration::from_millis(100));
    }
    check_recovered(&fleet, &target);
}

/// Regression: the identity that a target had sent in the head of its health check was lost
/// because the body never ended, so a whole response counted as cut off.
#[rstest]
fn endless_health_check_still_identifies_its_target(
    #[values(COMMENTS, TEXT)] filler: &'static [u8],
) {
    let target =
        target(|request| Answer::new(&request.id, UNFRAMED, &[&event(1), &event(2)], End::Close));
    let fleet = fleet_with_slots(&[&target], 2);
    target.set_endless_health(filler);
    let ending = call(&fleet, "/ask/first", "first");
    let is_success = ending.head.contains(" 200 OK");
    assert!(is_success && ending.is_closed && !ending.is_reset, "{ending:?}");
    wait_until("the connection is closed", || target.endless_connections() == 0);
}
