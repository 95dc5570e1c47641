//! Puts configurations and VM lists from the platform or from peers in force,
//! and updates the state machines that depend on them.

use std::sync::Arc;

use config::{BucketDigests, ConfigTable, Delta, TablePatch, VmList, VmState};
use ids::{Revision, VmId};
use limit::{CellMap, CellMember, LimitEvent};
use mesh::{GossipEvent, GossipPeer};

use super::{
    ControlLoop,
    pull::{PullReply, PullRequest},
};

/// Maximum number of deltas kept for peers that lag behind.
const MAX_KEPT_DELTAS: usize = 256;
/// Maximum number of records of a table that peers compare by bucket digests.
/// At this size each of the 64 buckets has about 300 records.
const MAX_PATCHED_RECORDS: usize = 20_000;

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConfigSource {
    /// It was read from the platform.
    Platform,
    /// A peer sent it.
    Peer,
}

impl ConfigSource {
    /// Returns the name of the source in log lines.
    fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer => "peer",
        }
    }
}

impl ControlLoop {
    /// Returns what is newer here than at the peer that sent `request`.
    pub(super) fn pull_reply(&self, request: &PullRequest) -> PullReply {
        let table = self.parts.view.table();
        let vms = self.parts.view.vms();
        let start = self
            .kept_deltas
            .iter()
            .position(|delta| delta.previous == request.config);
        let behind = request.config < table.revision();
        let deltas = start.map(|start| self.kept_deltas.iter().skip(start).cloned().collect());
        let known = request.digests.as_ref();
        let known = known.filter(|_| behind && deltas.is_none() && is_patchable(&table));
        let patch = known.map(|known| TablePatch::new(&table, known));
        PullReply {
            deltas: deltas.filter(|_| behind).unwrap_or_default(),
            patch,
            vms: (request.vms < vms.revision).then(|| VmList::clone(&vms)),
        }
    }

    /// Returns a pull request with the revisions of this daemon.
    pub(super) fn pull_request(&self) -> PullRequest {
        let table = self.parts.view.table();
        PullRequest {
            from: self.parts.view.vm.clone(),
            config: table.revision(),
            vms: self.parts.view.vms().revision,
            digests: is_patchable(&table).then(|| BucketDigests::of(&table.records())),
        }
    }

    /// Applies the reply of a peer to a pull.
    pub(super) fn apply_pull_reply(&mut self, reply: PullReply) {
        self.apply_deltas(reply.deltas);
        if let Some(patch) = reply.patch.filter(|patch| self.is_newer(patch.revision)) {
            let current = self.parts.view.table();
            match patch.apply(&current) {
                Ok((table, delta)) => {
                    let deltas = delta.into_iter().collect();
                    self.adopt_config(Arc::new(table), deltas, ConfigSource::Peer);
                }
                // The table in force has changed since the pull. The next pull
                // sends new digests.
                Err(error) => log::info!(
                    "mesh: a patch from a peer was not applied: {error}; the next pull retries."
                ),
            }
        }
        if let Some(list) = reply.vms {
            self.adopt_vms(Arc::new(list));
        }
    }

    /// Returns whether a configuration revision is newer than the one in force.
    pub(super) fn is_newer(&self, revision: Revision) -> bool {
        revision > self.parts.view.table().revision()
    }

    /// Applies the deltas that continue the configuration in force. The next
    /// pull fetches what the other deltas would have changed.
    pub(super) fn apply_deltas(&mut self, deltas: Vec<Delta>) {
        let current = self.parts.view.table();
        let mut table = ConfigTable::clone(&current);
        let mut applied = Vec::new();
        for delta in deltas {
            if delta.previous != table.revision() {
                continue;
            }
            match table.with_delta(&delta) {
                Ok(next) => {
                    table = next;
                    applied.push(delta);
                }
                Err(error) => {
                    log::warn!(
                        "mesh: a delta from a peer was not applied: {error}; a later pull retries."
                    );
                    break;
                }
            }
        }
        if table.revision() > current.revision() {
            self.adopt_config(Arc::new(table), applied, ConfigSource::Peer);
        }
    }

    /// Puts a configuration in force if it is newer, and updates what depends
    /// on it.
    ///
    /// `deltas` lead from the configuration in force to `table`; they are empty
    /// if the table was read as a whole. Deltas from another configuration, which was
    /// in force when the table was read, don't say what changes, and are left out.
    pub(super) fn adopt_config(
        &mut self,
        table: Arc<ConfigTable>,
        deltas: Vec<Delta>,
        source: ConfigSource,
    ) {
        let revision = table.revision();
        let before = self.parts.view.table();
        if !self.parts.view.adopt_table(table) {
            return;
        }
        let deltas = match deltas.first() {
            Some(first) if first.previous == before.revision() => deltas,
            _ => Vec::new(),
        };
        self.parts.egress.record_listed(&before, &deltas);
        log::info!(
            source = source.name(),
            age_ms = self.gossip.age(self.now()).as_millis() as u64;
            "config: revision {revision} is in force."
        );
        let only_delta = match deltas.as_slice() {
            [delta] => Some(delta.clone()),
            _ => None,
        };
        let fleet_changed = deltas.is_empty() || deltas.iter().any(changes_fleet);
        if deltas.is_empty() {
            // The kept deltas do not lead to the new table.
            self.kept_deltas.clear();
        }
        self.kept_deltas.extend(deltas);
        while self.kept_deltas.len() > MAX_KEPT_DELTAS {
            self.kept_deltas.pop_front();
        }
        if fleet_changed {
            self.update_fleet();
        }
        self.announce_adopted(only_delta);
    }

    /// Puts a VM list in force if it is newer, and updates what depends on it.
    pub(super) fn adopt_vms(&mut self, list: Arc<VmList>) {
        let leaving = list.state(&self.parts.view.vm) == Some(VmState::Leaving);
        if !self.parts.view.adopt_vms(list) {
            return;
        }
        if leaving {
            log::info!("platform: this VM is leaving; its backend servers get no new work.");
        }
        // A VM that is no longer listed as leaving takes new work again.
        self.parts
            .egress
            .set_draining(leaving || self.parts.view.is_leaving());
        self.update_fleet();
        self.announce_adopted(None);
    }

    /// Tells the gossip which revisions are in force.
    pub(super) fn announce_adopted(&mut self, delta: Option<Delta>) {
        self.handle_gossip_event(GossipEvent::Adopted {
            config: self.parts.view.table().revision(),
            vms: self.parts.view.vms().revision,
            delta,
        });
    }

    /// Computes groups, cells, peers and pool members again after a change of
    /// the fleet.
    pub(super) fn update_fleet(&mut self) {
        let now = self.now();
        let table = self.parts.view.table();
        self.parts.egress.apply_table();
        self.detectors.update_pools(now);
        self.report_evacuations();
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
        self.handle_limit_event(LimitEvent::Map(map));
        let zone = self.parts.view.zone.clone();
        self.limits.set_zone(&zone);
        self.handle_gossip_event(GossipEvent::Peers(peers));
    }
}

/// Returns whether a delta changes VMs, zones, backend servers or services.
fn changes_fleet(delta: &Delta) -> bool {
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

/// Returns whether a table is small enough to be compared by bucket digests.
fn is_patchable(table: &ConfigTable) -> bool {
    table.counts().values().sum::<usize>() <= MAX_PATCHED_RECORDS
}
