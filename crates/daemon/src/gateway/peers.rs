//! Membership, and requests from other instances.

mod join;

pub(super) use join::compare_members;

use super::digest::{Connectivity, StateDigest};
use super::message::{PeerReply, PeerRequest, decode, encode};
use super::node::Node;
use super::target_page::TargetPage;
use super::{
    allocator, broadcast, job_table, jobs, origins, platform_health, quarantine, quota, submit,
    takeover,
};
use crate::clock;
use coordination::membership::{Member, MemberTable, State, Update};
use coordination::quarantine::Suspect;
use protocol::InstanceId;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use transport::peer::{Entries, Handler};

/// Longest wait for the reply to a heartbeat. Leaves room for a machine that is five times slower
/// than normal.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Membership changes within this window are handled together.
const MEMBER_CHANGE_WINDOW: Duration = Duration::from_millis(25);
/// A heartbeat timeout noticed later than this was delayed by this instance itself and
/// isn't counted as a miss.
const MAX_LOCAL_DELAY: Duration = Duration::from_millis(150);
/// Members listed in a log line because they aren't alive.
const MAX_LOGGED_MEMBERS: usize = 8;
/// Registry entries of a page: few enough to arrive within a heartbeat timeout on a slow link.
const TARGETS_PER_PAGE: usize = 400;
/// Updates received within this window are sent together.
const UPDATE_BATCH_WINDOW: Duration = Duration::from_millis(5);
/// Members for which that window grows by itself once.
const MEMBERS_PER_WINDOW: u32 = 64;

/// Serves requests from other instances.
#[derive(Clone)]
pub struct PeerHandler {
    /// The instance that serves them.
    pub node: Rc<Node>,
}

impl Handler for PeerHandler {
    async fn ping(&self, from: Member, updates: Vec<Update>) -> (Member, Vec<Update>) {
        let id = from.id;
        on_heartbeat(&self.node, from, &updates);
        let members = self.node.members.borrow();
        (members.me().clone(), members.suspicion_of(id).into_iter().collect())
    }

    async fn command(&self, _shard: u32, _body: Vec<u8>) -> Vec<u8> {
        Vec::new() // Gateways have no shards.
    }

    async fn entries(&self, _after: u64) -> Entries {
        Entries::default() // Gateways keep no configuration log.
    }

    async fn pressure(&self, _from: u64, _target: String, _online: u32) {}

    async fn ask(&self, body: Vec<u8>) -> Vec<u8> {
        let reply = match decode::<PeerRequest>(&body) {
            Some(request) => handle(&self.node, request).await,
            None => PeerReply::Unavailable,
        };
        encode(&reply)
    }

    async fn members(&self) -> Vec<Member> {
        let members = self.node.members.borrow();
        members.workers().cloned().collect()
    }
}

async fn handle(node: &Rc<Node>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Slots(request) => allocator::on_slot_request(node, *request).await,
        PeerRequest::CancelSlots(from, id) => {
            allocator::on_cancelled(node, (from, id));
            PeerReply::Acknowledged
        }
        PeerRequest::Release(lease, report) => {
            allocator::on_release(node, lease, report);
            PeerReply::Acknowledged
        }
        PeerRequest::TargetOverdue(target) => {
            allocator::on_overdue(node, &target);
            PeerReply::Acknowledged
        }
        PeerRequest::LeaseReport(from, held) => {
            allocator::on_lease_report(node, from, &held);
            PeerReply::Acknowledged
        }
        PeerRequest::Revoke(lease) => {
            node.leases.on_revoked(lease);
            PeerReply::Acknowledged
        }
        PeerRequest::Sync { from, digest, connectivity, fetches_parts } => {
            sync(node, from, digest, connectivity, fetches_parts)
        }
        PeerRequest::ConfigManifest(version) => {
            let manifest = node.outbox.configs.parts.wait_for_manifest(version).await;
            manifest.map_or(PeerReply::Pending, PeerReply::ConfigManifest)
        }
        PeerRequest::ConfigPart(digest) => {
            let part = node.outbox.configs.parts.wait_for_part(digest).await;
            part.map_or(PeerReply::Pending, PeerReply::ConfigPart)
        }
        PeerRequest::Update(from, update) => {
            let node = node.clone();
            run_to_completion(async move { broadcast::on_update(&node, from, update).await }).await;
            PeerReply::Acknowledged
        }
        PeerRequest::RelayUpdate(from, update) => {
            let node = node.clone();
            run_to_completion(async move { broadcast::on_relayed(&node, from, update).await })
                .await;
            PeerReply::Acknowledged
        }
        PeerRequest::Targets(digests) => {
            PeerReply::Targets(node.registry.borrow().changes_in_differing_buckets(&digests))
        }
        PeerRequest::TargetPage { digests, first_bucket } => {
            let registry = node.registry.borrow();
            let page = registry.page(&digests, first_bucket as usize, TARGETS_PER_PAGE);
            PeerReply::TargetPage(TargetPage::new(page, registry.complete_through()))
        }
        PeerRequest::TargetsSince(revision) => {
            let registry = node.registry.borrow();
            let page = registry.changes_since(revision, TARGETS_PER_PAGE);
            PeerReply::TargetPage(TargetPage::new(page, registry.complete_through()))
        }
        PeerRequest::Statuses(statuses) => {
            statuses.into_iter().for_each(|status| job_table::on_status(node, status));
            PeerReply::Acknowledged
        }
        PeerRequest::ListJobs(filter) => {
            PeerReply::Statuses(job_table::statuses_for(node, &filter))
        }
        PeerRequest::Submit(submission) => {
            PeerReply::Submitted(submit::on_submit(node, submission).await)
        }
        PeerRequest::Results(job, from, wait) => {
            jobs::on_results(node, &job, from, Duration::from_millis(wait)).await
        }
        PeerRequest::Body(job, item) => jobs::on_body(node, &job, &item),
        PeerRequest::End(job) => jobs::on_end(node, &job).await,
        PeerRequest::TakeOver(job, handoff) => takeover::on_request(node, job, handoff),
        PeerRequest::Trial(fingerprint) => {
            PeerReply::Trial(quarantine::on_trial(node, Suspect::Request(fingerprint)))
        }
        PeerRequest::PartTrial(fingerprint) => {
            PeerReply::Trial(quarantine::on_trial(node, Suspect::Part(fingerprint)))
        }
        PeerRequest::CrashReports => PeerReply::CrashReports(quarantine::crash_reports(node)),
        PeerRequest::Members(digests) => {
            PeerReply::Members(node.members.borrow().in_differing_buckets(&digests))
        }
        PeerRequest::Evacuations => PeerReply::Evacuations(node.evacuations.borrow().changes()),
        PeerRequest::Borrow(data_centre, workspace) => {
            quota::on_borrow(node, &data_centre, &workspace)
        }
        PeerRequest::Refund(data_centre, workspace) => {
            quota::refund_local(node, &data_centre, &workspace);
            PeerReply::Acknowledged
        }
        PeerRequest::Demand(report) => {
            quota::on_report(node, report);
            PeerReply::Acknowledged
        }
        PeerRequest::Knowledge(knowledge) => {
            allocator::on_knowledge(node, &knowledge);
            PeerReply::Acknowledged
        }
        PeerRequest::StoreOrigin { attempt, origin, lifetime_ms } => {
            origins::on_store(node, &attempt, origin, Duration::from_millis(lifetime_ms));
            PeerReply::Acknowledged
        }
        PeerRequest::Releases => {
            let known = node.releases.borrow().history();
            known.map_or(PeerReply::Unavailable, |known| PeerReply::Releases(known.releases))
        }
        PeerRequest::ReleaseHistory => {
            let known = node.releases.borrow().history();
            known.map_or(PeerReply::Unavailable, PeerReply::ReleaseHistory)
        }
        PeerRequest::ListRelease(release) => {
            let is_listed = run_to_completion(origins::record(node.clone(), release)).await;
            if is_listed == Some(true) { PeerReply::Acknowledged } else { PeerReply::Unavailable }
        }
        PeerRequest::Origin(attempt) => PeerReply::Origin(origins::known(node, &attempt)),
        PeerRequest::LedgerSnapshot(snapshot) => {
            quota::on_snapshot(node, snapshot);
            PeerReply::Acknowledged
        }
    }
}

/// Runs a future in a task of its own, so that it completes even if the sender closes its
/// connection and this call is dropped.
///
/// Returns the output, or `None` if the task panicked, which the task itself reports.
async fn run_to_completion<T: 'static>(future: impl Future<Output = T> + 'static) -> Option<T> {
    spawn_local(future).await.ok()
}

fn sync(
    node: &Rc<Node>,
    from: InstanceId,
    digest: StateDigest,
    connectivity: Connectivity,
    fetches_parts: bool,
) -> PeerReply {
    platform_health::on_peer_report(node, from, connectivity);
    let mine = node.state_digest();
    let parts = &node.outbox.configs.parts;
    let config = if fetches_parts { None } else { parts.text_after(digest.config) };
    PeerReply::Sync { digest: mine, config, connectivity: node.connectivity() }
}

fn on_heartbeat(node: &Rc<Node>, from: Member, updates: &[Update]) {
    let now = clock::now();
    let before = node.members.borrow().version();
    broadcast::on_config_version(node, from.generation, from.peer);
    {
        let mut members = node.members.borrow_mut();
        members.on_heartbeat(from, now);
        merge(&mut members, updates, now);
    }
    on_members(node, before);
}

fn merge(members: &mut MemberTable, updates: &[Update], now: Instant) {
    for update in updates {
        if let Update::Member(member) = update {
            members.merge(member.clone(), now);
        }
    }
}

/// Handles a possible change of the members, whose version was `before`. Changes are
/// batched, since hundreds arrive when a fleet starts.
fn on_members(node: &Rc<Node>, before: u64) {
    if node.members.borrow().version() == before {
        return;
    }
    node.members_changed.set(clock::now());
    node.membership_changed.notify_one();
    if node.is_change_pending.replace(true) {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        tokio::time::sleep(MEMBER_CHANGE_WINDOW).await;
        node.is_change_pending.set(false);
        on_members_settled(&node);
    });
}

/// Logs the members after a batch of changes.
fn on_members_settled(node: &Rc<Node>) {
    let members = node.members.borrow();
    let alive = members.others().filter(|member| member.state == State::Alive).count();
    let not_alive = members.others().filter(|member| member.state != State::Alive);
    let name = |member: &Member| format!("{:x} {:?} {}", member.id, member.state, member.peer);
    let not_alive: Vec<String> = not_alive.take(MAX_LOGGED_MEMBERS).map(name).collect();
    slog::info!(node.log, "members"; "version" => members.version(), "alive" => alive,
        "doubtful" => ?not_alive, "lost" => members.losses());
    drop(members);
    allocator::grant_waiters(node);
}

/// Sends heartbeats and membership updates until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    spawn_local(run_until(join::join(node.clone()), stop.clone()));
    // Updates must not delay the heartbeats, or an unreachable member would never be
    // detected.
    let mut heartbeat = tokio::time::interval(node.settings.heartbeat_interval);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = heartbeat.tick() => {}
            () = node.membership_changed.notified() => {
                tokio::time::sleep(update_batch_window(&node)).await;
                let behind = node.members.borrow().out_of_date();
                behind.into_iter().for_each(|member| send_heartbeats(&node, member));
                continue;
            }
            () = stop.cancelled() => return,
        }
        let before = node.members.borrow().version();
        let due = node.members.borrow_mut().tick(clock::now());
        on_members(&node, before);
        due.into_iter().for_each(|member| send_heartbeats(&node, member));
    }
}

/// The window grows with the members, so that the messages of a fleet that starts don't.
fn update_batch_window(node: &Node) -> Duration {
    let members = node.members.borrow().others().count() as u32;
    UPDATE_BATCH_WINDOW * (1 + members / MEMBERS_PER_WINDOW)
}

async fn run_until(future: impl Future<Output = ()>, stop: CancellationToken) {
    tokio::select! {
        () = future => {}
        () = stop.cancelled() => {}
    }
}

/// Sends heartbeats to a member until it has all updates. Only one per member is in flight,
/// and later updates go with the next one, so that a slow fleet isn't flooded with repeats.
fn send_heartbeats(node: &Rc<Node>, to: Member) {
    if !node.pending_heartbeats.borrow_mut().insert(to.id) {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        loop {
            let mut has_replied = heartbeat_once(&node, &to).await;
            if !has_replied {
                tokio::time::sleep(HEARTBEAT_RETRY_DELAY).await;
                has_replied = heartbeat_once(&node, &to).await;
            }
            if !has_replied || !node.members.borrow().is_out_of_date(to.id) {
                break;
            }
            tokio::time::sleep(update_batch_window(&node)).await;
        }
        node.pending_heartbeats.borrow_mut().remove(&to.id);
    });
}

/// Sends a member the updates that it lacks.
pub(super) async fn send_updates(node: &Rc<Node>, to: &Member) {
    if node.members.borrow().is_out_of_date(to.id) {
        heartbeat_once(node, to).await;
    }
}

/// `true` if the member replied, or another instance replied at its address.
async fn heartbeat_once(node: &Rc<Node>, to: &Member) -> bool {
    let (me, (cursor, updates)) = {
        let members = node.members.borrow();
        (members.me().clone(), members.updates_for(to.id))
    };
    let sent = clock::now();
    let result = node.peers.ping(to.peer, &me, &updates).await;
    let now = clock::now();
    let before = node.members.borrow().version();
    let has_replied = match result {
        Ok((from, suspicion)) => {
            broadcast::on_config_version(node, from.generation, from.peer);
            let mut members = node.members.borrow_mut();
            merge(&mut members, &suspicion, now);
            if from.id == to.id {
                members.on_delivered(to.id, cursor);
            } else {
                members.on_replaced(to.id, now);
            }
            members.on_heartbeat(from, now);
            true
        }
        Err(error) => {
            slog::debug!(node.log, "heartbeat missed"; "to" => %to.peer, "fault" => ?error);
            if now.saturating_duration_since(sent) < HEARTBEAT_TIMEOUT + MAX_LOCAL_DELAY {
                node.members.borrow_mut().on_heartbeat_missed(to.id, now);
            }
            false
        }
    };
    on_members(node, before);
    has_replied
}
