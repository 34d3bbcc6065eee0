//! Sound targets of the own interface that fall silent for a while and go on.

mod util;

use rstest::rstest;
use serde_json::json;
use standin::engine::{Config, Engine, Silence};
use standin::text;
use std::time::Duration;
use util::client::{Response, chat};
use util::cluster::{Cluster, Plan};
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
