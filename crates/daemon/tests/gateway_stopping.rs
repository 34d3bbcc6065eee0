//! Stops of instances while batch jobs change hands or calls about them are in flight.

mod util;

use coordination::hash;
use daemon::gateway::message::{PeerReply, PeerRequest, encode};
use serde_json::json;
use standin::objects::Faults;
use state::progress::{Handoff, Holder, Job};
use std::time::Duration;
use util::batch::{LogLines, assert_results, slow_plan};
use util::client;
use util::gateway::{Fleet, HOST, Plan};
use util::peer::{PeerStandin, request};
use util::wait_until;

/// Id of an instance that no member knows.
const UNKNOWN_INSTANCE: u64 = 7;

/// Stores an open job that no instance knows.
fn store_job(fleet: &Fleet, id: &str, items: &[&str], holder: Holder) {
    let now = daemon::clock::millis();
    let job = Job {
        host: HOST.to_owned(),
        path: format!("/batch/{id}"),
        accepted: now,
        due: now + 5_000,
        expires: now + 60_000,
        accepted_by: holder,
        ..Job::example(id, items)
    };
    fleet.objects.put("gatespool-jobs", id, json!(job));
}

/// A holder at an address where nothing listens.
fn unknown_holder() -> Holder {
    Holder { instance: UNKNOWN_INSTANCE, address: "127.0.0.1:9".parse().expect("an address") }
}

/// Asks instances in turn to take a job over, as an instance that stops does, until one does.
fn hand_off(fleet: &Fleet, id: &str, to: &[usize]) -> Option<usize> {
    let takeover = PeerRequest::TakeOver(id.to_owned(), Handoff::default());
    let takes = |n: &usize| {
        let reply = request(fleet.gateways[*n].peer_address, &takeover);
        matches!(reply, Some(PeerReply::Acknowledged))
    };
    to.iter().copied().find(takes)
}

fn wait_for_line(fleet: &Fleet, n: usize, message: &str) {
    wait_until(message, || fleet.log(n).last_message(message).is_some());
}

/// Regression: an instance that was stopping acknowledged a takeover and exited before it had
/// the job, so that the job had no holder.
#[test]
fn stopping_instance_declines_a_takeover() {
    let fleet = Fleet::start(Plan::default());
    store_job(&fleet, "declined", &["a", "b"], unknown_holder());
    // Longer than the instance still runs.
    let latency = Duration::from_secs(1);
    fleet.objects.set_faults(Faults { latency, ..Faults::default() });
    fleet.gateways[0].terminate();
    wait_for_line(&fleet, 0, "stop ordered");
    assert_eq!(hand_off(&fleet, "declined", &[0, 1]), Some(1));
    fleet.objects.set_faults(Faults::default());
    assert_results(&fleet.wait_results(2, "declined"), &["a", "b"], 10);
}

/// Regression: a stop did not wait for a takeover that was acknowledged before it, so that the
/// job had no holder.
#[test]
fn takeover_in_progress_at_a_stop_is_passed_on() {
    let fleet = Fleet::start(Plan::default());
    store_job(&fleet, "passed", &["a", "b"], unknown_holder());
    let latency = Duration::from_secs(1);
    fleet.objects.set_faults(Faults { latency, ..Faults::default() });
    assert_eq!(hand_off(&fleet, "passed", &[0]), Some(0));
    fleet.gateways[0].terminate();
    // Longer than the grace period.
    std::thread::sleep(Duration::from_millis(600));
    fleet.objects.set_faults(Faults::default());
    assert_results(&fleet.wait_results(1, "passed"), &["a", "b"], 10);
}

/// Regression: a stopping instance took any reply for a takeover, so that what it knew of a
/// job and had not written was lost.
#[test]
fn declined_handoff_goes_to_the_next_instance() {
    let fleet = Fleet::start(slow_plan());
    let ids: Vec<u64> = (0..3).map(|n| fleet.instance_id(n)).collect();
    let ranks_first =
        |id: &u64| hash::owner(b"handed", ids.iter().copied().chain([*id])) == Some(*id);
    let id = (1_u64..).find(ranks_first).expect("an id");
    let peers = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    let standin = PeerStandin::join(id, "east", peers, encode(&PeerReply::Unavailable));
    wait_until("the stand-in is a member", || {
        fleet.log(0).last_message("members").is_some_and(|line| line["alive"] == 3)
    });
    assert_eq!(fleet.submit(0, "handed", &["a", "b"]).status, 202);
    wait_until("both items run", || fleet.runs("/batch/").len() == 2);
    std::thread::sleep(Duration::from_millis(400));
    fleet.gateways[0].terminate();
    assert_results(&fleet.wait_results(1, "handed"), &["a", "b"], 40);
    assert!(standin.takeover_requests() > 0);
    let runs = fleet.runs("/batch/");
    let resumed = runs.iter().filter(|run| run.last_event_id.is_some()).count();
    assert_eq!(resumed, 2, "{runs:?}");
}

/// The instance that a job of instance `from` is handed off to.
fn receiver(ids: &[u64], from: usize, job: &str) -> u64 {
    let others = ids.iter().copied().filter(|id| *id != ids[from]);
    hash::owner(job.as_bytes(), others).expect("other instances")
}

/// Members between two on the ring of ids.
fn distance(ids: &[u64], from: u64, to: u64) -> usize {
    let mut ring = ids.to_vec();
    ring.sort_unstable();
    let position = |id: u64| ring.iter().position(|other| *other == id).expect("a member");
    (position(to) + ring.len() - position(from)) % ring.len()
}

/// Regression: an instance that had not yet heard of a stop took the stopping holder for alive and
/// left it the job, so that the progress was lost and the job waited for the end of the process.
#[test]
fn handoff_is_taken_by_an_instance_that_has_not_heard_of_the_stop() {
    // Updates reach the last of eight others over three hops.
    const GATEWAYS: usize = 9;
    const LAST: usize = 7;
    let fleet = Fleet::start(Plan { gateways: vec!["east"; GATEWAYS], ..slow_plan() });
    let ids: Vec<u64> = (0..GATEWAYS).map(|n| fleet.instance_id(n)).collect();
    let is_far = |job: &String| distance(&ids, ids[0], receiver(&ids, 0, job)) == LAST;
    let jobs: Vec<String> = (0..).map(|n| format!("far-{n}")).filter(is_far).take(4).collect();
    for job in &jobs {
        assert_eq!(fleet.submit(0, job, &[job]).status, 202);
    }
    wait_until("all items run", || fleet.runs("/batch/").len() == jobs.len());
    std::thread::sleep(Duration::from_millis(400));
    fleet.gateways[0].terminate();
    for job in &jobs {
        assert_results(&fleet.wait_results(1, job), &[job], 40);
    }
    let runs = fleet.runs("/batch/");
    let resumed = runs.iter().filter(|run| run.last_event_id.is_some()).count();
    assert_eq!((runs.len(), resumed), (2 * jobs.len(), jobs.len()), "{runs:?}");
}

/// Regression: the notification of a holder that didn't know its job was lost and not repeated.
#[test]
fn holder_that_does_not_know_its_job_is_told_until_it_acknowledges() {
    let fleet = Fleet::start(Plan::default());
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    let holder = Holder { instance: fleet.instance_id(1), address: peers[1] };
    store_job(&fleet, "untold", &["a"], holder);
    fleet.gateways[0].set_unreachable(&peers[1..2]);
    std::thread::sleep(Duration::from_millis(80)); // The partition file is read every 50 ms.
    assert_eq!(hand_off(&fleet, "untold", &[0]), Some(0));
    wait_for_line(&fleet, 0, "job has a live holder");
    std::thread::sleep(Duration::from_millis(100));
    fleet.gateways[0].set_unreachable(&[]);
    assert_results(&fleet.wait_results(2, "untold"), &["a"], 10);
}

/// Regression: a stop did not wait for the end of a job that another instance held, and closed the
/// connection without a response.
#[test]
fn end_in_flight_at_a_stop_is_answered() {
    let fleet = Fleet::start(slow_plan());
    assert_eq!(fleet.submit(1, "ended", &["a", "b"]).status, 202);
    fleet.gateways[1].freeze();
    std::thread::scope(|scope| {
        let end = scope.spawn(|| fleet.end_job(0, "ended").status);
        std::thread::sleep(Duration::from_millis(200));
        fleet.gateways[0].terminate();
        assert_eq!(end.join().expect("a response"), 200);
    });
    fleet.gateways[1].thaw();
}

/// Regression: a stop did not wait for calls that wait for results at another instance, and
/// closed the connection without a response.
#[test]
fn results_awaited_at_a_stop_are_answered() {
    let fleet = Fleet::start(slow_plan());
    assert_eq!(fleet.submit(0, "awaited", &["a", "b"]).status, 202);
    std::thread::sleep(Duration::from_millis(200));
    let headers = [("host", HOST), ("x-gatespool-wait-ms", "1200")];
    let to = fleet.gateways[1].front_address;
    std::thread::scope(|scope| {
        let path = "/lots/awaited?since_rev=0";
        let read = scope.spawn(|| client::call("GET", to, path, &headers, Vec::new()).status);
        std::thread::sleep(Duration::from_millis(200));
        fleet.gateways[1].terminate();
        assert_eq!(read.join().expect("a response"), 200);
    });
}
