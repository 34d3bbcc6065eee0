//! Machines that are suspended: the steady clock stands still, the callers don't.

mod util;

use rstest::rstest;
use standin::runner::{Config, Run};
use std::time::Duration;
use util::gateway::{Fleet, Plan};
use util::wait_until;

/// Time that callers wait.
const PATIENCE: Duration = Duration::from_secs(5);

/// One gateway and one engine with one slot, whose answers take 1 s.
fn fleet() -> Fleet {
    let config = Config {
        id: String::from("r0"),
        slots: 1,
        pace: Duration::from_millis(50),
        events: 20,
        ..Config::default()
    };
    let plan = Plan { gateways: vec!["east"], runners: vec![("east", config)], ..Plan::default() };
    Fleet::start(plan)
}

fn next_run(fleet: &Fleet) -> Option<Run> {
    fleet.runners[0].runs().into_iter().find(|run| run.path == "/plain/next")
}

/// A request waits for a slot while the machine sleeps: what its caller still waits is told
/// to the target less what was slept, and it isn't sent any more if that is nothing.
#[rstest]
#[case(500)]
#[case(2_000)]
#[case(20_000)]
fn what_was_slept_is_no_time_left(#[case] millis: u64) {
    let asleep = Duration::from_millis(millis);
    let fleet = fleet();
    let status = std::thread::scope(|scope| {
        scope.spawn(|| fleet.send(0, "/ask/first", "first"));
        wait_until("it runs", || !fleet.runs("/ask/first").is_empty());
        let next = scope.spawn(|| fleet.send(0, "/plain/next", "next"));
        std::thread::sleep(Duration::from_millis(300));
        fleet.gateways[0].simulate_suspension(asleep);
        next.join().expect("an answer").status
    });
    let told = |line: &serde_json::Value| line["msg"] == "was suspended";
    wait_until("it is told", || fleet.log(0).iter().any(told));
    match next_run(&fleet) {
        Some(run) => {
            let left = run.left.expect("a time limit");
            assert!(left <= PATIENCE - asleep, "{left:?} left after {asleep:?} asleep");
            assert_eq!(status, 200);
        }
        None => assert!(asleep >= PATIENCE && status != 200, "not sent: {status}"),
    }
}

/// What is learnt from the platform is looked at anew.
#[test]
fn a_gateway_that_wakes_knows_the_configuration_of_the_moment() {
    let fleet = fleet();
    fleet.gateways[0].simulate_suspension(Duration::from_secs(20));
    fleet.configure(8);
    wait_until("it is in force", || {
        let in_force = |line: &serde_json::Value| line["version"] == 8;
        fleet.log(0).iter().any(|line| line["msg"] == "configuration in force" && in_force(line))
    });
    assert_eq!(fleet.send(0, "/ask/woken", "woken").status, 200);
}
