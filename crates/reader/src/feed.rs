//! Sources of a daemon's configuration and VM list.
//!
//! [`PublishedFeed`] reads the values that `dogwoodshore pack` writes. Other
//! feeds convert the formats of other platforms to configuration tables.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use config::{ConfigTable, VmList, parse_changes, parse_vm_list};
use error_stack::{Report, ResultExt};
use futures::future::BoxFuture;
use ids::Revision;

use crate::{ConfigReader, PlatformError, PlatformSource, ReadOutcome};

/// Name of the value that contains the latest deltas.
const CHANGES: &str = "changes";
/// Name of the value that contains the VM list.
const VMS: &str = "vms";

/// What a feed has noticed of its source since it was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FeedCounts {
    /// Number of times that the source has come back from an older copy.
    pub eras_begun: u64,
    /// Number of answers whose era was invalid or had ended.
    pub odd_eras: u64,
}

/// A source of configurations and VM lists.
///
/// All calls may be repeated after an error, and may be cancelled at any time.
pub trait ConfigFeed: Send + Sync + 'static {
    /// Checks once for a configuration newer than `current`.
    fn read_config(
        &self,
        current: Arc<ConfigTable>,
    ) -> BoxFuture<'_, Result<ReadOutcome, Report<PlatformError>>>;

    /// Waits up to `wait` for a configuration newer than `current`.
    fn watch_config(
        &self,
        current: Arc<ConfigTable>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadOutcome, Report<PlatformError>>>;

    /// Checks once for a VM list newer than `current`.
    fn read_vms(
        &self,
        current: Arc<VmList>,
    ) -> BoxFuture<'_, Result<Option<VmList>, Report<PlatformError>>>;

    /// Waits up to `wait` for a VM list newer than the one that the previous call
    /// of this method read.
    fn watch_vms(
        &self,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<VmList>, Report<PlatformError>>>;

    /// Returns what was noticed of the source. A source that never comes back from an
    /// older copy has nothing to count.
    fn counts(&self) -> FeedCounts {
        FeedCounts::default()
    }
}

/// Feed of the values that `dogwoodshore pack` writes and operators publish.
pub struct PublishedFeed {
    source: Arc<dyn PlatformSource>,
    reader: ConfigReader,
    /// Platform revision of `changes` after which the next watch starts.
    changes_revision: AtomicU64,
    /// Platform revision of the VM list after which the next watch starts.
    vms_revision: AtomicU64,
}

impl PublishedFeed {
    /// Creates a feed that reads values from `source`.
    pub fn new(source: Arc<dyn PlatformSource>) -> Self {
        Self {
            reader: ConfigReader::new(Arc::clone(&source)),
            source,
            changes_revision: AtomicU64::new(0),
            vms_revision: AtomicU64::new(0),
        }
    }

    /// Waits for new deltas and updates `current` with them.
    async fn next_config(
        &self,
        current: &ConfigTable,
        wait: Duration,
    ) -> Result<ReadOutcome, Report<PlatformError>> {
        let after = Revision(self.changes_revision.load(Ordering::Relaxed));
        let Some(value) = self.source.watch(CHANGES, after, wait).await? else {
            return Ok(ReadOutcome::Current);
        };
        let changes = parse_changes(&value.bytes).change_context(PlatformError::Invalid);
        let outcome = match changes {
            Ok(changes) => self.reader.apply_changes(current, &changes).await,
            Err(report) => Err(report),
        };
        // An invalid revision is not read again; the next watch waits for another
        // one.
        let processed = match &outcome {
            Ok(_) => true,
            Err(report) => matches!(report.current_context(), PlatformError::Invalid),
        };
        if processed {
            self.changes_revision
                .store(value.revision.get(), Ordering::Relaxed);
        }
        outcome
    }

    /// Waits for a new VM list.
    async fn next_vms(&self, wait: Duration) -> Result<Option<VmList>, Report<PlatformError>> {
        let after = Revision(self.vms_revision.load(Ordering::Relaxed));
        let Some(value) = self.source.watch(VMS, after, wait).await? else {
            return Ok(None);
        };
        self.vms_revision
            .store(value.revision.get(), Ordering::Relaxed);
        let list = parse_vm_list(&value.bytes).change_context(PlatformError::Invalid)?;
        Ok(Some(list))
    }
}

impl ConfigFeed for PublishedFeed {
    fn read_config(
        &self,
        current: Arc<ConfigTable>,
    ) -> BoxFuture<'_, Result<ReadOutcome, Report<PlatformError>>> {
        Box::pin(async move { self.reader.read_newer(&current).await })
    }

    fn watch_config(
        &self,
        current: Arc<ConfigTable>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadOutcome, Report<PlatformError>>> {
        Box::pin(async move { self.next_config(&current, wait).await })
    }

    fn read_vms(
        &self,
        current: Arc<VmList>,
    ) -> BoxFuture<'_, Result<Option<VmList>, Report<PlatformError>>> {
        Box::pin(async move { self.reader.read_vms(&current).await })
    }

    fn watch_vms(
        &self,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<VmList>, Report<PlatformError>>> {
        Box::pin(self.next_vms(wait))
    }
}
