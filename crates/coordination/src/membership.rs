//! Membership of instances, with a bounded number of heartbeats per instance.
//!
//! Members form a ring ordered by id. Each sends heartbeats to its successor and to those at a half, a
//! quarter, an eighth, … of the ring, log₂ n of them, so that traffic per member and the number of
//! hops of an update grow with the logarithm of the fleet. A new member becomes the partner of
//! few others. Everything here is a hint: a wrong view costs a detour or
//! a lost race on a conditional write, never a wrong outcome.

mod digest;
mod entry;
mod partners;
mod types;
mod updates;

pub use digest::DIGEST_BUCKETS;
pub use types::{Member, Policy, State, Update};

use crate::InstanceId;
use entry::{Entry, Loss};
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

const MISSED_HEARTBEAT_LIMIT: u32 = 2;
const DEAD_PROBE_INTERVAL_TICKS: u64 = 8;
/// Factor of the suspect timeout for members suspected by second-hand reports only, whose
/// refutation may have to pass through many updates.
const SECOND_HAND_FACTOR: u32 = 3;

/// Where a member's state was received from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// The member itself, or an update that is passed on.
    Update,
    /// A list of members.
    List,
}

/// One instance's view of all members.
#[derive(Clone, Debug)]
pub struct MemberTable {
    me: Member,
    policy: Policy,
    entries: BTreeMap<InstanceId, Entry>,
    /// Updates by sequence number; at most one for each member.
    updates: BTreeMap<u64, Update>,
    /// Sequence number of the update of each member.
    member_updates: HashMap<InstanceId, u64>,
    last_seq: u64,
    delivered: HashMap<InstanceId, u64>,
    tick_count: u64,
    version: u64,
    /// Highest generation known to be in force on any instance.
    generation: u64,
    losses: u64,
}

impl MemberTable {
    /// A table that knows only its owner.
    pub fn new(me: Member, policy: Policy) -> MemberTable {
        MemberTable {
            me,
            policy,
            entries: BTreeMap::new(),
            updates: BTreeMap::new(),
            member_updates: HashMap::new(),
            last_seq: 0,
            delivered: HashMap::new(),
            tick_count: 0,
            version: 0,
            generation: 0,
            losses: 0,
        }
    }

    /// Number of times that a member was lost without leaving, and that a lost one, which may have
    /// been alive elsewhere, was replaced.
    pub fn losses(&self) -> u64 {
        self.losses
    }

    /// The owner of the table.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The owner has put a new configuration in force, of which members learn by its heartbeats
    /// only.
    pub fn set_own_generation(&mut self, generation: u64) {
        self.me.generation = generation.max(self.me.generation);
    }

    /// The owner has put a new configuration in force; it is broadcast.
    pub fn set_generation(&mut self, generation: u64) {
        self.set_own_generation(generation);
        self.on_generation(generation);
    }

    /// Highest generation known to be in force on any instance.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// A generation is in force on some instance; `true` if that is new, and then it is broadcast
    /// once.
    pub fn on_generation(&mut self, generation: u64) -> bool {
        if generation <= self.generation {
            return false;
        }
        self.generation = generation;
        self.updates.retain(|_, update| !matches!(update, Update::Generation(_)));
        self.enqueue(Update::Generation(generation));
        true
    }

    /// Marks the owner as leaving.
    pub fn leave(&mut self) {
        self.me.state = State::Leaving;
        self.version += 1;
        self.me.incarnation += 1;
        self.enqueue(Update::Member(self.me.clone()));
    }

    /// Members other than the owner that aren't dead.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member).filter(|m| m.state != State::Dead)
    }

    /// Members that may own work: live ones, and the owner unless it leaves.
    ///
    /// Suspects are included: moving their work for one lost heartbeat costs more than a short
    /// wait.
    pub fn workers(&self) -> impl Iterator<Item = &Member> {
        let is_worker = |m: &&Member| matches!(m.state, State::Alive | State::Suspect);
        std::iter::once(&self.me).chain(self.others()).filter(is_worker)
    }

    /// Whether the owner and all other members are leaving; `false` if the owner knows no others.
    pub fn is_fleet_leaving(&self) -> bool {
        let mut others = self.others().peekable();
        let is_leaving = |member: &Member| member.state == State::Leaving;
        is_leaving(&self.me) && others.peek().is_some() && others.all(is_leaving)
    }

    /// Incremented whenever [`MemberTable::workers`] may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The member `id`; `None` if it is unknown or dead.
    pub fn get(&self, id: InstanceId) -> Option<&Member> {
        let member = self.entries.get(&id).map(|entry| &entry.member);
        member.filter(|member| member.state != State::Dead)
    }

    /// Whether `id` is known and dead.
    pub fn is_dead(&self, id: InstanceId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.member.state == State::Dead)
    }

    /// Members to send a heartbeat to at this tick: the next finger, and periodically a dead
    /// member, so that a healed network partition is detected.
    pub fn tick(&mut self, now: Instant) -> Vec<Member> {
        self.expire(now);
        self.tick_count += 1;
        let fingers = self.fingers();
        let mut due = Vec::new();
        if !fingers.is_empty() {
            due.push(fingers[(self.tick_count % fingers.len() as u64) as usize]);
        }
        if self.tick_count.is_multiple_of(DEAD_PROBE_INTERVAL_TICKS) {
            due.extend(self.next_dead());
        }
        due.iter().filter_map(|id| self.entries.get(id)).map(|entry| entry.member.clone()).collect()
    }

    fn next_dead(&self) -> Option<InstanceId> {
        let is_dead = |entry: &&Entry| entry.member.state == State::Dead;
        let dead: Vec<InstanceId> =
            self.entries.values().filter(is_dead).map(|entry| entry.member.id).collect();
        let index = (self.tick_count / DEAD_PROBE_INTERVAL_TICKS) as usize;
        if dead.is_empty() { None } else { Some(dead[index % dead.len()]) }
    }

    /// `member` replied to a heartbeat, or sent one.
    pub fn on_heartbeat(&mut self, member: Member, now: Instant) {
        let id = member.id;
        self.merge(member, now);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.missed_heartbeats = 0;
        }
    }

    /// `id` did not reply to a heartbeat.
    pub fn on_heartbeat_missed(&mut self, id: InstanceId, now: Instant) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.missed_heartbeats += 1;
        let is_first =
            entry.missed_heartbeats >= MISSED_HEARTBEAT_LIMIT && entry.member.state == State::Alive;
        if is_first {
            entry.member.state = State::Suspect;
            entry.changed_at = now;
            entry.is_second_hand = false;
            let update = Update::Member(entry.member.clone());
            self.enqueue(update);
        }
    }

    /// Merges a member's state from any source; `true` if it is new.
    ///
    /// A second-hand report that a live member is dead only makes it a suspect, since the reporter
    /// may have been partitioned from it. A death that follows a suspicion is accepted once
    /// the suspect has had time to refute it.
    ///
    /// Guards against a fleet that splits further as a partition heals: each side broadcasts its
    /// view that the other one is dead. Of 250 instances, 200 on one side, each then considered
    /// some 130 of its own side dead for over 4 s; several owned the same slot allocator, and
    /// targets received twice the requests that they have slots for.
    pub fn merge(&mut self, member: Member, now: Instant) -> bool {
        self.merge_from(Origin::Update, member, now)
    }

    /// As [`MemberTable::merge`], for a member of a list that another one has sent. One that was
    /// unknown isn't passed on, since its sender does that.
    pub fn merge_listed(&mut self, member: Member, now: Instant) -> bool {
        self.merge_from(Origin::List, member, now)
    }

    fn merge_from(&mut self, origin: Origin, member: Member, now: Instant) -> bool {
        if member.id == self.me.id {
            self.refute(&member);
            return false;
        }
        let policy = self.policy;
        let Some(entry) = self.entries.get_mut(&member.id) else {
            if member.state == State::Dead {
                return false;
            }
            self.replace(&member, now);
            if origin == Origin::Update || !policy.compares {
                self.enqueue(Update::Member(member.clone()));
            }
            if policy.compares {
                self.delivered.insert(member.id, self.last_seq);
            }
            self.entries.insert(
                member.id,
                Entry {
                    member,
                    missed_heartbeats: 0,
                    changed_at: now,
                    is_second_hand: false,
                    loss: None,
                },
            );
            self.version += 1;
            return true;
        };
        let known = &entry.member;
        let is_newer = (member.incarnation, member.state) > (known.incarnation, known.state);
        let generation = member.generation.max(known.generation);
        if !is_newer {
            entry.member.generation = generation;
            return false;
        }
        let is_death = member.state == State::Dead;
        let is_second_hand = is_death && known.state == State::Alive;
        if is_death && known.state == State::Suspect && entry.is_recent_suspect(policy, now) {
            return false;
        }
        let state = if is_second_hand { State::Suspect } else { member.state };
        let member = Member { state, ..member };
        let is_loss =
            member.state == State::Dead && !matches!(known.state, State::Dead | State::Leaving);
        if is_loss {
            entry.loss = Some(Loss { at: now, returned: None });
        } else if known.state == State::Dead
            && let Some(loss) = &mut entry.loss
        {
            loss.returned = Some(now);
        }
        entry.changed_at = now;
        entry.is_second_hand = is_second_hand;
        entry.member = member;
        entry.member.generation = generation;
        self.losses += u64::from(is_loss);
        self.version += 1;
        let update = Update::Member(entry.member.clone());
        self.enqueue(update);
        true
    }

    /// `id` is gone: another id responds at its address.
    pub fn on_replaced(&mut self, id: InstanceId, now: Instant) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.member.state == State::Dead {
            self.losses += u64::from(entry.loss.take().is_some());
            return;
        }
        self.losses += u64::from(entry.member.state != State::Leaving);
        entry.loss = None;
        entry.member.state = State::Dead;
        entry.changed_at = now;
        let update = Update::Member(entry.member.clone());
        self.version += 1;
        self.enqueue(update);
    }

    /// A process that starts at an address replaces an earlier one there.
    fn replace(&mut self, member: &Member, now: Instant) {
        let is_earlier = |entry: &&Entry| {
            entry.member.peer == member.peer && entry.member.incarnation < member.incarnation
        };
        let earlier = self.entries.values().filter(is_earlier).map(|entry| entry.member.id);
        let earlier: Vec<InstanceId> = earlier.collect();
        earlier.into_iter().for_each(|id| self.on_replaced(id, now));
    }

    /// Broadcasts an update of another kind; the caller has checked that it is new.
    pub fn broadcast(&mut self, update: Update) {
        self.enqueue(update);
    }

    fn refute(&mut self, claimed: &Member) {
        let is_wrong = matches!(claimed.state, State::Suspect | State::Dead);
        if is_wrong && claimed.incarnation >= self.me.incarnation {
            self.me.incarnation = claimed.incarnation + 1;
            self.enqueue(Update::Member(self.me.clone()));
        }
    }

    fn expire(&mut self, now: Instant) {
        let policy = self.policy;
        let mut dead = Vec::new();
        let mut losses = 0;
        for entry in self.entries.values_mut() {
            let elapsed = now.saturating_duration_since(entry.changed_at);
            let factor = if entry.is_second_hand { SECOND_HAND_FACTOR } else { 1 };
            let has_expired =
                entry.member.state == State::Suspect && elapsed >= policy.suspect_timeout * factor;
            let has_left = entry.member.state == State::Leaving
                && entry.missed_heartbeats >= MISSED_HEARTBEAT_LIMIT;
            if has_expired || has_left {
                losses += u64::from(has_expired);
                entry.loss = has_expired.then_some(Loss { at: now, returned: None });
                entry.member.state = State::Dead;
                entry.changed_at = now;
                dead.push(entry.member.clone());
            }
        }
        let known = self.entries.len();
        self.entries.retain(|_, entry| {
            let elapsed = now.saturating_duration_since(entry.changed_at);
            entry.member.state != State::Dead || elapsed < policy.dead_retention
        });
        self.losses += losses;
        self.version += dead.len() as u64;
        dead.into_iter().for_each(|member| self.enqueue(Update::Member(member)));
        if self.entries.len() < known {
            self.forget_removed();
        }
    }
}
