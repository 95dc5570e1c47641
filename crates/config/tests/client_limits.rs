//! Limits of callers' connections in a table.

use config::{ClientLimits, ConfigTable, Delta, Record, RecordId, TableBuilder};
use ids::Revision;

/// Returns limits with the given idle time.
fn limits(idle_timeout_ms: u32) -> ClientLimits {
    ClientLimits {
        idle_timeout_ms: Some(idle_timeout_ms),
        ..ClientLimits::default()
    }
}

/// Returns a table with only these limits.
fn table(limits: Option<ClientLimits>) -> ConfigTable {
    let mut builder = TableBuilder::new();
    if let Some(limits) = limits {
        builder.put(Record::Limits(limits)).unwrap();
    }
    let state = builder.state_digest();
    builder.finish(Revision(1), state).unwrap()
}

#[test]
fn limits_follow_deltas() {
    // Guards against limits that stay in force after they were changed or removed,
    // and against a digest that differs from that of a table built anew.
    let old = table(Some(limits(5_000)));
    assert_eq!(old.limits(), Some(&limits(5_000)));
    let changed = Delta {
        previous: Revision(1),
        revision: Revision(2),
        state: table(Some(limits(15_000))).state_digest(),
        removes: Vec::new(),
        puts: vec![Record::Limits(limits(15_000))],
    };
    let changed = old.with_delta(&changed).unwrap();
    assert_eq!(changed.limits(), Some(&limits(15_000)));
    assert_eq!(changed.records(), [Record::Limits(limits(15_000))]);
    let removed = Delta {
        previous: Revision(2),
        revision: Revision(3),
        state: table(None).state_digest(),
        removes: vec![RecordId::Limits],
        puts: Vec::new(),
    };
    let removed = changed.with_delta(&removed).unwrap();
    assert_eq!(removed.limits(), None);
}
