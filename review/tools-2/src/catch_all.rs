//! A host with a batch route and a catch-all route (`/`). All gateways are killed and started again
//! after a job is finished; its results must come again.

use crate::fleet::{Fleet, batch_route, config, item, route, wait_until};
use crate::{Setup, Verdict};
use serde_json::Value;
use standin::runner;
use std::time::Duration;

const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: [&str; 3] = ["e5b2907c14da6f38", "e5b2907c14da6f39", "e5b2907c14da6f3a"];
/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let runners: Vec<runner::Config> = (0..3)
        .map(|n| runner::Config { id: format!("i-{n}"), slots: 8, ..runner::Config::default() })
        .collect();
    let routes = vec![batch_route("lots", "/pule252/"), route("pages", "/", "safe")];
    let mut fleet = Fleet::start(&setup.program, &setup.dir, &runners, config(7, routes))?;
    let items: Vec<Value> = ITEMS.iter().map(|id| item(id, &format!("/pule252/{id}"))).collect();
    let accepted = fleet.submit(0, &format!("/pule252/{JOB}"), JOB, &items);
    record.line(format!("job {JOB} submitted at gateway 0: {}", accepted.summary()));
    if accepted.status != 202 {
        return Err("the job was not accepted".into());
    }
    let count = |answer: &crate::http::Response| {
        answer.json()["results"].as_array().map_or(0, Vec::len)
    };
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
    std::thread::sleep(RECOVERY);
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
    fleet.record_runs(record);
    fleet.stop();
    Ok(broken)
}
