//! Regression test: of two concurrent refreshes, the one with the older configuration could store
//! its snapshot last, so that an instance served a configuration older than it had reported.

use daemon::Daemon;
use protocol::config::{Change, ConfigEntry, Limit, Object};
use protocol::settings::Settings;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const GENERATIONS: u64 = 2_000;
/// Concurrent refreshes, as heartbeats and the control worker cause them.
const REFRESH_THREADS: usize = 3;

fn start() -> Daemon {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = standin::serve::start(any, standin::platform::Platform::default());
    let platform = platform.expect("start platform");
    let settings = Settings {
        platform_address: platform.address,
        front_address: any,
        peer_address: any,
        ..Settings::default()
    };
    let daemon = daemon::start(settings, daemon::logging::discard()).expect("start daemon");
    let deadline = Instant::now() + Duration::from_secs(30);
    while !daemon.shared().view().ready {
        assert!(Instant::now() < deadline, "timed out waiting for the daemon to be ready");
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
fn concurrent_refreshes_never_store_an_older_configuration() {
    let daemon = start();
    let shared = daemon.shared();
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..REFRESH_THREADS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    shared.refresh();
                }
            });
        }
        for generation in 1..=GENERATIONS {
            shared.apply_config_entry(entry(generation));
            let seen = shared.view().document.generation;
            if seen < generation {
                is_done.store(true, Ordering::Relaxed);
                panic!("generation {generation} was applied, the snapshot has {seen}");
            }
        }
        is_done.store(true, Ordering::Relaxed);
    });
    daemon.kill();
}
