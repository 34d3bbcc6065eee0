//! What the next keeper of a data centre's ledger starts from.

use super::{Demand, Ledger, ReportId, Sharer};
use protocol::DataCentreId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;

/// The demands that determine the shares of a ledger. Sent to another instance of the same data
/// centre, so that a ledger that starts there inside a network partition keeps these shares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Data centre of the ledger.
    pub data_centre: DataCentreId,
    /// Demand with which the ledger counts itself.
    pub demand: Demand,
    /// Demand of the other data centres, without those that have not reported.
    pub others: BTreeMap<DataCentreId, Demand>,
}

impl Ledger {
    /// What the next keeper of this ledger needs.
    pub fn snapshot(&self) -> Snapshot {
        let lower = |(workspace, demand): (&String, &f64)| {
            let proposed = self.proposed.get(workspace).copied().unwrap_or_default();
            (workspace.clone(), demand.min(proposed))
        };
        let reported = self.sharers.iter();
        Snapshot {
            data_centre: self.data_centre.clone(),
            demand: self.settled.iter().map(lower).collect(),
            others: reported
                .filter_map(|(name, sharer)| Some((name.clone(), sharer.as_ref()?.demand.clone())))
                .collect(),
        }
    }

    /// Takes over the shares of the ledger's last keeper. Reports received since take precedence.
    pub fn restore(&mut self, snapshot: Snapshot, now: Instant) {
        self.proposed.clone_from(&snapshot.demand);
        self.settled = snapshot.demand;
        for (name, demand) in snapshot.others {
            if let Some(sharer @ None) = self.sharers.get_mut(&name) {
                // No ledger has reported with the default id, so this acknowledges nothing.
                let id = ReportId::default();
                *sharer = Some(Sharer { id, demand, received_at: now, acknowledged: None });
            }
        }
    }
}
