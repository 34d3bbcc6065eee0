//! Metrics of the slot allocators, as a gateway serves them.

mod util;

use serde_json::json;
use util::batch::slow_runner;
use util::client;
use util::gateway::{Fleet, Plan, send_to};
use util::port::ReservedPort;
use util::wait_until;

/// Guards against metrics that don't attribute a running request to its workspace, and that don't
/// state the times that were learned from it.
#[test]
fn slots_of_a_workspace_and_learned_times_are_served() {
    let port = ReservedPort::any();
    let fleet = Fleet::start(Plan {
        gateways: vec!["east"],
        runners: vec![("east", slow_runner("r0"))],
        workspaces: json!([{ "name": "press", "api_keys": ["key-press"] }]),
        settings: vec![format!("metrics.listen = {}", port.address)],
        ..Plan::default()
    });
    let has_line = |line: &str| {
        let response = client::get(port.address, "/metrics");
        let text = String::from_utf8_lossy(&response.body);
        text.lines().any(|known| known.starts_with(line))
    };
    let front = fleet.gateways[0].front_address;
    let key = [("authorization", "Bearer key-press")];
    std::thread::scope(|scope| {
        let request = scope.spawn(|| send_to(front, "/ask/x", "r-1", &key).status);
        wait_until("the slot is attributed", || {
            has_line("gatespool_workspace_slots_in_use{workspace=\"press\"} 1")
        });
        assert_eq!(request.join().expect("no panic"), 200);
    });
    wait_until("the slot is free", || has_line("gatespool_account_online 0"));
    assert!(!has_line("gatespool_workspace_slots_in_use"));
    assert!(has_line("gatespool_class_targets{service=\"llm\",class=\"usual\"} 1"));
    assert!(has_line("gatespool_class_event_ms{service=\"llm\",class=\"usual\"} "), "learned");
    let is_logged = |key: &str| {
        fleet.log(0).iter().any(|line| line["msg"] == "stream ended" && line[key].is_u64())
    };
    assert!(is_logged("objective_ms") && is_logged("max_gap_ms"), "explain needs them");
}
