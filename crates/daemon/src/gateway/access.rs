//! Access control: the workspace of a request, and which jobs it may see.

use hyper::HeaderMap;
use platform::header;
use protocol::routing::{Route, Table};
use protocol::workspace::Workspace;
use std::rc::Rc;

/// The API key of a request is missing, malformed or unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unauthorized;

/// The workspace whose API key a request has; `None` if it needs no key and has no known one.
///
/// # Errors
///
/// The request needs a key and has no known one.
pub fn authenticate(
    table: &Table,
    is_public: bool,
    headers: &HeaderMap,
) -> Result<Option<Rc<Workspace>>, Unauthorized> {
    let Some(workspaces) = &table.workspaces else {
        return Ok(None);
    };
    let found = header::api_key(headers).and_then(|key| workspaces.find(key));
    if found.is_none() && !is_public {
        return Err(Unauthorized);
    }
    Ok(found.cloned())
}

/// As [`authenticate`], for a call about a job that names a host. It needs no key if all batch routes
/// of the host are public. A job may outlive them: of a host that has none, a caller without a key
/// sees the jobs without an owner.
///
/// # Errors
///
/// As [`authenticate`].
pub fn authenticate_job_call(
    table: &Table,
    host: &str,
    headers: &HeaderMap,
) -> Result<Option<Rc<Workspace>>, Unauthorized> {
    let mut batch = table.batch_routes(host).peekable();
    let is_public = match batch.peek() {
        Some(_) => batch.all(|route| route.is_public),
        None => header::api_key(headers).is_none(),
    };
    authenticate(table, is_public, headers)
}

/// Whether a request that may be a call about a job, or one of a route that matches its path, has a
/// key that either of them accepts.
pub fn may_call(table: &Table, host: &str, route: &Route, headers: &HeaderMap) -> bool {
    authenticate(table, route.is_public, headers).is_ok()
        || authenticate_job_call(table, host, headers).is_ok()
}

/// Whether a caller of the workspace `caller` may see a job of the workspace `owner`. A job
/// without an owner was submitted without a key, or to a version that stored no owner; all callers
/// that know its id may see it.
pub fn may_access(owner: Option<&str>, caller: Option<&str>) -> bool {
    owner.is_none() || owner == caller
}

/// Removes the headers that only the gateway sets for targets. An `Authorization` header has
/// another meaning, and is kept, where no workspaces are configured.
pub fn remove_reserved(table: &Table, headers: &mut HeaderMap) {
    headers.remove(header::WORKSPACE);
    headers.remove(header::COPY_PROMPT_FROM);
    if table.workspaces.is_some() {
        headers.remove(header::AUTHORIZATION);
    }
}
