//! Registry of targets: entries of other writers and targets that restart.

mod util;

use serde_json::{Value, json};
use standin::runner::Config;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan};
use util::wait_until;

/// A copy of an entry with one field replaced, or removed if `value` is null.
fn entry_with_invalid(fleet: &Fleet, id: &str, field: &str, value: Value) -> Value {
    let mut entry = fleet.objects.get("servers", id).expect("an entry")["spec"].clone();
    match value {
        Value::Null => drop(entry.as_object_mut().map(|fields| fields.remove(field))),
        value => entry[field] = value,
    }
    entry
}

/// Number of runs of a runner for a path.
fn run_count(fleet: &Fleet, n: usize, path: &str) -> usize {
    fleet.runners[n].runs().iter().filter(|run| run.path == path).count()
}

#[test]
fn invalid_entries_are_ignored_and_valid_ones_are_used() {
    let fleet = Fleet::start_unconfigured(Plan::default());
    let invalid_entries = [
        json!("no entry"),
        json!(17),
        json!([]),
        json!({}),
        json!({ "service": "llm", "addr": "127.0.0.1:9", "zone": "east", "slots": 8 }),
        entry_with_invalid(&fleet, "r0", "state", json!("asleep")),
        entry_with_invalid(&fleet, "r0", "slots", json!("8")),
        entry_with_invalid(&fleet, "r0", "addr", json!("nowhere")),
        entry_with_invalid(&fleet, "r0", "zone", json!(3)),
        entry_with_invalid(&fleet, "r0", "service", json!("unheard-of")),
    ];
    for (n, entry) in invalid_entries.into_iter().enumerate() {
        fleet.objects.put("servers", &format!("a-stray-{n}"), entry);
    }
    fleet.configure(7);
    fleet.wait_ready();
    for n in 0..12 {
        let response = fleet.send(n % 3, "/ask/sound", &format!("sound-{n}"));
        assert_eq!((response.status, response.is_complete), (200, true));
    }
    assert!(run_count(&fleet, 0, "/ask/sound") > 0 && run_count(&fleet, 1, "/ask/sound") > 0);
    let names_invalid_entry =
        |line: &Value| line["target"].as_str().is_some_and(|id| id.starts_with("a-stray"));
    for n in 0..3 {
        let attempts: Vec<Value> = fleet
            .log(n)
            .into_iter()
            .filter(|l| l["msg"] == "try failed" && names_invalid_entry(l))
            .collect();
        assert!(attempts.is_empty(), "{attempts:?}");
    }
}

/// A target whose entry another writer has made invalid isn't used until it rewrites it.
#[test]
fn target_with_an_invalid_entry_is_used_again_once_it_is_valid() {
    let fleet = Fleet::start(Plan::default());
    fleet.objects.put("servers", "r0", entry_with_invalid(&fleet, "r0", "state", json!("asleep")));
    std::thread::sleep(Duration::from_millis(1_000));
    for n in 0..9 {
        assert_eq!(fleet.send(n % 3, "/ask/bad", &format!("bad-{n}")).status, 200);
    }
    assert_eq!(run_count(&fleet, 0, "/ask/bad"), 0);
    fleet.set_runner_state(0, "ready");
    wait_until("the target is used again", || {
        fleet.send(0, "/ask/good", "good");
        run_count(&fleet, 0, "/ask/good") > 0
    });
}

/// Regression: the removal of an entry was dated by the response that contained it, so the new
/// entry of a target that had come back in the meantime was ignored as older.
#[test]
fn target_that_reregisters_at_once_is_used() {
    let runners = vec![("east", Config { id: String::from("r0"), ..Config::default() })];
    let fleet = Fleet::start(Plan { runners, ..Plan::default() });
    // Soon after a start, a removal takes effect only after a grace period.
    std::thread::sleep(Duration::from_millis(2_600));
    // A watch pauses after a change; changes in that time arrive in one response.
    fleet.touch_runner_entry(0);
    std::thread::sleep(Duration::from_millis(60));
    fleet.objects.remove("servers", "r0");
    fleet.reregister(0, 1);
    std::thread::sleep(Duration::from_millis(600));
    for n in 0..6 {
        let response = fleet.send(n % 3, "/ask/back", &format!("back-{n}"));
        assert_eq!((response.status, response.is_complete), (200, true));
    }
}

/// Failures of a target before its restart don't count after it.
#[test]
fn target_that_restarts_under_its_id_is_used_at_once() {
    let config = Config {
        id: String::from("r0"),
        restart_delay: Duration::from_millis(300),
        ..Config::default()
    };
    let fleet = Fleet::start(Plan { runners: vec![("east", config)], ..Plan::default() });
    fleet.runners[0].process().crash.notify_one();
    std::thread::sleep(Duration::from_millis(100));
    // Failed connections make the target unavailable.
    for n in 0..6 {
        fleet.send(n % 3, "/ask/down", &format!("down-{n}"));
    }
    std::thread::sleep(Duration::from_millis(400));
    fleet.reregister(0, 2);
    std::thread::sleep(Duration::from_millis(300));
    for n in 0..3 {
        let start = Instant::now();
        let response = fleet.send(n, "/ask/up", &format!("up-{n}"));
        assert_eq!((response.status, response.is_complete), (200, true), "{response:?}");
        assert!(start.elapsed() < Duration::from_millis(300), "waited {:?}", start.elapsed());
    }
}

/// Regression: the entry of a removed target reappeared while another target had its address.
/// That one rejected each item within a millisecond and was sent the next one.
#[test]
fn entry_with_the_address_of_another_target_is_not_used() {
    let config = Config {
        id: String::from("r0"),
        slots: 2,
        event_interval: Duration::from_millis(20),
        ..Config::default()
    };
    let fleet = Fleet::start(Plan { runners: vec![("east", config)], ..Plan::default() });
    let stale_entry = fleet.objects.get("servers", "r0").expect("an entry")["spec"].clone();
    fleet.objects.put("servers", "ghost", stale_entry);
    std::thread::sleep(Duration::from_millis(500));
    let items: Vec<String> = (0..20).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "job", &items).status, 202);
    assert_eq!(fleet.wait_results(0, "job").len(), 20);
    let ran_at_stale_target = |line: &Value| line["msg"] == "item run" && line["target"] == "ghost";
    let attempts: usize =
        (0..3).map(|n| fleet.log(n).iter().filter(|line| ran_at_stale_target(line)).count()).sum();
    assert!(attempts <= 8, "{attempts} items were sent to a removed target");
}
