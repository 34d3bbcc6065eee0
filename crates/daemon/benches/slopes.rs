//! Memory and CPU time of state and decisions as their size grows, without a
//! network.
//!
//! `cargo bench -p gatespoold --bench slopes`

use coordination::membership::{Member, MemberTable, Policy as MemberPolicy, State, Update};
use coordination::origins;
use coordination::quarantine::{self, Suspect};
use coordination::quota::{Attempt, Ledger, Policy as QuotaPolicy, Report};
use coordination::route::{self, Candidate, Policy as RoutePolicy};
use daemon::fleet::{Fleet, ViewContext};
use protocol::chat::Outcome;
use protocol::config::{Change, Document};
use protocol::routing::Origin;
use protocol::workspace::Quota;
use serde_json::json;
use state::command::{Command, Reply};
use state::part::ResultPartRef;
use state::record::{Disposition, Entry, JobSpec, Record, StoredOutcome};
use state::shard::{Batch, Decision, Policy, Shard};
use state::snapshot::Body;
use std::collections::{BTreeSet, HashSet};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

fn main() {
    // Smallest first, and nothing is freed: reused memory wouldn't show as growth
    // of resident memory.
    quotas();
    members();
    configuration();
    jobs();
    keys();
    target_selection();
    crash_reports();
    origins();
    origin_places();
}

fn stored_outcome() -> StoredOutcome {
    StoredOutcome::Chat(Outcome { text: "a".repeat(1000), finish: "stop".into(), tokens: 200 })
}

/// Outcomes of keyed requests: decided, encoded in log entries of 50 and applied.
fn keys() {
    println!("{:>10} {:>16} {:>18} {:>16}", "keys", "bytes a key", "us decide+fold", "us encode");
    for count in [50_000u64, 100_000, 200_000, 400_000] {
        let before = resident_bytes();
        let mut shard = Shard::new(0, Policy::default());
        let (mut work, mut encode) = (0.0, 0.0);
        for group in 0..count / 50 {
            let start = Instant::now();
            let mut batch = Batch::default();
            let mut records = Vec::new();
            for n in 0..50 {
                let key = format!("caller/service/key-{group}-{n}");
                let command =
                    Command::Finish { key, digest: n, issued: 1_000, outcome: stored_outcome() };
                if let Decision::Commit(more, _) = shard.decide(&mut batch, &command, 1_000) {
                    records.extend(more);
                }
            }
            work += start.elapsed().as_secs_f64();
            let entry = Entry { token: "t".into(), at: 0, records };
            let start = Instant::now();
            black_box(entry.encode());
            encode += start.elapsed().as_secs_f64();
            let start = Instant::now();
            shard.apply(entry, 1_000);
            work += start.elapsed().as_secs_f64();
        }
        let each = 1e6 / count as f64;
        let bytes = (resident_bytes() - before) / count as f64;
        println!("{count:>10} {bytes:>16.0} {:>18.2} {:>16.2}", work * each, encode * each);
        std::mem::forget(shard);
    }
}

fn job_spec(job: u64, chunks: u64) -> JobSpec {
    JobSpec {
        job: format!("job-{job:032x}"),
        digest: job,
        upload: "0000000000000-0000000000000000".into(),
        service: "pustak-llm".into(),
        due: job,
        items: chunks * 256,
        starts: (0..chunks).map(|chunk| chunk * 256).collect(),
        accepted_at: job,
    }
}

/// Jobs with as many chunks as an average job, half of them completed.
fn jobs() {
    const CHUNKS: u64 = 57;
    println!(
        "{:>10} {:>16} {:>18} {:>16} {:>16}",
        "jobs", "bytes a chunk", "us claim+report", "bytes archived", "ms snapshot"
    );
    for count in [250u64, 500, 1000, 2000] {
        let before = resident_bytes();
        let mut shard = Shard::new(0, Policy::default());
        for job in 0..count {
            let records = vec![Record::Accepted(job_spec(job, CHUNKS))];
            shard.apply(Entry { token: "t".into(), at: 0, records }, 1_000);
        }
        let start = Instant::now();
        let services = vec![String::from("pustak-llm")];
        let mut reports = 0;
        for _ in 0..count * CHUNKS / 2 {
            let command = Command::Claim { holder: 7, services: services.clone() };
            let Decision::Commit(records, Reply::Work(work)) =
                shard.decide(&mut Batch::default(), &command, 1_000)
            else {
                break;
            };
            shard.apply(Entry { token: "t".into(), at: 0, records }, 1_000);
            let part = Some(ResultPartRef { attempt: 1, part: 0 });
            let record = Record::Progressed {
                job: work.job,
                chunk: work.chunk,
                attempt: 1,
                part,
                done: 256,
                failed: 0,
                disposition: Disposition::Done,
            };
            shard.apply(Entry { token: "t".into(), at: 0, records: vec![record] }, 1_000);
            reports += 1;
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / f64::from(reports);
        let running = (resident_bytes() - before) / (count * CHUNKS) as f64;
        let start = Instant::now();
        black_box(serde_json::to_vec(&Body::of(&shard)).unwrap_or_default());
        let snapshot = start.elapsed().as_secs_f64() * 1e3;
        let archived_bytes_per_job = archived_bytes_per_job(count);
        println!(
            "{count:>10} {running:>16.0} {each:>18.2} {archived_bytes_per_job:>16.0} {snapshot:>16.1}"
        );
        std::mem::forget(shard);
    }
}

fn archived_bytes_per_job(count: u64) -> f64 {
    let before = resident_bytes();
    let mut shard = Shard::new(0, Policy::default());
    for job in 0..count * 10 {
        let id = format!("job-{job:032x}");
        let records = vec![
            Record::Accepted(job_spec(job, 1)),
            Record::Cancelled { job: id.clone() },
            Record::Archived { job: id },
        ];
        shard.apply(Entry { token: "t".into(), at: 0, records }, 1_000);
    }
    let bytes = (resident_bytes() - before) / (count * 10) as f64;
    std::mem::forget(shard);
    bytes
}

fn change(targets: usize) -> Change {
    let mut put = vec![json!({ "object": "version", "name": "v1", "weights": "w" })];
    let services = (0..35).map(|n| format!("service-{n}"));
    put.extend(services.map(
        |name| json!({ "object": "service", "name": name, "protocol": "chat", "version": "v1" }),
    ));
    put.extend((0..targets).map(|n| {
        json!({
            "object": "target", "name": format!("target-{n:05}"), "address": "10.1.2.3:8000",
            "data_centre": format!("dc{}", n % 4), "service": format!("service-{}", n % 35), "slots": 8,
        })
    }));
    serde_json::from_value(json!({ "put": put })).expect("invalid change")
}

/// Memory of a configuration by number of targets, and the cost of one change.
fn configuration() {
    println!(
        "{:>10} {:>16} {:>18} {:>16} {:>16}",
        "targets", "bytes a target", "ms a change", "ms a view", "KiB encoded"
    );
    for targets in [375usize, 750, 1500, 3000] {
        let before = resident_bytes();
        let document =
            Document::default().with_change(&change(targets)).expect("invalid configuration");
        let fleet = Fleet::default();
        let context = ViewContext { me: 7, data_centre: "dc1".into(), max_targets: 64 };
        let view = fleet.view(document.clone(), HashSet::new(), &context, true);
        let bytes = (resident_bytes() - before) / targets as f64;
        let limit_change: Change = serde_json::from_value(json!({ "put": [
            { "object": "limit", "caller": "x", "rate": 1.0, "burst": 1.0 }
        ] }))
        .expect("invalid change");
        let start = Instant::now();
        (0..20).for_each(|_| drop(black_box(document.with_change(&limit_change))));
        let change_ms = start.elapsed().as_secs_f64() * 50.0;
        let start = Instant::now();
        for _ in 0..20 {
            drop(black_box(fleet.view(document.clone(), HashSet::new(), &context, true)));
        }
        let view_ms = start.elapsed().as_secs_f64() * 50.0;
        let encoded = serde_json::to_vec(&document).map_or(0, |b| b.len()) / 1024;
        println!("{targets:>10} {bytes:>16.0} {change_ms:>18.2} {view_ms:>16.2} {encoded:>16}");
        std::mem::forget((view, fleet, document));
    }
}

fn member(id: u64) -> Member {
    let address = SocketAddr::from(([10, 0, 0, 1], 7801));
    Member {
        id,
        peer: address,
        http: address,
        data_centre: format!("dc{}", id % 4),
        incarnation: 1,
        state: State::Alive,
        generation: 1,
    }
}

/// Membership by number of members: memory, a tick, one update and ranking all
/// targets against all members.
fn members() {
    println!(
        "{:>10} {:>16} {:>12} {:>12} {:>20}",
        "members", "bytes a member", "us a tick", "us a note", "ms to rank 3,000"
    );
    for count in [50u64, 100, 200, 400] {
        let before = resident_bytes();
        let now = Instant::now();
        let mut table = MemberTable::new(member(u64::MAX / 2), MemberPolicy::default());
        let ids = (1..=count).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        for id in ids {
            table.merge(member(id), now);
        }
        let bytes = (resident_bytes() - before) / count as f64;
        let start = Instant::now();
        (0..1000).for_each(|_| drop(black_box(table.tick(now))));
        let tick = start.elapsed().as_secs_f64() * 1e3;
        let start = Instant::now();
        for n in 0..1000u64 {
            table.broadcast(Update::JobCancelled(format!("job-{n}")));
            for to in table.out_of_date() {
                let (cursor, updates) = table.updates_for(to.id);
                black_box(updates);
                table.on_delivered(to.id, cursor);
            }
        }
        let update = start.elapsed().as_secs_f64() * 1e3;
        let start = Instant::now();
        for target in 0..3000u64 {
            let ids = table.workers().map(|m| m.id);
            black_box(coordination::hash::owner(&target.to_le_bytes(), ids));
        }
        let rank = start.elapsed().as_secs_f64() * 1e3;
        println!("{count:>10} {bytes:>16.0} {tick:>12.2} {update:>12.2} {rank:>20.2}");
        std::mem::forget(table);
    }
}

/// Selection of a target by number of targets.
fn target_selection() {
    println!("{:>10} {:>16}", "targets", "us a choice");
    for targets in [8u64, 16, 32, 64] {
        let all: Vec<Candidate> = (0..targets)
            .map(|id| Candidate {
                id,
                local: id % 4 == 0,
                online: (id % 7) as u32,
                slots: 8,
                free: 8,
            })
            .collect();
        let start = Instant::now();
        for n in 0..100_000u64 {
            black_box(route::pick(n, &all, RoutePolicy::default(), [n, n + 1]));
        }
        println!("{targets:>10} {:>16.3}", start.elapsed().as_secs_f64() * 10.0);
    }
}

/// Crash reports for eight requests on each target, by number of targets.
fn crash_reports() {
    println!("{:>10} {:>16}", "targets", "us a strike");
    for targets in [10u64, 100, 1_000, 3_000] {
        let now = Instant::now();
        let mut table = quarantine::Table::new(quarantine::Policy::default(), now);
        for n in 0..targets * 8 {
            let start = quarantine::TargetStart { target: format!("t{}", n / 8), started_at: 1 };
            black_box(
                table
                    .on_crash_report(quarantine::CrashReport::new(Suspect::Request(n), start), now),
            );
        }
        let each = now.elapsed().as_secs_f64() * 1e6 / (targets * 8) as f64;
        println!("{targets:>10} {each:>16.2}");
    }
}

/// Report of another ledger that acknowledges `report`.
fn acknowledgement(from: &str, report: &Report) -> Report {
    let received = [(report.data_centre.clone(), report.id)].into();
    Report { data_centre: from.to_owned(), received, ..Report::default() }
}

/// Accounts of a ledger that shares its quotas with two others, by number of workspaces.
fn quotas() {
    println!(
        "{:>10} {:>18} {:>14} {:>16} {:>14}",
        "workspaces", "bytes a workspace", "us a charge", "us an exchange", "bytes a report"
    );
    let names: BTreeSet<String> = ["east", "north", "west"].map(String::from).into();
    let quota = Quota { rate: 60.0, burst: 60.0 };
    let at_once = Attempt::Fresh { max_wait: Duration::ZERO };
    for count in [73u64, 500, 5_000] {
        let before = resident_bytes();
        let now = Instant::now();
        let mut ledger = Ledger::new(QuotaPolicy::default(), "east", 1, now);
        ledger.set_data_centres(&names);
        let workspaces: Vec<String> = (0..count).map(|n| format!("workspace-{n}")).collect();
        let rounds = 20;
        for _ in 0..rounds {
            for workspace in &workspaces {
                let _charged = black_box(ledger.charge(workspace, quota, at_once, Instant::now()));
            }
        }
        let charge = now.elapsed().as_secs_f64() * 1e6 / (rounds * count) as f64;
        let mut report = ledger.exchange(Instant::now());
        for other in ["north", "west"] {
            ledger.on_report(acknowledgement(other, &report), now);
        }
        let start = Instant::now();
        report = ledger.exchange(start);
        let exchange = start.elapsed().as_secs_f64() * 1e6;
        let bytes = serde_json::to_vec(&report).unwrap_or_default().len();
        let resident = (resident_bytes() - before) / count as f64;
        println!("{count:>10} {resident:>18.0} {charge:>14.2} {exchange:>16.0} {bytes:>14}");
        std::mem::forget(ledger);
    }
}

fn origin() -> Origin {
    Origin { service: String::from("pustak-llm"), software: Some(String::from("v1.2")) }
}

/// Origins of streams, stored one after the other, and then replaced as they expire.
fn origins() {
    println!(
        "{:>10} {:>16} {:>12} {:>14}",
        "origins", "bytes an origin", "us a store", "us replacing"
    );
    for count in [4_000u32, 16_000, 64_000] {
        let before = resident_bytes();
        let now = Instant::now();
        let mut table = origins::Table::default();
        let lifetime = Duration::from_secs(30);
        let mut store_all = |at: Instant| {
            let start = Instant::now();
            for n in 0..count {
                table.store(format!("{n:016x}"), origin(), lifetime, at);
            }
            start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
        };
        let first = store_all(now);
        let bytes = (resident_bytes() - before) / f64::from(count);
        let replacing = store_all(now + lifetime);
        println!("{count:>10} {bytes:>16.0} {first:>12.2} {replacing:>14.2}");
        std::mem::forget(table);
    }
}

/// The members that store the origin of a stream, and those that are asked for it.
fn origin_places() {
    println!("{:>10} {:>12} {:>14} {:>8}", "members", "us to store", "us to ask", "asked");
    let data_centres: Vec<String> = (0..4).map(|n| format!("hall-{n}")).collect();
    for members in [50u64, 100, 200, 400] {
        let places: Vec<origins::Place<'_>> =
            (0..members).map(|n| (n, &data_centres[n as usize % 4])).collect();
        let mean = |choose: &dyn Fn(&str) -> usize| {
            let start = Instant::now();
            for n in 0..1_000 {
                black_box(choose(&format!("{n:016x}")));
            }
            start.elapsed().as_secs_f64() * 1e3
        };
        let store = mean(&|attempt| origins::keepers(attempt, "hall-0", &places).len());
        let ask = mean(&|attempt| origins::candidates(attempt, &places).len());
        let asked = origins::candidates("attempt", &places).len();
        println!("{members:>10} {store:>12.1} {ask:>14.1} {asked:>8}");
    }
}
