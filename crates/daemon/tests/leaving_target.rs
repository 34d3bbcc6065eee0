//! A leaving target gets no new work within seconds, whatever reports it and whatever else fails.

mod util;

use rstest::rstest;
use serde_json::json;
use standin::engine::Control as EngineControl;
use standin::platform::Control;
use std::time::Duration;
use util::client::{call, chat, unix_millis};
use util::cluster::{Cluster, Plan, items};
use util::wait_until;

/// Returns whether every daemon lists target `t0` as leaving.
fn is_leaving_everywhere(cluster: &Cluster) -> bool {
    cluster.daemons.iter().all(|daemon| {
        let list = daemon.get("/v1/targets").json();
        let list = list.as_array().cloned().unwrap_or_default();
        list.iter().any(|one| one["name"] == "t0" && one["leaving"] == true)
    })
}

/// Checks that online and batch requests are served, and none by engine 0.
#[track_caller]
fn check_no_new_work(cluster: &Cluster, with_jobs: bool) {
    let before = cluster.engines[0].runs().len();
    for n in 0..30 {
        let response =
            chat(cluster.daemons[n % 3].front_address, &format!("question {n}"), &[], json!({}));
        assert_eq!(response.status, 200, "{response:?}");
    }
    if with_jobs {
        let accepted = cluster.submit(1, "night", &items("describe", 60));
        let job = accepted.json()["job"].as_str().expect("job id").to_owned();
        cluster.wait_job(2, &job, "finished");
    }
    assert_eq!(cluster.engines[0].runs().len(), before, "new work reached a leaving target");
}

fn register_as_leaving(cluster: &Cluster) {
    cluster.platform.put_target("t0", cluster.engine_addresses[0], true);
}

/// Only waits; [`check_no_new_work`] decides whether the test passes.
#[track_caller]
fn wait_leaving(cluster: &Cluster) {
    wait_until("every daemon lists the target as leaving", || is_leaving_everywhere(cluster));
}

#[rstest]
#[case::no_fault(Control::default())]
#[case::no_watch_events(Control { no_watch_events: Some(true), ..Control::default() })]
#[case::latency(Control { latency_ms: Some(100), ..Control::default() })]
fn target_registered_as_leaving_gets_no_new_work(#[case] fault: Control) {
    let cluster = Cluster::start(Plan::default());
    cluster.set_platform_faults(fault);
    register_as_leaving(&cluster);
    wait_leaving(&cluster);
    check_no_new_work(&cluster, true);
}

#[rstest]
#[case::platform_up(false)]
#[case::platform_down(true)]
fn target_that_rejects_work_as_leaving_gets_no_new_work(#[case] down: bool) {
    let cluster = Cluster::start(Plan::default());
    cluster.set_platform_down(down);
    cluster.engines[0].control(EngineControl { leaving: Some(true), ..EngineControl::default() });
    wait_leaving(&cluster);
    check_no_new_work(&cluster, !down);
}

#[rstest]
#[case::platform_up(false)]
#[case::platform_down(true)]
fn target_drained_by_an_operator_gets_no_new_work(#[case] down: bool) {
    let cluster = Cluster::start(Plan::default());
    cluster.set_platform_down(down);
    let front = cluster.daemons[2].front_address;
    assert_eq!(call("POST", front, "/v1/targets/t0/leave", &[], "").status, 200);
    wait_leaving(&cluster);
    check_no_new_work(&cluster, !down);
    assert_eq!(call("POST", front, "/v1/targets/t0/return", &[], "").status, 200);
    wait_until("the target is used again", || {
        chat(cluster.daemons[0].front_address, &format!("again {}", unix_millis()), &[], json!({}));
        !cluster.engines[0].runs().is_empty()
    });
}

#[test]
fn target_configured_as_leaving_gets_no_new_work() {
    let cluster = Cluster::start(Plan::default());
    let mut change = cluster.initial_change();
    let target = change["put"]
        .as_array_mut()
        .and_then(|put| put.iter_mut().find(|object| object["name"] == "t0"));
    target.expect("the target")["leaving"] = json!(true);
    assert_eq!(cluster.apply(0, 1, &change).status, 200);
    wait_leaving(&cluster);
    check_no_new_work(&cluster, true);
}

#[test]
fn daemon_without_platform_learns_of_leaving_target_from_peers() {
    let cluster = Cluster::start(Plan::default());
    cluster.daemons[1].set_unreachable(&[cluster.platform_address]);
    register_as_leaving(&cluster);
    wait_leaving(&cluster);
    check_no_new_work(&cluster, false);
}

#[test]
fn stale_target_list_does_not_revert_leaving() {
    let cluster = Cluster::start(Plan::default());
    let objects = cluster.platform.objects();
    cluster.platform.put_target("t0", cluster.engine_addresses[0], false);
    let stale = objects.get(platform::target::KIND, "t0").expect("the entry");
    register_as_leaving(&cluster);
    wait_leaving(&cluster);
    objects.insert_stale(platform::target::KIND, stale);
    let before = cluster.platform.counts();
    // Enough for three polls of each watcher.
    std::thread::sleep(Duration::from_millis(1200));
    assert_ne!(cluster.platform.counts(), before);
    assert!(is_leaving_everywhere(&cluster));
    check_no_new_work(&cluster, true);
}

#[test]
fn running_streams_on_a_leaving_target_complete() {
    let engine = standin::engine::Config {
        token_interval: Duration::from_millis(40),
        ..standin::engine::Config::default()
    };
    let cluster = Cluster::start(Plan { engine, engines: 1, ..Plan::default() });
    let front = cluster.daemons[0].front_address;
    let caller = std::thread::spawn(move || chat(front, "running", &[], json!({ "stream": true })));
    wait_until("the stream runs", || cluster.engines[0].running()[0] == 1);
    let front = cluster.daemons[1].front_address;
    assert_eq!(call("POST", front, "/v1/targets/t0/leave", &[], "").status, 200);
    let (text, done) = caller.join().expect("caller thread panicked").streamed_text();
    assert!(done, "truncated after {text:?}");
    assert_eq!(text, standin::text::full_text("running", None));
}
