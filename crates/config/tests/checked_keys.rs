//! Keys of callers that one daemon has checked and another checks again.

use config::{Account, CallerKey, CheckedKey, ConfigTable, KeyHasher, Record, TableBuilder};
use ids::{Revision, TokenAmount, TokenRate, Weight};
use test_case::test_case;

/// Returns a table with or without the key, and the key as it was found in a table
/// of revision 5.
fn table(revision: u64, has_key: bool) -> (ConfigTable, CheckedKey) {
    let digest = KeyHasher::new(b"a secret for tests only").digest(b"key");
    let mut builder = TableBuilder::new();
    let account = Account {
        id: "radio-one".parse().unwrap(),
        rate: TokenRate::per_second(1),
        burst: TokenAmount::whole(1),
        weight: Weight(1),
        rank: None,
        homes: Vec::new(),
    };
    builder.put(Record::Account(account)).unwrap();
    if has_key {
        let key = CallerKey {
            digest,
            id: "radio-one-0".parse().unwrap(),
            account: "radio-one".parse().unwrap(),
        };
        builder.put(Record::Key(key)).unwrap();
    }
    let state = builder.state_digest();
    let table = builder.finish(Revision(revision), state).unwrap();
    let key = CheckedKey {
        digest,
        revision: Revision(5),
    };
    (table, key)
}

// Guards against a daemon that missed some revisions and takes a key for withdrawn
// that was added meanwhile.
#[test_case(4, false, false; "added later")]
#[test_case(5, false, true; "absent from the same revision")]
#[test_case(6, false, true; "withdrawn later")]
#[test_case(4, true, false; "known to an older table")]
#[test_case(6, true, false; "still in force")]
fn withdrawn_keys(revision: u64, has_key: bool, is_withdrawn: bool) {
    let (table, key) = table(revision, has_key);
    assert_eq!(table.has_withdrawn(&key), is_withdrawn);
}
