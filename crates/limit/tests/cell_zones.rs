//! Which zones the members of a cell are in.

use ids::{VmId, ZoneId};
use limit::{CellMap, CellMember, GroupId};
use test_case::test_case;

fn zone(index: usize) -> ZoneId {
    format!("zone-{index}").parse().unwrap()
}

fn vm(zone: usize, index: usize) -> VmId {
    format!("vm-{zone}-{index}").parse().unwrap()
}

/// Returns the map of zones with these numbers of VMs.
fn cell_map(sizes: &[usize]) -> CellMap {
    let members = sizes.iter().enumerate();
    let members: Vec<CellMember> = members
        .flat_map(|(at, size)| (0..*size).map(move |index| (at, index)))
        .map(|(at, index)| CellMember {
            vm: vm(at, index),
            zone: zone(at),
            region: "region".parse().unwrap(),
            rack: format!("rack-{at}-{index}").parse().unwrap(),
            live: true,
        })
        .collect();
    CellMap::new(&members)
}

// Guards against shares that are lent between zones all the time because a small
// zone has joined the group of a large one.
#[test_case(&[13, 10, 4], 1, &[9, 0]; "small zone after a large one")]
#[test_case(&[4, 13, 10], 0, &[0, 9]; "small zone before a large one")]
#[test_case(&[3, 4], 0, &[3, 4]; "two small zones are members together")]
fn members_share_a_zone(sizes: &[usize], group: u16, expected: &[usize]) {
    let map = cell_map(sizes);
    let cell = map
        .cell_of(GroupId(group), &"radio-one".parse().unwrap())
        .unwrap();
    let first = usize::from(group);
    for (offset, count) in expected.iter().enumerate() {
        let prefix = format!("vm-{}-", first + offset);
        let members = map.members(cell).iter();
        let of_zone = members.filter(|vm| vm.as_str().starts_with(&prefix));
        assert_eq!(of_zone.count(), *count, "zone {}", first + offset);
    }
}
