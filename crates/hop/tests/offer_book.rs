//! Offers at an egress: granted once, committed once, dead afterwards.

use hop::{EgressIncarnation, OfferId, OfferKey, OfferStatus, OfferTable};
use ids::MonoTime;
use proptest::prelude::*;

type Book = OfferTable<(), u32>;

const LIFE: EgressIncarnation = EgressIncarnation(7);
/// When the requests of most tests must have ended, in milliseconds.
const DEADLINE: u64 = 3_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn key(offer: u64) -> OfferKey {
    OfferKey {
        from: "vm-1".parse().unwrap(),
        offer: OfferId(offer),
    }
}

/// A book with a granted offer 1.
fn granted() -> Book {
    let mut book = Book::new(LIFE);
    assert_eq!(book.offer(at(10), key(1), || ()), OfferStatus::New);
    assert_eq!(book.grant(at(20), &key(1), 7), Ok(()));
    book
}

#[test]
fn committed_once() {
    let mut book = granted();
    assert_eq!(book.commit(at(25), &key(1), at(DEADLINE)), Ok(7));
    assert_eq!(
        book.commit(at(26), &key(1), at(DEADLINE)),
        Err(OfferStatus::Committed)
    );
    assert_eq!(book.withdraw(at(27), key(1)), OfferStatus::Committed);
}

#[test]
fn late_request_is_refused() {
    let mut book = granted();
    assert_eq!(
        book.commit(at(1_000), &key(1), at(DEADLINE)),
        Err(OfferStatus::Ended)
    );
    // Also after another copy of the offer.
    assert_eq!(book.offer(at(1_010), key(1), || ()), OfferStatus::Ended);
    assert_eq!(
        book.commit(at(1_020), &key(1), at(DEADLINE)),
        Err(OfferStatus::Ended)
    );
}

#[test]
fn withdrawn_grant_goes_back() {
    let mut book = Book::new(LIFE);
    book.offer(at(10), key(1), || ());
    assert_eq!(book.withdraw(at(11), key(1)), OfferStatus::Ended);
    assert_eq!(book.grant(at(20), &key(1), 7), Err(7));
}

#[test]
fn withdrawal_overtakes() {
    let mut book = Book::new(LIFE);
    assert_eq!(book.withdraw(at(10), key(1)), OfferStatus::Ended);
    assert_eq!(book.offer(at(11), key(1), || ()), OfferStatus::Ended);
}

#[test]
fn request_without_offer() {
    // The daemon restarted between grant and commit.
    let mut book = Book::new(LIFE);
    assert_eq!(
        book.commit(at(10), &key(1), at(DEADLINE)),
        Err(OfferStatus::Ended)
    );
    assert_eq!(book.offer(at(11), key(1), || ()), OfferStatus::Ended);
}

#[test]
fn ended_offers_are_forgotten() {
    let mut book = granted();
    book.expire(at(500));
    assert_eq!(book.len(), 1);
    book.offer(at(20_000), key(2), || ());
    assert_eq!(book.len(), 1);
}

#[test]
fn long_run_is_remembered() {
    // Pattern: a request runs for longer than ended offers are remembered, and
    // its ingress asks again and again. Told that it never came, the ingress
    // would run it a second time.
    let mut book = granted();
    assert_eq!(book.commit(at(25), &key(1), at(20_000)), Ok(7));
    for second in 1..27 {
        let now = at(second * 1_000);
        // Other offers come and have what ended long ago swept.
        book.offer(now, key(100 + second), || ());
        assert_eq!(book.check(now, key(1), LIFE), OfferStatus::Committed);
    }
}

#[test]
fn earlier_life_is_not_vouched_for() {
    // Pattern: the daemon is killed while its server runs a request, and the
    // check of the ingress reaches the next process.
    let mut book = Book::new(EgressIncarnation(8));
    assert_eq!(book.check(at(10), key(1), LIFE), OfferStatus::Restarted);
    assert_eq!(
        book.check(at(11), key(1), EgressIncarnation(8)),
        OfferStatus::Ended
    );
}

/// A step at the book.
#[derive(Clone, Debug)]
enum Step {
    Offer(u64),
    Grant(u64),
    Refuse(u64),
    Withdraw(u64),
    Commit(u64),
    Pass(u64),
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
        (1..400_u64).prop_map(Step::Pass),
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

    /// However the messages come, a request runs at most once, and never
    /// after its ingress was told that it did not.
    #[test]
    fn runs_at_most_once(steps in steps()) {
        let mut book = Book::new(LIFE);
        let mut now = 10;
        let mut runs = [0; 4];
        let mut told_not_run = [false; 4];
        for step in steps {
            match step {
                Step::Offer(id) => {
                    let answer = book.offer(at(now), key(id), || ());
                    told_not_run[id as usize] |= answer == OfferStatus::Ended;
                }
                Step::Grant(id) => {
                    let _ = book.grant(at(now), &key(id), 1);
                }
                Step::Refuse(id) => book.refuse(at(now), &key(id)),
                Step::Withdraw(id) => {
                    let answer = book.withdraw(at(now), key(id));
                    told_not_run[id as usize] |= answer == OfferStatus::Ended;
                }
                Step::Commit(id) => match book.commit(at(now), &key(id), at(DEADLINE)) {
                    Ok(_) => {
                        runs[id as usize] += 1;
                        prop_assert!(!told_not_run[id as usize]);
                    }
                    Err(answer) => told_not_run[id as usize] |= answer == OfferStatus::Ended,
                },
                Step::Pass(millis) => now += millis,
                Step::Expire => book.expire(at(now)),
            }
            prop_assert!(runs.iter().all(|runs| *runs <= 1));
            // Within the time for which ended offers are remembered.
            if now > 7_000 {
                break;
            }
        }
    }
}
