//! Settings: faults name file, section and key.

use protocol::settings::{Settings, SettingsError};
use rstest::rstest;
use std::path::Path;

#[test]
fn defaults_are_valid() {
    assert_eq!(Settings::parse("x.ini", ""), Ok(Settings::default()));
}

#[rstest]
#[case("[front]\nlisten = localhost:80", "front", "listen", "an IP number and port")]
#[case("[peers]\nseeds = 10.0.0.1:1, host:2", "peers", "seeds", "IP numbers")]
#[case("[front]\nlissten = 10.0.0.1:1", "front", "lissten", "a key that is known")]
#[case("[frnt]\nlisten = 10.0.0.1:1", "frnt", "listen", "a key that is known")]
#[case("[instance]\nprocessor = 0", "instance", "processor", "above 0")]
#[case("[log]\nshards = 0", "log", "shards", "at least 1")]
#[case("[log]\nshards = many", "log", "shards", "a number of shards")]
#[case("[batch]\nclaim_ms = 100\nreport_ms = 90", "batch", "claim_ms", "over twice report_ms")]
#[case("[orders]\nlease_ms = 5\nlifetime_ms = 9", "orders", "lease_ms", "over lifetime_ms")]
#[case("[policy]\naccounts = 0", "policy", "accounts", "at least 1")]
#[case("[policy]\nheadroom = 1", "policy", "headroom", "from 0 to below 1")]
#[case("[policy]\nspare = -1", "policy", "spare", "at least 0")]
#[case("[policy]\ngather_ms = soon", "policy", "gather_ms", "a number of milliseconds")]
#[case("[policy]\noverdue = 2", "policy", "give_up", "at least overdue")]
#[case("[policy]\ndoubt = yes", "policy", "doubt", "true or false")]
#[case("[stop]\nbound_ms = 5\ngrace_ms = 9", "stop", "bound_ms", "over grace_ms")]
fn a_fault_names_its_place(
    #[case] text: &str,
    #[case] section: &str,
    #[case] key: &str,
    #[case] expected: &str,
) {
    let fault: SettingsError = Settings::parse("x.ini", text).expect_err("a fault");
    assert_eq!((fault.file.as_str(), fault.section.as_str()), ("x.ini", section));
    assert_eq!(fault.key, key);
    assert!(fault.expected.contains(expected), "{fault}");
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let fault = Settings::read(Path::new("no-such.ini")).expect_err("a fault");
    assert!(fault.to_string().starts_with("no-such.ini"));
}

/// Every sample under `etc/` is valid.
#[test]
fn the_samples_are_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc");
    let mut read = 0;
    for folder in std::fs::read_dir(root).expect("etc").flatten() {
        for file in std::fs::read_dir(folder.path()).expect("a folder").flatten() {
            let path = file.path();
            if path.extension().is_some_and(|kind| kind == "ini") {
                Settings::read(&path).unwrap_or_else(|fault| panic!("{fault}"));
                read += 1;
            } else {
                let text = std::fs::read_to_string(&path).expect("a file");
                let change = serde_json::from_str(&text).expect("a change");
                let document = protocol::config::Document::default();
                document.with_change(&change).unwrap_or_else(|fault| panic!("{fault}"));
            }
        }
    }
    assert_eq!(read, 15);
}
