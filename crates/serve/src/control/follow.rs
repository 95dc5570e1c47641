//! Follows the platform: configuration and VM list.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use config::VmList;
use error_stack::Report;
use reader::{ConfigFeed, PlatformError, ReadOutcome};

use super::event::{ControlEvent, ControlSender};
use crate::{metrics::MetricSet, task::StopSignal, view::FleetView};

/// Longest wait of one watch; its answer also shows that there is no news,
/// which keeps what is known fresh.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Shortest and longest pause after a failed read.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(1);
/// Time between looks at whether this daemon has become a reader.
const READER_CHECK: Duration = Duration::from_secs(1);

/// Reads and watches the platform, and tells the control loop.
#[derive(Clone)]
pub struct PlatformFollower {
    /// Configuration and VM list in force.
    pub view: Arc<FleetView>,
    /// Counters.
    pub metrics: Arc<MetricSet>,
    /// The platform.
    pub platform: Arc<dyn ConfigFeed>,
    /// The control loop.
    pub control: ControlSender,
    /// Whether this daemon watches the platform.
    pub reader: Arc<AtomicBool>,
}

/// Pause between failed reads, doubled each time, with jitter.
struct Backoff {
    pause: Duration,
}

impl Backoff {
    /// The shortest pause.
    fn new() -> Self {
        Self { pause: RETRY_MIN }
    }

    /// Starts again from the shortest pause.
    fn reset(&mut self) {
        self.pause = RETRY_MIN;
    }

    /// Waits and doubles the pause.
    async fn wait(&mut self) {
        let jitter = rand::random::<f64>() / 2.0 + 0.75;
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(RETRY_MAX);
    }
}

impl PlatformFollower {
    /// Follows the platform until `stop` turns.
    pub async fn run(self, mut stop: StopSignal) {
        tokio::select! {
            () = self.follow_config() => {}
            () = self.follow_vms() => {}
            () = stop.stopped() => {}
        }
    }

    /// Reads configuration and VM list once.
    pub async fn read_once(&self) {
        self.metrics.platform_calls.inc_by(2);
        match self.platform.read_config(self.view.table()).await {
            Ok(outcome) => self.tell_config(outcome).await,
            Err(report) => self.note_failure(&report),
        }
        match self.platform.read_vms(self.view.vms()).await {
            Ok(list) => self.tell_vms(list).await,
            Err(report) => self.note_failure(&report),
        }
    }

    /// Waits until this daemon is a reader, or has no configuration and so
    /// nobody else to ask.
    async fn wait_for_turn(&self) {
        while self.view.is_ready() && !self.reader.load(Ordering::Relaxed) {
            tokio::time::sleep(READER_CHECK).await;
        }
    }

    /// Follows the configuration.
    async fn follow_config(&self) {
        let mut backoff = Backoff::new();
        loop {
            self.wait_for_turn().await;
            self.metrics.platform_calls.inc();
            let table = self.view.table();
            match self.platform.watch_config(table, WATCH_WAIT).await {
                Ok(outcome) => {
                    self.tell_config(outcome).await;
                    backoff.reset();
                }
                Err(report) => {
                    self.note_failure(&report);
                    backoff.wait().await;
                }
            }
        }
    }

    /// Tells the control loop what a read brought.
    async fn tell_config(&self, outcome: ReadOutcome) {
        let event = match outcome {
            ReadOutcome::Current => ControlEvent::Config {
                table: None,
                deltas: Vec::new(),
            },
            ReadOutcome::Newer { table, deltas } => ControlEvent::Config {
                table: Some(table),
                deltas,
            },
        };
        self.control.send(event).await;
    }

    /// Follows the VM list.
    async fn follow_vms(&self) {
        let mut backoff = Backoff::new();
        loop {
            self.wait_for_turn().await;
            self.metrics.platform_calls.inc();
            match self.platform.watch_vms(WATCH_WAIT).await {
                Ok(list) => {
                    self.tell_vms(list).await;
                    backoff.reset();
                }
                Err(report) => {
                    self.note_failure(&report);
                    backoff.wait().await;
                }
            }
        }
    }

    /// Tells the control loop of a VM list, or that there is no newer one.
    async fn tell_vms(&self, list: Option<VmList>) {
        self.control
            .send(ControlEvent::Vms(list.map(Arc::new)))
            .await;
    }

    /// Logs a failed read.
    fn note_failure(&self, report: &Report<PlatformError>) {
        match report.current_context() {
            PlatformError::Invalid => {
                self.metrics.config_refused.inc();
                log::error!("config: refused, the last good one stays: {report:?}");
            }
            error => log::warn!("platform: {error}."),
        }
    }
}
