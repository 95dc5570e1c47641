//! Streaming estimate of a latency quantile.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Step by which a sample changes the estimate, as a share of its value.
const STEP: f64 = 0.05;
/// Number of samples before the estimate is used.
const MIN_SAMPLES: u64 = 20;

/// Stochastic approximation of one quantile `q`, without locks.
///
/// A sample above the estimate raises it by `STEP * q` of its value, and one
/// below lowers it by `STEP * (1 - q)`. So the estimate settles where a share `q`
/// of the samples lies below it. The first samples are too few for a quantile, and
/// their largest is taken. A concurrent update may be lost, which only delays the
/// estimate by one step.
#[derive(Debug)]
pub struct LatencyQuantile {
    quantile: f64,
    nanos: AtomicU64,
    samples: AtomicU64,
}

impl LatencyQuantile {
    /// Creates an estimate of the quantile `quantile`, which is between 0 and 1.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile,
            nanos: AtomicU64::new(0),
            samples: AtomicU64::new(0),
        }
    }

    /// Records a sample.
    pub fn record(&self, latency: Duration) {
        let sample = latency.as_nanos() as f64;
        let current = self.nanos.load(Ordering::Relaxed) as f64;
        let is_early = self.samples.load(Ordering::Relaxed) < MIN_SAMPLES;
        let next = match current {
            current if is_early => current.max(sample),
            current if sample > current => current * (1.0 + STEP * self.quantile),
            current => current * (1.0 - STEP * (1.0 - self.quantile)),
        };
        self.nanos.store(next.max(1.0) as u64, Ordering::Relaxed);
        self.samples.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the estimate from however few samples, or `None` without any.
    pub fn rough(&self) -> Option<Duration> {
        match self.nanos.load(Ordering::Relaxed) {
            0 => None,
            nanos => Some(Duration::from_nanos(nanos)),
        }
    }

    /// Returns the estimate, or `None` before there are enough samples.
    pub fn get(&self) -> Option<Duration> {
        match self.samples.load(Ordering::Relaxed) {
            count if count < MIN_SAMPLES => None,
            _ => Some(Duration::from_nanos(self.nanos.load(Ordering::Relaxed))),
        }
    }
}
