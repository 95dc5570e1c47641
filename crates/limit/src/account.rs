//! State of one account at the ingress of a daemon: leases, demand and waiting
//! client requests.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ids::{MonoTime, VmId};

use crate::{
    cell::GroupId,
    lease::{LeaseSlots, MAX_TOKENS, TokenGrant},
    message::{LeaseId, LeaseRequestId, LeaseResponse},
    mint::MAX_RETRY,
    node::TakeId,
};

/// Stock of tokens that a lease request aims at, and the stock below which
/// tokens are requested. Both are given as the time for which the stock meets
/// the demand.
const TARGET_STOCK: Duration = Duration::from_millis(300);
const LOW_STOCK: Duration = Duration::from_millis(120);
/// Weight of the newest interval in the moving average of the demand.
const DEMAND_GAIN: f64 = 0.3;
/// Interval between updates of the demand.
const DEMAND_PERIOD: Duration = Duration::from_millis(50);
/// Time without use after which an ingress forgets an account.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Lease request that has no response yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: LeaseRequestId,
    pub(crate) group: GroupId,
    /// Rank of the home that was asked.
    pub(crate) rank: usize,
    pub(crate) home: VmId,
    pub(crate) sent: MonoTime,
    pub(crate) want: u32,
    /// Whether the request timed out, so that other homes are asked as well.
    pub(crate) timed_out: bool,
}

/// Lease that this ingress holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    pub(crate) lease: LeaseId,
    pub(crate) home: VmId,
    pub(crate) slot: TokenGrant,
}

/// Time until which a home, named by group and rank, is not asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HomeBackoff {
    pub(crate) until: MonoTime,
    /// Whether the home may grant tokens and had too few.
    pub(crate) can_grant: bool,
}

/// Client request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) take: TakeId,
    pub(crate) since: MonoTime,
}

/// State of an account at this ingress.
#[derive(Debug)]
pub(crate) struct IngressAccount {
    pub(crate) slots: Arc<LeaseSlots>,
    pub(crate) leases: Vec<HeldLease>,
    pub(crate) requests: Vec<PendingRequest>,
    pub(crate) waiters: Vec<Waiter>,
    /// Backoffs of homes, by group and rank.
    pub(crate) backoffs: BTreeMap<(GroupId, usize), HomeBackoff>,
    /// When a home that may grant tokens last responded.
    pub(crate) last_granting: Option<MonoTime>,
    pub(crate) demand: f64,
    pub(crate) last_taken: u64,
    pub(crate) updated: MonoTime,
    pub(crate) last_used: MonoTime,
}

impl IngressAccount {
    /// Number of homes of a group that are asked in turn: the first one and its
    /// deputies.
    pub(crate) const RANKS: usize = 3;

    /// Creates the state of an account without demand.
    pub(crate) fn new(slots: Arc<LeaseSlots>, now: MonoTime) -> Self {
        Self {
            slots,
            leases: Vec::new(),
            requests: Vec::new(),
            waiters: Vec::new(),
            backoffs: BTreeMap::new(),
            last_granting: None,
            demand: 0.0,
            last_taken: 0,
            updated: now,
            last_used: now,
        }
    }

    /// Updates the moving average of the demand.
    pub(crate) fn update_demand(&mut self, now: MonoTime) {
        let gap = now.since(self.updated);
        if gap < DEMAND_PERIOD {
            return;
        }
        let taken = self.slots.taken();
        let new = (taken - self.last_taken) as f64 / gap.as_secs_f64();
        self.demand += DEMAND_GAIN * (new - self.demand);
        self.last_used = if taken > self.last_taken {
            now
        } else {
            self.last_used
        };
        self.last_taken = taken;
        self.updated = now;
    }

    /// Returns the number of tokens to request now.
    pub(crate) fn shortage(&self, now: MonoTime) -> u32 {
        let in_time = self.requests.iter().filter(|request| !request.timed_out);
        let pending: u32 = in_time.map(|request| request.want).sum();
        let stock = self.slots.available(now) + pending;
        let waiting = self.waiters.len() as u32;
        let low = (self.demand * LOW_STOCK.as_secs_f64()) as u32 + waiting;
        let full = (self.demand * TARGET_STOCK.as_secs_f64()).ceil() as u32 + waiting;
        match stock < low {
            true => (full - stock).min(MAX_TOKENS),
            false => 0,
        }
    }

    /// Whether there is no state worth keeping.
    pub(crate) fn is_idle(&self, now: MonoTime) -> bool {
        let busy = !self.leases.is_empty() || !self.requests.is_empty() || !self.waiters.is_empty();
        !busy && now.since(self.last_used) > FORGET_AFTER
    }

    /// Whether a home of a group was asked and may still respond in time.
    pub(crate) fn has_pending(&self, group: GroupId) -> bool {
        self.requests
            .iter()
            .any(|request| request.group == group && !request.timed_out)
    }

    /// Removes and returns the request that a response belongs to.
    pub(crate) fn take_request(&mut self, request: LeaseRequestId) -> Option<PendingRequest> {
        let index = self
            .requests
            .iter()
            .position(|pending| pending.request == request)?;
        Some(self.requests.swap_remove(index))
    }

    /// Removes and returns the leases that expire by `time`.
    pub(crate) fn take_expiring(&mut self, time: MonoTime) -> Vec<HeldLease> {
        self.leases
            .extract_if(.., |held| held.slot.expires() <= time)
            .collect()
    }

    /// Records whether a home may grant tokens, and the backoff if it granted
    /// fewer than requested.
    pub(crate) fn record_response(
        &mut self,
        now: MonoTime,
        request: &PendingRequest,
        response: &LeaseResponse,
    ) {
        if response.can_grant {
            self.last_granting = Some(now);
        }
        if response.amount < request.want {
            let retry = Duration::from_millis(u64::from(response.retry_ms.max(1)));
            let backoff = HomeBackoff {
                until: now + retry.min(MAX_RETRY),
                can_grant: response.can_grant,
            };
            self.backoffs.insert((request.group, request.rank), backoff);
        }
    }

    /// Returns the backoff of a home that must not be asked yet.
    pub(crate) fn backoff(&self, now: MonoTime, key: (GroupId, usize)) -> Option<HomeBackoff> {
        self.backoffs
            .get(&key)
            .copied()
            .filter(|backoff| backoff.until > now)
    }

    /// Whether a home of a group may grant tokens but had too few.
    pub(crate) fn is_exhausted(&self, now: MonoTime, group: GroupId) -> bool {
        let mut backoffs = (0..Self::RANKS).filter_map(|rank| self.backoff(now, (group, rank)));
        backoffs.any(|backoff| backoff.can_grant)
    }

    /// Returns when the first of the homes that may grant tokens will have one
    /// again.
    pub(crate) fn next_token_at(&self) -> Option<MonoTime> {
        let granting = self.backoffs.values().filter(|backoff| backoff.can_grant);
        granting.map(|backoff| backoff.until).min()
    }
}
