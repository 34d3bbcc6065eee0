//! Sound targets of the own interface that fall silent for a while and go on.

mod util;

use rstest::rstest;
use serde_json::json;
use standin::engine::{Config, Engine, Silence};
use standin::text;
use std::time::Duration;
use util::client::{Response, chat, post};
use util::cluster::{Cluster, Plan, items};
use util::wait_until;

const ENGINES: usize = 4;
/// Fills most slots, so that not every request finds a free one elsewhere.
const CALLERS: usize = 14;
/// How long the targets are silent: two load reports go unanswered.
const SILENCE: Duration = Duration::from_millis(1_500);
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);
const DEADLINE: (&str, &str) = ("gatespool-deadline-ms", "8000");

/// Which part of a response the engines don't write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    Head,
    FirstToken,
    BetweenTokens,
}

impl Position {
    fn silence(self) -> Silence {
        if self == Position::Head { Silence::Everything } else { Silence::Tokens }
    }
}

fn cluster_of(engines: usize) -> Cluster {
    let engine = Config { slots: 4, token_interval: TOKEN_INTERVAL, ..Config::default() };
    Cluster::start(Plan { daemons: 1, engines, engine, ..Plan::default() })
}

/// Sends `count` requests at the start of a silence of `silent`, and returns the responses.
fn call_in_silence(
    cluster: &Cluster,
    silent: &[Engine],
    position: Position,
    count: usize,
    (name, is_streamed): (&str, bool),
) -> Vec<(String, Response)> {
    let front = cluster.daemons[0].front_address;
    let set = |silence| silent.iter().for_each(|engine| engine.set_silence(silence));
    let is_later = position == Position::BetweenTokens;
    if !is_later {
        set(Some(position.silence()));
    }
    let before = cluster.runs().len();
    std::thread::scope(|scope| {
        let call = |n: usize| {
            let prompt = format!("{name} {n}");
            move || {
                (
                    prompt.clone(),
                    chat(front, &prompt, &[DEADLINE], json!({ "stream": is_streamed })),
                )
            }
        };
        let calls: Vec<_> = (0..count).map(|n| scope.spawn(call(n))).collect();
        if is_later {
            wait_until("all run", || cluster.runs().len() >= before + count);
            std::thread::sleep(TOKEN_INTERVAL * 3);
            set(Some(position.silence()));
        }
        std::thread::sleep(SILENCE);
        set(None);
        calls.into_iter().map(|call| call.join().expect("a response")).collect()
    })
}

#[track_caller]
fn assert_whole(responses: &[(String, Response)], is_streamed: bool) {
    let is_whole = |(prompt, response): &&(String, Response)| {
        let text = text::full_text(prompt, None);
        response.status == 200
            && if is_streamed {
                response.streamed_text() == (text, true)
            } else {
                response.text() == text
            }
    };
    let others = responses.iter().filter(|response| !is_whole(response));
    let others: Vec<_> = others
        .map(|(prompt, r)| (prompt, r.status, String::from_utf8_lossy(&r.body).into_owned()))
        .collect();
    assert!(others.is_empty(), "{} of {}: {others:?}", others.len(), responses.len());
}

/// Regression: an exchange with a silent target was given up before another one replaced it.
#[rstest]
fn completion_of_a_silent_target_is_not_given_up(
    #[values(Position::Head, Position::FirstToken, Position::BetweenTokens)] position: Position,
    #[values(ENGINES / 2, ENGINES)] silent: usize,
    #[values(false, true)] is_streamed: bool,
) {
    let cluster = cluster_of(ENGINES);
    let silent = &cluster.engines[..silent];
    let responses = call_in_silence(&cluster, silent, position, CALLERS, ("silent", is_streamed));
    assert_whole(&responses, is_streamed);
}

#[rstest]
fn only_target_completes_its_responses_after_a_silence(
    #[values(Position::Head, Position::FirstToken, Position::BetweenTokens)] position: Position,
) {
    let cluster = cluster_of(1);
    let responses = call_in_silence(&cluster, &cluster.engines, position, 3, ("alone", true));
    assert_whole(&responses, true);
    assert_eq!(cluster.runs().len(), 3, "a request ran twice at its only target");
}

/// Regression: a common pause ejected every target, and each request in flight doubled the time.
#[rstest]
fn targets_serve_again_after_a_common_silence(
    #[values(Position::Head, Position::BetweenTokens)] position: Position,
) {
    let cluster = cluster_of(ENGINES);
    let front = cluster.daemons[0].front_address;
    for wave in 0..3 {
        call_in_silence(&cluster, &cluster.engines, position, ENGINES, ("wave", true));
        std::thread::scope(|scope| {
            let call = |n: usize| {
                let prompt = format!("after {wave} {n}");
                move || {
                    (prompt.clone(), chat(front, &prompt, &[DEADLINE], json!({ "stream": true })))
                }
            };
            let calls: Vec<_> = (0..CALLERS).map(|n| scope.spawn(call(n))).collect();
            let responses: Vec<_> =
                calls.into_iter().map(|call| call.join().expect("a response")).collect();
            assert_whole(&responses, true);
        });
    }
}

#[test]
fn silent_target_is_dropped_once_another_has_the_request() {
    let cluster = cluster_of(2);
    let (front, silent) = (cluster.daemons[0].front_address, &cluster.engines[0]);
    std::thread::scope(|scope| {
        let calls: Vec<_> = ["a", "b", "c", "d"]
            .map(|prompt| {
                scope.spawn(move || chat(front, prompt, &[DEADLINE], json!({ "max_tokens": 60 })))
            })
            .into_iter()
            .collect();
        wait_until("all run", || cluster.runs().len() >= 4);
        assert!(silent.running()[0] > 0, "no request runs at the target");
        silent.set_silence(Some(Silence::Tokens));
        calls.into_iter().for_each(|call| assert_eq!(call.join().expect("a response").status, 200));
        assert_eq!(silent.running(), [0, 0]);
    });
}

/// Regression: `targets.idle_ms` ended streams that went on before their deadline.
#[rstest]
fn stream_outlasts_the_idle_time_without_another_target(
    #[values(Position::FirstToken, Position::BetweenTokens)] position: Position,
    #[values("true", "false")] repeatable: &str,
) {
    let engine = Config { token_interval: TOKEN_INTERVAL, ..Config::default() };
    let settings = vec![String::from("targets.idle_ms = 300")];
    let cluster =
        Cluster::start(Plan { daemons: 1, engines: 1, engine, settings, ..Plan::default() });
    let (front, engine) = (cluster.daemons[0].front_address, &cluster.engines[0]);
    let headers = [DEADLINE, ("gatespool-repeatable", repeatable), ("idempotency-key", "idle")];
    std::thread::scope(|scope| {
        if position == Position::FirstToken {
            engine.set_silence(Some(Silence::Tokens));
        }
        let call = scope.spawn(|| chat(front, "idle", &headers, json!({ "stream": true })));
        wait_until("it runs", || !engine.runs().is_empty());
        std::thread::sleep(TOKEN_INTERVAL * 3);
        engine.set_silence(Some(Silence::Tokens));
        std::thread::sleep(SILENCE);
        engine.set_silence(None);
        assert_whole(&[(String::from("idle"), call.join().expect("a response"))], true);
    });
    assert_eq!(engine.runs().len(), 1, "the request ran again");
}

#[test]
fn target_that_is_silent_alone_gets_no_requests() {
    let cluster = cluster_of(ENGINES);
    let front = cluster.daemons[0].front_address;
    cluster.engines[0].set_silence(Some(Silence::Tokens));
    std::thread::sleep(SILENCE);
    for n in 0..12 {
        let prompt = format!("elsewhere {n}");
        assert_whole(&[(prompt.clone(), chat(front, &prompt, &[], json!({})))], false);
    }
    assert!(cluster.engines[0].runs().is_empty());
}

#[rstest]
fn plain_call_waits_for_its_silent_target(#[values("GET", "POST")] method: &str) {
    let cluster = cluster_of(1);
    let front = cluster.daemons[0].front_address;
    cluster.plain.set_silent(true);
    std::thread::scope(|scope| {
        let call = || util::client::call(method, front, "/offers/1", &[DEADLINE], "{}");
        let first = scope.spawn(call);
        std::thread::sleep(SILENCE - Duration::from_millis(200));
        let late = scope.spawn(call);
        std::thread::sleep(Duration::from_millis(200));
        cluster.plain.set_silent(false);
        assert_eq!(first.join().expect("a response").status, 200);
        assert_eq!(late.join().expect("a response").status, 200);
    });
    assert_eq!(post(front, "/offers/2", &[], &json!({})).status, 200);
}

/// Regression: after a common pause no item was started until online requests had succeeded.
#[rstest]
fn items_of_silent_targets_finish(
    #[values(Silence::Everything, Silence::Tokens)] silence: Silence,
) {
    let cluster = cluster_of(ENGINES);
    let mut list = items("describe", 24);
    list.iter_mut().step_by(2).for_each(|item| item["repeatable"] = json!(false));
    let accepted = cluster.submit(0, "night", &list);
    let job = accepted.json()["job"].as_str().expect("job id").to_owned();
    wait_until("items run", || cluster.runs().len() >= ENGINES);
    cluster.engines.iter().for_each(|engine| engine.set_silence(Some(silence)));
    std::thread::sleep(SILENCE);
    cluster.engines.iter().for_each(|engine| engine.set_silence(None));
    let status = cluster.wait_job(0, &job, "finished");
    assert_eq!((&status["done"], &status["failed"]), (&json!(24), &json!(0)), "{status}");
    assert_eq!(cluster.runs().len(), 24, "an item ran again");
}

/// Regression: no item was started on a target on probation, so that without online requests it
/// stayed on probation.
#[test]
fn job_goes_on_when_targets_respond_after_a_long_silence() {
    let cluster = cluster_of(ENGINES);
    let accepted = cluster.submit(0, "night", &items("describe", 48));
    let job = accepted.json()["job"].as_str().expect("job id").to_owned();
    wait_until("items run", || cluster.runs().len() >= ENGINES);
    cluster.engines.iter().for_each(|engine| engine.set_silence(Some(Silence::Tokens)));
    std::thread::sleep(SILENCE * 3);
    cluster.engines.iter().for_each(|engine| engine.set_silence(None));
    let status = cluster.wait_job(0, &job, "finished");
    assert_eq!((&status["done"], &status["failed"]), (&json!(48), &json!(0)), "{status}");
}
