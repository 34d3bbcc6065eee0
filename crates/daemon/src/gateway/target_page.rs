//! Compact form of registry entries, for instances that fetch many of them.
//!
//! A page lists each service, data centre and software version once, and entries refer to them by
//! their index in these lists. Field names have one letter on the wire. Both halve the bytes of an
//! entry compared with a [`Change`].

use coordination::registry::{Change, Page};
use protocol::routing::{Origin, Target};
use protocol::{DataCentreId, Millis, ServiceId, SoftwareVersion, TargetId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;

/// A page of registry entries.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TargetPage {
    services: Vec<ServiceId>,
    data_centres: Vec<DataCentreId>,
    /// With `None` for targets that state no version; empty from an earlier build.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    software: Vec<Option<SoftwareVersion>>,
    targets: Vec<Entry>,
    removed: Vec<Removal>,
    /// From where the next page continues, a bucket or a revision; `None` after the last one.
    pub next: Option<u64>,
    /// Revision up to which the sender knows all changes.
    pub complete_through: u64,
}

/// A target; its service, data centre and software version are indexes into the page's lists.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    #[serde(rename = "i")]
    id: TargetId,
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    started_at: Millis,
    #[serde(rename = "s")]
    service: usize,
    #[serde(rename = "a")]
    address: SocketAddr,
    #[serde(rename = "d")]
    data_centre: usize,
    #[serde(rename = "n")]
    slots: u32,
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    leaving: bool,
    #[serde(rename = "r")]
    revision: u64,
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    cold_left_ms: Millis,
    #[serde(rename = "v", default, skip_serializing_if = "is_first")]
    software: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Removal {
    #[serde(rename = "i")]
    id: TargetId,
    #[serde(rename = "r")]
    revision: u64,
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    ran: Option<Origin>,
}

fn is_zero(value: &Millis) -> bool {
    *value == 0
}

fn is_first(index: &usize) -> bool {
    *index == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}

/// Names in the order of their first use.
#[derive(Default)]
struct Names<T> {
    list: Vec<T>,
    indexes: HashMap<T, usize>,
}

impl<T: Clone + Eq + Hash> Names<T> {
    fn index(&mut self, name: T) -> usize {
        *self.indexes.entry(name).or_insert_with_key(|name| {
            self.list.push(name.clone());
            self.list.len() - 1
        })
    }
}

impl TargetPage {
    /// The page of an instance that knows all changes up to `complete_through`.
    pub fn new(page: Page, complete_through: u64) -> TargetPage {
        let (mut services, mut data_centres) = (Names::default(), Names::default());
        let mut software = Names::default();
        let mut packed = TargetPage { next: page.next, complete_through, ..TargetPage::default() };
        for change in page.changes {
            match change {
                Change::Present(target) => packed.targets.push(Entry {
                    id: target.id,
                    started_at: target.started_at,
                    service: services.index(target.service),
                    address: target.address,
                    data_centre: data_centres.index(target.data_centre),
                    slots: target.slots,
                    leaving: target.leaving,
                    revision: target.revision,
                    cold_left_ms: target.cold_left_ms,
                    software: software.index(target.software),
                }),
                Change::Gone { id, revision, ran } => {
                    packed.removed.push(Removal { id, revision, ran });
                }
            }
        }
        TargetPage {
            services: services.list,
            data_centres: data_centres.list,
            software: software.list,
            ..packed
        }
    }

    /// The changes of the page, without entries that name no service or data centre of it.
    pub fn into_changes(self) -> Vec<Change> {
        let TargetPage { services, data_centres, software, targets, removed, .. } = self;
        let unpack = |entry: Entry| {
            Some(Change::Present(Target {
                id: entry.id,
                started_at: entry.started_at,
                service: services.get(entry.service)?.clone(),
                address: entry.address,
                data_centre: data_centres.get(entry.data_centre)?.clone(),
                slots: entry.slots,
                leaving: entry.leaving,
                revision: entry.revision,
                cold_left_ms: entry.cold_left_ms,
                software: software.get(entry.software).cloned().flatten(),
            }))
        };
        let removal = |Removal { id, revision, ran }| Change::Gone { id, revision, ran };
        targets.into_iter().filter_map(unpack).chain(removed.into_iter().map(removal)).collect()
    }
}
