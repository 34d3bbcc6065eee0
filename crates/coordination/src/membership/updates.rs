//! Updates about members, and which of them each partner has received.

use super::entry::Entry;
use super::{Member, MemberTable, State, Update};
use crate::InstanceId;

/// Most updates of other kinds that are kept for members that lack them.
const MAX_OTHER_UPDATES: usize = 512;
const MAX_UPDATES_PER_MESSAGE: usize = 64;

impl MemberTable {
    /// Whether a member lacks the latest updates; `false` if it is dead, since it would never
    /// confirm any.
    pub fn is_out_of_date(&self, id: InstanceId) -> bool {
        let is_member =
            self.entries.get(&id).is_some_and(|entry| entry.member.state != State::Dead);
        is_member && self.delivered.get(&id).copied().unwrap_or(0) < self.last_seq
    }

    /// Fingers that lack the latest updates.
    pub fn out_of_date(&self) -> Vec<Member> {
        let fingers = self.fingers();
        let out_of_date = fingers.iter().filter(|id| self.is_out_of_date(**id));
        let entries = out_of_date.filter_map(|id| self.entries.get(id));
        entries.map(|entry| entry.member.clone()).collect()
    }

    /// Updates for `to`, and the cursor to confirm with [`MemberTable::on_delivered`]. A suspicion
    /// of `to` itself comes first: only `to` can refute it, and after a partition there are more
    /// updates than fit in one message.
    pub fn updates_for(&self, to: InstanceId) -> (u64, Vec<Update>) {
        let from = self.delivered.get(&to).copied().unwrap_or(0);
        let undelivered = self.updates.range(from + 1..).take(MAX_UPDATES_PER_MESSAGE);
        let page: Vec<(u64, Update)> =
            undelivered.map(|(at, update)| (*at, update.clone())).collect();
        let cursor = page.last().map_or(self.last_seq, |(at, _)| *at);
        let suspicion = self.suspicion_of(to);
        (cursor, suspicion.into_iter().chain(page.into_iter().map(|(_, update)| update)).collect())
    }

    /// The update that lets `id` refute its suspicion or death; `None` if it counts as alive.
    pub fn suspicion_of(&self, id: InstanceId) -> Option<Update> {
        let is_suspected =
            |entry: &&Entry| matches!(entry.member.state, State::Suspect | State::Dead);
        let entry = self.entries.get(&id).filter(is_suspected);
        entry.map(|entry| Update::Member(entry.member.clone()))
    }

    /// `to` has received the updates up to `cursor`.
    pub fn on_delivered(&mut self, to: InstanceId, cursor: u64) {
        let delivered = self.delivered.entry(to).or_insert(0);
        *delivered = cursor.max(*delivered);
    }

    /// Drops what is kept about members that are no longer known.
    pub(super) fn forget_removed(&mut self) {
        let (entries, me) = (&self.entries, self.me.id);
        let is_known = |id: &InstanceId| *id == me || entries.contains_key(id);
        self.delivered.retain(|id, _| is_known(id));
        let updates = &mut self.updates;
        self.member_updates.retain(|id, seq| {
            let is_kept = is_known(id);
            if !is_kept {
                updates.remove(seq);
            }
            is_kept
        });
    }

    pub(super) fn enqueue(&mut self, update: Update) {
        self.last_seq += 1;
        if let Update::Member(member) = &update {
            let earlier = self.member_updates.insert(member.id, self.last_seq);
            earlier.into_iter().for_each(|seq| drop(self.updates.remove(&seq)));
        }
        self.updates.insert(self.last_seq, update);
        // A fleet that starts brings one update for each member.
        if self.updates.len() > MAX_OTHER_UPDATES + self.member_updates.len()
            && let Some((_, Update::Member(member))) = self.updates.pop_first()
        {
            self.member_updates.remove(&member.id);
        }
    }
}
