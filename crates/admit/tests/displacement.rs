//! Properties of the order of displacement.

use std::{cmp::Ordering, time::Duration};

use admit::{JobOutlook, JobTerms, displacement};
use ids::Rank;
use proptest::{prelude::*, test_runner::RngSeed};

fn millis() -> impl Strategy<Value = Duration> {
    let edge = prop_oneof![Just(0), Just(u64::MAX / 2_000_000), 0..60_000_u64];
    edge.prop_map(Duration::from_millis)
}

fn any_terms() -> impl Strategy<Value = JobTerms> {
    let flags = any::<[bool; 3]>();
    (flags, 0..4_u8, millis(), millis(), millis(), millis()).prop_map(
        |([internal, owed, idempotent], rank, to_target, to_deadline, target_budget, work)| {
            JobTerms {
                internal,
                owed,
                rank: Rank(rank),
                idempotent,
                to_target,
                to_deadline: to_deadline.max(to_target),
                target_budget: target_budget.max(to_target),
                deadline_budget: to_deadline.max(to_target),
                work,
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_401),
        ..ProptestConfig::default()
    })]

    // Guards against a request that goes behind one of a lower rank, other than one
    // whose kind is owed its least share.
    #[test]
    fn rank_goes_first(first in any_terms(), second in any_terms()) {
        let second = JobTerms { internal: first.internal, owed: first.owed, ..second };
        let order = displacement(&first).cmp_class(&displacement(&second));
        match first.rank.cmp(&second.rank) {
            Ordering::Equal => {}
            by_rank => prop_assert_eq!(order, by_rank),
        }
    }

    // Guards against internal work that delays customers' requests, and against an owed
    // kind that goes behind others.
    #[test]
    fn share_goes_before_rank(first in any_terms(), second in any_terms()) {
        let order = displacement(&first).cmp_class(&displacement(&second));
        match (first.internal.cmp(&second.internal), second.owed.cmp(&first.owed)) {
            (Ordering::Equal, Ordering::Equal) => {}
            (Ordering::Equal, by_share) => prop_assert_eq!(order, by_share),
            (by_origin, _) => prop_assert_eq!(order, by_origin),
        }
    }

    // Guards against an order that a small error of the estimate reverses: the cost of a
    // job follows its work, and no factor outweighs one of four in the work.
    #[test]
    fn work_decides_the_cost(first in any_terms(), second in any_terms()) {
        let second = JobTerms { work: first.work.saturating_mul(4), ..second };
        prop_assert!(displacement(&first).cost <= displacement(&second).cost);
        let more = JobTerms { work: first.work.mul_f64(1.05), ..first };
        let (cost, dearer) = (displacement(&first).cost, displacement(&more).cost);
        prop_assert!(dearer <= cost.mul_f64(1.06) + Duration::from_nanos(4));
        prop_assert!(dearer >= cost.mul_f64(0.65));
    }

    // Guards against a job that waits for what it cannot get, and against one that is
    // given up while it can still be served.
    #[test]
    fn outlook_follows_time(terms in any_terms(), passed in millis()) {
        let later = JobTerms {
            to_target: terms.to_target.saturating_sub(passed),
            to_deadline: terms.to_deadline.saturating_sub(passed),
            ..terms
        };
        prop_assert!(displacement(&later).outlook >= displacement(&terms).outlook);
        let outlook = displacement(&terms).outlook;
        if terms.work <= terms.to_deadline && !terms.to_deadline.is_zero() {
            prop_assert!(outlook < JobOutlook::Hopeless);
        }
        if terms.to_deadline.is_zero() {
            prop_assert_eq!(outlook, JobOutlook::Hopeless);
        }
    }
}
