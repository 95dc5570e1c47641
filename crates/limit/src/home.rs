//! The bucket of an account at its home.

use std::time::Duration;

use ids::{MonoTime, TokenAmount, TokenRate};

use crate::{
    LeaseId,
    held::{ShareCounts, ShareSnapshot},
};

/// Time for which a lease may be spent, from the moment of the ask.
pub(crate) const LEASE_TIME: Duration = Duration::from_millis(400);
/// Time for which the home counts a lease: longer, for clocks that drift.
pub(crate) const OUTSTANDING_TIME: Duration = Duration::from_millis(440);
/// Time after which a larger share is used. Other groups may still mint by
/// the older, larger share of their own until they have heard.
const RAISE_DELAY: Duration = Duration::from_secs(10);

/// Share of an account's rate and burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LimitShare {
    pub(crate) rate: TokenRate,
    pub(crate) burst: TokenAmount,
}

impl LimitShare {
    /// The smaller of both parts.
    fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}

/// A lease that may still be spent.
#[derive(Clone, Copy, Debug)]
struct OutstandingLease {
    lease: LeaseId,
    amount: u32,
    until: MonoTime,
}

/// Bucket and leases of one account.
#[derive(Clone, Debug)]
pub(crate) struct AccountHome {
    share: LimitShare,
    pending_raise: Option<(MonoTime, LimitShare)>,
    level: TokenAmount,
    /// Shares of the cell's members that were held at the last look.
    counts: ShareCounts,
    leases: Vec<OutstandingLease>,
}

impl AccountHome {
    /// A bucket that was empty when `held.total` was `since`.
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

    /// Number of the takeover by which the account is held here.
    pub(crate) fn generation(&self) -> u64 {
        self.counts.generation
    }

    /// Follows a change of the limit: down at once, up after a delay.
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
    /// While there is more than one token at most half of what is there, so
    /// that one ingress does not take all from the others.
    pub(crate) fn grant(&mut self, now: MonoTime, lease: LeaseId, want: u32) -> u32 {
        let whole = self.level.floor().parts() / TokenAmount::ONE.parts();
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

    /// Takes back what an ingress will not spend; a lease gives back once.
    pub(crate) fn take_back(&mut self, now: MonoTime, lease: LeaseId, amount: u32) {
        self.leases.retain(|lease| lease.until > now);
        let index = self.leases.iter().position(|other| other.lease == lease);
        let Some(index) = index else {
            return;
        };
        let lease = self.leases.swap_remove(index);
        // What is not given back was spent, or may be yet by requests that
        // hold a token; it frees room in the bucket all the same, since a
        // spent token is no longer in stock.
        let unspent = TokenAmount::whole(u64::from(amount.min(lease.amount)));
        self.level = (self.level + unspent).min(self.max_level(self.counts.held, self.counts.all));
    }

    /// Time until there is a whole token.
    pub(crate) fn next_token(&self) -> Option<Duration> {
        let missing = TokenAmount::ONE.saturating_sub(self.level);
        let time = self.share.rate.time_for(missing)?;
        Some(time * self.counts.all / self.counts.held.max(1))
    }

    /// Whether the bucket is as one that was never used since long ago.
    pub(crate) fn is_idle(&mut self, now: MonoTime, snapshot: &ShareSnapshot) -> bool {
        self.refill(now, snapshot);
        self.leases.is_empty() && self.pending_raise.is_none() && self.level == self.share.burst
    }

    /// Most that the bucket may hold beside the unexpired leases, by `held` of
    /// `all` shares.
    fn max_level(&self, held: u32, all: u32) -> TokenAmount {
        let outstanding = self
            .leases
            .iter()
            .map(|lease| TokenAmount::whole(u64::from(lease.amount)));
        let burst = self.share.burst.part(held, all);
        burst.saturating_sub(outstanding.sum())
    }

    /// Mints for the time for which shares were held since the last look.
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

    /// Mints for the time held until `total`, up to the whole burst.
    fn refill_until(&mut self, held_time: Duration, all: u32) {
        let span = held_time.saturating_sub(self.counts.held_time) / all.max(1);
        self.counts.held_time = held_time.max(self.counts.held_time);
        let refilled = self.share.rate.over(span);
        self.level = (self.level + refilled).min(self.share.burst);
    }
}
