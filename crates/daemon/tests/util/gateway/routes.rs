//! Routes of a configuration.

use serde_json::{Value, json};

/// Adds routes to a configuration until there are `count`, each with a name and a path of its own.
pub fn add_routes(config: &mut Value, count: usize) {
    let template = config["routes"][0].clone();
    let routes = config["routes"].as_array_mut().expect("routes");
    for n in routes.len()..count {
        // The names are spread, so that they can't be compressed to nothing.
        let name = format!("{:08x}", (n as u32).wrapping_mul(2_654_435_761));
        let mut route = template.clone();
        route["name"] = json!(name);
        route["host"] = json!(format!("{name}.example"));
        route["path_prefix"] = json!(format!("/{name}/"));
        routes.push(route);
    }
}
