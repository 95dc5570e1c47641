//! Counters that no sound egress reports.

use std::time::Duration;

use health::{Action, DetectorOptions, Event, MemberSpec, OutcomeCounts, PoolDetector};
use ids::{MonoTime, Slots};
use proptest::{prelude::*, test_runner::RngSeed};

fn number_strategy() -> impl Strategy<Value = u64> {
    prop_oneof![any::<u64>(), 0..50_u64, Just(u64::MAX)]
}

fn counts_strategy() -> impl Strategy<Value = OutcomeCounts> {
    let numbers = (
        number_strategy(),
        number_strategy(),
        number_strategy(),
        number_strategy(),
    );
    (0..2_u32, numbers, any::<bool>()).prop_map(
        |(incarnation, (samples, failed, slow, stuck), unhealthy)| OutcomeCounts {
            incarnation,
            samples,
            failed,
            slow,
            stuck,
            unhealthy,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_334),
        ..ProptestConfig::default()
    })]

    // Guards against a detector that one malformed report ends or leaves without a
    // valid weight.
    #[test]
    fn any_report_is_survived(
        steps in proptest::collection::vec((counts_strategy(), 0..5_usize, 0..2_000_u64), 1..60),
    ) {
        let mut now = MonoTime::from_millis(1);
        let mut detector = PoolDetector::new(DetectorOptions::default());
        let server = |index: usize| format!("server-{index}").parse().unwrap();
        let member = |index: usize| MemberSpec {
            server: server(index),
            slots: Slots(5),
            usable: true,
        };
        detector.handle(now, Event::Members((0..4).map(member).collect()));
        for (counts, index, millis) in steps {
            now = now + Duration::from_millis(millis);
            let mut actions = detector.handle(now, Event::Reported(server(index), counts));
            actions.extend(detector.handle(now, Event::ServiceTime(
                server(index),
                Duration::from_micros(counts.samples),
            )));
            actions.extend(detector.handle(now, Event::Tick));
            for action in actions {
                if let Action::SetWeight { weight, .. } = action {
                    prop_assert!((0.0..=1.0).contains(&weight), "{weight}");
                }
            }
        }
    }
}
