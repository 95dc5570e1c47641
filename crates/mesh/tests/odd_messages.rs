//! Authentic messages with content that no sound daemon sends.

use ids::{MonoTime, Revision, VmId};
use mesh::{
    Freshness, GossipAction, GossipEvent, GossipNode, GossipPeer, KnownRevisions, PeerFrame,
    PeerMessage,
};
use proptest::{prelude::*, test_runner::RngSeed};

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

fn number_strategy() -> impl Strategy<Value = u64> {
    prop_oneof![any::<u64>(), 0..5_u64, Just(u64::MAX), Just(u64::MAX - 1)]
}

fn known_strategy() -> impl Strategy<Value = KnownRevisions> {
    let numbers = (number_strategy(), number_strategy(), number_strategy());
    numbers.prop_map(|(config, vms, age_ms)| KnownRevisions {
        config: Revision(config),
        vms: Revision(vms),
        age_ms,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_332),
        ..ProptestConfig::default()
    })]

    // Guards against a daemon that one malformed message ends.
    #[test]
    fn any_revision_is_survived(
        messages in proptest::collection::vec((known_strategy(), any::<bool>(), 0..20_usize, 0..5_000_u64), 1..40),
    ) {
        let mut now = MonoTime::from_millis(1);
        let mut node = GossipNode::new(vm(0), "zone-0".parse().unwrap(), now, 7);
        let peer = |index: usize| GossipPeer {
            vm: vm(index),
            zone: format!("zone-{}", index % 3).parse().unwrap(),
        };
        node.handle(now, GossipEvent::Peers((0..6).map(peer).collect()));
        for (known, wants_reply, from, millis) in messages {
            now = now + std::time::Duration::from_millis(millis);
            let from = vm(from);
            node.handle(now, GossipEvent::Message { from, known, wants_reply });
            node.handle(now, GossipEvent::Tick);
        }
        // What the platform says counts again, whatever peers have claimed.
        let actions = node.handle(now, GossipEvent::PlatformRead);
        prop_assert_eq!(node.freshness(now, false), Freshness::Fresh);
        prop_assert!(actions.iter().all(|action| matches!(action, GossipAction::Send(..))));
    }

    // Any bytes behind a valid hash are a frame or an error.
    #[test]
    fn any_body_is_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let frame = postcard::from_bytes::<PeerFrame>(&bytes);
        if let Ok(PeerFrame { message: PeerMessage::Push { delta: Some(delta), .. }, .. }) = frame {
            prop_assert!(delta.parse().is_none() || !delta.is_empty());
        }
    }

    // A frame of a sound daemon with one byte changed, as the seed of the corpus.
    #[test]
    fn changed_frame_is_decoded_or_refused(
        known in known_strategy(), at in any::<prop::sample::Index>(), value in any::<u8>(),
    ) {
        let frame = PeerFrame {
            from: vm(1),
            incarnation: 5,
            number: 9,
            message: PeerMessage::Exchange(known),
        };
        let mut bytes = postcard::to_stdvec(&frame).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = value;
        let _ = postcard::from_bytes::<PeerFrame>(&bytes);
    }
}
