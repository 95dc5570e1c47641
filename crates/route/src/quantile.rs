//! Running estimate of a latency quantile.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Step of the estimate, as a share of its value.
const STEP: f64 = 0.05;
/// Samples before the estimate is used.
const MIN_SAMPLES: u64 = 20;

/// Stochastic approximation of one quantile, with atomics only.
///
/// The estimate rises by `STEP * q` of itself on a sample above it and falls
/// by `STEP * (1 - q)` on one below, so it settles where a share `q` of the
/// samples lies below. Concurrent updates may lose a step, which does no harm.
#[derive(Debug)]
pub struct LatencyQuantile {
    quantile: f64,
    nanos: AtomicU64,
    samples: AtomicU64,
}

impl LatencyQuantile {
    /// An estimate of the quantile `quantile`, between 0 and 1.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile,
            nanos: AtomicU64::new(0),
            samples: AtomicU64::new(0),
        }
    }

    /// Takes a sample.
    pub fn record(&self, latency: Duration) {
        let sample = latency.as_nanos() as f64;
        let current = self.nanos.load(Ordering::Relaxed) as f64;
        let next = match current {
            0.0 => sample,
            current if sample > current => current * (1.0 + STEP * self.quantile),
            current => current * (1.0 - STEP * (1.0 - self.quantile)),
        };
        self.nanos.store(next.max(1.0) as u64, Ordering::Relaxed);
        self.samples.fetch_add(1, Ordering::Relaxed);
    }

    /// The estimate, once there were enough samples.
    pub fn get(&self) -> Option<Duration> {
        match self.samples.load(Ordering::Relaxed) {
            count if count < MIN_SAMPLES => None,
            _ => Some(Duration::from_nanos(self.nanos.load(Ordering::Relaxed))),
        }
    }
}
