//! Stops of instances while batch jobs change hands or calls about them are in flight.

mod util;

use std::time::Duration;
use util::batch::slow_plan;
use util::client;
use util::gateway::{Fleet, HOST};

/// Regression: a stop did not wait for the end of a job that another instance held, and closed the
/// connection without a response.
#[test]
fn end_in_flight_at_a_stop_is_answered() {
    let fleet = Fleet::start(slow_plan());
    assert_eq!(fleet.submit(1, "ended", &["a", "b"]).status, 202);
    fleet.gateways[1].freeze();
    std::thread::scope(|scope| {
        let end = scope.spawn(|| fleet.end_job(0, "ended").status);
        std::thread::sleep(Duration::from_millis(200));
        fleet.gateways[0].terminate();
        assert_eq!(end.join().expect("a response"), 200);
    });
    fleet.gateways[1].thaw();
}

/// Regression: a stop did not wait for calls that wait for results at another instance, and
/// closed the connection without a response.
#[test]
fn results_awaited_at_a_stop_are_answered() {
    let fleet = Fleet::start(slow_plan());
    assert_eq!(fleet.submit(0, "awaited", &["a", "b"]).status, 202);
    std::thread::sleep(Duration::from_millis(200));
    let headers = [("host", HOST), ("x-gatespool-wait-ms", "1200")];
    let to = fleet.gateways[1].front_address;
    std::thread::scope(|scope| {
        let path = "/lots/awaited?since_rev=0";
        let read = scope.spawn(|| client::call("GET", to, path, &headers, Vec::new()).status);
        std::thread::sleep(Duration::from_millis(200));
        fleet.gateways[1].terminate();
        assert_eq!(read.join().expect("a response"), 200);
    });
}
