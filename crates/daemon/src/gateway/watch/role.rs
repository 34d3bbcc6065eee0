//! Which instances watch the platform, by rank.

use super::topic::Topic;
use super::{Node, POLL_INTERVAL};
use crate::clock;
use crate::gateway::platform_health::is_disconnected;
use coordination::membership::{Member, State};
use coordination::watch::{self, Candidate};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Key by which instances are ranked. One key for all topics, so that a single instance per
/// data centre watches all of them and sends probes.
const RANK_KEY: &str = "watch";
/// Watchers per data centre, or in total for global topics.
const WATCHER_COUNT: usize = 1;
/// How long others must be ranked first before a watch is abandoned. Members come and go in
/// a network partition, and a new watcher costs a list and a watch.
const ROLE_LOSS_DELAY: Duration = Duration::from_millis(500);

fn is_watcher(node: &Node, topic: Topic) -> bool {
    let members = node.members.borrow();
    let is_near = |member: &&Member| member.data_centre == *node.data_centre();
    let members_of_topic = members.workers().filter(|m| topic.is_global() || is_near(m));
    let candidates = candidates(node, members_of_topic);
    watch::is_watcher(RANK_KEY, members.me().id, candidates, WATCHER_COUNT)
}

/// Whether this instance watches the targets for its data centre.
pub fn watches_targets(node: &Node) -> bool {
    is_watcher(node, Topic::Targets)
}

/// Address of the instance that watches the global topics, and so the targets too; `None` for this
/// one, or if there is none.
pub fn global_watcher(node: &Node) -> Option<SocketAddr> {
    let members = node.members.borrow();
    let first = watch::first(RANK_KEY, candidates(node, members.workers()))?;
    members.others().find(|member| member.id == first).map(|member| member.peer)
}

fn candidates<'a>(
    node: &'a Node,
    members: impl Iterator<Item = &'a Member>,
) -> impl Iterator<Item = Candidate> {
    let now = clock::now();
    members.filter(|member| member.state != State::Suspect).map(move |member| {
        let is_disconnected = is_disconnected(node, member.id, now);
        Candidate { id: member.id, is_disconnected }
    })
}

/// Whether this instance watches a topic on behalf of others.
pub(super) struct Role {
    node: Rc<Node>,
    topic: Topic,
    is_held: bool,
}

impl Role {
    /// A role that isn't held yet.
    pub(super) fn new(node: Rc<Node>, topic: Topic) -> Role {
        Role { node, topic, is_held: false }
    }

    /// Returns once other instances have been ranked first for a while. Continuing the
    /// watch would cost probes.
    pub(super) async fn lost(&self) {
        let mut last_held = clock::now();
        while clock::since(last_held) < ROLE_LOSS_DELAY {
            tokio::time::sleep(POLL_INTERVAL).await;
            if is_watcher(&self.node, self.topic) && !self.node.is_stopping() {
                last_held = clock::now();
            }
        }
    }

    /// Updates and returns whether the role is held.
    pub(super) fn refresh(&mut self) -> bool {
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

/// Ids of members that are currently disconnected from the platform.
fn disconnected_members(node: &Node, now: Instant) -> Vec<String> {
    let disconnected = node.disconnected.borrow();
    let recent = disconnected.iter().filter(|(_, until)| now < **until);
    recent.map(|(id, _)| format!("{id:x}")).collect()
}
