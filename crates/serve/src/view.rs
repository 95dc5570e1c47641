//! The daemon's view of the fleet: the configuration and VM list in force, and
//! the daemon's own state.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use config::{ClientLimits, ConfigTable, VmList, VmState};
use ids::{FastSet, VmId, ZoneId};
use route::Distance;
use tokio::{sync::watch, time::Instant};

/// Configuration and VM list in force, replaced by read-copy-update.
#[derive(Debug)]
pub struct FleetView {
    /// VM of this daemon.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    table: ArcSwap<ConfigTable>,
    vms: ArcSwap<VmList>,
    /// VMs that the VM list has as live. The request path looks VMs up here:
    /// scanning a list of thousands of entries would cost more than the request.
    live: ArcSwap<FastSet<VmId>>,
    leaving: AtomicBool,
    /// Time at which the remaining requests are aborted; set when this daemon shuts
    /// down.
    stop_end: watch::Sender<Option<Instant>>,
    isolated: AtomicBool,
}

impl FleetView {
    /// Creates a view without a configuration and a VM list.
    pub fn new(vm: VmId, zone: ZoneId) -> Self {
        Self {
            vm,
            zone,
            table: ArcSwap::default(),
            vms: ArcSwap::default(),
            live: ArcSwap::default(),
            leaving: AtomicBool::new(false),
            stop_end: watch::Sender::new(None),
            isolated: AtomicBool::new(false),
        }
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Arc<ConfigTable> {
        self.table.load_full()
    }

    /// Returns the limits of callers' connections of the configuration in force.
    pub fn limits(&self) -> ClientLimits {
        self.table.load().limits().copied().unwrap_or_default()
    }

    /// Returns the VM list in force.
    pub fn vms(&self) -> Arc<VmList> {
        self.vms.load_full()
    }

    /// Puts a configuration in force if it is newer, and returns whether it was.
    pub fn adopt_table(&self, table: Arc<ConfigTable>) -> bool {
        let newest = |current: &Arc<ConfigTable>| match table.revision() > current.revision() {
            true => Arc::clone(&table),
            false => Arc::clone(current),
        };
        let previous = self.table.rcu(newest);
        table.revision() > previous.revision()
    }

    /// Puts a VM list in force if it is newer, and returns whether it was.
    pub fn adopt_vms(&self, list: Arc<VmList>) -> bool {
        let newest = |current: &Arc<VmList>| match list.revision > current.revision {
            true => Arc::clone(&list),
            false => Arc::clone(current),
        };
        let previous = self.vms.rcu(newest);
        let adopted = list.revision > previous.revision;
        if adopted {
            let live = list.vms.iter().filter(|entry| entry.state == VmState::Live);
            self.live
                .store(Arc::new(live.map(|entry| entry.id.clone()).collect()));
        }
        adopted
    }

    /// Returns whether a complete configuration is in force.
    pub fn is_ready(&self) -> bool {
        self.table.load().revision().get() > 0
    }

    /// Returns whether this daemon is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Sets whether this daemon is shutting down.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Sets the time at which the remaining requests are aborted.
    pub fn set_stop_end(&self, end: Instant) {
        self.stop_end.send_replace(Some(end));
    }

    /// Waits until less than `run_time` is left before this daemon aborts the
    /// remaining requests. A request that gets a slot later would be cut off, and
    /// a refusal tells the caller more than a closed connection.
    pub async fn too_late_for(&self, run_time: Duration) {
        let mut ends = self.stop_end.subscribe();
        loop {
            let end = *ends.borrow_and_update();
            match end {
                Some(end) => {
                    let latest = end.checked_sub(run_time).unwrap_or_else(Instant::now);
                    return tokio::time::sleep_until(latest).await;
                }
                None if ends.changed().await.is_err() => std::future::pending().await,
                None => {}
            }
        }
    }

    /// Returns whether this daemon counts as isolated: it reaches neither the
    /// platform nor enough peers.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Acquire)
    }

    /// Sets whether this daemon counts as isolated.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Release);
    }

    /// Returns the distance of a VM; one that is not in the configuration counts
    /// as remote.
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

    /// Whether the availability zone of a VM is evacuated.
    pub fn is_evacuated(&self, vm: &VmId) -> bool {
        let table = self.table.load();
        table.has_evacuations() && table.zone_of(vm).is_some_and(|zone| zone.evacuated)
    }

    /// Returns whether a VM may get new work: the VM list has it as live, or
    /// there is no VM list yet.
    pub fn is_usable(&self, vm: &VmId) -> bool {
        match self.vms.load().revision.get() {
            0 => true,
            _ => self.live.load().contains(vm),
        }
    }
}
