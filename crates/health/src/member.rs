//! State of one backend server of a pool: its rotation and the evidence on it.

use std::time::Duration;

use ids::{MonoTime, Slots};

use crate::{
    baseline::{BadShare, TimeQuantile},
    event::{OutcomeCounts, Reason},
    score::{Batch, CusumScore, SampleKind, Signal, sample_weight},
};

/// Time out of rotation after the first ejection. It doubles with each further
/// one.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Longest time out of rotation.
const MAX_EJECTION: Duration = Duration::from_secs(300);
/// Time since the latest return after which the time out of rotation starts at
/// [`FIRST_EJECTION`] again.
const BACKOFF_RESET_TIME: Duration = Duration::from_secs(600);
/// Time without a canary after which a server on probation begins its slow
/// start. A service that has no idempotent requests has no canaries.
const MAX_CANARY_WAIT: Duration = Duration::from_secs(60);
/// Number of consecutive good canaries after which a server returns.
const CANARIES_TO_RETURN: u32 = 3;
/// Time in which a returned or new server reaches its full weight.
const SLOW_START: Duration = Duration::from_secs(10);
/// Weight at the beginning of a slow start.
const FIRST_WEIGHT: f64 = 0.1;
/// Upper bound of a score as a multiple of the threshold. It lets a server that
/// is held by the floor become healthy soon after it has recovered.
const MAX_SCORE_FACTOR: f64 = 1.2;
/// Time for which the state that a health endpoint reported is used.
const ENDPOINT_STATE_AGE: Duration = Duration::from_secs(3);
/// Nats by which an unhealthy endpoint lowers the threshold, about as much as
/// one failed request adds to a score.
const UNHEALTHY_ENDPOINT_NATS: f64 = 5.0;
/// Smoothing factors of the recent and of the long-term share of bad samples.
const RECENT_SMOOTHING: f64 = 0.2;
const LONG_TERM_SMOOTHING: f64 = 0.005;
/// Smoothing factor of the average gap between samples.
const RATE_SMOOTHING: f64 = 0.05;

/// Whether and how a server receives traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rotation {
    /// The server receives its full share of the traffic.
    In,
    /// The server is in its slow start and receives a share that rises until it
    /// is full.
    Ramping {
        /// Start of the slow start.
        since: MonoTime,
    },
    /// The server receives no traffic.
    Ejected {
        /// Time from which the server may receive canaries.
        until: MonoTime,
    },
    /// The server receives canaries: idempotent requests, one at a time.
    Probation {
        /// Number of consecutive good canaries.
        good: u32,
        /// End of the latest canary, or the start of the probation.
        since: MonoTime,
    },
}

/// A backend server with its evidence.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) slots: Slots,
    pub(crate) usable: bool,
    pub(crate) rotation: Rotation,
    pub(crate) reason: Reason,
    pub(crate) service_times: TimeQuantile,
    /// Recent share of bad samples by kind.
    recent_shares: [BadShare; SampleKind::COUNT],
    /// Long-term share of bad samples by kind.
    long_term_shares: [BadShare; SampleKind::COUNT],
    scores: [CusumScore; Signal::ALL.len()],
    /// Counters of the latest report.
    counts: Option<OutcomeCounts>,
    /// End of the time for which the server's health endpoint counts as
    /// unhealthy.
    unhealthy_until: MonoTime,
    /// Number of ejections that lengthen the next one.
    recent_ejections: u32,
    last_return: MonoTime,
    last_sample: MonoTime,
    /// Samples per second.
    rate: f64,
    /// Average gap between samples in seconds.
    mean_gap_s: f64,
    /// Weight, canary flag and reason of the latest [`Action`] for the server.
    ///
    /// [`Action`]: crate::Action
    pub(crate) last_decision: Option<(f64, bool, Reason)>,
}

impl Member {
    /// Creates a server in rotation without evidence.
    pub(crate) fn new(slots: Slots, usable: bool) -> Self {
        Self {
            slots,
            usable,
            rotation: Rotation::In,
            reason: Reason::Healthy,
            service_times: TimeQuantile::default(),
            recent_shares: [BadShare::new(RECENT_SMOOTHING); SampleKind::COUNT],
            long_term_shares: [BadShare::new(LONG_TERM_SMOOTHING); SampleKind::COUNT],
            scores: [CusumScore::default(); Signal::ALL.len()],
            counts: None,
            unhealthy_until: MonoTime::ZERO,
            recent_ejections: 0,
            last_return: MonoTime::ZERO,
            last_sample: MonoTime::ZERO,
            rate: 1.0,
            mean_gap_s: 1.0,
            last_decision: None,
        }
    }

    /// Whether the server receives ordinary traffic.
    pub(crate) fn in_rotation(&self) -> bool {
        matches!(self.rotation, Rotation::In | Rotation::Ramping { .. })
    }

    /// Number of slots that the server adds to the pool's capacity in rotation.
    pub(crate) fn capacity(&self) -> u32 {
        match self.in_rotation() && self.usable {
            true => self.slots.get(),
            false => 0,
        }
    }

    /// Returns the recent share of bad samples of a kind.
    pub(crate) fn recent_share(&self, kind: SampleKind) -> f64 {
        self.recent_shares[kind.index()].get()
    }

    /// Returns the long-term share of bad samples of a kind.
    pub(crate) fn long_term_share(&self, kind: SampleKind) -> f64 {
        self.long_term_shares[kind.index()].get()
    }

    /// Returns the score of a signal in nats.
    pub(crate) fn score(&self, signal: Signal) -> f64 {
        self.scores[signal.index()].value()
    }

    /// Returns the highest score and its signal. Scores are comparable, because
    /// the threshold is the same for all signals.
    pub(crate) fn highest_score(&self) -> (Signal, f64) {
        let scored = Signal::ALL.map(|signal| (signal, self.score(signal)));
        let higher = |a: (Signal, f64), b: (Signal, f64)| if b.1 > a.1 { b } else { a };
        scored
            .into_iter()
            .reduce(higher)
            .unwrap_or((Signal::Failing, 0.0))
    }

    /// Returns how severely the server's fault affects callers, for a choice
    /// between failing servers: an error is worse than a slow answer. Scores
    /// only express the certainty that there is a fault, and not its severity.
    pub(crate) fn severity(&self) -> f64 {
        let errors = [
            SampleKind::Failure,
            SampleKind::Truncation,
            SampleKind::Path,
        ];
        let errors: f64 = errors.into_iter().map(|kind| self.recent_share(kind)).sum();
        2.0 * errors + self.recent_share(SampleKind::Slowness)
    }

    /// Returns the weighted number of samples per second, which determines the
    /// threshold.
    pub(crate) fn weighted_rate(&self) -> f64 {
        self.rate * sample_weight(self.rate)
    }

    /// Records samples of a kind and updates the scores of its signals.
    ///
    /// `pool_share` is the share of bad samples that is usual in the pool, and
    /// `threshold` is the one that the scores are compared with.
    pub(crate) fn record(
        &mut self,
        now: MonoTime,
        kind: SampleKind,
        (good, bad): (u64, u64),
        pool_share: f64,
        threshold: f64,
    ) {
        self.recent_shares[kind.index()].record(good, bad);
        self.long_term_shares[kind.index()].record(good, bad);
        let weight = sample_weight(self.rate);
        let batch = Batch {
            good: good as f64 * weight,
            bad: bad as f64 * weight,
            pool_share,
        };
        let max_score = threshold * MAX_SCORE_FACTOR;
        for signal in Signal::ALL
            .into_iter()
            .filter(|signal| signal.kind() == kind)
        {
            self.scores[signal.index()].record(now, signal, batch, max_score);
        }
    }

    /// Stores the counters of a report and returns their increase since the
    /// previous one. Returns `None` for the first report of an incarnation,
    /// because its counters cover an unknown time.
    pub(crate) fn update_counts(&mut self, counts: OutcomeCounts) -> Option<OutcomeCounts> {
        let before = self.counts.replace(counts);
        match before {
            Some(before)
                if before.incarnation == counts.incarnation && counts.samples >= before.samples =>
            {
                Some(OutcomeCounts {
                    incarnation: counts.incarnation,
                    samples: counts.samples - before.samples,
                    failed: counts.failed.saturating_sub(before.failed),
                    slow: counts.slow.saturating_sub(before.slow),
                    stuck: counts.stuck.saturating_sub(before.stuck),
                    unhealthy: counts.unhealthy,
                })
            }
            // This report was overtaken by a later one, so it is ignored.
            Some(before) if before.incarnation == counts.incarnation => {
                self.counts = Some(before);
                None
            }
            _ => None,
        }
    }

    /// Records the state that the server's own health endpoint reported.
    pub(crate) fn record_endpoint_state(&mut self, now: MonoTime, unhealthy: bool) {
        self.unhealthy_until = match unhealthy {
            true => now + ENDPOINT_STATE_AGE,
            false => MonoTime::ZERO,
        };
    }

    /// Returns the number of nats by which the threshold is lower while the
    /// server's own health endpoint reports that the server is unhealthy.
    ///
    /// Health endpoints can be late or wrong. An unhealthy endpoint therefore
    /// lowers the threshold by half at most, and a healthy one has no effect.
    pub(crate) fn endpoint_nats(&self, now: MonoTime, threshold: f64) -> f64 {
        match now < self.unhealthy_until {
            true => UNHEALTHY_ENDPOINT_NATS.min(threshold / 2.0),
            false => 0.0,
        }
    }

    /// Resets all scores, but keeps the rotation.
    pub(crate) fn reset_scores(&mut self) {
        self.scores.iter_mut().for_each(CusumScore::reset);
    }

    /// Takes the server out of rotation, for longer after each recent ejection.
    pub(crate) fn eject(&mut self, now: MonoTime, signal: Signal) {
        if now.since(self.last_return) > BACKOFF_RESET_TIME {
            self.recent_ejections = 0;
        }
        let ejection_time = FIRST_EJECTION
            .saturating_mul(1 << self.recent_ejections.min(10))
            .min(MAX_EJECTION);
        self.recent_ejections += 1;
        self.rotation = Rotation::Ejected {
            until: now + ejection_time,
        };
        self.reason = Reason::Ejected(signal);
    }

    /// Returns the server to rotation because the floor needs its slots.
    pub(crate) fn return_by_floor(&mut self, now: MonoTime) {
        self.rotation = Rotation::In;
        self.reason = Reason::ReturnedByFloor;
        self.last_return = now;
    }

    /// Records the result of a canary.
    pub(crate) fn record_canary(&mut self, now: MonoTime, good: bool) {
        let Rotation::Probation { good: before, .. } = self.rotation else {
            return;
        };
        match good {
            // The outage has not ended, so this is no further ejection and the
            // time until the next canary is not lengthened.
            false => {
                self.rotation = Rotation::Ejected {
                    until: now + FIRST_EJECTION,
                };
                self.reason = Reason::Ejected(self.highest_score().0);
            }
            true if before + 1 >= CANARIES_TO_RETURN => self.begin_slow_start(now),
            true => {
                self.rotation = Rotation::Probation {
                    good: before + 1,
                    since: now,
                };
            }
        }
    }

    /// Resets the scores of the server and begins its slow start.
    pub(crate) fn begin_slow_start(&mut self, now: MonoTime) {
        self.reset_scores();
        self.rotation = Rotation::Ramping { since: now };
        self.reason = Reason::SlowStart;
        self.last_return = now;
    }

    /// Applies the changes of the rotation that are due at `now`.
    pub(crate) fn tick(&mut self, now: MonoTime) {
        match self.rotation {
            Rotation::Ejected { until } if until <= now => {
                self.rotation = Rotation::Probation {
                    good: 0,
                    since: now,
                };
                self.reason = Reason::Probation;
            }
            Rotation::Probation { since, .. } if now.since(since) >= MAX_CANARY_WAIT => {
                self.begin_slow_start(now)
            }
            Rotation::Ramping { since } if now.since(since) >= SLOW_START => {
                self.rotation = Rotation::In;
                self.reason = Reason::Healthy;
            }
            _ => {}
        }
    }

    /// Returns the weight of the server: the share of its ordinary traffic that
    /// it may take, 0 to 1.
    pub(crate) fn weight(&self, now: MonoTime) -> f64 {
        match self.rotation {
            Rotation::In => 1.0,
            Rotation::Ramping { since } => {
                let done = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
                (FIRST_WEIGHT + (1.0 - FIRST_WEIGHT) * done).min(1.0)
            }
            Rotation::Ejected { .. } | Rotation::Probation { .. } => 0.0,
        }
    }

    /// Updates the rate of samples.
    ///
    /// The rate is the inverse of the average gap. An average of inverse gaps
    /// would be far too high with random arrivals.
    pub(crate) fn update_rate(&mut self, now: MonoTime, samples: u64) {
        let gap = now.since(self.last_sample).as_secs_f64() / samples.max(1) as f64;
        self.last_sample = now;
        // A gap of more than ten seconds means that the server was idle, and
        // says nothing about the rate.
        self.mean_gap_s += RATE_SMOOTHING * (gap.min(10.0) - self.mean_gap_s);
        self.rate = 1.0 / self.mean_gap_s.clamp(0.000_1, 10.0);
    }
}
