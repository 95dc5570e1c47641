//! Bytes that gossip sends between zones, for fleets of several sizes.

use std::time::Duration;

use config::{Delta, RecordId, StateDigest};
use ids::{MonoTime, Revision, VmId, ZoneId};
use mesh::{FrameSeal, GossipAction, GossipEvent, GossipNode, GossipPeer, PeerFrame, PeerMessage};
use test_case::test_case;

const TICK: Duration = Duration::from_millis(100);
const SECONDS: u64 = 30;
/// Bytes a second that all daemons of a zone together may send to other zones for
/// gossip: a third of what one daemon may send for control.
const ZONE_BYTES_PER_S: f64 = 1_000.0;

fn vm(zone: usize, index: usize) -> VmId {
    format!("10.{zone}.{}.{}", index / 250, index % 250)
        .parse()
        .unwrap()
}

fn zone(index: usize) -> ZoneId {
    format!("zone-{index}").parse().unwrap()
}

/// Returns a change with records of about 400 bytes.
fn change(revision: u64) -> Delta {
    Delta {
        previous: Revision(revision - 1),
        revision: Revision(revision),
        state: StateDigest::default(),
        removes: vec![RecordId::Route(
            "h".repeat(200).into(),
            "p".repeat(200).into(),
        )],
        puts: Vec::new(),
    }
}

/// Bytes a second that the daemons of the first zone send to other zones while a
/// change comes each second, and the size of the largest of these messages.
fn zone_traffic(sizes: &[usize]) -> (f64, usize) {
    let members = sizes.iter().enumerate();
    let peers: Vec<GossipPeer> = members
        .flat_map(|(at, size)| (0..*size).map(move |index| (at, index)))
        .map(|(at, index)| GossipPeer {
            vm: vm(at, index),
            zone: zone(at),
        })
        .collect();
    let seal = FrameSeal::new(b"a secret for tests");
    let start = MonoTime::from_millis(1);
    let mut sent = 0;
    let mut largest = 0;
    for index in 0..sizes[0] {
        let own = vm(0, index);
        let mut node = GossipNode::new(own.clone(), zone(0), start, index as u64);
        node.handle(start, GossipEvent::Peers(peers.clone()));
        for step in 0..SECONDS * 10 {
            let now = start + TICK * step as u32;
            let mut actions = node.handle(now, GossipEvent::Tick);
            if step % 10 == 0 {
                let revision = 2 + step / 10;
                actions.extend(node.handle(
                    now,
                    GossipEvent::Adopted {
                        config: Revision(revision),
                        vms: Revision(1),
                        delta: Some(change(revision)),
                    },
                ));
                actions.extend(node.handle(now, GossipEvent::PlatformRead));
            }
            for action in actions {
                let GossipAction::Send(to, message) = action else {
                    continue;
                };
                if to.as_str().starts_with("10.0.") {
                    continue;
                }
                let bytes = frame_bytes(&seal, &own, &to, message);
                sent += bytes;
                largest = largest.max(bytes);
            }
        }
    }
    (sent as f64 / SECONDS as f64, largest)
}

fn frame_bytes(seal: &FrameSeal, from: &VmId, to: &VmId, message: PeerMessage) -> usize {
    let frame = PeerFrame {
        from: from.clone(),
        incarnation: 0x8000_0000,
        number: 1_000,
        message,
    };
    seal.seal(&frame, to).unwrap().len()
}

// Guards against gossip between zones that grows with the VMs of a zone: each
// daemon sent each change, with its records, to another zone.
#[test_case(&[13, 10, 4]; "27 daemons")]
#[test_case(&[4, 13, 10]; "27 daemons with a small zone first")]
#[test_case(&[60, 60, 60, 60, 60]; "300 daemons")]
#[test_case(&[373, 373, 373, 373, 373, 373, 373, 373, 372, 372, 372]; "4100 daemons")]
fn zone_sends_alike(sizes: &[usize]) {
    let (bytes_per_s, largest) = zone_traffic(sizes);
    assert!(bytes_per_s < ZONE_BYTES_PER_S, "{bytes_per_s} bytes/s");
    assert!(largest <= 100, "a message of {largest} bytes");
}
