//! Runs `explain` on recorded log lines.

use std::path::PathBuf;
use std::process::Command;

/// The last line that `explain r1` prints for a log.
fn last_line(test: &str, log: &str) -> String {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("explain-{test}.log"));
    std::fs::write(&file, log).expect("write the log");
    let mut command = Command::new(env!("CARGO_BIN_EXE_gatespool"));
    let output = command.arg("explain").arg("r1").arg(&file).output().expect("run the command");
    let text = String::from_utf8(output.stdout).expect("text");
    text.lines().last().expect("a line").to_owned()
}

fn line(message: &str, fields: &str) -> String {
    format!(
        "{{\"msg\":\"{message}\",\"ts\":\"2026-12-03T10:00:01.5Z\",\"request\":\"r1\",{fields}}}\n"
    )
}

const PLACED: &str = r#""target":"t9","workspace":"acme","expected_ms":140,"target_first_ms":390,
    "kept_tokens":1200,"unread_tokens":90,"slowness":1.8444,"slot_ms":55,"slowest_ms":40"#;

/// Guards against a late request without its placement, and against calling one late that was not.
#[test]
fn late_stream_is_explained_and_timely_one_is_not() {
    let placed = PLACED.replace('\n', "");
    let stream = |first: u64, gap: u64| {
        let times = format!("\"first_ms\":{first},\"objective_ms\":300,\"max_gap_ms\":{gap}");
        last_line(
            &format!("late-{first}-{gap}"),
            &line("stream ended", &format!("{placed},{times}")),
        )
    };
    assert_eq!(
        stream(445, 300),
        "late: first event after 445 ms, objective 300 ms; placed on t9: first event from the \
         target expected after 140 ms, came after 390 ms; tokens kept 1200, unread 90; slowness \
         1.84; waited 55 ms for its slot; workspace acme"
    );
    assert!(stream(299, 30).starts_with("late: paused for 40 ms, limit 30 ms;"));
    assert!(stream(300, 40).contains("stream ended"), "in time, so no line is added");
}

/// Guards against guesses where an earlier build logged less, or the instance knew nothing.
#[test]
fn missing_fields_are_reported_as_such() {
    let earlier = last_line("earlier", &line("stream ended", "\"target\":\"t9\",\"first_ms\":9"));
    assert!(earlier.starts_with("late or not: the objective isn't logged"), "{earlier}");
    assert!(earlier.contains("expected after not logged"), "{earlier}");
    let unknown = last_line("unknown", &line("stream aborted", "\"slowness\":null"));
    assert!(unknown.contains("slowness unknown"), "{unknown}");
}

/// Guards against a truncated response that can't be told from a complete one.
#[test]
fn truncated_stream_is_explained_by_its_fault_and_framing() {
    let fields = "\"fault\":\"ended inside an event\",\"framing\":\"connection\"";
    let aborted = last_line("aborted", &line("stream aborted", fields));
    let start = "aborted: ended inside an event; end told by its connection; placed on";
    assert!(aborted.starts_with(start), "{aborted}");
}

/// Guards against rejections that name neither what was waited for nor the workspace.
#[test]
fn rejection_states_what_was_waited_for() {
    let rejected = |cause: &str, sent: u64| {
        let fields = format!(
            "\"cause\":\"{cause}\",\"status\":503,\"sent\":{sent},\"avoided\":\"[\\\"t3\\\"]\",\
             \"service\":\"llm\",\"slot_ms\":61,\"workspace\":\"acme\""
        );
        last_line(&format!("rejected-{sent}"), &line("request failed", &fields))
    };
    assert_eq!(
        rejected("no slot", 0),
        "failed with 503: no slot; placed nowhere; waited 61 ms for a slot of llm; workspace acme"
    );
    let retried = rejected("over the quota", 1);
    assert!(retried.contains("tried targets [t3]; waited 61 ms for the quota of"), "{retried}");
}
