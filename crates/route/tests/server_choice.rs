//! Choice of the better of two backend servers, the floor of a pool, and
//! idempotence by method.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

use ids::Percent;
use route::{Candidate, Distance, choose_server, is_idempotent, keep_floor};
use test_case::test_case;

const IDLE: Candidate = Candidate {
    slots: 5,
    running: 0,
    delay: Duration::ZERO,
    in_flight: 0,
    service_time: Duration::from_millis(10),
    distance: Distance::Zone,
    weight: 1.0,
    rejected: 0.0,
};
const FULL: Candidate = Candidate {
    running: 5,
    in_flight: 5,
    ..IDLE
};
const QUEUED: Candidate = Candidate {
    delay: Duration::from_millis(40),
    ..IDLE
};
const OTHER_ZONE: Candidate = Candidate {
    distance: Distance::Region,
    ..IDLE
};
const LOCAL: Candidate = Candidate {
    distance: Distance::Local,
    ..IDLE
};
const SLOW_START: Candidate = Candidate {
    weight: 0.1,
    ..IDLE
};
const EJECTED: Candidate = Candidate {
    weight: 0.0,
    ..IDLE
};

/// Returns the share of choices that fall on the first candidate.
fn first_share(candidates: &[Candidate]) -> f64 {
    let mut rng = StdRng::seed_from_u64(7);
    let mut first = 0;
    for _ in 0..10_000 {
        let random = [rng.next_u64(), rng.next_u64(), rng.next_u64()];
        first += usize::from(choose_server(candidates, random, Duration::ZERO) == Some(0));
    }
    first as f64 / 10_000.0
}

#[test_case(&[IDLE, FULL], 0.99..1.01; "free before full")]
#[test_case(&[IDLE, QUEUED], 0.99..1.01; "free before queued")]
#[test_case(&[IDLE, OTHER_ZONE], 0.99..1.01; "same zone before region")]
#[test_case(&[LOCAL, IDLE], 0.99..1.01; "local before zone")]
#[test_case(&[FULL, OTHER_ZONE], -0.01..0.01; "region before full")]
#[test_case(&[IDLE, EJECTED], 0.99..1.01; "ejected is never chosen")]
#[test_case(&[SLOW_START, IDLE, IDLE, IDLE], 0.0..0.06; "slow start gets its share")]
fn better_chosen(candidates: &[Candidate], share: std::ops::Range<f64>) {
    let first = first_share(candidates);
    assert!(share.contains(&first), "{first}");
}

#[test]
fn none_in_rotation() {
    assert_eq!(
        choose_server(&[EJECTED, EJECTED], [1, 2, 3], Duration::ZERO),
        None
    );
    assert_eq!(choose_server(&[], [1, 2, 3], Duration::ZERO), None);
    assert_eq!(
        choose_server(&[IDLE], [u64::MAX; 3], Duration::ZERO),
        Some(0)
    );
}

#[test_case("GET", None, true)]
#[test_case("POST", None, false)]
#[test_case("PATCH", None, false)]
#[test_case("POST", Some(true), true)]
#[test_case("GET", Some(false), false)]
fn idempotence(method: &str, route: Option<bool>, expected: bool) {
    assert_eq!(is_idempotent(method, route), expected);
}

#[test_case(6, &[IDLE, IDLE, IDLE, IDLE, IDLE, EJECTED], false; "floor is kept")]
#[test_case(6, &[IDLE, IDLE, EJECTED, EJECTED], true; "too few left by failing and ejected")]
#[test_case(3, &[IDLE, EJECTED, EJECTED], true; "small pool")]
#[test_case(2, &[EJECTED], true; "no server left")]
fn floor_restores(pool: usize, candidates: &[Candidate], restored: bool) {
    let mut candidates = candidates.to_vec();
    let before = candidates.clone();
    keep_floor(&mut candidates, pool, Percent(67));
    assert_eq!(candidates != before, restored);
    assert_eq!(candidates.iter().all(|item| item.weight > 0.0), restored);
}

#[test]
fn other_zone_penalty() {
    let random = [1, u64::MAX, u64::MAX];
    let penalty = Duration::from_millis(10);
    assert_eq!(choose_server(&[FULL, OTHER_ZONE], random, penalty), Some(0));
    assert_eq!(
        choose_server(&[QUEUED, OTHER_ZONE], random, penalty),
        Some(1)
    );
}

/// Load of a zone with one idle server among busy ones, beside an idle zone.
const MIXED_ZONE: [Candidate; 6] = [QUEUED, IDLE, OTHER_ZONE, OTHER_ZONE, OTHER_ZONE, OTHER_ZONE];

// Guards against requests that leave their zone while a server there is idle: the
// other of two candidates was drawn from all zones.
#[test]
fn idle_server_of_zone_first() {
    let mut rng = StdRng::seed_from_u64(11);
    let penalty = Duration::from_millis(10);
    let mut choices = [0_u32; MIXED_ZONE.len()];
    for _ in 0..2_000 {
        let random = [rng.next_u64(), rng.next_u64(), rng.next_u64()];
        choices[choose_server(&MIXED_ZONE, random, penalty).unwrap()] += 1;
    }
    assert_eq!(choices[1], 2_000, "{choices:?}");
}

#[test]
fn queues_of_zone_before_distance() {
    // Waiting for less than the price of distance is better than leaving the zone.
    let candidates = [QUEUED, QUEUED, OTHER_ZONE];
    for (penalty_ms, stays) in [(10, false), (60, true)] {
        let penalty = Duration::from_millis(penalty_ms);
        let index = choose_server(&candidates, [1, 2, 3], penalty).unwrap();
        assert_eq!(index < 2, stays, "{penalty_ms} ms");
    }
}
