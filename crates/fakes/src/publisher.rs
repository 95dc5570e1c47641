//! Publishes sets of records one after another, as operators do.

use config::{Changes, ConfigTable, PackedValue, Record, TableBuilder, parse_changes, publish_set};
use ids::Revision;

/// Makes the values of each set from the one before.
#[derive(Debug, Default)]
pub struct SetPublisher {
    before: Option<(ConfigTable, Changes)>,
}

impl SetPublisher {
    /// A publisher that goes on from `records`, which were published first.
    pub fn after(records: &[Record]) -> Self {
        let mut publisher = Self::default();
        publisher.pack(records);
        publisher
    }

    /// Revision of the set that was packed last.
    pub fn revision(&self) -> Revision {
        let before = self.before.as_ref();
        before.map_or_else(Revision::default, |(table, _)| table.revision())
    }

    /// Makes the values to publish for the next set.
    ///
    /// # Panics
    ///
    /// If the records are not sound, which is a fault of the test.
    pub fn pack(&mut self, records: &[Record]) -> Vec<PackedValue> {
        let before = self.before.as_ref();
        let before = before.map(|(table, changes)| (table, changes));
        let values = publish_set(before, records).expect("the records are sound");
        let changes = values.iter().find(|value| value.name == "changes");
        let changes = changes.expect("each set has its changes");
        let changes = parse_changes(&changes.bytes).expect("it was just packed");
        let revision = Revision(self.revision().get() + 1);
        let mut builder = TableBuilder::new();
        for record in records {
            builder.put(record.clone()).expect("the records are sound");
        }
        let state = builder.state_digest();
        let table = builder.finish(revision, state);
        self.before = Some((table.expect("the state is its own"), changes));
        values
    }
}
