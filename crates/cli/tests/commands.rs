//! The real binary against an embedded daemon: tables, JSON, exit codes.

use protocol::settings::Settings;
use standin::engine::{Config, Engine};
use standin::platform::Platform;
use standin::serve::{self, Server};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

struct Bench {
    daemon: daemon::Daemon,
    folder: PathBuf,
    _standins: Vec<Server>,
}

impl Bench {
    fn start(name: &str) -> Bench {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = serve::start(any, Platform::default()).expect("the platform");
        let engine = serve::start(any, Engine::new(Config::default())).expect("an engine");
        let settings = Settings {
            platform_address: platform.address,
            commit_interval: Duration::from_millis(10),
            report_interval: Duration::from_millis(100),
            ..Settings::default()
        };
        let daemon = daemon::start(settings, daemon::logging::discard()).expect("a daemon");
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let change = serde_json::json!({ "put": [
            { "object": "version", "name": "v1", "weights": "w" },
            { "object": "service", "name": "pustak-llm", "protocol": "chat", "version": "v1",
              "levels": [{ "class": "online", "first_token_ms": 760, "share": 0.95 }] },
            { "object": "target", "name": "t0", "address": engine.address.to_string(),
              "data_centre": "local", "service": "pustak-llm", "slots": 8 },
        ] });
        let bench = Bench { daemon, folder, _standins: vec![platform, engine] };
        bench.write("change.json", &change.to_string());
        let end = Instant::now() + Duration::from_secs(30);
        while bench.run(&["config", "apply", "--wait", "change.json"]).status.code() != Some(0) {
            assert!(Instant::now() < end, "the configuration is accepted");
            std::thread::sleep(Duration::from_millis(50));
        }
        bench
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text).expect("a file");
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_gatespool"))
            .current_dir(&self.folder)
            .args(["--address", &self.daemon.front.to_string()])
            .args(args)
            .output()
            .expect("the command runs")
    }

    #[track_caller]
    fn good(&self, args: &[&str]) -> String {
        let output = self.run(args);
        assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }
}

#[test]
fn a_question_gets_the_same_text_streamed_and_not() {
    let bench = Bench::start("question");
    let whole = bench.good(&["request", "pustak-llm", "which edition?"]);
    assert_eq!(whole.trim(), standin::text::full_text("which edition?", None).trim());
    assert_eq!(bench.good(&["request", "--stream", "pustak-llm", "which edition?"]), whole);
    let json = bench.good(&["--json", "request", "--key", "k", "--once", "pustak-llm", "offer"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(json["object"], "chat.completion");
}

#[test]
fn a_job_goes_in_and_its_results_come_out() {
    let bench = Bench::start("job");
    let mut body = String::from("{\"service\":\"pustak-llm\"}\n");
    (0..30).for_each(|n| body.push_str(&format!("{{\"prompt\":\"entry {n}\"}}\n")));
    bench.write("job.jsonl", &body);
    let json = bench.good(&["--json", "job", "submit", "--key", "night", "--wait", "job.jsonl"]);
    let status: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!((&status["phase"], &status["done"]), (&"finished".into(), &30.into()));
    let job = status["job"].as_str().expect("its id");
    let results = bench.good(&["job", "results", job]);
    assert_eq!(results.lines().count(), 30);
    assert!(bench.good(&["job", "status", job]).contains("finished"));
    assert!(bench.good(&["job", "cancel", job]).contains("finished"), "it had ended before");
}

#[test]
fn operators_see_configuration_targets_instances_and_burn() {
    let bench = Bench::start("operators");
    bench.good(&["request", "pustak-llm", "which edition?"]);
    assert!(bench.good(&["config", "get"]).contains("target"));
    assert!(bench.good(&["config", "history"]).contains("GENERATION"));
    assert!(bench.good(&["targets"]).contains("t0"));
    assert!(bench.good(&["instances"]).contains("alive"));
    let burn = bench.good(&["burn"]);
    assert!(burn.contains("pustak-llm") && burn.contains("21600 s"), "{burn}");
    assert!(bench.good(&["leave", "t0"]).contains("leave"));
    assert!(bench.good(&["leave", "--return", "t0"]).contains("return"));
}

#[test]
fn exit_codes_tell_one_end_from_another() {
    let bench = Bench::start("exit");
    let code = |args: &[&str]| bench.run(args).status.code();
    assert_eq!(code(&["request", "no-such", "x"]), Some(3));
    assert_eq!(code(&["config", "apply", "--revision", "99", "change.json"]), Some(3));
    assert_eq!(code(&["config", "apply", "no-such.json"]), Some(5));
    assert_ne!(code(&["request"]), Some(0));
    bench.write("bad.ini", "[front]\nlisten = nowhere\n");
    let checked = bench.run(&["check-settings", "bad.ini"]);
    assert_eq!(checked.status.code(), Some(1));
    let fault = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert!(fault.contains("[front]") && fault.contains("`listen`"), "{fault}");
    let help = bench.good(&["job", "submit", "--help"]);
    assert!(help.contains("Example:") && help.contains("--key"), "{help}");
}

#[test]
fn a_replay_judges_each_stated_outcome() {
    let bench = Bench::start("replay");
    let request = |name: &str, service: &str, expect: &str| {
        format!(
            "{{\"event\":\"request\",\"at\":0,\"name\":\"{name}\",\"class\":\"question\",\
             \"service\":\"{service}\",\"prompt\":\"p\",\"expect\":{expect}}}\n"
        )
    };
    let good = request("one", "pustak-llm", "\"completed\"")
        + &request("two", "no-such", "{\"error\":\"unknown_service\"}");
    bench.write("good.jsonl", &good);
    assert!(bench.good(&["replay", "good.jsonl"]).contains("2 of 2 stated outcomes hold"));
    bench.write("bad.jsonl", &request("three", "no-such", "\"completed\""));
    let output = bench.run(&["--json", "replay", "--patience", "1", "bad.jsonl"]);
    assert_eq!(output.status.code(), Some(1));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["verdicts"][0]["holds"], false);
}
