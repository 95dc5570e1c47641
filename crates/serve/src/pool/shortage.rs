//! Services without a backend server in the homes of a request.

use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicUsize, Ordering},
};

use ids::{FastSet, ServiceId};
use route::HomeRegions;

use crate::metrics::MetricSet;

/// Maximum number of shortages that are recorded, to bound memory and log lines.
const MAX_SHORTAGES: usize = 1_000;

/// Services and homes for which the latest request found no backend server.
#[derive(Debug, Default)]
pub struct HomeShortages {
    missing: Mutex<FastSet<(ServiceId, HomeRegions)>>,
    /// Number of recorded shortages, so that requests don't lock while there is none.
    count: AtomicUsize,
}

impl HomeShortages {
    /// Records whether a request with these homes found a backend server, and logs
    /// when that changes.
    pub fn record(
        &self,
        metrics: &MetricSet,
        service: &ServiceId,
        homes: &HomeRegions,
        found: bool,
    ) {
        let known = self.count.load(Ordering::Relaxed);
        if homes.is_unrestricted() || (found && known == 0) {
            return;
        }
        let shortage = (service.clone(), homes.clone());
        let mut missing = self.lock();
        let changed = match found {
            true => missing.remove(&shortage),
            false if missing.len() < MAX_SHORTAGES => missing.insert(shortage),
            false => false,
        };
        if !changed {
            return;
        }
        self.count.store(missing.len(), Ordering::Relaxed);
        metrics.unserved_homes.set(missing.len() as i64);
        drop(missing);
        let (service, homes) = (service.as_str(), homes.names());
        match found {
            true => log::info!(
                service = service,
                homes = homes.as_str();
                "ingress: the service has a backend server in the allowed regions again."
            ),
            false => log::warn!(
                service = service,
                homes = homes.as_str();
                "ingress: the service has no backend server in the allowed regions; requests are refused."
            ),
        }
    }

    /// Locks the set, whose holders never panic.
    fn lock(&self) -> MutexGuard<'_, FastSet<(ServiceId, HomeRegions)>> {
        self.missing
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
