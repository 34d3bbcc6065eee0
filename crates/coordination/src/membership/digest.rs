//! Comparison of the views of two members.

use super::{Member, MemberTable, State};
use crate::{InstanceId, hash};

/// Number of buckets that two members compare by digest.
pub const DIGEST_BUCKETS: usize = 64;

fn bucket(id: InstanceId) -> usize {
    // The low bits hold the capacity class.
    (id >> 8) as usize % DIGEST_BUCKETS
}

impl MemberTable {
    /// Digest of the members; equal on members that know the same.
    pub fn digest(&self) -> u64 {
        self.digests().into_iter().fold(0, u64::wrapping_add)
    }

    /// Digest by bucket, for [`MemberTable::in_differing_buckets`] of another member.
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0_u64; DIGEST_BUCKETS];
        for member in std::iter::once(&self.me).chain(self.others()) {
            let is_leaving = u64::from(member.state == State::Leaving);
            let digest = &mut digests[bucket(member.id)];
            *digest = digest.wrapping_add(hash::weight(b"member", member.id << 1 | is_leaving));
        }
        digests
    }

    /// Members in the buckets whose digests differ, also dead ones, for a member that is out of
    /// date.
    pub fn in_differing_buckets(&self, digests: &[u64]) -> Vec<Member> {
        let local = self.digests();
        let differs = |id: InstanceId| digests.get(bucket(id)) != local.get(bucket(id));
        let entries = self.entries.values().map(|entry| &entry.member);
        let all = std::iter::once(&self.me).chain(entries);
        all.filter(|member| differs(member.id)).cloned().collect()
    }
}
