//! What instances remember of jobs that others hold.

mod util;

use std::time::Duration;
use util::batch::{LogLines, slow_plan};
use util::gateway::{Fleet, Plan};
use util::wait_until;

/// How long the outcome of a job is kept.
const RETENTION: Duration = Duration::from_secs(1);
/// How long instances remember that a job is finished.
const FORGET_AFTER: Duration = RETENTION.saturating_mul(4);
const ITEMS: [&str; 3] = ["a", "b", "c"];

/// A fleet with a limit of 400 tokens and a job of 300 at instance 0.
fn fleet_with_job() -> Fleet {
    let settings = vec![format!("log.retention_s = {}", RETENTION.as_secs())];
    let fleet = Fleet::start(Plan { settings, max_queued_tokens: 400, ..slow_plan() });
    assert_eq!(fleet.submit(0, "job", &ITEMS).status, 202);
    wait_until("instance 1 knows the job", || fleet.submit(1, "probe", &["x", "y"]).status == 429);
    fleet
}

/// Regression: the statuses of finished jobs stayed in the memory of all other instances.
#[test]
fn finished_job_of_another_instance_is_forgotten() {
    let mut fleet = fleet_with_job();
    fleet.wait_results(1, "job");
    std::thread::sleep(FORGET_AFTER);
    // The others look through the jobs after a loss.
    fleet.restart(2);
    wait_until("the job is forgotten", || {
        let line = fleet.log(1).last_message("finished jobs forgotten");
        line.is_some_and(|line| line["jobs"] == 1)
    });
    assert_eq!(fleet.submit(1, "next", &["x", "y"]).status, 202);
}

/// Guards against tokens that count for good where the end of a job was missed, once nobody else
/// remembers it.
#[test]
fn instance_that_missed_the_end_of_a_forgotten_job_frees_its_tokens() {
    let mut fleet = fleet_with_job();
    fleet.gateways[1].freeze();
    fleet.wait_results(0, "job");
    std::thread::sleep(FORGET_AFTER);
    fleet.restart(2);
    wait_until("the job is deleted", || fleet.objects.get(platform::job::KIND, "job").is_none());
    fleet.gateways[1].thaw();
    assert_eq!(fleet.submit(1, "early", &["x", "y"]).status, 429, "it missed the end");
    wait_until("the tokens are free", || fleet.submit(1, "next", &["x", "y"]).status == 202);
}
