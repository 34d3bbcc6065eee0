//! Streams and items beside targets of several software versions: what two versions generate is
//! never joined, and what can go on at its version does.

mod util;

use rstest::rstest;
use serde_json::{Value, json};
use standin::runner::{Config, Faults, Run, Runner};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan, event_data};
use util::raw_caller::{self, RawResponse, Version};
use util::stream_caller::{Caller, headers, versions};
use util::wait_until;

const EVENTS: u64 = 8;
/// Time between two events of a runner.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Longest time until the registry is up to date at all instances.
const REGISTRY_DELAY: Duration = Duration::from_millis(500);
/// Time after its start within which an instance may not know all others that it could ask.
const JOIN_PERIOD: Duration = Duration::from_millis(2_200);
/// Time within which a request is rejected that can't be served.
const AT_ONCE: Duration = Duration::from_millis(600);

/// A fleet of gateways in these data centres, with a runner in `east` for each version.
fn fleet(gateways: &[&'static str], versions: &[&str]) -> Fleet {
    fleet_of(gateways, versions, &Config { event_count: EVENTS, ..Config::default() })
}

/// As [`fleet`], with this configuration of all runners.
fn fleet_of(gateways: &[&'static str], versions: &[&str], config: &Config) -> Fleet {
    let runner = |(n, software): (usize, &&str)| {
        let config = Config {
            id: format!("r{n}"),
            software: (*software).to_owned(),
            event_interval: EVENT_INTERVAL,
            ..config.clone()
        };
        ("east", config)
    };
    let runners = versions.iter().enumerate().map(runner).collect();
    Fleet::start(Plan { gateways: gateways.to_vec(), runners, ..Plan::default() })
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

/// Whole responses to `count` streams that are requested at once, alternately from two gateways.
fn call_at_once(fleet: &Fleet, count: usize) -> Vec<RawResponse> {
    at_once(count, |n| {
        let front = fleet.gateways[n % fleet.gateways.len()].front_address;
        let headers = headers(&format!("call-{n}"));
        raw_caller::call(front, Version::Http11, &format!("/talk/{n}"), &headers, "a prompt")
    })
}

fn interrupt(fleet: &Fleet, count: u32) {
    for runner in &fleet.runners {
        runner.set_faults(Faults { interrupted: count, ..Faults::default() });
    }
}

#[test]
fn stream_broken_off_by_its_target_goes_on_at_the_same_version() {
    let fleet = fleet(&["east", "east"], &["v1", "v2", "v1", "v2", "v1", "v2"]);
    interrupt(&fleet, 2);
    // A second break ends the two attempts of the route.
    assert!(complete(&call_at_once(&fleet, 18)) >= 9);
}

/// What happens to the instance that began the streams.
#[derive(Clone, Copy, Debug)]
enum Loss {
    None,
    Killed,
    Frozen,
    CutOff,
}

#[rstest]
fn stream_taken_up_at_other_instances_goes_on_at_the_same_version(
    #[values(Loss::None, Loss::Killed, Loss::Frozen, Loss::CutOff)] loss: Loss,
    #[values("east", "west")] elsewhere: &'static str,
) {
    let gateways = ["east", elsewhere, elsewhere];
    let mut fleet = fleet(&gateways, &["v1", "v2", "v1", "v2", "v1", "v2"]);
    let fronts = [0, 1, 2].map(|n| fleet.gateways[n].front_address);
    let callers = at_once(16, |n| Caller::begin(fronts[0], &format!("left-{n}"), 2));
    match loss {
        Loss::None => {}
        Loss::Killed => fleet.gateways[0].kill(),
        Loss::Frozen => fleet.gateways[0].freeze(),
        Loss::CutOff => cut_off(&fleet, 0),
    }
    let callers: Vec<_> = callers.into_iter().map(|(caller, _)| Mutex::new(caller)).collect();
    let responses = at_once(16, |n| {
        let mut caller = callers[15 - n].lock().expect("no panic");
        if matches!(loss, Loss::None) {
            // The third attempt names the first.
            drop(caller.read_to(fronts[2 - n % 2], 4));
        }
        caller.finish_patiently(fronts[1 + n % 2])
    });
    assert!(complete(&responses) >= 8, "{responses:?}");
}

/// The callers return twice with the same event, after the instance of their second attempt is lost.
#[test]
fn stream_taken_up_again_after_a_second_loss_goes_on_at_the_same_version() {
    let mut fleet = fleet(&["east", "east", "east"], &["v1", "v2", "v1", "v2", "v1", "v2"]);
    let fronts = [0, 1, 2].map(|n| fleet.gateways[n].front_address);
    let callers = at_once(16, |n| Mutex::new(Caller::begin(fronts[0], &format!("left-{n}"), 2).0));
    fleet.gateways[0].kill();
    std::thread::sleep(JOIN_PERIOD / 2);
    at_once(16, |n| drop(callers[n].lock().expect("no panic").read_to(fronts[1], 4)));
    fleet.gateways[1].kill();
    let finish = |n: usize| callers[n].lock().expect("no panic").finish_patiently(fronts[2]);
    for responses in [at_once(16, finish), at_once(16, finish)] {
        assert!(complete(&responses) >= 8, "{responses:?}");
    }
}

/// Cuts a gateway off from the others, in both directions.
fn cut_off(fleet: &Fleet, n: usize) {
    let peers: Vec<SocketAddr> = fleet.gateways.iter().map(|g| g.peer_address).collect();
    for (other, gateway) in fleet.gateways.iter().enumerate() {
        let is_hidden = |hidden: &usize| (other == n) != (*hidden == n);
        let hidden: Vec<SocketAddr> =
            (0..peers.len()).filter(is_hidden).map(|h| peers[h]).collect();
        gateway.set_unreachable(&hidden);
    }
}

#[rstest]
#[case::by_one_holder(false)]
#[case::handed_off_to_another_holder(true)]
fn broken_item_never_joins_events_of_two_versions(#[case] is_handed_off: bool) {
    // The instance is stopped while items of over a second run.
    let event_count = if is_handed_off { 40 } else { EVENTS };
    let config = Config { event_count, names_software: true, ..Config::default() };
    let fleet = fleet_of(&["east", "east"], &["v1", "v2", "v1", "v2", "v1", "v2"], &config);
    interrupt(&fleet, if is_handed_off { 0 } else { 10 });
    let items: Vec<String> = (0..40).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "job", &items).status, 202);
    if is_handed_off {
        wait_until("items have generated events", || {
            let runs = fleet.runs("/batch/");
            runs.iter().filter(|run| run.started.elapsed() > EVENT_INTERVAL * 5).count() >= 12
        });
        // The items would return to the same targets if these were the same.
        fleet.set_runner_state(0, "draining");
        fleet.gateways[0].terminate();
    }
    for result in &fleet.wait_results(1, "job") {
        let id = result["id"].as_str().expect("an id");
        let is_by =
            |software: &str| result["message"] == Runner::text_by(software, id, event_count);
        assert!(is_by("v1") || is_by("v2"), "{result}");
    }
    check_resumed_items(&fleet.runs("/batch/"));
}

/// Checks that some items were resumed, and each at a version at which it had begun.
#[track_caller]
fn check_resumed_items(runs: &[Run]) {
    let began_before = |resumed: &Run| {
        let begins = runs.iter().filter(|run| run.last_event_id.is_none());
        let mut earlier = begins.filter(|run| run.started < resumed.started);
        earlier.any(|run| run.id == resumed.id && run.software == resumed.software)
    };
    let resumed: Vec<&Run> = runs.iter().filter(|run| run.last_event_id.is_some()).collect();
    assert!(!resumed.is_empty(), "no item was resumed");
    for run in resumed {
        assert!(began_before(run), "{run:?}");
    }
}

#[rstest]
#[case::of_another_version(json!("v2"))]
#[case::of_no_stated_version(Value::Null)]
fn stream_is_not_taken_up_when_no_target_of_its_version_is_left(#[case] other: Value) {
    let fleet = fleet(&["east", "east"], &["v1", "v1", "v2"]);
    let fronts = [0, 1].map(|n| fleet.gateways[n].front_address);
    let mut callers = at_once(6, |n| Caller::begin(fronts[0], &format!("left-{n}"), 2));
    callers.retain(|(caller, _)| caller.began_at("v1"));
    assert!(!callers.is_empty());
    (0..2).for_each(|n| fleet.set_software(n, other.clone()));
    std::thread::sleep(REGISTRY_DELAY);
    for (caller, _) in &mut callers {
        let sent_at = Instant::now();
        let response = caller.finish(fronts[1]);
        assert_eq!(response.status, 410, "{response:?}");
        assert!(sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
    }
}

/// Guards against versions that no target states any more being taken for versions that never were.
#[rstest]
fn stream_of_a_version_is_not_taken_up_once_no_target_states_one(
    #[values(false, true)] are_instances_lost: bool,
) {
    let mut fleet = fleet(&["east", "east"], &["v1", "v1", "v2"]);
    let mut callers =
        at_once(6, |n| Caller::begin(fleet.gateways[0].front_address, &format!("left-{n}"), 2).0);
    // Two versions and the checkpoint.
    wait_until("the versions are listed", || {
        fleet.objects.objects_of_kind(platform::release::KIND).len() == 3
    });
    if are_instances_lost {
        (0..2).for_each(|n| fleet.gateways[n].kill());
    }
    (0..3).for_each(|n| fleet.set_software(n, Value::Null));
    if are_instances_lost {
        (0..2).for_each(|n| fleet.restart(n));
        fleet.wait_ready();
        std::thread::sleep(JOIN_PERIOD);
    }
    std::thread::sleep(REGISTRY_DELAY);
    let front = fleet.gateways[1].front_address;
    let responses: Vec<_> = callers.iter_mut().map(|caller| caller.finish(front)).collect();
    complete(&responses);
    assert!(responses.iter().all(|response| response.status == 410), "{responses:?}");
}

/// As above, for items whose version isn't known either.
#[test]
fn item_handed_off_is_not_continued_once_no_target_states_a_version() {
    let config = Config { event_count: 40, names_software: true, ..Config::default() };
    let fleet = fleet_of(&["east", "east"], &["v1", "v2", "v1", "v2"], &config);
    let items: Vec<String> = (0..20).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "job", &items).status, 202);
    wait_until("items have generated events", || {
        let runs = fleet.runs("/batch/");
        runs.iter().filter(|run| run.started.elapsed() > EVENT_INTERVAL * 5).count() >= 8
    });
    (0..4).for_each(|n| fleet.set_software(n, Value::Null));
    std::thread::sleep(REGISTRY_DELAY);
    fleet.gateways[0].terminate();
    for result in &fleet.wait_results(1, "job") {
        let id = result["id"].as_str().expect("an id");
        let is_by = |software: &str| result["message"] == Runner::text_by(software, id, 40);
        assert!(is_by("v1") || is_by("v2"), "{result}");
    }
}

#[test]
fn stream_without_a_version_does_not_go_on_once_a_target_states_one() {
    let config = Config { slots: 1, ..Config::default() };
    let fleet = fleet_of(&["east", "east"], &["v1", "v2"], &config);
    fleet.runners.iter().for_each(|runner| runner.set_event_count(100));
    (0..2).for_each(|n| fleet.set_software(n, Value::Null));
    std::thread::sleep(REGISTRY_DELAY);
    let fronts = [0, 1].map(|n| fleet.gateways[n].front_address);
    let callers = at_once(2, |n| Caller::begin(fronts[0], &format!("busy-{n}"), 2));
    let (began_at_v1, others): (Vec<_>, Vec<_>) =
        callers.into_iter().partition(|(caller, _)| caller.began_at("v1"));
    let (mut caller, _stream) = began_at_v1.into_iter().next().expect("a stream of v1");
    let response = std::thread::scope(|scope| {
        let returned = scope.spawn(|| caller.finish(fronts[1]));
        // It waits, as both slots are taken.
        std::thread::sleep(REGISTRY_DELAY);
        fleet.set_software(1, json!("v2"));
        std::thread::sleep(REGISTRY_DELAY);
        drop(others);
        returned.join().expect("a response")
    });
    assert_eq!(response.status, 410, "{response:?}");
}

/// Either process may have run the stream, so its version is unknown.
#[test]
fn stream_whose_target_changed_its_version_meanwhile_is_not_taken_up() {
    let fleet = fleet(&["east", "east"], &["v1", "v1", "v2"]);
    fleet.runners.iter().for_each(|runner| runner.set_event_count(200));
    let fronts = [0, 1].map(|n| fleet.gateways[n].front_address);
    let mut callers = at_once(9, |n| Caller::begin(fronts[0], &format!("left-{n}"), 2));
    let unchanged = fleet.runners[1].runs();
    callers.retain(|(caller, _)| !unchanged.iter().any(|run| run.path.ends_with(&caller.id)));
    assert!(!callers.is_empty());
    fleet.set_software(0, json!("v2"));
    fleet.set_software(2, json!("v1"));
    std::thread::sleep(REGISTRY_DELAY);
    let callers: Vec<Caller> = callers.into_iter().map(|(caller, _)| caller).collect();
    // The gateway notices at the next event that its callers have left.
    std::thread::sleep(REGISTRY_DELAY);
    for mut caller in callers {
        let response = caller.finish(fronts[1]);
        assert_eq!(response.status, 410, "{response:?}");
    }
}

#[test]
fn broken_stream_is_cut_at_once_when_no_target_of_its_version_is_left() {
    let fleet = fleet(&["east"], &["v1", "v2", "v2"]);
    fleet.runners[0].set_faults(Faults { interrupted: 8, ..Faults::default() });
    let responses = call_at_once(&fleet, 8);
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

#[rstest]
#[case::unknown(&[("resumes", "nobody")])]
#[case::unnamed(&[])]
fn stream_of_an_unknown_attempt_goes_on_where_there_is_one_version(
    #[case] resumes: &[(&str, &str)],
) {
    let mut fleet = fleet(&["east", "east"], &["v1", "v1", "v2"]);
    let headers = [&[("last-event-id", "2")], resumes].concat();
    let take_up =
        |fleet: &Fleet, n: usize| fleet.send_with(n, "/talk/unknown", "unknown", &headers);
    // The targets of v1 are gone, and callers of their streams may return.
    (0..2).for_each(|n| fleet.remove_runner(n));
    std::thread::sleep(REGISTRY_DELAY);
    fleet.restart(1);
    fleet.wait_ready();
    std::thread::sleep(JOIN_PERIOD);
    assert_eq!([0, 1].map(|n| take_up(&fleet, n).status), [410, 410]);
    drop(fleet);
    let fleet = self::fleet(&["east", "east"], &["v1", "v1"]);
    std::thread::sleep(JOIN_PERIOD);
    let response = take_up(&fleet, 0);
    assert_eq!(
        event_data(&response),
        "unknown-3\nunknown-4\nunknown-5\nunknown-6\nunknown-7\nunknown-8"
    );
}

#[test]
fn instance_that_cannot_ask_the_others_runs_nothing_and_says_when_to_return() {
    let fleet = fleet(&["east", "east", "east"], &["v1", "v2", "v1", "v2"]);
    let fronts = [0, 2].map(|n| fleet.gateways[n].front_address);
    let mut callers = at_once(12, |n| Caller::begin(fronts[0], &format!("cut-{n}"), 2));
    cut_off(&fleet, 2);
    // The instance that is cut off stores the origins of some.
    let responses: Vec<_> =
        callers.iter_mut().map(|(caller, _)| caller.finish(fronts[1])).collect();
    complete(&responses);
    assert!(responses.iter().all(|r| matches!(r.status, 200 | 503)), "{responses:?}");
}

#[test]
fn stream_taken_up_waits_for_a_slot_of_its_version() {
    let config = |id: &str, software: &str, slots| Config {
        id: id.to_owned(),
        software: software.to_owned(),
        slots,
        event_count: EVENTS,
        event_interval: EVENT_INTERVAL * 3,
        ..Config::default()
    };
    let runners = vec![("east", config("r0", "v1", 1)), ("east", config("r1", "v2", 8))];
    let fleet = Fleet::start(Plan { gateways: vec!["east", "east"], runners, ..Plan::default() });
    let fronts = [0, 1].map(|n| fleet.gateways[n].front_address);
    // As many streams as there are slots.
    let callers = at_once(9, |n| Caller::begin(fronts[0], &format!("busy-{n}"), 2));
    let of_v1 = |(caller, _): &(Caller, TcpStream)| caller.began_at("v1");
    let (mut caller, stream) = callers.into_iter().find(of_v1).expect("a stream of v1");
    // The second attempt comes while the first still has the only slot.
    let response = caller.finish(fronts[1]);
    drop(stream);
    assert_eq!(complete(&[response]), 1);
}

#[test]
fn streams_go_on_anywhere_where_no_target_states_a_version() {
    let fleet = fleet(&["east", "east"], &["v1", "v1", "v1"]);
    (0..3).for_each(|n| fleet.set_software(n, Value::Null));
    std::thread::sleep(REGISTRY_DELAY);
    let (mut caller, stream) = Caller::begin(fleet.gateways[0].front_address, "left", 2);
    drop(stream);
    assert_eq!(complete(&[caller.finish(fleet.gateways[1].front_address)]), 1);
    wait_until("a broken stream is resumed", || {
        fleet.runners[0].set_faults(Faults { interrupted: 1, ..Faults::default() });
        let response = fleet.send(0, "/talk/broken", "broken");
        assert_eq!(event_data(&response), Runner::text("broken", EVENTS));
        fleet.runs("/talk/broken").iter().any(|run| run.last_event_id.is_some())
    });
}
