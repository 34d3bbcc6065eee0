//! Changes of the routes of jobs beside losses of all gateways and odd status lines, derived from a
//! seed.

use super::faults::{Fault, Step, random_millis};
use super::planned::merge;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::time::Duration;

/// Status codes of no response.
const ODD_CODES: [&[u8; 3]; 5] = [b"000", b"099", b"600", b"777", b"999"];
/// Paths of calls about jobs.
pub const JOB_CALL_PATHS: [&str; 2] = ["/lots/", "/items/"];

/// Adds series of changes, some with a loss of all gateways, and odd status lines of runners.
pub fn with_route_changes(
    steps: Vec<Step>,
    seed: u64,
    runners: usize,
    period: Duration,
) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let mut changes = Vec::new();
    let mut odd = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < period {
        let pause = random_millis(&mut rng, 200, 1_200);
        elapsed += pause;
        changes.push((pause, Fault::Configure));
        if rng.random_bool(0.25) {
            let down = random_millis(&mut rng, 10, 700);
            changes.push((random_millis(&mut rng, 0, 300), Fault::KillAll(down)));
        }
        let code = ODD_CODES[rng.random_range(0..ODD_CODES.len())];
        let fault = Fault::OddStatus(
            rng.random_range(0..runners),
            *code,
            random_millis(&mut rng, 200, 1_500),
        );
        odd.push((pause, fault));
    }
    merge(steps, merge(changes, odd))
}

/// Changes the routes of a configuration, as its version determines. Online routes begin the paths
/// of all calls about jobs.
pub fn vary(config: &mut Value, version: u64) {
    let routes = config["routes"].as_array_mut().expect("routes");
    let is_batch = |route: &Value| route["kind"] == "batch";
    let page = routes.iter().find(|route| route["name"] == "plain").expect("a route").clone();
    let batch = routes.iter_mut().find(|route| is_batch(route)).expect("the batch route");
    match version % 6 {
        1 => batch["name"] = json!(format!("lots-{version}")),
        2 => routes.retain(|route| !is_batch(route)),
        3 => batch["kind"] = json!("safe"),
        4 => {
            let below = with_path(&page, "below", "/batch/1/");
            routes.push(below);
        }
        5 => {
            let below = with_path(batch, "lots-below", "/batch/2/");
            routes.push(below);
        }
        _ => {}
    }
    for path in JOB_CALL_PATHS {
        routes.push(with_path(&page, path, path));
    }
}

fn with_path(route: &Value, name: &str, prefix: &str) -> Value {
    let mut route = route.clone();
    route["name"] = json!(name);
    route["path_prefix"] = json!(prefix);
    route
}
