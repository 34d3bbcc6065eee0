//! What began the streams that callers may take up again at another instance.
//!
//! The instance that forwards the first event of a stream stores the stream's origin at a few
//! others, by rendezvous hashing of the caller's attempt: two of its own data centre, as callers
//! mostly return there, and one elsewhere. Another instance that the caller returns to asks the
//! members that may have it. An origin is kept for as long as its caller may return.
//!
//! ```
//! use coordination::origins::Table;
//! use protocol::routing::Origin;
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let origin = Origin { service: "llm".into(), software: Some("v1".into()) };
//! let mut table = Table::default();
//! table.store("attempt".into(), origin.clone(), Duration::from_secs(5), now);
//! assert_eq!(table.get("attempt", now), Some(&origin));
//! assert_eq!(table.get("attempt", now + Duration::from_secs(6)), None);
//! ```

use crate::{InstanceId, hash};
use protocol::routing::Origin;
use protocol::{AttemptId, DataCentreId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Copies in the data centre of the instance that began the stream, beside its own.
const NEAR_COPIES: usize = 2;
/// Copies in other data centres; each missing one nearby adds one.
const FAR_COPIES: usize = 1;
/// Members of each data centre that may have a copy: those that store them, one that has joined
/// since, and the instance that began the stream.
const ASKED_PER_DATA_CENTRE: usize = NEAR_COPIES + 2;
/// Cap on origins; beyond it, the first to expire is dropped.
const MAX_ORIGINS: usize = 65_536;

/// Origins of streams, by the attempt that brought the first event.
#[derive(Clone, Debug, Default)]
pub struct Table {
    origins: HashMap<AttemptId, Stored>,
    by_expiry: BTreeSet<(Instant, AttemptId)>,
    longest_lifetime: Duration,
}

#[derive(Clone, Debug)]
struct Stored {
    origin: Origin,
    expires: Instant,
}

impl Table {
    /// Stores an origin for `lifetime`; one known for the attempt is replaced.
    pub fn store(&mut self, attempt: AttemptId, origin: Origin, lifetime: Duration, now: Instant) {
        self.remove_expired(now);
        self.longest_lifetime = self.longest_lifetime.max(lifetime);
        let expires = now + lifetime;
        let stored = Stored { origin, expires };
        if let Some(before) = self.origins.insert(attempt.clone(), stored) {
            self.by_expiry.remove(&(before.expires, attempt.clone()));
        }
        self.by_expiry.insert((expires, attempt));
        if self.origins.len() > MAX_ORIGINS {
            self.remove_first();
        }
    }

    /// The origin of the stream that an attempt began; `None` if it is unknown or has expired.
    pub fn get(&self, attempt: &str, now: Instant) -> Option<&Origin> {
        let stored = self.origins.get(attempt).filter(|stored| now < stored.expires);
        stored.map(|stored| &stored.origin)
    }

    /// Longest lifetime of any origin so far.
    pub fn longest_lifetime(&self) -> Duration {
        self.longest_lifetime
    }

    /// Number of origins that are stored.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no origin is stored.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.by_expiry.first().is_some_and(|(expires, _)| *expires <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, attempt)) = self.by_expiry.pop_first() {
            self.origins.remove(&attempt);
        }
    }
}

/// A member that origins may be stored at.
pub type Place<'a> = (InstanceId, &'a DataCentreId);

/// The members that store the origin of an attempt beside the instance in `data_centre` that began
/// it, which isn't among `others`.
pub fn keepers(attempt: &str, data_centre: &str, others: &[Place<'_>]) -> Vec<InstanceId> {
    let (near, far): (Vec<Place<'_>>, Vec<Place<'_>>) =
        others.iter().partition(|(_, name)| *name == data_centre);
    let mut keepers = highest(attempt, near, NEAR_COPIES);
    let missing = NEAR_COPIES - keepers.len();
    keepers.extend(highest(attempt, far, FAR_COPIES + missing));
    keepers
}

/// The members that may have the origin of an attempt, wherever it began.
pub fn candidates(attempt: &str, others: &[Place<'_>]) -> Vec<InstanceId> {
    let mut by_data_centre: BTreeMap<&DataCentreId, Vec<Place<'_>>> = BTreeMap::new();
    for place in others {
        by_data_centre.entry(place.1).or_default().push(*place);
    }
    let of_each = by_data_centre.into_values();
    of_each.flat_map(|places| highest(attempt, places, ASKED_PER_DATA_CENTRE)).collect()
}

/// The members with the highest weights for an attempt.
fn highest(attempt: &str, mut places: Vec<Place<'_>>, count: usize) -> Vec<InstanceId> {
    places.sort_by_key(|(id, _)| Reverse((hash::weight(attempt.as_bytes(), *id), *id)));
    places.into_iter().take(count).map(|(id, _)| id).collect()
}
