//! The clock that counts suspensions.

use std::time::{Duration, Instant};
use transport::clock;

/// One test: what is pretended holds for the whole process.
#[test]
fn the_clock_counts_what_was_slept_and_never_runs_back() {
    let file = std::env::temp_dir().join(format!("gatespool-clock-{}", std::process::id()));
    std::fs::write(&file, "0").expect("a file");
    clock::simulate_suspension(file.clone());
    let (steady, counting) = (Instant::now(), clock::now());
    let mut last = counting;
    for _ in 0..1_000 {
        let now = clock::now();
        assert!(now >= last);
        last = now;
    }
    std::fs::write(&file, "20000").expect("a file");
    std::thread::sleep(Duration::from_millis(50));
    let asleep = clock::since(counting).saturating_sub(steady.elapsed());
    assert!(asleep > Duration::from_millis(19_900), "{asleep:?}");
    assert!(asleep < Duration::from_millis(20_100), "{asleep:?}");
    std::fs::remove_file(&file).expect("the file is there");
}
