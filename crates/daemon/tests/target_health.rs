//! Health of targets as the own interface sees it.

use daemon::fleet::{self, Fleet, Requirements, View, ViewContext};
use protocol::config::{Document, Protocol, Service, Target};
use std::collections::HashSet;
use std::time::Instant;

const SERVICE: &str = "offers";

/// A plain service with one target.
fn view() -> View {
    let service = Service {
        name: SERVICE.to_owned(),
        protocol: Protocol::Plain,
        version: String::new(),
        prefix: String::from("/offers/"),
        repeatable: Vec::new(),
        deadline_ms: 1_000,
        queue: 8,
        levels: Vec::new(),
    };
    let target = Target {
        name: String::from("t"),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: String::from("east"),
        service: SERVICE.to_owned(),
        slots: 4,
        adapters: Vec::new(),
        checks_fence: false,
        leaving: false,
    };
    let document = Document {
        services: [(SERVICE.to_owned(), service)].into(),
        targets: [(target.name.clone(), target)].into(),
        ..Document::default()
    };
    let context = ViewContext { me: 1, data_centre: String::from("east"), max_targets: 8 };
    Fleet::default().view(document, HashSet::new(), &context, true)
}

/// Regression: requests were rejected between the first response after a silence and the next load
/// report.
#[test]
fn target_that_responds_after_a_silence_is_used_before_its_next_load_report() {
    let (view, now) = (view(), Instant::now());
    let targets = &view.services[SERVICE];
    let pick = || fleet::pick(targets, &Requirements::default(), &[], "east", now);
    (0..2).for_each(|_| targets.targets[0].on_unresponsive(now));
    let first = pick().expect("a common silence excludes no target");
    first.on_success();
    drop(first);
    assert!(pick().is_some(), "it has responded");
}
