//! Streams that callers take up after all gateways were killed, where a version served while the
//! platform was unavailable: what two versions generate is never joined, and streams of a single
//! version go on.

mod util;

use rstest::rstest;
use std::time::{Duration, Instant};
use util::deployment::{Deployment, EVENTS, Outage};
use util::raw_caller::RawResponse;
use util::stream_caller::versions;

/// Longest time until the registry is up to date at all instances.
const REGISTRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which an instance that has just started knows all others.
const JOIN_DELAY: Duration = Duration::from_secs(2);
/// Longest time until the instance that keeps the list has written how far it reaches.
const CHECKPOINT_DELAY: Duration = Duration::from_secs(6);
/// Time after which members that don't reply count as lost.
const LOSS_DELAY: Duration = Duration::from_millis(1_500);

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
