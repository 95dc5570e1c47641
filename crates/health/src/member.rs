//! One backend server of a pool.

use std::time::Duration;

use ids::{MonoTime, Slots};

use crate::{
    baseline::{BadShare, TimeQuantile},
    event::{OutcomeCounts, Reason},
    score::{Batch, CusumScore, SampleKind, Signal, sample_weight},
};

/// Time out of rotation after a first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Longest time out of rotation.
const MAX_EJECTION: Duration = Duration::from_secs(300);
/// Time in rotation after which earlier ejections are forgotten.
const FORGIVE_AFTER: Duration = Duration::from_secs(600);
/// Time without a canary after which a server is tried with a small share: a
/// service that has no idempotent requests has no canaries.
const CANARY_WAIT: Duration = Duration::from_secs(60);
/// Good canaries in a row for a return.
const CANARIES: u32 = 3;
/// Time in which a returned or new server reaches its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share at the beginning of a slow start.
const FIRST_SHARE: f64 = 0.1;
/// Scores are kept up to this multiple of the threshold, so that a server held
/// by the floor is cleared soon after it has recovered.
const SCORE_CAP: f64 = 1.2;
/// Time for which a word of a health endpoint counts.
const HINT_AGE: Duration = Duration::from_secs(3);
/// What a bad word counts for, as much as one failed request.
const HINT_NATS: f64 = 5.0;
/// Weight of the newest sample in the recent and in the usual share of bad
/// samples.
const SHARE_GAIN: f64 = 0.2;
const USUAL_GAIN: f64 = 0.005;
/// Weight of the newest gap in the moving average of gaps.
const RATE_GAIN: f64 = 0.05;

/// Whether and how a server takes traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rotation {
    /// With its full share.
    In,
    /// With a share that rises until it is full.
    Ramping {
        /// When the ramp began.
        since: MonoTime,
    },
    /// Not at all.
    Ejected {
        /// When canaries may begin.
        until: MonoTime,
    },
    /// One idempotent request at a time.
    Probation {
        /// Good canaries in a row.
        good: u32,
        /// When the latest one ended, or the probation began.
        since: MonoTime,
    },
}

/// A server with its evidence.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) slots: Slots,
    pub(crate) usable: bool,
    pub(crate) rotation: Rotation,
    pub(crate) reason: Reason,
    pub(crate) times: TimeQuantile,
    shares: [BadShare; SampleKind::COUNT],
    usual: [BadShare; SampleKind::COUNT],
    scores: [CusumScore; Signal::ALL.len()],
    counts: Option<OutcomeCounts>,
    unwell_until: MonoTime,
    relapses: u32,
    returned_at: MonoTime,
    last_sample: MonoTime,
    rate: f64,
    gap_s: f64,
    /// What was last told of it.
    pub(crate) told: Option<(f64, bool, Reason)>,
}

impl Member {
    /// A server that is new to the pool.
    pub(crate) fn new(slots: Slots, usable: bool) -> Self {
        Self {
            slots,
            usable,
            rotation: Rotation::In,
            reason: Reason::Healthy,
            times: TimeQuantile::default(),
            shares: [BadShare::new(SHARE_GAIN); SampleKind::COUNT],
            usual: [BadShare::new(USUAL_GAIN); SampleKind::COUNT],
            scores: [CusumScore::default(); Signal::ALL.len()],
            counts: None,
            unwell_until: MonoTime::ZERO,
            relapses: 0,
            returned_at: MonoTime::ZERO,
            last_sample: MonoTime::ZERO,
            rate: 1.0,
            gap_s: 1.0,
            told: None,
        }
    }

    /// Whether it takes ordinary traffic.
    pub(crate) fn in_rotation(&self) -> bool {
        matches!(self.rotation, Rotation::In | Rotation::Ramping { .. })
    }

    /// Slots that it adds to the pool's capacity in rotation.
    pub(crate) fn capacity(&self) -> u32 {
        match self.in_rotation() && self.usable {
            true => self.slots.get(),
            false => 0,
        }
    }

    /// Recent share of bad samples of a kind.
    pub(crate) fn share(&self, kind: SampleKind) -> f64 {
        self.shares[kind.place()].get()
    }

    /// Share of bad samples that it has had for long.
    pub(crate) fn usual(&self, kind: SampleKind) -> f64 {
        self.usual[kind.place()].get()
    }

    /// Score of a signal in nats.
    pub(crate) fn score(&self, signal: Signal) -> f64 {
        self.scores[signal.place()].value()
    }

    /// The largest score, relative to nothing: the threshold is the same for
    /// all signals.
    pub(crate) fn worst(&self) -> (Signal, f64) {
        let scored = Signal::ALL.map(|signal| (signal, self.score(signal)));
        let worse = |a: (Signal, f64), b: (Signal, f64)| if b.1 > a.1 { b } else { a };
        scored
            .into_iter()
            .reduce(worse)
            .unwrap_or((Signal::Failing, 0.0))
    }

    /// How bad it is for callers, for a choice between bad ones: an error is
    /// worse than a slow answer. Scores can't tell, since they only say how
    /// sure it is that something is wrong.
    pub(crate) fn badness(&self) -> f64 {
        let errors = [
            SampleKind::Failure,
            SampleKind::Truncation,
            SampleKind::Path,
        ];
        let errors: f64 = errors.into_iter().map(|kind| self.share(kind)).sum();
        2.0 * errors + self.share(SampleKind::Slowness)
    }

    /// Samples per second by weight, for thresholds.
    pub(crate) fn rate(&self) -> f64 {
        self.rate * sample_weight(self.rate)
    }

    /// Takes samples of a kind, of which the rest of the pool explains a share.
    pub(crate) fn note(
        &mut self,
        now: MonoTime,
        kind: SampleKind,
        (good, bad): (u64, u64),
        pool_share: f64,
        threshold: f64,
    ) {
        self.shares[kind.place()].note(good, bad);
        self.usual[kind.place()].note(good, bad);
        let weight = sample_weight(self.rate);
        let batch = Batch {
            good: good as f64 * weight,
            bad: bad as f64 * weight,
            pool_share,
        };
        let cap = threshold * SCORE_CAP;
        for signal in Signal::ALL
            .into_iter()
            .filter(|signal| signal.kind() == kind)
        {
            self.scores[signal.place()].note(now, signal, batch, cap);
        }
    }

    /// Counters since the last report; `None` for the first of an epoch,
    /// which says nothing about the time since.
    pub(crate) fn advance(&mut self, counts: OutcomeCounts) -> Option<OutcomeCounts> {
        let before = self.counts.replace(counts);
        match before {
            Some(before) if before.epoch == counts.epoch && counts.samples >= before.samples => {
                Some(OutcomeCounts {
                    epoch: counts.epoch,
                    samples: counts.samples - before.samples,
                    failed: counts.failed.saturating_sub(before.failed),
                    slow: counts.slow.saturating_sub(before.slow),
                    stuck: counts.stuck.saturating_sub(before.stuck),
                    unhealthy: counts.unhealthy,
                })
            }
            // A report that was overtaken by a later one.
            Some(before) if before.epoch == counts.epoch => {
                self.counts = Some(before);
                None
            }
            _ => None,
        }
    }

    /// Takes what its own health endpoint says.
    pub(crate) fn note_hint(&mut self, now: MonoTime, unhealthy: bool) {
        self.unwell_until = match unhealthy {
            true => now + HINT_AGE,
            false => MonoTime::ZERO,
        };
    }

    /// Nats of evidence that it takes less because its own health endpoint
    /// says that it is not well.
    ///
    /// Such endpoints lag and mislead, so a bad word halves what is asked for
    /// at most, and a good word counts for nothing.
    pub(crate) fn hint_nats(&self, now: MonoTime, threshold: f64) -> f64 {
        match now < self.unwell_until {
            true => HINT_NATS.min(threshold / 2.0),
            false => 0.0,
        }
    }

    /// Forgets evidence, not the rotation.
    pub(crate) fn reset_scores(&mut self) {
        self.scores.iter_mut().for_each(CusumScore::reset);
    }

    /// Takes it out of rotation, longer after each relapse.
    pub(crate) fn eject(&mut self, now: MonoTime, signal: Signal) {
        if now.since(self.returned_at) > FORGIVE_AFTER {
            self.relapses = 0;
        }
        let pause = FIRST_EJECTION
            .saturating_mul(1 << self.relapses.min(10))
            .min(MAX_EJECTION);
        self.relapses += 1;
        self.rotation = Rotation::Ejected { until: now + pause };
        self.reason = Reason::Ejected(signal);
    }

    /// Puts it back because the floor needs it.
    pub(crate) fn return_by_floor(&mut self, now: MonoTime) {
        self.rotation = Rotation::In;
        self.reason = Reason::ReturnedByFloor;
        self.returned_at = now;
    }

    /// Takes the result of a canary.
    pub(crate) fn note_canary(&mut self, now: MonoTime, good: bool) {
        let Rotation::Probation { good: before, .. } = self.rotation else {
            return;
        };
        match good {
            // Still the same outage and no relapse, so the pause stays short.
            false => {
                self.rotation = Rotation::Ejected {
                    until: now + FIRST_EJECTION,
                };
                self.reason = Reason::Ejected(self.worst().0);
            }
            true if before + 1 >= CANARIES => self.ramp(now),
            true => {
                self.rotation = Rotation::Probation {
                    good: before + 1,
                    since: now,
                };
            }
        }
    }

    /// Begins a slow start.
    pub(crate) fn ramp(&mut self, now: MonoTime) {
        self.reset_scores();
        self.rotation = Rotation::Ramping { since: now };
        self.reason = Reason::SlowStart;
        self.returned_at = now;
    }

    /// Follows the time.
    pub(crate) fn tick(&mut self, now: MonoTime) {
        match self.rotation {
            Rotation::Ejected { until } if until <= now => {
                self.rotation = Rotation::Probation {
                    good: 0,
                    since: now,
                };
                self.reason = Reason::Probation;
            }
            Rotation::Probation { since, .. } if now.since(since) >= CANARY_WAIT => self.ramp(now),
            Rotation::Ramping { since } if now.since(since) >= SLOW_START => {
                self.rotation = Rotation::In;
                self.reason = Reason::Healthy;
            }
            _ => {}
        }
    }

    /// Share of traffic that it may take.
    pub(crate) fn weight(&self, now: MonoTime) -> f64 {
        match self.rotation {
            Rotation::In => 1.0,
            Rotation::Ramping { since } => {
                let done = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
                (FIRST_SHARE + (1.0 - FIRST_SHARE) * done).min(1.0)
            }
            Rotation::Ejected { .. } | Rotation::Probation { .. } => 0.0,
        }
    }

    /// Follows the rate of samples.
    ///
    /// The mean is that of the gaps; the mean of their inverses is far too
    /// high when arrivals are random.
    pub(crate) fn note_rate(&mut self, now: MonoTime, samples: u64) {
        let gap = now.since(self.last_sample).as_secs_f64() / samples.max(1) as f64;
        self.last_sample = now;
        // A gap of ten seconds and more is an idle time, not a rate.
        self.gap_s += RATE_GAIN * (gap.min(10.0) - self.gap_s);
        self.rate = 1.0 / self.gap_s.clamp(0.000_1, 10.0);
    }
}
