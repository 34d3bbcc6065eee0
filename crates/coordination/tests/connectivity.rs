//! A disconnected service, as opposed to an idle one.

use coordination::connectivity::{Policy, Tracker, Uptime};
use std::time::{Duration, Instant};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn tracker() -> Tracker {
    Tracker::new(Policy { probe_after: ms(300), expiry: ms(1_800), ..Policy::default() })
}

#[test]
fn probe_is_due_after_idle_time() {
    let start = Instant::now();
    let mut tracker = tracker();
    assert!(tracker.is_probe_due(start), "no response yet");
    for step in 0..20 {
        tracker.on_response(start + ms(200) * step);
        assert!(!tracker.is_probe_due(start + ms(200) * step + ms(199)));
    }
    assert!(tracker.is_probe_due(start + ms(3_800) + ms(300)));
}

#[test]
fn tracker_is_disconnected_from_a_failed_probe_until_the_next_response() {
    let start = Instant::now();
    let mut tracker = tracker();
    tracker.on_response(start);
    tracker.on_failure();
    assert!(!tracker.is_disconnected(), "one failed call isn't enough");
    tracker.on_probe_failed(start, 0.5);
    assert!(tracker.is_disconnected());
    tracker.on_response(start + ms(900));
    assert!(!tracker.is_disconnected());
}

fn uptime_since(tracker: &Tracker) -> Option<Instant> {
    tracker.uptime().map(|uptime| uptime.since)
}

/// Regression: removals were held back as possible expiries after any failed call, however short
/// the outage.
#[test]
fn uptime_restarts_only_after_an_outage_of_the_expiry_time() {
    let start = Instant::now();
    let mut tracker = tracker();
    tracker.on_response(start);
    tracker.on_failure();
    let short = start + ms(1_799);
    tracker.on_response(short);
    assert_eq!(uptime_since(&tracker), Some(start));
    tracker.on_probe_failed(short, 0.5);
    let back = short + ms(1_800);
    tracker.on_response(back);
    assert_eq!(uptime_since(&tracker), Some(back));
}

#[test]
fn uptime_continues_over_idle_time_without_a_failed_call() {
    let start = Instant::now();
    let mut tracker = tracker();
    tracker.on_response(start);
    tracker.on_response(start + ms(60_000));
    assert_eq!(uptime_since(&tracker), Some(start));
}

/// Regression: an instance that was disconnected alone held back removals as if the store had been
/// unavailable to the targets too.
#[test]
fn uptime_of_peers_overrides_a_local_outage() {
    let start = Instant::now();
    let mut tracker = tracker();
    tracker.on_response(start);
    tracker.on_probe_failed(start, 0.5);
    let back = start + ms(9_000);
    tracker.on_response(back);
    assert_eq!(uptime_since(&tracker), Some(back), "no peer report yet");
    let elsewhere = Uptime { since: start - ms(500), last: back - ms(300) };
    tracker.on_peer_report(Some(elsewhere), false);
    assert_eq!(uptime_since(&tracker), Some(start - ms(500)));
}

/// Regression: a first response after an outage, reported by another instance, hid the outage from
/// instances that got a response later; they took expired targets for removed.
#[test]
fn uptime_restarts_after_an_outage_that_a_peer_reports() {
    let start = Instant::now();
    let mut tracker = tracker();
    tracker.on_response(start);
    tracker.on_probe_failed(start, 0.5);
    let back = start + ms(2_500);
    tracker.on_peer_report(Some(Uptime { since: back, last: back + ms(20) }), false);
    tracker.on_response(back + ms(100));
    assert_eq!(uptime_since(&tracker), Some(back));
    let old = Uptime { since: start - ms(5_000), last: start + ms(100) };
    tracker.on_peer_report(Some(old), true);
    assert_eq!(uptime_since(&tracker), Some(back), "a report from before the outage is ignored");
}

/// An instance that takes over from a disconnected one has no failed call itself.
#[test]
fn successor_detects_an_outage_from_peer_reports() {
    let start = Instant::now();
    let mut successor = tracker();
    successor.on_response(start);
    let elsewhere = |last: u64| Some(Uptime { since: start - ms(500), last: start + ms(last) });
    successor.on_peer_report(elsewhere(9_200), true);
    successor.on_response(start + ms(10_000));
    assert_eq!(
        uptime_since(&successor),
        Some(start - ms(500)),
        "800 ms without a response to any instance"
    );
    successor.on_peer_report(elsewhere(10_100), true);
    let back = start + ms(13_000);
    successor.on_response(back);
    assert_eq!(uptime_since(&successor), Some(back));
}

/// Load: 17 instances check every 100 ms whether a probe is due while the service rejects all of
/// them at once for 6 s. Regression: each sent 10 probes per second.
#[test]
fn outage_costs_few_probes_and_its_end_is_noticed_at_once() {
    const INSTANCES: u32 = 17;
    let start = Instant::now();
    let outage_ends = start + ms(6_000);
    let mut trackers: Vec<Tracker> = (0..INSTANCES).map(|_| tracker()).collect();
    let mut probes = 0;
    let mut reports: Vec<Instant> = Vec::new();
    let mut now = start;
    while now < outage_ends + ms(400) {
        let arrived = reports.iter().filter(|at| **at <= now).count();
        for _ in reports.drain(..arrived) {
            trackers.iter_mut().for_each(|tracker| tracker.on_peer_regained(now));
        }
        let phase = ((now - start).as_millis() % 100) as u32;
        for (n, tracker) in trackers.iter_mut().enumerate() {
            if phase != n as u32 * 5 || !tracker.is_probe_due(now) {
                continue;
            }
            if now < outage_ends {
                probes += 1;
                tracker.on_probe_failed(now, f64::from(n as u32) / f64::from(INSTANCES));
            } else {
                tracker.on_response(now);
                // The instance polls its own state before it reports it.
                reports.push(now + ms(100));
            }
        }
        now += ms(5);
    }
    assert!(trackers.iter().all(|tracker| !tracker.is_disconnected()));
    assert!(probes <= 15 * INSTANCES, "{probes} probes");
}
