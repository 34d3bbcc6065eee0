//! What slot requests tell of the work behind them.

use super::front::CallerRequest;
use coordination::prompt::Prompt;
use coordination::slots::{Workload, WorkspaceWeight};
use platform::header;
use protocol::routing::Route;
use protocol::workspace::Workspace;
use state::progress::Item;

/// Weight of a workspace without a quota.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The workload of a caller's request.
pub fn of_request(route: &Route, call: &CallerRequest) -> Workload {
    let text = |name| header::text(&call.headers, name);
    let prompt = match route.shares_prompts {
        true => prompt(text(header::MODEL), text(header::PROMPT_PREFIX)),
        false => Prompt::default(),
    };
    Workload {
        prompt,
        objective: route.objective,
        max_event_gap: route.max_event_gap,
        workspace: call.workspace.as_deref().map(weight),
        tokens: header::token_count(text(header::TOKEN_COUNT)),
        is_retry: call.is_retry,
        read_at: None,
        read_by: None,
    }
}

/// The workload of a job's item.
pub fn of_item(item: &Item, workspace: Option<&Workspace>) -> Workload {
    let text = |name| item_header(item, name);
    Workload {
        prompt: prompt(text(header::MODEL), text(header::PROMPT_PREFIX)),
        workspace: workspace.map(weight),
        tokens: header::token_count(text(header::TOKEN_COUNT)),
        ..Workload::default()
    }
}

/// Value of a header of an item; empty if it has none.
pub fn item_header<'a>(item: &'a Item, name: &str) -> &'a str {
    let header = item.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    header.map_or("", |(_, value)| value.as_str())
}

fn prompt(model: &str, parts: &str) -> Prompt {
    Prompt::new(model, header::prompt_parts(parts))
}

fn weight(workspace: &Workspace) -> WorkspaceWeight {
    WorkspaceWeight {
        name: workspace.name.clone(),
        weight: workspace.quota.map_or(DEFAULT_WEIGHT, |quota| quota.rate),
    }
}
