//! Regression: of two refreshes that overlapped, the one that had read the older
//! configuration could write its snapshot last. Requests then met a service that
//! "didn't exist" on an instance that had already told its generation.

use daemon::Daemon;
use protocol::config::{Change, ConfigEntry, Limit, Object};
use protocol::settings::Settings;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Changes offered; with the race in place, a few dozen were enough to see it.
const GENERATIONS: u64 = 2_000;
/// Threads that make snapshots meanwhile, as heartbeats and the control duty do.
const REFRESHERS: usize = 3;

fn start() -> Daemon {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = standin::serve::start(any, standin::platform::Platform::default());
    let platform = platform.expect("the platform");
    let settings = Settings {
        platform_address: platform.address,
        front_address: any,
        peer_address: any,
        ..Settings::default()
    };
    let daemon = daemon::start(settings, daemon::logging::discard()).expect("a daemon");
    let end = Instant::now() + Duration::from_secs(30);
    while !daemon.shared().view().ready {
        assert!(Instant::now() < end, "the daemon isn't ready");
        std::thread::sleep(Duration::from_millis(10));
    }
    daemon
}

fn entry(generation: u64) -> ConfigEntry {
    let limit = Limit { caller: String::from("shop"), rate: generation as f64, burst: 1.0 };
    let change = Change { put: vec![Object::Limit(limit)], delete: Vec::new() };
    let (token, author) = (generation.to_string(), String::from("test"));
    ConfigEntry { generation, token, author, at: 0, change }
}

#[test]
fn a_refresh_never_puts_an_older_configuration_back() {
    let daemon = start();
    let shared = daemon.shared();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..REFRESHERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    shared.refresh();
                }
            });
        }
        for generation in 1..=GENERATIONS {
            shared.apply_config_entry(entry(generation));
            let seen = shared.view().document.generation;
            if seen < generation {
                is_over.store(true, Ordering::Relaxed);
                panic!("generation {generation} is in force, the snapshot shows {seen}");
            }
        }
        is_over.store(true, Ordering::Relaxed);
    });
    daemon.kill();
}
