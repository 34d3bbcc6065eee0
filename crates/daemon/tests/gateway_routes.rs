//! Jobs whose route is removed or changed after they were accepted.

mod util;

use rstest::rstest;
use serde_json::{Value, json};
use standin::objects::Faults;
use std::time::{Duration, Instant};
use util::batch::slow_runner;
use util::gateway::{Fleet, HOST, Plan};
use util::{client, wait_until};

/// Time from a change of the configuration until the items that wait are listed as failed.
const LISTING_TIME: Duration = Duration::from_secs(4);
const ITEMS: usize = 12;
/// Key of the workspace that submits the jobs in tests with workspaces, and one of another.
const KEY: (&str, &str) = ("authorization", "Bearer key-one");
const OTHER_KEY: (&str, &str) = ("authorization", "Bearer key-two");

/// What a change leaves of the batch route.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// The host has other routes.
    RouteRemoved,
    /// The host has none.
    HostRemoved,
    /// The path belongs to a route for streams.
    MadeOnline,
}

/// The configuration with version `version` after a change.
fn changed(fleet: &Fleet, version: u64, change: Change) -> Value {
    let mut config = fleet.config(version);
    let routes = config["routes"].as_array_mut().expect("routes");
    match change {
        Change::RouteRemoved => routes.retain(|route| route["kind"] != "batch"),
        Change::HostRemoved => {
            routes.iter_mut().for_each(|route| route["host"] = json!("b.example"))
        }
        Change::MadeOnline => {
            let batch = routes.iter_mut().find(|route| route["kind"] == "batch");
            batch.expect("the batch route")["kind"] = json!("stream");
        }
    }
    config
}

fn item_ids() -> Vec<String> {
    (10..10 + ITEMS).map(|n| format!("item-{n}")).collect()
}

/// A fleet in which two items can run at a time.
fn fleet_with(workspaces: Value) -> Fleet {
    let runner = |id: &str| standin::runner::Config { slots: 1, ..slow_runner(id) };
    let runners = vec![("east", runner("r0")), ("west", runner("r1"))];
    Fleet::start(Plan { runners, workspaces, ..Plan::default() })
}

fn fleet() -> Fleet {
    fleet_with(Value::Null)
}

/// Kills all instances at once, starts them again, and waits until they have the configuration.
#[track_caller]
fn restart_all(fleet: &mut Fleet) {
    (0..3).for_each(|n| fleet.gateways[n].kill());
    (0..3).for_each(|n| fleet.restart(n));
    fleet.wait_ready();
}

/// A fleet with a job at instance 0 of which two items can run at a time, and some results are
/// listed.
fn fleet_with_job(workspaces: Value) -> Fleet {
    let fleet = fleet_with(workspaces);
    assert_eq!(submit(&fleet, 0, &[KEY]), 202);
    wait_until("some results are listed", || listed(&fleet, 1).is_some_and(|l| !l.is_empty()));
    fleet
}

fn submit(fleet: &Fleet, n: usize, headers: &[(&str, &str)]) -> u16 {
    submit_at(fleet, n, "/batch/job", headers)
}

fn submit_at(fleet: &Fleet, n: usize, path: &str, headers: &[(&str, &str)]) -> u16 {
    let ids = item_ids();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    util::gateway::submit_at(fleet.gateways[n].front_address, path, "job", &ids, headers).status
}

/// Results of the job; `None` if it can't be read.
fn listed(fleet: &Fleet, n: usize) -> Option<Vec<Value>> {
    let response = fleet.call_job(n, "GET", "/lots/job?since_rev=0", &[KEY]);
    (response.status == 200).then(|| response.json()["results"].as_array().expect("a list").clone())
}

/// Waits until every item is listed at every instance, and returns the states.
#[track_caller]
fn wait_listed(fleet: &Fleet, within: Duration) -> Vec<Value> {
    let since = Instant::now();
    for n in 0..fleet.gateways.len() {
        wait_until("all items are listed", || {
            listed(fleet, n).is_some_and(|results| results.len() == ITEMS)
        });
    }
    assert!(since.elapsed() < within, "{:?}", since.elapsed());
    let results = listed(fleet, 0).expect("results");
    results.iter().map(|result| result["state"].clone()).collect()
}

/// Regression: items of a removed route were neither run nor listed, and calls about a job whose
/// host had no route left got 404.
#[rstest]
fn items_of_a_removed_route_are_listed_as_failed(
    #[values(Change::RouteRemoved, Change::HostRemoved, Change::MadeOnline)] change: Change,
) {
    let fleet = fleet_with_job(Value::Null);
    let before = listed(&fleet, 1).expect("results");
    fleet.apply(changed(&fleet, 8, change));
    let states = wait_listed(&fleet, LISTING_TIME);
    assert!(
        states.iter().any(|state| state == "complete") && states.iter().any(|s| s == "errored")
    );
    for n in 0..3 {
        assert_eq!(listed(&fleet, n).expect("results")[..before.len()], before[..]);
        let body = fleet.call_job(n, "GET", "/items/job?id=item-21", &[]);
        assert_eq!((body.status, &body.body[..]), (200, &b"prompt"[..]));
        let unknown = fleet.call_job(n, "GET", "/lots/unknown", &[]);
        assert_eq!(unknown.status, 404);
        assert_eq!(submit(&fleet, n, &[]), 202, "the job comes again");
    }
    assert_eq!(fleet.end_job(2, "job").status, 200);
    let online = fleet.runs("/batch/").into_iter().filter(|run| run.id == "job");
    assert_eq!(online.count(), 0, "a submission was sent to a target");
}

/// Regression: as above, for instances that start after the removal.
#[rstest]
#[case::of_the_holder(&[0])]
#[case::of_all(&[0, 1, 2])]
fn job_outlives_its_route_and_its_holder(#[case] killed: &[usize]) {
    let mut fleet = fleet_with_job(Value::Null);
    fleet.objects.put("config", "main", changed(&fleet, 8, Change::HostRemoved));
    killed.iter().for_each(|n| fleet.gateways[*n].kill());
    killed.iter().for_each(|n| fleet.restart(*n));
    fleet.wait_in_force(&json!(8));
    // A holder is given some time to come back.
    let states = wait_listed(&fleet, LISTING_TIME + Duration::from_secs(4));
    assert!(states.iter().any(|state| state == "errored"));
    assert_eq!(submit(&fleet, 1, &[]), 202);
}

/// What replaces the batch route.
#[derive(Clone, Copy, Debug)]
enum Replacement {
    /// A route to another service.
    OtherService,
    /// Two routes: one for the path of the job, one for the rest of the prefix.
    Split,
}

#[rstest]
fn items_complete_on_the_route_that_replaces_theirs(
    #[values(Replacement::OtherService, Replacement::Split)] replacement: Replacement,
) {
    let fleet = fleet_with_job(Value::Null);
    let mut config = fleet.config(8);
    let routes = config["routes"].as_array_mut().expect("routes");
    let n = routes.iter().position(|route| route["kind"] == "batch").expect("the batch route");
    match replacement {
        Replacement::OtherService => {
            routes[n]["service"] = json!("other");
            let other = json!({ "name": "other", "health_path": "/healthz", "max_conns": 200 });
            config["services"].as_array_mut().expect("services").push(other);
        }
        Replacement::Split => {
            let mut of_job = routes[n].clone();
            of_job["name"] = json!("batch-job");
            of_job["path_prefix"] = json!("/batch/job/");
            routes.push(of_job);
        }
    }
    if matches!(replacement, Replacement::OtherService) {
        fleet.set_service(1, "other");
    }
    fleet.apply(config);
    std::thread::sleep(LISTING_TIME);
    let began = Instant::now();
    let states = wait_listed(&fleet, Duration::from_secs(30));
    assert!(states.iter().all(|state| state == "complete"), "{states:?}");
    if matches!(replacement, Replacement::OtherService) {
        let runs = fleet.runners[0].runs();
        let late = runs.iter().filter(|run| run.path.starts_with("/batch/") && run.arrived > began);
        assert_eq!(late.count(), 0, "items ran at a target of the former service");
    }
    assert_eq!(submit(&fleet, 2, &[]), 202, "the job comes again");
}

/// A route that is added below the batch route and begins the path of the job.
#[derive(Clone, Copy, Debug)]
enum Addition {
    Online,
    /// A batch route to a service without targets.
    Batch,
}

/// The configuration with version `version` and a route more.
fn with_route_below(fleet: &Fleet, version: u64, addition: Addition) -> Value {
    let mut config = fleet.config(version);
    let routes = config["routes"].as_array_mut().expect("routes");
    let kind = if matches!(addition, Addition::Online) { "stream" } else { "batch" };
    let mut below = routes.iter().find(|route| route["kind"] == kind).expect("a route").clone();
    below["name"] = json!("below");
    below["path_prefix"] = json!("/batch/shop/");
    if matches!(addition, Addition::Batch) {
        below["service"] = json!("other");
        let other = json!({ "name": "other", "health_path": "/healthz", "max_conns": 200 });
        config["services"].as_array_mut().expect("services").push(other);
    }
    config["routes"].as_array_mut().expect("routes").push(below);
    config
}

/// Regression: the items of a job failed, or waited at another service, once a route below theirs
/// began the path of their job.
#[rstest]
fn items_stay_on_their_route_when_one_is_added_below_it(
    #[values(Addition::Online, Addition::Batch)] addition: Addition,
) {
    let fleet = fleet();
    assert_eq!(submit_at(&fleet, 0, "/batch/shop/job", &[]), 202);
    wait_until("some results are listed", || listed(&fleet, 1).is_some_and(|l| !l.is_empty()));
    fleet.apply(with_route_below(&fleet, 8, addition));
    let states = wait_listed(&fleet, Duration::from_secs(30));
    assert!(states.iter().all(|state| state == "complete"), "{states:?}");
    assert_eq!(submit_at(&fleet, 2, "/batch/shop/job", &[]), 202, "the job comes again");
}

/// Regression: it ran as an online request.
#[test]
fn submission_that_comes_again_below_a_new_route_is_recognized_after_a_restart_of_all() {
    let mut fleet = Fleet::start(Plan::default());
    assert_eq!(submit_at(&fleet, 0, "/batch/shop/job", &[]), 202);
    wait_listed(&fleet, Duration::from_secs(20));
    fleet.apply(with_route_below(&fleet, 8, Addition::Online));
    restart_all(&mut fleet);
    for n in 0..3 {
        assert_eq!(submit_at(&fleet, n, "/batch/shop/job", &[]), 202, "the job comes again");
    }
    assert!(fleet.runs("/batch/shop/").is_empty(), "{:?}", fleet.runs("/batch/shop/"));
    assert_eq!(fleet.send(0, "/batch/shop/a", "online").status, 200);
}

/// Regression: calls about a finished job were sent to targets.
#[test]
fn finished_job_beside_a_catch_all_route_is_readable_after_a_restart_of_all() {
    let mut fleet = Fleet::start(Plan::default());
    let mut config = fleet.config(8);
    let routes = config["routes"].as_array_mut().expect("routes");
    let plain = routes.iter_mut().find(|route| route["name"] == "plain");
    plain.expect("the plain route")["path_prefix"] = json!("/");
    fleet.apply(config);
    assert_eq!(submit(&fleet, 0, &[]), 202);
    wait_listed(&fleet, Duration::from_secs(20));
    let before = listed(&fleet, 0).expect("results");
    restart_all(&mut fleet);
    for n in 0..3 {
        assert_eq!(listed(&fleet, n), Some(before.clone()));
        let body = fleet.call_job(n, "GET", "/items/job?id=item-21", &[]);
        assert_eq!((body.status, &body.body[..]), (200, &b"prompt"[..]));
        let page = client::call(
            "GET",
            fleet.gateways[n].front_address,
            "/lots/page",
            &[("host", HOST), ("x-gatespool-request-id", &format!("page-{n}"))],
            Vec::new(),
        );
        assert_eq!(page.status, 200, "a page at a path like that of a job");
    }
    let sent: Vec<String> = fleet.runs("/lots/").into_iter().map(|run| run.path).collect();
    assert_eq!(sent, ["/lots/page"; 3], "a call about the job was sent to a target");
    assert!(fleet.runs("/items/").is_empty());
    fleet.objects.set_faults(Faults { unavailable: true, ..Faults::default() });
    assert_eq!(fleet.call_job(1, "GET", "/lots/other", &[]).status, 503, "nobody can be sure");
}

/// Regression: a job kept the number of attempts of the configuration under which it was loaded.
#[rstest]
#[case::raised(6, 6)]
#[case::lowered(1, 1)]
fn changed_number_of_attempts_holds_for_accepted_items(
    #[case] max_attempts: u32,
    #[case] expected: usize,
) {
    let fleet = fleet();
    fleet.runners.iter().for_each(|runner| runner.fail_id("item-21", 500));
    assert_eq!(submit(&fleet, 0, &[]), 202);
    let mut config = fleet.config(8);
    let routes = config["routes"].as_array_mut().expect("routes");
    let batch = routes.iter_mut().find(|route| route["kind"] == "batch");
    batch.expect("the batch route")["max_attempts"] = json!(max_attempts);
    fleet.apply(config);
    let states = wait_listed(&fleet, Duration::from_secs(30));
    assert_eq!(states.iter().filter(|state| *state == "errored").count(), 1);
    assert_eq!(fleet.runs("/batch/item-21").len(), expected);
}

/// A job whose items have failed stays as it was read, and others are accepted.
#[test]
fn route_that_is_added_again_later_takes_new_jobs() {
    let fleet = fleet_with_job(Value::Null);
    fleet.apply(changed(&fleet, 8, Change::HostRemoved));
    wait_listed(&fleet, LISTING_TIME);
    let before = listed(&fleet, 1).expect("results");
    fleet.apply(fleet.config(9));
    assert_eq!(submit(&fleet, 2, &[]), 202, "the job comes again");
    assert_eq!(fleet.submit(2, "new", &["x", "y"]).status, 202);
    let results = fleet.wait_results(0, "new");
    assert!(results.iter().all(|result| result["state"] == "complete"), "{results:?}");
    assert_eq!(listed(&fleet, 0).expect("results"), before);
}

#[test]
fn items_of_a_route_that_is_back_at_once_complete() {
    let fleet = fleet_with_job(Value::Null);
    fleet.objects.put("config", "main", changed(&fleet, 8, Change::RouteRemoved));
    std::thread::sleep(Duration::from_millis(800));
    fleet.configure(9);
    let states = wait_listed(&fleet, Duration::from_secs(25));
    assert!(states.iter().all(|state| state == "complete"), "{states:?}");
}

#[test]
fn configuration_from_before_the_job_fails_no_item() {
    let mut fleet = fleet_with_job(Value::Null);
    (0..3).for_each(|n| fleet.gateways[n].kill());
    fleet.objects.put("config", "main", changed(&fleet, 6, Change::HostRemoved));
    (0..3).for_each(|n| fleet.restart(n));
    fleet.wait_in_force(&json!(6));
    std::thread::sleep(LISTING_TIME);
    let is_failed = |result: &Value| result["state"] == "errored";
    assert!(!listed(&fleet, 0).expect("results").iter().any(is_failed));
    fleet.configure(9);
    let states = wait_listed(&fleet, Duration::from_secs(30));
    assert!(states.iter().all(|state| state == "complete"), "{states:?}");
}

#[test]
fn nobody_is_told_that_a_job_is_unknown_while_the_platform_is_away() {
    let fleet = fleet_with_job(Value::Null);
    fleet.apply(changed(&fleet, 8, Change::HostRemoved));
    fleet.objects.set_faults(Faults { unavailable: true, ..Faults::default() });
    assert_eq!(fleet.call_job(1, "GET", "/lots/unknown", &[]).status, 503);
    assert_eq!(fleet.submit(1, "unknown", &["x"]).status, 503);
    let plain = client::post(
        fleet.gateways[1].front_address,
        "/batch/unknown",
        &[("host", HOST), ("x-gatespool-request-id", "no-job")],
        &json!({ "prompt": "none" }),
    );
    assert_eq!(plain.status, 404);
}

#[test]
fn job_without_a_route_is_hidden_from_other_workspaces() {
    let workspaces = json!([
        { "name": "one", "api_keys": ["key-one"] }, { "name": "two", "api_keys": ["key-two"] },
    ]);
    let fleet = fleet_with_job(workspaces);
    fleet.apply(changed(&fleet, 8, Change::HostRemoved));
    for n in 0..3 {
        assert_eq!(fleet.call_job(n, "GET", "/lots/job", &[KEY]).status, 200);
        assert_eq!(submit(&fleet, n, &[KEY]), 202);
        for headers in [&[OTHER_KEY][..], &[]] {
            for (method, path) in
                [("GET", "/lots/job"), ("GET", "/items/job?id=item-21"), ("DELETE", "/lots/job")]
            {
                assert_eq!(fleet.call_job(n, method, path, headers).status, 404, "{method} {path}");
            }
            assert_eq!(submit(&fleet, n, headers), 404);
        }
        let wrong_key = ("authorization", "Bearer key-none");
        assert_eq!(fleet.call_job(n, "GET", "/lots/job", &[wrong_key]).status, 401);
    }
}
