//! Token bucket of an account at its home.

use std::time::Duration;

use ids::{MonoTime, TokenAmount, TokenRate};

use crate::{
    LeaseId,
    held::{ShareCounts, ShareSnapshot},
};

/// Time for which a lease may be spent, counted from its request.
pub(crate) const LEASE_TIME: Duration = Duration::from_millis(400);
/// Time for which the home counts a lease as outstanding. It exceeds
/// [`LEASE_TIME`] to allow for clock drift.
pub(crate) const OUTSTANDING_TIME: Duration = Duration::from_millis(440);
/// Delay before a larger share is used. Until other groups have learned of the
/// change, they may still grant tokens by their older, larger shares.
const RAISE_DELAY: Duration = Duration::from_secs(10);

/// Share of an account's rate and burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LimitShare {
    pub(crate) rate: TokenRate,
    pub(crate) burst: TokenAmount,
}

impl LimitShare {
    /// Returns the smaller rate and the smaller burst of both.
    fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}

/// Lease whose tokens may not have been spent yet.
#[derive(Clone, Copy, Debug)]
struct OutstandingLease {
    lease: LeaseId,
    amount: u32,
    until: MonoTime,
}

/// Token bucket and outstanding leases of one account.
#[derive(Clone, Debug)]
pub(crate) struct AccountHome {
    share: LimitShare,
    /// Larger share that is used from a later time on.
    pending_raise: Option<(MonoTime, LimitShare)>,
    level: TokenAmount,
    /// Counts of the cell's shares at the last refill.
    counts: ShareCounts,
    leases: Vec<OutstandingLease>,
}

impl AccountHome {
    /// Creates a bucket that was empty when the held time was `empty_at`.
    pub(crate) fn new(share: LimitShare, counts: ShareCounts, empty_at: Duration) -> Self {
        Self {
            share,
            pending_raise: None,
            level: TokenAmount::ZERO,
            counts: ShareCounts {
                held_time: empty_at,
                ..counts
            },
            leases: Vec::new(),
        }
    }

    /// Returns the generation of the takeover under which the account is held.
    pub(crate) fn generation(&self) -> u64 {
        self.counts.generation
    }

    /// Applies a change of the limit: a decrease at once, an increase after
    /// [`RAISE_DELAY`].
    pub(crate) fn set_share(&mut self, now: MonoTime, snapshot: &ShareSnapshot, share: LimitShare) {
        self.refill(now, snapshot);
        match self.pending_raise {
            _ if share == self.share => self.pending_raise = None,
            Some((_, wanted)) if wanted == share => {}
            _ => self.pending_raise = Some((now + RAISE_DELAY, share)),
        }
        self.share = self.share.min(share);
        self.level = self
            .level
            .min(self.max_level(self.counts.held, self.counts.all));
    }

    /// Grants up to `want` whole tokens as a lease.
    ///
    /// While there is more than one token, a lease gets at most half of them,
    /// so that one ingress does not take all tokens from the others.
    pub(crate) fn grant(&mut self, now: MonoTime, lease: LeaseId, want: u32) -> u32 {
        let whole = self.level.floor().as_microtokens() / TokenAmount::ONE.as_microtokens();
        let max_amount = whole.div_ceil(2).min(u64::from(crate::lease::MAX_TOKENS));
        let amount = u64::from(want).min(max_amount) as u32;
        if amount > 0 {
            self.level -= TokenAmount::whole(u64::from(amount));
            self.leases.push(OutstandingLease {
                lease,
                amount,
                until: now + OUTSTANDING_TIME,
            });
        }
        amount
    }

    /// Takes back tokens that an ingress will not spend. Each lease can be
    /// returned once only.
    pub(crate) fn take_back(&mut self, now: MonoTime, lease: LeaseId, amount: u32) {
        self.leases.retain(|lease| lease.until > now);
        let index = self.leases.iter().position(|other| other.lease == lease);
        let Some(index) = index else {
            return;
        };
        let lease = self.leases.swap_remove(index);
        // The tokens that are not returned were spent, or may still be spent by
        // requests that hold one. They nevertheless no longer count against the
        // bucket, since neither the bucket nor a lease has a spent token.
        let unspent = TokenAmount::whole(u64::from(amount.min(lease.amount)));
        self.level = (self.level + unspent).min(self.max_level(self.counts.held, self.counts.all));
    }

    /// Returns the time until the bucket has a whole token.
    pub(crate) fn next_token(&self) -> Option<Duration> {
        let missing = TokenAmount::ONE.saturating_sub(self.level);
        let time = self.share.rate.time_for(missing)?;
        Some(time * self.counts.all / self.counts.held.max(1))
    }

    /// Whether the bucket is in the state of one that has not been used for
    /// long: full, with no outstanding leases and no pending increase.
    pub(crate) fn is_idle(&mut self, now: MonoTime, snapshot: &ShareSnapshot) -> bool {
        self.refill(now, snapshot);
        self.leases.is_empty() && self.pending_raise.is_none() && self.level == self.share.burst
    }

    /// Returns the maximum level of the bucket beside the outstanding leases,
    /// while `held` of `all` shares are held.
    fn max_level(&self, held: u32, all: u32) -> TokenAmount {
        let outstanding = self
            .leases
            .iter()
            .map(|lease| TokenAmount::whole(u64::from(lease.amount)));
        let burst = self.share.burst.fraction(held, all);
        burst.saturating_sub(outstanding.sum())
    }

    /// Refills the bucket for the time for which shares were held since the
    /// last refill.
    fn refill(&mut self, now: MonoTime, snapshot: &ShareSnapshot) {
        self.leases.retain(|lease| lease.until > now);
        if let Some((_, share)) = self.pending_raise.filter(|(due, _)| *due <= now) {
            self.share = share;
            self.pending_raise = None;
        }
        let ShareSnapshot { counts, returns } = snapshot;
        for returned in returns.iter() {
            if returned.held_time > self.counts.held_time {
                self.refill_until(returned.held_time, counts.all);
                self.level = self.level.min(self.max_level(returned.kept, counts.all));
            }
        }
        self.refill_until(counts.held_time, counts.all);
        self.counts = ShareCounts {
            held_time: counts.held_time.max(self.counts.held_time),
            ..*counts
        };
        self.level = self
            .level
            .min(self.max_level(self.counts.held, self.counts.all));
    }

    /// Refills the bucket up to a held time, at most to the whole burst.
    fn refill_until(&mut self, held_time: Duration, all: u32) {
        let span = held_time.saturating_sub(self.counts.held_time) / all.max(1);
        self.counts.held_time = held_time.max(self.counts.held_time);
        let refilled = self.share.rate.tokens_in(span);
        self.level = (self.level + refilled).min(self.share.burst);
    }
}
