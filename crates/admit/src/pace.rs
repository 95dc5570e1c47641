//! Pace of dispatches under the rate that a backend server has named.

use std::time::Duration;

use ids::{MonoTime, RequestRate};

/// Longest time between two dispatches. A server that names a lower rate gets a
/// request at this interval, because only its answers tell when the limit ends.
const MAX_INTERVAL: Duration = Duration::from_secs(4);

/// Spaces dispatches so that they keep to a rate, with at most one ahead of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct DispatchPace {
    rate: RequestRate,
    interval: Duration,
    /// Time at which the next dispatch is on schedule.
    next: MonoTime,
}

impl DispatchPace {
    /// Starts at `now`, when requests may be running already.
    pub(crate) fn new(now: MonoTime, rate: RequestRate) -> Self {
        let interval = rate.interval(MAX_INTERVAL);
        Self {
            rate,
            interval,
            next: now + interval * 2,
        }
    }

    /// Returns the rate.
    pub(crate) fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the rate from the next dispatch on.
    pub(crate) fn set_rate(&mut self, now: MonoTime, rate: RequestRate) {
        self.rate = rate;
        self.interval = rate.interval(MAX_INTERVAL);
        self.next = self.next.min(now + self.interval * 2);
    }

    /// Time of the next dispatch, if it is not now.
    pub(crate) fn ready_at(&self) -> MonoTime {
        self.next - self.interval
    }

    /// Time until a job is dispatched that has `ahead` jobs before it.
    pub(crate) fn wait(&self, now: MonoTime, ahead: usize) -> Duration {
        self.ready_at().since(now) + self.interval * ahead as u32
    }

    /// Counts a dispatch.
    pub(crate) fn record(&mut self, now: MonoTime) {
        self.next = self.next.max(now) + self.interval;
    }

    /// Takes back a dispatch whose request was not sent.
    pub(crate) fn refund(&mut self) {
        self.next = self.next - self.interval;
    }
}
