//! Tests of packed texts: they are small, complete and bounded in size.

use config::{Account, Record};
use ids::{TokenAmount, TokenRate, Weight};
use mesh::{PackError, pack, unpack};
use proptest::{prelude::*, test_runner::RngSeed};

/// Returns records like those that a starting daemon receives.
fn records(count: u32) -> Vec<Record> {
    let account = |number| {
        Record::Account(Account {
            id: format!("account-{number}").parse().unwrap(),
            rate: TokenRate::per_second(u64::from(number % 90 + 5)),
            burst: TokenAmount::whole(u64::from(number % 90 + 5)),
            weight: Weight(1),
            rank: None,
            homes: Vec::new(),
        })
    };
    (0..count).map(account).collect()
}

#[test]
fn configuration_packs_small() {
    // All daemons start at the same time, and each receives all records.
    let records = records(300);
    let text = serde_json::to_vec(&records).unwrap();
    let packed = pack(&records).unwrap();
    let share = packed.len() as f64 / text.len() as f64;
    assert!(share < 0.25, "{share} of {} bytes", text.len());
    assert_eq!(unpack::<Vec<Record>>(&packed).unwrap(), records);
}

#[test]
fn huge_size_is_refused() {
    let mut packed = pack(&records(3)).unwrap();
    packed[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    let unpacked = unpack::<Vec<Record>>(&packed);
    assert!(matches!(unpacked, Err(PackError::BadSize)), "{unpacked:?}");
}

#[test]
fn other_value_is_refused() {
    let packed = pack(&"records").unwrap();
    let unpacked = unpack::<Vec<Record>>(&packed);
    assert!(
        matches!(unpacked, Err(PackError::BadText(_))),
        "{unpacked:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_270),
        ..ProptestConfig::default()
    })]

    #[test]
    fn damage_never_panics(
        at in 0..400_usize,
        byte in any::<u8>(),
        length in 0..400_usize,
    ) {
        let mut packed = pack(&records(9)).unwrap();
        let at = at % packed.len();
        packed[at] = byte;
        packed.truncate(length);
        // A stated size within the bound is allocated, a larger one is refused.
        let _ = unpack::<Vec<Record>>(&packed);
    }
}
