//! The list of software versions that have served.

use coordination::releases::{Checkpoint, History, Log, Release, Step, Stored, Watched};
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
    log.on_list([release("v1"), release("v2")].into(), now);
    log.on_complete(0);
    assert!(log.has_others(&release("v2")));
    assert!(!log.needs_list(&release("v2"), now), "the list isn't read for each stream");
    let later = now + Duration::from_secs(5);
    assert!(log.needs_list(&release("v2"), later));
    log.on_list([release("v2")].into(), later);
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
    log.on_list([release("v1"), release("v2")].into(), start);
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

#[test]
fn versions_seen_in_passing_are_listed() {
    let mut log = Log::default();
    log.set_present([release("v1")].into());
    log.on_list([release("v1")].into(), Instant::now());
    log.on_seen([release("v2")]);
    assert_eq!(log.unrecorded(), [release("v2")]);
    log.on_list([release("v1")].into(), Instant::now());
    assert!(log.has_others(&release("v1")), "a list that was read before it is listed");
    log.on_recorded(release("v2"));
    assert!(log.unrecorded().is_empty());
}

/// Guards against *forgotten* taken for *never seen*.
#[test]
fn only_version_counts_as_such_once_streams_from_before_a_gap_have_ended() {
    let mut log = Log::default();
    assert!(!log.is_complete(RETENTION, u64::MAX), "nothing is known yet");
    log.on_history(
        History { releases: vec![release("v1")], complete_since: 5_000 },
        Instant::now(),
    );
    assert!(!log.is_complete(RETENTION, 604_999));
    assert!(log.is_complete(RETENTION, 605_000));
    let mut log = Log::default();
    log.on_complete(0);
    assert!(log.is_complete(RETENTION, 1));
}

#[test]
fn checkpoint_advances_only_over_changes_that_were_seen() {
    let checkpoint = Checkpoint { complete_since: 7, through: 100 };
    let stored = Stored { checkpoint, revision: 130 };
    let next = |from, through| stored.next(Some(Watched { from, through }));
    assert_eq!(stored.next(None), Step::Wait);
    assert_eq!(next(90, 130), Step::Wait, "nothing was written since");
    assert_eq!(next(100, 131), Step::Write(Checkpoint { through: 131, ..checkpoint }));
    assert_eq!(next(101, 140), Step::ReadChanges { after: 100 });
}

#[test]
fn history_is_read_from_the_write_of_the_checkpoint_if_nothing_came_between() {
    let checkpoint = Checkpoint { complete_since: 0, through: 100 };
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
