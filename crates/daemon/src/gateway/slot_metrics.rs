//! Metrics of the slot allocators that run here: learned times, targets by speed class, slots by
//! workspace. The summary bounds the number of series.

use super::node::Node;
use crate::clock;
use coordination::slots::summary::{ServiceSummary, Summary, WorkspaceSummary};
use std::fmt::{Display, Write};
use std::time::Duration;

/// The metrics as text; empty if no slot allocator runs here.
pub fn text(node: &Node) -> String {
    if node.leases.owned.borrow().is_empty() {
        return String::new();
    }
    format(&node.leases.allocator.borrow().summary(clock::now()))
}

fn format(summary: &Summary) -> String {
    let mut text = String::new();
    for (name, service) in &summary.services {
        write_service(&mut text, &escape(name), service);
    }
    write(&mut text, "services_omitted", "", summary.omitted_services);
    for (name, entry) in &summary.workspaces {
        let labels = format!("{{workspace=\"{}\"}}", escape(name));
        write_workspace(&mut text, "workspace", &labels, *entry);
    }
    write_workspace(&mut text, "other_workspaces", "", summary.other_workspaces);
    write_workspace(&mut text, "unknown_workspace", "", summary.unknown_workspace);
    text
}

fn write_service(text: &mut String, name: &str, service: &ServiceSummary) {
    let labels = format!("{{service=\"{name}\"}}");
    write_time(text, "service_event_ms", &labels, service.event_interval);
    write_time(text, "service_first_event_ms", &labels, service.first_event);
    if let Some(time) = service.token_time {
        write(text, "service_token_us", &labels, format_args!("{:.2}", time.as_secs_f64() * 1e6));
    }
    for (class, targets) in &service.classes {
        let labels = format!("{{service=\"{name}\",class=\"{}\"}}", class.name());
        write(text, "class_targets", &labels, targets.targets);
        write(text, "class_slots_in_use", &labels, targets.slots_in_use);
        write_time(text, "class_event_ms", &labels, targets.event_interval);
    }
}

fn write_workspace(text: &mut String, name: &str, labels: &str, entry: WorkspaceSummary) {
    write(text, &format!("{name}_slots_in_use"), labels, entry.slots_in_use);
    write(text, &format!("{name}_waiting"), labels, entry.waiting);
}

/// Leaves out what is unknown.
fn write_time(text: &mut String, name: &str, labels: &str, time: Option<Duration>) {
    if let Some(time) = time {
        write(text, name, labels, format_args!("{:.2}", time.as_secs_f64() * 1e3));
    }
}

fn write(text: &mut String, name: &str, labels: &str, value: impl Display) {
    // Writing to a string can't fail.
    let _written = writeln!(text, "gatespool_{name}{labels} {value}");
}

/// Escapes a label's value as the text format of metrics requires.
fn escape(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
