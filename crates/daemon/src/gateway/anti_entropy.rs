//! Each instance now and then compares what it knows with another, drawn by lot:
//! whatever word was lost on the way is made up for within a few rounds.

use super::discovery;
use super::job_table;
use super::message::{PeerReply, PeerRequest};
use super::node::Node;
use super::platform_health;
use super::quarantine;
use crate::clock;
use coordination::membership::Member;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Time between comparisons with another instance.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// The same until there are a configuration and targets.
const STARTUP_SYNC_INTERVAL: Duration = Duration::from_millis(40);
/// Time after a start in which comparisons follow each other so fast: whoever knows nothing
/// by then is cut off, or the platform is away.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);
/// Shortest time between looks at another instance's open jobs, if they differ:
/// for a moment after each change they do.
const MIN_JOB_SYNC_INTERVAL: Duration = Duration::from_secs(4);
/// Longest wait for a comparison's reply.
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);

/// Compares until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause(&node)) => {}
            () = stop.cancelled() => return,
        }
        // Not awaited: one that is silent doesn't put off the next.
        spawn_local(compare(node.clone()));
    }
}

/// Time until the next comparison: an instance that knows no configuration or no targets
/// serves nothing.
fn pause(node: &Node) -> Duration {
    let is_new = clock::since(node.started) < STARTUP_PERIOD;
    if node.is_initialized() || !is_new { SYNC_INTERVAL } else { STARTUP_SYNC_INTERVAL }
}

/// Compares with one other instance, drawn by lot.
pub async fn compare(node: Rc<Node>) {
    let others = node.others();
    if others.is_empty() {
        return;
    }
    let now = clock::now();
    let at = rand::random_range(0..others.len());
    if node.is_unresponsive(others[at].peer, now) {
        return;
    }
    let ask = PeerRequest::Sync {
        from: node.id(),
        digest: node.state_digest(),
        connectivity: node.connectivity(),
    };
    let reply = node.request(others[at].peer, &ask, SYNC_TIMEOUT).await;
    if let Ok(PeerReply::Sync { config, digest, connectivity }) = reply {
        platform_health::on_peer_report(&node, others[at].id, connectivity);
        let is_due =
            node.jobs.last_fetch.get().is_none_or(|at| clock::since(at) >= MIN_JOB_SYNC_INTERVAL);
        if digest.jobs != node.state_digest().jobs && is_due {
            node.jobs.last_fetch.set(Some(now));
            let wanted = job_table::open_jobs_filter(&node);
            job_table::fetch_statuses_from(&node, others[at].peer, wanted).await;
        }
        if let Some(digest) = digest.crash_reports {
            compare_strikes(&node, &others[at], digest).await;
        }
        if let Some((version, text)) = config {
            discovery::on_config(&node, version, &text, "compared");
        }
        if digest.targets != node.state_digest().targets {
            let ask = PeerRequest::Targets(node.registry.borrow().digests());
            let reply = node.request(others[at].peer, &ask, SYNC_TIMEOUT).await;
            if let Ok(PeerReply::Targets(changes)) = reply {
                discovery::on_targets(&node, changes, "compared");
            }
        }
    }
}

/// Learns the strikes of an instance that knows which requests are held.
async fn compare_strikes(node: &Node, other: &Member, digest: u64) {
    if node.quarantine.borrow().digest() != digest {
        let reply = node.request(other.peer, &PeerRequest::CrashReports, SYNC_TIMEOUT).await;
        let Ok(PeerReply::CrashReports(strikes)) = reply else {
            return;
        };
        quarantine::on_crash_reports(node, strikes, "compared");
    }
    node.has_crash_reports.set(true);
}
