//! Tells the operator which zones are evacuated, and which services have no backend
//! server left because of that: one log line per change, and metrics.

use std::collections::BTreeSet;

use config::ConfigTable;
use ids::{ServiceId, ZoneId};

use super::ControlLoop;

/// Maximum number of services that a log line names.
const MAX_NAMED_SERVICES: usize = 10;

/// Evacuations that the operator was told of.
#[derive(Debug, Default)]
pub(super) struct EvacuationReport {
    zones: BTreeSet<ZoneId>,
    unserved: BTreeSet<ServiceId>,
    /// Number of services that this daemon had used by then.
    used_services: usize,
}

impl ControlLoop {
    /// Reports what a new table changes in the evacuations.
    pub(super) fn report_evacuations(&mut self) {
        let table = self.parts.view.table();
        if !table.has_evacuations() && self.evacuations.zones.is_empty() {
            return;
        }
        let evacuated = table.zones().filter(|zone| zone.evacuated);
        let zones: BTreeSet<ZoneId> = evacuated.map(|zone| zone.id.clone()).collect();
        if zones != self.evacuations.zones {
            log::warn!(
                zones = join_names(zones.iter().map(ZoneId::as_str)).as_str();
                "control: the evacuated zones have changed."
            );
        }
        let pools = self.parts.pools.pools();
        let services = pools.iter().map(|pool| pool.service.id.clone());
        let unserved: BTreeSet<ServiceId> = services
            .filter(|service| is_unserved(&table, service))
            .collect();
        if unserved != self.evacuations.unserved {
            let named = unserved.iter().take(MAX_NAMED_SERVICES);
            log::warn!(
                number = unserved.len(),
                services = join_names(named.map(ServiceId::as_str)).as_str();
                "control: the services without a backend server outside evacuated zones have changed; their requests are refused."
            );
        }
        let metrics = &self.parts.metrics;
        metrics.evacuated_zones.set(zones.len() as i64);
        metrics.evacuated_services.set(unserved.len() as i64);
        self.evacuations = EvacuationReport {
            zones,
            unserved,
            used_services: pools.len(),
        };
    }

    /// Reports again if this daemon has used more services since the last report.
    /// Only those it has used are looked at, since there may be thousands.
    pub(super) fn report_used_services(&mut self) {
        let active = !self.evacuations.zones.is_empty();
        if active && self.parts.pools.pools().len() != self.evacuations.used_services {
            self.report_evacuations();
        }
    }
}

/// Whether a service has backend servers and all of them are in evacuated zones.
fn is_unserved(table: &ConfigTable, service: &ServiceId) -> bool {
    let servers = table.pool_servers(service);
    let is_evacuated = |server: &config::Backend| {
        let zone = table.zone_of(&server.vm);
        zone.is_some_and(|zone| zone.evacuated)
    };
    !servers.is_empty() && servers.iter().all(is_evacuated)
}

/// Joins names for a log line; `none` if there are none.
fn join_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    match names.collect::<Vec<&str>>() {
        names if names.is_empty() => "none".to_owned(),
        names => names.join(", "),
    }
}
