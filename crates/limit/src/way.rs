//! What an ingress knows of the way to a home: round trips, and silence.
//!
//! A late answer is not a lost one. The home is asked again soon, and the
//! tokens that it sent are used when they arrive.

use std::time::Duration;

use ids::MonoTime;

/// Bounds of the time after which an ask counts as late: below the lower one
/// a busy machine looks silent, above the upper one stocks run out meanwhile.
const MIN_TIMEOUT: Duration = Duration::from_millis(25);
const MAX_TIMEOUT: Duration = Duration::from_millis(120);
/// Bounds of the pause after a late answer; it doubles with each in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(30);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 6;
/// Weights of a new sample in the mean round trip and in its deviation, as
/// in RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Deviations above the mean at which an ask counts as late.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// The way from an ingress to one home.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HomePath {
    /// Mean round trip and its deviation, in seconds.
    round_trip: Option<(f64, f64)>,
    /// Asks in a row without an answer in time.
    timeouts: u32,
    retry_at: MonoTime,
}

impl HomePath {
    /// Time after which an ask counts as late.
    pub(crate) fn timeout(&self) -> Duration {
        let Some((mean, deviation)) = self.round_trip else {
            return MIN_TIMEOUT;
        };
        let seconds = mean + TIMEOUT_DEVIATIONS * deviation;
        Duration::from_secs_f64(seconds).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// An answer came, in time or late.
    pub(crate) fn note_response(&mut self, round_trip: Duration) {
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

    /// An ask sent at `sent` is late; asks of one pause count once.
    pub(crate) fn note_timeout(&mut self, now: MonoTime, sent: MonoTime) {
        if sent < self.retry_at {
            return;
        }
        let backoff = MIN_BACKOFF * (1 << self.timeouts.min(MAX_DOUBLINGS));
        self.timeouts += 1;
        self.retry_at = now + backoff.min(MAX_BACKOFF);
    }

    /// Whether the last ask got no answer in time. The next one is a trial
    /// that nothing should wait for.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.timeouts > 0
    }

    /// When the home may be asked, in the past if it answers.
    pub(crate) fn retry_at(&self) -> MonoTime {
        self.retry_at
    }
}
