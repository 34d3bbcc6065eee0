//! What instances remember of jobs that others hold.

mod util;

use std::time::Duration;
use util::batch::slow_plan;
use util::gateway::{Fleet, Plan};
use util::wait_until;

/// How long the outcome of a job is kept.
const RETENTION: Duration = Duration::from_secs(1);
/// Time after which the holder has deleted the job.
const EXPIRED_AFTER: Duration = RETENTION.saturating_mul(4);
const ITEMS: [&str; 3] = ["a", "b", "c"];

/// A fleet with a limit of 400 tokens and a job of 300 at instance 0.
fn fleet_with_job() -> Fleet {
    let settings = vec![format!("log.retention_s = {}", RETENTION.as_secs())];
    let fleet = Fleet::start(Plan { settings, max_queued_tokens: 400, ..slow_plan() });
    assert_eq!(fleet.submit(0, "job", &ITEMS).status, 202);
    wait_until("instance 1 knows the job", || fleet.submit(1, "probe", &["x", "y"]).status == 429);
    fleet
}

/// Tokens that count for good where the end of a job was missed, once its holder has deleted it.
#[test]
fn instance_that_missed_the_end_of_a_deleted_job_frees_its_tokens() {
    let mut fleet = fleet_with_job();
    fleet.gateways[1].freeze();
    fleet.wait_results(0, "job");
    std::thread::sleep(EXPIRED_AFTER);
    fleet.restart(2);
    wait_until("the job is deleted", || fleet.objects.get(platform::job::KIND, "job").is_none());
    fleet.gateways[1].thaw();
    assert_eq!(fleet.submit(1, "early", &["x", "y"]).status, 429, "it missed the end");
    wait_until("the tokens are free", || fleet.submit(1, "next", &["x", "y"]).status == 202);
}
