//! The charge of one request, which is given back if the request doesn't run.

use super::{quota_of, refund_local, take_local};
use crate::gateway::message::PeerRequest;
use crate::gateway::node::Node;
use protocol::workspace::Workspace;
use protocol::{DataCentreId, WorkspaceId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Where a request was charged.
#[derive(Clone, Debug)]
pub enum Keeper {
    /// The ledger of this data centre, kept here.
    Local(DataCentreId),
    /// The ledger of this data centre, kept by the instance at the address.
    Remote(DataCentreId, SocketAddr),
    /// This instance's own part.
    Instance,
}

/// The charge of one request. Dropping it gives the charge back unless the request was sent to a
/// target that may have run it.
pub struct Charge {
    node: Rc<Node>,
    /// `None` if the request needs no charge.
    workspace: Option<WorkspaceId>,
    keeper: Option<Keeper>,
    may_have_run: bool,
    /// Time waited for the token.
    waited: Duration,
}

impl Charge {
    /// A charge that is due if the workspace has a quota.
    pub fn new(node: &Rc<Node>, workspace: Option<&Workspace>) -> Charge {
        let limited = workspace.filter(|workspace| workspace.quota.is_some());
        Charge {
            node: node.clone(),
            workspace: limited.map(|workspace| workspace.name.clone()),
            keeper: None,
            may_have_run: false,
            waited: Duration::ZERO,
        }
    }

    /// The workspace to be charged; `None` if no charge is needed, or it is done.
    pub fn due(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref().filter(|_| self.keeper.is_none())
    }

    /// The workspace that is charged; `None` if no charge is needed.
    pub fn workspace(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref()
    }

    /// Replaces a charge by one that was made elsewhere.
    pub fn move_to(&mut self, keeper: Keeper) {
        self.refund();
        self.keeper = Some(keeper);
    }

    /// Records a wait for the token.
    pub fn on_waited(&mut self, time: Duration) {
        self.waited += time;
    }

    /// Time waited for the token.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// Records where the charge was made.
    pub fn on_charged(&mut self, keeper: Keeper) {
        self.keeper = Some(keeper);
    }

    /// Records whether a target may have run the request.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }

    /// Charges a request that is still due to this instance's own part of the quota.
    ///
    /// # Errors
    ///
    /// The part is used up; the time until it allows a request.
    pub fn charge_instance(&mut self) -> Result<(), Duration> {
        let Some(workspace) = self.due() else {
            return Ok(());
        };
        if let Some(quota) = quota_of(&self.node, workspace) {
            take_local(&self.node, workspace, quota)?;
        }
        self.keeper = Some(Keeper::Instance);
        Ok(())
    }

    /// Gives the charge back to the ledger where it was made.
    fn refund(&mut self) {
        let (Some(workspace), Some(keeper)) = (&self.workspace, self.keeper.take()) else {
            return;
        };
        match keeper {
            Keeper::Local(data_centre) => refund_local(&self.node, &data_centre, workspace),
            Keeper::Remote(data_centre, address) => {
                let refund = PeerRequest::Refund(data_centre, workspace.clone());
                self.node.notify(address, refund);
            }
            Keeper::Instance => {}
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.refund();
        }
    }
}
