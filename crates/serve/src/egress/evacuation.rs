//! Evacuation of the zone of this VM: its backend servers get no new requests.
//!
//! The egress decides this by its own table, and looks it up when an offer arrives,
//! when a slot is granted and when the request is dispatched. An ingress that does
//! not know of the evacuation yet is refused and asks other servers.

use std::sync::atomic::Ordering;

use admit::QueueRefusal;

use super::{EgressHub, not_run_of};
use crate::wire::NotRun;

impl EgressHub {
    /// Whether the zone of this VM is evacuated.
    pub(super) fn is_evacuated(&self) -> bool {
        self.view.is_evacuated(&self.view.vm)
    }

    /// Returns an error if a request must not run because of an evacuation.
    pub(super) fn check_evacuation(&self) -> Result<(), NotRun> {
        match self.is_evacuated() {
            true => Err(NotRun::Evacuated),
            false => Ok(()),
        }
    }

    /// Returns the reason that an ingress is told for a refusal of a queue, which
    /// drains during an evacuation.
    pub(super) fn refusal_reason(&self, refusal: QueueRefusal) -> NotRun {
        match refusal {
            QueueRefusal::Leaving if !self.is_draining() && self.is_evacuated() => {
                NotRun::Evacuated
            }
            refusal => not_run_of(refusal),
        }
    }

    /// Logs that an evacuation of the zone of this VM has begun or ended, with the
    /// number of requests that wait and will be refused.
    pub(super) fn log_evacuation(&self, evacuated: bool) {
        if self.evacuated.swap(evacuated, Ordering::AcqRel) == evacuated {
            return;
        }
        let reports = self.reports();
        let waiting: u32 = reports.iter().map(|(_, report, _)| report.waiting).sum();
        let running: u32 = reports.iter().map(|(_, report, _)| report.running).sum();
        match evacuated {
            true => log::warn!(
                zone = self.view.zone.as_str(),
                waiting = waiting,
                running = running;
                "egress: the zone is evacuated; waiting requests are refused, running ones end."
            ),
            false => log::info!(
                zone = self.view.zone.as_str();
                "egress: the evacuation of the zone has ended."
            ),
        }
    }
}
