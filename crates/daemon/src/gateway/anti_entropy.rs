//! Periodic state comparison with a random other instance, which repairs lost updates.

use super::broadcast;
use super::digest::StateDigest;
use super::discovery;
use super::evacuation;
use super::job_table;
use super::message::{PeerReply, PeerRequest};
use super::node::Node;
use super::peers;
use super::platform_health;
use super::quarantine;
use crate::clock;
use coordination::membership::Member;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Interval between comparisons.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Interval while the configuration or the targets are unknown.
const STARTUP_SYNC_INTERVAL: Duration = Duration::from_millis(40);
/// Members for which the short interval grows by itself once.
const MEMBERS_PER_STEP: u32 = 64;
/// Time after the start in which the short interval applies. An instance that knows nothing
/// by then is partitioned, or the platform is unavailable.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);
/// Minimum interval between fetches of open jobs: digests differ briefly after every
/// change.
const MIN_JOB_SYNC_INTERVAL: Duration = Duration::from_secs(4);
/// Minimum interval between repairs of the registry, also from the start to the first one.
const MIN_REPAIR_INTERVAL: Duration = Duration::from_secs(5);
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs comparisons until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(next_delay(&node)) => {}
            () = stop.cancelled() => return,
        }
        // Not awaited: an unresponsive instance must not delay the next comparison.
        spawn_local(compare(node.clone()));
    }
}

/// Delay before the next comparison. Without a configuration and targets an instance serves
/// nothing, so it compares more often.
fn next_delay(node: &Node) -> Duration {
    let is_new = clock::since(node.started) < STARTUP_PERIOD;
    if node.is_initialized() || !is_new {
        return SYNC_INTERVAL;
    }
    // A comparison costs in proportion to the members.
    let members = node.members.borrow().others().count() as u32;
    (STARTUP_SYNC_INTERVAL * (1 + members / MEMBERS_PER_STEP)).min(SYNC_INTERVAL)
}

/// Compares state with one other instance.
pub async fn compare(node: Rc<Node>) {
    let Some(other) = partner(&node) else {
        return;
    };
    let now = clock::now();
    if node.is_unresponsive(other.peer, now) {
        return;
    }
    let reply = node.request(other.peer, &node.comparison(), SYNC_TIMEOUT).await;
    if let Ok(PeerReply::Sync { config, digest, connectivity }) = reply {
        platform_health::on_peer_report(&node, other.id, connectivity);
        broadcast::on_config_version(&node, digest.config, other.peer);
        let is_due =
            node.jobs.last_fetch.get().is_none_or(|at| clock::since(at) >= MIN_JOB_SYNC_INTERVAL);
        if digest.jobs != node.state_digest().jobs && is_due {
            node.jobs.last_fetch.set(Some(now));
            let filter = job_table::open_jobs_filter(&node);
            job_table::fetch_statuses_from(&node, other.peer, filter).await;
        }
        if let Some(digest) = digest.crash_reports {
            compare_crash_reports(&node, &other, digest).await;
        }
        peers::compare_members(&node, &other, digest.members).await;
        evacuation::compare(&node, &other, digest.evacuations).await;
        if let Some((version, text)) = config {
            discovery::on_config_text(&node, version, &text, "compared");
        }
        compare_targets(&node, &other, &digest).await;
    }
}

/// A random one of the partners for heartbeats, more often of those of this data centre. There are
/// few, so their connections stay open, however many members there are.
fn partner(node: &Node) -> Option<Member> {
    let members = node.members.borrow();
    let local = members.local_fingers();
    let partners = match rand::random_ratio(3, 4) && !local.is_empty() {
        true => local,
        false => members.fingers(),
    };
    let index = rand::random_range(0..partners.len().max(1));
    members.get(*partners.get(index)?).cloned()
}

/// Fetches what the registry here lacks. Only one fetch is in progress at a time: on a slow link
/// several of thousands of entries would all time out.
async fn compare_targets(node: &Rc<Node>, other: &Member, digest: &StateDigest) {
    if digest.targets == node.state_digest().targets {
        let through = digest.targets_through.unwrap_or(0);
        node.registry.borrow_mut().set_complete_through(through);
        return;
    }
    if node.is_fetching_targets.replace(true) {
        return;
    }
    let known_through = node.registry.borrow().complete_through();
    match digest.targets_through {
        None => fetch_all_targets(node, other).await,
        Some(through) if through > known_through => {
            fetch_pages(node, other, known_through, PeerRequest::TargetsSince).await;
        }
        Some(_) => {}
    }
    let is_different = digest.targets != node.registry.borrow().digest();
    if is_different && digest.targets_through.is_some() && known_through > 0 {
        repair_targets(node, other).await;
    }
    node.is_fetching_targets.set(false);
}

/// Fetches the buckets that differ: what is missing was lost on its way. Not often, since digests
/// also differ while a change is on its way.
async fn repair_targets(node: &Rc<Node>, other: &Member) {
    if clock::since(node.targets_repaired.get()) < MIN_REPAIR_INTERVAL {
        return;
    }
    node.targets_repaired.set(clock::now());
    let digests = node.registry.borrow().digests();
    let page = |first_bucket| PeerRequest::TargetPage { digests: digests.clone(), first_bucket };
    fetch_pages(node, other, 0, page).await;
}

/// Fetches pages of registry changes, from `first` on.
async fn fetch_pages(
    node: &Rc<Node>,
    other: &Member,
    first: u64,
    request: impl Fn(u64) -> PeerRequest,
) {
    let mut next = Some(first);
    // As of the first page; later changes may be missing from the pages before.
    let mut through = None;
    while let Some(from) = next {
        let reply = node.request(other.peer, &request(from), SYNC_TIMEOUT).await;
        let Ok(PeerReply::TargetPage(page)) = reply else {
            return;
        };
        through = through.or(Some(page.complete_through));
        next = page.next.filter(|next| *next > from);
        discovery::on_targets(node, page.into_changes(), "compared");
    }
    node.registry.borrow_mut().set_complete_through(through.unwrap_or(0));
}

/// Fetches from an instance of an earlier version, which knows no pages.
async fn fetch_all_targets(node: &Rc<Node>, other: &Member) {
    let request = PeerRequest::Targets(node.registry.borrow().digests());
    if let Ok(PeerReply::Targets(changes)) = node.request(other.peer, &request, SYNC_TIMEOUT).await
    {
        discovery::on_targets(node, changes, "compared");
    }
}

/// Fetches crash reports from an instance that has them if the digests differ.
async fn compare_crash_reports(node: &Rc<Node>, other: &Member, digest: u64) {
    if node.quarantine.table.borrow().digest() != digest {
        let reply = node.request(other.peer, &PeerRequest::CrashReports, SYNC_TIMEOUT).await;
        let Ok(PeerReply::CrashReports(reports)) = reply else {
            return;
        };
        quarantine::on_crash_reports(node, reports, "compared");
    }
    node.quarantine.is_known.set(true);
}
