//! Watches the configuration and the VM list on the platform.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use config::{ConfigTable, VmList};
use error_stack::Report;
use prometheus_client::metrics::counter::Counter;
use reader::{ConfigFeed, PlatformError, ReadOutcome};

use super::event::{ControlEvent, ControlSender};
use crate::{metrics::MetricSet, task::StopSignal, view::FleetView};

/// Longest wait of one watch. A watch that ends without a newer revision also
/// confirms the one in force, which then counts as fresh.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(700);
/// Shortest and longest delay between a failed read and the next one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval between checks of whether this daemon has become a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads and watches the platform, and passes the results to the control loop.
#[derive(Clone)]
pub struct PlatformWatcher {
    /// Configuration and VM list in force.
    pub view: Arc<FleetView>,
    /// Metrics of the daemon.
    pub metrics: Arc<MetricSet>,
    /// The platform.
    pub platform: Arc<dyn ConfigFeed>,
    /// Queue of the control loop.
    pub control: ControlSender,
    /// Whether this daemon is a reader, which watches the platform.
    pub is_reader: Arc<AtomicBool>,
}

/// Delay between failed reads: exponential backoff with jitter.
struct RetryBackoff {
    delay: Duration,
}

impl RetryBackoff {
    /// Starts with the shortest delay.
    fn new() -> Self {
        Self {
            delay: MIN_RETRY_DELAY,
        }
    }

    /// Returns to the shortest delay after a successful read.
    fn reset(&mut self) {
        self.delay = MIN_RETRY_DELAY;
    }

    /// Waits for the delay, and doubles it for the next time.
    async fn wait(&mut self) {
        let jitter = rand::random::<f64>() / 2.0 + 0.75;
        tokio::time::sleep(self.delay.mul_f64(jitter)).await;
        self.delay = (self.delay * 2).min(MAX_RETRY_DELAY);
    }
}

impl PlatformWatcher {
    /// Watches the platform until `stop` is triggered.
    pub async fn run(self, mut stop: StopSignal) {
        tokio::select! {
            () = self.config_loop() => {}
            () = self.vm_list_loop() => {}
            () = stop.stopped() => {}
        }
    }

    /// Reads the configuration and the VM list once.
    pub async fn read_once(&self) {
        self.metrics.platform_calls.inc_by(2);
        let read = self.platform.read_config(self.view.table()).await;
        self.record_counts();
        match read {
            Ok(outcome) => self.send_config(outcome).await,
            Err(report) => self.log_failure(&report),
        }
        match self.platform.read_vms(self.view.vms()).await {
            Ok(list) => self.send_vm_list(list).await,
            Err(report) => self.log_failure(&report),
        }
    }

    /// Waits until this daemon is a reader, or has no configuration: it then
    /// knows no peers that it could ask instead.
    async fn wait_until_reader(&self) {
        while self.view.is_ready() && !self.is_reader.load(Ordering::Relaxed) {
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
        }
    }

    /// Watches the configuration, without end.
    async fn config_loop(&self) {
        let mut backoff = RetryBackoff::new();
        let mut last_read: Option<Arc<ConfigTable>> = None;
        loop {
            self.wait_until_reader().await;
            self.metrics.platform_calls.inc();
            let table = self.newest(last_read.as_ref());
            let watched = self.platform.watch_config(table, MAX_WATCH_WAIT).await;
            self.record_counts();
            match watched {
                Ok(outcome) => {
                    if let ReadOutcome::Newer { table, .. } = &outcome {
                        last_read = Some(Arc::clone(table));
                    }
                    self.send_config(outcome).await;
                    backoff.reset();
                }
                Err(report) => {
                    self.log_failure(&report);
                    backoff.wait().await;
                }
            }
        }
    }

    /// Returns the table in force, or the last one that was read if that is newer: the
    /// control loop may not have adopted it yet. Without this, a change that reverses
    /// the last one was taken for no change.
    fn newest(&self, last_read: Option<&Arc<ConfigTable>>) -> Arc<ConfigTable> {
        let in_force = self.view.table();
        match last_read {
            Some(table) if table.revision() > in_force.revision() => Arc::clone(table),
            _ => in_force,
        }
    }

    /// Passes the result of a configuration read to the control loop.
    async fn send_config(&self, outcome: ReadOutcome) {
        let event = match outcome {
            ReadOutcome::Current => ControlEvent::ConfigRead {
                table: None,
                deltas: Vec::new(),
            },
            ReadOutcome::Newer { table, deltas } => ControlEvent::ConfigRead {
                table: Some(table),
                deltas,
            },
        };
        self.control.send(event).await;
    }

    /// Watches the VM list, without end.
    async fn vm_list_loop(&self) {
        let mut backoff = RetryBackoff::new();
        loop {
            self.wait_until_reader().await;
            self.metrics.platform_calls.inc();
            match self.platform.watch_vms(MAX_WATCH_WAIT).await {
                Ok(list) => {
                    self.send_vm_list(list).await;
                    backoff.reset();
                }
                Err(report) => {
                    self.log_failure(&report);
                    backoff.wait().await;
                }
            }
        }
    }

    /// Passes the result of a VM list read to the control loop.
    async fn send_vm_list(&self, list: Option<VmList>) {
        self.control
            .send(ControlEvent::VmListRead(list.map(Arc::new)))
            .await;
    }

    /// Updates the metrics of what the feed has noticed of the platform.
    fn record_counts(&self) {
        let counts = self.platform.counts();
        let update = |counter: &Counter, count: u64| {
            counter.inc_by(count.saturating_sub(counter.get()));
        };
        update(&self.metrics.eras_begun, counts.eras_begun);
        update(&self.metrics.odd_eras, counts.odd_eras);
    }

    /// Logs a failed read, and counts it if the configuration was refused.
    fn log_failure(&self, report: &Report<PlatformError>) {
        match report.current_context() {
            PlatformError::Invalid => {
                self.metrics.config_refused.inc();
                log::error!("config: refused a new revision, the one in force stays: {report:?}");
            }
            error => log::warn!("platform: {error}."),
        }
    }
}
