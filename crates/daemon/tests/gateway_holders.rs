//! Ownership of batch jobs when holders are killed, stopped, frozen or unreachable.

mod util;

use serde_json::Value;
use standin::objects::Faults;
use standin::runner::Config;
use std::time::{Duration, Instant};
use util::batch::{LogLines, assert_results, slow_plan};
use util::gateway::{Fleet, Plan, submit_to};
use util::proxy::Mode;
use util::wait_until;

/// How long the outcome of a job is kept.
const RETENTION_S: u64 = 3;

#[test]
fn killed_holder_loses_no_item_and_keeps_result_positions() {
    let mut fleet = Fleet::start(slow_plan());
    let items = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    assert_eq!(fleet.submit(0, "orphan", &items).status, 202);
    wait_until("some results are durable", || {
        let response = fleet.results(1, "orphan", 0);
        response.status == 200 && !response.json()["results"].as_array().expect("a list").is_empty()
    });
    let before = fleet.results(1, "orphan", 0).json()["results"].clone();
    let before = before.as_array().expect("a list").clone();
    fleet.gateways[0].kill();
    let after = fleet.wait_results(2, "orphan");
    assert_eq!(after[..before.len()], before[..]);
    assert_results(&after, &items, 40);
}

/// Time after which the others have given up an instance that they don't reach, and have looked for
/// its jobs.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(5);

/// A fleet whose instance 2, which the others had given up, has accepted a job and was killed.
fn fleet_with_job_of_a_lost_instance() -> Fleet {
    let mut fleet = Fleet::start(slow_plan());
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    fleet.gateways[2].set_unreachable(&peers[..2]);
    fleet.gateways[..2].iter().for_each(|gateway| gateway.set_unreachable(&peers[2..]));
    std::thread::sleep(GIVEN_UP_AFTER);
    assert_eq!(fleet.submit(2, "last", &["a", "b"]).status, 202);
    fleet.gateways[2].kill();
    fleet.gateways.iter().for_each(|gateway| gateway.set_unreachable(&[]));
    fleet
}

/// Regression: the others had looked for its jobs before, and did so again after a minute only.
#[test]
fn job_accepted_by_a_lost_instance_is_taken_over_once_it_is_read() {
    let fleet = fleet_with_job_of_a_lost_instance();
    assert_results(&fleet.wait_results(0, "last"), &["a", "b"], 40);
}

/// As above, though nobody reads the job.
#[test]
fn job_accepted_by_a_lost_instance_is_taken_over_once_that_is_replaced() {
    let mut fleet = fleet_with_job_of_a_lost_instance();
    fleet.restart(2);
    wait_until("both items have run", || {
        fleet.runs("/batch/").iter().filter(|run| run.is_complete).count() == 2
    });
}

#[test]
fn restart_of_all_instances_loses_no_job() {
    let mut fleet = Fleet::start(slow_plan());
    assert_eq!(fleet.submit(1, "herd", &["a", "b", "c", "d"]).status, 202);
    for gateway in &mut fleet.gateways {
        gateway.kill();
    }
    for n in 0..3 {
        fleet.restart(n);
    }
    assert_results(&fleet.wait_results(0, "herd"), &["a", "b", "c", "d"], 40);
}

#[test]
fn planned_stop_hands_off_runs_that_resume() {
    let fleet = Fleet::start(slow_plan());
    assert_eq!(fleet.submit(0, "handed", &["a", "b"]).status, 202);
    wait_until("both items run", || fleet.runs("/batch/").len() == 2);
    std::thread::sleep(Duration::from_millis(400));
    fleet.gateways[0].terminate();
    assert_results(&fleet.wait_results(1, "handed"), &["a", "b"], 40);
    let runs = fleet.runs("/batch/");
    let resumed = runs.iter().filter(|run| run.last_event_id.is_some()).count();
    assert_eq!((runs.len(), resumed), (4, 2), "{runs:?}");
}

/// Regression: after a restart of all instances, no job was taken over before the whole list
/// of jobs had been read, which takes seconds on slow links.
#[test]
fn jobs_are_taken_over_while_the_job_list_is_still_being_read() {
    let mut fleet = Fleet::start(slow_plan());
    for n in 0..8 {
        assert_eq!(fleet.submit(n % 3, &format!("{n}-job"), &["a", "b"]).status, 202);
    }
    for n in 0..3 {
        fleet.gateways[n].kill();
    }
    fleet.objects.set_page_size(1);
    let latency = Duration::from_millis(150);
    fleet.objects.set_faults(Faults { latency, ..Faults::default() });
    for n in 0..3 {
        fleet.restart(n);
    }
    let is_list_read = |line: &Value| line["msg"] == "job scan finished" && line["jobs"] == 8;
    let is_taken_over = |line: &Value| line["msg"] == "job taken over";
    wait_until("the job list is read", || first_time(&fleet, is_list_read).is_some());
    wait_until("a job is taken over", || first_time(&fleet, is_taken_over).is_some());
    assert!(first_time(&fleet, is_taken_over) < first_time(&fleet, is_list_read));
}

/// Timestamp of the first matching line in the logs of all gateways.
fn first_time(fleet: &Fleet, is_match: impl Fn(&Value) -> bool) -> Option<String> {
    let lines = (0..fleet.gateways.len()).flat_map(|n| fleet.log(n));
    let times =
        lines.filter(|line| is_match(line)).map(|line| line["ts"].as_str().map(str::to_owned));
    times.flatten().min()
}

/// Regression: a job was ended at an instance that didn't know the holder as a member just
/// after a network partition, so the holder wasn't notified and kept running items.
#[test]
fn holder_not_known_as_a_member_is_notified_of_the_end_of_its_job() {
    let fleet = Fleet::start(slow_plan());
    // More than are run by the end of the test, however slow it is.
    let items: Vec<String> = (0..200).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "cut", &items).status, 202);
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    fleet.gateways[2].set_unreachable(&peers[..2]);
    fleet.gateways[0].set_unreachable(&peers[2..]);
    fleet.gateways[1].set_unreachable(&peers[2..]);
    // A suspected instance is still a member and would be notified.
    let has_lost_both = |line: Value| line["lost"] == 2;
    wait_until("gateway 2 has lost both others", || {
        fleet.log(2).last_message("members").is_some_and(has_lost_both)
    });
    // Ended before the partition heals: afterwards the members may be back at any moment.
    assert_eq!(fleet.end_job(2, "cut").status, 200);
    fleet.gateways.iter().for_each(|gateway| gateway.set_unreachable(&[]));
    wait_until("the holder is notified", || {
        fleet.log(0).last_message("job ended elsewhere").is_some()
    });
}

/// Regression: a holder that was briefly unreachable while its job was ended at another
/// instance wasn't notified once it was reachable again, and kept running items.
#[test]
fn holder_unreachable_at_the_end_of_its_job_is_notified_later() {
    let fleet = Fleet::start(slow_plan());
    assert_eq!(fleet.submit(0, "cut", &["a", "b"]).status, 202);
    let holder = [fleet.gateways[0].peer_address];
    fleet.gateways[1..].iter().for_each(|gateway| gateway.set_unreachable(&holder));
    std::thread::sleep(Duration::from_millis(80)); // The partition file is read every 50 ms.
    assert_eq!(fleet.end_job(1, "cut").status, 200);
    std::thread::sleep(Duration::from_millis(300));
    assert!(fleet.log(0).last_message("job ended elsewhere").is_none());
    fleet.gateways.iter().for_each(|gateway| gateway.set_unreachable(&[]));
    wait_until("the holder is notified", || {
        fleet.log(0).last_message("job ended elsewhere").is_some()
    });
}

/// Regression: a holder that had detected the takeover of its job still wrote results, which
/// the new holder didn't know and so didn't list.
#[test]
fn holder_writes_nothing_after_it_detects_a_takeover() {
    let single_slot = |id: &str| Config { id: id.to_owned(), slots: 1, ..Config::default() };
    let runners = vec![("east", single_slot("r0")), ("west", single_slot("r1"))];
    let fleet = Fleet::start(Plan { runners, ..Plan::default() });
    // Each item takes about 0.06 s on two slots; results are written after 1.5 s.
    let items: Vec<String> = (0..60).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "taken", &items).status, 202);
    wait_until("some items are completed", || fleet.runs("/batch/").len() > 8);
    fleet.gateways[0].freeze();
    let is_taken_over = |n: usize| fleet.log(n).last_message("job taken over").is_some();
    wait_until("another instance takes over", || is_taken_over(1) || is_taken_over(2));
    fleet.gateways[0].thaw();
    wait_until("the old holder detects the takeover", || {
        fleet.log(0).last_message("job taken over elsewhere").is_some()
    });
    let results = fleet.wait_results(1, "taken");
    assert_eq!(results.len(), items.len());
    let lines = fleet.log(0);
    let detected = lines.iter().position(|line| line["msg"] == "job taken over elsewhere");
    let after = &lines[detected.expect("the takeover was detected")..];
    assert!(!after.iter().any(|line| line["msg"] == "results durable"), "{after:?}");
}

/// Regression: a job was stored by a write whose response was lost, and accepted by another
/// instance. Its holder was notified, couldn't read it at that moment and gave up, so that it
/// never ran.
#[test]
fn holder_retries_to_read_its_job() {
    let (fleet, proxies) = Fleet::start_with_platform_proxies(Plan::default());
    let write_delay = Duration::from_millis(300);
    fleet.objects.set_faults(Faults { delayed_writes: 1, write_delay, ..Faults::default() });
    std::thread::scope(|scope| {
        let first = scope.spawn(|| fleet.submit(0, "lying", &["a"]).status);
        std::thread::sleep(Duration::from_millis(150));
        proxies[0].set_mode(Mode::Stall);
        // Accepted if another instance confirms the write; otherwise the outcome is unknown.
        assert!(matches!(first.join().expect("a response"), 202 | 502));
    });
    assert_eq!(fleet.submit(1, "lying", &["a"]).status, 202);
    wait_until("the holder can't read the job", || {
        fleet.log(0).last_message("job not taken over").is_some()
    });
    proxies[0].set_mode(Mode::Pass);
    assert_results(&fleet.wait_results(1, "lying"), &["a"], 10);
}

/// Regression: as above, but the holder was unreachable when it was to be notified.
#[test]
fn notification_of_an_unreachable_holder_is_retried() {
    let fleet = Fleet::start(Plan::default());
    let write_delay = Duration::from_millis(300);
    fleet.objects.set_faults(Faults { delayed_writes: 1, write_delay, ..Faults::default() });
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    let isolate_from = |addresses: &[std::net::SocketAddr]| {
        fleet.gateways[1..].iter().for_each(|gateway| gateway.set_unreachable(addresses));
        std::thread::sleep(Duration::from_millis(80)); // The partition file is read every 50 ms.
    };
    std::thread::scope(|scope| {
        // No instance can read the platform, so the outcome is unknown and the holder gives up.
        let first = scope.spawn(|| fleet.submit(0, "untold", &["a"]).status);
        std::thread::sleep(Duration::from_millis(150));
        fleet.objects.set_faults(Faults { unresponsive: true, ..Faults::default() });
        assert_eq!(first.join().expect("a response"), 502);
    });
    fleet.objects.set_faults(Faults::default());
    std::thread::sleep(Duration::from_millis(1_500));
    isolate_from(&peers[..1]);
    assert_eq!(fleet.submit(1, "untold", &["a"]).status, 202);
    isolate_from(&[]);
    assert_results(&fleet.wait_results(1, "untold"), &["a"], 10);
}

/// Regression: an instance stopped during a network partition exited without handing off its
/// jobs; a job that it had accepted alone wasn't found for a minute.
#[test]
fn partitioned_instance_hands_off_its_jobs_once_peers_are_reachable() {
    let fleet = Fleet::start(slow_plan());
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    fleet.gateways[0].set_unreachable(&peers[1..]);
    fleet.gateways[1].set_unreachable(&peers[..1]);
    fleet.gateways[2].set_unreachable(&peers[..1]);
    let has_lost = |line: Value, lost| line["lost"] == lost;
    for (n, lost) in [(0, 2), (1, 1), (2, 1)] {
        wait_until("the partition is detected", || {
            fleet.log(n).last_message("members").is_some_and(|line| has_lost(line, lost))
        });
    }
    // Waits until the job scan that follows a loss of members is over.
    std::thread::sleep(Duration::from_millis(3_500));
    assert_eq!(fleet.submit(0, "alone", &["a"]).status, 202);
    fleet.gateways[0].terminate();
    std::thread::sleep(Duration::from_millis(500));
    fleet.gateways.iter().for_each(|gateway| gateway.set_unreachable(&[]));
    assert_results(&fleet.wait_results(2, "alone"), &["a"], 40);
}

/// Regression: a permanent failure that the holder hadn't written yet was lost when it
/// stopped, so the item ran again under each new holder.
#[test]
fn permanently_failed_item_runs_once_across_a_handoff() {
    let (fleet, proxies) = Fleet::start_with_platform_proxies(slow_plan());
    fleet.runners.iter().for_each(|runner| runner.fail_id("never", 422));
    assert_eq!(fleet.submit(0, "handed", &["never", "a", "b"]).status, 202);
    wait_until("the failing item ran", || !fleet.runs("/batch/never").is_empty());
    // The holder learns of the failure, but can't write it to the platform.
    proxies[0].set_mode(Mode::Stall);
    std::thread::sleep(Duration::from_millis(100));
    fleet.gateways[0].terminate();
    let results = fleet.wait_results(1, "handed");
    let failed: Vec<&Value> =
        results.iter().filter(|result| result["state"] == "errored").collect();
    assert_eq!(failed.len(), 1, "{results:?}");
    assert_eq!(failed[0]["id"], "never");
    assert_eq!(fleet.runs("/batch/never").len(), 1);
}

/// Regression: as above, but another instance had taken over the job while the holder was
/// unreachable. The old holder sends its unwritten progress once it can.
#[test]
fn overtaken_holder_sends_its_unwritten_progress() {
    let fleet = Fleet::start(slow_plan());
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    // Two items per slot, so that some are running all the time.
    let items: Vec<String> = (10..26).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "taken", &items).status, 202);
    fleet.gateways[0].set_unreachable(&peers[1..]);
    fleet.gateways[1].set_unreachable(&peers[..1]);
    fleet.gateways[2].set_unreachable(&peers[..1]);
    wait_until("the old holder detects the takeover", || {
        fleet.log(0).last_message("job taken over elsewhere").is_some()
    });
    fleet.gateways.iter().for_each(|gateway| gateway.set_unreachable(&[]));
    wait_until("the progress is sent", || fleet.log(0).last_message("handoff sent").is_some());
    assert_results(&fleet.wait_results(1, "taken"), &items, 40);
}

/// Regression: a stop did not wait for a submission whose first write got no response, and no
/// instance was notified of a job that it accepted after the hand-off.
#[test]
fn submission_in_flight_at_a_stop_is_answered_and_its_job_runs() {
    let mut fleet = Fleet::start(slow_plan());
    let write_delay = Duration::from_millis(1_200);
    fleet.objects.set_faults(Faults { delayed_writes: 3, write_delay, ..Faults::default() });
    let gateway = fleet.gateways.remove(0);
    let front = gateway.front_address;
    let submission = std::thread::spawn(move || submit_to(front, "last", &["a", "b"], &[]));
    std::thread::sleep(Duration::from_millis(200));
    gateway.terminate();
    let response = submission.join().expect("a response");
    assert_eq!(response.status, 202);
    assert_results(&fleet.wait_results(0, "last"), &["a", "b"], 40);
}

/// Regression: only its holder deleted a finished job, so those of killed holders stayed for good.
#[test]
fn finished_job_of_a_killed_holder_is_deleted_after_its_retention() {
    let settings = vec![format!("log.retention_s = {RETENTION_S}")];
    let mut fleet = Fleet::start(Plan { settings, ..Plan::default() });
    assert_eq!(fleet.submit(0, "done", &["a", "b"]).status, 202);
    fleet.wait_results(1, "done");
    fleet.gateways[0].kill();
    let accepted = Instant::now();
    // The others scan after a loss.
    std::thread::sleep(Duration::from_secs(RETENTION_S));
    assert!(fleet.objects.get(platform::job::KIND, "done").is_some());
    std::thread::sleep(Duration::from_secs(RETENTION_S));
    fleet.restart(2);
    wait_until("the job is deleted", || fleet.objects.get(platform::job::KIND, "done").is_none());
    assert!(accepted.elapsed() >= Duration::from_secs(2 * RETENTION_S));
    assert_eq!(fleet.call_job(1, "GET", "/lots/done", &[]).status, 404);
}
