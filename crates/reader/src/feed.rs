//! Where a daemon gets its configuration and VM list from.
//!
//! [`PublishedFeed`] reads the values that `dogwoodshore pack` makes. Other
//! feeds build tables from what their users publish in a form of their own.

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

/// Name of the value with the latest deltas.
const CHANGES: &str = "changes";
/// Name of the value with the VM list.
const VMS: &str = "vms";

/// A source of configurations and VM lists.
///
/// All calls may be repeated after an error, and dropped at any time.
pub trait ConfigFeed: Send + Sync + 'static {
    /// Looks once for a configuration newer than `current`.
    fn read_config(
        &self,
        current: Arc<ConfigTable>,
    ) -> BoxFuture<'_, Result<ReadOutcome, Report<PlatformError>>>;

    /// Waits at most `wait` for a configuration newer than `current`.
    fn watch_config(
        &self,
        current: Arc<ConfigTable>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadOutcome, Report<PlatformError>>>;

    /// Looks once for a VM list newer than `current`.
    fn read_vms(
        &self,
        current: Arc<VmList>,
    ) -> BoxFuture<'_, Result<Option<VmList>, Report<PlatformError>>>;

    /// Waits at most `wait` for a VM list newer than the last one watched.
    fn watch_vms(
        &self,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<VmList>, Report<PlatformError>>>;
}

/// Feed of the values that operators publish with `dogwoodshore pack`.
pub struct PublishedFeed {
    source: Arc<dyn PlatformSource>,
    reader: ConfigReader,
    /// Revisions in the platform up to which the values were taken.
    config_after: AtomicU64,
    vms_after: AtomicU64,
}

impl PublishedFeed {
    /// A feed of the values of `source`.
    pub fn new(source: Arc<dyn PlatformSource>) -> Self {
        Self {
            reader: ConfigReader::new(Arc::clone(&source)),
            source,
            config_after: AtomicU64::new(0),
            vms_after: AtomicU64::new(0),
        }
    }

    /// Waits for new deltas and brings `current` up to them.
    async fn next_config(
        &self,
        current: &ConfigTable,
        wait: Duration,
    ) -> Result<ReadOutcome, Report<PlatformError>> {
        let after = Revision(self.config_after.load(Ordering::Relaxed));
        let Some(value) = self.source.watch(CHANGES, after, wait).await? else {
            return Ok(ReadOutcome::Current);
        };
        let changes = parse_changes(&value.bytes).change_context(PlatformError::Invalid);
        let outcome = match changes {
            Ok(changes) => self.reader.apply_changes(current, &changes).await,
            Err(report) => Err(report),
        };
        // A refused revision is looked at again only when another one is
        // published.
        let settled = match &outcome {
            Ok(_) => true,
            Err(report) => matches!(report.current_context(), PlatformError::Invalid),
        };
        if settled {
            self.config_after
                .store(value.revision.get(), Ordering::Relaxed);
        }
        outcome
    }

    /// Waits for a VM list.
    async fn next_vms(&self, wait: Duration) -> Result<Option<VmList>, Report<PlatformError>> {
        let after = Revision(self.vms_after.load(Ordering::Relaxed));
        let Some(value) = self.source.watch(VMS, after, wait).await? else {
            return Ok(None);
        };
        self.vms_after
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
