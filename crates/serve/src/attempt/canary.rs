//! Canary: a request to a server on probation.

use std::sync::Arc;

use crate::{control::ControlEvent, ingress::Ingress, pool::ServerState};

/// Reports the result of a canary to the control loop when it is dropped.
pub(super) struct CanaryGuard<'a> {
    ingress: &'a Ingress,
    server: Arc<ServerState>,
    /// Whether the answer was good.
    pub(super) good: bool,
}

impl<'a> CanaryGuard<'a> {
    /// Creates the guard of a canary that has no good answer yet.
    pub(super) fn new(ingress: &'a Ingress, server: &Arc<ServerState>) -> Self {
        Self {
            ingress,
            server: Arc::clone(server),
            good: false,
        }
    }
}

impl Drop for CanaryGuard<'_> {
    fn drop(&mut self) {
        self.ingress.control.try_send(ControlEvent::CanaryEnded {
            service: self.server.backend.service.clone(),
            server: self.server.backend.id.clone(),
            good: self.good,
        });
    }
}
