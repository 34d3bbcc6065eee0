//! A target that is leaving receives no new work after a few seconds, whoever
//! says so, and whatever else is broken.

mod util;

use rstest::rstest;
use serde_json::json;
use standin::engine::Control as EngineControl;
use standin::platform::Control;
use std::time::Duration;
use util::client::{call, chat, unix_millis};
use util::cluster::{Cluster, Plan, items};
use util::wait_until;

/// Whether every daemon gives target `t0` no new work.
fn is_left(cluster: &Cluster) -> bool {
    cluster.daemons.iter().all(|daemon| {
        let list = daemon.get("/v1/targets").json();
        let list = list.as_array().cloned().unwrap_or_default();
        list.iter().any(|one| one["name"] == "t0" && one["leaving"] == true)
    })
}

/// Online and batch work goes on, and none of it reaches engine 0.
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
        let job = accepted.json()["job"].as_str().expect("its id").to_owned();
        cluster.wait_job(2, &job, "finished");
    }
    assert_eq!(cluster.engines[0].runs().len(), before, "new work reached a leaving target");
}

fn list_as_leaving(cluster: &Cluster) {
    cluster.platform.put_target("t0", cluster.engine_addresses[0], true);
}

/// The limit of the promise, with room for a busy machine; a wait, no verdict
/// by itself: what decides is that nothing reaches the engine afterwards.
#[track_caller]
fn wait_left(cluster: &Cluster) {
    wait_until("every daemon knows", || is_left(cluster));
}

#[rstest]
#[case::sound(Control::default())]
#[case::deaf_watches(Control { no_watch_events: Some(true), ..Control::default() })]
#[case::slow(Control { latency_ms: Some(100), ..Control::default() })]
fn by_the_platforms_list(#[case] fault: Control) {
    let cluster = Cluster::start(Plan::default());
    cluster.set_platform_faults(fault);
    list_as_leaving(&cluster);
    wait_left(&cluster);
    check_no_new_work(&cluster, true);
}

#[rstest]
#[case::platform_up(false)]
#[case::platform_down(true)]
fn by_its_own_refusal(#[case] down: bool) {
    let cluster = Cluster::start(Plan::default());
    cluster.set_platform_down(down);
    cluster.engines[0].control(EngineControl { leaving: Some(true), ..EngineControl::default() });
    wait_left(&cluster);
    check_no_new_work(&cluster, !down);
}

#[rstest]
#[case::platform_up(false)]
#[case::platform_down(true)]
fn by_an_operators_order(#[case] down: bool) {
    let cluster = Cluster::start(Plan::default());
    cluster.set_platform_down(down);
    let front = cluster.daemons[2].front_address;
    assert_eq!(call("POST", front, "/v1/targets/t0/leave", &[], "").status, 200);
    wait_left(&cluster);
    check_no_new_work(&cluster, !down);
    assert_eq!(call("POST", front, "/v1/targets/t0/return", &[], "").status, 200);
    wait_until("it is used again", || {
        chat(cluster.daemons[0].front_address, &format!("again {}", unix_millis()), &[], json!({}));
        !cluster.engines[0].runs().is_empty()
    });
}

#[test]
fn by_a_change_of_the_configuration() {
    let cluster = Cluster::start(Plan::default());
    let mut change = cluster.initial_change();
    let target = change["put"]
        .as_array_mut()
        .and_then(|put| put.iter_mut().find(|object| object["name"] == "t0"));
    target.expect("the target")["leaving"] = json!(true);
    assert_eq!(cluster.apply(0, 1, &change).status, 200);
    wait_left(&cluster);
    check_no_new_work(&cluster, true);
}

/// A daemon that the platform's watch and list never reach hears it from a peer.
#[test]
fn a_daemon_cut_off_from_the_platform_hears_it_from_its_peers() {
    let cluster = Cluster::start(Plan::default());
    cluster.daemons[1].set_unreachable(&[cluster.platform_address]);
    list_as_leaving(&cluster);
    wait_left(&cluster);
    check_no_new_work(&cluster, false);
}

/// A stale copy of the list, which shows an earlier state, takes nothing back.
#[test]
fn a_stale_list_takes_nothing_back() {
    let cluster = Cluster::start(Plan::default());
    let objects = cluster.platform.objects();
    cluster.platform.put_target("t0", cluster.engine_addresses[0], false);
    let stale = objects.get(platform::target::KIND, "t0").expect("the entry");
    list_as_leaving(&cluster);
    wait_left(&cluster);
    objects.insert_stale(platform::target::KIND, stale);
    let lists = cluster.platform.counts();
    // Three polls of each watcher have read the stale list.
    std::thread::sleep(Duration::from_millis(1200));
    assert_ne!(cluster.platform.counts(), lists);
    assert!(is_left(&cluster));
    check_no_new_work(&cluster, true);
}

/// Requests that run there when the word comes are finished, not cut off.
#[test]
fn running_streams_finish() {
    let engine = standin::engine::Config {
        token_interval: Duration::from_millis(40),
        ..standin::engine::Config::default()
    };
    let cluster = Cluster::start(Plan { engine, engines: 1, ..Plan::default() });
    let front = cluster.daemons[0].front_address;
    let asked = std::thread::spawn(move || chat(front, "running", &[], json!({ "stream": true })));
    wait_until("it runs", || cluster.engines[0].running()[0] == 1);
    let front = cluster.daemons[1].front_address;
    assert_eq!(call("POST", front, "/v1/targets/t0/leave", &[], "").status, 200);
    let (text, done) = asked.join().expect("an answer").streamed_text();
    assert!(done, "cut off after {text:?}");
    assert_eq!(text, standin::text::full_text("running", None));
}
