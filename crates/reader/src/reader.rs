//! Reads whole configurations: deltas where they suffice, else all parts.

use std::sync::Arc;

use config::{
    Changes, ConfigError, ConfigTable, Delta, Manifest, TableBuilder, VmList, parse_changes,
    parse_manifest, parse_part, parse_vm_list,
};
use error_stack::{Report, ResultExt};

use crate::{PlatformError, PlatformSource};

/// Name of the value with the latest deltas.
const CHANGES: &str = "changes";
/// Name of the value with the parts of the latest revision.
const MANIFEST: &str = "manifest";
/// Name of the value with the VM list.
const VMS: &str = "vms";

/// What a read brought.
#[derive(Clone, Debug)]
pub enum ReadOutcome {
    /// The table in force is the latest.
    Current,
    /// A newer table, with the deltas that led to it where deltas sufficed.
    Newer {
        /// The table to put in force.
        table: Arc<ConfigTable>,
        /// The deltas for peers; empty if all parts were read.
        deltas: Vec<Delta>,
    },
}

/// Reads configurations and VM lists from a platform.
#[derive(Clone)]
pub struct ConfigReader {
    source: Arc<dyn PlatformSource>,
}

impl ConfigReader {
    /// A reader of `source`.
    pub fn new(source: Arc<dyn PlatformSource>) -> Self {
        Self { source }
    }

    /// Looks for a configuration newer than `current`.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the platform can't be read, or
    /// [`PlatformError::Invalid`] over the [`ConfigError`] that says why. In
    /// both cases `current` stays the one to use.
    pub async fn read_newer(
        &self,
        current: &ConfigTable,
    ) -> Result<ReadOutcome, Report<PlatformError>> {
        let value = self.source.read(CHANGES).await?;
        let changes = parse_changes(&value.bytes).change_context(PlatformError::Invalid)?;
        self.apply_changes(current, &changes).await
    }

    /// Brings `current` up to `changes`.
    ///
    /// # Errors
    ///
    /// As [`ConfigReader::read_newer`].
    pub async fn apply_changes(
        &self,
        current: &ConfigTable,
        changes: &Changes,
    ) -> Result<ReadOutcome, Report<PlatformError>> {
        match changes.since(current.revision()) {
            _ if changes.revision == current.revision() => Ok(ReadOutcome::Current),
            _ if changes.revision < current.revision() => Err(Report::new(PlatformError::Stale {
                name: CHANGES.to_owned(),
            })),
            Some(deltas) => apply_deltas(current, &deltas).change_context(PlatformError::Invalid),
            None => self.read_parts(current).await,
        }
    }

    /// Reads the manifest and all its parts.
    async fn read_parts(
        &self,
        current: &ConfigTable,
    ) -> Result<ReadOutcome, Report<PlatformError>> {
        let value = self.source.read(MANIFEST).await?;
        let manifest = parse_manifest(&value.bytes).change_context(PlatformError::Invalid)?;
        match manifest.revision {
            revision if revision == current.revision() => return Ok(ReadOutcome::Current),
            revision if revision < current.revision() => {
                return Err(Report::new(PlatformError::Stale {
                    name: MANIFEST.to_owned(),
                }));
            }
            _ => {}
        }
        let table = self.build_table(&manifest).await?;
        Ok(ReadOutcome::Newer {
            table: Arc::new(table),
            deltas: Vec::new(),
        })
    }

    /// Fetches, checks and compiles the parts of a manifest.
    async fn build_table(&self, manifest: &Manifest) -> Result<ConfigTable, Report<PlatformError>> {
        let mut builder = TableBuilder::new();
        for part in &manifest.parts {
            let value = self.source.read(&part.name).await?;
            let records = parse_part(part, &value.bytes).change_context(PlatformError::Invalid)?;
            for record in records {
                builder.put(record).change_context(PlatformError::Invalid)?;
            }
            // Other tasks of this worker thread get their turn between parts.
            tokio::task::yield_now().await;
        }
        builder
            .check_all_references()
            .change_context(PlatformError::Invalid)?;
        builder
            .finish(manifest.revision, manifest.state)
            .change_context(PlatformError::Invalid)
    }

    /// Reads the VM list, or `None` if it is older than `current`.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the platform can't be read or the list is bad.
    pub async fn read_vms(
        &self,
        current: &VmList,
    ) -> Result<Option<VmList>, Report<PlatformError>> {
        let value = self.source.read(VMS).await?;
        let list = parse_vm_list(&value.bytes).change_context(PlatformError::Invalid)?;
        match list.revision {
            revision if revision < current.revision => Err(Report::new(PlatformError::Stale {
                name: VMS.to_owned(),
            })),
            revision if revision == current.revision => Ok(None),
            _ => Ok(Some(list)),
        }
    }
}

/// The table after a chain of deltas.
fn apply_deltas(current: &ConfigTable, deltas: &[&Delta]) -> Result<ReadOutcome, ConfigError> {
    let mut table = current.clone();
    for delta in deltas {
        table = table.with_delta(delta)?;
    }
    Ok(ReadOutcome::Newer {
        table: Arc::new(table),
        deltas: deltas.iter().copied().cloned().collect(),
    })
}
