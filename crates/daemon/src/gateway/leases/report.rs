//! Periodic reports of the leases held here, from which allocators recover lost messages.

use super::allocator_owner;
use crate::clock;
use crate::gateway::allocator;
use crate::gateway::message::PeerRequest;
use crate::gateway::node::Node;
use coordination::membership::Member;
use coordination::slots::HeldLease;
use protocol::{DataCentreId, InstanceId};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Reports all leases held here to the allocators until `stop`: periodically, and at once to a
/// new owner.
pub async fn report(node: Rc<Node>, stop: CancellationToken) {
    let mut reported_to: HashMap<DataCentreId, InstanceId> = HashMap::new();
    let mut last = clock::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(REPORT_INTERVAL / 4) => {}
            () = stop.cancelled() => return,
        }
        allocator::refresh(&node);
        allocator::update_shares(&node);
        let is_due = clock::since(last) >= REPORT_INTERVAL;
        if is_due {
            last = clock::now();
        }
        report_once(&node, &mut reported_to, is_due);
    }
}

fn report_once(node: &Rc<Node>, reported_to: &mut HashMap<DataCentreId, InstanceId>, is_due: bool) {
    let registry = node.registry.borrow();
    let names = node.leases.data_centres.borrow().clone();
    for name in names {
        let Some(owner) = allocator_owner(node, &name) else {
            continue;
        };
        let is_new = reported_to.insert(name.clone(), owner.id) != Some(owner.id);
        if !(is_due || is_new) {
            continue;
        }
        let active = node.leases.active.borrow();
        let is_local = |held: &&HeldLease| {
            registry.get(&held.target).is_some_and(|target| target.data_centre == name)
        };
        let held: Vec<HeldLease> =
            active.values().map(|lease| &lease.held).filter(is_local).cloned().collect();
        drop(active);
        if owner.id == node.id() {
            node.leases.allocator.borrow_mut().on_lease_report(owner.id, &held, clock::now());
        } else {
            node.notify(owner.peer, PeerRequest::LeaseReport(node.id(), held));
        }
        if is_new {
            tell_knowledge(node, &name, &owner);
        }
    }
}

/// Tells a new owner of an allocator what this instance knows of its targets.
fn tell_knowledge(node: &Rc<Node>, data_centre: &str, owner: &Member) {
    let knowledge = {
        let registry = node.registry.borrow();
        let is_local = |target: &str| {
            registry.get(target).is_some_and(|target| target.data_centre == data_centre)
        };
        node.leases.sent_prompts.borrow().of_targets(is_local)
    };
    if knowledge.is_empty() {
        return;
    }
    slog::info!(node.log, "knowledge of targets told"; "data_centre" => data_centre,
        "to" => %owner.peer, "prompts" => knowledge.len());
    if owner.id == node.id() {
        node.leases.allocator.borrow_mut().on_knowledge(&knowledge, clock::now());
    } else {
        node.notify(owner.peer, PeerRequest::Knowledge(knowledge));
    }
}
