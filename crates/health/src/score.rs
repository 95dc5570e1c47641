//! CUSUM scores of a backend server, in nats of log-likelihood ratio.

use std::{fmt, time::Duration};

use ids::MonoTime;

/// Time within which samples of one server count as correlated. A pause of the
/// server's runtime delays all its requests at once, which is one event and not
/// as many independent ones.
const CORRELATION_TIME: Duration = Duration::from_millis(100);
/// Number of samples in one correlation time that count with full weight.
const FULL_WEIGHT_SAMPLES: f64 = 1.0;
/// Upper bound of the share of bad samples that the rest of the pool can
/// explain.
const MAX_POOL_SHARE: f64 = 0.98;

/// A symptom of a fault. Each server has a score for each signal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Signal {
    /// Nearly all requests fail.
    Failing,
    /// Some requests fail.
    Erring,
    /// Nearly all requests are slow.
    Slow,
    /// Some requests are slow.
    Lagging,
    /// Nearly all requests take many times the slow limit.
    Hanging,
    /// Some answers end early.
    Truncating,
    /// No connection can be made from this VM.
    Unreachable,
}

/// Parameters of the two hypotheses of a signal's test.
#[derive(Clone, Copy, Debug)]
struct Hypotheses {
    /// Smallest probability of a bad sample from a healthy server.
    healthy: f64,
    /// Probability of a bad sample from a failing server.
    failing: f64,
}

impl Signal {
    /// All signals.
    pub const ALL: [Self; 7] = [
        Self::Failing,
        Self::Erring,
        Self::Slow,
        Self::Lagging,
        Self::Hanging,
        Self::Truncating,
        Self::Unreachable,
    ];

    /// Index into arrays that have an entry for each signal.
    pub(crate) fn index(self) -> usize {
        self as usize
    }

    /// Kind of the samples that update the signal's score.
    pub(crate) fn kind(self) -> SampleKind {
        match self {
            Self::Failing | Self::Erring => SampleKind::Failure,
            Self::Slow | Self::Lagging => SampleKind::Slowness,
            Self::Hanging => SampleKind::Hang,
            Self::Truncating => SampleKind::Truncation,
            Self::Unreachable => SampleKind::Path,
        }
    }

    /// Hypotheses of the signal's test.
    fn hypotheses(self) -> Hypotheses {
        let (healthy, failing) = match self {
            Self::Failing => (0.005, 0.9),
            Self::Erring => (0.005, 0.1),
            Self::Slow => (0.06, 0.9),
            Self::Lagging => (0.06, 0.3),
            Self::Hanging => (0.005, 0.9),
            Self::Truncating => (0.005, 0.2),
            Self::Unreachable => (0.005, 0.9),
        };
        Hypotheses { healthy, failing }
    }
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failing => "failing",
            Self::Erring => "erring",
            Self::Slow => "slow",
            Self::Lagging => "lagging",
            Self::Hanging => "hanging",
            Self::Truncating => "truncating",
            Self::Unreachable => "unreachable from here",
        })
    }
}

/// Kind of a sample. A sample of one kind updates the scores of the signals of
/// that kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SampleKind {
    /// Whether the request failed.
    Failure,
    /// Whether the request was slower than the slow limit.
    Slowness,
    /// Whether the request took many times the slow limit.
    Hang,
    /// Whether the answer ended early.
    Truncation,
    /// Whether this daemon could not reach the VM.
    Path,
}

impl SampleKind {
    /// Number of kinds.
    pub(crate) const COUNT: usize = 5;

    /// Index into arrays that have an entry for each kind.
    pub(crate) fn index(self) -> usize {
        self as usize
    }

    /// Largest number of nats that the bad samples of one correlation time may
    /// add to a score.
    fn max_window_nats(self) -> f64 {
        match self {
            Self::Slowness => 4.0,
            Self::Failure | Self::Hang | Self::Truncation | Self::Path => 5.5,
        }
    }
}

/// Samples of one kind that were reported together, weighted by
/// [`sample_weight`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Batch {
    pub(crate) good: f64,
    pub(crate) bad: f64,
    /// Share of bad samples that is usual in the pool, and thus no sign of a
    /// fault of this server.
    pub(crate) pool_share: f64,
}

/// Weight of one sample of a server that has `rate` samples per second.
///
/// Good and bad samples have the same weight. Limiting only the weight of bad
/// samples would, at 200 requests/s, let the good ones outweigh any slowness
/// that does not affect all requests.
pub(crate) fn sample_weight(rate: f64) -> f64 {
    let correlated = rate * CORRELATION_TIME.as_secs_f64();
    (FULL_WEIGHT_SAMPLES / correlated.max(f64::MIN_POSITIVE)).min(1.0)
}

/// CUSUM score of one signal of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CusumScore {
    value: f64,
    window_start: MonoTime,
    window_nats: f64,
}

impl CusumScore {
    /// Returns the score in nats.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Resets the score to zero.
    pub(crate) fn reset(&mut self) {
        self.value = 0.0;
    }

    /// Adds the evidence of samples of the signal's kind, up to `max_score`.
    ///
    /// The bad samples are added before the good ones and the result is clamped
    /// once. The order within a batch is unknown, and this order never
    /// overstates the score.
    pub(crate) fn record(&mut self, now: MonoTime, signal: Signal, batch: Batch, max_score: f64) {
        let Hypotheses { healthy, failing } = signal.hypotheses();
        let expected_share = batch.pool_share.clamp(healthy, MAX_POOL_SHARE);
        let nats_per_bad = (failing / expected_share).ln().max(0.0);
        let nats_per_good = ((1.0 - failing) / (1.0 - healthy)).ln();
        let gain = self.cap_gain(now, signal, nats_per_bad * batch.bad);
        let value = self.value + gain + nats_per_good * batch.good;
        self.value = value.clamp(0.0, max_score);
    }

    /// Returns the part of `gain` that still counts within the current
    /// correlation time.
    fn cap_gain(&mut self, now: MonoTime, signal: Signal, gain: f64) -> f64 {
        if now.since(self.window_start) >= CORRELATION_TIME {
            self.window_start = now;
            self.window_nats = 0.0;
        }
        let capped = gain
            .min(signal.kind().max_window_nats() - self.window_nats)
            .max(0.0);
        self.window_nats += capped;
        capped
    }
}
