//! Names and response properties of the error kinds.

use protocol::kind::{Execution, Kind, Retry};
use protocol::{Error, error};
use std::collections::HashSet;
use std::time::Duration;

#[test]
fn kind_names_are_unique() {
    let names: HashSet<String> = Kind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!(names.len(), Kind::ALL.len());
}

#[test]
fn kind_properties_agree_with_http_status() {
    for kind in Kind::ALL {
        let properties = kind.properties();
        assert!((400..600).contains(&properties.status), "{kind:?}");
        // 429 and 503 always carry a retry delay.
        if matches!(properties.status, 429 | 503) {
            assert!(properties.retry != Retry::Never, "{kind:?}");
        }
        // An invalid request never runs and isn't worth a retry.
        if matches!(properties.status, 400 | 404 | 413 | 422) {
            assert_eq!(
                (properties.ran, properties.retry),
                (Execution::NotRun, Retry::Never),
                "{kind:?}"
            );
        }
    }
}

#[test]
fn retry_after_is_rounded_up_to_whole_seconds() {
    let overloaded =
        Error::new(Kind::Overloaded, "busy").with_retry_after(Duration::from_millis(1200));
    assert_eq!(error::Body::from(&overloaded).error.retry_after, Some(2));
    let short_delay =
        Error::new(Kind::Overloaded, "busy").with_retry_after(Duration::from_millis(1));
    assert_eq!(short_delay.retry_after_seconds(), Some(1));
    assert_eq!(Error::new(Kind::MayHaveRun, "claimed").retry_after_seconds(), None);
}
