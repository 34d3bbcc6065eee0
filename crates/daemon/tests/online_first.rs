//! Online requests never wait behind batch work. Decided on the engines' own
//! order of service, not on the clock.

mod util;

use serde_json::json;
use standin::engine::{Config, Engine};
use std::time::Duration;
use util::client::chat;
use util::cluster::{Cluster, Plan, items};
use util::wait_until;

/// Batch runs that got a slot while an online request waited for one.
fn overtaken(engine: &Engine) -> usize {
    let runs = engine.runs();
    let online = runs.iter().filter(|run| run.priority == 0 && run.prompt.starts_with("online"));
    let passed = |one: &standin::engine::Run| {
        let is_batch = |run: &&standin::engine::Run| run.prompt.starts_with("filler");
        let between = |run: &&standin::engine::Run| {
            run.start_seq > one.arrival_seq
                && run.start_seq < one.start_seq
                && run.arrival_seq > one.arrival_seq
        };
        runs.iter().filter(is_batch).filter(between).count()
    };
    online.map(passed).sum()
}

fn busy(token: Duration, most: u32) -> Cluster {
    let engine = Config { slots: 4, token_interval: token, ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let list: Vec<_> = items("filler", 3000)
        .into_iter()
        .map(|mut item| {
            item["max_tokens"] = json!(most);
            item
        })
        .collect();
    assert_eq!(cluster.submit(0, "fill", &list).status, 201);
    let full = |engine: &Engine| engine.running()[1] >= 3;
    wait_until("batch fills the engines", || cluster.engines.iter().all(full));
    cluster
}

fn burst(cluster: &Cluster, name: &str, calls: usize, tokens: u32) -> usize {
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
            .map(|c| c.join().expect("an answer"))
            .filter(|d| *d)
            .count()
    })
}

#[test]
fn no_batch_item_gets_a_slot_before_a_waiting_online_request() {
    let cluster = busy(Duration::from_millis(4), 12);
    for round in 0..4 {
        let done = burst(&cluster, &format!("round {round}"), 12, 8);
        assert!(done >= 10, "only {done} of 12 online requests were served");
    }
    let passed: usize = cluster.engines.iter().map(overtaken).sum();
    assert_eq!(passed, 0, "batch items were served before waiting online requests");
}

/// Batch streams of a minute make way now, though the requests come through all
/// daemons and the load reports lag: the burst gets the slots, all at once. If
/// batch kept its slots, three requests could run at a time and no more.
#[test]
fn long_batch_streams_give_way_to_a_burst() {
    let cluster = busy(Duration::from_millis(20), 3000);
    std::thread::scope(|scope| {
        let burst = scope.spawn(|| burst(&cluster, "burst", 12, 150));
        wait_until("the burst runs at once", || {
            cluster.engines.iter().map(|engine| engine.running()[0]).sum::<u32>() >= 9
        });
        assert_eq!(burst.join().expect("answers"), 12);
    });
    let full = |engine: &Engine| engine.running()[1] >= 3;
    wait_until("batch fills the gap again", || cluster.engines.iter().all(full));
}

/// A parked stream goes on where it stopped: nothing it generated is lost.
#[test]
fn parked_items_are_resumed_not_repeated() {
    let engine = Config { slots: 4, token_interval: Duration::from_millis(5), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let list: Vec<_> =
        (0..60).map(|n| json!({ "prompt": format!("filler {n}"), "max_tokens": 60 })).collect();
    let accepted = cluster.submit(0, "fill", &list);
    let job = accepted.json()["job"].as_str().expect("its id").to_owned();
    for round in 0..3 {
        burst(&cluster, &format!("round {round}"), 12, 8);
    }
    cluster.wait_job(0, &job, "finished");
    for (n, line) in cluster.results(0, &job).iter().enumerate() {
        let expected = standin::text::full_text(&format!("filler {n}"), Some(60));
        assert_eq!(line["text"], expected, "item {n}");
    }
    let filler = cluster.runs().into_iter().filter(|run| run.prompt.starts_with("filler"));
    let tokens: u32 = filler.map(|run| run.tokens).sum();
    // A token on its way at the moment of the stop may be generated again.
    assert!(tokens < 60 * 60 + 200, "{tokens} tokens for {}", 60 * 60);
}

/// Items that may run once can't make way; they never take more than half of a
/// target, so that online requests always find the other half.
#[test]
fn items_that_may_run_once_leave_half_the_slots() {
    let engine =
        Config { slots: 4, token_interval: Duration::from_millis(20), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let list: Vec<_> = (0..60)
        .map(|n| json!({ "prompt": format!("wire {n}"), "repeatable": false, "max_tokens": 3000 }))
        .collect();
    assert_eq!(cluster.submit(0, "wires", &list).status, 201);
    let half = |engine: &Engine| engine.running()[1] == 2;
    wait_until("half of each engine is taken", || cluster.engines.iter().all(half));
    assert_eq!(burst(&cluster, "burst", 6, 10), 6);
    assert!(cluster.engines.iter().all(|engine| engine.running()[1] <= 2));
}
