//! What the registry of targets says: entries of other writers, targets that start again.

mod util;

use serde_json::{Value, json};
use standin::runner::Config;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan};
use util::wait_until;

/// An entry that is right but for one field.
fn spoilt(fleet: &Fleet, id: &str, field: &str, value: Value) -> Value {
    let mut entry = fleet.objects.get("servers", id).expect("an entry")["spec"].clone();
    match value {
        Value::Null => drop(entry.as_object_mut().map(|fields| fields.remove(field))),
        value => entry[field] = value,
    }
    entry
}

/// Runs of a runner for a path.
fn runs_of(fleet: &Fleet, n: usize, path: &str) -> usize {
    fleet.runners[n].runs().iter().filter(|run| run.path == path).count()
}

#[test]
fn entries_of_other_writers_name_no_target_and_the_others_hold() {
    let fleet = Fleet::start_unconfigured(Plan::default());
    let strays = [
        json!("no entry"),
        json!(17),
        json!([]),
        json!({}),
        json!({ "service": "llm", "addr": "127.0.0.1:9", "zone": "east", "slots": 8 }),
        spoilt(&fleet, "r0", "state", json!("asleep")),
        spoilt(&fleet, "r0", "slots", json!("8")),
        spoilt(&fleet, "r0", "addr", json!("nowhere")),
        spoilt(&fleet, "r0", "zone", json!(3)),
        spoilt(&fleet, "r0", "service", json!("unheard-of")),
    ];
    for (n, stray) in strays.into_iter().enumerate() {
        fleet.objects.put("servers", &format!("a-stray-{n}"), stray);
    }
    fleet.configure(7);
    fleet.wait_ready();
    for n in 0..12 {
        let response = fleet.send(n % 3, "/ask/sound", &format!("sound-{n}"));
        assert_eq!((response.status, response.is_complete), (200, true));
    }
    assert!(runs_of(&fleet, 0, "/ask/sound") > 0 && runs_of(&fleet, 1, "/ask/sound") > 0);
    let named = |line: &Value| line["target"].as_str().is_some_and(|id| id.starts_with("a-stray"));
    for n in 0..3 {
        let tried: Vec<Value> =
            fleet.log(n).into_iter().filter(|l| l["msg"] == "try failed" && named(l)).collect();
        assert!(tried.is_empty(), "{tried:?}");
    }
}

/// A target whose entry another writer has spoilt isn't used until it writes it anew.
#[test]
fn a_target_whose_entry_turns_bad_is_used_again_once_it_is_good() {
    let fleet = Fleet::start(Plan::default());
    fleet.objects.put("servers", "r0", spoilt(&fleet, "r0", "state", json!("asleep")));
    std::thread::sleep(Duration::from_millis(1_000));
    for n in 0..9 {
        assert_eq!(fleet.send(n % 3, "/ask/bad", &format!("bad-{n}")).status, 200);
    }
    assert_eq!(runs_of(&fleet, 0, "/ask/bad"), 0);
    fleet.set_runner_state(0, "ready");
    wait_until("it is used again", || {
        fleet.send(0, "/ask/good", "good");
        runs_of(&fleet, 0, "/ask/good") > 0
    });
}

/// Regression: the removal of an entry was noted as of the whole answer that brought it, so
/// the new entry of a target that had come back meanwhile counted as older news.
#[test]
fn a_target_that_comes_back_at_once_is_used() {
    let runners = vec![("east", Config { id: String::from("r0"), ..Config::default() })];
    let fleet = Fleet::start(Plan { runners, ..Plan::default() });
    // Soon after a start a removal counts only once it has lasted.
    std::thread::sleep(Duration::from_millis(2_600));
    // After a change a watch rests for a moment; what comes then comes in one answer.
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

/// What was found wrong with a target's earlier start isn't held against the next one.
#[test]
fn a_target_that_starts_again_under_its_id_is_used_at_once() {
    let config =
        Config { id: String::from("r0"), down: Duration::from_millis(300), ..Config::default() };
    let fleet = Fleet::start(Plan { runners: vec![("east", config)], ..Plan::default() });
    fleet.runners[0].life().crash.notify_one();
    std::thread::sleep(Duration::from_millis(100));
    // While nobody listens there, it is taken out of use.
    for n in 0..6 {
        fleet.send(n % 3, "/ask/down", &format!("down-{n}"));
    }
    std::thread::sleep(Duration::from_millis(400));
    fleet.reregister(0, 2);
    std::thread::sleep(Duration::from_millis(300));
    for n in 0..3 {
        let began = Instant::now();
        let response = fleet.send(n, "/ask/up", &format!("up-{n}"));
        assert_eq!((response.status, response.is_complete), (200, true), "{response:?}");
        assert!(began.elapsed() < Duration::from_millis(300), "waited {:?}", began.elapsed());
    }
}

/// Regression: the entry of a target that is gone may come back late, while another target
/// has its address. It turned each item away in a millisecond, and got the next one.
#[test]
fn a_target_whose_address_is_anothers_is_left_alone() {
    let config = Config {
        id: String::from("r0"),
        slots: 2,
        pace: Duration::from_millis(20),
        ..Config::default()
    };
    let fleet = Fleet::start(Plan { runners: vec![("east", config)], ..Plan::default() });
    let ghost = fleet.objects.get("servers", "r0").expect("an entry")["spec"].clone();
    fleet.objects.put("servers", "ghost", ghost);
    std::thread::sleep(Duration::from_millis(500));
    let items: Vec<String> = (0..20).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "job", &items).status, 202);
    assert_eq!(fleet.wait_results(0, "job").len(), 20);
    let at_ghost = |line: &Value| line["msg"] == "item run" && line["target"] == "ghost";
    let tried: usize =
        (0..3).map(|n| fleet.log(n).iter().filter(|line| at_ghost(line)).count()).sum();
    assert!(tried <= 8, "{tried} items were sent to a target that is gone");
}
