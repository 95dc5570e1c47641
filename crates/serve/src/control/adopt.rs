//! Puts configurations and VM lists in force, whoever brings them, and tells
//! the machines that depend on them.

use std::sync::Arc;

use config::{BucketDigests, ConfigTable, Delta, TablePatch, VmList, VmState};
use ids::{Revision, VmId};
use limit::{CellMap, CellMember, LimitEvent};
use mesh::{GossipEvent, GossipPeer};

use super::{
    ControlLoop,
    pull::{PullReply, PullRequest},
};

/// Deltas kept for peers that lag.
const KEPT_DELTAS: usize = 256;
/// Records up to which peers compare whole tables: 64 buckets of 300 records.
const MAX_PATCHED_RECORDS: usize = 20_000;

impl ControlLoop {
    /// What is newer than a peer knows.
    pub(super) fn pull_reply(&self, request: &PullRequest) -> PullReply {
        let table = self.parts.view.table();
        let vms = self.parts.view.vms();
        let start = self
            .deltas
            .iter()
            .position(|delta| delta.previous == request.config);
        let behind = request.config < table.revision();
        let deltas = start.map(|start| self.deltas.iter().skip(start).cloned().collect());
        let known = request.digests.as_ref();
        let known = known.filter(|_| behind && deltas.is_none() && is_small(&table));
        let patch = known.map(|known| TablePatch::new(&table, known));
        PullReply {
            deltas: deltas.filter(|_| behind).unwrap_or_default(),
            patch,
            vms: (request.vms < vms.revision).then(|| VmList::clone(&vms)),
        }
    }

    /// What a peer has to know to answer a pull.
    pub(super) fn pull_request(&self) -> PullRequest {
        let table = self.parts.view.table();
        PullRequest {
            config: table.revision(),
            vms: self.parts.view.vms().revision,
            digests: is_small(&table).then(|| BucketDigests::of(&table.records())),
        }
    }

    /// Takes what a peer gave.
    pub(super) fn take_pulled(&mut self, reply: PullReply) {
        self.apply_deltas(reply.deltas);
        if let Some(patch) = reply.patch.filter(|patch| self.is_newer(patch.revision)) {
            let current = self.parts.view.table();
            match patch.apply(&current) {
                Ok((table, delta)) => {
                    self.adopt_config(Arc::new(table), delta.into_iter().collect());
                }
                // What is in force has changed since the pull; the next one
                // sends its digests anew.
                Err(error) => log::info!("mesh: patch of a peer refused: {error}."),
            }
        }
        if let Some(list) = reply.vms {
            self.adopt_vms(Arc::new(list));
        }
    }

    /// Whether a revision is newer than the one in force.
    pub(super) fn is_newer(&self, revision: Revision) -> bool {
        revision > self.parts.view.table().revision()
    }

    /// Applies deltas that continue what is in force; others are left to the
    /// next pull.
    pub(super) fn apply_deltas(&mut self, deltas: Vec<Delta>) {
        let current = self.parts.view.table();
        let mut table = ConfigTable::clone(&current);
        let mut used = Vec::new();
        for delta in deltas {
            if delta.previous != table.revision() {
                continue;
            }
            match table.with_delta(&delta) {
                Ok(next) => {
                    table = next;
                    used.push(delta);
                }
                Err(error) => {
                    log::warn!("mesh: delta of a peer refused: {error}.");
                    break;
                }
            }
        }
        if table.revision() > current.revision() {
            self.adopt_config(Arc::new(table), used);
        }
    }

    /// Puts a configuration in force and tells who depends on it.
    pub(super) fn adopt_config(&mut self, table: Arc<ConfigTable>, deltas: Vec<Delta>) {
        let revision = table.revision();
        if !self.parts.view.adopt_table(table) {
            return;
        }
        log::info!("config: revision {revision} is in force.");
        let single = match deltas.as_slice() {
            [delta] => Some(delta.clone()),
            _ => None,
        };
        let maps = deltas.is_empty() || deltas.iter().any(touches_fleet);
        if deltas.is_empty() {
            // The chain is broken; what was kept leads nowhere.
            self.deltas.clear();
        }
        self.deltas.extend(deltas);
        while self.deltas.len() > KEPT_DELTAS {
            self.deltas.pop_front();
        }
        if maps {
            self.follow_fleet();
        }
        self.tell_adopted(single);
    }

    /// Puts a VM list in force and tells who depends on it.
    pub(super) fn adopt_vms(&mut self, list: Arc<VmList>) {
        let leaving = list.state(&self.parts.view.vm) == Some(VmState::Leaving);
        if !self.parts.view.adopt_vms(list) {
            return;
        }
        if leaving {
            log::info!("platform: this VM is leaving, taking no new work.");
        }
        // One that was taken off the list again takes work again.
        self.parts
            .egress
            .set_draining(leaving || self.parts.view.is_leaving());
        self.follow_fleet();
        self.tell_adopted(None);
    }

    /// Tells the dissemination what is in force.
    pub(super) fn tell_adopted(&mut self, delta: Option<Delta>) {
        self.spread_step(GossipEvent::Adopted {
            config: self.parts.view.table().revision(),
            vms: self.parts.view.vms().revision,
            delta,
        });
    }

    /// Works out groups, cells, peers and members anew.
    pub(super) fn follow_fleet(&mut self) {
        let now = self.now();
        let table = self.parts.view.table();
        self.parts.egress.apply_table();
        self.detectors.follow_fleet(now);
        let vms: Vec<_> = table.vms().collect();
        let live = |vm: &VmId| self.parts.view.is_usable(vm);
        let members: Vec<CellMember> = vms
            .iter()
            .filter_map(|vm| {
                Some(CellMember {
                    vm: vm.id.clone(),
                    zone: vm.zone.clone(),
                    region: table.zone(&vm.zone)?.region.clone(),
                    rack: vm.rack.clone(),
                    live: live(&vm.id),
                })
            })
            .collect();
        let peers = vms.iter().filter(|vm| live(&vm.id)).map(|vm| GossipPeer {
            vm: vm.id.clone(),
            zone: vm.zone.clone(),
        });
        let peers = peers.collect();
        let map = Arc::new(CellMap::new(&members));
        self.limit_step(LimitEvent::Map(map));
        let zone = self.parts.view.zone.clone();
        self.limits.set_zone(&zone);
        self.spread_step(GossipEvent::Peers(peers));
    }
}

/// Whether a delta changes VMs, zones or backend servers.
fn touches_fleet(delta: &Delta) -> bool {
    use config::{Record, RecordId};
    let removed = |id: &RecordId| {
        matches!(
            id,
            RecordId::Vm(_) | RecordId::Zone(_) | RecordId::Server(_) | RecordId::Service(_)
        )
    };
    let put = |record: &Record| {
        matches!(
            record,
            Record::Vm(_) | Record::Zone(_) | Record::Server(_) | Record::Service(_)
        )
    };
    delta.removes.iter().any(removed) || delta.puts.iter().any(put)
}

/// Whether the records of a table are few enough to be compared in whole.
fn is_small(table: &ConfigTable) -> bool {
    table.counts().values().sum::<usize>() <= MAX_PATCHED_RECORDS
}
