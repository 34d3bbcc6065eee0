//! Streams that callers take up after all gateways were killed, where a version served while the
//! platform was unavailable: what two versions generate is never joined, and streams of a single
//! version go on.

mod util;

use rstest::rstest;
use standin::runner::Config;
use std::ops::Range;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan};
use util::proxy::{Mode, Proxy};
use util::raw_caller::RawResponse;
use util::stream_caller::{Caller, versions};
use util::wait_until;

const EVENTS: u64 = 60;
const RUNNERS: usize = 3;
const STREAMS: usize = 12;
/// Longest time until the registry is up to date at all instances.
const REGISTRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which an instance that has just started knows all others.
const JOIN_DELAY: Duration = Duration::from_secs(2);
/// Time within which a request is refused that can't be served.
const AT_ONCE: Duration = Duration::from_millis(600);
/// Longest time until the instance that keeps the list has written how far it reaches.
const CHECKPOINT_DELAY: Duration = Duration::from_secs(6);
/// Writes a second that the platform accepts.
const UNLIMITED: f64 = 1e9;
const NO_WRITES: f64 = 0.001;

/// Time after which members that don't reply count as lost.
const LOSS_DELAY: Duration = Duration::from_millis(1_500);

/// What the platform does to the gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    None,
    Silent,
    Resets,
    Slow,
    /// Slow, but in time for all calls.
    Delayed,
    RejectsWrites,
    /// Only the gateway of another data centre is served.
    SilentToOneDataCentre,
}

/// A fleet whose platform can fail for the gateways while runners reach it.
struct Deployment {
    fleet: Fleet,
    platform: Vec<Proxy>,
    callers: usize,
}

impl Deployment {
    /// Three gateways, and runners of v1.
    fn start() -> Deployment {
        Deployment::start_with("v1")
    }

    /// Three gateways, and runners of this version.
    fn start_with(software: &str) -> Deployment {
        let runner = |n: usize| {
            let config = Config {
                id: format!("r{n}"),
                software: software.to_owned(),
                slots: 16,
                event_count: EVENTS,
                event_interval: Duration::from_millis(20),
                ..Config::default()
            };
            (["east", "west"][n % 2], config)
        };
        let runners = (0..RUNNERS).map(runner).collect();
        let plan = Plan { runners, ..Plan::default() };
        let (fleet, platform) = Fleet::start_with_platform_proxies(plan);
        wait_until("the checkpoint is written", || {
            fleet.objects.get(platform::release::KIND, platform::release::CHECKPOINT).is_some()
        });
        Deployment { fleet, platform, callers: 0 }
    }

    fn set_outage(&self, outage: Outage) {
        let mode = match outage {
            Outage::Silent => Mode::Stall,
            Outage::Resets => Mode::Reset,
            Outage::Slow => Mode::Delay(Duration::from_millis(300)),
            Outage::Delayed => Mode::Delay(Duration::from_millis(120)),
            Outage::None | Outage::RejectsWrites => Mode::Pass,
            Outage::SilentToOneDataCentre => Mode::Stall,
        };
        let is_one_served = outage == Outage::SilentToOneDataCentre;
        let struck = self.platform.len() - usize::from(is_one_served);
        self.platform[..struck].iter().for_each(|proxy| proxy.set_mode(mode));
        let is_limited = outage == Outage::RejectsWrites;
        self.fleet.objects.set_write_rate(if is_limited { NO_WRITES } else { UNLIMITED });
    }

    /// Replaces all runners by others of this version.
    fn release(&self, software: &str) {
        for n in 0..RUNNERS {
            let earlier = self.fleet.replace_runner(n, software);
            self.fleet.register_replacement(n, &earlier);
        }
    }

    /// Streams that were broken off by their callers, at all instances in turn.
    fn begin(&mut self) -> Vec<Caller> {
        self.begin_at(0..self.fleet.gateways.len())
    }

    /// As above, at some instances. Every second caller doesn't name its attempt when it returns.
    fn begin_at(&mut self, gateways: Range<usize>) -> Vec<Caller> {
        self.callers += 1;
        let gateways = &self.fleet.gateways[gateways];
        let fronts: Vec<_> = gateways.iter().map(|g| g.front_address).collect();
        let begin = |n: usize| {
            let name = format!("left-{}-{n}", self.callers);
            let (mut caller, _) = Caller::begin(fronts[n % fronts.len()], &name, 2);
            caller.names_attempt = n.is_multiple_of(2);
            caller
        };
        (0..STREAMS).map(begin).collect()
    }

    fn kill_all(&mut self) {
        self.fleet.gateways.iter_mut().for_each(|gateway| gateway.kill());
    }

    /// Cuts a gateway off from the platform and all other gateways, or reconnects it.
    fn set_cut_off(&self, n: usize, is_cut_off: bool) {
        self.platform[n].set_mode(if is_cut_off { Mode::Stall } else { Mode::Pass });
        let peers: Vec<_> = self.fleet.gateways.iter().map(|g| g.peer_address).collect();
        for (other, gateway) in self.fleet.gateways.iter().enumerate() {
            let mut cut: Vec<_> = if other == n { peers.clone() } else { vec![peers[n]] };
            cut.retain(|peer| is_cut_off && *peer != gateway.peer_address);
            gateway.set_unreachable(&cut);
        }
    }

    fn restart_all(&mut self) {
        (0..self.fleet.gateways.len()).for_each(|n| self.fleet.restart(n));
        self.fleet.wait_ready();
    }

    /// Responses to the attempts that take the streams up, each at another instance.
    fn take_up(&self, callers: &mut [Caller]) -> Vec<RawResponse> {
        let fronts: Vec<_> = self.fleet.gateways.iter().map(|g| g.front_address).collect();
        let finish = |(n, caller): (usize, &mut Caller)| {
            let front = fronts[(n + 1) % fronts.len()];
            loop {
                let sent_at = Instant::now();
                let response = caller.finish(front);
                let is_refused = response.status != 200;
                assert!(!is_refused || sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
                if response.status != 503 {
                    return response;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        };
        let finish = &finish;
        std::thread::scope(|scope| {
            let callers = callers.iter_mut().enumerate();
            let threads: Vec<_> = callers.map(|each| scope.spawn(move || finish(each))).collect();
            threads.into_iter().map(|thread| thread.join().expect("a response")).collect()
        })
    }
}

#[track_caller]
fn assert_cannot_go_on(responses: &[RawResponse]) {
    let statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
    let joined = responses.iter().filter(|response| versions(&response.body).len() > 1).count();
    assert_eq!((joined, statuses), (0, vec![410; responses.len()]));
}

#[track_caller]
fn assert_go_on(responses: &[RawResponse]) {
    for response in responses {
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(versions(&response.body).len(), 1, "{response:?}");
        assert_eq!(response.body.matches("\n\n").count() as u64, EVENTS, "{response:?}");
    }
}

/// Guards against streams of a version that came during an outage going on at the earlier one.
#[rstest]
fn streams_of_a_version_that_came_during_an_outage_end(
    #[values(
        Outage::None,
        Outage::Silent,
        Outage::Resets,
        Outage::Slow,
        Outage::RejectsWrites,
        Outage::SilentToOneDataCentre
    )]
    outage: Outage,
) {
    let mut deployment = Deployment::start();
    deployment.release("v2");
    std::thread::sleep(REGISTRY_DELAY / 2);
    deployment.set_outage(outage);
    let mut callers = deployment.begin();
    deployment.kill_all();
    deployment.release("v1");
    deployment.set_outage(Outage::None);
    deployment.restart_all();
    std::thread::sleep(JOIN_DELAY);
    assert_cannot_go_on(&deployment.take_up(&mut callers));
}

/// The platform is still slow when the instances come back.
#[test]
fn streams_of_a_version_that_came_during_an_outage_end_though_the_platform_stays_slow() {
    let mut deployment = Deployment::start();
    deployment.release("v2");
    std::thread::sleep(REGISTRY_DELAY / 2);
    deployment.set_outage(Outage::RejectsWrites);
    let mut callers = deployment.begin();
    deployment.kill_all();
    deployment.release("v1");
    deployment.set_outage(Outage::Delayed);
    deployment.restart_all();
    assert_cannot_go_on(&deployment.take_up(&mut callers));
}

/// An instance that was cut off survives all those that knew the version.
#[test]
fn streams_of_a_version_that_a_survivor_has_not_seen_end() {
    let mut deployment = Deployment::start();
    let survivor = deployment.fleet.gateways.len() - 1;
    let front = deployment.fleet.gateways[survivor].front_address;
    std::thread::sleep(JOIN_DELAY);
    deployment.set_cut_off(survivor, true);
    std::thread::sleep(LOSS_DELAY);
    deployment.release("v2");
    std::thread::sleep(REGISTRY_DELAY);
    let mut callers = deployment.begin_at(0..survivor);
    (0..survivor).for_each(|n| deployment.fleet.gateways[n].kill());
    deployment.release("v1");
    deployment.set_cut_off(survivor, false);
    (0..survivor).for_each(|n| deployment.fleet.restart(n));
    deployment.fleet.wait_ready();
    std::thread::sleep(JOIN_DELAY);
    let responses: Vec<_> =
        callers.iter_mut().map(|caller| caller.finish_patiently(front)).collect();
    assert_cannot_go_on(&responses);
}

/// Targets that state no version are replaced by others that do.
#[test]
fn streams_of_targets_without_a_version_end_at_targets_with_one() {
    let mut deployment = Deployment::start_with("");
    let mut callers = deployment.begin();
    deployment.kill_all();
    deployment.release("v1");
    deployment.restart_all();
    std::thread::sleep(JOIN_DELAY);
    assert_cannot_go_on(&deployment.take_up(&mut callers));
}

/// As above, where the version came while all gateways were down, and no stream was refused.
#[test]
fn streams_of_a_version_that_came_while_all_instances_were_down_end() {
    let mut deployment = Deployment::start();
    deployment.kill_all();
    deployment.release("v2");
    deployment.set_outage(Outage::RejectsWrites);
    deployment.restart_all();
    let mut callers = deployment.begin();
    deployment.kill_all();
    deployment.release("v1");
    deployment.set_outage(Outage::None);
    deployment.restart_all();
    std::thread::sleep(JOIN_DELAY);
    assert_cannot_go_on(&deployment.take_up(&mut callers));
}

/// Two releases in series, each beside an outage and before a loss of all gateways.
#[rstest]
fn streams_end_after_two_releases_beside_outages(
    #[values(Outage::Silent, Outage::RejectsWrites)] outage: Outage,
) {
    let mut deployment = Deployment::start();
    let mut callers = Vec::new();
    for software in ["v2", "v3"] {
        deployment.release(software);
        std::thread::sleep(REGISTRY_DELAY / 2);
        deployment.set_outage(outage);
        callers.extend(deployment.begin());
        deployment.kill_all();
        deployment.release("v1");
        deployment.set_outage(Outage::None);
        deployment.restart_all();
    }
    std::thread::sleep(JOIN_DELAY);
    assert_cannot_go_on(&deployment.take_up(&mut callers));
}

/// The platform no longer has the changes that would show the version.
#[test]
fn streams_of_a_version_that_left_no_trace_end() {
    let mut deployment = Deployment::start();
    deployment.release("v2");
    std::thread::sleep(REGISTRY_DELAY / 2);
    deployment.set_outage(Outage::RejectsWrites);
    let mut callers = deployment.begin();
    deployment.kill_all();
    deployment.release("v1");
    deployment.fleet.objects.compact_history();
    deployment.set_outage(Outage::None);
    // A second loss of all must not make the first forgotten.
    deployment.restart_all();
    std::thread::sleep(CHECKPOINT_DELAY);
    deployment.kill_all();
    deployment.restart_all();
    std::thread::sleep(JOIN_DELAY);
    assert_cannot_go_on(&deployment.take_up(&mut callers));
}

/// Guards against a checkpoint of another writer that claims to cover all changes to come.
#[rstest]
fn streams_of_an_unlisted_version_end_beside_an_odd_checkpoint(
    #[values(u64::MAX, 1 << 53)] through: u64,
) {
    let mut deployment = Deployment::start();
    deployment.kill_all();
    deployment.release("v2");
    deployment.set_outage(Outage::RejectsWrites);
    deployment.restart_all();
    let mut callers = deployment.begin();
    deployment.kill_all();
    deployment.release("v1");
    let checkpoint = serde_json::json!({ "complete_since": 0, "through": through });
    let (kind, name) = (platform::release::KIND, platform::release::CHECKPOINT);
    deployment.fleet.objects.put(kind, name, checkpoint);
    deployment.set_outage(Outage::None);
    deployment.restart_all();
    std::thread::sleep(JOIN_DELAY);
    assert_cannot_go_on(&deployment.take_up(&mut callers));
}

/// Guards against entries of another writer that make the changes too large to be read.
#[test]
fn streams_of_a_single_version_go_on_beside_entries_with_long_texts() {
    let mut deployment = Deployment::start();
    for n in 0..12 {
        let entry = serde_json::json!({ "version": "v".repeat(900_000) });
        deployment.fleet.objects.put(platform::target::KIND, &format!("odd-{n}"), entry);
    }
    let mut callers = deployment.begin();
    deployment.kill_all();
    deployment.restart_all();
    std::thread::sleep(JOIN_DELAY);
    assert_go_on(&deployment.take_up(&mut callers));
}

/// Guards against a refusal of all streams once the platform was away.
#[rstest]
fn streams_of_a_single_version_go_on_after_an_outage_and_a_loss_of_all_instances(
    #[values(Outage::None, Outage::Silent, Outage::Resets, Outage::Slow, Outage::RejectsWrites)]
    outage: Outage,
) {
    let mut deployment = Deployment::start();
    deployment.set_outage(outage);
    let mut callers = deployment.begin();
    deployment.kill_all();
    deployment.set_outage(Outage::None);
    deployment.restart_all();
    assert_go_on(&deployment.take_up(&mut callers));
}

/// The history lapses on an idle platform, or beside changes that the gateways have seen.
#[rstest]
#[case::idle(true)]
#[case::busy(false)]
fn streams_of_a_single_version_go_on_after_the_history_was_dropped_before_the_loss(
    #[case] is_idle: bool,
) {
    let mut deployment = Deployment::start();
    if is_idle {
        std::thread::sleep(CHECKPOINT_DELAY);
        deployment.fleet.objects.compact_history();
    } else {
        deployment.fleet.objects.compact_history();
        deployment.fleet.configure(8);
        std::thread::sleep(CHECKPOINT_DELAY);
    }
    let mut callers = deployment.begin();
    deployment.kill_all();
    deployment.restart_all();
    assert_go_on(&deployment.take_up(&mut callers));
}

/// Guards against a wait of new streams for a platform that is away.
#[test]
fn streams_begin_at_a_new_version_during_an_outage_without_a_wait() {
    let mut deployment = Deployment::start();
    deployment.release("v2");
    std::thread::sleep(REGISTRY_DELAY / 2);
    deployment.set_outage(Outage::Silent);
    let since = Instant::now();
    let mut callers = deployment.begin();
    assert!(since.elapsed() < Duration::from_millis(2_500), "{:?}", since.elapsed());
    // Two versions have served, so an attempt must be named.
    callers.iter_mut().for_each(|caller| caller.names_attempt = true);
    assert_go_on(&deployment.take_up(&mut callers));
}
