//! Reads configurations: applies the published deltas if they start from the
//! current revision, and reads all parts otherwise.

use std::sync::Arc;

use config::{
    Changes, ConfigError, ConfigTable, Delta, Manifest, TableBuilder, VmList, parse_changes,
    parse_manifest, parse_part, parse_vm_list,
};
use error_stack::{Report, ResultExt};

use crate::{PlatformError, PlatformSource};

/// Name of the value that contains the latest deltas.
const CHANGES: &str = "changes";
/// Name of the value that lists the parts of the latest revision.
const MANIFEST: &str = "manifest";
/// Name of the value that contains the VM list.
const VMS: &str = "vms";

/// Result of a read of the configuration.
#[derive(Clone, Debug)]
pub enum ReadOutcome {
    /// The current table is up to date.
    Current,
    /// A newer configuration is available.
    Newer {
        /// Table that replaces the current one.
        table: Arc<ConfigTable>,
        /// Deltas from the current table to the new one, which peers can apply
        /// too; empty if the current table is empty or all parts were read.
        deltas: Vec<Delta>,
    },
}

/// Reads configurations and VM lists from a platform.
#[derive(Clone)]
pub struct ConfigReader {
    source: Arc<dyn PlatformSource>,
}

impl ConfigReader {
    /// Creates a reader of `source`.
    pub fn new(source: Arc<dyn PlatformSource>) -> Self {
        Self { source }
    }

    /// Checks for a configuration newer than `current`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Invalid`], caused by a [`ConfigError`], if the new
    /// configuration is invalid, and another [`PlatformError`] if the platform
    /// can't be read. In both cases `current` remains in use.
    pub async fn read_newer(
        &self,
        current: &ConfigTable,
    ) -> Result<ReadOutcome, Report<PlatformError>> {
        let value = self.source.read(CHANGES).await?;
        let changes = parse_changes(&value.bytes).change_context(PlatformError::Invalid)?;
        self.apply_changes(current, &changes).await
    }

    /// Updates `current` to the revision of `changes`. Reads all parts if no delta
    /// starts from the current revision.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ConfigReader::read_newer`].
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

    /// Reads and checks the parts of a manifest, and builds a table of them.
    async fn build_table(&self, manifest: &Manifest) -> Result<ConfigTable, Report<PlatformError>> {
        let mut builder = TableBuilder::new();
        for part in &manifest.parts {
            let value = self.source.read(&part.name).await?;
            let records = parse_part(part, &value.bytes).change_context(PlatformError::Invalid)?;
            for record in records {
                builder.put(record).change_context(PlatformError::Invalid)?;
            }
            // Lets other tasks of this worker thread run between the parts.
            tokio::task::yield_now().await;
        }
        builder
            .check_all_references()
            .change_context(PlatformError::Invalid)?;
        builder
            .finish(manifest.revision, manifest.state)
            .change_context(PlatformError::Invalid)
    }

    /// Reads the VM list. Returns `None` if it has the same revision as `current`.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the platform can't be read, or if the list is
    /// invalid or older than `current`.
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

/// Applies consecutive deltas to a table.
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
