//! The operator adds a route below the prefix of a batch route while an accepted job waits. The
//! batch route stays as it is, so the job's items must still be run.

use crate::fleet::{Fleet, batch_route, config, item, route, wait_until};
use crate::{Setup, Verdict};
use serde_json::Value;
use standin::runner;
use std::time::Duration;

const JOB: &str = "7c41e09b52d6a3f8";
const ITEM_COUNT: usize = 12;
/// Ends before `max_wait_s` (60 s), when an item may be given up.
const LIST_TIMEOUT: Duration = Duration::from_secs(50);

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let runners = [runner::Config {
        id: String::from("i-0"),
        slots: 2,
        event_count: 60,
        event_interval: Duration::from_millis(25),
        ..runner::Config::default()
    }];
    let routes = || vec![batch_route("lots", "/pule252/")];
    let mut fleet = Fleet::start(&setup.program, &setup.dir, &runners, config(7, routes()))?;
    let ids: Vec<String> = (0..ITEM_COUNT).map(|n| format!("e5b2907c14da6f{n:02x}")).collect();
    let items: Vec<Value> = ids.iter().map(|id| item(id, &format!("/pule252/3/{id}"))).collect();
    let accepted = fleet.submit(0, &format!("/pule252/asan/{JOB}"), JOB, &items);
    record.line(format!("job {JOB} submitted to /pule252/asan/{JOB}: {}", accepted.summary()));
    if accepted.status != 202 {
        return Err("the job was not accepted".into());
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut changed = routes();
    if setup.has_trouble {
        changed.push(route("asan-questions", "/pule252/asan/", "stream"));
    }
    fleet.configure(config(9, changed));
    record.line(format!(
        "configuration 9 acknowledged; it has {} route `lots` as before{}",
        "the",
        if setup.has_trouble { ", and adds `asan-questions` at /pule252/asan/" } else { "" }
    ));
    let mut last = fleet.results(0, JOB);
    wait_until("all items are listed", LIST_TIMEOUT, || {
        last = fleet.results(0, JOB);
        last.json()["results"].as_array().is_some_and(|results| results.len() == ITEM_COUNT)
    })?;
    let results = last.json()["results"].as_array().cloned().unwrap_or_default();
    let mut broken = Vec::new();
    for result in &results {
        let id = result["id"].as_str().unwrap_or_default();
        let runs = fleet.runners[0].runs().iter().filter(|run| run.id == id).count();
        record.line(format!("item {id}: {}, runs: {runs}", result["state"]));
        if result["state"] == "errored" {
            broken.push(format!(
                "MIXED: item {id} reads `errored` after {runs} runs and no answer of 500 or 422, \
                 before max_wait_s, with its batch job not ended and its route in place"
            ));
        }
    }
    fleet.stop();
    Ok(broken)
}
