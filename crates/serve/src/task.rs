//! Groups of tasks that their owner joins or aborts, and stop signals for them.

use std::{
    future::{Future, poll_fn},
    panic::AssertUnwindSafe,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use futures::FutureExt;
use tokio::{
    sync::watch,
    task::{JoinError, JoinSet},
};

/// Pause before a task that has panicked is started anew.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Set of tasks that are aborted when the set is dropped.
///
/// Finished tasks are removed whenever a task is added, so the set holds little
/// more than the running tasks.
#[derive(Debug, Default)]
pub struct TaskGroup {
    tasks: Mutex<JoinSet<()>>,
}

impl TaskGroup {
    /// Creates an empty group.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a task in the group.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut tasks = self.lock();
        while let Some(ended) = tasks.try_join_next() {
            log_panic(ended);
        }
        tasks.spawn(task);
    }

    /// Starts a task in the group, and starts it anew after a pause each time that
    /// it panics.
    pub fn spawn_supervised<T, F>(&self, name: &'static str, task: T)
    where
        T: Fn() -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        self.spawn(async move {
            while AssertUnwindSafe(task()).catch_unwind().await.is_err() {
                log::error!("{name}: a task panicked, starting it anew.");
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        });
    }

    /// Number of tasks in the group, including finished ones that have not been
    /// removed yet.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether the group has no task.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until all tasks have finished. If the wait is dropped, the tasks go on.
    pub async fn join(&self) {
        while let Some(ended) = poll_fn(|context| self.lock().poll_join_next(context)).await {
            log_panic(ended);
        }
    }

    /// Aborts all tasks and waits until they have ended.
    pub async fn abort(&self) {
        let mut tasks = std::mem::take(&mut *self.lock());
        tasks.shutdown().await;
    }

    /// Locks the set. The lock is never poisoned, since no holder panics.
    fn lock(&self) -> MutexGuard<'_, JoinSet<()>> {
        self.tasks
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Logs that a task has ended by a panic.
fn log_panic(ended: Result<(), JoinError>) {
    if let Err(error) = ended
        && error.is_panic()
    {
        log::error!("task: a task panicked; what it did is lost: {error}.");
    }
}

/// Triggers the stop signals of any number of tasks.
#[derive(Debug)]
pub struct StopSource {
    sender: watch::Sender<bool>,
}

impl Default for StopSource {
    fn default() -> Self {
        Self {
            sender: watch::channel(false).0,
        }
    }
}

impl StopSource {
    /// Returns a signal that is triggered by [`StopSource::stop`].
    pub fn signal(&self) -> StopSignal {
        StopSignal {
            receiver: self.sender.subscribe(),
        }
    }

    /// Triggers all signals of this source.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }
}

/// Signal that is triggered when its [`StopSource`] stops or is dropped.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

impl StopSignal {
    /// Waits until the signal is triggered.
    pub async fn stopped(&mut self) {
        let _ = self.receiver.wait_for(|stop| *stop).await;
    }
}
