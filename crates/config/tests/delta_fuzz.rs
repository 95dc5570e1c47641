//! Applying deltas and reading all parts lead to the same table, and revisions
//! never decrease.

mod accounts;

use accounts::account;
use config::{
    Account, ConfigError, ConfigTable, Record, TableBuilder, parse_changes, parse_manifest,
    parse_part, publish_set,
};
use ids::{Revision, TokenAmount, TokenRate, Weight};
use proptest::{prelude::*, test_runner::RngSeed};

/// Returns one account record for each number; the last rate of a number wins.
fn records(accounts: &[(u8, u64)]) -> Vec<Record> {
    let unique: std::collections::BTreeMap<u8, u64> = accounts.iter().copied().collect();
    unique
        .into_iter()
        .map(|(number, rate)| account(u16::from(number), rate))
        .collect()
}

/// Builds the table from all parts of a published set.
fn full_table(values: &[config::PackedValue]) -> ConfigTable {
    let value = |name: &str| {
        &values
            .iter()
            .find(|value| value.name == name)
            .unwrap()
            .bytes
    };
    let manifest = parse_manifest(value("manifest")).unwrap();
    let mut builder = TableBuilder::new();
    for part in &manifest.parts {
        for record in parse_part(part, value(&part.name)).unwrap() {
            builder.put(record).unwrap();
        }
    }
    builder.finish(manifest.revision, manifest.state).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_267),
        ..ProptestConfig::default()
    })]

    #[test]
    fn deltas_reach_table(
        revisions in prop::collection::vec(prop::collection::vec((0..20_u8, 1..5_u64), 0..20), 1..8)
    ) {
        let mut published: Option<(ConfigTable, config::Changes)> = None;
        let mut follower = ConfigTable::default();
        for accounts in revisions {
            let records = records(&accounts);
            let old = published.as_ref().map(|(table, changes)| (table, changes));
            let values = publish_set(old, &records).unwrap();
            let table = full_table(&values);
            let changes = values.iter().find(|value| value.name == "changes").unwrap();
            let changes = parse_changes(&changes.bytes).unwrap();
            let previous = follower.revision();
            match changes.since(previous) {
                Some(deltas) => {
                    for delta in deltas {
                        follower = follower.with_delta(delta).unwrap();
                        // A delta that was applied already is refused and changes nothing.
                        let refused = matches!(follower.with_delta(delta), Err(ConfigError::NotNewer { .. }));
                        prop_assert!(refused);
                    }
                }
                None => follower = table.clone(),
            }
            prop_assert!(follower.revision() > previous);
            prop_assert_eq!(follower.revision(), table.revision());
            prop_assert_eq!(follower.state_digest(), table.state_digest());
            prop_assert_eq!(follower.accounts().count(), records.len());
            published = Some((table, changes));
        }
    }
}

#[test]
fn gap_and_tampering_refused() {
    let first = publish_set(None, &records(&[(1, 1)])).unwrap();
    let table = full_table(&first);
    let changes = parse_changes(&first.last().unwrap().bytes).unwrap();
    let second = publish_set(Some((&table, &changes)), &records(&[(1, 2), (2, 2)])).unwrap();
    let mut delta = parse_changes(&second.last().unwrap().bytes).unwrap().deltas[0].clone();
    let empty = ConfigTable::default();
    assert!(matches!(
        empty.with_delta(&delta),
        Err(ConfigError::Gap { .. })
    ));
    delta.puts.pop();
    assert!(matches!(
        table.with_delta(&delta),
        Err(ConfigError::StateMismatch { .. })
    ));
    delta.revision = Revision(1);
    assert!(matches!(
        table.with_delta(&delta),
        Err(ConfigError::NotNewer { .. })
    ));
}

#[test]
fn wrong_part_refused() {
    let values = publish_set(None, &records(&[(1, 1)])).unwrap();
    let manifest = values
        .iter()
        .find(|value| value.name == "manifest")
        .unwrap();
    let manifest = parse_manifest(&manifest.bytes).unwrap();
    let error = parse_part(&manifest.parts[0], b"[]").unwrap_err();
    assert!(matches!(error, ConfigError::PartMismatch { .. }));
}

#[test]
fn values_under_limit() {
    let accounts: Vec<Record> = (0..20_000_u32)
        .map(|number| {
            Record::Account(Account {
                id: format!("account-with-a-longer-name-{number}")
                    .parse()
                    .unwrap(),
                rate: TokenRate::per_second(1),
                burst: TokenAmount::ONE,
                weight: Weight(1),
                rank: None,
                homes: Vec::new(),
            })
        })
        .collect();
    let values = publish_set(None, &accounts).unwrap();
    assert!(values.len() > 4);
    assert!(
        values
            .iter()
            .all(|value| value.bytes.len() <= config::MAX_VALUE_BYTES)
    );
    assert_eq!(full_table(&values).accounts().count(), 20_000);
}
