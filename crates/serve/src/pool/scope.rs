//! Servers of a pool that a request may be sent to: those in its homes and not in an
//! evacuated zone.

use std::{sync::Arc, time::Duration};

use config::ConfigTable;
use ids::VmId;
use route::{RequestScope, ServerPlace};

use super::{PoolState, ServerState};
use crate::{answer::Refusal, view::FleetView, wire::NotRun};

/// Time after which a caller is told to retry whose service has no server left. An
/// evacuation lasts until the operator ends it, so that this is not an estimate but
/// the longest time after the end for which callers stay away.
const OUT_OF_SCOPE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the place of the servers on a VM, or `None` if the VM is unknown.
fn place_of<'a>(table: &'a ConfigTable, vm: &VmId) -> Option<ServerPlace<'a>> {
    let zone = table.zone_of(vm)?;
    Some(ServerPlace {
        zone: &zone.id,
        region: &zone.region,
        evacuated: zone.evacuated,
    })
}

impl PoolState {
    /// Returns the servers that a request with this scope may be sent to.
    pub(super) fn servers_in(
        &self,
        view: &FleetView,
        scope: &RequestScope,
    ) -> Vec<&Arc<ServerState>> {
        let table = view.table();
        // Without evacuations, the places are not looked up.
        let anywhere = scope.is_unrestricted() && !table.has_evacuations();
        let usable = |state: &&Arc<ServerState>| {
            let vm = &state.backend.vm;
            view.is_usable(vm) && (anywhere || scope.contains(place_of(&table, vm)))
        };
        self.servers.iter().filter(usable).collect()
    }

    /// Whether the daemon of a server is gone while those of others that the request may
    /// be sent to are not. Then the request does not wait for it.
    pub fn is_gone(
        &self,
        view: &FleetView,
        scope: &RequestScope,
        server: &Arc<ServerState>,
    ) -> bool {
        let mut others = self.servers_in(view, scope).into_iter();
        server.is_gone() && others.any(|other| !other.is_gone())
    }

    /// Returns the refusal of a request that none of the servers may run, or `None`
    /// if at least one may.
    pub fn scope_refusal(&self, view: &FleetView, scope: &RequestScope) -> Option<Refusal> {
        let table = view.table();
        if scope.is_unrestricted() && !table.has_evacuations() {
            return None;
        }
        let in_scope =
            |state: &Arc<ServerState>| scope.contains(place_of(&table, &state.backend.vm));
        let in_homes = |state: &Arc<ServerState>| {
            let zone = table.zone_of(&state.backend.vm);
            zone.is_some_and(|zone| scope.homes().allows(&zone.region))
        };
        match &self.servers {
            servers if servers.iter().any(in_scope) => None,
            servers if servers.iter().any(in_homes) => {
                Some(Refusal::NotRun(NotRun::Evacuated, OUT_OF_SCOPE_RETRY_AFTER))
            }
            _ => Some(Refusal::OutsideHomes),
        }
    }
}
