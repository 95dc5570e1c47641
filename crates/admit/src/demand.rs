//! Recent demand for slots, measured at each arrival.

use std::time::Duration;

use ids::MonoTime;

/// Half of the longest time for which an arrival is remembered.
const HALF_WINDOW: Duration = Duration::from_secs(5);

/// Share of arrivals for which a slot is reserved. Nearly all of the others are
/// served as well, because each request chooses between two backend servers.
const COVERED_SHARE: f64 = 0.98;

/// Numbers of concurrent jobs at the arrivals of the last 5 to 10 seconds.
///
/// The number of slots needed is a quantile of them and not the peak: a single
/// short burst would otherwise keep slots idle for as long as it is remembered.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalWindow {
    started: MonoTime,
    current: ConcurrencyHistogram,
    previous: ConcurrencyHistogram,
}

/// Counts of arrivals by the number of concurrent jobs, the new one included.
#[derive(Clone, Debug, Default)]
struct ConcurrencyHistogram {
    counts: Vec<u32>,
    total: u32,
}

impl ConcurrencyHistogram {
    /// Counts an arrival that makes it `jobs` concurrent jobs.
    fn record(&mut self, jobs: usize) {
        if self.counts.len() <= jobs {
            self.counts.resize(jobs + 1, 0);
        }
        self.counts[jobs] += 1;
        self.total += 1;
    }

    /// Number of arrivals that made it `jobs` concurrent jobs.
    fn count(&self, jobs: usize) -> u32 {
        self.counts.get(jobs).copied().unwrap_or(0)
    }
}

impl ArrivalWindow {
    /// Records an arrival that makes it `jobs` concurrent jobs.
    pub(crate) fn record(&mut self, now: MonoTime, jobs: usize) {
        self.rotate(now);
        self.current.record(jobs);
    }

    /// Returns the number of slots that suffices for [`COVERED_SHARE`] of the
    /// recent arrivals. If there were few arrivals, it suffices for all.
    pub(crate) fn slots_needed(&mut self, now: MonoTime) -> u32 {
        self.rotate(now);
        let total = self.current.total + self.previous.total;
        let mut uncovered = (f64::from(total) * (1.0 - COVERED_SHARE)) as u32;
        let len = self.current.counts.len().max(self.previous.counts.len());
        for jobs in (1..len).rev() {
            let count = self.current.count(jobs) + self.previous.count(jobs);
            if count > uncovered {
                return jobs as u32;
            }
            uncovered -= count;
        }
        0
    }

    /// Discards arrivals that are too old.
    fn rotate(&mut self, now: MonoTime) {
        let age = now.since(self.started);
        match age {
            age if age < HALF_WINDOW => return,
            age if age < 2 * HALF_WINDOW => self.previous = std::mem::take(&mut self.current),
            _ => self.previous = ConcurrencyHistogram::default(),
        }
        self.current = ConcurrencyHistogram::default();
        self.started = now;
    }
}
