//! The list of software versions that have served.

use coordination::releases::{Checkpoint, History, Log, Release, Step, Stored, Watched};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const RETENTION: Duration = Duration::from_secs(600);

fn release(software: &str) -> Release {
    Release { service: String::from("llm"), software: software.to_owned() }
}

#[test]
fn version_that_comes_back_is_listed_again() {
    let mut log = Log::default();
    log.set_present([release("v1")].into());
    log.on_recorded(release("v1"));
    assert!(log.is_recorded(&release("v1")));
    log.set_present([release("v2")].into());
    log.set_present([release("v1"), release("v2")].into());
    assert!(!log.is_recorded(&release("v1")), "it may have been removed from the list");
}

#[test]
fn other_versions_count_until_they_are_removed_from_the_list() {
    let now = Instant::now();
    let mut log = Log::default();
    log.set_present([release("v2")].into());
    log.on_list([release("v1"), release("v2")].into(), &BTreeSet::new(), now);
    log.on_complete(0, 0);
    assert!(log.has_others(&release("v2")));
    assert!(!log.needs_list(&release("v2"), now), "the list isn't read for each stream");
    let later = now + Duration::from_secs(5);
    assert!(log.needs_list(&release("v2"), later));
    let recorded = log.recorded().clone();
    log.on_list([release("v2")].into(), &recorded, later);
    assert!(!log.has_others(&release("v2")));
    assert!(!log.needs_list(&release("v2"), later + RETENTION), "others would have been recorded");
    log.on_recorded(release("v3"));
    assert!(log.has_others(&release("v2")));
}

#[test]
fn only_versions_that_were_absent_throughout_expire() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut log = Log::default();
    log.set_present([release("v2")].into());
    log.on_list([release("v1"), release("v2")].into(), &BTreeSet::new(), start);
    assert!(log.expired(RETENTION, at(0)).is_empty());
    assert!(log.expired(RETENTION, at(599)).is_empty());
    assert_eq!(log.expired(RETENTION, at(600)), [release("v1")]);
    log.set_present([release("v1"), release("v2")].into());
    assert!(log.expired(RETENTION, at(660)).is_empty());
    log.set_present([release("v2")].into());
    assert!(log.expired(RETENTION, at(720)).is_empty());
    assert!(log.expired(RETENTION, at(1_319)).is_empty());
    assert_eq!(log.expired(RETENTION, at(1_320)), [release("v1")]);
}

/// A version that is tried again between two calls hasn't been absent.
#[test]
fn version_that_served_between_two_calls_does_not_expire() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut log = Log::default();
    log.on_list([release("v1"), release("v2")].into(), &BTreeSet::new(), start);
    log.set_present([release("v2")].into());
    assert!(log.expired(RETENTION, at(0)).is_empty());
    log.on_seen([release("v1")]);
    assert!(log.expired(RETENTION, at(620)).is_empty());
    assert_eq!(log.expired(RETENTION, at(1_220)), [release("v1")]);
    log.on_watched(None, 7);
    assert!(log.expired(RETENTION, at(1_230)).is_empty(), "it may have served in the gap");
}

#[test]
fn versions_seen_in_passing_are_listed() {
    let mut log = Log::default();
    log.set_present([release("v1")].into());
    log.on_list([release("v1")].into(), &BTreeSet::new(), Instant::now());
    log.on_ended([release("v2")]);
    assert_eq!(log.unrecorded(), [release("v2")]);
    // A list that was asked for before another instance listed the version.
    let recorded = log.recorded().clone();
    log.on_recorded(release("v2"));
    log.on_list([release("v1")].into(), &recorded, Instant::now());
    assert!(log.has_others(&release("v1")));
    assert!(log.unrecorded().is_empty());
}

/// Guards against *forgotten* taken for *never seen*.
#[test]
fn only_version_counts_as_such_once_streams_from_before_a_gap_have_ended() {
    let mut log = Log::default();
    assert!(!log.is_complete(RETENTION, u64::MAX), "nothing is known yet");
    let releases = vec![release("v1")];
    log.on_history(History { releases, complete_since: 5_000, lifetime_ms: 0 }, Instant::now());
    assert!(!log.is_complete(RETENTION, 604_999));
    assert!(log.is_complete(RETENTION, 605_000));
    log.on_complete(0, 7_000);
    assert!(!log.is_complete(RETENTION, 11_999));
    assert!(log.is_complete(RETENTION, 12_000), "no caller returns for longer");
    let mut log = Log::default();
    log.on_complete(0, 0);
    assert!(log.is_complete(RETENTION, 1));
}

#[test]
fn instance_that_was_cut_off_knows_no_history_until_it_has_read_it() {
    let mut log = Log::default();
    log.on_complete(0, 0);
    assert!(log.is_listed() && log.history().is_some());
    log.on_missed();
    assert!(log.needs_list(&release("v1"), Instant::now()));
    assert_eq!(log.history(), None);
    log.on_complete(9, 0);
    assert_eq!(log.history().map(|history| history.complete_since), Some(9));
}

/// Guards against a version that is taken for the only one by what was known before a request.
#[test]
fn knowledge_is_fresh_only_by_own_reads_that_began_later() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let mut log = Log::default();
    let history = History { releases: vec![release("v1")], complete_since: 0, lifetime_ms: 0 };
    log.on_history(history, at(9));
    assert!(log.is_listed() && !log.is_fresh(start), "another instance may be out of step");
    log.on_covered(30, at(2));
    assert!(log.is_fresh(at(2)) && !log.is_fresh(at(3)));
    assert_eq!(log.covered_through(at(4)), Some(30));
    assert_eq!(log.covered_through(at(12)), None, "the platform may have dropped changes");
    log.on_missed();
    assert!(!log.is_fresh(at(2)));
}

#[test]
fn checkpoint_advances_only_over_changes_that_were_seen() {
    let checkpoint = Checkpoint { complete_since: 7, through: 100, lifetime_ms: 5 };
    let stored = Stored { checkpoint, revision: 130 };
    let next = |from, through| stored.next(Some(Watched { from, through }));
    assert_eq!(stored.next(None), Step::Wait);
    assert_eq!(next(90, 100), Step::Wait, "nothing was written since");
    // Else the checkpoint of a platform that falls idle stays behind its history.
    assert_eq!(next(90, 130), Step::Write(Checkpoint { through: 130, ..checkpoint }));
    let own_write = Stored { checkpoint, revision: 101 };
    assert_eq!(own_write.next(Some(Watched { from: 90, through: 101 })), Step::Wait);
    assert_eq!(next(100, 131), Step::Write(Checkpoint { through: 131, ..checkpoint }));
    assert_eq!(next(101, 140), Step::ReadChanges { after: 100 });
}

#[test]
fn history_is_read_from_the_write_of_the_checkpoint_if_nothing_came_between() {
    let checkpoint = Checkpoint { through: 100, ..Checkpoint::default() };
    assert_eq!(Stored { checkpoint, revision: 101 }.resume_after(), 101);
    assert_eq!(Stored { checkpoint, revision: 102 }.resume_after(), 100);
}

#[test]
fn watch_that_begins_anew_has_a_gap_until_the_changes_between_are_read() {
    let mut log = Log::default();
    log.on_watched(None, 10);
    log.on_watched(Some(10), 20);
    assert_eq!(log.watched(), Some(Watched { from: 10, through: 20 }));
    log.on_watched(None, 30);
    assert_eq!(log.watched(), Some(Watched { from: 30, through: 30 }));
    log.on_changes_read(20, 29);
    assert_eq!(log.watched(), Some(Watched { from: 30, through: 30 }), "29 to 30 is missing");
    log.on_changes_read(20, 31);
    assert_eq!(log.watched(), Some(Watched { from: 20, through: 30 }));
}

/// Guards against an end of streams of a version that another instance has just reported: its
/// targets may not have been heard of yet.
#[test]
fn version_counts_as_known_for_a_time_from_its_first_report_on() {
    const PERIOD: Duration = Duration::from_secs(2);
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut log = Log::default();
    log.on_time(at(0));
    assert!(!log.is_known_for(&release("v2"), PERIOD, at(5)));
    log.on_recorded(release("v2"));
    log.on_time(at(5));
    assert!(!log.is_known_for(&release("v2"), PERIOD, at(6)));
    log.on_time(at(6));
    assert!(log.is_known_for(&release("v2"), PERIOD, at(7)));
    log.on_removed(&release("v2"));
    log.on_time(at(8));
    log.on_recorded(release("v2"));
    log.on_time(at(9));
    assert!(!log.is_known_for(&release("v2"), PERIOD, at(10)), "it was removed meanwhile");
}
