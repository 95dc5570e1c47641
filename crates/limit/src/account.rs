//! One account at the ingress of a daemon: leases, demand, and who waits.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ids::{MonoTime, VmId};

use crate::{
    cell::GroupId,
    lease::{LeaseSlots, MAX_TOKENS, TokenGrant},
    message::{LeaseId, LeaseRequestId, LeaseResponse},
    mint::MAX_RETRY,
    node::TakeId,
};

/// Demand for which a lease is asked, and the stock at which that is done.
const LEASE_DEMAND: Duration = Duration::from_millis(300);
const LOW_DEMAND: Duration = Duration::from_millis(120);
/// Weight of the newest interval in the demand of an account.
const DEMAND_GAIN: f64 = 0.3;
/// Time between looks at the demand.
const DEMAND_EVERY: Duration = Duration::from_millis(50);
/// Time without use after which an account is forgotten at an ingress.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// An ask on its way.
#[derive(Clone, Debug)]
pub(crate) struct PendingAsk {
    pub(crate) request: LeaseRequestId,
    pub(crate) group: GroupId,
    /// Rank of the home that was asked.
    pub(crate) rank: usize,
    pub(crate) home: VmId,
    pub(crate) sent: MonoTime,
    pub(crate) want: u32,
    /// Whether others are asked meanwhile.
    pub(crate) late: bool,
}

/// A lease at hand.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    pub(crate) lease: LeaseId,
    pub(crate) home: VmId,
    pub(crate) slot: TokenGrant,
}

/// A home, by group and rank, that is not asked for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SkippedGroup {
    pub(crate) until: MonoTime,
    /// Whether its home may mint and had no tokens.
    pub(crate) can_grant: bool,
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) take: TakeId,
    pub(crate) since: MonoTime,
}

/// An account at this ingress.
#[derive(Debug)]
pub(crate) struct IngressAccount {
    pub(crate) cell: Arc<LeaseSlots>,
    pub(crate) leases: Vec<HeldLease>,
    pub(crate) asks: Vec<PendingAsk>,
    pub(crate) waiters: Vec<Waiter>,
    /// Homes not to be asked before a time.
    pub(crate) skip: BTreeMap<(GroupId, usize), SkippedGroup>,
    /// When a home that may mint was last heard.
    pub(crate) minting_at: Option<MonoTime>,
    pub(crate) demand: f64,
    pub(crate) seen_taken: u64,
    pub(crate) looked: MonoTime,
    pub(crate) used: MonoTime,
}

impl IngressAccount {
    /// Homes of a group that are asked in turn: the first and its deputies.
    pub(crate) const RANKS: usize = 3;

    /// An account without demand.
    pub(crate) fn new(cell: Arc<LeaseSlots>, now: MonoTime) -> Self {
        Self {
            cell,
            leases: Vec::new(),
            asks: Vec::new(),
            waiters: Vec::new(),
            skip: BTreeMap::new(),
            minting_at: None,
            demand: 0.0,
            seen_taken: 0,
            looked: now,
            used: now,
        }
    }

    /// Brings the demand up to date.
    pub(crate) fn look(&mut self, now: MonoTime) {
        let gap = now.since(self.looked);
        if gap < DEMAND_EVERY {
            return;
        }
        let taken = self.cell.taken();
        let new = (taken - self.seen_taken) as f64 / gap.as_secs_f64();
        self.demand += DEMAND_GAIN * (new - self.demand);
        self.used = if taken > self.seen_taken {
            now
        } else {
            self.used
        };
        self.seen_taken = taken;
        self.looked = now;
    }

    /// Tokens to ask for now.
    pub(crate) fn shortage(&self, now: MonoTime) -> u32 {
        let timely = self.asks.iter().filter(|request| !request.late);
        let pending: u32 = timely.map(|request| request.want).sum();
        let stock = self.cell.available(now) + pending;
        let waiting = self.waiters.len() as u32;
        let low = (self.demand * LOW_DEMAND.as_secs_f64()) as u32 + waiting;
        let full = (self.demand * LEASE_DEMAND.as_secs_f64()).ceil() as u32 + waiting;
        match stock < low {
            true => (full - stock).min(MAX_TOKENS),
            false => 0,
        }
    }

    /// Whether there is nothing to remember.
    pub(crate) fn is_idle(&self, now: MonoTime) -> bool {
        let busy = !self.leases.is_empty() || !self.asks.is_empty() || !self.waiters.is_empty();
        !busy && now.since(self.used) > FORGET_AFTER
    }

    /// Whether a home of a group was asked and may still answer in time.
    pub(crate) fn is_asking(&self, group: GroupId) -> bool {
        self.asks
            .iter()
            .any(|request| request.group == group && !request.late)
    }

    /// Takes out the ask that an answer belongs to.
    pub(crate) fn take_ask(&mut self, request: LeaseRequestId) -> Option<PendingAsk> {
        let place = self
            .asks
            .iter()
            .position(|pending| pending.request == request)?;
        Some(self.asks.swap_remove(place))
    }

    /// Takes out the leases that end by `time`.
    pub(crate) fn take_leases(&mut self, time: MonoTime) -> Vec<HeldLease> {
        self.leases
            .extract_if(.., |held| held.slot.expires() <= time)
            .collect()
    }

    /// Notes whether a home mints, and until when it has no more tokens.
    pub(crate) fn note_answer(
        &mut self,
        now: MonoTime,
        request: &PendingAsk,
        answer: &LeaseResponse,
    ) {
        if answer.can_grant {
            self.minting_at = Some(now);
        }
        if answer.amount < request.want {
            let retry = Duration::from_millis(u64::from(answer.retry_ms.max(1)));
            let skipped = SkippedGroup {
                until: now + retry.min(MAX_RETRY),
                can_grant: answer.can_grant,
            };
            self.skip.insert((request.group, request.rank), skipped);
        }
    }

    /// What is known of a home that is not to be asked yet.
    pub(crate) fn skipped(&self, now: MonoTime, key: (GroupId, usize)) -> Option<SkippedGroup> {
        self.skip.get(&key).copied().filter(|skip| skip.until > now)
    }

    /// Whether a home of a group that mints had no tokens.
    pub(crate) fn is_spent(&self, now: MonoTime, group: GroupId) -> bool {
        let mut skipped = (0..Self::RANKS).filter_map(|rank| self.skipped(now, (group, rank)));
        skipped.any(|skip| skip.can_grant)
    }

    /// When the first home that mints will have a token again.
    pub(crate) fn mint_at(&self) -> Option<MonoTime> {
        let minting = self.skip.values().filter(|skipped| skipped.can_grant);
        minting.map(|skipped| skipped.until).min()
    }
}
