//! Online requests never wait behind batch work, judged by each engine's own order of service.

mod util;

use serde_json::json;
use standin::engine::{Config, Engine};
use std::time::Duration;
use util::client::chat;
use util::cluster::{Cluster, Plan, items};
use util::wait_until;

/// Number of batch runs that arrived after a waiting online request and got a slot before it.
fn priority_inversions(engine: &Engine) -> usize {
    let runs = engine.runs();
    let online = runs.iter().filter(|run| run.priority == 0 && run.prompt.starts_with("online"));
    let inversions = |waiting: &standin::engine::Run| {
        let is_batch = |run: &&standin::engine::Run| run.prompt.starts_with("filler");
        let overtook = |run: &&standin::engine::Run| {
            run.start_seq > waiting.arrival_seq
                && run.start_seq < waiting.start_seq
                && run.arrival_seq > waiting.arrival_seq
        };
        runs.iter().filter(is_batch).filter(overtook).count()
    };
    online.map(inversions).sum()
}

fn start_with_batch_load(token_interval: Duration, max_tokens: u32) -> Cluster {
    let engine = Config { slots: 4, token_interval, ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let list: Vec<_> = items("filler", 3000)
        .into_iter()
        .map(|mut item| {
            item["max_tokens"] = json!(max_tokens);
            item
        })
        .collect();
    assert_eq!(cluster.submit(0, "fill", &list).status, 201);
    let is_full = |engine: &Engine| engine.running()[1] >= 3;
    wait_until("batch fills the engines", || cluster.engines.iter().all(is_full));
    cluster
}

/// Sends concurrent online requests; returns how many streams completed.
fn send_online(cluster: &Cluster, name: &str, calls: usize, tokens: u32) -> usize {
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..calls)
            .map(|n| {
                let front = cluster.daemons[n % cluster.daemons.len()].front_address;
                let prompt = format!("online {name} {n}");
                let extra = json!({ "max_tokens": tokens, "stream": true });
                scope.spawn(move || chat(front, &prompt, &[], extra).streamed_text().1)
            })
            .collect();
        calls
            .into_iter()
            .filter(|_| true)
            .map(|c| c.join().expect("caller thread panicked"))
            .filter(|d| *d)
            .count()
    })
}

#[test]
fn batch_item_never_gets_a_slot_before_a_waiting_online_request() {
    let cluster = start_with_batch_load(Duration::from_millis(4), 12);
    for round in 0..4 {
        let done = send_online(&cluster, &format!("round {round}"), 12, 8);
        assert!(done >= 10, "only {done} of 12 online requests were served");
    }
    let passed: usize = cluster.engines.iter().map(priority_inversions).sum();
    assert_eq!(passed, 0, "batch items were served before waiting online requests");
}

/// Batch streams of a minute must be preempted, though the requests arrive through all daemons and
/// load reports lag. Otherwise only three online requests could run at a time.
#[test]
fn long_batch_streams_are_preempted_by_an_online_burst() {
    let cluster = start_with_batch_load(Duration::from_millis(20), 3000);
    std::thread::scope(|scope| {
        let burst = scope.spawn(|| send_online(&cluster, "burst", 12, 150));
        wait_until("the burst runs concurrently", || {
            cluster.engines.iter().map(|engine| engine.running()[0]).sum::<u32>() >= 9
        });
        assert_eq!(burst.join().expect("burst thread panicked"), 12);
    });
    let is_full = |engine: &Engine| engine.running()[1] >= 3;
    wait_until("batch fills the engines again", || cluster.engines.iter().all(is_full));
}

#[test]
fn preempted_items_resume_where_they_stopped() {
    let engine = Config { slots: 4, token_interval: Duration::from_millis(5), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let list: Vec<_> =
        (0..60).map(|n| json!({ "prompt": format!("filler {n}"), "max_tokens": 60 })).collect();
    let accepted = cluster.submit(0, "fill", &list);
    let job = accepted.json()["job"].as_str().expect("job id").to_owned();
    for round in 0..3 {
        send_online(&cluster, &format!("round {round}"), 12, 8);
    }
    cluster.wait_job(0, &job, "finished");
    for (n, line) in cluster.results(0, &job).iter().enumerate() {
        let expected = standin::text::full_text(&format!("filler {n}"), Some(60));
        assert_eq!(line["text"], expected, "item {n}");
    }
    let filler = cluster.runs().into_iter().filter(|run| run.prompt.starts_with("filler"));
    let tokens: u32 = filler.map(|run| run.tokens).sum();
    // A token in transit when the stream stops may be generated again.
    assert!(tokens < 60 * 60 + 200, "{tokens} tokens for {}", 60 * 60);
}

/// At-most-once items can't be preempted, so they may take only half of each target's slots.
#[test]
fn at_most_once_items_leave_half_the_slots_free() {
    let engine =
        Config { slots: 4, token_interval: Duration::from_millis(20), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let list: Vec<_> = (0..60)
        .map(|n| json!({ "prompt": format!("wire {n}"), "repeatable": false, "max_tokens": 3000 }))
        .collect();
    assert_eq!(cluster.submit(0, "wires", &list).status, 201);
    let is_half_full = |engine: &Engine| engine.running()[1] == 2;
    wait_until("half of each engine is in use", || cluster.engines.iter().all(is_half_full));
    assert_eq!(send_online(&cluster, "burst", 6, 10), 6);
    assert!(cluster.engines.iter().all(|engine| engine.running()[1] <= 2));
}
