//! Orders to targets: one controller at a time, the newest ordered state stays, and a rollout
//! leaves every service with a target.

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

fn version_change(name: &str) -> Value {
    json!({ "put": [{
        "object": "service", "name": "pustak-llm", "protocol": "chat", "version": name,
    }] })
}

fn start(engines: usize, checks_fencing_token: bool) -> Cluster {
    let engine = Config {
        checks_fencing_token,
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
fn rollout_never_leaves_a_service_without_a_target(#[case] checks_fencing_token: bool) {
    let cluster = start(4, checks_fencing_token);
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
        assert_eq!(cluster.apply(0, 1, &version_change("v2")).status, 200);
        wait_until("every target runs v2", || all_run(&cluster, "v2"));
        done.store(true, Ordering::Relaxed);
        let served: usize =
            callers.into_iter().map(|c| c.join().expect("caller thread panicked")).sum();
        assert!(served > 0);
    });
    let orders: Vec<usize> = cluster.engines.iter().map(|e| e.orders().len()).collect();
    assert_eq!(orders, [1, 1, 1, 1], "each target gets one order");
}

/// Without peers, every daemon becomes the controller of every target.
#[test]
fn partitioned_controllers_send_one_order_per_target() {
    let cluster = start(6, false);
    let peers: Vec<SocketAddr> = cluster.daemons.iter().map(|daemon| daemon.peer_address).collect();
    cluster.daemons.iter().for_each(|daemon| daemon.set_unreachable(&peers));
    wait_until("each instance sees no peer", || {
        cluster.daemons.iter().all(|daemon| daemon.alive_members() == 1)
    });
    assert_eq!(cluster.apply(0, 1, &version_change("v2")).status, 200);
    wait_until("every target runs v2", || all_run(&cluster, "v2"));
    let orders: Vec<usize> = cluster.engines.iter().map(|e| e.orders().len()).collect();
    assert_eq!(orders, [1; 6], "each target gets one order");
}

/// Checks that a target carried out orders by ascending fencing token.
#[track_caller]
fn check_fencing_tokens(engine: &Engine) {
    let tokens: Vec<u64> = engine.orders().iter().map(|(token, _)| *token).collect();
    assert!(tokens.is_sorted(), "{tokens:?}");
}

/// A controller paused during a rollout resumes after a later change: the later version stays.
#[rstest]
#[case::checked(true)]
#[case::unchecked(false)]
fn resumed_controller_does_not_revert_a_later_change(#[case] checks_fencing_token: bool) {
    let cluster = start(5, checks_fencing_token);
    assert_eq!(cluster.apply(0, 1, &version_change("v2")).status, 200);
    wait_until("the rollout has started", || {
        cluster.engines.iter().any(|engine| engine.version() == "v2")
    });
    cluster.daemons[1].freeze();
    wait_until("the change is accepted", || {
        let response = cluster.apply(0, 2, &version_change("v1"));
        response.status == 200 || cluster.daemons[0].generation() >= 3
    });
    wait_until("every target runs v1 again", || all_run(&cluster, "v1"));
    let orders_before: Vec<_> = cluster.engines.iter().map(|e| e.orders().len()).collect();
    cluster.daemons[1].thaw();
    wait_until("the resumed controller has the later change", || {
        cluster.daemons[1].generation() == 3
    });
    cluster.wait_members();
    assert!(all_run(&cluster, "v1"));
    for (engine, before) in cluster.engines.iter().zip(orders_before) {
        let after = engine.orders();
        assert!(after[before..].iter().all(|(_, order)| order.version == "v1"), "{after:?}");
        check_fencing_tokens(engine);
    }
}

#[test]
fn only_target_of_a_service_keeps_serving() {
    let cluster = start(1, true);
    assert_eq!(cluster.apply(0, 1, &version_change("v2")).status, 200);
    cluster.wait_generation(2);
    for n in 0..20 {
        let response =
            chat(cluster.daemons[n % 3].front_address, &format!("only {n}"), &[], json!({}));
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(cluster.engines[0].version(), "v1");
}

#[test]
fn killed_controller_is_replaced() {
    let mut cluster = start(4, false);
    assert_eq!(cluster.apply(0, 1, &version_change("v2")).status, 200);
    wait_until("the rollout has started", || {
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
