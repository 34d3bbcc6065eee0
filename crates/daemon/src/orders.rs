//! Orders to targets: one controller at a time, by a lease on the platform.
//!
//! A lease is taken only when a target differs from the configuration, so a
//! settled fleet makes no platform calls for it.

use crate::clock;
use crate::fleet::{Node, View, lock};
use crate::shared::Shared;
use bytes::Bytes;
use coordination::lease::{self, Action, Held, Observation, Record};
use coordination::leaving::{Notice, Source};
use coordination::rollout::{self, Actual, Desired, Step};
use platform::key_value::Condition;
use platform::store::Revision;
use protocol::InstanceId;
use protocol::config::Protocol;
use state::object_key;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;
use transport::target::{Client, Order};

/// Time between looks at the targets.
const LOOK: Duration = Duration::from_millis(200);

/// A lease as this instance knows it.
#[derive(Clone, Copy)]
struct Known {
    holder: InstanceId,
    sight: Option<Observation>,
    held: Option<Held>,
    version: Option<Revision>,
}

/// One target's controller state.
struct Controller {
    lease: Known,
    /// The service's load slots as this controller has seen them. What was seen
    /// must be kept: a slot of a holder that died is free only after it was
    /// seen unchanged for a whole lease.
    slots: BTreeMap<u32, Known>,
    slot_holder: InstanceId,
    /// The slot that is held.
    slot: Option<u32>,
    draining: bool,
}

/// Brings targets to the configured state until `stop`.
pub async fn run(shared: Arc<Shared>, client: Client, stop: CancellationToken) {
    let mut controllers: HashMap<String, Controller> = HashMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOOK) => {}
            () = stop.cancelled() => return,
        }
        let view = shared.view();
        if !view.ready {
            continue;
        }
        let charge = shared.owned_targets();
        for node in charge.iter() {
            let fresh = || Controller::new(&shared, node);
            let controller = controllers.entry(node.target.name.clone()).or_insert_with(fresh);
            controller.step(&shared, &client, &view, node).await;
        }
        let is_mine = |name: &String| charge.iter().any(|node| node.target.name == *name);
        let lost: Vec<String> = controllers.keys().filter(|name| !is_mine(name)).cloned().collect();
        for name in lost {
            if let (Some(mut controller), Some(node)) =
                (controllers.remove(&name), view.nodes.get(&name))
            {
                controller.finish(&shared, node).await;
            }
        }
    }
}

impl Controller {
    fn new(shared: &Shared, node: &Node) -> Controller {
        // Two targets of one service may be in one instance's charge; each needs
        // a slot of its own, so a slot's holder is instance and target.
        let slot_holder = shared.id ^ node.id;
        Controller {
            lease: Known::new(shared.id),
            slots: BTreeMap::new(),
            slot_holder,
            slot: None,
            draining: false,
        }
    }

    async fn step(&mut self, shared: &Shared, client: &Client, view: &View, node: &Node) {
        let Some((actual, desired)) = compare(view, node) else {
            return;
        };
        let others = serving(view, node);
        match rollout::step(&actual, &desired, self.draining, others) {
            Step::UpToDate => self.finish(shared, node).await,
            Step::Wait => {}
            Step::KeepServing => slog::debug!(shared.log, "order waits for another target";
                "target" => &node.target.name),
            Step::Drain => {
                if self.enter(shared, view, node).await {
                    self.set_draining(shared, node, true);
                }
            }
            Step::Order(order) => {
                if self.enter(shared, view, node).await {
                    self.order(shared, client, node, order).await;
                }
            }
        }
    }

    /// Takes the target's lease and one of the service's load slots.
    async fn enter(&mut self, shared: &Shared, view: &View, node: &Node) -> bool {
        if shared.settings.is_guard_disabled("lease") {
            return true;
        }
        let key = object_key::target_lease(&node.target.name);
        if !self.lease.hold(shared, &key).await {
            return false;
        }
        if let Some(number) = self.slot {
            return self.hold_slot(shared, node, number).await;
        }
        let slots = view.document.weights.as_ref().map_or(1, |weights| weights.loads_at_once);
        for number in 0..slots {
            if self.hold_slot(shared, node, number).await {
                self.slot = Some(number);
                return true;
            }
        }
        false
    }

    async fn hold_slot(&mut self, shared: &Shared, node: &Node, number: u32) -> bool {
        let key = object_key::load_slot(&node.target.service, number);
        let holder = self.slot_holder;
        let slot = self.slots.entry(number).or_insert_with(|| Known::new(holder));
        slot.hold(shared, &key).await
    }

    async fn order(&self, shared: &Shared, client: &Client, node: &Node, order: Desired) {
        let unguarded = shared.settings.is_guard_disabled("lease");
        let lifetime = shared.settings.order_lifetime;
        let held = self.lease.held;
        let may = held.is_some_and(|held| held.may_order(lifetime, Instant::now()));
        if !may && !unguarded {
            return;
        }
        let fence = held.map_or(0, |held| held.record.epoch);
        let Desired { version, adapters } = order;
        let order = Order { version, adapters };
        let sent = client.order(node.target.address, &order, fence, lifetime).await;
        match sent {
            Ok(()) => slog::info!(shared.log, "order given"; "target" => &node.target.name,
                "version" => &order.version, "fence" => fence),
            Err(fault) => slog::warn!(shared.log, "order failed"; "target" => &node.target.name,
                "fence" => fence, "reason" => fault.message),
        }
    }

    fn set_draining(&mut self, shared: &Shared, node: &Node, draining: bool) {
        self.draining = draining;
        let word = Notice { leaving: draining, stamp: clock::millis() };
        shared.report_leaving(&node.target.name, Source::Controller, word);
    }

    /// Gives everything back: the target is as wanted, or no longer ours.
    async fn finish(&mut self, shared: &Shared, node: &Node) {
        // A controller that died may have left its word behind.
        let word = lock(&shared.leaving_targets).notice(&node.target.name, Source::Controller);
        if self.draining || word.is_some_and(|word| word.leaving) {
            self.set_draining(shared, node, false);
        }
        if let Some(number) = self.slot.take()
            && let Some(mut slot) = self.slots.remove(&number)
        {
            slot.release(shared, &object_key::load_slot(&node.target.service, number)).await;
        }
        if self.lease.held.is_some() {
            self.lease.release(shared, &object_key::target_lease(&node.target.name)).await;
        }
    }
}

impl Known {
    fn new(holder: InstanceId) -> Known {
        Known { holder, sight: None, held: None, version: None }
    }

    /// Whether the lease is held now; tries to take or renew it.
    async fn hold(&mut self, shared: &Shared, key: &str) -> bool {
        let now = Instant::now();
        let lifetime = shared.settings.order_lifetime;
        let enough = |held: &Held| held.may_order(lifetime, now) && !held.should_renew(now);
        if self.held.is_some_and(|held| enough(&held)) {
            return true;
        }
        self.look(shared, key).await && self.take(shared, key).await
    }

    async fn look(&mut self, shared: &Shared, key: &str) -> bool {
        let Ok(found) = shared.store.get(key).await else {
            return false;
        };
        let now = Instant::now();
        self.version = found.as_ref().map(|object| object.revision);
        let record = found.and_then(|object| serde_json::from_slice::<Record>(&object.bytes).ok());
        self.sight = record.map(|record| Observation::update(self.sight, record, now));
        true
    }

    async fn take(&mut self, shared: &Shared, key: &str) -> bool {
        let length = shared.settings.controller_lease;
        let margin = shared.settings.order_lifetime;
        let now = Instant::now();
        let claim = lease::claim(self.holder, self.sight, length, margin, now);
        let Action::Write(record) = claim else {
            self.held = None;
            return false;
        };
        let bytes = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        let condition = self.version.map_or(Condition::Absent, Condition::Revision);
        match shared.store.put(key, bytes, condition).await {
            Ok(version) => {
                self.version = Some(version);
                self.held = Some(Held { record, since: now, length });
                true
            }
            // A lost answer is found out at the next look: the record then names
            // this instance, and holding it is counted from that later write.
            Err(_) => {
                self.held = None;
                false
            }
        }
    }

    async fn release(&mut self, shared: &Shared, key: &str) {
        let Some(held) = self.held.take() else {
            return;
        };
        let record = Record { holder: 0, ..held.record };
        let bytes = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        let condition = self.version.map_or(Condition::Any, Condition::Revision);
        // Not given back, the lease lapses by itself.
        drop(shared.store.put(key, bytes, condition).await);
        *self = Known::new(self.holder);
    }
}

fn compare(view: &View, node: &Node) -> Option<(Actual, Desired)> {
    let service = view.document.services.get(&node.target.service)?;
    if service.protocol != Protocol::Chat {
        return None;
    }
    let report = lock(&node.state).report.clone()?;
    let mut adapters = node.target.adapters.clone();
    adapters.sort();
    let mut loaded = report.adapters;
    loaded.sort();
    let running = report.online + report.batch;
    let actual = Actual { version: report.version, adapters: loaded, busy: report.busy, running };
    Some((actual, Desired { version: service.version.clone(), adapters }))
}

/// Other targets of the service that serve now.
fn serving(view: &View, node: &Node) -> usize {
    let Some(bound) = view.services.get(&node.target.service) else {
        return 0;
    };
    let others = bound.nodes.iter().filter(|other| other.id != node.id);
    let serves =
        |report: &transport::target::LoadReport| !report.busy && !report.version.is_empty();
    others.filter(|other| lock(&other.state).report.as_ref().is_some_and(serves)).count()
}
