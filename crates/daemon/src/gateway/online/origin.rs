//! What began the stream that a request goes on with, and where it may therefore be sent.

use super::ProxiedRequest;
use crate::gateway::leases::{AcquireError, Lease};
use crate::gateway::origins;
use coordination::continuation::{self, Continuation};
use protocol::SoftwareVersion;
use protocol::routing::{Class, Origin};

impl ProxiedRequest {
    /// Finds out what began the stream that the caller takes up, if it does.
    ///
    /// # Errors
    ///
    /// Returns why the stream can't go on.
    pub(super) async fn find_origin(&mut self) -> Result<(), AcquireError> {
        if !self.takes_up_stream() || self.origin.is_some() {
            return Ok(());
        }
        let services = self.route.services.iter().map(|(service, _)| service);
        if !origins::any_has_versions(&self.node, services).await? {
            return Ok(());
        }
        let found = match self.call.resumes() {
            Some(attempt) => origins::find(&self.node, attempt).await,
            None => Err(AcquireError::UnknownVersion),
        };
        let origin = match found {
            Ok(origin) => origin,
            // Instances that may know the stream are needed only if there is a choice.
            Err(error) => self.only_origin().await.map_err(|other| match other {
                AcquireError::UnknownVersion => error,
                other => other,
            })?,
        };
        // The route was moved to another service, whose targets run other software.
        if !self.route.services.iter().any(|(service, _)| *service == origin.service) {
            return Err(AcquireError::NoTargetOfVersion);
        }
        self.service.clone_from(&origin.service);
        self.origin = Some(origin);
        Ok(())
    }

    fn takes_up_stream(&self) -> bool {
        self.route.class == Class::Stream && self.call.takes_up_stream()
    }

    /// What began a stream of the route that isn't known, if that leaves no choice.
    async fn only_origin(&self) -> Result<Origin, AcquireError> {
        match &self.route.services[..] {
            [(service, _)] => origins::only(&self.node, service).await,
            _ => Err(AcquireError::UnknownVersion),
        }
    }

    /// Whether a stream that goes on may be sent to a leased target. The first target that states a
    /// version may have become known during the wait for the lease.
    ///
    /// # Errors
    ///
    /// Returns why the stream can't go on.
    pub(super) async fn confirm(&mut self, lease: &Lease) -> Result<bool, AcquireError> {
        let leased_service = self.service.clone();
        self.find_origin().await?;
        let goes_on = self.origin.is_some() || self.takes_up_stream();
        let fits = match self.required_software()? {
            Some(version) => lease.software.as_ref() == Some(&version),
            None => !goes_on || lease.states_no_software(),
        };
        Ok(fits && self.service == leased_service)
    }

    /// Records what began the stream, for resumptions here and at other instances.
    pub fn set_origin(&mut self, origin: Origin) {
        if origin.software.is_some() || origins::has_versions(&self.node, &origin.service) {
            let resumed = self.call.resumes().filter(|_| self.call.takes_up_stream());
            let attempt = resumed.unwrap_or(&self.call.id);
            origins::store(&self.node, attempt, &origin, self.call.timeout());
        }
        self.origin = Some(origin);
    }

    /// Software version of the targets that may run the request; `None` if any may.
    ///
    /// # Errors
    ///
    /// Fails if the stream can't go on, because its version is unknown.
    pub(super) fn required_software(&self) -> Result<Option<SoftwareVersion>, AcquireError> {
        let Some(origin) = &self.origin else {
            return Ok(None);
        };
        // A stream that began at a target without a version may go on at others without one.
        let states_software = self.node.registry.borrow().states_software(&origin.service);
        match continuation::of_stream(origin, states_software) {
            Continuation::Anywhere => Ok(None),
            Continuation::AtVersion(version) => Ok(Some(version)),
            Continuation::Nowhere => Err(AcquireError::UnknownVersion),
        }
    }
}
