//! Entries of runners in the platform's registry.

use super::Fleet;
use serde_json::{Value, json};
use standin::runner::{Identity, Runner};
use std::net::SocketAddr;

impl Fleet {
    /// Changes the entry of a runner in a field that doesn't affect its use.
    pub fn touch_runner_entry(&self, n: usize) {
        let mut entry = self.runner_entry(n, "ready");
        entry["seq"] = json!(2);
        self.objects.put("servers", &self.runners[n].identity().id, entry);
    }

    /// Rewrites the entry of a runner with this software version; null leaves the field out.
    pub fn set_software(&self, n: usize, version: Value) {
        let mut entry = self.runner_entry(n, "ready");
        entry["version"] = version;
        if let Some(fields) = entry.as_object_mut() {
            fields.retain(|_, value| !value.is_null());
        }
        self.objects.put("servers", &self.runners[n].identity().id, entry);
    }

    /// Rewrites the entry of a runner with this service.
    pub fn set_service(&self, n: usize, service: &str) {
        let mut entry = self.runner_entry(n, "ready");
        entry["service"] = json!(service);
        self.objects.put("servers", &self.runners[n].identity().id, entry);
    }

    /// Writes the entry that a runner registers after a restart under the same id.
    pub fn reregister(&self, n: usize, started_at: u64) {
        let mut entry = self.runner_entry(n, "ready");
        entry["born"] = json!(started_at);
        self.objects.put("servers", &self.runners[n].identity().id, entry);
    }

    /// Rewrites the entry of a runner with this state.
    pub fn set_runner_state(&self, n: usize, state: &str) {
        let entry = self.runner_entry(n, state);
        self.objects.put("servers", &self.runners[n].identity().id, entry);
    }

    /// Removes the entry of a runner.
    pub fn remove_runner(&self, n: usize) {
        self.objects.remove("servers", &self.runners[n].identity().id);
    }

    /// Replaces a runner by another start at its address: the entry of the earlier one stays until
    /// [`Fleet::register_replacement`].
    pub fn replace_runner(&self, n: usize, software: &str) -> String {
        let earlier = self.runners[n].identity().id;
        let identity = Identity { id: format!("{earlier}x"), software: software.to_owned() };
        self.runners[n].restart_as(identity);
        earlier
    }

    /// Writes the entry of a runner that has replaced the one named `earlier`.
    pub fn register_replacement(&self, n: usize, earlier: &str) {
        self.objects.remove("servers", earlier);
        self.set_runner_state(n, "ready");
    }

    fn runner_entry(&self, n: usize, state: &str) -> Value {
        let (data_centre, config) = &self.plan.runners[n];
        let address = self.runner_addresses[n];
        runner_entry(address, data_centre, &self.runners[n], config.slots, state)
    }
}

/// Entry of a runner as it registers itself.
pub(super) fn runner_entry(
    address: SocketAddr,
    data_centre: &str,
    runner: &Runner,
    slots: usize,
    state: &str,
) -> Value {
    let software = runner.identity().software;
    let mut entry = json!({
        "service": "llm", "addr": address.to_string(), "zone": data_centre,
        "slots": slots, "state": state, "cold_left_ms": 0, "seq": 1,
    });
    if !software.is_empty() {
        entry["version"] = json!(software);
    }
    entry
}
