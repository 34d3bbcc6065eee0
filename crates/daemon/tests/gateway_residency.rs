//! Requests and jobs of a route with allowed regions are served and held there only, also when the
//! region's instances are lost.

mod util;

use serde_json::json;
use standin::runner::{Config, Faults};
use std::time::Duration;
use util::gateway::{Fleet, Plan, submit_to};
use util::wait_until;

const PATH: &str = "/plain/";
/// Longest time until an item with a free slot in its allowed regions runs.
const RUN_TIME: Duration = Duration::from_secs(4);
/// Longest time until a job is taken over, also if its whole data centre is lost.
const TAKEOVER_TIME: Duration = Duration::from_secs(14);

/// Two data centres in the region `north`, and one each in `south` and `far`.
fn plan() -> Plan {
    let runner = |id: &str| Config { id: id.to_owned(), ..Config::default() };
    Plan {
        gateways: vec!["n1", "n2", "s1", "f1"],
        runners: vec![("n1", runner("r0")), ("s1", runner("r1")), ("f1", runner("r2"))],
        allowed_regions: vec!["north"],
        settings: vec![String::from("instance.regions = n1:north,n2:north,s1:south,f1:far")],
        ..Plan::default()
    }
}

/// Numbers of requests with this path prefix that reached each runner.
fn runs(fleet: &Fleet, prefix: &str) -> Vec<usize> {
    let count = |runner: &standin::runner::Runner| {
        runner.runs().iter().filter(|run| run.path.starts_with(prefix)).count()
    };
    fleet.runners.iter().map(count).collect()
}

#[test]
fn requests_are_served_in_allowed_regions_only() {
    let fleet = Fleet::start(plan());
    for n in 0..40 {
        let id = format!("request-{n}");
        assert_eq!(fleet.send(n % 4, &format!("{PATH}{id}"), &id).status, 200);
    }
    assert_eq!(runs(&fleet, PATH), [40, 0, 0]);
    // Without a target there, it is rejected at once, whatever other regions could do.
    fleet.set_runner_state(0, "draining");
    wait_until("no target is left in the region", || {
        fleet.send(3, "/plain/late", "late").status == 503
    });
    assert_eq!(fleet.send(3, "/open/late", "open-late").status, 200);
    assert_eq!(runs(&fleet, PATH)[1..], [0, 0]);
}

#[test]
fn jobs_are_run_and_taken_over_in_allowed_regions_only() {
    let mut fleet = Fleet::start(plan());
    let items: Vec<String> = (0..120).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "job", &items).status, 202);
    fleet.gateways[0].kill();
    assert_eq!(fleet.wait_results(3, "job").len(), items.len());
    assert_eq!(runs(&fleet, "/batch/")[1..], [0, 0]);
    let takes_over = |n: usize| {
        let lines = fleet.log(n);
        lines.iter().any(|line| line["msg"] == "job taken over" && line["job"] == "job")
    };
    assert!(takes_over(1) && !takes_over(2) && !takes_over(3));
}

/// Fails if one of these gateways has taken a job over.
#[track_caller]
fn assert_untouched(fleet: &Fleet, gateways: &[usize]) {
    for n in gateways {
        let lines = fleet.log(*n);
        assert!(lines.iter().all(|line| line["msg"] != "job taken over"), "gateway {n}");
    }
}

/// A job waits for an instance in its regions if none is left there.
#[test]
fn job_waits_while_its_regions_have_no_instance() {
    let mut fleet = Fleet::start(plan());
    fleet.runners[0].set_faults(Faults { rejects_all: true, ..Faults::default() });
    assert_eq!(fleet.submit(0, "job", &["item-0"]).status, 202);
    fleet.gateways[0].kill();
    fleet.gateways[1].kill();
    std::thread::sleep(TAKEOVER_TIME);
    assert_untouched(&fleet, &[2, 3]);
    fleet.runners[0].set_faults(Faults::default());
    fleet.restart(1);
    assert_eq!(fleet.wait_results(1, "job").len(), 1);
}

/// A workspace's regions and those of the route both hold.
#[test]
fn regions_of_route_and_workspace_both_hold() {
    let workspaces = json!([
        { "name": "press", "api_keys": ["key-1"], "priority": 0, "allowed_regions": ["south"] },
    ]);
    let plan = Plan { allowed_regions: vec!["north", "south"], workspaces, ..plan() };
    let fleet = Fleet::start(plan);
    for n in 0..8 {
        let id = format!("request-{n}");
        let key = [("authorization", "Bearer key-1")];
        assert_eq!(fleet.send_with(n % 4, &format!("{PATH}{id}"), &id, &key).status, 200);
    }
    assert_eq!(runs(&fleet, PATH), [0, 8, 0]);
}

/// Regression: once a workspace was removed, its open items ran in any region.
#[test]
fn items_of_a_removed_workspace_run_in_its_regions_only() {
    let workspace =
        |name: &str, key: &str| json!({ "name": name, "api_keys": [key], "priority": 0 });
    let mut press = workspace("press", "key-1");
    press["allowed_regions"] = json!(["south"]);
    let workspaces = json!([press, workspace("desk", "key-2")]);
    let plan = Plan { allowed_regions: vec!["north", "south"], workspaces, ..plan() };
    let fleet = Fleet::start(plan);
    fleet.set_runner_state(1, "draining");
    let key = [("authorization", "Bearer key-1")];
    let south = fleet.gateways[2].front_address;
    assert_eq!(submit_to(south, "job", &["item-0", "item-1"], &key).status, 202);
    let mut config = fleet.config(8);
    config["tenants"] = json!([workspace("desk", "key-2")]);
    fleet.objects.put("config", "main", config);
    std::thread::sleep(RUN_TIME);
    assert_eq!(runs(&fleet, "/batch/"), [0, 0, 0]);
    fleet.set_runner_state(1, "ready");
    wait_until("the items run", || runs(&fleet, "/batch/") == [0, 2, 0]);
}

/// Regression: once its route was removed, a job was taken over in any region.
#[test]
fn job_of_a_removed_route_is_taken_over_in_its_regions_only() {
    let mut fleet = Fleet::start(plan());
    fleet.runners[0].set_faults(Faults { rejects_all: true, ..Faults::default() });
    assert_eq!(fleet.submit(0, "job", &["item-0"]).status, 202);
    let mut config = fleet.config(8);
    config["routes"].as_array_mut().expect("routes").retain(|route| route["kind"] != "batch");
    [0, 1].iter().for_each(|n: &usize| fleet.gateways[*n].kill());
    fleet.objects.put("config", "main", config);
    std::thread::sleep(TAKEOVER_TIME);
    assert_untouched(&fleet, &[2, 3]);
    fleet.restart(1);
    let results = fleet.wait_results(1, "job");
    assert_eq!(results[0]["state"], "errored");
}
