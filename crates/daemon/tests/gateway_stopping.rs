//! Stops of instances while batch jobs change hands or calls about them are in flight.

mod util;

use coordination::hash;
use std::time::Duration;
use util::batch::{LogLines, assert_results, slow_plan};
use util::client;
use util::gateway::{Fleet, HOST, Plan};
use util::wait_until;

/// Id that the instance `n` has logged at its start.
fn instance_id(fleet: &Fleet, n: usize) -> u64 {
    let line = fleet.log(n).last_message("started").expect("a line");
    u64::from_str_radix(line["id"].as_str().expect("an id"), 16).expect("a number")
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
    let ids: Vec<u64> = (0..GATEWAYS).map(|n| instance_id(&fleet, n)).collect();
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
