//! Tests of the offer table: an offer is granted and committed at most once,
//! and an ended offer never runs.

use hop::{EgressIncarnation, OfferId, OfferKey, OfferStatus, OfferTable};
use ids::MonoTime;
use proptest::prelude::*;

type Table = OfferTable<(), u32>;

const INCARNATION: EgressIncarnation = EgressIncarnation(7);
/// Deadline of the requests of most tests, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn key(offer: u64) -> OfferKey {
    OfferKey {
        from: "vm-1".parse().unwrap(),
        offer: OfferId(offer),
    }
}

/// Returns a table in which offer 1 is granted.
fn granted() -> Table {
    let mut table = Table::new(INCARNATION);
    assert_eq!(table.offer(at(10), key(1), || ()), OfferStatus::New);
    assert_eq!(table.grant(at(20), &key(1), 7), Ok(()));
    table
}

#[test]
fn committed_once() {
    let mut table = granted();
    assert_eq!(table.commit(at(25), &key(1), at(DEADLINE_MS)), Ok(7));
    assert_eq!(
        table.commit(at(26), &key(1), at(DEADLINE_MS)),
        Err(OfferStatus::Committed)
    );
    assert_eq!(table.withdraw(at(27), key(1)), OfferStatus::Committed);
}

#[test]
fn late_request_is_refused() {
    let mut table = granted();
    assert_eq!(
        table.commit(at(1_000), &key(1), at(DEADLINE_MS)),
        Err(OfferStatus::Ended)
    );
    // A repeated offer does not change that.
    assert_eq!(table.offer(at(1_010), key(1), || ()), OfferStatus::Ended);
    assert_eq!(
        table.commit(at(1_020), &key(1), at(DEADLINE_MS)),
        Err(OfferStatus::Ended)
    );
}

#[test]
fn withdrawn_offer_gets_no_slot() {
    let mut table = Table::new(INCARNATION);
    table.offer(at(10), key(1), || ());
    assert_eq!(table.withdraw(at(11), key(1)), OfferStatus::Ended);
    assert_eq!(table.grant(at(20), &key(1), 7), Err(7));
}

#[test]
fn withdrawal_overtakes_offer() {
    let mut table = Table::new(INCARNATION);
    assert_eq!(table.withdraw(at(10), key(1)), OfferStatus::Ended);
    assert_eq!(table.offer(at(11), key(1), || ()), OfferStatus::Ended);
}

#[test]
fn request_without_offer() {
    // The daemon of the egress restarted between grant and commit.
    let mut table = Table::new(INCARNATION);
    assert_eq!(
        table.commit(at(10), &key(1), at(DEADLINE_MS)),
        Err(OfferStatus::Ended)
    );
    assert_eq!(table.offer(at(11), key(1), || ()), OfferStatus::Ended);
}

#[test]
fn ended_offers_are_removed() {
    let mut table = granted();
    table.expire(at(500));
    assert_eq!(table.len(), 1);
    table.offer(at(20_000), key(2), || ());
    assert_eq!(table.len(), 1);
}

#[test]
fn long_run_is_remembered() {
    // A request runs for longer than ended offers are kept, and its ingress
    // checks repeatedly. If the egress replied that the request never arrived,
    // the ingress would run it a second time.
    let mut table = granted();
    assert_eq!(table.commit(at(25), &key(1), at(20_000)), Ok(7));
    for second in 1..27 {
        let now = at(second * 1_000);
        // Each other offer triggers the removal of old entries.
        table.offer(now, key(100 + second), || ());
        assert_eq!(
            table.check(now, key(1), INCARNATION),
            OfferStatus::Committed
        );
    }
}

#[test]
fn earlier_life_is_not_vouched_for() {
    // The daemon is killed while its backend server runs a request, and the
    // check of the ingress reaches the restarted daemon, which cannot tell
    // whether the request ran.
    let mut table = Table::new(EgressIncarnation(8));
    assert_eq!(
        table.check(at(10), key(1), INCARNATION),
        OfferStatus::Restarted
    );
    assert_eq!(
        table.check(at(11), key(1), EgressIncarnation(8)),
        OfferStatus::Ended
    );
}

// Guards against an ingress that waits to its deadline for an answer that was sent, and
// against a copy of the request that runs after the answer.
#[test]
fn answer_is_reported() {
    let mut table = granted();
    assert_eq!(table.commit(at(25), &key(1), at(1_000)), Ok(7));
    table.record_answer(&key(1));
    assert_eq!(
        table.check(at(30), key(1), INCARNATION),
        OfferStatus::Answered
    );
    assert_eq!(
        table.commit(at(31), &key(1), at(1_000)),
        Err(OfferStatus::Committed)
    );
    assert_eq!(
        table.withdraw(at(32), key(1)),
        OfferStatus::Answered,
        "a withdrawal does not end what has run"
    );
    table.record_answer(&key(2));
    assert_eq!(table.len(), 1);
}

/// Operation on the table.
#[derive(Clone, Debug)]
enum Step {
    Offer(u64),
    Grant(u64),
    Refuse(u64),
    Withdraw(u64),
    Commit(u64),
    Sleep(u64),
    Expire,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let offer = 0..4_u64;
    let step = prop_oneof![
        offer.clone().prop_map(Step::Offer),
        offer.clone().prop_map(Step::Grant),
        offer.clone().prop_map(Step::Refuse),
        offer.clone().prop_map(Step::Withdraw),
        offer.prop_map(Step::Commit),
        (1..400_u64).prop_map(Step::Sleep),
        Just(Step::Expire),
    ];
    proptest::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_270),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For any order of messages, a request runs at most once, and never after
    /// its ingress was told that it did not run.
    #[test]
    fn runs_at_most_once(steps in steps()) {
        let mut table = Table::new(INCARNATION);
        let mut now = 10;
        let mut runs = [0; 4];
        let mut told_not_run = [false; 4];
        for step in steps {
            match step {
                Step::Offer(id) => {
                    let status = table.offer(at(now), key(id), || ());
                    told_not_run[id as usize] |= status == OfferStatus::Ended;
                }
                Step::Grant(id) => {
                    let _ = table.grant(at(now), &key(id), 1);
                }
                Step::Refuse(id) => table.refuse(at(now), &key(id)),
                Step::Withdraw(id) => {
                    let status = table.withdraw(at(now), key(id));
                    told_not_run[id as usize] |= status == OfferStatus::Ended;
                }
                Step::Commit(id) => match table.commit(at(now), &key(id), at(DEADLINE_MS)) {
                    Ok(_) => {
                        runs[id as usize] += 1;
                        prop_assert!(!told_not_run[id as usize]);
                    }
                    Err(status) => told_not_run[id as usize] |= status == OfferStatus::Ended,
                },
                Step::Sleep(millis) => now += millis,
                Step::Expire => table.expire(at(now)),
            }
            prop_assert!(runs.iter().all(|runs| *runs <= 1));
            // Later, ended offers may have been removed from the table.
            if now > 7_000 {
                break;
            }
        }
    }
}
