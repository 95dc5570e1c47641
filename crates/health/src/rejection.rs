//! Share of recent requests that a backend server rejected without running them.
//!
//! A rejection says that the server has no capacity for the request, not that the
//! server fails. One server alone cannot tell whether its rejections are unusual, so
//! its egress only measures their share and reports it; ingresses compare the shares
//! of the servers of a pool.

use std::time::Duration;

use ids::{MonoTime, Percent};

/// Time constant of the exponential decay of the counts. Episodes of rejections last
/// from a few seconds up.
const COUNT_DECAY: Duration = Duration::from_secs(2);
/// Part of the counts that each request displaces, so that a busy server is known to
/// reject after a few requests and not after seconds.
const COUNT_STEP: f64 = 1.0 / 6.0;
/// Number of accepted requests that are assumed before any was counted, so that a
/// single rejection does not make a share of all.
const ASSUMED_ACCEPTED: f64 = 1.0;
/// Shares at which the server counts as rejecting, and as accepting again.
const REJECTING_SHARE: f64 = 0.5;
const ACCEPTING_SHARE: f64 = 0.2;
/// Share from which ingresses are told at once instead of with the next reply.
const ANNOUNCED_SHARE: f64 = 0.65;
/// Least time between such announcements about one server. Ingresses believe a share
/// for somewhat longer.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// Decayed counts of the requests that one backend server accepted and rejected.
#[derive(Clone, Debug, Default)]
pub struct RejectionShare {
    accepted: f64,
    rejected: f64,
    counted_at: MonoTime,
    rejecting: bool,
    announced_at: Option<MonoTime>,
}

/// What a count has changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RejectionChange {
    /// Whether the server rejects from now on, if that has changed.
    pub rejecting: Option<bool>,
    /// Whether ingresses are to be told now.
    pub announce: bool,
}

impl RejectionShare {
    /// Counts a request that the server accepted or rejected.
    pub fn record(&mut self, now: MonoTime, rejected: bool) -> RejectionChange {
        let kept = self.kept(now) * (1.0 - COUNT_STEP);
        self.accepted = self.accepted * kept + f64::from(u8::from(!rejected));
        self.rejected = self.rejected * kept + f64::from(u8::from(rejected));
        self.counted_at = self.counted_at.max(now);
        let share = self.fraction(now);
        let before = self.rejecting;
        self.rejecting = match before {
            true => share > ACCEPTING_SHARE,
            false => share >= REJECTING_SHARE,
        };
        let due = self
            .announced_at
            .is_none_or(|at| now.since(at) >= ANNOUNCE_INTERVAL);
        let announce = rejected && share >= ANNOUNCED_SHARE && due;
        if announce {
            self.announced_at = Some(now);
        }
        RejectionChange {
            rejecting: (self.rejecting != before).then_some(self.rejecting),
            announce,
        }
    }

    /// Returns the share of recent requests that were rejected.
    pub fn share(&self, now: MonoTime) -> Percent {
        Percent((self.fraction(now) * 100.0).round() as u8)
    }

    /// Returns the share as a fraction.
    fn fraction(&self, now: MonoTime) -> f64 {
        let kept = self.kept(now);
        let rejected = self.rejected * kept;
        rejected / (rejected + self.accepted * kept + ASSUMED_ACCEPTED)
    }

    /// Part of the counts that has not decayed at `now`.
    fn kept(&self, now: MonoTime) -> f64 {
        let decay_times = now.since(self.counted_at).as_secs_f64() / COUNT_DECAY.as_secs_f64();
        (-decay_times).exp()
    }
}
