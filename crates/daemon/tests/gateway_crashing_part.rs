//! Requests that share a part of their prompts that crashes each target that begins to respond to it.

mod util;

use rstest::rstest;
use standin::runner::{Config, Run};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan, send_to};
use util::wait_until;

const RUNNERS: usize = 24;
/// Time from a crash to the next start of a target, under another start time.
const RESTART_DELAY: Duration = Duration::from_millis(2_500);
const CRASHING_PART: &str = "bad";
/// Number of crashes and the time after the last of them from which runs are limited.
const KNOWN_CRASHES: usize = 5;
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
const MAX_LATER_RUNS: usize = 3;
/// Numbers of callers of requests with the part and without it.
const CALLERS: [usize; 2] = [2, 6];
const PAUSE: Duration = Duration::from_millis(60);
/// Time in which only sound requests are sent.
const CALM: Duration = Duration::from_secs(2);
/// Time for which sound requests are counted after they must be served again.
const RECOVERED: Duration = Duration::from_secs(3);
/// Share of sound requests served before that must be served afterwards.
const MIN_SERVED: f64 = 0.5;

/// Where the crashing part is in a prompt.
#[derive(Clone, Copy, Debug)]
enum Prompt {
    SharedFirst,
    CrashingFirst,
    CrashingOnly,
    TwoSharedFirst,
    Varied,
}

impl Prompt {
    /// The parts that request `n` shares with sound ones, before and after the crashing part.
    fn shared(self, n: usize) -> [Vec<String>; 2] {
        let part = |id: &str| format!("{id}:200");
        match self {
            Prompt::SharedFirst => [vec![part("manual")], vec![]],
            Prompt::CrashingFirst => [vec![], vec![part("manual")]],
            Prompt::CrashingOnly => [vec![], vec![]],
            Prompt::TwoSharedFirst => [vec![part("manual"), part("shop")], vec![]],
            Prompt::Varied if n.is_multiple_of(2) => {
                [vec![part(&format!("shop-{}", n % 5))], vec![part("manual")]]
            }
            Prompt::Varied => [vec![part("manual"), part(&format!("shop-{}", n % 5))], vec![]],
        }
    }

    /// The prompt of request `n`, whose last part is its own.
    fn header(self, n: usize, id: &str, is_crashing: bool) -> String {
        let [mut parts, after] = self.shared(n);
        if is_crashing {
            parts.push(format!("{CRASHING_PART}:50"));
        }
        parts.extend(after);
        if parts.is_empty() {
            parts.push(String::from("other:200"));
        }
        parts.push(format!("{id}:100"));
        parts.join(",")
    }
}

/// Whether a sound request was served at its only attempt, and when it was sent.
type Served = (Instant, bool);

struct Outcome {
    runs: Vec<Run>,
    served: Vec<Served>,
    began: Instant,
}

fn fleet(first_event_delay: Duration) -> Fleet {
    let config = |n: usize| Config {
        id: format!("r{n}"),
        first_event_delay,
        restart_delay: RESTART_DELAY,
        ..Config::default()
    };
    let data_centre = |n: usize| if n.is_multiple_of(2) { "east" } else { "west" };
    let runners = (0..RUNNERS).map(|n| (data_centre(n), config(n))).collect();
    let fleet = Fleet::start(Plan { runners, ..Plan::default() });
    fleet.runners.iter().for_each(|runner| runner.crash_on_part(CRASHING_PART));
    fleet
}

/// Sends requests with the part and sound ones until sound ones must be served again, and counts on
/// for [`RECOVERED`].
fn play(fleet: &Fleet, prefix: &str, prompt: Prompt) -> Outcome {
    let crashing_path = format!("{prefix}crashing");
    let sound_path = format!("{prefix}sound");
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front_address).collect();
    let (is_begun, is_over) = (AtomicBool::new(false), AtomicBool::new(false));
    let served = Mutex::new(Vec::new());
    let mut began = Instant::now();
    std::thread::scope(|scope| {
        for caller in 0..CALLERS[0] + CALLERS[1] {
            let is_crashing = caller < CALLERS[0];
            let path = if is_crashing { &crashing_path } else { &sound_path };
            let (fronts, is_begun, is_over, served) = (&fronts, &is_begun, &is_over, &served);
            scope.spawn(move || {
                let mut n = caller;
                while !is_over.load(Ordering::Relaxed) {
                    std::thread::sleep(PAUSE);
                    if is_crashing && !is_begun.load(Ordering::Relaxed) {
                        continue;
                    }
                    n += 1;
                    let id = format!("{caller}-{n}");
                    let header = prompt.header(n, &id, is_crashing);
                    let sent = Instant::now();
                    let front = fronts[n % fronts.len()];
                    let headers = [("x-gatespool-prompt-prefix", header.as_str())];
                    let response = send_to(front, &format!("{path}/{id}"), &id, &headers);
                    if !is_crashing {
                        let is_served = response.status == 200 && response.is_complete;
                        served.lock().expect("a list").push((sent, is_served));
                    }
                }
            });
        }
        let calm_end = Instant::now() + CALM;
        reregister_while(fleet, || Instant::now() < calm_end);
        is_begun.store(true, Ordering::Relaxed);
        began = Instant::now();
        reregister_while(fleet, || {
            let last_crash = last_known_crash(&crashing_runs(fleet, &crashing_path));
            Instant::now() < last_crash.unwrap_or(began) + 2 * PROPAGATION_TIME + RECOVERED
        });
        is_over.store(true, Ordering::Relaxed);
    });
    let served = served.into_inner().expect("a list");
    Outcome { runs: crashing_runs(fleet, &crashing_path), served, began }
}

/// Writes the entries of runners that have started again, as long as the play `goes_on`.
fn reregister_while(fleet: &Fleet, goes_on: impl Fn() -> bool) {
    let mut starts = [1; RUNNERS];
    while goes_on() {
        for (n, known) in starts.iter_mut().enumerate() {
            let now = fleet.runners[n].process().starts.load(Ordering::Relaxed);
            if now != *known {
                *known = now;
                fleet.reregister(n, now);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Runs of requests with the part that crashed their target, in the order of the crashes.
fn crashing_runs(fleet: &Fleet, path: &str) -> Vec<Run> {
    let mut runs = fleet.runs(path);
    runs.sort_by_key(|run| run.ended.unwrap_or(run.started));
    runs
}

/// The fifth crash, or the last if there are fewer.
fn last_known_crash(runs: &[Run]) -> Option<Instant> {
    let run = runs.get(KNOWN_CRASHES - 1).or(runs.last())?;
    Some(run.ended.unwrap_or(run.started))
}

fn share(served: &[Served], is_counted: impl Fn(Instant) -> bool) -> f64 {
    let counted: Vec<bool> =
        served.iter().filter(|(sent, _)| is_counted(*sent)).map(|(_, served)| *served).collect();
    assert!(counted.len() >= 20, "only {} sound requests", counted.len());
    counted.iter().filter(|served| **served).count() as f64 / counted.len() as f64
}

#[rstest]
#[case::shared_first("/ask/", Prompt::SharedFirst, 20)]
#[case::crashing_first("/ask/", Prompt::CrashingFirst, 20)]
#[case::crashing_only("/ask/", Prompt::CrashingOnly, 20)]
#[case::slow("/ask/", Prompt::TwoSharedFirst, 200)]
#[case::varied("/ask/", Prompt::Varied, 20)]
#[case::resumable("/talk/", Prompt::SharedFirst, 20)]
#[case::safe_call("/plain/", Prompt::SharedFirst, 20)]
fn part_that_crashed_five_targets_reaches_no_other(
    #[case] prefix: &str,
    #[case] prompt: Prompt,
    #[case] first_event_ms: u64,
) {
    let fleet = fleet(Duration::from_millis(first_event_ms));
    let Outcome { runs, served, began } = play(&fleet, prefix, prompt);
    let known = last_known_crash(&runs).expect("a crash") + PROPAGATION_TIME;
    let later = runs.iter().filter(|run| run.arrived > known).count();
    let before = share(&served, |sent| sent < began);
    let after = share(&served, |sent| sent > known + PROPAGATION_TIME);
    println!("{} runs, {later} late, sound {before:.2}, then {after:.2}", runs.len());
    assert!(later <= MAX_LATER_RUNS, "{later} of {} runs were late", runs.len());
    assert!(after >= before * MIN_SERVED, "{after:.2} served, {before:.2} before");
}

/// Targets crash whatever they run, one after the other.
#[test]
fn crashes_of_targets_quarantine_no_sound_part() {
    let fleet = fleet(Duration::from_millis(20));
    let is_over = AtomicBool::new(false);
    let refused = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for caller in 0..CALLERS[1] {
            let (fleet, is_over, refused) = (&fleet, &is_over, &refused);
            scope.spawn(move || {
                let mut n = caller;
                while !is_over.load(Ordering::Relaxed) {
                    n += 1;
                    let id = format!("{caller}-{n}");
                    let header = Prompt::Varied.header(n, &id, false);
                    let headers = [("x-gatespool-prompt-prefix", header.as_str())];
                    let response = fleet.send_with(n % 3, &format!("/ask/{id}"), &id, &headers);
                    if response.status == 503 {
                        refused.lock().expect("a list").push(id);
                    }
                }
            });
        }
        std::thread::sleep(Duration::from_millis(500));
        for runner in &fleet.runners[..RUNNERS / 2] {
            runner.process().crash.notify_one();
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(Duration::from_millis(500));
        is_over.store(true, Ordering::Relaxed);
    });
    assert_eq!(refused.into_inner().expect("a list"), Vec::<String>::new());
    let mut ids = 0;
    wait_until("sound requests are served", || {
        ids += 1;
        fleet.send(ids % 3, &format!("/ask/last-{ids}"), &format!("last-{ids}")).status == 200
    });
}
