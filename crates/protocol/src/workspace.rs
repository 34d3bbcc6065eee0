//! Workspaces: the owners of API keys and request quotas.
//!
//! ```
//! use protocol::workspace::{Directory, Workspace};
//!
//! let workspace = Workspace { name: "press".into(), ..Workspace::default() };
//! let directory = Directory::new(vec![(workspace, vec![String::from("k-1").into()])]).unwrap();
//! assert_eq!(directory.find("k-1").map(|found| found.name.as_str()), Some("press"));
//! assert!(directory.find("k-2").is_none());
//! ```

use crate::secret::Secret;
use crate::{RegionId, WorkspaceId};
use std::collections::HashMap;
use std::rc::Rc;

/// Limit on the online requests of a workspace, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may run at once after a pause, on top of the rate.
    pub burst: f64,
}

/// A workspace of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Unique name, which targets receive with each request.
    pub name: WorkspaceId,
    /// Priority that replaces the one of the route; 0 is the highest.
    pub priority: u32,
    /// Limit on its online requests; `None` for no limit.
    pub quota: Option<Quota>,
    /// Regions in which its requests may be served and stored; empty for all.
    pub allowed_regions: Vec<RegionId>,
}

/// Two workspaces have the same name or the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duplicate;

/// All workspaces of a configuration, by name and by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    by_name: HashMap<WorkspaceId, Rc<Workspace>>,
    by_key: HashMap<Secret, Rc<Workspace>>,
}

impl Directory {
    /// A directory of workspaces with their keys.
    ///
    /// # Errors
    ///
    /// A name or a key belongs to two workspaces.
    pub fn new(workspaces: Vec<(Workspace, Vec<Secret>)>) -> Result<Directory, Duplicate> {
        let mut directory = Directory::default();
        for (workspace, keys) in workspaces {
            let workspace = Rc::new(workspace);
            for key in keys {
                let before = directory.by_key.insert(key, workspace.clone());
                if before.is_some_and(|before| before.name != workspace.name) {
                    return Err(Duplicate);
                }
            }
            if directory.by_name.insert(workspace.name.clone(), workspace).is_some() {
                return Err(Duplicate);
            }
        }
        Ok(directory)
    }

    /// The workspace with this key.
    pub fn find(&self, key: &str) -> Option<&Rc<Workspace>> {
        self.by_key.get(&Secret::from(key.to_owned()))
    }

    /// The workspace with this name.
    pub fn get(&self, name: &str) -> Option<&Rc<Workspace>> {
        self.by_name.get(name)
    }

    /// Number of workspaces.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no workspaces.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
