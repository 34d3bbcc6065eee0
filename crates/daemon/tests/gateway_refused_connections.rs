//! Online requests beside targets that refuse connections.

mod util;

use serde_json::{Value, json};
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan};
use util::wait_until;

/// Registers targets at ports without a listener, and waits until all instances know them.
fn add_gone_targets(fleet: &Fleet) {
    for n in 0..12 {
        // The port is free again once the listener is dropped.
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let entry = json!({
            "service": "llm", "addr": address, "zone": "east", "version": "v1", "slots": 64,
            "state": "ready", "cold_left_ms": 0, "seq": 1,
        });
        fleet.objects.put("servers", &format!("gone-{n}"), entry);
    }
    wait_until("the targets are known", || {
        let is_last = |line: &Value| line["msg"] == "target" && line["target"] == "gone-11";
        (0..3).all(|n| fleet.log(n).iter().any(is_last))
    });
}

/// Regression: a request was refused once three targets had refused its connections, which takes
/// a few milliseconds, although others were free.
#[test]
fn request_is_served_though_most_targets_refuse_connections() {
    let fleet = Fleet::start(Plan::default());
    add_gone_targets(&fleet);
    for n in 0..3 {
        let response = fleet.send(n, &format!("/plain/{n}"), &format!("plain-{n}"));
        assert_eq!(response.status, 200, "{response:?}");
    }
}

#[test]
fn request_is_refused_soon_if_all_targets_refuse_connections() {
    let fleet = Fleet::start(Plan::default());
    add_gone_targets(&fleet);
    (0..2).for_each(|n| fleet.set_runner_state(n, "draining"));
    std::thread::sleep(Duration::from_millis(500));
    let sent_at = Instant::now();
    let response = fleet.send(0, "/plain/none", "none");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(sent_at.elapsed() < Duration::from_millis(600), "{:?}", sent_at.elapsed());
}
