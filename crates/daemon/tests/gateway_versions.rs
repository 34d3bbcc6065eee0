//! Streams and items beside targets of several software versions: what two versions generate is
//! never joined, and what can go on at its version does.

mod util;

use rstest::rstest;
use serde_json::{Value, json};
use standin::runner::{Config, Faults, Run, Runner};
use std::collections::BTreeSet;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Barrier;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, HOST, Plan, event_data};
use util::raw_caller::{self, RawResponse, Version};
use util::wait_until;

const EVENTS: u64 = 8;
/// Longest time until the registry is up to date at all instances.
const REGISTRY_DELAY: Duration = Duration::from_millis(500);
/// Time after its start within which an instance may not know all others that it could ask.
const JOIN_PERIOD: Duration = Duration::from_millis(2_200);
/// Time within which a request is rejected that can't be served.
const AT_ONCE: Duration = Duration::from_millis(600);

/// A fleet of gateways in these data centres, with a runner in `east` for each version.
fn fleet(gateways: &[&'static str], versions: &[&str]) -> Fleet {
    let runner = |(n, software): (usize, &&str)| {
        let config = Config {
            id: format!("r{n}"),
            software: (*software).to_owned(),
            event_count: EVENTS,
            event_interval: Duration::from_millis(30),
            ..Config::default()
        };
        ("east", config)
    };
    let runners = versions.iter().enumerate().map(runner).collect();
    Fleet::start(Plan { gateways: gateways.to_vec(), runners, ..Plan::default() })
}

/// Versions that the events of a response name.
fn versions(body: &str) -> BTreeSet<&str> {
    body.lines().filter_map(|line| line.strip_prefix("event: ")).collect()
}

/// What a caller has received of a stream that it left.
struct Begun {
    id: String,
    body: String,
}

impl Begun {
    fn last_event_id(&self) -> String {
        let mut ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.next_back().expect("an event").to_owned()
    }

    /// Headers by which attempt `id` takes the stream up.
    fn take_up_headers(&self, id: &str) -> String {
        let last = self.last_event_id();
        format!("{}\nResumes: {}\nLast-Event-Id: {last}", headers(id), self.id)
    }

    /// Takes the stream up; the response has the events of both attempts.
    fn take_up(&self, front: SocketAddr) -> RawResponse {
        let id = format!("{}-again", self.id);
        let headers = self.take_up_headers(&id);
        let path = format!("/talk/{}", self.id);
        let response = raw_caller::call(front, Version::Http11, &path, &headers, "a prompt");
        RawResponse { body: format!("{}{}", self.body, response.body), ..response }
    }
}

fn headers(id: &str) -> String {
    format!("Host: {HOST}\nX-Gatespool-Request-Id: {id}\nX-Gatespool-Deadline-Ms: 5000")
}

/// Reads whole events of a stream until there are `count`.
fn begin(front: SocketAddr, id: &str, count: usize) -> (Begun, std::net::TcpStream) {
    let path = format!("/talk/{id}");
    let mut stream = raw_caller::send(front, Version::Http10, &path, &headers(id), "a prompt");
    let mut received = String::new();
    let mut buffer = [0; 1024];
    loop {
        let length = stream.read(&mut buffer).expect("events");
        assert!(length > 0, "the stream ended: {received}");
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
        let body = received.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        if body.matches("\n\n").count() >= count {
            let end = body.rfind("\n\n").expect("an event") + 2;
            return (Begun { id: id.to_owned(), body: body[..end].to_owned() }, stream);
        }
    }
}

/// Calls `each` for the numbers up to `count` at once, and returns the results in their order.
fn at_once<T: Send>(count: usize, each: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let each = &each;
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..count).map(|n| scope.spawn(move || each(n))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a thread")).collect()
    })
}

/// Checks that no stream has events of two versions, and returns how many are complete.
#[track_caller]
fn complete(responses: &[RawResponse]) -> usize {
    for response in responses {
        assert!(versions(&response.body).len() <= 1, "two versions: {response:?}");
    }
    let is_complete = |response: &&RawResponse| {
        response.status == 200
            && response.looks_complete()
            && response.body.matches("\n\n").count() as u64 == EVENTS
    };
    responses.iter().filter(is_complete).count()
}

#[test]
fn stream_broken_off_by_its_target_goes_on_at_the_same_version() {
    let fleet = fleet(&["east", "east"], &["v1", "v2", "v1", "v2", "v1", "v2"]);
    for runner in &fleet.runners {
        runner.set_faults(Faults { interrupted: 2, ..Faults::default() });
    }
    let responses = at_once(18, |n| {
        let id = format!("broken-{n}");
        let front = fleet.gateways[n % 2].front_address;
        let path = format!("/talk/{id}");
        raw_caller::call(front, Version::Http11, &path, &headers(&id), "a prompt")
    });
    // A second break ends the two attempts of the route.
    assert!(complete(&responses) >= 9, "{responses:?}");
}

#[test]
fn stream_taken_up_at_another_instance_goes_on_at_the_same_version() {
    let fleet = fleet(&["east", "east", "east"], &["v1", "v2", "v1", "v2", "v1", "v2"]);
    let all_begun = Barrier::new(20);
    let responses = at_once(20, |n| {
        let (begun, stream) = begin(fleet.gateways[0].front_address, &format!("left-{n}"), 2);
        all_begun.wait();
        drop(stream);
        std::thread::sleep(Duration::from_millis((20 - n as u64) * 5));
        begun.take_up(fleet.gateways[1 + n % 2].front_address)
    });
    assert!(complete(&responses) >= 18, "{responses:?}");
}

#[rstest]
#[case::in_the_same_data_centre(&["east", "east", "east"])]
#[case::in_another_data_centre(&["east", "west", "west"])]
fn stream_of_a_killed_instance_goes_on_at_the_same_version(#[case] gateways: &[&'static str]) {
    let mut fleet = fleet(gateways, &["v1", "v2", "v1", "v2", "v1", "v2"]);
    let front = fleet.gateways[0].front_address;
    let begun = at_once(12, |n| begin(front, &format!("killed-{n}"), 2));
    fleet.gateways[0].kill();
    let responses = at_once(12, |n| {
        let id = format!("killed-{n}-again");
        // Until the instance counts as dead, the others may be unable to tell.
        let began_at = Instant::now();
        loop {
            let response = begun[n].0.take_up(fleet.gateways[1 + n % 2].front_address);
            if response.status != 503 || began_at.elapsed() > Duration::from_secs(2) {
                return response;
            }
            assert!(fleet.runs(&format!("/talk/{id}")).is_empty());
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    assert!(complete(&responses) >= 6, "{responses:?}");
}

#[test]
fn third_attempt_goes_on_at_the_version_of_the_first() {
    let fleet = fleet(&["east", "east", "east"], &["v2", "v1", "v2", "v1", "v2"]);
    let responses = at_once(10, |n| {
        let (mut begun, stream) = begin(fleet.gateways[0].front_address, &format!("first-{n}"), 1);
        drop(stream);
        let path = format!("/talk/{}", begun.id);
        let second = begun.take_up_headers(&format!("second-{n}"));
        let to = fleet.gateways[1].front_address;
        let mut stream = raw_caller::send(to, Version::Http10, &path, &second, "a prompt");
        let mut buffer = [0; 1024];
        while !begun.body.contains("id: 3\n") || !begun.body.ends_with("\n\n") {
            let length = stream.read(&mut buffer).expect("events");
            assert!(length > 0, "the stream ended: {}", begun.body);
            let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
            begun.body.push_str(text.split_once("\r\n\r\n").map_or(&*text, |(_, body)| body));
        }
        drop(stream);
        begun.take_up(fleet.gateways[2].front_address)
    });
    assert!(complete(&responses) >= 9, "{responses:?}");
}

#[test]
fn broken_item_never_joins_events_of_two_versions() {
    let fleet = fleet(&["east", "east"], &["v1", "v2", "v1", "v2", "v1", "v2"]);
    for runner in &fleet.runners {
        runner.set_faults(Faults { interrupted: 10, ..Faults::default() });
    }
    let items: Vec<String> = (0..40).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "job", &items).status, 202);
    let results = fleet.wait_results(1, "job");
    for result in &results {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["message"], Runner::text(id, EVENTS), "{result}");
    }
    for item in items {
        let mut runs = fleet.runs(&format!("/batch/{item}"));
        runs.retain(|run| run.id == item);
        runs.sort_by_key(|run| run.started);
        assert!(runs.iter().any(|run| run.is_complete), "{runs:?}");
        // A resumed run has the version of the last run that started from the first event.
        let mut version = String::new();
        for Run { last_event_id, software, .. } in &runs {
            if last_event_id.is_none() {
                version.clone_from(software);
            }
            assert_eq!(*software, version, "{runs:?}");
        }
    }
}

#[rstest]
#[case::of_another_version(json!("v2"))]
#[case::of_no_stated_version(Value::Null)]
fn stream_is_not_taken_up_when_no_target_of_its_version_is_left(#[case] other: Value) {
    let fleet = fleet(&["east", "east"], &["v1", "v1", "v2"]);
    let fronts = [0, 1].map(|n| fleet.gateways[n].front_address);
    let begun = at_once(6, |n| begin(fronts[0], &format!("left-{n}"), 2));
    let of_v1 = |(begun, _): &&(Begun, _)| versions(&begun.body).contains("v1");
    let begun: Vec<_> = begun.iter().filter(of_v1).collect();
    assert!(!begun.is_empty());
    fleet.set_software(0, other.clone());
    fleet.set_software(1, other);
    std::thread::sleep(REGISTRY_DELAY);
    for (begun, _) in begun {
        let sent_at = Instant::now();
        let response = begun.take_up(fronts[1]);
        assert_eq!(response.status, 410, "{response:?}");
        assert!(sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
    }
}

#[test]
fn broken_stream_is_cut_at_once_when_no_target_of_its_version_is_left() {
    let fleet = fleet(&["east"], &["v1", "v2", "v2"]);
    fleet.runners[0].set_faults(Faults { interrupted: 8, ..Faults::default() });
    let responses = at_once(8, |n| {
        let id = format!("alone-{n}");
        let front = fleet.gateways[0].front_address;
        let path = format!("/talk/{id}");
        raw_caller::call(front, Version::Http11, &path, &headers(&id), "a prompt")
    });
    complete(&responses);
    let is_cut = |response: &&RawResponse| !response.looks_complete();
    let cut: Vec<_> = responses.iter().filter(is_cut).collect();
    assert!(!cut.is_empty() && cut.iter().all(|r| versions(&r.body).contains("v1")), "{cut:?}");
}

#[rstest]
#[case::unknown(Some("nobody"))]
#[case::unnamed(None)]
fn stream_of_an_unknown_attempt_is_rejected_at_once(#[case] resumes: Option<&str>) {
    let fleet = fleet(&["east", "east"], &["v1", "v2"]);
    std::thread::sleep(JOIN_PERIOD);
    let mut extra = vec![("last-event-id", "2")];
    extra.extend(resumes.map(|attempt| ("resumes", attempt)));
    let sent_at = Instant::now();
    let response = fleet.send_with(0, "/talk/unknown", "unknown", &extra);
    assert!(sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
    assert_eq!(response.status, 410, "{response:?}");
    assert!(fleet.runs("/talk/").is_empty());
}

#[test]
fn instance_that_cannot_ask_the_others_runs_nothing_and_says_when_to_return() {
    let fleet = fleet(&["east", "east", "east"], &["v1", "v2", "v1", "v2"]);
    let begun = at_once(12, |n| begin(fleet.gateways[0].front_address, &format!("cut-{n}"), 2));
    let peers: Vec<SocketAddr> = fleet.gateways.iter().map(|g| g.peer_address).collect();
    fleet.gateways[2].set_unreachable(&peers[..2]);
    fleet.gateways[0].set_unreachable(&peers[2..]);
    fleet.gateways[1].set_unreachable(&peers[2..]);
    // The instance that is cut off has a copy of some.
    let responses = at_once(12, |n| begun[n].0.take_up(fleet.gateways[2].front_address));
    complete(&responses);
    assert!(responses.iter().all(|r| matches!(r.status, 200 | 503)), "{responses:?}");
}

#[test]
fn stream_taken_up_waits_for_a_slot_of_its_version() {
    let slots = |slots| Config { slots, event_count: EVENTS, ..Config::default() };
    let interval = Duration::from_millis(30);
    let v1 = Config { event_interval: interval, ..slots(1) };
    let v2 = Config { id: String::from("r1"), software: String::from("v2"), ..slots(8) };
    let plan = Plan {
        gateways: vec!["east", "east"],
        runners: vec![("east", Config { id: String::from("r0"), ..v1 }), ("east", v2)],
        ..Plan::default()
    };
    let fleet = Fleet::start(plan);
    let fronts = [0, 1].map(|n| fleet.gateways[n].front_address);
    let begun = at_once(4, |n| begin(fronts[0], &format!("busy-{n}"), 2));
    let of_v1 = |(begun, _): &(Begun, _)| versions(&begun.body).contains("v1");
    let (begun, stream) = begun.into_iter().find(of_v1).expect("a stream of v1");
    // The second attempt comes while the first still has the only slot.
    let response = begun.take_up(fronts[1]);
    drop(stream);
    assert_eq!(complete(&[response]), 1);
}

#[test]
fn streams_go_on_anywhere_where_no_target_states_a_version() {
    let fleet = fleet(&["east", "east"], &["v1", "v1", "v1"]);
    (0..3).for_each(|n| fleet.set_software(n, Value::Null));
    std::thread::sleep(REGISTRY_DELAY);
    let (begun, stream) = begin(fleet.gateways[0].front_address, "left", 2);
    drop(stream);
    assert_eq!(complete(&[begun.take_up(fleet.gateways[1].front_address)]), 1);
    let is_resumed = |run: &Run| run.last_event_id.is_some();
    wait_until("a broken stream is resumed", || {
        fleet.runners[0].set_faults(Faults { interrupted: 1, ..Faults::default() });
        let response = fleet.send(0, "/talk/broken", "broken");
        assert_eq!(event_data(&response), Runner::text("broken", EVENTS));
        fleet.runs("/talk/broken").iter().any(is_resumed)
    });
}
