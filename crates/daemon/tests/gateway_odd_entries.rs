//! Odd objects that another writer has left on the platform: nothing that they hold may end a
//! gateway, or keep it from following sound ones.

mod util;

use coordination::registry::Change;
use daemon::gateway::message::{PeerRequest, Update};
use platform::{config, evacuation, instance, job, quarantine, release, target};
use protocol::routing::Target;
use rstest::rstest;
use serde_json::{Value, json};
use standin::runner::Config;
use std::net::SocketAddr;
use std::time::Duration;
use util::client;
use util::gateway::{Fleet, HOST, Plan};
use util::peer::request;
use util::wait_until;

/// Time in which gateways have read what was written.
const READ_DELAY: Duration = Duration::from_millis(1_500);
const MARKER: &str = "@odd@";
const NAME: &str = "@name@";

/// Three gateways and two runners whose requests are short.
fn plan() -> Plan {
    let config = |n: usize| Config {
        id: format!("r{n}"),
        slots: 32,
        event_count: 2,
        event_interval: Duration::from_millis(5),
        ..Config::default()
    };
    Plan { runners: vec![("east", config(0)), ("west", config(1))], ..Plan::default() }
}

/// Texts in place of a value; some can't be written by a JSON library.
fn odd_texts() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str, depth| {
        format!("{}0{}", open.repeat(depth), close.repeat(depth)).into_bytes()
    };
    let mut texts: Vec<Vec<u8>> = [
        "1e999",
        "-1e999",
        "1e308",
        "1e22",
        "1e18",
        "1e-300",
        "-1",
        "0",
        "4294967295",
        "4294967296",
        "9223372036854775807",
        "18446744073709551615",
        "18446744073709551616",
        r#""\ud800""#,
        "\"a\u{1}b\"",
        r#""127.0.0.1:70000""#,
        r#""127.0.0.1:0""#,
        r#""[::]:1""#,
        r#""""#,
        "null",
        "[]",
        "{}",
        r#"{"a":1,"a":2}"#,
    ]
    .map(|text| text.as_bytes().to_vec())
    .into();
    texts.push(b"\"\xff\xfe\"".to_vec());
    texts.push("9".repeat(100_000).into_bytes());
    texts.push(format!("\"{}\"", "x".repeat(20_000)).into_bytes());
    texts.extend([nested("[", "]", 200), nested("[", "]", 20_000), nested("{\"a\":", "}", 20_000)]);
    texts
}

/// Copies of a value in which one place each is marked.
fn marked(value: &Value) -> Vec<Value> {
    let mut copies = vec![json!(MARKER)];
    let keys: Vec<String> = match value {
        Value::Object(fields) => fields.keys().map(|key| format!("/{key}")).collect(),
        Value::Array(items) => (0..items.len()).map(|index| format!("/{index}")).collect(),
        _ => Vec::new(),
    };
    for key in keys {
        for inner in value.pointer(&key).map(marked).unwrap_or_default() {
            let mut copy = value.clone();
            *copy.pointer_mut(&key).expect("a place") = inner;
            copies.push(copy);
        }
    }
    copies
}

/// A sound value with each odd text in each of its places.
fn odd_copies(sound: &Value) -> Vec<Vec<u8>> {
    let marker = json!(MARKER).to_string();
    let copies = marked(sound).into_iter().flat_map(|copy| {
        let text = copy.to_string();
        let (before, after) = text.split_once(&marker).expect("a marker");
        let join = |odd: Vec<u8>| [before.as_bytes(), &odd, after.as_bytes()].concat();
        odd_texts().into_iter().map(join).collect::<Vec<_>>()
    });
    copies.collect()
}

/// Asserts that changes of sound objects take effect, that jobs complete, and that nothing has
/// panicked.
#[track_caller]
fn assert_followed(fleet: &mut Fleet, version: u64) {
    fleet.configure(version);
    fleet.set_runner_state(0, "draining");
    for n in 0..fleet.gateways.len() {
        wait_until("the configuration is in force", || {
            let mut lines = fleet.log(n).into_iter().rev();
            let last = lines.find(|line| line["msg"] == "configuration in force");
            last.is_some_and(|line| line["version"] == version)
        });
        wait_until("the change of a target is known", || {
            let mut lines = fleet.log(n).into_iter().rev();
            let last = lines.find(|line| line["msg"] == "target" && line["target"] == "r0");
            last.is_some_and(|line| line["leaving"] == true)
        });
        let path = format!("/ask/after-{version}-{n}");
        let response = fleet.send(n, &path, &format!("after-{version}-{n}"));
        assert_eq!((response.status, response.is_complete), (200, true), "{response:?}");
    }
    fleet.set_runner_state(0, "ready");
    let job = format!("sound-{version}");
    let items = ["1", "2", "3"].map(|item| format!("{job}-{item}"));
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(1, &job, &items).status, 202);
    assert_eq!(fleet.wait_results(1, &job).len(), items.len());
    assert_sound(fleet);
}

/// Asserts that every gateway runs and that none of its tasks has panicked.
#[track_caller]
fn assert_sound(fleet: &mut Fleet) {
    for n in 0..fleet.gateways.len() {
        let path = fleet.dir.join(format!("gateway-{n}.err"));
        let errors = std::fs::read_to_string(path).unwrap_or_default();
        assert!(!errors.contains("panicked"), "{errors}");
        assert!(fleet.gateways[n].is_running(), "gateway {n} has ended: {errors}");
    }
}

/// A sound spec and status of each kind.
fn sound_objects(kind: &str, name: &str) -> (Value, Value) {
    let holder = json!({ "instance": 7, "address": "127.0.0.1:9" });
    let spec = match kind {
        target::KIND => json!({
            "service": "other", "addr": "127.0.0.1:9", "zone": "east", "version": "v1", "slots": 4,
            "state": "ready", "cold_left_ms": 5, "seq": 1, "born": 5,
        }),
        instance::KIND => json!({ "peer": "127.0.0.1:9", "data_centre": "east" }),
        job::KIND => json!({
            "id": name, "host": "a.example", "path": format!("/batch/{name}"), "accepted": 5,
            "due": 10, "give_up": 5_000_000_000_000_u64, "acceptor": holder, "config": 7,
            "piece_tokens": 0, "pieces": [],
            "items": [{
                "id": format!("{name}-1"), "path": "/batch/odd", "headers": [["a", "b"]],
                "body": "", "tokens": 10,
            }],
        }),
        quarantine::KIND => json!({
            "written": 5, "strikes": [{
                "content": 7, "boot": { "target": "t", "born": 1 }, "age_ms": 5,
                "is_acquitted": false,
            }],
        }),
        release::KIND => json!({ "service": "other", "software": "v1" }),
        _ => json!({ "over_s": 5 }),
    };
    let status = match kind {
        job::KIND => json!({
            "holder": holder, "ended": false, "pieces": [],
            "outcomes": [{ "item": format!("{name}-1"), "is_complete": true, "text": "" }],
            "failures": { format!("{name}-1"): { "runs": 1, "is_impossible": false } },
        }),
        _ => json!({ "state": "running" }),
    };
    (spec, status)
}

/// A text with the name of its object.
fn named(text: &[u8], name: &str) -> Vec<u8> {
    let mut parts = Vec::new();
    let mut rest = text;
    while let Some(at) = rest.windows(NAME.len()).position(|part| part == NAME.as_bytes()) {
        parts.extend_from_slice(&rest[..at]);
        parts.extend_from_slice(name.as_bytes());
        rest = &rest[at + NAME.len()..];
    }
    [&parts, rest].concat()
}

/// Writes sound objects of a kind with each odd text in each place of their spec or status.
fn write_odd_objects(fleet: &Fleet, kind: &str) {
    let (spec, status) = sound_objects(kind, NAME);
    let [sound, null] = [&spec, &Value::Null].map(|value| value.to_string().into_bytes());
    let odd_specs = odd_copies(&spec).into_iter().map(|odd| (odd, null.clone()));
    let odd_statuses = odd_copies(&status).into_iter().map(|odd| (sound.clone(), odd));
    for (n, (spec, status)) in odd_specs.chain(odd_statuses).enumerate() {
        let name = format!("0dd{n:05}");
        fleet.objects.put_raw(kind, &name, &named(&spec, &name), &named(&status, &name));
    }
}

#[rstest]
#[case::targets(target::KIND)]
#[case::instances(instance::KIND)]
#[case::jobs(job::KIND)]
#[case::quarantines(quarantine::KIND)]
#[case::releases(release::KIND)]
#[case::evacuations(evacuation::KIND)]
#[case::decommissions(platform::decommission::KIND)]
#[case::other_configurations(config::KIND)]
fn odd_objects_end_no_gateway_and_sound_ones_are_followed(#[case] kind: &str) {
    let mut fleet = Fleet::start(plan());
    write_odd_objects(&fleet, kind);
    std::thread::sleep(READ_DELAY);
    assert_followed(&mut fleet, 8);
    // One that starts reads them, and so do all others once it is the only one that is left.
    (0..fleet.gateways.len()).for_each(|n| fleet.restart(n));
    fleet.wait_ready();
    assert_followed(&mut fleet, 9);
}

/// Entries of sound form that claim absurdly many slots, at an address where nothing listens.
#[rstest]
#[case::sum_wraps_to_few(u64::from(u32::MAX))]
#[case::sum_wraps_to_none(1 << 31)]
fn slots_of_odd_targets_keep_no_request_and_no_job_waiting(#[case] slots: u64) {
    let mut fleet = Fleet::start(plan());
    for n in 0..2 {
        let entry = json!({
            "service": "llm", "addr": "127.0.0.1:9", "zone": "east", "version": "v1",
            "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1,
        });
        fleet.objects.put(target::KIND, &format!("odd-{n}"), entry);
    }
    std::thread::sleep(READ_DELAY);
    assert_followed(&mut fleet, 8);
}

/// As above, where another instance has passed the entries on: an earlier build does.
#[test]
fn slots_of_odd_targets_from_another_instance_keep_nothing_waiting() {
    let mut fleet = Fleet::start(plan());
    let target = |n: u64| Target {
        id: format!("odd-{n}"),
        started_at: 0,
        service: String::from("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: String::from("east"),
        slots: u32::MAX,
        leaving: false,
        revision: 1,
        cold_left_ms: u64::MAX,
        software: Some(String::from("v1")),
    };
    let update = Update::Targets((0..2).map(target).map(Change::Present).collect());
    for gateway in &fleet.gateways {
        let sent = PeerRequest::Update(gateway.peer_address, update.clone());
        request(gateway.peer_address, &sent).expect("a reply");
    }
    assert_followed(&mut fleet, 8);
}

/// Each is the last one of a page, and sound objects follow.
#[test]
fn objects_with_odd_names_end_no_list() {
    let mut fleet = Fleet::start(plan());
    fleet.objects.set_page_size(1);
    let kinds = [
        target::KIND,
        instance::KIND,
        job::KIND,
        quarantine::KIND,
        release::KIND,
        evacuation::KIND,
        platform::decommission::KIND,
        config::KIND,
    ];
    for kind in kinds {
        for name in ["0 odd", "0#odd", "0?odd=1", "0%zz", "0&odd", "0\u{e9}", "0\"odd\\", "0\u{1}"]
        {
            let (spec, _) = sound_objects(kind, name);
            fleet.objects.put(kind, name, spec);
        }
    }
    std::thread::sleep(READ_DELAY);
    assert_followed(&mut fleet, 8);
    (0..fleet.gateways.len()).for_each(|n| fleet.restart(n));
    fleet.wait_ready();
    assert_followed(&mut fleet, 9);
}

/// Texts as long as the platform accepts them: instances still tell each other of other targets.
#[test]
fn targets_with_long_texts_keep_no_other_from_being_known() {
    let mut fleet = Fleet::start(plan());
    for n in 0..12 {
        let mut entry = sound_objects(target::KIND, "").0;
        entry["version"] = json!("v".repeat(900_000));
        fleet.objects.put(target::KIND, &format!("0dd{n}"), entry);
    }
    std::thread::sleep(READ_DELAY);
    assert_followed(&mut fleet, 8);
    (0..fleet.gateways.len()).for_each(|n| fleet.restart(n));
    fleet.wait_ready();
    assert_followed(&mut fleet, 9);
}

/// A submission whose items claim so many tokens that their sum overflows.
#[test]
fn submission_of_too_many_tokens_is_rejected() {
    let mut fleet = Fleet::start(plan());
    let item = |id: &str| json!({ "id": id, "path": "/batch/odd", "tokens": 1e19 });
    let body = json!({ "items": [item("a"), item("b")] });
    let headers = [("host", HOST), ("x-gatespool-request-id", "odd")];
    let response = client::post(fleet.gateways[0].front_address, "/batch/odd", &headers, &body);
    assert_eq!(response.status, 400);
    assert_followed(&mut fleet, 8);
}

/// A sound configuration with a route of each class, and a workspace.
fn config_of_all_classes() -> Value {
    let route = |kind: &str| {
        json!({
            "name": kind, "host": HOST, "path_prefix": format!("/odd-{kind}/"), "kind": kind,
            "timeout_ms": 500, "slo_ms": 300, "gap_slo_ms": 200, "priority": 1, "max_attempts": 2,
            "due_ms": 5000, "max_wait_s": 60, "queue_max": 1000,
            "split": [{ "service": "llm", "weight": 1 }],
        })
    };
    let routes = ["safe", "stream", "batch"].map(route);
    json!({
        "routes": routes,
        "services": [{
            "name": "llm", "health_path": "/healthz", "max_conns": 200, "cold_s": 1.0,
            "cold_per_s": 100.0, "engine": {
                "slots": 4, "kv_capacity": 1000, "kv_token_bytes": 10, "link_mbps": 10,
                "moves": true,
            },
        }],
        "limits": {
            "max_header_bytes": 16000, "max_body_bytes": 4000000, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{
            "name": "odd", "api_keys": ["k"], "priority": 1, "rate_per_s": 5, "burst": 5,
        }],
    })
}

/// Paths of the numbers in a value.
fn number_paths(value: &Value) -> Vec<String> {
    let inner = |key: String, value: &Value| {
        number_paths(value).into_iter().map(|path| format!("/{key}{path}")).collect::<Vec<_>>()
    };
    match value {
        Value::Object(fields) => {
            fields.iter().flat_map(|(key, field)| inner(key.clone(), field)).collect()
        }
        Value::Array(items) => {
            items.iter().enumerate().flat_map(|(n, item)| inner(n.to_string(), item)).collect()
        }
        Value::Number(_) => vec![String::new()],
        _ => Vec::new(),
    }
}

/// Makes requests of all classes at one gateway.
fn use_all_classes(fleet: &Fleet, n: usize, version: u64) {
    let key = ("authorization", "Bearer k");
    for kind in ["safe", "stream"] {
        let id = format!("{kind}-{version}");
        fleet.send_with(n, &format!("/odd-{kind}/{id}"), &id, &[key]);
    }
    let (job, item) = (format!("job-{version}"), format!("item-{version}"));
    let headers = [("host", HOST), ("x-gatespool-request-id", &*job), key];
    let item = json!({ "id": item, "path": "/odd-batch/x", "tokens": 10 });
    let front = fleet.gateways[n].front_address;
    client::post(front, "/odd-batch/x", &headers, &json!({ "items": [item] }));
}

/// Each number of a configuration is replaced by odd ones, and requests are made under it.
#[rstest]
fn odd_numbers_of_a_configuration_end_no_gateway(
    #[values("1e22", "1e308", "1e-300", "4294967295", "18446744073709551615")] number: &str,
) {
    let mut fleet = Fleet::start(plan());
    let sound = config_of_all_classes();
    let mut version = 7;
    for path in number_paths(&sound) {
        version += 1;
        let mut config = sound.clone();
        config["version"] = json!(version);
        *config.pointer_mut(&path).expect("a number") = json!(MARKER);
        let text = config.to_string().replace(&json!(MARKER).to_string(), number);
        fleet.objects.put_raw(config::KIND, config::NAME, text.as_bytes(), b"null");
        std::thread::sleep(Duration::from_millis(30));
        use_all_classes(&fleet, version as usize % fleet.gateways.len(), version);
        assert_sound(&mut fleet);
    }
    assert_followed(&mut fleet, version + 1);
}
