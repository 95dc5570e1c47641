//! Packs successive sets of records for publication, as operators do.

use config::{Changes, ConfigTable, PackedValue, Record, TableBuilder, parse_changes, publish_set};
use ids::Revision;

/// Packs each set of records as the successor of the one before.
#[derive(Debug, Default)]
pub struct SetPublisher {
    previous: Option<(ConfigTable, Changes)>,
}

impl SetPublisher {
    /// Returns a publisher whose first set, `records`, is already published.
    pub fn after(records: &[Record]) -> Self {
        let mut publisher = Self::default();
        publisher.pack(records);
        publisher
    }

    /// Revision of the set packed last, or the default if there is none.
    pub fn revision(&self) -> Revision {
        let previous = self.previous.as_ref();
        previous.map_or_else(Revision::default, |(table, _)| table.revision())
    }

    /// Returns the values to publish for the next set.
    ///
    /// # Panics
    ///
    /// Panics if the records are invalid, which is a fault of the test.
    pub fn pack(&mut self, records: &[Record]) -> Vec<PackedValue> {
        let previous = self.previous.as_ref();
        let previous = previous.map(|(table, changes)| (table, changes));
        let values = publish_set(previous, records).expect("the records are valid");
        let changes = values.iter().find(|value| value.name == "changes");
        let changes = changes.expect("each published set has a `changes` value");
        let changes =
            parse_changes(&changes.bytes).expect("`publish_set` has just packed the changes");
        let revision = Revision(self.revision().get() + 1);
        let mut builder = TableBuilder::new();
        for record in records {
            builder.put(record.clone()).expect("the records are valid");
        }
        let state = builder.state_digest();
        let table = builder.finish(revision, state);
        self.previous = Some((table.expect("the digest is of the same records"), changes));
        values
    }
}
