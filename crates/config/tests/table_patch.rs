//! Patches between tables that are not connected by known deltas are small, lead
//! to the exact table, and are refused for any other base.

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

/// Returns the patch that a daemon with the table `from` receives.
fn patch(from: &ConfigTable, to: &ConfigTable) -> TablePatch {
    TablePatch::new(to, &BucketDigests::of(&from.records()))
}

#[test]
fn single_bucket_patch() {
    // Guards against sending all records for each change. Readers skip different
    // revisions, so the deltas of one don't continue the table of another. Without
    // buckets, all 250 records of a present deployment would be sent.
    let mut accounts: BTreeMap<u16, u64> = (0..250).map(|number| (number, 5)).collect();
    let old = table(10, &accounts);
    accounts.insert(17, 6);
    let new = table(14, &accounts);
    let patch = patch(&old, &new);
    assert!(patch.len() <= 15, "{}", patch.len());
    let (reached, delta) = patch.apply(&old).unwrap();
    assert_eq!(reached.state_digest(), new.state_digest());
    // Peers with the same old table receive only the delta.
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
fn changed_base_refused() {
    // The current table has changed since its digests were sent.
    let mut accounts: BTreeMap<u16, u64> = (0..100).map(|number| (number, 5)).collect();
    let old = table(10, &accounts);
    let mut changed = accounts.clone();
    changed.insert(3, 9);
    accounts.insert(17, 6);
    let patch = patch(&old, &table(14, &accounts));
    assert!(patch.apply(&table(12, &changed)).is_err());
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
        let updated = old.with_delta(&delta.unwrap()).unwrap();
        prop_assert_eq!(updated.state_digest(), new.state_digest());
    }
}
