//! Watches the platform for all instances: a few in each data centre do, and tell
//! the others what changed.
//!
//! Who watches follows from ranks that all agree on ([`coordination::watch`]). A
//! watcher lists once and watches from there; after a watch that broke it lists
//! again. What it learns goes to [`super::discovery`].

use super::call_reason::CallReason;
use super::discovery;
use super::node::Node;
use super::platform_health::{PROBE_TIMEOUT, is_disconnected};
use super::quarantine;
use crate::clock;
use coordination::membership::{Member, State};
use coordination::watch::{self, Candidate};
use platform::store::{Fault, Listing, Object, Revision};
use platform::{config, instance, retirement, target};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Rank by which instances watch: one that does watches all topics, so that a data
/// centre has one that asks for signs of life.
const RANK_KEY: &str = "watch";
/// Instances of a data centre that watch.
const WATCHER_COUNT: usize = 1;
/// Longest wait of one watch of the targets. What [`super::platform_health`] can't see, a
/// watch that was lost alone, is noticed when it is overdue, after 1.9 s: targets that
/// leave get nothing 2 s after their word. Each watch costs a call.
const TARGETS_WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for the configuration, which is in force 2 s after its word and, for the
/// 3 s after a disturbance of the platform, later.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_millis(3_400);
/// The same for orders to empty a machine, which give more time than that.
const RETIREMENTS_WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// The same for requests that are held, of which instances tell each other at once.
const QUARANTINE_WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a change, so that a series of changes costs few calls.
const CHANGE_BATCH_WINDOW: Duration = Duration::from_millis(200);
/// Time between looks whether this instance should watch.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a start in which others are met before anybody watches; who has met
/// nobody by then must ask the platform itself, since it serves nothing until it knows a
/// configuration and targets. Without it all 250 instances of a fleet that starts take
/// themselves for watchers: 1,570 lists and watches, 3,000 signs of life and 250 entries
/// of addresses.
const JOIN_DELAY: Duration = Duration::from_millis(150);
/// The same for what one instance watches for all: nothing waits for it.
const GLOBAL_JOIN_DELAY: Duration = Duration::from_secs(2);
/// A role counts as lost after this long: members come and go in a cut, and to watch
/// anew costs a list and a watch.
const ROLE_LOSS_DELAY: Duration = Duration::from_millis(500);
/// Pauses between tries of a watcher that can't reach the platform.
const RETRY_DELAY_BOUNDS: [Duration; 2] =
    [Duration::from_millis(250), Duration::from_millis(1_500)];

/// What is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Topic {
    Config,
    Targets,
    Retirements,
    Quarantine,
}

impl Topic {
    fn kind(self) -> &'static str {
        match self {
            Topic::Config => config::KIND,
            Topic::Targets => target::KIND,
            Topic::Retirements => retirement::KIND,
            Topic::Quarantine => platform::quarantine::KIND,
        }
    }

    fn longest_wait(self) -> Duration {
        match self {
            Topic::Config => CONFIG_WATCH_TIMEOUT,
            Topic::Targets => TARGETS_WATCH_TIMEOUT,
            Topic::Retirements => RETIREMENTS_WATCH_TIMEOUT,
            Topic::Quarantine => QUARANTINE_WATCH_TIMEOUT,
        }
    }

    /// Whether one instance watches for all data centres.
    fn is_global(self) -> bool {
        self == Topic::Retirements
    }
}

/// Watches until `stop`.
pub fn start(node: &Rc<Node>, stop: &CancellationToken) {
    let topics = [Topic::Config, Topic::Targets, Topic::Retirements, Topic::Quarantine];
    for topic in topics {
        spawn_local(watch_topic(node.clone(), topic, stop.clone()));
    }
}

/// Time after a start in which others are met before anybody watches.
fn join_delay(topic: Topic) -> Duration {
    if topic.is_global() { GLOBAL_JOIN_DELAY } else { JOIN_DELAY }
}

fn is_watcher(node: &Node, topic: Topic) -> bool {
    let now = clock::now();
    let members = node.members.borrow();
    let here = members.workers().filter(|member| {
        let is_near = topic.is_global() || member.data_centre == *node.data_centre();
        is_near && member.state != State::Suspect
    });
    let candidate = |member: &Member| {
        let has_lost_contact = is_disconnected(node, member.id, now);
        Candidate { id: member.id, is_disconnected: has_lost_contact }
    };
    watch::is_watcher(RANK_KEY, members.me().id, here.map(candidate), WATCHER_COUNT)
}

async fn watch_topic(node: Rc<Node>, topic: Topic, stop: CancellationToken) {
    let mut role = WatcherRole { node: node.clone(), topic, is_held: false };
    let mut is_registered = topic != Topic::Config;
    let mut revision: Option<Revision> = None;
    let mut failures = 0_u32;
    tokio::select! {
        () = tokio::time::sleep(join_delay(topic)) => {}
        () = stop.cancelled() => return,
    }
    while !stop.is_cancelled() {
        // Without a sign of life the platform is left alone until there is one.
        if !role.refresh() || node.store.is_disconnected() {
            revision = None;
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        let opened = clock::now();
        let result = tokio::select! {
            result = list_or_watch(&node, topic, revision) => result,
            () = node.store.disconnected() => Err(Fault::Lost(String::from("no sign of life"))),
            () = role.lost() => continue,
            () = node.resumed.notified() => {
                revision = None;
                continue;
            }
            () = stop.cancelled() => return,
        };
        match result {
            Ok(next) => {
                failures = 0;
                revision = Some(next);
                if !is_registered {
                    is_registered = register(&node).await;
                }
            }
            Err(Fault::HistoryGone) => {
                slog::info!(node.log, "watch history expired"; "kind" => topic.kind(),
                    "revision" => revision);
                revision = None;
            }
            Err(fault) => {
                failures += 1;
                let open = clock::since(opened);
                slog::info!(node.log, "watch broken"; "kind" => topic.kind(),
                    "fault" => %fault, "failures" => failures,
                    "since" => revision, "open_ms" => open.as_millis() as u64,
                    "silence_ms" => ms_since_response(&node));
                on_watch_error(&node, revision.take(), &fault, open, failures).await;
            }
        }
    }
}

/// A watch that was `open` for so long, or the list before it, has failed.
async fn on_watch_error(
    node: &Node,
    revision: Option<Revision>,
    fault: &Fault,
    open: Duration,
    failures: u32,
) {
    node.store.on_watch_failed();
    if revision.is_none() {
        let now = clock::now();
        node.store.on_failure(fault, now);
        node.store.on_probe_failed(now);
    } else if open >= RETRY_DELAY_BOUNDS[0] {
        // One watch that is cut says nothing; the list that follows at once does.
        return;
    }
    let pause = coordination::retry::backoff(
        failures,
        RETRY_DELAY_BOUNDS[0],
        RETRY_DELAY_BOUNDS[1],
        rand::random(),
    );
    tokio::time::sleep(pause).await;
}

/// The right to watch a topic for others, as this instance has it or not.
struct WatcherRole {
    node: Rc<Node>,
    topic: Topic,
    is_held: bool,
}

impl WatcherRole {
    /// Returns once it is clear that others hold it. A watch that goes on to its end
    /// costs signs of life all the while.
    async fn lost(&self) {
        let mut held = clock::now();
        while clock::since(held) < ROLE_LOSS_DELAY {
            tokio::time::sleep(POLL_INTERVAL).await;
            if is_watcher(&self.node, self.topic) && !self.node.is_stopping() {
                held = clock::now();
            }
        }
    }

    /// Looks whether it is held now.
    fn refresh(&mut self) -> bool {
        let node = &self.node;
        let is_held = !node.is_stopping() && is_watcher(node, self.topic);
        if is_held != self.is_held {
            slog::info!(node.log, "{}", if is_held { "watch started" } else { "watch stopped" };
                "kind" => self.topic.kind(), "lost" => ?disconnected_members(node, clock::now()));
            let watched = node.watched.get();
            node.watched.set(if is_held { watched + 1 } else { watched.saturating_sub(1) });
        }
        self.is_held = is_held;
        is_held
    }
}

/// Members that lately lost contact with the platform.
fn disconnected_members(node: &Node, now: Instant) -> Vec<String> {
    let lost = node.disconnected.borrow();
    let lately = lost.iter().filter(|(_, until)| now < **until);
    lately.map(|(id, _)| format!("{id:x}")).collect()
}

/// Milliseconds since the platform last answered this instance.
fn ms_since_response(node: &Node) -> Option<u64> {
    node.store.silence(clock::now()).map(|time| time.as_millis() as u64)
}

/// One list or one watch; gives the revision to go on from.
async fn list_or_watch(
    node: &Rc<Node>,
    topic: Topic,
    revision: Option<Revision>,
) -> Result<Revision, Fault> {
    let store = node.store.without_breaker();
    let Some(revision) = revision else {
        node.store.count_call(CallReason::Watch);
        let listing = store.list_all(topic.kind()).await?;
        node.store.on_response(clock::now());
        node.store.log_undecodable(topic.kind(), &listing.unreadable);
        let revision = listing.revision;
        on_list(node, topic, listing).await?;
        return Ok(revision);
    };
    let wait = topic.longest_wait();
    node.store.count_call(CallReason::Watch);
    let watch = store.watch(topic.kind(), revision, wait);
    let changes = tokio::time::timeout(wait + PROBE_TIMEOUT, watch)
        .await
        .unwrap_or_else(|_| Err(Fault::Lost(String::from("the watch is overdue"))))?;
    node.store.on_response(clock::now());
    node.store.log_undecodable(topic.kind(), &changes.unreadable);
    let is_quiet = changes.changes.is_empty() && changes.unreadable.is_empty();
    let revision = changes.revision;
    match topic {
        Topic::Retirements => {
            for change in changes.changes.into_iter().filter(|change| !change.removed) {
                retire(node, &change.object).await?;
            }
        }
        Topic::Config => {
            let present = changes.changes.into_iter().filter(|change| !change.removed);
            present.for_each(|change| discovery::on_config_object(node, &change.object));
        }
        Topic::Targets => discovery::on_changes(node, changes),
        Topic::Quarantine => {
            let present = changes.changes.into_iter().filter(|change| !change.removed);
            let objects: Vec<Object> = present.map(|change| change.object).collect();
            quarantine::on_objects(node, &objects);
        }
    }
    if !is_quiet && topic == Topic::Targets {
        tokio::time::sleep(CHANGE_BATCH_WINDOW).await;
    }
    Ok(revision)
}

async fn on_list(node: &Rc<Node>, topic: Topic, listing: Listing) -> Result<(), Fault> {
    let objects = &listing.objects;
    match topic {
        Topic::Retirements => {
            for object in objects {
                retire(node, object).await?;
            }
        }
        Topic::Config => {
            objects.iter().for_each(|object| discovery::on_config_object(node, object))
        }
        Topic::Targets => discovery::on_entries(node, &listing),
        Topic::Quarantine => {
            quarantine::on_objects(node, objects);
            node.has_crash_reports.set(true);
        }
    }
    Ok(())
}

/// Nothing is kept on any machine, so each is empty at once.
async fn retire(node: &Rc<Node>, object: &Object) -> Result<(), Fault> {
    if retirement::Status::is_empty(object.status.get()) {
        return Ok(());
    }
    let status = &retirement::Status::EMPTY;
    let result = node
        .store
        .set_status(CallReason::Retirement, retirement::KIND, &object.name, object.revision, status)
        .await;
    slog::info!(node.log, "machine emptied"; "machine" => &object.name,
        "revision" => object.revision, "written" => result.is_ok());
    match result {
        // Another instance was faster, or the order was withdrawn.
        Ok(_) | Err(Fault::Conflict(_) | Fault::Missing) => Ok(()),
        Err(fault) => Err(fault),
    }
}

/// Leaves this instance's address on the platform, for those that find no seed;
/// `true` when it is there.
async fn register(node: &Rc<Node>) -> bool {
    let name = &node.settings.name;
    let peer = node.as_holder().address;
    let entry = instance::Entry { peer, data_centre: node.data_centre().clone() };
    match node.store.create(CallReason::Address, instance::KIND, name, &entry).await {
        Ok(_) | Err(Fault::Conflict(_)) => true,
        Err(fault) => {
            slog::info!(node.log, "not registered"; "fault" => %fault);
            false
        }
    }
}

/// Addresses that instances have left on the platform.
pub async fn registered_addresses(node: &Rc<Node>) -> Vec<SocketAddr> {
    let objects = match node.store.list_all(CallReason::Address, instance::KIND).await {
        Ok(objects) => objects,
        Err(fault) => {
            slog::info!(node.log, "no instances from the platform"; "fault" => %fault);
            return Vec::new();
        }
    };
    let read = |object: &Object| instance::decode(object.spec.get()).ok();
    objects.iter().filter_map(read).map(|entry| entry.peer).collect()
}
