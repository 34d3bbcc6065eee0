//! Streams of a version that an instance has not seen, as it was out of step while the version
//! came: they are never joined to another version, and go on where that is possible.

mod util;

use rstest::rstest;
use standin::runner::Config;
use std::ops::Range;
use std::time::{Duration, Instant};
use util::client;
use util::deployment::{Deployment, EVENTS};
use util::gateway::{Fleet, Plan};
use util::port::ReservedPort;
use util::proxy::Mode;
use util::raw_caller::RawResponse;
use util::stream_caller::{Caller, versions};

/// Longest time until the registry is up to date at all instances.
const REGISTRY_DELAY: Duration = Duration::from_millis(500);
/// Time after its start within which an instance may not know all others.
const JOIN_PERIOD: Duration = Duration::from_secs(2);
/// Time within which an instance that is in step again decides on all streams.
const RETURN_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which an instance stands still once callers have returned to it.
const FROZEN_FOR: Duration = Duration::from_millis(100);
const JOINING_RUNNERS: usize = 3;
const STREAMS: usize = 24;
/// The instance that is out of step.
const STRUCK: usize = 2;

/// Why an instance is out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// No peer nor the platform replies.
    CutOff,
    /// No peer replies, and the platform resets connections.
    Resets,
    /// No peer replies.
    CutOffFromPeers,
    /// The platform doesn't reply.
    CutOffFromPlatform,
    /// The process stands still.
    Frozen,
}

impl Fault {
    fn strike(self, deployment: &Deployment, is_on: bool) {
        let mode = match self {
            Fault::CutOff | Fault::CutOffFromPlatform if is_on => Mode::Stall,
            Fault::Resets if is_on => Mode::Reset,
            _ => Mode::Pass,
        };
        deployment.set_platform(STRUCK, mode);
        let is_cut = matches!(self, Fault::CutOff | Fault::Resets | Fault::CutOffFromPeers);
        deployment.set_cut_off_from_peers(STRUCK, is_cut && is_on);
        match (self, is_on) {
            (Fault::Frozen, true) => deployment.fleet.gateways[STRUCK].freeze(),
            (Fault::Frozen, false) => deployment.fleet.gateways[STRUCK].thaw(),
            _ => {}
        }
    }
}

/// Calls `each` for all callers at once.
fn at_once<T: Send>(callers: &mut [Caller], each: impl Fn(&mut Caller) -> T + Sync) -> Vec<T> {
    let each = &each;
    std::thread::scope(|scope| {
        let threads: Vec<_> = callers.iter_mut().map(|c| scope.spawn(move || each(c))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a thread")).collect()
    })
}

/// Streams that began at `software` through all instances but the last one.
fn begin(deployment: &Deployment, software: &str) -> Vec<Caller> {
    begin_at(deployment, 0..STRUCK, software)
}

/// Streams that began at `software` through some instances.
fn begin_at(deployment: &Deployment, gateways: Range<usize>, software: &str) -> Vec<Caller> {
    let gateways = &deployment.fleet.gateways[gateways];
    let fronts: Vec<_> = gateways.iter().map(|g| g.front_address).collect();
    let wave = |wave: usize| -> Vec<Caller> {
        std::thread::scope(|scope| {
            let begin = |n: usize| {
                let (front, name) = (fronts[n % fronts.len()], format!("left-{wave}-{n}"));
                scope.spawn(move || Caller::begin(front, &name, 2).0)
            };
            let threads: Vec<_> = (0..STREAMS).map(begin).collect();
            threads.into_iter().map(|thread| thread.join().expect("a stream")).collect()
        })
    };
    let waves = (0..20).map(wave);
    let mut begun = waves.map(|mut callers| {
        callers.retain(|caller| caller.began_at(software));
        callers
    });
    begun.find(|callers| callers.len() >= STREAMS / 4).expect("streams at the version")
}

/// Responses at the struck instance, which may say for up to `patience` that callers may return.
fn take_up(
    deployment: &Deployment,
    callers: &mut [Caller],
    patience: Duration,
) -> Vec<RawResponse> {
    let front = deployment.fleet.gateways[STRUCK].front_address;
    at_once(callers, |caller| {
        let since = Instant::now();
        loop {
            let response = caller.finish(front);
            if response.status != 503 || since.elapsed() >= patience {
                return response;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    })
}

/// Checks that no response joins versions, and returns the statuses.
#[track_caller]
fn statuses(responses: &[RawResponse]) -> Vec<u16> {
    let joined = responses.iter().filter(|response| versions(&response.body).len() > 1).count();
    let statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
    assert_eq!(joined, 0, "of {}: {statuses:?}", responses.len());
    let is_whole = |r: &RawResponse| r.body.matches("\n\n").count() as u64 == EVENTS;
    assert!(responses.iter().all(|r| r.status != 200 || is_whole(r)), "{responses:?}");
    statuses
}

/// Checks the responses of an instance that is out of step.
#[track_caller]
fn check(responses: &[RawResponse], is_named: bool) {
    let statuses = statuses(responses);
    let wrong = if is_named { 410 } else { 200 };
    assert!(!statuses.contains(&wrong), "while it is out of step: {statuses:?}");
}

/// Guards against taking the only version that is known for the only one there is, and against
/// an end of streams that can go on elsewhere.
#[rstest]
fn streams_of_a_version_that_came_unseen_are_not_joined(
    #[values(
        Fault::CutOff,
        Fault::Resets,
        Fault::CutOffFromPeers,
        Fault::CutOffFromPlatform,
        Fault::Frozen
    )]
    fault: Fault,
    #[values(Duration::from_millis(50), Duration::from_millis(2_500))] lead: Duration,
    #[values(true, false)] is_named: bool,
) {
    let gateways = ["east", "east", "west"];
    let deployment = Deployment::start_beside(&gateways, "v1", JOINING_RUNNERS);
    std::thread::sleep(JOIN_PERIOD + REGISTRY_DELAY);
    fault.strike(&deployment, true);
    std::thread::sleep(lead);
    deployment.join("v2");
    let mut callers = begin(&deployment, "v2");
    callers.iter_mut().for_each(|caller| caller.names_attempt = is_named);
    if fault == Fault::Frozen {
        std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(FROZEN_FOR);
                fault.strike(&deployment, false);
            });
            check(&take_up(&deployment, &mut callers, Duration::ZERO), is_named);
        });
    } else {
        check(&take_up(&deployment, &mut callers, Duration::ZERO), is_named);
        fault.strike(&deployment, false);
    }
    let healed = statuses(&take_up(&deployment, &mut callers, RETURN_TIMEOUT));
    assert_eq!(healed, vec![if is_named { 200 } else { 410 }; healed.len()], "in step again");
}

/// Guards against an end of streams whose target the instance that began them hadn't heard of: an
/// allocator knew it earlier.
#[test]
fn streams_of_a_target_that_their_instance_has_not_seen_go_on() {
    let deployment = Deployment::start_beside(&["north", "east", "west"], "v1", JOINING_RUNNERS);
    std::thread::sleep(JOIN_PERIOD + REGISTRY_DELAY);
    // Instance 0 asks the others for slots, and hears nothing else of the runners.
    let gateways = &deployment.fleet.gateways;
    deployment.set_platform(0, Mode::Stall);
    gateways[1..].iter().for_each(|g| g.set_unreachable(&[gateways[0].peer_address]));
    std::thread::sleep(Duration::from_millis(100));
    deployment.join("v2");
    let mut callers = begin_at(&deployment, 0..1, "v2");
    let has_seen = deployment
        .fleet
        .log(0)
        .iter()
        .any(|line| line["software"] == "v2" && line["msg"] == "target");
    assert!(!has_seen, "instance 0 has heard of the runners");
    gateways[1..].iter().for_each(|g| g.set_unreachable(&[]));
    deployment.set_platform(0, Mode::Pass);
    let responses = statuses(&take_up(&deployment, &mut callers, RETURN_TIMEOUT));
    assert_eq!(responses, vec![200; responses.len()]);
}

/// Guards against a refusal of streams of the only version while peers don't reply.
#[rstest]
fn streams_of_a_single_version_go_on_at_an_instance_without_peers(
    #[values(Duration::from_millis(50), Duration::from_millis(2_500))] lead: Duration,
    #[values(true, false)] is_named: bool,
) {
    let deployment = Deployment::start();
    std::thread::sleep(JOIN_PERIOD + REGISTRY_DELAY);
    let mut callers = begin(&deployment, "v1");
    // As many as the runner of its data centre has slots for: others are granted elsewhere.
    callers.truncate(STREAMS / 2);
    callers.iter_mut().for_each(|caller| caller.names_attempt = is_named);
    Fault::CutOffFromPeers.strike(&deployment, true);
    std::thread::sleep(lead);
    let responses = statuses(&take_up(&deployment, &mut callers, Duration::from_secs(2)));
    assert_eq!(responses, vec![200; responses.len()]);
}

/// Guards against a platform call for each of many streams that are taken up at one moment.
#[test]
fn streams_that_are_taken_up_at_once_share_platform_calls() {
    let port = ReservedPort::any();
    let runner =
        Config { slots: 64, event_count: EVENTS, software: "v1".into(), ..Config::default() };
    let (fleet, platform) = Fleet::start_with_platform_proxies(Plan {
        gateways: vec!["east"],
        runners: vec![("east", runner)],
        settings: vec![format!("metrics.listen = {}", port.address)],
        ..Plan::default()
    });
    let front = fleet.gateways[0].front_address;
    let begin = |n: usize| Caller::begin(front, &format!("left-{n}"), 2).0;
    let mut callers: Vec<Caller> = (0..STREAMS).map(begin).collect();
    callers.iter_mut().for_each(|caller| caller.names_attempt = false);
    // The version has been listed, and the checkpoint written.
    std::thread::sleep(Duration::from_secs(6));
    // All callers come during the first call.
    platform[0].set_mode(Mode::Delay(Duration::from_millis(15)));
    let calls = || {
        let response = client::get(port.address, "/metrics");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let count = text.lines().find_map(|line| {
            line.strip_prefix("gatespool_platform_calls{cause=\"release\"} ")?.parse().ok()
        });
        count.unwrap_or(0_u64)
    };
    for (batch, most) in [("first", 4), ("second", 2)] {
        let before = calls();
        let responses = at_once(&mut callers, |caller| caller.finish(front));
        let calls = calls() - before;
        println!("{batch} batch of {STREAMS}: {calls} platform calls");
        assert_eq!(statuses(&responses), vec![200; STREAMS]);
        // Those that come during a read share the next one.
        assert!(calls <= most, "{batch}: {calls}");
    }
}
