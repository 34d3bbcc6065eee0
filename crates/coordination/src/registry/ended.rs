//! What targets ran that have been removed or have started again as another version.

use crate::releases::Release;
use protocol::SoftwareVersion;
use protocol::routing::Origin;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Longest time for which a caller takes up a stream that it can't name.
const RETURN_PERIOD: Duration = Duration::from_secs(60);

/// What streams may have begun at that isn't registered any more; `None` stands for a target of
/// which nothing is known.
#[derive(Clone, Debug, Default)]
pub(super) struct Ended(HashMap<Option<Origin>, Option<Instant>>);

impl Ended {
    /// Adds what has just ended, as far as this instance knows.
    pub(super) fn insert(&mut self, ran: Option<Origin>) {
        self.0.insert(ran, None);
    }

    /// Forgets what ended longer ago than callers return. The period starts with the first call
    /// after [`Ended::insert`].
    pub(super) fn remove_expired(&mut self, now: Instant) {
        for expires in self.0.values_mut() {
            expires.get_or_insert(now + RETURN_PERIOD);
        }
        self.0.retain(|_, expires| expires.is_some_and(|expires| now < expires));
    }

    /// Versions of a service that have ended; `None` for an unknown one.
    pub(super) fn versions(&self, service: &str) -> impl Iterator<Item = Option<&SoftwareVersion>> {
        let may_serve =
            move |ran: &&Option<Origin>| ran.as_ref().is_none_or(|ran| ran.service == service);
        self.0.keys().filter(may_serve).map(|ran| ran.as_ref()?.software.as_ref())
    }

    /// Versions that have ended, as far as they are known.
    pub(super) fn releases(&self) -> impl Iterator<Item = Release> {
        let known = self.0.keys().flatten();
        known.map(|ran| Release::new(ran.service.clone(), ran.software.clone()))
    }
}
