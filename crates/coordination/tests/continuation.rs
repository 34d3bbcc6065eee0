//! The version of a run on a target.

use coordination::continuation::version_of_run;
use protocol::SoftwareVersion;
use protocol::routing::Target;

fn target(software: Option<&str>) -> Target {
    Target {
        id: String::from("t"),
        service: String::from("llm"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: String::from("east"),
        slots: 1,
        leaving: false,
        revision: 1,
        cold_left_ms: 0,
        started_at: 0,
        software: software.map(str::to_owned),
    }
}

/// Regression: a target that its allocator knew some ms earlier counted as one that had changed.
#[test]
fn target_that_becomes_known_after_the_grant_has_the_version_that_it_states() {
    let v1: SoftwareVersion = String::from("v1");
    assert_eq!(version_of_run(None, Some(&target(Some("v1")))), Some(v1.clone()));
    assert_eq!(version_of_run(None, Some(&target(None))), None);
    assert_eq!(version_of_run(None, None), None);
    assert_eq!(version_of_run(Some(Some(&v1)), None), Some(v1.clone()));
    assert_eq!(version_of_run(Some(Some(&v1)), Some(&target(Some("v1")))), Some(v1.clone()));
    assert_eq!(version_of_run(Some(Some(&v1)), Some(&target(Some("v2")))), None);
    assert_eq!(version_of_run(Some(None), Some(&target(Some("v1")))), None);
}
