//! Tests of frames: a sealed frame can be opened, and any other input is
//! rejected with its reason.

use health::OutcomeCounts;
use ids::{Revision, VmId};
use limit::{LeaseRequestId, LimitMessage};
use mesh::{
    FrameError, FrameSeal, KnownRevisions, MAX_FRAME_BYTES, PeerFrame, PeerMessage, ReplayGuard,
};
use proptest::prelude::*;
use test_case::test_case;

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn frame(message: PeerMessage) -> PeerFrame {
    PeerFrame {
        from: vm("vm-1"),
        incarnation: 1,
        number: 7,
        message,
    }
}

fn ask() -> PeerMessage {
    PeerMessage::Limit(LimitMessage::LeaseRequest {
        request: LeaseRequestId(3),
        account: "radio-one".parse().unwrap(),
        want: 5,
    })
}

fn known() -> PeerMessage {
    PeerMessage::Exchange(KnownRevisions {
        config: Revision(5),
        vms: Revision(6),
        age_ms: 10,
    })
}

fn evidence() -> PeerMessage {
    PeerMessage::Evidence {
        server: "plans-1".parse().unwrap(),
        counts: OutcomeCounts {
            incarnation: 1,
            samples: 2,
            unhealthy: true,
            ..OutcomeCounts::default()
        },
        closed: true,
        rejected: ids::Percent(3),
    }
}

#[test_case(ask())]
#[test_case(known())]
#[test_case(evidence())]
fn round_trip(message: PeerMessage) {
    let seal = FrameSeal::new(b"a secret for tests");
    let bytes = seal.seal(&frame(message.clone()), &vm("vm-2")).unwrap();
    assert_eq!(seal.open(&bytes, &vm("vm-2")), Ok(frame(message)));
}

#[test_case(|bytes: &mut Vec<u8>| bytes.clear(), FrameError::BadLength; "empty")]
#[test_case(|bytes: &mut Vec<u8>| bytes.truncate(17), FrameError::BadLength; "no body")]
#[test_case(|bytes: &mut Vec<u8>| bytes.resize(MAX_FRAME_BYTES + 1, 0), FrameError::BadLength; "too long")]
#[test_case(|bytes: &mut Vec<u8>| bytes[0] = 9, FrameError::BadVersion; "other version")]
#[test_case(|bytes: &mut Vec<u8>| bytes[3] ^= 1, FrameError::BadHash; "hash changed")]
#[test_case(|bytes: &mut Vec<u8>| { let last = bytes.len() - 1; bytes[last] ^= 1 }, FrameError::BadHash; "body changed")]
#[test_case(|bytes: &mut Vec<u8>| { bytes.pop(); }, FrameError::BadHash; "cut short")]
#[test_case(|bytes: &mut Vec<u8>| bytes.push(0), FrameError::BadHash; "trailing byte")]
fn damage_rejected(damage: fn(&mut Vec<u8>), expected: FrameError) {
    let seal = FrameSeal::new(b"a secret for tests");
    let mut bytes = seal.seal(&frame(ask()), &vm("vm-2")).unwrap();
    damage(&mut bytes);
    assert_eq!(seal.open(&bytes, &vm("vm-2")), Err(expected));
}

#[test]
fn other_secret_rejected() {
    let bytes = FrameSeal::new(b"another secret here")
        .seal(&frame(ask()), &vm("vm-2"))
        .unwrap();
    assert_eq!(
        FrameSeal::new(b"a secret for tests").open(&bytes, &vm("vm-2")),
        Err(FrameError::BadHash)
    );
}

#[test]
fn other_receiver_rejected() {
    let seal = FrameSeal::new(b"a secret for tests");
    let bytes = seal.seal(&frame(ask()), &vm("vm-2")).unwrap();
    assert_eq!(seal.open(&bytes, &vm("vm-3")), Err(FrameError::BadHash));
}

// Guards against frames that name what their receiver knows: they are most of the
// bytes between zones on a calm day.
#[test]
fn frame_overhead() {
    let seal = FrameSeal::new(b"a secret for tests");
    let frame = PeerFrame {
        from: vm("10.1.0.26"),
        incarnation: u32::MAX,
        number: 10_000,
        message: ask(),
    };
    let bytes = seal.seal(&frame, &vm("10.1.0.27")).unwrap();
    let message = postcard::to_stdvec(&ask()).unwrap();
    assert!(bytes.len() <= message.len() + 36, "{}", bytes.len());
}

#[test]
fn replay_dropped() {
    let mut guard = ReplayGuard::default();
    let from = vm("vm-1");
    assert!(guard.accept(&from, 5, 10));
    assert!(!guard.accept(&from, 5, 10));
    assert!(guard.accept(&from, 5, 12));
    assert!(guard.accept(&from, 5, 11), "out of order, but new");
    assert!(!guard.accept(&from, 5, 11));
    assert!(guard.accept(&from, 5, 1_000));
    assert!(!guard.accept(&from, 5, 900), "older than the window");
    // Incarnations have random numbers. If they were numbered by time of day, a
    // later one would look like an earlier one after the clock jumps back.
    assert!(guard.accept(&from, 4, 2_000), "another incarnation");
    assert!(
        !guard.accept(&from, 5, 2_000),
        "a frame of the previous incarnation"
    );
    assert!(guard.accept(&from, 6, 1), "a third incarnation");
    assert!(!guard.accept(&from, 5, 2_001));
    assert!(!guard.accept(&from, 4, 2_001));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_265),
        ..ProptestConfig::default()
    })]

    #[test]
    fn garbage_is_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let seal = FrameSeal::new(b"a secret for tests");
        prop_assert!(seal.open(&bytes, &vm("vm-2")).is_err());
    }
}
