//! Which instances there are, with a bounded number of heartbeats for each.
//!
//! Members are ordered on a ring by their ids. Each sends heartbeats to the
//! members 1, 2, 4, 8, … places on: about log₂ n of them, so that traffic grows
//! with the logarithm of the fleet while news crosses it in as many steps. All
//! of it is hints: a wrong view costs a detour or a lost race on a conditional
//! write, never an outcome.

mod types;

pub use types::{Member, Policy, State, Update};

use crate::InstanceId;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;

const MISSES: u32 = 2;
const LOG: usize = 512;
const PAGE: usize = 64;
const REVIVE_EVERY: u64 = 8;
/// Share of the time of a suspicion for which word of the suspect's death isn't taken:
/// those who know it by themselves say so only when that time is over.
const REFUTED: f64 = 0.75;
/// How many times longer one is a suspect that others call dead and that was alive here:
/// its refutation comes among hundreds.
const BY_WORD: u32 = 3;

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    misses: u32,
    changed: Instant,
    /// Whether it is a suspect only because others say that it is dead.
    second_hand: bool,
}

impl Row {
    /// Whether it is a suspect for too short a time to have refuted it.
    fn is_recent_suspect(&self, policy: Policy, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.changed);
        since < policy.suspect_timeout.mul_f64(REFUTED)
    }
}

/// One instance's view of all members.
#[derive(Clone, Debug)]
pub struct MemberTable {
    me: Member,
    policy: Policy,
    rows: BTreeMap<InstanceId, Row>,
    notes: VecDeque<(u64, Update)>,
    last_seq: u64,
    sent: HashMap<InstanceId, u64>,
    turn: u64,
    version: u64,
    /// Highest generation known to be in force anywhere.
    generation: u64,
    losses: u64,
}

impl MemberTable {
    /// A table that knows only its owner.
    pub fn new(me: Member, policy: Policy) -> MemberTable {
        MemberTable {
            me,
            policy,
            rows: BTreeMap::new(),
            notes: VecDeque::new(),
            last_seq: 0,
            sent: HashMap::new(),
            turn: 0,
            version: 0,
            generation: 0,
            losses: 0,
        }
    }

    /// Members lost so far that had not said that they leave.
    pub fn losses(&self) -> u64 {
        self.losses
    }

    /// The owner of the table.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The owner has a new configuration in force.
    pub fn set_generation(&mut self, generation: u64) {
        self.me.generation = generation.max(self.me.generation);
        self.on_generation(generation);
    }

    /// Highest generation known to be in force anywhere.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Word that a generation is in force somewhere; `true` when it is news, and
    /// then it is passed on once.
    pub fn on_generation(&mut self, generation: u64) -> bool {
        if generation <= self.generation {
            return false;
        }
        self.generation = generation;
        self.notes.retain(|(_, note)| !matches!(note, Update::Generation(_)));
        self.push(Update::Generation(generation));
        true
    }

    /// The owner is stopping.
    pub fn leave(&mut self) {
        self.me.state = State::Leaving;
        self.version += 1;
        self.me.incarnation += 1;
        self.push(Update::Member(self.me.clone()));
    }

    /// Members other than the owner, dead ones left out.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().map(|row| &row.member).filter(|m| m.state != State::Dead)
    }

    /// Ids that may own work: the owner unless it leaves, and all that live.
    ///
    /// A suspect still counts: moving its work for one lost heartbeat costs
    /// more than a short wait does.
    pub fn workers(&self) -> impl Iterator<Item = &Member> {
        let able = |m: &&Member| matches!(m.state, State::Alive | State::Suspect);
        std::iter::once(&self.me).chain(self.others()).filter(able)
    }

    /// Changes whenever [`Table::workers`] may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The member `id`, unless it counts as dead.
    pub fn get(&self, id: InstanceId) -> Option<&Member> {
        self.others().find(|m| m.id == id)
    }

    /// Whether `id` is known and counts as dead.
    pub fn is_dead(&self, id: InstanceId) -> bool {
        self.rows.get(&id).is_some_and(|row| row.member.state == State::Dead)
    }

    /// Whom this member sends heartbeats to.
    pub fn fingers(&self) -> Vec<InstanceId> {
        let ring: Vec<InstanceId> = self.others().map(|m| m.id).collect();
        let start = ring.partition_point(|id| *id < self.me.id);
        let mut fingers = Vec::new();
        let mut distance = 1;
        while distance <= ring.len() {
            fingers.push(ring[(start + distance - 1) % ring.len()]);
            distance *= 2;
        }
        fingers
    }

    /// Whom to ping at this tick: the next finger, and now and then a member
    /// that counts as dead, so that a healed cut is found out.
    pub fn tick(&mut self, now: Instant) -> Vec<Member> {
        self.age(now);
        self.turn += 1;
        let fingers = self.fingers();
        let mut due = Vec::new();
        if !fingers.is_empty() {
            due.push(fingers[(self.turn % fingers.len() as u64) as usize]);
        }
        if self.turn.is_multiple_of(REVIVE_EVERY) {
            due.extend(self.some_dead());
        }
        due.iter().filter_map(|id| self.rows.get(id)).map(|row| row.member.clone()).collect()
    }

    fn some_dead(&self) -> Option<InstanceId> {
        let is_dead = |row: &&Row| row.member.state == State::Dead;
        let dead: Vec<InstanceId> =
            self.rows.values().filter(is_dead).map(|r| r.member.id).collect();
        let turn = (self.turn / REVIVE_EVERY) as usize;
        if dead.is_empty() { None } else { Some(dead[turn % dead.len()]) }
    }

    /// Whether `id` is a member that has not been sent the latest news. One that
    /// is gone is owed none: it would never confirm any.
    pub fn is_out_of_date(&self, id: InstanceId) -> bool {
        let is_member = self.rows.get(&id).is_some_and(|row| row.member.state != State::Dead);
        is_member && self.sent.get(&id).copied().unwrap_or(0) < self.last_seq
    }

    /// Fingers that have not been sent the latest news.
    pub fn out_of_date(&self) -> Vec<Member> {
        let fingers = self.fingers();
        let behind = fingers.iter().filter(|id| self.is_out_of_date(**id));
        let rows = behind.filter_map(|id| self.rows.get(id));
        rows.map(|row| row.member.clone()).collect()
    }

    /// News for `to`, and the mark to confirm with [`Table::on_sent`]. That it is itself
    /// in doubt comes first: only `to` can refute it, and after a cut there is more news
    /// than one page holds.
    pub fn updates_for(&self, to: InstanceId) -> (u64, Vec<Update>) {
        let from = self.sent.get(&to).copied().unwrap_or(0);
        let fresh = self.notes.iter().filter(|(at, _)| *at > from).take(PAGE);
        let page: Vec<(u64, Update)> = fresh.cloned().collect();
        let mark = page.last().map_or(self.last_seq, |(at, _)| *at);
        let own = self.suspicion_of(to);
        (mark, own.into_iter().chain(page.into_iter().map(|(_, note)| note)).collect())
    }

    /// What a member should be told of itself, so that it can refute it.
    pub fn suspicion_of(&self, id: InstanceId) -> Option<Update> {
        let is_doubted = |row: &&Row| matches!(row.member.state, State::Suspect | State::Dead);
        let row = self.rows.get(&id).filter(is_doubted);
        row.map(|row| Update::Member(row.member.clone()))
    }

    /// `to` has the news up to `mark`.
    pub fn on_delivered(&mut self, to: InstanceId, mark: u64) {
        let sent = self.sent.entry(to).or_insert(0);
        *sent = mark.max(*sent);
    }

    /// `member` answered a heartbeat, or sent one.
    pub fn on_heartbeat(&mut self, member: Member, now: Instant) {
        let id = member.id;
        self.merge(member, now);
        if let Some(row) = self.rows.get_mut(&id) {
            row.misses = 0;
        }
    }

    /// `id` did not answer a heartbeat.
    pub fn on_heartbeat_missed(&mut self, id: InstanceId, now: Instant) {
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        row.misses += 1;
        let is_first = row.misses >= MISSES && row.member.state == State::Alive;
        if is_first {
            row.member.state = State::Suspect;
            row.changed = now;
            row.second_hand = false;
            let note = Update::Member(row.member.clone());
            self.push(note);
        }
    }

    /// Takes in a member's state from anyone; `true` when it was news.
    ///
    /// Word that one is dead which counts as alive here makes it a suspect: whoever says
    /// so may have been cut off from it. Word of a death that all see comes well after
    /// that of the suspicion, and is taken as it is.
    ///
    /// Guards against a fleet that falls apart when a cut heals, as each side spreads its
    /// view of the other: of 250 instances, 200 on one side, each counted some 130 of its
    /// own side as dead for over four seconds; several kept the same account, and targets
    /// got twice what they had slots for.
    pub fn merge(&mut self, member: Member, now: Instant) -> bool {
        if member.id == self.me.id {
            self.refute(&member);
            return false;
        }
        let policy = self.policy;
        let Some(row) = self.rows.get_mut(&member.id) else {
            if member.state == State::Dead {
                return false;
            }
            self.replace(&member, now);
            let note = Update::Member(member.clone());
            self.rows
                .insert(member.id, Row { member, misses: 0, changed: now, second_hand: false });
            self.version += 1;
            self.push(note);
            return true;
        };
        let known = &row.member;
        let newer = (member.incarnation, member.state) > (known.incarnation, known.state);
        let generation = member.generation.max(known.generation);
        if !newer {
            row.member.generation = generation;
            return false;
        }
        let is_death = member.state == State::Dead;
        let by_word = is_death && known.state == State::Alive;
        if is_death && known.state == State::Suspect && row.is_recent_suspect(policy, now) {
            return false;
        }
        let state = if by_word { State::Suspect } else { member.state };
        let member = Member { state, ..member };
        let is_loss =
            member.state == State::Dead && !matches!(known.state, State::Dead | State::Leaving);
        row.changed = now;
        row.second_hand = by_word;
        row.member = member;
        row.member.generation = generation;
        self.losses += u64::from(is_loss);
        self.version += 1;
        let note = Update::Member(row.member.clone());
        self.push(note);
        true
    }

    /// `id` is known to be gone: its address answers under another id.
    pub fn on_replaced(&mut self, id: InstanceId, now: Instant) {
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        if row.member.state == State::Dead {
            return;
        }
        self.losses += u64::from(row.member.state != State::Leaving);
        row.member.state = State::Dead;
        row.changed = now;
        let note = Update::Member(row.member.clone());
        self.version += 1;
        self.push(note);
    }

    /// A process that starts at an address takes the place of an earlier one.
    fn replace(&mut self, member: &Member, now: Instant) {
        let is_earlier = |row: &&Row| {
            row.member.peer == member.peer && row.member.incarnation < member.incarnation
        };
        let earlier = self.rows.values().filter(is_earlier).map(|row| row.member.id);
        let earlier: Vec<InstanceId> = earlier.collect();
        earlier.into_iter().for_each(|id| self.on_replaced(id, now));
    }

    /// Passes on a note of another kind; the caller has seen that it is news.
    pub fn broadcast(&mut self, note: Update) {
        self.push(note);
    }

    fn refute(&mut self, said: &Member) {
        let wrong = matches!(said.state, State::Suspect | State::Dead);
        if wrong && said.incarnation >= self.me.incarnation {
            self.me.incarnation = said.incarnation + 1;
            self.push(Update::Member(self.me.clone()));
        }
    }

    fn age(&mut self, now: Instant) {
        let policy = self.policy;
        let mut dead = Vec::new();
        let mut losses = 0;
        for row in self.rows.values_mut() {
            let silent = now.saturating_duration_since(row.changed);
            let patience = if row.second_hand { BY_WORD } else { 1 };
            let expired =
                row.member.state == State::Suspect && silent >= policy.suspect_timeout * patience;
            let gone = row.member.state == State::Leaving && row.misses >= MISSES;
            if expired || gone {
                losses += u64::from(expired);
                row.member.state = State::Dead;
                row.changed = now;
                dead.push(row.member.clone());
            }
        }
        self.rows.retain(|_, row| {
            let silent = now.saturating_duration_since(row.changed);
            row.member.state != State::Dead || silent < policy.dead_retention
        });
        self.losses += losses;
        self.version += dead.len() as u64;
        dead.into_iter().for_each(|member| self.push(Update::Member(member)));
        let rows = &self.rows;
        self.sent.retain(|id, _| rows.contains_key(id));
    }

    fn push(&mut self, note: Update) {
        if let Update::Member(member) = &note {
            let id = member.id;
            self.notes.retain(|(_, old)| !matches!(old, Update::Member(m) if m.id == id));
        }
        self.last_seq += 1;
        self.notes.push_back((self.last_seq, note));
        if self.notes.len() > LOG {
            self.notes.pop_front();
        }
    }
}
