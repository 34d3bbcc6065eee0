//! A job with prompts of half a megabyte in all, one of whose items has a long output. A runner loses
//! the first answer to that item, so that it completes last. All items must be listed.

use crate::fleet::{Fleet, Standins, ZONES, batch_route, config, item, wait_until};
use crate::sized_runner::{Output, SizedRunner};
use crate::store_limit::VALUE_BYTES;
use crate::{Setup, Verdict};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const JOB: &str = "7c41e09b52d6a3f8";
const ITEM_COUNT: usize = 40;
/// Bytes of each prompt in base64: 480 KB in all.
const PROMPT_BYTES: usize = 12_000;
const SLOTS: usize = 8;
const RUNNER_COUNT: usize = 6;
/// `finish_s` of the site, after which no more results are waited for.
const FINISH: Duration = Duration::from_secs(18);
/// The rule asks that no runner had an unlisted item in this time.
const CALM: Duration = Duration::from_secs(5);
/// Longest wait for all items to complete at the runners.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);

/// A step of the site's engines.
const STEP: Duration = Duration::from_micros(3_550);

fn outputs(ids: &[String]) -> HashMap<String, Output> {
    let short = Output {
        events: 75,
        event_interval: Duration::from_millis(110),
        text: String::from("\u{915}\u{93f}\u{924}\u{93e}\u{92c} "),
    };
    // 2,000 events of 100 letters in Devanagari, so 300 bytes and a number; the site file has 330 bytes at most.
    let long = Output {
        events: 2_000,
        event_interval: STEP,
        text: "\u{915}\u{93f}\u{924}\u{93e}\u{92c}".repeat(20),
    };
    let output = |n: usize| if n == 0 { long.clone() } else { short.clone() };
    ids.iter().enumerate().map(|(n, id)| (id.clone(), output(n))).collect()
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let ids: Vec<String> = (0..ITEM_COUNT).map(|n| format!("e5b2907c14da6f{n:02x}")).collect();
    let outputs = Arc::new(outputs(&ids));
    let lost: Vec<String> = if setup.has_trouble { vec![ids[0].clone()] } else { Vec::new() };
    let lost = Arc::new(Mutex::new(lost));
    let mut runners = Vec::new();
    for n in 0..RUNNER_COUNT {
        let id = format!("i-{n}");
        runners.push(SizedRunner::start(&id, SLOTS, outputs.clone(), lost.clone())?);
    }
    let entries = runners.iter().enumerate().map(|(n, runner)| {
        let entry = json!({
            "service": "llm", "addr": runner.address.to_string(), "zone": ZONES[n % ZONES.len()],
            "version": "v1", "slots": SLOTS, "state": "ready", "cold_left_ms": 0, "seq": 1,
        });
        (runner.id.clone(), entry)
    });
    let standins = Standins { entries: entries.collect(), limits_objects: true };
    let routes = vec![batch_route("lots", "/pule252/")];
    let mut fleet = Fleet::start_with(&setup.program, &setup.dir, standins, config(7, routes))?;
    let prompt = "cHJvbXB0".repeat(PROMPT_BYTES / 8);
    let items: Vec<Value> = ids
        .iter()
        .map(|id| {
            let mut item = item(id, &format!("/pule252/3/{id}"));
            item["body"] = json!(prompt);
            item["tokens"] = json!(if *id == ids[0] { 13_100 } else { 3_500 });
            item
        })
        .collect();
    let accepted = fleet.submit(0, &format!("/pule252/{JOB}"), JOB, &items);
    let bytes: usize = ITEM_COUNT * PROMPT_BYTES;
    record.line(format!(
        "job {JOB} of {ITEM_COUNT} items, prompts of {bytes} bytes: {}",
        accepted.summary()
    ));
    if accepted.status != 202 {
        return Err("the job was not accepted".into());
    }
    let whole = |id: &String| {
        let runs = runners.iter().flat_map(SizedRunner::runs);
        runs.into_iter().any(|run| run.id == *id && run.is_whole && !run.is_answer_lost)
    };
    wait_until("every item has completed at a runner", RUN_TIMEOUT, || ids.iter().all(whole))?;
    record.line("every item has completed at a runner, and nothing runs any more");
    let listed = |fleet: &Fleet| {
        let mut listed = Vec::new();
        loop {
            let answer = fleet.results_from(1, JOB, listed.len());
            match answer.json()["results"].as_array() {
                Some(results) if !results.is_empty() => listed.extend(results.clone()),
                _ => return (listed, answer),
            }
        }
    };
    let mut last = listed(&fleet);
    let in_time = wait_until("every item is listed", FINISH, || {
        last = listed(&fleet);
        last.0.len() == ITEM_COUNT
    });
    let (results, answer) = last;
    let mut runs: Vec<(String, crate::sized_runner::Run)> = Vec::new();
    for runner in &runners {
        runs.extend(runner.runs().into_iter().map(|run| (runner.id.clone(), run)));
    }
    runs.sort_by_key(|(_, run)| run.at);
    for (runner, run) in &runs {
        record.line(format!(
            "runner {runner} ran {} after event {}, whole: {}, answer lost: {}",
            run.id, run.after_event, run.is_whole, run.is_answer_lost
        ));
    }
    record.line(format!(
        "{} of {ITEM_COUNT} items listed; last answer {}; writes that the store rejected as over \
         {VALUE_BYTES} bytes: {}",
        results.len(),
        answer.summary(),
        fleet.rejected_writes()
    ));
    let mut broken = Vec::new();
    if in_time.is_err() && !runners.iter().all(|runner| runner.is_calm(CALM)) {
        return Err("an item has run within the last 5 s, which the rule excuses".into());
    }
    if in_time.is_err() {
        let unlisted = ITEM_COUNT - results.len();
        broken.push(format!(
            "LOST: {unlisted} of {ITEM_COUNT} items of an open batch job are listed neither as \
             complete nor as errored {} s after the last of them was completed",
            FINISH.as_secs()
        ));
    }
    for result in &results {
        let id = result["id"].as_str().unwrap_or_default();
        let output = &outputs[id];
        let lines: Vec<String> =
            (1..=output.events).map(|n| format!("{}{n}", output.text)).collect();
        if result["state"] != "complete" || result["message"] != lines.join("\n") {
            broken.push(format!("MIXED: item {id} reads {} with another text", result["state"]));
        }
    }
    fleet.stop();
    Ok(broken)
}
