//! A tree over which the instances of a data centre pass on what one of them has.
//!
//! If all instances fetched from the first one, its link would carry one copy for each of them. In
//! the tree each instance sends at most [`MAX_CHILDREN`] copies, and those with the most CPU are
//! nearest to the root. All instances compute the same tree from the members that they know, so it
//! takes no messages. Where their views differ, an instance asks the ancestors behind its parent,
//! of which the root always has the text.
//!
//! ```
//! use coordination::fanout;
//!
//! let members: Vec<u64> = (1..=40).map(|n| n << 4).collect();
//! let ancestors = fanout::ancestors(members[0], members[39], &members);
//! assert_eq!(ancestors.last(), Some(&members[0]));
//! assert!(ancestors.len() <= 4);
//! assert!(fanout::ancestors(members[0], members[0], &members).is_empty());
//! ```

use crate::InstanceId;
use crate::capacity;
use crate::hash;
use std::cmp::Reverse;

/// Instances that fetch from one instance.
pub const MAX_CHILDREN: usize = 3;

/// The instances from which `me` may fetch what `root` has: its parent first, the root last. Empty
/// for the root itself. An instance that isn't among the members fetches from the root.
pub fn ancestors(root: InstanceId, me: InstanceId, members: &[InstanceId]) -> Vec<InstanceId> {
    if me == root {
        return Vec::new();
    }
    let mut ranked: Vec<InstanceId> = members.iter().copied().filter(|id| *id != root).collect();
    ranked.sort_by_key(|id| (Reverse(capacity::class(*id)), hash::weight(b"fanout", *id), *id));
    let Some(rank) = ranked.iter().position(|id| *id == me) else {
        return vec![root];
    };
    let mut ancestors = Vec::new();
    // The root has position 0 of the tree, so the ranked ones begin at position 1.
    let mut position = rank + 1;
    while position > 0 {
        position = (position - 1) / MAX_CHILDREN;
        ancestors.push(position.checked_sub(1).map_or(root, |rank| ranked[rank]));
    }
    ancestors
}
