//! Who holds a batch job, when holders are killed, stopped, frozen, cut off or can't be
//! told.

mod util;

use serde_json::Value;
use standin::objects::Faults;
use standin::runner::Config;
use std::time::Duration;
use util::batch::{LogLines, assert_results, slow_plan};
use util::gateway::{Fleet, Plan};
use util::proxy::Mode;
use util::wait_until;

#[test]
fn a_killed_holder_loses_nothing_and_no_result_moves() {
    let mut fleet = Fleet::start(slow_plan());
    let items = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    assert_eq!(fleet.submit(0, "orphan", &items).status, 202);
    wait_until("some results are listed", || {
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

#[test]
fn all_killed_at_once_and_back_lose_nothing() {
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
fn a_planned_stop_hands_runs_on_where_they_stand() {
    let fleet = Fleet::start(slow_plan());
    assert_eq!(fleet.submit(0, "handed", &["a", "b"]).status, 202);
    wait_until("both run", || fleet.runs("/batch/").len() == 2);
    std::thread::sleep(Duration::from_millis(400));
    fleet.gateways[0].terminate();
    assert_results(&fleet.wait_results(1, "handed"), &["a", "b"], 40);
    let runs = fleet.runs("/batch/");
    let resumed = runs.iter().filter(|run| run.after.is_some()).count();
    assert_eq!((runs.len(), resumed), (4, 2), "{runs:?}");
}

/// Regression: after all instances were lost at once, no job was taken over before
/// the whole list of jobs had been read, which took 4.5 s on slow links.
#[test]
fn jobs_are_taken_over_while_the_list_is_still_read() {
    let mut fleet = Fleet::start(slow_plan());
    for n in 0..8 {
        assert_eq!(fleet.submit(n % 3, &format!("{n}-job"), &["a", "b"]).status, 202);
    }
    for n in 0..3 {
        fleet.gateways[n].kill();
    }
    fleet.objects.set_page(1);
    let slow = Duration::from_millis(150);
    fleet.objects.set_faults(Faults { slow, ..Faults::default() });
    for n in 0..3 {
        fleet.restart(n);
    }
    let swept = |line: &Value| line["msg"] == "jobs swept" && line["jobs"] == 8;
    let taken_over = |line: &Value| line["msg"] == "job taken over";
    wait_until("the list is read", || first_time(&fleet, swept).is_some());
    wait_until("jobs are taken over", || first_time(&fleet, taken_over).is_some());
    assert!(first_time(&fleet, taken_over) < first_time(&fleet, swept));
}

/// Time of the first such line in the logs of all gateways.
fn first_time(fleet: &Fleet, is_such: impl Fn(&Value) -> bool) -> Option<String> {
    let lines = (0..fleet.gateways.len()).flat_map(|n| fleet.log(n));
    let times =
        lines.filter(|line| is_such(line)).map(|line| line["ts"].as_str().map(str::to_owned));
    times.flatten().min()
}

/// Regression: just after a cut, a job was ended where its holder wasn't known as a
/// member yet, and nobody told it: an item ran four seconds later.
#[test]
fn a_holder_that_is_no_member_hears_of_its_jobs_end() {
    let fleet = Fleet::start(slow_plan());
    assert_eq!(fleet.submit(0, "cut", &["a", "b"]).status, 202);
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    fleet.gateways[2].set_unreachable(&peers[..2]);
    fleet.gateways[0].set_unreachable(&peers[2..]);
    fleet.gateways[1].set_unreachable(&peers[2..]);
    // A suspect is still a member, and would be asked itself.
    let has_lost_both = |line: Value| line["lost"] == 2;
    wait_until("it is alone", || fleet.log(2).last_message("members").is_some_and(has_lost_both));
    fleet.gateways.iter().for_each(|gateway| gateway.set_unreachable(&[]));
    assert_eq!(fleet.end(2, "cut").status, 200);
    wait_until("the holder hears of it", || {
        fleet.log(0).last_message("job ended elsewhere").is_some()
    });
}

/// Regression: a holder whose job had been taken over while it was cut off found that
/// out and wrote its results all the same. The new holder didn't know them, and showed
/// nothing where others had read them.
#[test]
fn a_holder_that_was_overtaken_writes_nothing_more() {
    let one = |id: &str| Config { id: id.to_owned(), slots: 1, ..Config::default() };
    let runners = vec![("east", one("r0")), ("west", one("r1"))];
    let fleet = Fleet::start(Plan { runners, ..Plan::default() });
    // Each takes some 0.06 s, on two slots; what is done is written after 1.5 s.
    let items: Vec<String> = (0..60).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "taken", &items).status, 202);
    wait_until("some are done", || fleet.runs("/batch/").len() > 8);
    fleet.gateways[0].freeze();
    let is_taken_over = |n: usize| fleet.log(n).last_message("job taken over").is_some();
    wait_until("another takes over", || is_taken_over(1) || is_taken_over(2));
    fleet.gateways[0].thaw();
    wait_until("it finds out", || fleet.log(0).last_message("job overtaken").is_some());
    let results = fleet.wait_results(1, "taken");
    assert_eq!(results.len(), items.len());
    let lines = fleet.log(0);
    let overtaken = lines.iter().position(|line| line["msg"] == "job overtaken");
    let after = &lines[overtaken.expect("it found out")..];
    assert!(!after.iter().any(|line| line["msg"] == "results durable"), "{after:?}");
}

/// Regression: a job was kept by a write whose answer was lost, and accepted elsewhere
/// from what the platform showed; its holder was told, couldn't read it at that moment
/// and gave up. The job lay for the rest of the day.
#[test]
fn a_holder_that_cannot_read_its_job_tries_again() {
    let (fleet, proxies) = Fleet::start_with_platform_proxies(Plan::default());
    let late_by = Duration::from_millis(300);
    fleet.objects.set_faults(Faults { late: 1, late_by, ..Faults::default() });
    std::thread::scope(|scope| {
        let first = scope.spawn(|| fleet.submit(0, "lying", &["a"]).status);
        std::thread::sleep(Duration::from_millis(150));
        proxies[0].set_mode(Mode::Stall);
        // By the word of another instance, or nobody can say.
        assert!(matches!(first.join().expect("an answer"), 202 | 502));
    });
    assert_eq!(fleet.submit(1, "lying", &["a"]).status, 202);
    wait_until("its holder can't read it", || {
        fleet.log(0).last_message("job not taken over").is_some()
    });
    proxies[0].set_mode(Mode::Pass);
    assert_results(&fleet.wait_results(1, "lying"), &["a"], 10);
}

/// Regression: the same, where its holder couldn't be told in that moment.
#[test]
fn a_holder_that_cannot_be_told_of_its_job_is_told_again() {
    let fleet = Fleet::start(Plan::default());
    let late_by = Duration::from_millis(300);
    fleet.objects.set_faults(Faults { late: 1, late_by, ..Faults::default() });
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    let cut = |addresses: &[std::net::SocketAddr]| {
        fleet.gateways[1..].iter().for_each(|gateway| gateway.set_unreachable(addresses));
        std::thread::sleep(Duration::from_millis(80)); // Cuts are read every 50 ms.
    };
    std::thread::scope(|scope| {
        // Nobody can ask the platform, so nobody can say, and its holder gives up.
        let first = scope.spawn(|| fleet.submit(0, "untold", &["a"]).status);
        std::thread::sleep(Duration::from_millis(150));
        fleet.objects.set_faults(Faults { silent: true, ..Faults::default() });
        assert_eq!(first.join().expect("an answer"), 502);
    });
    fleet.objects.set_faults(Faults::default());
    std::thread::sleep(Duration::from_millis(1_500));
    cut(&peers[..1]);
    assert_eq!(fleet.submit(1, "untold", &["a"]).status, 202);
    cut(&[]);
    assert_results(&fleet.wait_results(1, "untold"), &["a"], 10);
}

/// Regression: an instance that was stopped while it was cut off passed its jobs to
/// nobody and ended; what it had accepted alone was found by nobody for a minute.
#[test]
fn an_instance_that_stops_while_cut_off_passes_its_jobs_on_once_it_can() {
    let fleet = Fleet::start(slow_plan());
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    fleet.gateways[0].set_unreachable(&peers[1..]);
    fleet.gateways[1].set_unreachable(&peers[..1]);
    fleet.gateways[2].set_unreachable(&peers[..1]);
    let has_lost = |line: Value, lost| line["lost"] == lost;
    for (n, lost) in [(0, 2), (1, 1), (2, 1)] {
        wait_until("the cut is noticed", || {
            fleet.log(n).last_message("members").is_some_and(|line| has_lost(line, lost))
        });
    }
    // The look through all jobs that follows a loss is over.
    std::thread::sleep(Duration::from_millis(3_500));
    assert_eq!(fleet.submit(0, "alone", &["a"]).status, 202);
    fleet.gateways[0].terminate();
    std::thread::sleep(Duration::from_millis(500));
    fleet.gateways.iter().for_each(|gateway| gateway.set_unreachable(&[]));
    assert_results(&fleet.wait_results(2, "alone"), &["a"], 40);
}

/// Regression: an item that can never be done ran again at each change of hands: what a
/// holder had learnt and not yet written was lost when it stopped.
#[test]
fn an_item_that_can_never_be_done_runs_once_though_its_job_changes_hands() {
    let (fleet, proxies) = Fleet::start_with_platform_proxies(slow_plan());
    fleet.runners.iter().for_each(|runner| runner.fail("never", 422));
    assert_eq!(fleet.submit(0, "handed", &["never", "a", "b"]).status, 202);
    wait_until("it was tried", || !fleet.runs("/batch/never").is_empty());
    // The verdict reaches the holder, and not the platform.
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

/// Regression: the same, where another had taken the job over while its holder was out
/// of sight. The holder tells what it has learnt as soon as it can.
#[test]
fn a_holder_that_was_overtaken_tells_what_it_has_learnt() {
    let fleet = Fleet::start(slow_plan());
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    // Two rounds on the slots that there are, so that some are under way all the time.
    let items: Vec<String> = (10..26).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "taken", &items).status, 202);
    fleet.gateways[0].set_unreachable(&peers[1..]);
    fleet.gateways[1].set_unreachable(&peers[..1]);
    fleet.gateways[2].set_unreachable(&peers[..1]);
    wait_until("it finds out", || fleet.log(0).last_message("job overtaken").is_some());
    fleet.gateways.iter().for_each(|gateway| gateway.set_unreachable(&[]));
    wait_until("it tells", || fleet.log(0).last_message("what was learnt passed on").is_some());
    assert_results(&fleet.wait_results(1, "taken"), &items, 40);
}
