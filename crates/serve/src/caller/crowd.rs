//! Closes callers' connections that are idle for too long or whose heads take too
//! long, and the longest idle ones when there are too many connections.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ids::{FastMap, MonoTime};

use super::{LimitSource, state::CallerState};
use crate::{budget::ByteAccount, clock::MonoClock, metrics::MetricSet, trail::LineLimiter};

/// Number of sweeps within the shortest timeout, so that a connection is closed at
/// most one eighth of the timeout late.
const SWEEPS_PER_TIMEOUT: u32 = 8;
/// Bounds of the time between sweeps.
const SWEEP_INTERVAL: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));
/// Share of the allowed connections that is kept free for new ones, as a divisor.
/// With a larger reserve, connections would be closed without need; with a smaller
/// one, each new connection would search all others for the longest idle one.
const RESERVE_DIVISOR: usize = 64;
/// Number of log lines per second about connections closed to make room.
const CROWDED_LINES_PER_S: u64 = 1;

/// All open connections of callers.
#[derive(Debug)]
pub struct CallerCrowd {
    limits: LimitSource,
    clock: MonoClock,
    metrics: Arc<MetricSet>,
    account: Arc<ByteAccount>,
    next: AtomicU64,
    connections: Mutex<FastMap<u64, Arc<CallerState>>>,
    crowded_lines: LineLimiter,
}

/// A connection in the crowd, which leaves it when this is dropped.
#[derive(Debug)]
pub struct CrowdMember {
    crowd: Arc<CallerCrowd>,
    number: u64,
    /// State of the connection.
    pub state: Arc<CallerState>,
}

impl Drop for CrowdMember {
    fn drop(&mut self) {
        self.crowd.lock().remove(&self.number);
        self.crowd.metrics.connections.dec();
        if self.state.is_unheld() {
            self.crowd.metrics.count_closed("memory", 1);
            if self.crowd.crowded_lines.take() {
                log::warn!("listener: no memory for a head, closed its connection.");
            }
        }
    }
}

impl CallerCrowd {
    /// Creates a crowd without connections.
    pub fn new(
        limits: LimitSource,
        clock: MonoClock,
        metrics: Arc<MetricSet>,
        account: Arc<ByteAccount>,
    ) -> Self {
        Self {
            limits,
            clock,
            metrics,
            account,
            next: AtomicU64::new(0),
            connections: Mutex::default(),
            crowded_lines: LineLimiter::new(CROWDED_LINES_PER_S),
        }
    }

    /// Adds a connection that has just been accepted.
    pub fn join(self: &Arc<Self>) -> CrowdMember {
        let state = Arc::new(CallerState::new(self.clock));
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(number, Arc::clone(&state));
        self.metrics.connections.inc();
        CrowdMember {
            crowd: Arc::clone(self),
            number,
            state,
        }
    }

    /// Returns the time until the next [`Self::sweep`].
    pub fn sweep_interval(&self) -> Duration {
        let limits = self.limits.get();
        let shortest = limits.idle_timeout.min(limits.head_timeout);
        (shortest / SWEEPS_PER_TIMEOUT).clamp(SWEEP_INTERVAL.0, SWEEP_INTERVAL.1)
    }

    /// Closes the connections that exceed a timeout.
    pub fn sweep(&self) {
        let limits = self.limits.get();
        let now = self.clock.now();
        let over = |since: Option<MonoTime>, timeout: Duration| {
            since.is_some_and(|since| now.since(since) >= timeout)
        };
        for state in self.lock().values() {
            if over(state.idle_since(), limits.idle_timeout) {
                self.metrics.count_closed("idle", 1);
                state.close();
            } else if over(state.head_since(), limits.head_timeout) {
                self.metrics.count_closed("slow-head", 1);
                state.close();
            }
        }
    }

    /// Closes the longest idle connections if fewer than the reserve are `free` of
    /// `allowed` ones, or if clients hold almost as much memory as they may.
    pub fn make_room(&self, free: usize, allowed: usize) {
        let reserve = (allowed / RESERVE_DIVISOR).max(1);
        let is_full = self.account.is_crowded();
        if free >= reserve && !is_full {
            return;
        }
        let connections = self.lock();
        let idle = connections.values();
        let mut idle: Vec<(MonoTime, &Arc<CallerState>)> = idle
            .filter_map(|state| Some((state.idle_since()?, state)))
            .collect();
        let count = idle.len().min(reserve);
        if count == 0 {
            return;
        }
        idle.select_nth_unstable_by_key(count - 1, |(since, _)| *since);
        for (_, state) in &idle[..count] {
            state.close();
        }
        let reason = if is_full { "memory" } else { "crowded" };
        self.metrics.count_closed(reason, count as u64);
        if self.crowded_lines.take() {
            log::warn!(
                "listener: {free} of {allowed} connections are free, clients hold {} bytes, closing the {count} that are idle for longest.",
                self.account.used()
            );
        }
    }

    /// Locks the connections. The lock is never poisoned, since no holder panics.
    fn lock(&self) -> MutexGuard<'_, FastMap<u64, Arc<CallerState>>> {
        self.connections
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
