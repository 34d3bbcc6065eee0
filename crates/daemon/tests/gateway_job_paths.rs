//! Job calls and submissions on hosts where an online route matches their paths as well.

mod util;

use rstest::rstest;
use serde_json::{Value, json};
use standin::objects::Faults;
use std::time::{Duration, Instant};
use util::batch::slow_plan;
use util::client::{self, Response};
use util::gateway::changes::route_field;
use util::gateway::{Fleet, HOST, Plan, submit_to};
use util::wait_until;

const JOB: &str = "job";
const ITEMS: [&str; 3] = ["item-1", "item-2", "item-3"];
/// Maximum time to a rejection. It includes one timeout of the platform, 400 ms in these tests.
const PROMPT: Duration = Duration::from_millis(900);

/// What becomes of the host's only batch route.
#[derive(Clone, Copy, Debug)]
enum Change {
    Removed,
    OtherHost,
    MadeOnline,
}

/// The configuration with a route for plain requests at `/`.
fn config(fleet: &Fleet, version: u64) -> Value {
    let mut config = fleet.config(version);
    *route_field(&mut config, "plain", "path_prefix") = json!("/");
    config
}

/// As [`config`], after a change of the batch route.
fn changed(fleet: &Fleet, version: u64, change: Change) -> Value {
    let mut config = config(fleet, version);
    match change {
        Change::Removed => {
            let routes = config["routes"].as_array_mut().expect("routes");
            routes.retain(|route| route["name"] != "batch");
        }
        Change::OtherHost => *route_field(&mut config, "batch", "host") = json!("b.example"),
        Change::MadeOnline => *route_field(&mut config, "batch", "kind") = json!("stream"),
    }
    config
}

/// Sends a call that has a request id, so that a target would answer it.
fn call(fleet: &Fleet, n: usize, method: &str, path: &str) -> Response {
    let headers = [("host", HOST), ("x-gatespool-request-id", "call")];
    client::call(method, fleet.gateways[n].front_address, path, &headers, Vec::new())
}

fn results(fleet: &Fleet, n: usize) -> Response {
    call(fleet, n, "GET", "/lots/job?since_rev=0")
}

/// A fleet with a finished job on a host with a route at `/`, and the results.
fn fleet_with_finished_job() -> (Fleet, Value) {
    let fleet = Fleet::start(Plan::default());
    fleet.apply(config(&fleet, 8));
    assert_eq!(fleet.submit(0, JOB, &ITEMS).status, 202);
    fleet.wait_results(1, JOB);
    let before = results(&fleet, 0).json();
    (fleet, before)
}

fn restart(fleet: &mut Fleet, killed: &[usize]) {
    killed.iter().for_each(|n| fleet.gateways[*n].kill());
    killed.iter().for_each(|n| fleet.restart(*n));
    for n in killed {
        wait_until("a gateway serves again", || call(fleet, *n, "GET", "/page").status == 200);
    }
}

/// Regression: calls about a finished job were sent to targets, whose answers came back as those of
/// the job, once its batch route was gone and its instance had been started again.
#[rstest]
fn finished_job_of_a_removed_route_is_not_a_page(
    #[values(Change::Removed, Change::OtherHost, Change::MadeOnline)] change: Change,
    #[values(&[1], &[0, 1, 2])] killed: &[usize],
) {
    let (mut fleet, before) = fleet_with_finished_job();
    fleet.apply(changed(&fleet, 9, change));
    restart(&mut fleet, killed);
    for n in 0..3 {
        let read = results(&fleet, n);
        assert_eq!((read.status, read.body.first()), (200, Some(&b'{')), "{read:?}");
        assert_eq!(read.json(), before);
        let body = call(&fleet, n, "GET", "/items/job?id=item-2");
        assert_eq!((body.status, &body.body[..]), (200, &b"prompt"[..]));
        let end = call(&fleet, n, "DELETE", "/lots/job");
        assert_eq!((end.status, &end.body[..]), (200, &b"ended\n"[..]));
    }
    let sent = [fleet.runs("/lots/"), fleet.runs("/items/")].concat();
    assert!(sent.is_empty(), "a call about the job was sent to a target: {sent:?}");
}

/// Regression: it ran as a request, whose answer was no 202.
#[rstest]
fn submission_that_comes_again_after_its_route_was_removed_is_recognized(
    #[values(Change::Removed, Change::OtherHost, Change::MadeOnline)] change: Change,
) {
    let (mut fleet, _) = fleet_with_finished_job();
    fleet.apply(changed(&fleet, 9, change));
    restart(&mut fleet, &[0, 1, 2]);
    for n in 0..3 {
        assert_eq!(fleet.submit(n, JOB, &ITEMS).status, 202);
    }
    assert!(fleet.runs("/batch/job").is_empty(), "a submission was sent to a target");
    let request = submit_to(fleet.gateways[0].front_address, "never", &ITEMS, &[]);
    assert_eq!((request.status, fleet.runs("/batch/never").len()), (200, 1), "no job has its id");
}

/// Faults of the platform during which it can't be read whether a job exists.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Unavailable,
    Silent,
}

impl Fault {
    fn faults(self) -> Faults {
        match self {
            Fault::Unavailable => Faults { unavailable: true, ..Faults::default() },
            Fault::Silent => Faults { unresponsive: true, ..Faults::default() },
        }
    }
}

/// What a page costs at a path like that of a job's call: a read of the platform each.
#[rstest]
fn page_at_the_path_of_a_job_call_is_served_while_the_platform_is_there(
    #[values(Fault::Unavailable, Fault::Silent)] fault: Fault,
) {
    let calls = [("GET", "/lots/page"), ("GET", "/items/page?id=1"), ("DELETE", "/lots/page")];
    let fleet = Fleet::start(Plan::default());
    fleet.apply(changed(&fleet, 8, Change::Removed));
    for (method, path) in calls {
        assert_eq!(call(&fleet, 0, method, path).status, 200);
    }
    fleet.objects.set_faults(fault.faults());
    for (method, path) in calls {
        let since = Instant::now();
        assert_eq!(call(&fleet, 1, method, path).status, 503, "nobody can be sure");
        assert!(since.elapsed() < PROMPT, "{:?}", since.elapsed());
    }
    for path in ["/page", "/lots/", "/items/page"] {
        assert_eq!(call(&fleet, 1, "GET", path).status, 200, "{path} is no path of a job's call");
    }
    assert_eq!(fleet.runs("/lots/page").len(), 2);
}

/// A call that no key allows costs no read of the platform.
#[test]
fn call_with_a_wrong_key_is_rejected_without_the_platform() {
    let workspaces = json!([{ "name": "one", "api_keys": ["key-one"] }]);
    let fleet = Fleet::start(Plan { workspaces, ..Plan::default() });
    fleet.apply(changed(&fleet, 8, Change::Removed));
    fleet.objects.set_faults(Faults { unavailable: true, ..Faults::default() });
    let key = [("authorization", "Bearer key-none")];
    assert_eq!(fleet.call_job(0, "GET", "/lots/none", &key).status, 401);
}

/// Regression: on a batch route at `/`, it was taken for a malformed submission.
#[test]
fn unknown_job_of_a_batch_route_at_the_root_is_not_found() {
    let fleet = Fleet::start(Plan::default());
    let mut config = fleet.config(8);
    *route_field(&mut config, "batch", "path_prefix") = json!("/");
    fleet.apply(config);
    for (method, path) in
        [("GET", "/lots/none"), ("GET", "/items/none?id=1"), ("DELETE", "/lots/none")]
    {
        assert_eq!(call(&fleet, 0, method, path).status, 404, "{method} {path}");
    }
}

/// Regression: tokens that wait were counted by the name that the route had before.
#[rstest]
fn tokens_of_open_jobs_count_on_their_renamed_route(#[values(0, 1, 2)] submitter: usize) {
    let fleet = Fleet::start(Plan { max_queued_tokens: 400, ..slow_plan() });
    assert_eq!(fleet.submit(0, JOB, &ITEMS).status, 202);
    wait_until("the others know the job", || (0..3).all(|n| results(&fleet, n).status == 200));
    let mut renamed = fleet.config(8);
    *route_field(&mut renamed, "batch", "name") = json!("lots");
    fleet.apply(renamed);
    let second = fleet.submit(submitter, "second", &["a", "b"]);
    assert_eq!(second.status, 429, "300 of 400 tokens wait");
    fleet.wait_results(submitter, JOB);
    wait_until("the tokens are free again", || {
        fleet.submit(submitter, "third", &["c", "d"]).status == 202
    });
}
