//! Escrow groups, cells and homes, computed alike by every daemon.
//!
//! An escrow group is a set of zones that has a fixed share of every account's
//! rate and burst. A cell is a set of VMs of a group that keeps the tokens of
//! some accounts, and the home of an account is the member of its cell that
//! grants them.

use std::fmt;

use ids::{AccountId, RackId, RegionId, TokenAmount, VmId, ZoneId, stable_hash, stable_pair_hash};
use serde::{Deserialize, Serialize};

/// Maximum number of members of a cell.
const MAX_MEMBERS: usize = 9;
/// Minimum number of VMs of a group on its own: a cell of five members survives
/// the loss of two.
const MIN_GROUP_VMS: usize = 5;
/// Number of VMs of a group for each of its cells.
const VMS_PER_CELL: usize = 8;

/// Minimum share of the burst, in tokens, that each group gets if the burst is
/// large enough. Leased tokens count against the share for half a second, so a
/// share of one or two tokens would be empty most of the time.
const MIN_BURST_SHARE: u64 = 8;

/// Number of an escrow group.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct GroupId(pub u16);

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "group {}", self.0)
    }
}

/// Identifies a cell within its group.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct CellKey {
    /// The group.
    pub group: GroupId,
    /// Number of the cell within the group.
    pub cell: u16,
}

/// A VM that may become a member of cells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellMember {
    /// The VM.
    pub vm: VmId,
    /// Zone of the VM.
    pub zone: ZoneId,
    /// Region of the VM.
    pub region: RegionId,
    /// Rack of the VM.
    pub rack: RackId,
    /// Whether the VM list has the VM as live.
    pub live: bool,
}

/// Escrow group: zones that have one share of every account's rate in common.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Group {
    zones: Vec<ZoneId>,
    /// Live members of each cell, sorted. They are in one zone if it has enough
    /// VMs.
    cells: Vec<Vec<VmId>>,
}

/// Groups and cells of the fleet.
///
/// The number of groups, and so the share of each, follows from the inventory
/// and not from the VM list: a list that drops a zone which is cut off but
/// alive must not raise the shares of the others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CellMap {
    groups: Vec<Group>,
}

impl CellMap {
    /// Computes groups and cells.
    pub fn new(members: &[CellMember]) -> Self {
        let groups = make_groups(members);
        let fill = |zones: Vec<ZoneId>| {
            let of_group = members.iter().filter(|member| zones.contains(&member.zone));
            let of_group: Vec<&CellMember> = of_group.collect();
            let count = cell_count(of_group.len());
            let eligible = main_zone(&zones, &of_group);
            let cells = (0..count).map(|cell| pick_members(cell, &eligible));
            Group {
                cells: cells.collect(),
                zones,
            }
        };
        Self {
            groups: groups.into_iter().map(fill).collect(),
        }
    }

    /// Returns the number of groups, at least one.
    pub fn group_count(&self) -> u32 {
        (self.groups.len() as u32).max(1)
    }

    /// Returns the group of a zone.
    pub fn group_of(&self, zone: &ZoneId) -> Option<GroupId> {
        let index = self
            .groups
            .iter()
            .position(|group| group.zones.contains(zone))?;
        Some(GroupId(index as u16))
    }

    /// Returns all groups, that of `zone` first.
    pub fn groups_from(&self, zone: &ZoneId) -> Vec<GroupId> {
        let own = self.group_of(zone);
        let mut groups: Vec<GroupId> = (0..self.groups.len() as u16).map(GroupId).collect();
        groups.sort_by_key(|group| Some(*group) != own);
        groups
    }

    /// Returns the groups that share an account with this burst: all groups, or
    /// some chosen by rendezvous hash if the shares would be too small.
    pub fn groups_of(&self, account: &AccountId, burst: TokenAmount) -> Vec<GroupId> {
        let mut groups: Vec<GroupId> = (0..self.groups.len() as u16).map(GroupId).collect();
        let shares = burst.as_microtokens() / TokenAmount::whole(MIN_BURST_SHARE).as_microtokens();
        let wanted = shares.max(1) as usize;
        if wanted < groups.len() {
            let key = stable_hash(account.as_str().as_bytes());
            groups.sort_by_key(|group| stable_pair_hash(key, &group.to_string()));
            groups.truncate(wanted);
        }
        groups
    }

    /// Returns the cell of an account in a group.
    pub fn cell_of(&self, group: GroupId, account: &AccountId) -> Option<CellKey> {
        let cells = self.groups.get(usize::from(group.0))?.cells.len() as u64;
        let hash = stable_hash(account.as_str().as_bytes());
        let cell = hash.checked_rem(cells)? as u16;
        Some(CellKey { group, cell })
    }

    /// Returns the live members of a cell, sorted.
    pub fn members(&self, key: CellKey) -> &[VmId] {
        let group = self.groups.get(usize::from(key.group.0));
        group
            .and_then(|group| group.cells.get(usize::from(key.cell)))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the home of an account in a group.
    pub fn home(&self, group: GroupId, account: &AccountId) -> Option<&VmId> {
        home_among(self.members(self.cell_of(group, account)?), account)
    }

    /// Returns the members that may hold the shares of an account in a group,
    /// by rank: its home, then its deputies, the members that follow in the
    /// ring of the cell.
    pub fn candidates(&self, group: GroupId, account: &AccountId) -> Vec<&VmId> {
        let cell = self.cell_of(group, account);
        let members = cell.map_or(&[][..], |cell| self.members(cell));
        let Some(home) = home_among(members, account) else {
            return Vec::new();
        };
        let index = members.iter().position(|vm| vm == home).unwrap_or(0);
        let (before, after) = members.split_at(index);
        after.iter().chain(before).collect()
    }

    /// Whether a VM is a member of any cell.
    pub fn contains(&self, vm: &VmId) -> bool {
        let mut cells = self.groups.iter().flat_map(|group| &group.cells);
        cells.any(|members| members.contains(vm))
    }

    /// Returns the cells that a VM is a member of.
    pub fn cells_of(&self, vm: &VmId) -> Vec<CellKey> {
        let keys = self.groups.iter().enumerate().flat_map(|(group, cells)| {
            (0..cells.cells.len()).map(move |cell| CellKey {
                group: GroupId(group as u16),
                cell: cell as u16,
            })
        });
        keys.filter(|key| self.members(*key).contains(vm)).collect()
    }
}

/// Returns the home of an account among the members of its cell, by rendezvous
/// hash.
pub(crate) fn home_among<'a>(members: &'a [VmId], account: &AccountId) -> Option<&'a VmId> {
    members.iter().max_by_key(|vm| home_score(vm, account))
}

/// Returns the rendezvous score of a VM as home of an account.
fn home_score(vm: &VmId, account: &AccountId) -> u64 {
    let key = stable_hash(account.as_str().as_bytes()).rotate_left(17);
    stable_pair_hash(key, vm.as_str())
}

/// Returns a digest of the members of a cell.
pub(crate) fn members_digest(members: &[VmId]) -> u64 {
    members
        .iter()
        .fold(0, |digest, vm| stable_pair_hash(digest, vm.as_str()))
}

/// Joins zones into groups of at least [`MIN_GROUP_VMS`] VMs, in the order of
/// regions and names.
fn make_groups(members: &[CellMember]) -> Vec<Vec<ZoneId>> {
    let mut zones: Vec<(&RegionId, &ZoneId)> = members
        .iter()
        .map(|member| (&member.region, &member.zone))
        .collect();
    zones.sort_unstable();
    zones.dedup();
    let mut groups: Vec<Vec<ZoneId>> = Vec::new();
    let mut pending = Vec::new();
    let mut size = 0;
    for (_, zone) in zones {
        pending.push(zone.clone());
        size += members.iter().filter(|member| member.zone == *zone).count();
        if size >= MIN_GROUP_VMS {
            groups.push(std::mem::take(&mut pending));
            size = 0;
        }
    }
    match groups.last_mut() {
        _ if pending.is_empty() => {}
        Some(last) => last.extend(pending),
        None => groups.push(pending),
    }
    groups
}

/// Returns the number of cells of a group. It is a power of two, so that the
/// cell of an account changes only when the group doubles or halves.
fn cell_count(vms: usize) -> usize {
    match vms / VMS_PER_CELL {
        0 => 1,
        cells => 1 << cells.ilog2(),
    }
}

/// Returns the VMs of the largest zone of a group if it could be a group on its
/// own, and otherwise all VMs. Members lend shares to each other all the time, and
/// traffic between zones costs money.
fn main_zone<'a>(zones: &[ZoneId], vms: &[&'a CellMember]) -> Vec<&'a CellMember> {
    let of_zone = |zone: &ZoneId| vms.iter().filter(|member| member.zone == *zone).count();
    let largest = zones.iter().max_by_key(|zone| of_zone(zone));
    match largest {
        Some(zone) if of_zone(zone) >= MIN_GROUP_VMS => {
            let members = vms.iter().filter(|member| member.zone == *zone);
            members.copied().collect()
        }
        _ => vms.to_vec(),
    }
}

/// Picks the live members of a cell: the VMs with the highest rendezvous
/// scores, one of each rack in turn.
///
/// The choice is made among all VMs of the inventory, so that a VM that dies
/// leaves its cells and changes nothing else.
fn pick_members(cell: usize, vms: &[&CellMember]) -> Vec<VmId> {
    let mut ranked: Vec<(usize, u64, &CellMember)> = Vec::with_capacity(vms.len());
    let mut by_hash: Vec<&CellMember> = vms.to_vec();
    by_hash.sort_by_key(|member| std::cmp::Reverse(cell_score(cell, member)));
    for member in by_hash {
        let same_rack = ranked
            .iter()
            .filter(|(_, _, other)| other.rack == member.rack)
            .count();
        ranked.push((same_rack, cell_score(cell, member), member));
    }
    ranked.sort_by_key(|(turn, score, _)| (*turn, std::cmp::Reverse(*score)));
    let chosen = ranked.into_iter().take(MAX_MEMBERS);
    let live = chosen.filter(|(_, _, member)| member.live);
    let mut members: Vec<VmId> = live.map(|(_, _, member)| member.vm.clone()).collect();
    members.sort_unstable();
    members
}

/// Returns the rendezvous score of a VM in a cell.
fn cell_score(cell: usize, member: &CellMember) -> u64 {
    stable_pair_hash(cell as u64 + 1, member.vm.as_str())
}
