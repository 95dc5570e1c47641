//! Runs the daemon: reads its settings, handles signals and reloads changed
//! settings.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use adapter::{DecodeOptions, PlatformCodec, StoreClient, StoreFeed, StoreFeedOptions};
use config::KeyHasher;
use reader::{ConfigFeed, HttpPlatformBuilder};
use serve::{Daemon, DaemonBuilder, DefaultCodec, EdgeCodec, Settings, SourceKind};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    commands::{CommandError, read_text, start_runtime},
    logs, stop_limit,
};

/// Interval at which the settings file is checked for changes, since it may
/// change without a SIGHUP.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Runs `run`, the daemon, until a signal ends it.
pub fn run(path: &Path) -> Result<(), CommandError> {
    let text = read_text(path)?;
    let settings = parse(path, &text)?;
    logs::start(&settings.log);
    let file = SettingsFile {
        path: path.to_owned(),
        text,
    };
    start_runtime(settings.budgets.threads)?.block_on(run_daemon(settings, file))
}

/// Runs `check SETTINGS`, which reports the first fault of a settings file.
pub fn check(path: &Path) -> Result<(), CommandError> {
    let settings = parse(path, &read_text(path)?)?;
    println!("good: settings of VM {}", settings.vm);
    Ok(())
}

/// Parses the text of a settings file.
fn parse(path: &Path, text: &str) -> Result<Settings, CommandError> {
    Settings::parse(&path.display().to_string(), text)
        .map_err(|fault| CommandError::Faults(vec![fault]))
}

/// Settings file with the text read last.
struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Reads the file; returns its settings if its text has changed.
    fn read_changed(&mut self) -> Result<Option<Settings>, CommandError> {
        let text = read_text(&self.path)?;
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        parse(&self.path, &self.text).map(Some)
    }
}

/// Signals that a daemon handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers of the signals.
    fn new() -> Result<Self, CommandError> {
        let install = |kind| signal(kind).map_err(CommandError::other);
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }

    /// Waits until a graceful stop is to be cut short: until the second SIGINT.
    ///
    /// Platforms may repeat SIGTERM within the grace period, and end the process by
    /// SIGKILL. A person at a terminal expects a second Ctrl-C to end it at once.
    async fn wait_for_abort(&mut self, first: EndSignal) {
        let interrupts = match first {
            EndSignal::Interrupt => 1,
            EndSignal::Terminate => 2,
        };
        let mut received = 0;
        while received < interrupts {
            tokio::select! {
                _ = self.interrupt.recv() => received += 1,
                _ = self.terminate.recv() => {
                    log::info!("serve: another SIGTERM received, the stop continues.");
                }
            }
        }
    }
}

/// Signal that begins a graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EndSignal {
    /// SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
}

/// Configuration feed and header codec selected by the settings.
struct EdgeAdapters {
    feed: Arc<dyn ConfigFeed>,
    codec: Arc<dyn EdgeCodec>,
    /// Feed of the users' store, if that is the configured source.
    store: Option<Arc<StoreFeed>>,
}

impl EdgeAdapters {
    /// Creates the feed and the codec of the configured source.
    fn new(settings: &Settings) -> Self {
        match settings.source {
            SourceKind::Published => Self {
                feed: Arc::new(HttpPlatformBuilder::new(settings.platform).feed()),
                codec: Arc::new(DefaultCodec),
                store: None,
            },
            SourceKind::Store => {
                let client = StoreClient::new(settings.platform);
                let store = Arc::new(StoreFeed::new(client, feed_options(settings)));
                Self {
                    feed: Arc::clone(&store) as Arc<dyn ConfigFeed>,
                    codec: Arc::new(PlatformCodec),
                    store: Some(store),
                }
            }
        }
    }
}

/// Returns the options of the users' store feed.
fn feed_options(settings: &Settings) -> StoreFeedOptions {
    StoreFeedOptions {
        decode: DecodeOptions {
            hasher: KeyHasher::new(settings.secret_bytes()),
            zones: settings.zones.clone(),
            peer_port: settings.peer.port(),
            floor: settings.policy.floor(),
            retry_budget: settings.policy.retry_budget(),
        },
        grace_period: StoreFeedOptions::GRACE_PERIOD,
        min_outage: StoreFeedOptions::MIN_OUTAGE,
    }
}

/// Runs a daemon until SIGTERM or SIGINT, then stops it gracefully; a second
/// SIGINT ends it at once.
async fn run_daemon(settings: Settings, mut file: SettingsFile) -> Result<(), CommandError> {
    let mut signals = Signals::new()?;
    let adapters = EdgeAdapters::new(&settings);
    let builder = DaemonBuilder::bind(settings)
        .map_err(|report| CommandError::other(report.current_context()))?;
    let daemon = builder.start_with(Arc::clone(&adapters.feed), Arc::clone(&adapters.codec));
    stop_limit::start(daemon.grace())?;
    let addresses = daemon.addresses();
    log::info!(
        "serve: listening for callers on {}, for peers on {} and for operators on {}.",
        addresses.ingress,
        addresses.peer,
        addresses.admin
    );
    let first = watch_settings(&daemon, &adapters, &mut file, &mut signals).await;
    log::info!(
        "serve: SIGTERM or SIGINT received, stopping; requests may finish within the grace period."
    );
    tokio::select! {
        () = daemon.stop() => log::info!("serve: the daemon has stopped."),
        () = signals.wait_for_abort(first) => log::warn!(
            "serve: second SIGINT received, aborting the remaining requests."
        ),
    }
    Ok(())
}

/// Reloads changed settings until SIGTERM or SIGINT, which is returned.
async fn watch_settings(
    daemon: &Daemon,
    adapters: &EdgeAdapters,
    file: &mut SettingsFile,
    signals: &mut Signals,
) -> EndSignal {
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return EndSignal::Terminate,
            _ = signals.interrupt.recv() => return EndSignal::Interrupt,
            _ = signals.hangup.recv() => log::info!(
                "serve: SIGHUP received, checking the settings file for changes."
            ),
            _ = checks.tick() => {}
        }
        match file.read_changed() {
            Ok(None) => {}
            Ok(Some(settings)) => reload(daemon, adapters, &settings),
            Err(error) => log::error!(
                "serve: the previous settings stay in force, \
                 the settings file cannot be loaded: {error}"
            ),
        }
    }
}

/// Puts changed settings in force and logs those that need a restart.
fn reload(daemon: &Daemon, adapters: &EdgeAdapters, settings: &Settings) {
    let restart_fields = daemon.reload(settings);
    if let Some(store) = &adapters.store {
        store.set_options(feed_options(settings));
    }
    match restart_fields.as_slice() {
        [] => log::info!("serve: new settings are in force."),
        fields => log::warn!(
            "serve: new settings are in force except {}; restart the daemon to apply these.",
            fields.join(", ")
        ),
    }
}
