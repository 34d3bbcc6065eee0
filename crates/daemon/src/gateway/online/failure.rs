//! Responses to requests that got none from a target.

use super::{ForwardError, ProxiedRequest, RETRY_AFTER};
use crate::clock;
use crate::gateway::crash::hex;
use crate::gateway::front::{STOPPING_RETRY_AFTER, error_response, text_response};
use crate::gateway::leases::AcquireError;
use hyper::Response;
use protocol::{Error, Kind};
use transport::server::Body;

impl ProxiedRequest {
    /// The response to a request that got none from a target.
    pub fn fail(&self, error: &ForwardError) -> Response<Body> {
        let call = &self.call;
        let age = clock::since(call.started);
        let (status, cause) = match error {
            ForwardError::NotRun(AcquireError::Full(_)) => (503, "no slot"),
            ForwardError::NotRun(AcquireError::NoTarget) => (503, "no target"),
            ForwardError::NotRun(AcquireError::NoTargetOfVersion) => {
                (410, "no target of the version that began the stream")
            }
            ForwardError::NotRun(AcquireError::UnknownVersion) => {
                (410, "the version that began the stream is unknown")
            }
            ForwardError::NotRun(AcquireError::NoReply) => {
                (503, "instances that may know the stream don't reply")
            }
            ForwardError::NotRun(AcquireError::Quarantined(_)) => (503, "crashes its targets"),
            ForwardError::NotRun(AcquireError::OverQuota(_)) => (429, "over the quota"),
            ForwardError::NotRun(AcquireError::Stopping) => (503, "the instance stops"),
            ForwardError::MayHaveRun(_) => (502, "no whole answer"),
            ForwardError::DeadlineExceeded => (504, "time over"),
        };
        if matches!(error, ForwardError::DeadlineExceeded) {
            self.record_time(None);
        }
        let is_repeatable = self.route.is_repeatable();
        if status != 429 {
            self.node.metrics.record_request(&self.route.name, false, clock::now());
        }
        slog::info!(self.node.log, "request failed"; "request" => &call.id, "cause" => cause,
            "resumes" => call.resumes(),
            "workspace" => call.workspace_name(),
            "content" => hex(call.fingerprint()),
            "status" => status, "route" => &self.route.name, "service" => &self.service,
            "config" => self.version, "registry" => self.registry, "sent" => self.attempts,
            "avoided" => ?self.excluded, "silent" => ?self.silent,
            "slot_ms" => self.slot_wait.get().as_millis() as u64,
            "quota_ms" => self.charge.waited().as_millis() as u64, "again" => call.is_retry,
            "age_ms" => age.as_millis() as u64, "repeatable" => is_repeatable);
        match error {
            ForwardError::NotRun(rejection) => {
                let (kind, retry_after) = match rejection {
                    AcquireError::Full(after) => (Kind::Overloaded, Some(*after)),
                    AcquireError::NoTarget | AcquireError::NoReply => {
                        (Kind::NoTarget, Some(RETRY_AFTER))
                    }
                    AcquireError::Quarantined(after) => (Kind::Quarantined, Some(*after)),
                    AcquireError::OverQuota(after) => (Kind::CallerLimit, Some(*after)),
                    AcquireError::Stopping => (Kind::Draining, Some(STOPPING_RETRY_AFTER)),
                    AcquireError::NoTargetOfVersion | AcquireError::UnknownVersion => {
                        (Kind::StreamGone, None)
                    }
                };
                let error = Error { retry_after, ..Error::new(kind, cause) };
                error_response(&self.node, &call.id, &error)
            }
            ForwardError::MayHaveRun(_) | ForwardError::DeadlineExceeded => {
                self.node.metrics.count(&format!("failed.{status}"));
                text_response(status, cause)
            }
        }
    }
}
