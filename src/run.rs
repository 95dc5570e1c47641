//! The daemon itself: settings, signals, reloads.

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
    logs,
};

/// Time between looks whether the settings file has changed: it may, with no
/// signal.
const LOOK_EVERY: Duration = Duration::from_secs(3);

/// `run`: the daemon, until a signal.
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

/// `check SETTINGS`: prints the first fault of a settings file.
pub fn check(path: &Path) -> Result<(), CommandError> {
    let settings = parse(path, &read_text(path)?)?;
    println!("good: settings of VM {}", settings.vm);
    Ok(())
}

/// Reads settings.
fn parse(path: &Path, text: &str) -> Result<Settings, CommandError> {
    Settings::parse(&path.display().to_string(), text)
        .map_err(|fault| CommandError::Faults(vec![fault]))
}

/// The settings file with the text that was read last.
struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Settings by the file if it has changed.
    fn read_changed(&mut self) -> Result<Option<Settings>, CommandError> {
        let text = read_text(&self.path)?;
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        parse(&self.path, &self.text).map(Some)
    }
}

/// The signals that a daemon follows.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Follows the signals from now on.
    fn new() -> Result<Self, CommandError> {
        let follow = |kind| signal(kind).map_err(CommandError::other);
        Ok(Self {
            terminate: follow(SignalKind::terminate())?,
            interrupt: follow(SignalKind::interrupt())?,
            hangup: follow(SignalKind::hangup())?,
        })
    }

    /// Waits until the daemon is to end.
    async fn ended(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The edges of a daemon by its settings.
struct Edges {
    feed: Arc<dyn ConfigFeed>,
    codec: Arc<dyn EdgeCodec>,
    /// The feed of the users' store, if it is that.
    store: Option<Arc<StoreFeed>>,
}

impl Edges {
    /// What the settings say that the daemon's surroundings speak.
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

/// Options of the feed of the users' store.
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
    }
}

/// Runs a daemon until SIGTERM or SIGINT; a second one ends it at once.
async fn run_daemon(settings: Settings, mut file: SettingsFile) -> Result<(), CommandError> {
    let mut signals = Signals::new()?;
    let edges = Edges::new(&settings);
    let builder = DaemonBuilder::bind(settings)
        .map_err(|report| CommandError::other(report.current_context()))?;
    let daemon = builder.start_with(Arc::clone(&edges.feed), Arc::clone(&edges.codec));
    let addresses = daemon.addresses();
    log::info!(
        "serve: callers on {}, peers on {}, operators on {}.",
        addresses.ingress,
        addresses.peer,
        addresses.admin
    );
    follow_settings(&daemon, &edges, &mut file, &mut signals).await;
    log::info!("serve: leaving, what is in flight finishes.");
    tokio::select! {
        () = daemon.stop() => log::info!("serve: ended."),
        () = signals.ended() => log::warn!("serve: second signal, ended at once."),
    }
    Ok(())
}

/// Reloads changed settings until the daemon is to end.
async fn follow_settings(
    daemon: &Daemon,
    edges: &Edges,
    file: &mut SettingsFile,
    signals: &mut Signals,
) {
    let mut looks = tokio::time::interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => log::info!("serve: SIGHUP, reading the settings."),
            _ = looks.tick() => {}
        }
        match file.read_changed() {
            Ok(None) => {}
            Ok(Some(settings)) => reload(daemon, edges, &settings),
            Err(error) => log::error!("serve: settings refused, the last ones stay: {error}."),
        }
    }
}

/// Puts changed settings in force.
fn reload(daemon: &Daemon, edges: &Edges, settings: &Settings) {
    let fixed = daemon.reload(settings);
    if let Some(store) = &edges.store {
        store.set_options(feed_options(settings));
    }
    match fixed.as_slice() {
        [] => log::info!("serve: new settings are in force."),
        fields => log::warn!(
            "serve: new settings are in force but for {}; restart the daemon for these.",
            fields.join(", ")
        ),
    }
}
