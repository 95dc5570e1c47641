//! Ends the process before the grace period of a planned stop is over.
//!
//! A stop aborts what is left near the end of the grace period. On a slow machine, the end
//! of the tasks and of the log then takes longer than the rest of it. A busy worker thread
//! notices the signal late, too, and counts the grace period from then. So a thread of its
//! own waits for the signal and exits in time.

use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::commands::CommandError;

/// Time before the end of the grace period at which the process exits in any case. A
/// process that is limited to a part of a core may wait 95 ms for its next turn, once to
/// see the signal and once to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// Starts the thread. `grace` returns the grace period in force.
///
/// Must be called before the process gets a signal that stops it.
pub fn start(grace: impl Fn() -> Duration + Send + 'static) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .map_err(CommandError::other)?;
    let install = |kind| {
        let _guard = runtime.enter();
        signal(kind).map_err(CommandError::other)
    };
    let mut terminate = install(SignalKind::terminate())?;
    let mut interrupt = install(SignalKind::interrupt())?;
    let thread = std::thread::Builder::new().name("stop".to_owned());
    let spawned = thread.spawn(move || {
        runtime.block_on(async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
        std::thread::sleep(grace().saturating_sub(EXIT_MARGIN));
        std::process::exit(0);
    });
    spawned.map(|_| ()).map_err(CommandError::other)
}
