//! Runs the binary against an embedded daemon and checks its output and exit codes.

use protocol::settings::Settings;
use standin::engine::{Config, Engine};
use standin::platform::Platform;
use standin::serve::{self, Server};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

struct TestSystem {
    daemon: daemon::Daemon,
    directory: PathBuf,
    _standins: Vec<Server>,
}

impl TestSystem {
    fn start(name: &str) -> TestSystem {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = serve::start(any_port, Platform::default()).expect("start the platform");
        let engine =
            serve::start(any_port, Engine::new(Config::default())).expect("start an engine");
        let settings = Settings {
            platform_address: platform.address,
            commit_interval: Duration::from_millis(10),
            report_interval: Duration::from_millis(100),
            ..Settings::default()
        };
        let daemon = daemon::start(settings, daemon::logging::discard()).expect("start a daemon");
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).expect("create the directory");
        let change = serde_json::json!({ "put": [
            { "object": "version", "name": "v1", "weights": "w" },
            { "object": "service", "name": "pustak-llm", "protocol": "chat", "version": "v1",
              "levels": [{ "class": "online", "first_token_ms": 760, "share": 0.95 }] },
            { "object": "target", "name": "t0", "address": engine.address.to_string(),
              "data_centre": "local", "service": "pustak-llm", "slots": 8 },
        ] });
        let system = TestSystem { daemon, directory, _standins: vec![platform, engine] };
        system.write("change.json", &change.to_string());
        let deadline = Instant::now() + Duration::from_secs(30);
        while system.run(&["config", "apply", "--wait", "change.json"]).status.code() != Some(0) {
            assert!(Instant::now() < deadline, "the configuration wasn't applied in time");
            std::thread::sleep(Duration::from_millis(50));
        }
        system
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.directory.join(name), text).expect("write the file");
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_gatespool"))
            .current_dir(&self.directory)
            .args(["--address", &self.daemon.front.to_string()])
            .args(args)
            .output()
            .expect("run the command")
    }

    #[track_caller]
    fn run_ok(&self, args: &[&str]) -> String {
        let output = self.run(args);
        assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }
}

#[test]
fn request_prints_same_text_with_and_without_stream() {
    let system = TestSystem::start("question");
    let buffered = system.run_ok(&["request", "pustak-llm", "which edition?"]);
    assert_eq!(buffered.trim(), standin::text::full_text("which edition?", None).trim());
    assert_eq!(system.run_ok(&["request", "--stream", "pustak-llm", "which edition?"]), buffered);
    let json = system.run_ok(&["--json", "request", "--key", "k", "--once", "pustak-llm", "offer"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("valid JSON");
    assert_eq!(json["object"], "chat.completion");
}

#[test]
fn job_results_are_printed_after_submission() {
    let system = TestSystem::start("job");
    let mut body = String::from("{\"service\":\"pustak-llm\"}\n");
    (0..30).for_each(|n| body.push_str(&format!("{{\"prompt\":\"entry {n}\"}}\n")));
    system.write("job.jsonl", &body);
    let json = system.run_ok(&["--json", "job", "submit", "--key", "night", "--wait", "job.jsonl"]);
    let status: serde_json::Value = serde_json::from_str(&json).expect("valid JSON");
    assert_eq!((&status["phase"], &status["done"]), (&"finished".into(), &30.into()));
    let job = status["job"].as_str().expect("a job id");
    let results = system.run_ok(&["job", "results", job]);
    assert_eq!(results.lines().count(), 30);
    assert!(system.run_ok(&["job", "status", job]).contains("finished"));
    assert!(
        system.run_ok(&["job", "cancel", job]).contains("finished"),
        "cancelling a finished job must not change it"
    );
}

#[test]
fn operator_commands_print_their_tables() {
    let system = TestSystem::start("operators");
    system.run_ok(&["request", "pustak-llm", "which edition?"]);
    assert!(system.run_ok(&["config", "get"]).contains("target"));
    assert!(system.run_ok(&["config", "history"]).contains("GENERATION"));
    assert!(system.run_ok(&["targets"]).contains("t0"));
    assert!(system.run_ok(&["instances"]).contains("alive"));
    let burn = system.run_ok(&["burn"]);
    assert!(burn.contains("pustak-llm") && burn.contains("21600 s"), "{burn}");
    assert!(system.run_ok(&["leave", "t0"]).contains("leave"));
    assert!(system.run_ok(&["leave", "--return", "t0"]).contains("return"));
}

#[test]
fn exit_code_states_kind_of_failure() {
    let system = TestSystem::start("exit");
    let code = |args: &[&str]| system.run(args).status.code();
    assert_eq!(code(&["request", "no-such", "x"]), Some(3));
    assert_eq!(code(&["config", "apply", "--revision", "99", "change.json"]), Some(3));
    assert_eq!(code(&["config", "apply", "no-such.json"]), Some(5));
    assert_ne!(code(&["request"]), Some(0));
    system.write("bad.ini", "[front]\nlisten = nowhere\n");
    let checked = system.run(&["check-settings", "bad.ini"]);
    assert_eq!(checked.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert!(errors.contains("[front]") && errors.contains("`listen`"), "{errors}");
    let help = system.run_ok(&["job", "submit", "--help"]);
    assert!(help.contains("Example:") && help.contains("--key"), "{help}");
}

#[test]
fn replay_checks_each_expected_outcome() {
    let system = TestSystem::start("replay");
    let request = |name: &str, service: &str, expect: &str| {
        format!(
            "{{\"event\":\"request\",\"at\":0,\"name\":\"{name}\",\"class\":\"question\",\
             \"service\":\"{service}\",\"prompt\":\"p\",\"expect\":{expect}}}\n"
        )
    };
    let trace = request("one", "pustak-llm", "\"completed\"")
        + &request("two", "no-such", "{\"error\":\"unknown_service\"}");
    system.write("good.jsonl", &trace);
    assert!(system.run_ok(&["replay", "good.jsonl"]).contains("2 of 2 stated outcomes hold"));
    system.write("bad.jsonl", &request("three", "no-such", "\"completed\""));
    let output = system.run(&["--json", "replay", "--patience", "1", "bad.jsonl"]);
    assert_eq!(output.status.code(), Some(1));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("valid JSON");
    assert_eq!(report["verdicts"][0]["holds"], false);
}
