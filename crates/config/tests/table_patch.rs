//! Patches between tables that share no history: small, exact, checked.

mod accounts;

use std::collections::BTreeMap;

use accounts::account;
use config::{BucketDigests, ConfigTable, TableBuilder, TablePatch};
use ids::Revision;
use proptest::{prelude::*, test_runner::RngSeed};

fn table(revision: u64, accounts: &BTreeMap<u16, u64>) -> ConfigTable {
    let mut builder = TableBuilder::new();
    for (number, rate) in accounts {
        builder.put(account(*number, *rate)).unwrap();
    }
    let state = builder.state_digest();
    builder.finish(Revision(revision), state).unwrap()
}

/// The patch that a daemon with `table` would get.
fn patch(from: &ConfigTable, to: &ConfigTable) -> TablePatch {
    TablePatch::new(to, &BucketDigests::of(&from.records()))
}

#[test]
fn one_change_costs_one_bucket() {
    // Pattern: readers step through the same changes with other strides, so
    // the deltas of one don't continue the table of another. 250 records, as a
    // deployment of today has, would be given for each change.
    let mut accounts: BTreeMap<u16, u64> = (0..250).map(|number| (number, 5)).collect();
    let old = table(10, &accounts);
    accounts.insert(17, 6);
    let new = table(14, &accounts);
    let patch = patch(&old, &new);
    assert!(patch.len() <= 15, "{}", patch.len());
    let (reached, delta) = patch.apply(&old).unwrap();
    assert_eq!(reached.state_digest(), new.state_digest());
    // Peers that are where this one was get the step alone.
    let delta = delta.unwrap();
    assert_eq!(delta.puts, [account(17, 6)]);
    assert_eq!(delta.removes, []);
    assert_eq!(
        old.with_delta(&delta).unwrap().state_digest(),
        new.state_digest()
    );
}

#[test]
fn fresh_daemon_gets_all() {
    let accounts: BTreeMap<u16, u64> = (0..100).map(|number| (number, 5)).collect();
    let new = table(14, &accounts);
    let empty = ConfigTable::default();
    let patch = patch(&empty, &new);
    assert_eq!(patch.len(), 100);
    let (reached, delta) = patch.apply(&empty).unwrap();
    assert_eq!(reached.state_digest(), new.state_digest());
    assert_eq!(delta, None);
}

#[test]
fn changed_base_is_refused() {
    // The table in force has changed since the digests were sent.
    let mut accounts: BTreeMap<u16, u64> = (0..100).map(|number| (number, 5)).collect();
    let old = table(10, &accounts);
    let mut moved = accounts.clone();
    moved.insert(3, 9);
    accounts.insert(17, 6);
    let patch = patch(&old, &table(14, &accounts));
    assert!(patch.apply(&table(12, &moved)).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 80,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_268),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_two_tables(
        old in prop::collection::btree_map(0..200_u16, 1..4_u64, 0..120),
        new in prop::collection::btree_map(0..200_u16, 1..4_u64, 0..120),
    ) {
        let (old, new) = (table(3, &old), table(9, &new));
        let patch = patch(&old, &new);
        let (reached, delta) = patch.apply(&old).unwrap();
        prop_assert_eq!(reached.state_digest(), new.state_digest());
        let stepped = old.with_delta(&delta.unwrap()).unwrap();
        prop_assert_eq!(stepped.state_digest(), new.state_digest());
    }
}
