//! Slot time that each kind of request needs, and the share of its requests that are
//! served.

use std::time::Duration;

use ids::{FastMap, MonoTime, Rank};

use crate::job::{Job, WorkKind};

/// Number of kinds that are told apart. The least recently seen is forgotten.
const MAX_KINDS: usize = 256;
/// Weight of the newest sample in the estimates, and number of first samples that have
/// equal weight.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Largest step of the typical slot time towards a sample, as the logarithm of their
/// ratio: a request that takes a hundred times as long counts as one that takes e times
/// as long.
const MAX_LOG_STEP: f64 = 1.0;
/// Time constant with which numbers of requests are forgotten.
const SHARE_DECAY: Duration = Duration::from_secs(15);
/// Unit of counting at which all counts are reduced, and largest growth of its logarithm
/// at once.
const MAX_UNIT: f64 = 1e6;
const MAX_GROWTH: f64 = 50.0;
/// Least served share of a rank and kind, as a part of the served share of all. It is to
/// be a quarter, and a kind is noticed to lag only when its requests have ended.
const LEAST_SHARE: f64 = 0.3;
/// Number of requests by which a kind may lag behind its least share before it is given
/// precedence.
const SHARE_TOLERANCE: f64 = 0.5;

/// Slot time that requests of one kind need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct KindWork {
    /// Logarithmic mean, which few very long requests do not raise.
    pub(crate) typical: Duration,
    /// Arithmetic mean, by which slots are occupied.
    pub(crate) mean: Duration,
}

/// Estimates of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct KindEstimate {
    samples: u32,
    log_s: f64,
    mean_s: f64,
    seen: MonoTime,
}

/// Slot times by kind of request.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkEstimates {
    kinds: FastMap<WorkKind, KindEstimate>,
}

impl WorkEstimates {
    /// Records the slot time of a job that has ended.
    pub(crate) fn record(&mut self, now: MonoTime, kind: WorkKind, used: Duration) {
        if kind == WorkKind::UNKNOWN {
            return;
        }
        if !self.kinds.contains_key(&kind) && self.kinds.len() >= MAX_KINDS {
            let oldest = self.kinds.iter().min_by_key(|(_, item)| item.seen);
            if let Some(oldest) = oldest.map(|(kind, _)| *kind) {
                self.kinds.remove(&oldest);
            }
        }
        let estimate = self.kinds.entry(kind).or_default();
        let sample = used.as_secs_f64().max(1e-6);
        estimate.samples = estimate.samples.saturating_add(1);
        let step = SMOOTHING_FACTOR.max(1.0 / f64::from(estimate.samples));
        match estimate.samples {
            1 => estimate.log_s = sample.ln(),
            _ => {
                let error = sample.ln() - estimate.log_s;
                estimate.log_s += step * error.clamp(-MAX_LOG_STEP, MAX_LOG_STEP);
            }
        }
        estimate.mean_s += step * (sample - estimate.mean_s);
        estimate.seen = now;
    }

    /// Returns the slot time that requests of a kind need, if it is known.
    pub(crate) fn get(&self, kind: WorkKind) -> Option<KindWork> {
        let estimate = self.kinds.get(&kind)?;
        Some(KindWork {
            typical: Duration::from_secs_f64(estimate.log_s.exp()),
            mean: Duration::from_secs_f64(estimate.mean_s),
        })
    }
}

/// Numbers of requests that were wanted and served.
#[derive(Clone, Copy, Debug, Default)]
struct ServedCounts {
    wanted: f64,
    served: f64,
    seen: MonoTime,
}

/// Shares of the requests of each rank and kind that are served.
///
/// A request counts as wanted at the first server that it is offered to, and as served
/// where it gets a slot. Over all servers both counts have the same base, although a
/// request that is refused is offered to several.
///
/// Old requests count less. Instead of all counts being reduced with time, the unit in
/// which new requests are counted grows, so that comparisons need no computation.
#[derive(Clone, Debug)]
pub(crate) struct ServedShares {
    kinds: FastMap<(Rank, WorkKind), ServedCounts>,
    all: ServedCounts,
    unit: f64,
    unit_at: MonoTime,
}

impl Default for ServedShares {
    fn default() -> Self {
        Self {
            kinds: FastMap::default(),
            all: ServedCounts::default(),
            unit: 1.0,
            unit_at: MonoTime::ZERO,
        }
    }
}

impl ServedShares {
    /// Advances to `now`.
    pub(crate) fn advance(&mut self, now: MonoTime) {
        let grown = now.since(self.unit_at).as_secs_f64() / SHARE_DECAY.as_secs_f64();
        self.unit_at = self.unit_at.max(now);
        self.unit *= grown.min(MAX_GROWTH).exp();
        if self.unit > MAX_UNIT {
            let unit = self.unit;
            let rescale = |counts: &mut ServedCounts| {
                counts.wanted /= unit;
                counts.served /= unit;
            };
            self.kinds.values_mut().for_each(rescale);
            rescale(&mut self.all);
            self.unit = 1.0;
        }
    }

    /// Counts a request on which the queue has decided, unless it was offered elsewhere
    /// before. One that waits has had no chance yet.
    pub(crate) fn record_wanted(&mut self, job: &Job) {
        let unit = self.unit;
        if job.first_offer {
            self.update(job, |counts| counts.wanted += unit);
        }
    }

    /// Counts a request that gets a slot.
    pub(crate) fn record_served(&mut self, job: &Job) {
        let unit = self.unit;
        self.update(job, |counts| counts.served += unit);
    }

    /// Takes back a request that got a slot and no answer.
    pub(crate) fn refund(&mut self, key: (Rank, WorkKind)) {
        let unit = self.unit;
        let refund = |counts: &mut ServedCounts| counts.served = (counts.served - unit).max(0.0);
        if let Some(counts) = self.kinds.get_mut(&key) {
            refund(counts);
        }
        refund(&mut self.all);
    }

    /// Returns the ranks and kinds that have got less than their least share.
    pub(crate) fn owed(&self) -> Vec<(Rank, WorkKind)> {
        let share = (self.all.served / self.all.wanted.max(self.unit)).min(1.0) * LEAST_SHARE;
        let lag = SHARE_TOLERANCE * self.unit;
        let owed = |counts: &ServedCounts| counts.served + lag < share * counts.wanted;
        let kinds = self.kinds.iter().filter(|(_, counts)| owed(counts));
        kinds.map(|(key, _)| *key).collect()
    }

    /// Updates the counts of a job's rank and kind, and of all.
    fn update(&mut self, job: &Job, count: impl Fn(&mut ServedCounts)) {
        if job.internal {
            return;
        }
        let key = (job.rank, job.kind);
        if !self.kinds.contains_key(&key) && self.kinds.len() >= MAX_KINDS {
            let oldest = self.kinds.iter().min_by_key(|(_, item)| item.seen);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.kinds.remove(&oldest);
            }
        }
        let counts = self.kinds.entry(key).or_default();
        counts.seen = self.unit_at;
        count(counts);
        count(&mut self.all);
    }
}
