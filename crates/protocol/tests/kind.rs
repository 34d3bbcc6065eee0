//! The table of error kinds, row by row.

use protocol::kind::{Execution, Kind, Retry};
use protocol::{Error, error};
use std::collections::HashSet;
use std::time::Duration;

#[test]
fn the_table_names_each_kind_once() {
    let names: HashSet<String> = Kind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!(names.len(), Kind::ALL.len());
}

#[test]
fn every_row_is_a_sound_answer() {
    for kind in Kind::ALL {
        let row = kind.properties();
        assert!((400..600).contains(&row.status), "{kind:?}");
        // Too many and unavailable always say when to come back.
        if matches!(row.status, 429 | 503) {
            assert!(row.retry != Retry::Never, "{kind:?}");
        }
        // A request that is wrong in itself was never run.
        if matches!(row.status, 400 | 404 | 413 | 422) {
            assert_eq!((row.ran, row.retry), (Execution::NotRun, Retry::Never), "{kind:?}");
        }
    }
}

#[test]
fn the_body_says_when_to_come_back_rounded_up() {
    let refused =
        Error::new(Kind::Overloaded, "busy").with_retry_after(Duration::from_millis(1200));
    assert_eq!(error::Body::from(&refused).error.retry_after, Some(2));
    let soon = Error::new(Kind::Overloaded, "busy").with_retry_after(Duration::from_millis(1));
    assert_eq!(soon.retry_after_seconds(), Some(1));
    assert_eq!(Error::new(Kind::MayHaveRun, "claimed").retry_after_seconds(), None);
}
