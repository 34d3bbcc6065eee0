//! Where requests and jobs may be served and stored.

use super::job_table;
use super::message::JobStatus;
use super::node::Node;
use coordination::membership::Member;
use coordination::residency::Residency;
use protocol::routing::Route;
use protocol::workspace::Workspace;
use state::progress::Job;

/// Regions in which a request of a workspace may be served.
pub fn of_request(route: &Route, workspace: Option<&Workspace>) -> Residency {
    let of_workspace = workspace.map_or(&[][..], |workspace| &workspace.allowed_regions);
    Residency::new(&route.allowed_regions, of_workspace)
}

/// Regions in which a job may be run and held.
pub fn of_job(node: &Node, job: &Job) -> Residency {
    let route = job_table::route_of(node, job);
    let current = route.and_then(|route| of_owner(node, &route, job.workspace.as_deref()));
    current.unwrap_or_else(|| job.residency.clone())
}

/// As [`of_job`], by the status of a job.
pub fn of_status(node: &Node, status: &JobStatus) -> Residency {
    let current = node.config().and_then(|config| {
        let route = config.table.routes.iter().find(|route| route.name == status.route)?;
        of_owner(node, route, status.workspace.as_deref())
    });
    current.unwrap_or_else(|| status.residency.clone())
}

/// As [`of_request`], for a workspace by name; `None` if the configuration lacks it.
fn of_owner(node: &Node, route: &Route, owner: Option<&str>) -> Option<Residency> {
    let Some(owner) = owner else {
        return Some(of_request(route, None));
    };
    let config = node.config()?;
    let workspace = config.table.workspaces.as_ref()?.get(owner)?;
    Some(of_request(route, Some(workspace)))
}

/// Whether a data centre is in an allowed region.
pub fn allows(node: &Node, residency: &Residency, data_centre: &str) -> bool {
    residency.allows(node.settings.region(data_centre))
}

/// Keeps the members in allowed regions.
pub fn retain_allowed(node: &Node, residency: &Residency, members: &mut Vec<Member>) {
    members.retain(|member| allows(node, residency, &member.data_centre));
}
