//! API keys: which requests they allow, what targets and other workspaces see, and that no key
//! appears in any output.

mod util;

use rstest::rstest;
use serde_json::{Value, json};
use standin::runner::{Run, Runner};
use std::time::{Duration, Instant};
use util::batch::slow_plan;
use util::gateway::{Fleet, Plan, send_to, submit_to};
use util::wait_until;

const PRESS: (&str, &str) = ("authorization", "Bearer key-press-1");
const PRESS_SECOND: (&str, &str) = ("authorization", "bearer key-press-2");
const STAGE: (&str, &str) = ("authorization", "Bearer key-stage-1");
/// Maximum time until a change of the keys is in force at all instances.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(3);

fn workspaces(press_keys: &[&str]) -> Value {
    json!([
        { "name": "press", "api_keys": press_keys, "priority": 1 },
        { "name": "stage", "api_keys": ["key-stage-1"], "priority": 0 },
    ])
}

fn plan() -> Plan {
    Plan { workspaces: workspaces(&["key-press-1", "key-press-2"]), ..slow_plan() }
}

fn quick_plan() -> Plan {
    Plan { workspaces: workspaces(&["key-press-1", "key-press-2"]), ..Plan::default() }
}

fn run_of(fleet: &Fleet, path: &str) -> Run {
    fleet.runs(path).pop().unwrap_or_else(|| panic!("no run of {path}"))
}

#[rstest]
#[case::missing(&[])]
#[case::unknown(&[("authorization", "Bearer key-other")])]
#[case::other_scheme(&[("authorization", "Basic key-press-1")])]
#[case::no_scheme(&[("authorization", "key-press-1")])]
#[case::two_words(&[("authorization", "Bearer key-press-1 key-press-2")])]
#[case::doubled(&[PRESS, PRESS])]
fn request_without_a_known_key_is_rejected_and_not_run(#[case] headers: &[(&str, &str)]) {
    let fleet = Fleet::start(quick_plan());
    for path in ["/plain/x", "/ask/x", "/talk/x"] {
        let response = fleet.send_with(0, path, "r-1", headers);
        assert_eq!(response.status, 401, "{path}");
        assert_eq!(response.headers["www-authenticate"], "Bearer");
        assert!(fleet.runs(path).is_empty(), "{path}");
    }
    let front = fleet.gateways[0].front_address;
    assert_eq!(submit_to(front, "job", &["a"], headers).status, 401);
    assert_eq!(fleet.call_job(0, "GET", "/lots/job?since_rev=0", headers).status, 401);
}

#[rstest]
#[case::safe("/plain/x")]
#[case::stream("/ask/x")]
#[case::resumable("/talk/x")]
fn target_gets_the_workspace_of_the_key_and_no_key(#[case] path: &str) {
    let fleet = Fleet::start(quick_plan());
    let headers = [PRESS_SECOND, ("x-gatespool-tenant", "stage")];
    assert_eq!(fleet.send_with(0, path, "r-1", &headers).status, 200);
    let run = run_of(&fleet, path);
    assert_eq!((run.workspace.as_str(), run.authorization.as_str()), ("press", ""));
}

#[test]
fn public_route_needs_no_key_and_forwards_no_forged_workspace() {
    let fleet = Fleet::start(quick_plan());
    let headers = [("x-gatespool-tenant", "stage"), ("authorization", "Bearer key-other")];
    assert_eq!(fleet.send_with(0, "/open/x", "r-1", &headers).status, 200);
    let run = run_of(&fleet, "/open/x");
    assert_eq!((run.workspace.as_str(), run.authorization.as_str()), ("", ""));
}

#[test]
fn resumed_stream_names_the_workspace_again() {
    let fleet = Fleet::start(quick_plan());
    for runner in &fleet.runners {
        runner.set_faults(standin::runner::Faults { interrupted: 1, ..Default::default() });
    }
    assert_eq!(fleet.send_with(0, "/talk/x", "r-1", &[PRESS]).status, 200);
    let runs = fleet.runs("/talk/x");
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|run| run.workspace == "press"), "{runs:?}");
}

#[test]
fn instance_without_a_configuration_rejects_no_key() {
    let fleet = Fleet::start_unconfigured(quick_plan());
    let front = fleet.gateways[0].front_address;
    assert_eq!(send_to(front, "/plain/x", "r-1", &[PRESS]).status, 503);
    assert_eq!(send_to(front, "/plain/x", "r-2", &[]).status, 503);
}

#[test]
fn changed_keys_are_in_force_at_all_instances_in_time() {
    let fleet = Fleet::start(quick_plan());
    let mut config = fleet.config(8);
    config["tenants"] = workspaces(&["key-press-1", "key-press-3"]);
    fleet.objects.put("config", "main", config);
    let changed_at = Instant::now();
    let added = [("authorization", "Bearer key-press-3")];
    for n in 0..fleet.gateways.len() {
        wait_until("the new key is known", || {
            fleet.send_with(n, "/plain/x", "r-1", &added).status == 200
        });
        assert_eq!(fleet.send_with(n, "/plain/x", "r-2", &[PRESS_SECOND]).status, 401);
        assert_eq!(fleet.send_with(n, "/plain/x", "r-3", &[PRESS]).status, 200);
    }
    assert!(changed_at.elapsed() < MAX_CONFIG_DELAY);
}

#[test]
fn items_name_the_workspace_of_the_submission_also_after_a_takeover() {
    let mut fleet = Fleet::start(plan());
    let front = fleet.gateways[0].front_address;
    let body = json!({ "items": [{
        "id": "a", "path": "/batch/a", "body": "cHJvbXB0", "tokens": 100,
        "headers": { "Authorization": "Bearer key-stage-1", "X-Gatespool-Tenant": "stage" },
    }]});
    let headers = [("host", util::gateway::HOST), ("x-gatespool-request-id", "job"), PRESS];
    assert_eq!(util::client::post(front, "/batch/job", &headers, &body).status, 202);
    wait_until("the item runs", || fleet.runs("/batch/").len() == 1);
    fleet.gateways[0].kill();
    wait_until("the result is listed", || {
        let page = fleet.call_job(1, "GET", "/lots/job?since_rev=0", &[PRESS]);
        page.status == 200 && page.json()["results"][0]["message"] == Runner::text("a", 40)
    });
    let runs = fleet.runs("/batch/");
    assert!(runs.len() >= 2, "the item ran again: {runs:?}");
    for run in runs {
        assert_eq!((run.workspace.as_str(), run.authorization.as_str()), ("press", ""));
    }
}

#[test]
fn job_is_hidden_from_other_workspaces_and_survives_its_key() {
    let fleet = Fleet::start(plan());
    let front = fleet.gateways[0].front_address;
    assert_eq!(submit_to(front, "job", &["a"], &[PRESS]).status, 202);
    for n in 0..fleet.gateways.len() {
        let other = |method, path| fleet.call_job(n, method, path, &[STAGE]).status;
        assert_eq!(other("GET", "/lots/job?since_rev=0"), 404);
        assert_eq!(other("GET", "/items/job?id=a"), 404);
        assert_eq!(other("DELETE", "/lots/job"), 404);
        let again = submit_to(fleet.gateways[n].front_address, "job", &["a"], &[STAGE]);
        assert_eq!(again.status, 404);
        let again = submit_to(fleet.gateways[n].front_address, "job", &["a"], &[PRESS_SECOND]);
        assert_eq!(again.status, 202);
        let read = fleet.call_job(n, "GET", "/items/job?id=a", &[PRESS_SECOND]);
        assert_eq!((read.status, &read.body[..]), (200, &b"prompt"[..]));
    }
    let mut config = fleet.config(8);
    config["tenants"] = workspaces(&["key-press-3"]);
    fleet.objects.put("config", "main", config);
    let kept = [("authorization", "Bearer key-press-3")];
    wait_until("the result is listed", || {
        let page = fleet.call_job(2, "GET", "/lots/job?since_rev=0", &kept);
        page.status == 200 && page.json()["results"].as_array().is_some_and(|all| all.len() == 1)
    });
    assert_eq!(fleet.call_job(2, "DELETE", "/lots/job", &kept).status, 200);
}

/// A job that an earlier version stored has no owner.
#[test]
fn job_without_an_owner_is_served_to_any_workspace() {
    let fleet = Fleet::start(Plan { workspaces: Value::Null, ..slow_plan() });
    assert_eq!(fleet.submit(0, "old", &["a"]).status, 202);
    let mut config = fleet.config(8);
    config["tenants"] = workspaces(&["key-press-1"]);
    fleet.objects.put("config", "main", config);
    wait_until("keys are needed", || fleet.results(1, "old", 0).status == 401);
    wait_until("the result is listed", || {
        let page = fleet.call_job(1, "GET", "/lots/old?since_rev=0", &[STAGE]);
        page.status == 200 && page.json()["results"].as_array().is_some_and(|all| all.len() == 1)
    });
}

#[test]
fn token_limit_holds_for_each_workspace() {
    let fleet = Fleet::start(Plan { max_queued_tokens: 250, ..plan() });
    let front = fleet.gateways[0].front_address;
    assert_eq!(submit_to(front, "one", &["a", "b"], &[PRESS]).status, 202);
    assert_eq!(submit_to(front, "two", &["c", "d"], &[PRESS]).status, 429);
    assert_eq!(submit_to(front, "three", &["e", "f"], &[STAGE]).status, 202);
}

#[test]
fn no_key_appears_in_any_log() {
    let mut fleet = Fleet::start(plan());
    let front = fleet.gateways[0].front_address;
    for path in ["/plain/x", "/ask/x", "/open/x"] {
        fleet.send_with(0, path, "r-1", &[PRESS]);
        fleet.send_with(1, path, "r-2", &[("authorization", "Bearer key-unknown")]);
    }
    assert_eq!(submit_to(front, "job", &["a"], &[PRESS]).status, 202);
    let mut config = fleet.config(8);
    config["tenants"] = json!([{ "name": "press", "api_keys": "key-press-malformed" }]);
    fleet.objects.put("config", "main", config);
    // Only the instances that watch the configuration read it.
    wait_until("the malformed configuration is logged", || {
        let is_logged = |line: &Value| line["msg"] == "invalid configuration";
        (0..fleet.gateways.len()).any(|n| fleet.log(n).iter().any(is_logged))
    });
    fleet.gateways[0].kill();
    fleet.restart(0);
    let stored = format!("{:?}", fleet.objects.objects_of_kind("gatespool-jobs"));
    assert!(stored.contains("press") && !stored.contains("key-"), "{stored}");
    for n in 0..fleet.gateways.len() {
        let path = fleet.dir.join(format!("gateway-{n}.log"));
        let log = std::fs::read_to_string(path).expect("a log");
        assert!(!log.contains("key-press") && !log.contains("key-unknown"), "gateway {n}");
    }
}
