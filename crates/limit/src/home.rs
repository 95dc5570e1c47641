//! The bucket of an account at its home.

use std::time::Duration;

use ids::{MonoTime, TokenAmount, TokenRate};

use crate::{
    LeaseId,
    held::{HeldShares, ShareCounts},
};

/// Time for which a lease may be spent, from the moment of the ask.
pub(crate) const LEASE_TIME: Duration = Duration::from_millis(400);
/// Time for which the home counts a lease: longer, for clocks that drift.
pub(crate) const COUNTED_TIME: Duration = Duration::from_millis(440);
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
struct Outstanding {
    lease: LeaseId,
    amount: u32,
    until: MonoTime,
}

/// Bucket and leases of one account.
#[derive(Clone, Debug)]
pub(crate) struct AccountHome {
    share: LimitShare,
    raise: Option<(MonoTime, LimitShare)>,
    level: TokenAmount,
    /// Shares of the cell's members that were held at the last look.
    held: ShareCounts,
    leases: Vec<Outstanding>,
}

impl AccountHome {
    /// A bucket that was empty when `held.total` was `since`.
    pub(crate) fn new(share: LimitShare, held: ShareCounts, since: Duration) -> Self {
        Self {
            share,
            raise: None,
            level: TokenAmount::ZERO,
            held: ShareCounts {
                total: since,
                ..held
            },
            leases: Vec::new(),
        }
    }

    /// Number of the takeover by which the account is held here.
    pub(crate) fn generation(&self) -> u64 {
        self.held.generation
    }

    /// Follows a change of the limit: down at once, up after a delay.
    pub(crate) fn set_share(&mut self, now: MonoTime, held: &HeldShares, share: LimitShare) {
        self.refill(now, held);
        match self.raise {
            _ if share == self.share => self.raise = None,
            Some((_, wanted)) if wanted == share => {}
            _ => self.raise = Some((now + RAISE_DELAY, share)),
        }
        self.share = self.share.min(share);
        self.level = self.level.min(self.room(self.held.held, self.held.all));
    }

    /// Grants up to `want` whole tokens as a lease.
    ///
    /// While there is more than one token at most half of what is there, so
    /// that one ingress does not take all from the others.
    pub(crate) fn grant(&mut self, now: MonoTime, lease: LeaseId, want: u32) -> u32 {
        let whole = self.level.floor().as_microtokens() / TokenAmount::ONE.as_microtokens();
        let most = whole.div_ceil(2).min(u64::from(crate::lease::MAX_TOKENS));
        let amount = u64::from(want).min(most) as u32;
        if amount > 0 {
            self.level -= TokenAmount::whole(u64::from(amount));
            self.leases.push(Outstanding {
                lease,
                amount,
                until: now + COUNTED_TIME,
            });
        }
        amount
    }

    /// Takes back what an ingress will not spend; a lease gives back once.
    pub(crate) fn take_back(&mut self, now: MonoTime, lease: LeaseId, amount: u32) {
        self.leases.retain(|lease| lease.until > now);
        let place = self.leases.iter().position(|other| other.lease == lease);
        let Some(place) = place else {
            return;
        };
        let lease = self.leases.swap_remove(place);
        // What is not given back was spent, or may be yet by requests that
        // hold a token; it frees room in the bucket all the same, since a
        // spent token is no longer in stock.
        let back = TokenAmount::whole(u64::from(amount.min(lease.amount)));
        self.level = (self.level + back).min(self.room(self.held.held, self.held.all));
    }

    /// Time until there is a whole token.
    pub(crate) fn next_token(&self) -> Option<Duration> {
        let missing = TokenAmount::ONE.saturating_sub(self.level);
        let full = self.share.rate.time_for(missing)?;
        Some(full * self.held.all / self.held.held.max(1))
    }

    /// Whether the bucket is as one that was never used since long ago.
    pub(crate) fn is_idle(&mut self, now: MonoTime, held: &HeldShares) -> bool {
        self.refill(now, held);
        self.leases.is_empty() && self.raise.is_none() && self.level == self.share.burst
    }

    /// Most that the bucket may hold beside the unexpired leases, by `held` of
    /// `all` shares.
    fn room(&self, held: u32, all: u32) -> TokenAmount {
        let out = self
            .leases
            .iter()
            .map(|lease| TokenAmount::whole(u64::from(lease.amount)));
        let burst = self.share.burst.fraction(held, all);
        burst.saturating_sub(out.sum())
    }

    /// Mints for the time for which shares were held since the last look.
    fn refill(&mut self, now: MonoTime, held: &HeldShares) {
        self.leases.retain(|lease| lease.until > now);
        if let Some((_, share)) = self.raise.filter(|(due, _)| *due <= now) {
            self.share = share;
            self.raise = None;
        }
        let HeldShares { counts, returns } = held;
        for back in returns.iter() {
            if back.total > self.held.total {
                self.mint_until(back.total, counts.all);
                self.level = self.level.min(self.room(back.kept, counts.all));
            }
        }
        self.mint_until(counts.total, counts.all);
        self.held = ShareCounts {
            total: counts.total.max(self.held.total),
            ..*counts
        };
        self.level = self.level.min(self.room(self.held.held, self.held.all));
    }

    /// Mints for the time held until `total`, up to the whole burst.
    fn mint_until(&mut self, total: Duration, all: u32) {
        let span = total.saturating_sub(self.held.total) / all.max(1);
        self.held.total = total.max(self.held.total);
        let minted = self.share.rate.tokens_in(span);
        self.level = (self.level + minted).min(self.share.burst);
    }
}
