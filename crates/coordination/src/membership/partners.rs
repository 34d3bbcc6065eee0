//! The members that one member sends heartbeats to, and the part of a data centre that it reaches.

use super::entry::{Entry, Loss};
use super::{Member, MemberTable, State};
use crate::InstanceId;
use std::time::{Duration, Instant};

impl MemberTable {
    /// The members that the owner sends heartbeats to.
    pub fn fingers(&self) -> Vec<InstanceId> {
        self.fingers_among(|_| true)
    }

    /// As [`MemberTable::fingers`], among the members of the owner's data centre.
    pub fn local_fingers(&self) -> Vec<InstanceId> {
        self.fingers_among(|member| member.data_centre == self.me.data_centre)
    }

    fn fingers_among(&self, is_included: impl Fn(&Member) -> bool) -> Vec<InstanceId> {
        let included = self.others().filter(|member| is_included(member));
        let ring: Vec<InstanceId> = included.map(|m| m.id).collect();
        let Some(max_fingers) = ring.len().checked_ilog2().map(|log| log as usize + 1) else {
            return Vec::new();
        };
        let successor_of =
            |id: InstanceId| ring[ring.partition_point(|other| *other < id) % ring.len()];
        let mut fingers = vec![successor_of(self.me.id.wrapping_add(1))];
        let distances = (0..InstanceId::BITS).rev().map(|bit| 1 << bit);
        for finger in distances.map(|distance| successor_of(self.me.id.wrapping_add(distance))) {
            if fingers.len() >= max_fingers {
                break;
            }
            if !fingers.contains(&finger) {
                fingers.push(finger);
            }
        }
        fingers
    }

    /// Part of a data centre's members that is in touch, in 0..=1: those that were lost without
    /// leaving may be alive in another part of a partitioned network. 1 for a data centre that has
    /// had no members.
    pub fn reachable_ratio(&self, data_centre: &str, now: Instant) -> f64 {
        let is_local = |member: &&Member| member.data_centre == data_centre;
        let is_lost = |id: InstanceId| {
            let loss = self.entries.get(&id).and_then(|entry| entry.loss);
            loss.is_some_and(|loss| loss.counts(now))
        };
        let in_touch = self.workers().filter(is_local).filter(|member| !is_lost(member.id)).count();
        let lost = self.entries.values().filter(|entry| {
            is_local(&&entry.member) && entry.loss.is_some_and(|loss| loss.counts(now))
        });
        let all = in_touch + lost.count();
        if all == 0 { 1.0 } else { in_touch as f64 / all as f64 }
    }

    /// Members that were lost without leaving within `period`, and that no other one has replaced:
    /// they may be alive in another part of a partitioned network.
    pub fn lost(&self, period: Duration, now: Instant) -> impl Iterator<Item = &Member> {
        let is_lost = move |entry: &&Entry| {
            let is_recent = |loss: Loss| now.saturating_duration_since(loss.at) < period;
            entry.member.state == State::Dead && entry.loss.is_some_and(is_recent)
        };
        self.entries.values().filter(is_lost).map(|entry| &entry.member)
    }
}
