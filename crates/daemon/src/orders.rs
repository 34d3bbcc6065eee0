//! Orders to targets: one controller at a time, elected by a lease on the platform.
//!
//! A lease is claimed only while a target differs from the configuration, so that a settled
//! fleet makes no platform calls for it.

use crate::clock;
use crate::fleet::{FleetTarget, View, lock};
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

/// Interval between comparisons of the targets with the configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A lease as this instance has observed and holds it.
#[derive(Clone, Copy)]
struct LeaseState {
    holder: InstanceId,
    observed: Option<Observation>,
    held: Option<Held>,
    revision: Option<Revision>,
}

/// Controller of one target.
struct Controller {
    lease: LeaseState,
    /// The service's load slots as observed. An observation must be kept: the slot of a
    /// dead holder is free only after it was unchanged for a whole lease.
    slots: BTreeMap<u32, LeaseState>,
    slot_holder: InstanceId,
    /// Number of the slot that is held.
    slot: Option<u32>,
    draining: bool,
}

/// Brings owned targets to the configured state until `stop`.
pub async fn run(shared: Arc<Shared>, client: Client, stop: CancellationToken) {
    let mut controllers: HashMap<String, Controller> = HashMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let view = shared.view();
        if !view.ready {
            continue;
        }
        let owned = shared.owned_targets();
        for target in owned.iter() {
            let new_controller = || Controller::new(&shared, target);
            let controller =
                controllers.entry(target.config.name.clone()).or_insert_with(new_controller);
            controller.step(&shared, &client, &view, target).await;
        }
        let is_owned = |name: &String| owned.iter().any(|target| target.config.name == *name);
        let disowned: Vec<String> =
            controllers.keys().filter(|name| !is_owned(name)).cloned().collect();
        for name in disowned {
            if let (Some(mut controller), Some(target)) =
                (controllers.remove(&name), view.targets.get(&name))
            {
                controller.release_all(&shared, target).await;
            }
        }
    }
}

impl Controller {
    fn new(shared: &Shared, target: &FleetTarget) -> Controller {
        // The holder of a slot is unique to instance and target: one instance may own two
        // targets of a service, and each needs a slot of its own.
        let slot_holder = shared.id ^ target.id;
        Controller {
            lease: LeaseState::new(shared.id),
            slots: BTreeMap::new(),
            slot_holder,
            slot: None,
            draining: false,
        }
    }

    async fn step(&mut self, shared: &Shared, client: &Client, view: &View, target: &FleetTarget) {
        let Some((actual, desired)) = actual_and_desired(view, target) else {
            return;
        };
        let others = count_serving_others(view, target);
        match rollout::step(&actual, &desired, self.draining, others) {
            Step::UpToDate => self.release_all(shared, target).await,
            Step::Wait => {}
            Step::KeepServing => {
                slog::debug!(shared.log, "order deferred: no other target would serve";
                "target" => &target.config.name)
            }
            Step::Drain => {
                if self.acquire(shared, view, target).await {
                    self.set_draining(shared, target, true);
                }
            }
            Step::Order(order) => {
                if self.acquire(shared, view, target).await {
                    self.order(shared, client, target, order).await;
                }
            }
        }
    }

    /// Acquires the target's lease and one of the service's load slots.
    async fn acquire(&mut self, shared: &Shared, view: &View, target: &FleetTarget) -> bool {
        if shared.settings.is_guard_disabled("lease") {
            return true;
        }
        let key = object_key::target_lease(&target.config.name);
        if !self.lease.acquire(shared, &key).await {
            return false;
        }
        if let Some(number) = self.slot {
            return self.acquire_slot(shared, target, number).await;
        }
        let slots = view.document.weights.as_ref().map_or(1, |weights| weights.loads_at_once);
        for number in 0..slots {
            if self.acquire_slot(shared, target, number).await {
                self.slot = Some(number);
                return true;
            }
        }
        false
    }

    async fn acquire_slot(&mut self, shared: &Shared, target: &FleetTarget, number: u32) -> bool {
        let key = object_key::load_slot(&target.config.service, number);
        let holder = self.slot_holder;
        let slot = self.slots.entry(number).or_insert_with(|| LeaseState::new(holder));
        slot.acquire(shared, &key).await
    }

    async fn order(&self, shared: &Shared, client: &Client, target: &FleetTarget, order: Desired) {
        let without_lease = shared.settings.is_guard_disabled("lease");
        let lifetime = shared.settings.order_lifetime;
        let held = self.lease.held;
        let is_lease_sufficient = held.is_some_and(|held| held.may_order(lifetime, Instant::now()));
        if !is_lease_sufficient && !without_lease {
            return;
        }
        let fence = held.map_or(0, |held| held.record.epoch);
        let Desired { version, adapters } = order;
        let order = Order { version, adapters };
        let sent = client.order(target.config.address, &order, fence, lifetime).await;
        match sent {
            Ok(()) => slog::info!(shared.log, "order sent"; "target" => &target.config.name,
                "version" => &order.version, "fence" => fence),
            Err(error) => slog::warn!(shared.log, "order failed"; "target" => &target.config.name,
                "fence" => fence, "reason" => error.message),
        }
    }

    fn set_draining(&mut self, shared: &Shared, target: &FleetTarget, draining: bool) {
        self.draining = draining;
        let notice = Notice { leaving: draining, stamp: clock::millis() };
        shared.report_leaving(&target.config.name, Source::Controller, notice);
    }

    /// Releases lease and slot: the target is as configured, or no longer owned.
    async fn release_all(&mut self, shared: &Shared, target: &FleetTarget) {
        // A controller that died may have left its notice of leaving.
        let notice = lock(&shared.leaving_targets).notice(&target.config.name, Source::Controller);
        if self.draining || notice.is_some_and(|notice| notice.leaving) {
            self.set_draining(shared, target, false);
        }
        if let Some(number) = self.slot.take()
            && let Some(mut slot) = self.slots.remove(&number)
        {
            slot.release(shared, &object_key::load_slot(&target.config.service, number)).await;
        }
        if self.lease.held.is_some() {
            self.lease.release(shared, &object_key::target_lease(&target.config.name)).await;
        }
    }
}

impl LeaseState {
    fn new(holder: InstanceId) -> LeaseState {
        LeaseState { holder, observed: None, held: None, revision: None }
    }

    /// Whether the lease is held; claims or renews it if needed.
    async fn acquire(&mut self, shared: &Shared, key: &str) -> bool {
        let now = Instant::now();
        let lifetime = shared.settings.order_lifetime;
        let is_sufficient = |held: &Held| held.may_order(lifetime, now) && !held.should_renew(now);
        if self.held.is_some_and(|held| is_sufficient(&held)) {
            return true;
        }
        self.read(shared, key).await && self.claim(shared, key).await
    }

    async fn read(&mut self, shared: &Shared, key: &str) -> bool {
        let Ok(found) = shared.store.get(key).await else {
            return false;
        };
        let now = Instant::now();
        self.revision = found.as_ref().map(|object| object.revision);
        let record = found.and_then(|object| serde_json::from_slice::<Record>(&object.bytes).ok());
        self.observed = record.map(|record| Observation::update(self.observed, record, now));
        true
    }

    async fn claim(&mut self, shared: &Shared, key: &str) -> bool {
        let duration = shared.settings.controller_lease;
        let margin = shared.settings.order_lifetime;
        let now = Instant::now();
        let action = lease::claim(self.holder, self.observed, duration, margin, now);
        let Action::Write(record) = action else {
            self.held = None;
            return false;
        };
        let bytes = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        let condition = self.revision.map_or(Condition::Absent, Condition::Revision);
        match shared.store.put(key, bytes, condition).await {
            Ok(revision) => {
                self.revision = Some(revision);
                self.held = Some(Held { record, since: now, length: duration });
                true
            }
            // If the write did succeed, the next read shows this instance as the holder,
            // and the lease is counted from the later write.
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
        let condition = self.revision.map_or(Condition::Any, Condition::Revision);
        // If the release fails, the lease expires.
        drop(shared.store.put(key, bytes, condition).await);
        *self = LeaseState::new(self.holder);
    }
}

fn actual_and_desired(view: &View, target: &FleetTarget) -> Option<(Actual, Desired)> {
    let service = view.document.services.get(&target.config.service)?;
    if service.protocol != Protocol::Chat {
        return None;
    }
    let report = lock(&target.state).report.clone()?;
    let mut adapters = target.config.adapters.clone();
    adapters.sort();
    let mut loaded = report.adapters;
    loaded.sort();
    let running = report.online + report.batch;
    let actual = Actual { version: report.version, adapters: loaded, busy: report.busy, running };
    Some((actual, Desired { version: service.version.clone(), adapters }))
}

/// Number of other targets of the service that serve now.
fn count_serving_others(view: &View, target: &FleetTarget) -> usize {
    let Some(service_targets) = view.services.get(&target.config.service) else {
        return 0;
    };
    let others = service_targets.targets.iter().filter(|other| other.id != target.id);
    let serves =
        |report: &transport::target::LoadReport| !report.busy && !report.version.is_empty();
    others.filter(|other| lock(&other.state).report.as_ref().is_some_and(serves)).count()
}
