//! Lists of members from other instances: the first ones at a start, and those that differ later.

use super::on_members;
use crate::clock;
use crate::gateway::message::{PeerReply, PeerRequest};
use crate::gateway::node::Node;
use crate::gateway::{job_table, watch};
use coordination::membership::Member;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use transport::peer::PeerError;

/// Minimum interval between fetches of members: updates on their way make digests differ briefly.
const MIN_MEMBER_FETCH_INTERVAL: Duration = Duration::from_secs(1);
const MEMBER_FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait for the seeds before those that haven't responded are asked again. Seeds may not have been
/// started yet, and the members of a large fleet take longer on a slow link.
const SEED_WAIT: Duration = Duration::from_millis(100);
/// Increment of the delay between attempts to reach a seed. Seeds often start at the same
/// time as this instance.
const SEED_RETRY_STEP: Duration = Duration::from_millis(30);
/// Longest delay between attempts while no other member is known.
const MAX_SEED_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Fetches the members that differ from another instance.
pub(in crate::gateway) async fn compare_members(
    node: &Rc<Node>,
    other: &Member,
    digest: Option<u64>,
) {
    let is_recent = |at| clock::since(at) < MIN_MEMBER_FETCH_INTERVAL;
    let is_equal = digest.is_none_or(|digest| digest == node.members.borrow().digest());
    if is_equal || node.members_fetched.get().is_some_and(is_recent) {
        return;
    }
    node.members_fetched.set(Some(clock::now()));
    let request = PeerRequest::Members(node.members.borrow().digests());
    let Ok(PeerReply::Members(found)) =
        node.request(other.peer, &request, MEMBER_FETCH_TIMEOUT).await
    else {
        return;
    };
    let before = node.members.borrow().version();
    let now = clock::now();
    for member in found {
        node.members.borrow_mut().merge_listed(member, now);
    }
    on_members(node, before);
}

/// Finds the first other members through the seeds, or through addresses registered on the
/// platform.
pub(super) async fn join(node: Rc<Node>) {
    let mut attempts = 0_u32;
    let mut fetches: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let seeds = node.seeds.borrow().clone();
        let own = node.as_holder().address;
        let seeds = seeds.into_iter().filter(|seed| *seed != own);
        // In tasks, so that an unreachable seed delays no other, and that a list which takes long
        // isn't requested twice.
        fetches.retain(|_, fetch| !fetch.is_finished());
        for seed in seeds {
            let start = || {
                let node = node.clone();
                spawn_local(async move { fetch_members(&node, seed).await })
            };
            fetches.entry(seed).or_insert_with(start);
        }
        let ends = futures_util::future::join_all(fetches.values_mut());
        let _waited = tokio::time::timeout(SEED_WAIT, ends).await;
        fetches.retain(|_, fetch| !fetch.is_finished());
        attempts += 1;
        if node.members.borrow().others().next().is_none() && attempts.is_multiple_of(8) {
            for address in watch::registered_addresses(&node).await {
                if address != own {
                    fetch_members(&node, address).await;
                }
            }
        }
        if node.members.borrow().others().next().is_some() {
            break;
        }
        tokio::time::sleep(SEED_RETRY_STEP.saturating_mul(attempts).min(MAX_SEED_RETRY_DELAY))
            .await;
    }
    job_table::fetch_statuses(&node).await;
}

async fn fetch_members(node: &Rc<Node>, address: SocketAddr) {
    let before = node.members.borrow().version();
    match node.peers.members(address).await {
        Ok(found) => {
            let now = clock::now();
            let mut members = node.members.borrow_mut();
            for member in found {
                members.merge_listed(member, now);
            }
        }
        Err(PeerError::NotSent(error) | PeerError::OutcomeUnknown(error)) => {
            slog::debug!(node.log, "seed unresponsive"; "seed" => %address, "fault" => error);
        }
    }
    on_members(node, before);
}
