//! A host with a batch route and a catch-all route (`/`). All gateways are killed and started again
//! after a job is finished; its results must come again.

use crate::fleet::{Fleet, Standins, ZONES, batch_route, config, item, route, wait_until};
use crate::sized_runner::{Output, SizedRunner};
use crate::{Setup, Verdict};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: [&str; 3] = ["e5b2907c14da6f38", "e5b2907c14da6f39", "e5b2907c14da6f3a"];
const SLOTS: usize = 8;
/// `finish_s` of the site, after which the rule reads jobs from the start; more than `recovery_s`.
const FINISH: Duration = Duration::from_secs(18);

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let output = Output {
        events: 20,
        event_interval: Duration::from_millis(5),
        text: String::from("text "),
    };
    let outputs: HashMap<String, Output> =
        ITEMS.iter().map(|id| ((*id).to_owned(), output.clone())).collect();
    let outputs = Arc::new(outputs);
    let mut runners = Vec::new();
    let mut entries = Vec::new();
    for (n, zone) in ZONES.iter().enumerate() {
        let runner = SizedRunner::start(&format!("i-{n}"), SLOTS, outputs.clone(), Arc::default())?;
        let entry = json!({
            "service": "llm", "addr": runner.address.to_string(), "zone": zone, "version": "v1",
            "slots": SLOTS, "state": "ready", "cold_left_ms": 0, "seq": 1,
        });
        entries.push((runner.id.clone(), entry));
        runners.push(runner);
    }
    let standins = Standins { entries, limits_objects: true };
    let routes = vec![batch_route("lots", "/pule252/"), route("pages", "/", "safe")];
    let mut fleet = Fleet::start_with(&setup.program, &setup.dir, standins, config(7, routes))?;
    let items: Vec<Value> = ITEMS.iter().map(|id| item(id, &format!("/pule252/{id}"))).collect();
    let accepted = fleet.submit(0, &format!("/pule252/{JOB}"), JOB, &items);
    record.line(format!("job {JOB} submitted at gateway 0: {}", accepted.summary()));
    if accepted.status != 202 {
        return Err("the job was not accepted".into());
    }
    let count =
        |answer: &crate::http::Response| answer.json()["results"].as_array().map_or(0, Vec::len);
    wait_until("all results are listed at every gateway", Duration::from_secs(15), || {
        (0..3).all(|n| count(&fleet.results(n, JOB)) == ITEMS.len())
    })?;
    let before = fleet.results(1, JOB);
    record.line(format!("results read at gateway 1: {}", before.summary()));
    if setup.has_trouble {
        fleet.gateways.iter_mut().for_each(|gateway| gateway.kill());
        record.line("all gateways killed");
        std::thread::sleep(Duration::from_millis(500));
        for n in 0..fleet.gateways.len() {
            fleet.restart(n)?;
        }
        record.line("all gateways started again");
    }
    fleet.wait_ready()?;
    std::thread::sleep(FINISH);
    let mut broken = Vec::new();
    for n in 0..fleet.gateways.len() {
        // Again after a failure, as the clients of the pages do.
        let mut answers = Vec::new();
        for _ in 0..4 {
            let answer = fleet.results(n, JOB);
            record.line(format!("results read at gateway {n}: {}", answer.summary()));
            answers.push(answer);
            std::thread::sleep(Duration::from_millis(500));
        }
        if answers.iter().all(|answer| answer.json()["results"] != before.json()["results"]) {
            broken.push(format!(
                "LOST: gateway {n} doesn't return the results that were read before, 4 times in \
                 a row; it answers {}",
                answers[0].summary()
            ));
        }
    }
    for runner in &runners {
        for (request, status) in runner.rejected() {
            record.line(format!("runner {} answered {request} with {status}", runner.id));
        }
    }
    fleet.stop();
    Ok(broken)
}
