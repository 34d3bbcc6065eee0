//! Orders to targets: one controller at a time, the last ordered state stays, and
//! no service is left without a target.

mod util;

use rstest::rstest;
use serde_json::{Value, json};
use standin::engine::{Config, Engine};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use util::client::chat;
use util::cluster::{Cluster, Plan};
use util::wait_until;

fn version(name: &str) -> Value {
    json!({ "put": [{
        "object": "service", "name": "pustak-llm", "protocol": "chat", "version": name,
    }] })
}

fn start(engines: usize, checks_fence: bool) -> Cluster {
    let engine = Config {
        checks_fencing_token: checks_fence,
        order_duration: Duration::from_millis(200),
        ..Config::default()
    };
    Cluster::start(Plan { engines, engine, ..Plan::default() })
}

fn all_run(cluster: &Cluster, version: &str) -> bool {
    cluster.engines.iter().all(|engine| engine.version() == version)
}

#[rstest]
#[case::checked(true)]
#[case::unchecked(false)]
fn a_rollout_leaves_no_service_without_a_target(#[case] checks_fence: bool) {
    let cluster = start(4, checks_fence);
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .map(|daemon| {
                let (cluster, done) = (&cluster, &done);
                scope.spawn(move || {
                    let mut served = 0;
                    while !done.load(Ordering::Relaxed) {
                        let prompt = format!("during {daemon} {served}");
                        let front = cluster.daemons[daemon].front_address;
                        let response = chat(front, &prompt, &[], json!({}));
                        assert_eq!(response.status, 200, "{response:?}");
                        served += 1;
                    }
                    served
                })
            })
            .collect();
        assert_eq!(cluster.apply(0, 1, &version("v2")).status, 200);
        wait_until("every target runs v2", || all_run(&cluster, "v2"));
        done.store(true, Ordering::Relaxed);
        let served: usize = callers.into_iter().map(|c| c.join().expect("served")).sum();
        assert!(served > 0);
    });
    let orders: Vec<usize> = cluster.engines.iter().map(|e| e.orders().len()).collect();
    assert_eq!(orders, [1, 1, 1, 1], "each target is ordered once");
}

/// Every daemon believes itself alone and in charge of every target.
#[test]
fn controllers_that_do_not_see_each_other_order_once() {
    let cluster = start(6, false);
    let peers: Vec<SocketAddr> = cluster.daemons.iter().map(|daemon| daemon.peer_address).collect();
    cluster.daemons.iter().for_each(|daemon| daemon.set_unreachable(&peers));
    wait_until("each is alone", || {
        cluster.daemons.iter().all(|daemon| daemon.alive_members() == 1)
    });
    assert_eq!(cluster.apply(0, 1, &version("v2")).status, 200);
    wait_until("every target runs v2", || all_run(&cluster, "v2"));
    let orders: Vec<usize> = cluster.engines.iter().map(|e| e.orders().len()).collect();
    assert_eq!(orders, [1; 6], "each target is ordered once");
}

/// Fencing numbers of the orders that one target carried out never fall.
#[track_caller]
fn check_fences(engine: &Engine) {
    let fences: Vec<u64> = engine.orders().iter().map(|(fence, _)| *fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
}

/// A controller is paused in the middle of a rollout, the operators change their
/// minds, and it wakes: what was ordered last stays.
#[rstest]
#[case::checked(true)]
#[case::unchecked(false)]
fn a_controller_that_wakes_undoes_nothing(#[case] checks_fence: bool) {
    let cluster = start(5, checks_fence);
    assert_eq!(cluster.apply(0, 1, &version("v2")).status, 200);
    wait_until("the rollout began", || {
        cluster.engines.iter().any(|engine| engine.version() == "v2")
    });
    cluster.daemons[1].freeze();
    wait_until("the change is accepted", || {
        let response = cluster.apply(0, 2, &version("v1"));
        response.status == 200 || cluster.daemons[0].generation() >= 3
    });
    wait_until("every target runs v1 again", || all_run(&cluster, "v1"));
    let last: Vec<_> = cluster.engines.iter().map(|e| e.orders().len()).collect();
    cluster.daemons[1].thaw();
    wait_until("it knows better", || cluster.daemons[1].generation() == 3);
    cluster.wait_members();
    assert!(all_run(&cluster, "v1"));
    for (engine, before) in cluster.engines.iter().zip(last) {
        let after = engine.orders();
        assert!(after[before..].iter().all(|(_, order)| order.version == "v1"), "{after:?}");
        check_fences(engine);
    }
}

#[test]
fn the_only_target_of_a_service_goes_on_serving() {
    let cluster = start(1, true);
    assert_eq!(cluster.apply(0, 1, &version("v2")).status, 200);
    cluster.wait_generation(2);
    for n in 0..20 {
        let response =
            chat(cluster.daemons[n % 3].front_address, &format!("only {n}"), &[], json!({}));
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(cluster.engines[0].version(), "v1");
}

#[test]
fn a_killed_controller_is_succeeded() {
    let mut cluster = start(4, false);
    assert_eq!(cluster.apply(0, 1, &version("v2")).status, 200);
    wait_until("the rollout began", || {
        cluster.engines.iter().any(|engine| engine.version() == "v2")
    });
    cluster.daemons[2].kill();
    wait_until("every target runs v2", || all_run(&cluster, "v2"));
    let front = cluster.daemons[0].front_address;
    wait_until("every target is used again", || {
        let list = cluster.daemons[0].get("/v1/targets").json();
        let list = list.as_array().cloned().unwrap_or_default();
        list.iter().all(|one| one["leaving"] == false)
    });
    assert_eq!(chat(front, "after", &[], json!({})).status, 200);
}
