//! Running estimates of service times and of shares of bad samples.

use std::time::Duration;

/// Quantile of the service time from which the slow limit is derived.
const QUANTILE: f64 = 0.95;
/// Smallest step of the quantile estimate, as a share of its value.
const QUANTILE_STEP: f64 = 0.04;
/// Number of samples before an estimate is used.
const MIN_SAMPLES: u32 = 30;

/// Running estimate of a server's 95th percentile of service time.
///
/// The estimate is a stochastic approximation: each sample moves it by a bounded
/// step, so that outliers of a heavy-tailed distribution do not distort it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeQuantile {
    nanos: f64,
    samples: u32,
}

impl TimeQuantile {
    /// Records a service time.
    pub(crate) fn record(&mut self, time: Duration) {
        let sample = time.as_nanos() as f64;
        // The first steps are larger, so that the estimate converges quickly
        // from a first sample that is far off.
        let step = QUANTILE_STEP.max(1.0 / f64::from(self.samples + 2));
        self.nanos = match self.nanos {
            0.0 => sample.max(1.0) * 2.0,
            nanos if sample > nanos => nanos * (1.0 + step * QUANTILE),
            nanos => nanos * (1.0 - step * (1.0 - QUANTILE)),
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the estimate in nanoseconds, or `None` while there are too few
    /// samples.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.nanos)
    }
}

/// Exponential moving average of the share of bad samples of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BadShare {
    share: f64,
    smoothing: f64,
}

impl BadShare {
    /// Creates a share of zero. `smoothing` is the weight of the newest sample.
    pub(crate) fn new(smoothing: f64) -> Self {
        Self {
            share: 0.0,
            smoothing,
        }
    }

    /// Records a batch of samples as if the bad ones came last.
    pub(crate) fn record(&mut self, good: u64, bad: u64) {
        self.update(0.0, good);
        self.update(1.0, bad);
    }

    /// Returns the average, 0 to 1.
    pub(crate) fn get(&self) -> f64 {
        self.share
    }

    /// Moves the average as `count` samples of `value` would.
    fn update(&mut self, value: f64, count: u64) {
        let kept = (1.0 - self.smoothing).powi(count.min(1_000) as i32);
        self.share = value + (self.share - value) * kept;
    }
}

/// Returns the lower median of the numbers, or `None` if there are none.
pub(crate) fn median(numbers: &mut [f64]) -> Option<f64> {
    if numbers.is_empty() {
        return None;
    }
    let index = (numbers.len() - 1) / 2;
    let (_, value, _) = numbers.select_nth_unstable_by(index, f64::total_cmp);
    Some(*value)
}

/// Returns the mean of the lower half of the numbers, including the middle one
/// of an odd count, or `None` if there are none.
pub(crate) fn mean_of_lower_half(numbers: &mut [f64]) -> Option<f64> {
    if numbers.is_empty() {
        return None;
    }
    numbers.sort_unstable_by(f64::total_cmp);
    let half = numbers.len().div_ceil(2);
    Some(numbers[..half].iter().sum::<f64>() / half as f64)
}
