//! Runs `workspaces` and `targets --metrics` on recorded metrics.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

/// Serves a text at every path until the test ends.
fn serve(text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let _read = stream.read(&mut [0; 1024]).expect("read the request");
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
            stream.write_all((head + text).as_bytes()).expect("respond");
        }
    });
    address
}

fn run(args: &[&str], addresses: &[SocketAddr]) -> Output {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_gatespool"));
    command.args(args).arg("--metrics").arg(addresses.join(","));
    command.output().expect("run the command")
}

#[track_caller]
fn table(command: &str, addresses: &[SocketAddr]) -> Vec<Vec<String>> {
    let output = run(&[command], addresses);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("text");
    let cells = |line: &str| {
        line.split("  ").map(str::trim).filter(|cell| !cell.is_empty()).map(String::from).collect()
    };
    text.lines().skip(1).map(cells).collect()
}

const FIRST: &str = r#"gatespool_quota_rejected_acme_1 7
gatespool_quota_rejected_gone 2
gatespool_account_online 8
gatespool_class_targets{service="llm",class="usual"} 3
gatespool_class_slots_in_use{service="llm",class="usual"} 6
gatespool_class_event_ms{service="llm",class="usual"} 20.00
gatespool_class_targets{service="llm",class="fast"} 1
gatespool_class_slots_in_use{service="llm",class="fast"} 2
gatespool_workspace_slots_in_use{workspace="acme.1"} 5
gatespool_workspace_waiting{workspace="acme.1"} 1
gatespool_workspace_slots_in_use{workspace="be\"la"} 2
gatespool_workspace_waiting{workspace="be\"la"} 0
gatespool_other_workspaces_slots_in_use 0
gatespool_other_workspaces_waiting 0
gatespool_unknown_workspace_slots_in_use 1
gatespool_unknown_workspace_waiting 0
"#;
const SECOND: &str = r#"gatespool_class_targets{service="llm",class="usual"} 1
gatespool_class_slots_in_use{service="llm",class="usual"} 8
gatespool_class_event_ms{service="llm",class="usual"} 40.00
gatespool_workspace_slots_in_use{workspace="acme.1"} 5
gatespool_workspace_waiting{workspace="acme.1"} 2
gatespool_other_workspaces_slots_in_use 3
gatespool_other_workspaces_waiting 4
gatespool_unknown_workspace_slots_in_use 0
gatespool_unknown_workspace_waiting 0
"#;

/// Guards against numbers of one data centre taken for all, and against a workspace that one
/// instance doesn't list shown with too little as if that were all.
#[test]
fn workspaces_are_summed_over_instances() {
    let addresses = [serve(FIRST), serve(SECOND)];
    let rows = table("workspaces", &addresses);
    assert_eq!(
        rows,
        [
            vec!["acme.1", "10", "62.5 %", "3", "7"],
            vec!["be\"la", "at least 2", "at least 12.5 %", "at least 0", "0"],
            vec!["gone", "unknown", "unknown", "unknown", "2"],
            vec!["(others)", "3", "18.8 %", "4", "unknown"],
            vec!["(no known workspace)", "1", "6.2 %", "0", "unknown"],
        ]
    );
    let output = run(&["--json", "workspaces"], &addresses);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("valid JSON");
    assert_eq!(report["rows"][0]["slots_in_use"], 10);
    assert!(report["rows"][2]["slots_in_use"].is_null(), "{report}");
}

/// Guards against shares of an unknown whole, and against an instance of an earlier build counted
/// as idle.
#[test]
fn missing_instances_are_not_counted_as_idle() {
    let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let unreachable = free.expect("an address");
    let rows = table("workspaces", &[serve(FIRST), unreachable]);
    assert_eq!(rows[0], ["acme.1", "at least 5", "unknown", "at least 1", "at least 7"]);
    let earlier = serve("gatespool_account_online 6\ngatespool_account_batch 2\n");
    let rows = table("workspaces", &[serve(FIRST), earlier]);
    assert_eq!(rows[0][1..3], ["at least 5", "at least 31.2 %"]);
    assert_eq!(
        rows.last().expect("a row")[..3],
        ["(no known workspace)", "at least 9", "at least 56.2 %"]
    );
    assert!(!run(&["workspaces"], &[unreachable]).status.success());
}

/// Guards against a mean that ignores how many targets an instance has, and against an unknown time
/// shown as zero.
#[test]
fn targets_are_summed_by_service_and_class() {
    let rows = table("targets", &[serve(FIRST), serve(SECOND)]);
    assert_eq!(
        rows,
        [vec!["llm", "fast", "1", "2", "unknown"], vec!["llm", "usual", "4", "14", "25.0 ms"],]
    );
}
