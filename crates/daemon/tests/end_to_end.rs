//! End-to-end test over separate processes: requests, streams, jobs and plain calls.

mod util;

use serde_json::json;
use standin::text;
use util::client::chat;
use util::cluster::{Cluster, Plan, items};

#[test]
fn any_instance_serves_a_request() {
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
fn job_results_can_be_read_from_another_instance() {
    let cluster = Cluster::start(Plan::default());
    let accepted = cluster.submit(0, "night-1", &items("describe", 50));
    assert_eq!(accepted.status, 201, "{accepted:?}");
    let job = accepted.json()["job"].as_str().expect("job id").to_owned();
    let status = cluster.wait_job(1, &job, "finished");
    assert_eq!(status["done"], 50);
    let results = cluster.results(2, &job);
    assert_eq!(results.len(), 50);
    for (index, line) in results.iter().enumerate() {
        assert_eq!(line["item"], index);
        assert_eq!(line["text"], text::full_text(&format!("describe {index}"), None));
    }
}

#[test]
fn plain_call_reaches_its_service() {
    let cluster = Cluster::start(Plan::default());
    let response = util::client::get(cluster.daemons[1].front_address, "/offers/7");
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.json()["path"], "/offers/7");
    assert_eq!(cluster.plain.calls().len(), 1);
}
