//! The whole path over separate processes: any instance serves, streamed and
//! not; a job goes in at one instance and is read at another.

mod util;

use serde_json::json;
use standin::text;
use util::client::chat;
use util::cluster::{Cluster, Plan, items};

#[test]
fn a_request_is_served_whole_by_any_instance() {
    let cluster = Cluster::start(Plan::default());
    let prompt = "condition of the 1998 edition?";
    for daemon in &cluster.daemons {
        let plain = chat(daemon.front_address, prompt, &[], json!({}));
        assert_eq!(plain.status, 200, "{plain:?}");
        assert_eq!(plain.text(), text::full_text(prompt, None));
        let streamed = chat(daemon.front_address, prompt, &[], json!({ "stream": true }));
        assert_eq!(streamed.streamed_text(), (text::full_text(prompt, None), true));
    }
}

#[test]
fn a_job_is_accepted_here_and_read_there() {
    let cluster = Cluster::start(Plan::default());
    let accepted = cluster.submit(0, "night-1", &items("describe", 50));
    assert_eq!(accepted.status, 201, "{accepted:?}");
    let job = accepted.json()["job"].as_str().expect("its id").to_owned();
    let status = cluster.wait_job(1, &job, "finished");
    assert_eq!(status["done"], 50);
    let results = cluster.results(2, &job);
    assert_eq!(results.len(), 50);
    for (place, line) in results.iter().enumerate() {
        assert_eq!(line["item"], place);
        assert_eq!(line["text"], text::full_text(&format!("describe {place}"), None));
    }
}

#[test]
fn a_plain_service_is_routed_to() {
    let cluster = Cluster::start(Plan::default());
    let response = util::client::get(cluster.daemons[1].front_address, "/offers/7");
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.json()["path"], "/offers/7");
    assert_eq!(cluster.plain.calls().len(), 1);
}
