//! Loads that no sound daemon reports: the choice must survive them.

use std::time::Duration;

use ids::Percent;
use proptest::{prelude::*, test_runner::RngSeed};
use route::{Candidate, Distance, choose_server, keep_floor};

fn candidate_strategy() -> impl Strategy<Value = Candidate> {
    let number = prop_oneof![any::<u32>(), Just(0), Just(u32::MAX)];
    let micros = prop_oneof![any::<u64>(), Just(0), Just(u64::MAX)];
    let weight = prop_oneof![0.0..1.0_f64, Just(0.0), Just(1.0), Just(f64::MIN_POSITIVE)];
    let distance = prop_oneof![
        Just(Distance::Local),
        Just(Distance::Zone),
        Just(Distance::Region),
        Just(Distance::Remote),
    ];
    let numbers = (number.clone(), number.clone(), number);
    let rejected = prop_oneof![0.0..1.0_f64, Just(0.0), Just(1.0), Just(7.0)];
    let parts = (numbers, micros.clone(), micros, distance, weight, rejected);
    parts.prop_map(
        |((slots, running, in_flight), delay, service, distance, weight, rejected)| Candidate {
            slots,
            running,
            delay: Duration::from_micros(delay),
            in_flight,
            service_time: Duration::from_micros(service),
            distance,
            weight,
            rejected,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_331),
        ..ProptestConfig::default()
    })]

    // Guards against a request path that panics because of what one peer reports.
    #[test]
    fn any_load_is_survived(
        candidates in proptest::collection::vec(candidate_strategy(), 0..6),
        random in any::<[u64; 3]>(),
        penalty in any::<u32>(),
    ) {
        let mut candidates = candidates;
        keep_floor(&mut candidates, 6, Percent(60));
        let choice = choose_server(&candidates, random, Duration::from_micros(penalty.into()));
        let some = candidates.iter().any(|item| item.weight > 0.0);
        prop_assert_eq!(choice.is_some(), some);
    }
}
