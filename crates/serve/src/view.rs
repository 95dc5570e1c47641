//! What the daemon knows of the fleet: configuration and VM list.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use arc_swap::ArcSwap;
use config::{ConfigTable, VmList, VmState};
use ids::{FastSet, VmId, ZoneId};
use route::Distance;
use tokio::{sync::watch, time::Instant};

/// Configuration and VM list in force, behind read-copy-update.
#[derive(Debug)]
pub struct FleetView {
    /// The VM of this daemon.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    table: ArcSwap<ConfigTable>,
    vms: ArcSwap<VmList>,
    /// VMs that the list has as live; a look-up on the request path, where a
    /// walk over thousands of entries would cost more than the request.
    live: ArcSwap<FastSet<VmId>>,
    leaving: AtomicBool,
    /// Until when requests of callers may wait for a slot, once this daemon
    /// shuts down.
    search_end: watch::Sender<Option<Instant>>,
    isolated: AtomicBool,
}

impl FleetView {
    /// A view with nothing in it.
    pub fn new(vm: VmId, zone: ZoneId) -> Self {
        Self {
            vm,
            zone,
            table: ArcSwap::default(),
            vms: ArcSwap::default(),
            live: ArcSwap::default(),
            leaving: AtomicBool::new(false),
            search_end: watch::Sender::new(None),
            isolated: AtomicBool::new(false),
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Arc<ConfigTable> {
        self.table.load_full()
    }

    /// The VM list in force.
    pub fn vms(&self) -> Arc<VmList> {
        self.vms.load_full()
    }

    /// Puts a configuration in force if it is newer; tells whether it did.
    pub fn adopt_table(&self, table: Arc<ConfigTable>) -> bool {
        let newer = |current: &Arc<ConfigTable>| match table.revision() > current.revision() {
            true => Arc::clone(&table),
            false => Arc::clone(current),
        };
        let before = self.table.rcu(newer);
        table.revision() > before.revision()
    }

    /// Puts a VM list in force if it is newer; tells whether it did.
    pub fn adopt_vms(&self, list: Arc<VmList>) -> bool {
        let newer = |current: &Arc<VmList>| match list.revision > current.revision {
            true => Arc::clone(&list),
            false => Arc::clone(current),
        };
        let before = self.vms.rcu(newer);
        let adopted = list.revision > before.revision;
        if adopted {
            let live = list.vms.iter().filter(|entry| entry.state == VmState::Live);
            self.live
                .store(Arc::new(live.map(|entry| entry.id.clone()).collect()));
        }
        adopted
    }

    /// Whether a whole configuration is in force.
    pub fn is_ready(&self) -> bool {
        self.table.load().revision().get() > 0
    }

    /// Whether this daemon is shutting down or its VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Notes that this daemon leaves, or stays after all.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Sets until when requests of callers may wait for a slot.
    pub fn set_search_deadline(&self, end: Instant) {
        self.search_end.send_replace(Some(end));
    }

    /// Waits until requests of callers have to be refused: this daemon is
    /// about to end, and a refusal is better than a closed connection.
    pub async fn search_deadline_passed(&self) {
        let mut ends = self.search_end.subscribe();
        loop {
            let end = *ends.borrow_and_update();
            match end {
                Some(end) => return tokio::time::sleep_until(end).await,
                None if ends.changed().await.is_err() => std::future::pending().await,
                None => {}
            }
        }
    }

    /// Whether neither the platform nor enough peers can be heard.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Acquire)
    }

    /// Notes whether this daemon is isolated.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Release);
    }

    /// Distance of a VM; a VM that is not listed is far.
    pub fn distance(&self, vm: &VmId) -> Distance {
        if *vm == self.vm {
            return Distance::Local;
        }
        let table = self.table.load();
        let Some(zone) = table.vm(vm).map(|vm| vm.zone.clone()) else {
            return Distance::Remote;
        };
        let region = |id: &ZoneId| table.zone(id).map(|zone| zone.region.clone());
        match zone {
            zone if zone == self.zone => Distance::Zone,
            zone if region(&zone) == region(&self.zone) => Distance::Region,
            _ => Distance::Remote,
        }
    }

    /// Whether a VM may take new work: listed as live, or no list is known.
    pub fn is_usable(&self, vm: &VmId) -> bool {
        match self.vms.load().revision.get() {
            0 => true,
            _ => self.live.load().contains(vm),
        }
    }
}
