//! Messages and stored jobs of the version before workspaces are understood, and the other way
//! round.

use coordination::quarantine::{CrashReport, Suspect};
use coordination::registry::{Change, Registry};
use coordination::slots::LeaseOutcome;
use daemon::gateway::message::{
    ForwardedSubmission, JobStatus, PeerReply, PeerRequest, SlotRequest, Update, decode, encode,
};
use protocol::routing::Target;
use serde::Deserialize;
use serde_json::{Value, json};
use state::progress::Job;

/// Messages as the version before workspaces sends them.
const SLOTS: &str = r#"{"Slots":{"from":7,"data_centre":"east","service":"llm",
  "purpose":"Online","ticket":3,"due_ms":5000,"left_ms":0,"is_begun":false,"in_time_ms":195,
  "sure_ms":195,"until_ms":2000,"reach":0,"wait_ms":0,"most":1,"avoid":[]}}"#;
const STATUSES: &str = r#"{"Statuses":[{"job":"j","holder":{"instance":7,
  "address":"127.0.0.1:7"},"data_centre":"east","revision":9,"route":"batch",
  "waiting_tokens":100,"is_settled":false}]}"#;
const SUBMIT: &str = r#"{"Submit":{"host":"a.example","path":"/batch/j","job":"j","body":"{}"}}"#;
const JOB: &str = r#"{"id":"j","host":"a.example","path":"/batch/j","accepted":1,"due":2,
  "give_up":3,"acceptor":{"instance":7,"address":"127.0.0.1:7"},
  "items":[{"id":"a","path":"/batch/a","headers":[],"body":"","tokens":10}]}"#;

#[test]
fn messages_of_the_earlier_version_are_decoded() {
    let Some(PeerRequest::Slots(slots)) = decode(SLOTS.as_bytes()) else {
        panic!("a slot request");
    };
    assert_eq!(slots.charge, None);
    assert!(!slots.accepts_reservation, "an earlier sender takes a reservation for no reply");
    let Some(PeerRequest::Statuses(statuses)) = decode(STATUSES.as_bytes()) else {
        panic!("statuses");
    };
    assert_eq!(statuses[0].workspace, None);
    let Some(PeerRequest::Submit(ForwardedSubmission { workspace, .. })) =
        decode(SUBMIT.as_bytes())
    else {
        panic!("a submission");
    };
    assert_eq!(workspace, None);
    let job: Job = serde_json::from_str(JOB).expect("a job");
    assert_eq!(job.workspace, None);
}

/// A message without a workspace has the same fields as before.
#[test]
fn messages_without_workspaces_have_the_earlier_form() {
    for text in [SLOTS, STATUSES, SUBMIT] {
        let request: PeerRequest = decode(text.as_bytes()).expect("a request");
        let written: Value = serde_json::from_slice(&encode(&request)).expect("JSON");
        assert_eq!(written, serde_json::from_str::<Value>(text).expect("JSON"));
    }
    let job: Job = serde_json::from_str(JOB).expect("a job");
    assert_eq!(json!(job), serde_json::from_str::<Value>(JOB).expect("JSON"));
}

/// The fields that the earlier version reads.
#[derive(Deserialize)]
#[allow(dead_code)]
struct EarlierSlotRequest {
    from: u64,
    data_centre: String,
    ticket: u64,
    avoid: Vec<String>,
}

#[derive(Deserialize)]
#[allow(dead_code)]
struct EarlierStatus {
    job: String,
    revision: u64,
    is_settled: bool,
}

#[test]
fn earlier_version_decodes_messages_with_a_workspace() {
    let Some(PeerRequest::Slots(slots)) = decode(SLOTS.as_bytes()) else {
        panic!("a slot request");
    };
    let charge = Some(String::from("press"));
    let slots = SlotRequest { charge, accepts_reservation: true, ..*slots };
    let earlier: EarlierSlotRequest = decode(&encode(&slots)).expect("a slot request");
    assert_eq!(earlier.ticket, 3);
    let Some(PeerRequest::Statuses(statuses)) = decode(STATUSES.as_bytes()) else {
        panic!("statuses");
    };
    let status = JobStatus { workspace: Some(String::from("press")), ..statuses[0].clone() };
    let earlier: EarlierStatus = decode(&encode(&status)).expect("a status");
    assert_eq!(earlier.job, "j");
}

/// A target as the version before software versions sends it, and one with a version.
#[test]
fn targets_of_earlier_versions_have_no_software_version() {
    const EARLIER: &str = r#"{"News":["127.0.0.1:7",{"Targets":[{"Present":{"id":"t","born":0,
      "service":"llm","address":"127.0.0.1:9","data_centre":"east","slots":4,"leaving":false,
      "revision":3}}]}]}"#;
    let Some(PeerRequest::Update(_, Update::Targets(changes))) = decode(EARLIER.as_bytes()) else {
        panic!("an update");
    };
    let Change::Present(target) = &changes[0] else { panic!("a target") };
    assert_eq!(target.software, None);
}

/// An entry that an earlier build passes on is known to lack its version, and takes none away.
#[test]
fn target_without_its_software_version_is_fetched_again_and_replaces_none() {
    let target = |software: Option<&str>| {
        let text = r#"{"id":"t","born":0,"service":"llm","address":"127.0.0.1:9",
          "data_centre":"east","slots":4,"leaving":false,"revision":3}"#;
        let target: Target = serde_json::from_str(text).expect("a target");
        Change::Present(Target { software: software.map(str::to_owned), ..target })
    };
    let mut complete = Registry::default();
    complete.on_change(target(Some("v1")));
    let mut told = Registry::default();
    told.on_change(target(None));
    assert_ne!(told.digest(), complete.digest());
    assert!(!complete.on_change(target(None)));
    assert!(complete.states_software("llm"));
    complete.changes_in_differing_buckets(&told.digests()).into_iter().for_each(|change| {
        assert!(told.on_change(change));
    });
    assert_eq!(told.digest(), complete.digest());
}

/// An allocator that knows of no quotas replies without saying that it charged the request.
#[test]
fn reply_of_an_earlier_allocator_is_not_taken_for_a_charge() {
    let reply: PeerReply = decode(br#"{"Full":80}"#).expect("a reply");
    assert!(matches!(reply, PeerReply::Full(80)));
    let unknown: Option<PeerReply> = decode(br#"{"Novel":1}"#);
    assert!(unknown.is_none());
}

/// A reservation is a reply of its own, so no reply of an earlier allocator is taken for one.
#[test]
fn reservation_is_no_reply_of_an_earlier_allocator() {
    for text in [r#"{"OverQuota":80}"#, r#"{"Charged":{"Full":80}}"#, r#"{"Full":80}"#] {
        let reply: PeerReply = decode(text.as_bytes()).expect("a reply");
        assert!(!matches!(reply, PeerReply::Reserved(_)));
    }
    let reply: PeerReply = decode(&encode(&PeerReply::Reserved(80))).expect("a reply");
    assert!(matches!(reply, PeerReply::Reserved(80)));
}

/// Replies that the earlier version decodes when it hands a job off; any of them counts as a takeover
/// there.
#[derive(Deserialize)]
enum EarlierReply {
    Done,
    NotHere,
    Away,
}

/// Regression: whatever a stopping instance replied, an earlier sender took its job for handed off.
#[test]
fn decline_of_a_stopping_instance_is_a_failure_for_the_earlier_version() {
    let decode_earlier = |reply| decode::<EarlierReply>(&encode(&reply));
    assert!(decode_earlier(PeerReply::Stopping).is_none());
    assert!(matches!(decode_earlier(PeerReply::Acknowledged), Some(EarlierReply::Done)));
    assert!(matches!(decode_earlier(PeerReply::NotOwner), Some(EarlierReply::NotHere)));
    assert!(matches!(decode_earlier(PeerReply::Unavailable), Some(EarlierReply::Away)));
}

/// A release as the version before silences were reported sends it.
const RELEASE: &str = r#"{"Release":[5,{"end":"Silent","first":null,"pace":null,"done":null}]}"#;

#[test]
fn release_of_the_earlier_version_names_no_silence() {
    let request: PeerRequest = decode(RELEASE.as_bytes()).expect("a request");
    let PeerRequest::Release(_, report) = &request else {
        panic!("a release");
    };
    assert_eq!((report.outcome, report.silence), (LeaseOutcome::Unresponsive, None));
    let written: Value = serde_json::from_slice(&encode(&request)).expect("JSON");
    assert_eq!(written, serde_json::from_str::<Value>(RELEASE).expect("JSON"));
}

#[test]
fn crash_report_of_a_request_is_encoded_as_in_the_earlier_version() {
    let text = r#"{"content":7,"boot":{"target":"t","born":1},"age_ms":2,"is_acquitted":false}"#;
    let report: CrashReport = decode(text.as_bytes()).expect("a report");
    assert_eq!(report.suspect, Suspect::Request(7));
    assert_eq!(encode(&report), text.as_bytes());
    let report = CrashReport { suspect: Suspect::Part(7), ..report };
    assert_eq!(decode(&encode(&report)), Some(report));
}
