//! The clock that includes suspensions.

use std::time::{Duration, Instant};
use transport::clock;

// The only test in this file, as a simulated suspension affects the whole process.
#[test]
fn clock_is_monotonic_and_includes_simulated_suspension() {
    let file = std::env::temp_dir().join(format!("gatespool-clock-{}", std::process::id()));
    std::fs::write(&file, "0").expect("write suspension file");
    clock::simulate_suspension(file.clone());
    let (monotonic, start) = (Instant::now(), clock::now());
    let mut last = start;
    for _ in 0..1_000 {
        let now = clock::now();
        assert!(now >= last);
        last = now;
    }
    std::fs::write(&file, "20000").expect("write suspension file");
    std::thread::sleep(Duration::from_millis(50));
    let suspended = clock::since(start).saturating_sub(monotonic.elapsed());
    assert!(suspended > Duration::from_millis(19_900), "{suspended:?}");
    assert!(suspended < Duration::from_millis(20_100), "{suspended:?}");
    std::fs::remove_file(&file).expect("remove suspension file");
}
