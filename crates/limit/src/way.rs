//! Estimates round trips to a home and detects that it does not respond.
//!
//! A late response is not a lost one: after a timeout the home is asked again
//! soon, and the tokens of a late response are used when they arrive.

use std::time::Duration;

use ids::MonoTime;

/// Bounds of the timeout of a lease request. Below the lower bound, a busy
/// machine would look unresponsive; above the upper bound, the ingress would
/// run out of tokens before it notices.
const MIN_TIMEOUT: Duration = Duration::from_millis(25);
const MAX_TIMEOUT: Duration = Duration::from_millis(120);
/// Bounds of the backoff after a timeout. The backoff doubles with each
/// consecutive timeout.
const MIN_BACKOFF: Duration = Duration::from_millis(30);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 6;
/// Weights of a new sample in the mean round trip and in its deviation, as in
/// RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Number of deviations above the mean at which a request times out.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// State of the network path from an ingress to one home.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HomePath {
    /// Mean round trip and its deviation, in seconds.
    round_trip: Option<(f64, f64)>,
    /// Number of consecutive timeouts.
    timeouts: u32,
    retry_at: MonoTime,
}

impl HomePath {
    /// Returns the time after which a request counts as timed out.
    pub(crate) fn timeout(&self) -> Duration {
        let Some((mean, deviation)) = self.round_trip else {
            return MIN_TIMEOUT;
        };
        let seconds = mean + TIMEOUT_DEVIATIONS * deviation;
        Duration::from_secs_f64(seconds).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Records a response, on time or late.
    pub(crate) fn record_response(&mut self, round_trip: Duration) {
        let sample = round_trip.as_secs_f64();
        let (mean, deviation) = self.round_trip.unwrap_or((sample, sample / 2.0));
        let error = sample - mean;
        self.round_trip = Some((
            mean + MEAN_GAIN * error,
            deviation + DEVIATION_GAIN * (error.abs() - deviation),
        ));
        self.timeouts = 0;
        self.retry_at = MonoTime::ZERO;
    }

    /// Records that a request sent at `sent` timed out. Requests sent before
    /// the current backoff ends count as one timeout.
    pub(crate) fn record_timeout(&mut self, now: MonoTime, sent: MonoTime) {
        if sent < self.retry_at {
            return;
        }
        let backoff = MIN_BACKOFF * (1 << self.timeouts.min(MAX_DOUBLINGS));
        self.timeouts += 1;
        self.retry_at = now + backoff.min(MAX_BACKOFF);
    }

    /// Whether the last request timed out. The next request is then only a
    /// probe, and nothing should wait for its response.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.timeouts > 0
    }

    /// Returns when the home may be asked again, a time in the past if it
    /// responds.
    pub(crate) fn retry_at(&self) -> MonoTime {
        self.retry_at
    }
}
