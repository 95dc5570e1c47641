//! The ingress side of the state machine: waiting client requests and lease
//! requests.

use std::{sync::Arc, time::Duration};

use ids::{AccountId, MonoTime, VmId};

use crate::{
    account::{HeldLease, IngressAccount, PendingRequest, Waiter},
    cell::GroupId,
    home::LEASE_TIME,
    lease::LeaseSlots,
    message::{LeaseRequestId, LeaseResponse, LimitMessage},
    mint::MAX_RETRY,
    node::{LimitAction, LimitNode, TakeId, TakeRefusal},
    step::LimitStep,
};

/// Time for which a client request waits for a token that its home does not
/// have yet.
const REFILL_WAIT: Duration = Duration::from_millis(40);
/// Time for which a client request waits for the response of a home. A refusal
/// within the rate costs the client more than the wait.
const RESPONSE_WAIT: Duration = Duration::from_millis(200);
/// Time for which a home that could grant tokens is assumed to be still able
/// to.
const GRANTING_FOR: Duration = Duration::from_secs(1);
/// Time before the expiry of a lease at which its remaining tokens are
/// returned.
const RETURN_BEFORE: Duration = Duration::from_millis(60);

impl LimitNode {
    /// Handles a client request that needs a token.
    pub(crate) fn take(&mut self, step: &mut LimitStep<'_>, take: TakeId, account: AccountId) {
        let now = step.now;
        let entry = self.account(now, &account);
        entry.last_used = now;
        entry.waiters.push(Waiter { take, since: now });
        self.serve(step, &account);
    }

    /// Serves waiting client requests, requests more tokens, and refuses the
    /// client requests that cannot wait any longer.
    fn serve(&mut self, step: &mut LimitStep<'_>, account: &AccountId) {
        self.serve_waiters(step, account);
        self.request_tokens(step, account);
        // If the home is this daemon itself, its response has arrived by now.
        self.serve_waiters(step, account);
        self.refuse_waiters(step, account);
    }

    /// Gives leased tokens to waiting client requests.
    fn serve_waiters(&mut self, step: &mut LimitStep<'_>, account: &AccountId) {
        let Some(entry) = self.accounts.get_mut(account) else {
            return;
        };
        let mut served = 0;
        for waiter in &entry.waiters {
            let Some(grant) = entry.slots.try_take(step.now) else {
                break;
            };
            step.act(LimitAction::Admit(waiter.take, grant));
            served += 1;
        }
        entry.waiters.drain(..served);
    }

    /// Requests missing tokens from the homes of one group after another.
    fn request_tokens(&mut self, step: &mut LimitStep<'_>, account: &AccountId) {
        for group in self.groups_of(step, account) {
            // If a home does not respond, the next one is asked at the same
            // time.
            for _ in 0..IngressAccount::RANKS {
                self.request_from_group(step, account, group);
            }
        }
    }

    /// Returns the groups that share an account, that of this VM first.
    fn groups_of(&self, step: &LimitStep<'_>, account: &AccountId) -> Vec<GroupId> {
        let Some(limit) = step.limit(account) else {
            return Vec::new();
        };
        let sharing = self.map.groups_of(account, limit.burst);
        let from_here = self.groups.iter().copied();
        from_here.filter(|group| sharing.contains(group)).collect()
    }

    /// Requests tokens from a home of a group, unless a request is pending.
    fn request_from_group(
        &mut self,
        step: &mut LimitStep<'_>,
        account: &AccountId,
        group: GroupId,
    ) {
        let Some(entry) = self.accounts.get(account) else {
            return;
        };
        let want = entry.shortage(step.now);
        if want == 0 || entry.has_pending(group) {
            return;
        }
        if let Some((rank, home)) = self.pick_home(step.now, entry, group, account) {
            self.send_request(step, account, (group, rank), home, want);
        }
    }

    /// Picks the home to ask in a group and returns it with its rank: the first
    /// that is neither unresponsive nor known to have no tokens. Returns `None`
    /// if a home that may grant tokens had too few, or if no home is left.
    fn pick_home(
        &self,
        now: MonoTime,
        entry: &IngressAccount,
        group: GroupId,
        account: &AccountId,
    ) -> Option<(usize, VmId)> {
        if entry.is_exhausted(now, group) {
            return None;
        }
        let homes = self.map.candidates(group, account);
        let ranked = homes.into_iter().take(IngressAccount::RANKS).enumerate();
        let mut usable = ranked.filter(|(rank, home)| {
            entry.backoff(now, (group, *rank)).is_none() && self.retry_at(home) <= now
        });
        usable.next().map(|(rank, home)| (rank, home.clone()))
    }

    /// Returns when a home may be asked, by the state of the path to it.
    fn retry_at(&self, home: &VmId) -> MonoTime {
        self.paths
            .get(home)
            .map_or(MonoTime::ZERO, |path| path.retry_at())
    }

    /// Sends a lease request to one home.
    fn send_request(
        &mut self,
        step: &mut LimitStep<'_>,
        account: &AccountId,
        (group, rank): (GroupId, usize),
        home: VmId,
        want: u32,
    ) {
        let request = LeaseRequestId(self.new_number());
        let path = self.paths.entry(home.clone()).or_default();
        let timed_out = path.is_unresponsive();
        if timed_out {
            path.record_timeout(step.now, step.now);
        }
        let pending = PendingRequest {
            request,
            group,
            rank,
            home: home.clone(),
            sent: step.now,
            want,
            timed_out,
        };
        self.account(step.now, account).requests.push(pending);
        let message = LimitMessage::LeaseRequest {
            request,
            account: account.clone(),
            want,
        };
        self.deliver(step, home, message);
    }

    /// Refuses client requests that no token can reach in time, or that have
    /// waited too long.
    fn refuse_waiters(&mut self, step: &mut LimitStep<'_>, account: &AccountId) {
        let now = step.now;
        let unresponsive_until = self.unresponsive_until(step, account);
        let Some(entry) = self.accounts.get_mut(account) else {
            return;
        };
        let pending = !entry.requests.is_empty();
        let next_token_at = entry.next_token_at();
        let granting = entry
            .last_granting
            .is_some_and(|at| now.since(at) < GRANTING_FOR);
        let refusal = match next_token_at {
            Some(until) => TakeRefusal::OverRate(until.since(now).min(MAX_RETRY)),
            // Homes may grant tokens, but none arrived in time.
            None if granting => TakeRefusal::OverRate(REFILL_WAIT),
            None => TakeRefusal::NoHome,
        };
        // It is worth waiting for a home that will have a token, or may be
        // asked again, within the wait.
        let (wait, retry_at) = match next_token_at {
            Some(until) => (REFILL_WAIT, until),
            None => (RESPONSE_WAIT, unresponsive_until),
        };
        entry.waiters.retain(|waiter| {
            let end = waiter.since + wait;
            let over = now >= end || (!pending && retry_at >= end);
            if over {
                step.act(LimitAction::Refuse(waiter.take, refusal));
            }
            !over
        });
    }

    /// Returns when the first of the unresponsive homes may be asked again.
    fn unresponsive_until(&self, step: &LimitStep<'_>, account: &AccountId) -> MonoTime {
        let groups = self.groups_of(step, account);
        let homes = groups.iter().flat_map(|group| {
            self.map
                .candidates(*group, account)
                .into_iter()
                .take(IngressAccount::RANKS)
        });
        let unresponsive = homes.map(|home| self.retry_at(home));
        let unresponsive = unresponsive.filter(|retry_at| *retry_at > MonoTime::ZERO);
        unresponsive.min().unwrap_or(step.now + MAX_RETRY)
    }

    /// Handles the response of a home to a lease request.
    pub(crate) fn receive_response(
        &mut self,
        step: &mut LimitStep<'_>,
        from: &VmId,
        response: LeaseResponse,
    ) {
        let account = response.account.clone();
        if self.record_response(step, from, response) && *from != self.vm {
            self.serve(step, &account);
        }
    }

    /// Records the response of a home. Returns whether it was expected.
    fn record_response(
        &mut self,
        step: &mut LimitStep<'_>,
        from: &VmId,
        response: LeaseResponse,
    ) -> bool {
        let now = step.now;
        let Some(entry) = self.accounts.get_mut(&response.account) else {
            return false;
        };
        // A duplicate response finds no pending request, and neither does one
        // whose lease has expired.
        let Some(pending) = entry.take_request(response.request) else {
            return false;
        };
        self.paths
            .entry(from.clone())
            .or_default()
            .record_response(now.since(pending.sent));
        entry.record_response(now, &pending, &response);
        if response.amount == 0 {
            return true;
        }
        let valid = Duration::from_millis(u64::from(response.valid_ms)).min(LEASE_TIME);
        let slot = entry
            .slots
            .install(now, pending.sent + valid, response.amount);
        match slot {
            Some(slot) => entry.leases.push(HeldLease {
                lease: response.lease,
                home: from.clone(),
                slot,
            }),
            // No lease slot is free, so the whole lease is returned.
            None => {
                let message = LimitMessage::LeaseReturn {
                    account: response.account,
                    lease: response.lease,
                    amount: response.amount,
                };
                self.deliver(step, from.clone(), message);
            }
        }
        true
    }

    /// Updates one account as time passes.
    pub(crate) fn tick_account(&mut self, step: &mut LimitStep<'_>, account: &AccountId) {
        let now = step.now;
        let Some(entry) = self.accounts.get_mut(account) else {
            return;
        };
        entry.update_demand(now);
        // The lease of a response that arrives later has expired on its way.
        entry
            .requests
            .retain(|request| now.since(request.sent) < LEASE_TIME);
        for request in entry
            .requests
            .iter_mut()
            .filter(|request| !request.timed_out)
        {
            let path = self.paths.entry(request.home.clone()).or_default();
            request.timed_out = now.since(request.sent) >= path.timeout();
            if request.timed_out {
                path.record_timeout(now, request.sent);
            }
        }
        entry.backoffs.retain(|_, backoff| backoff.until > now);
        let old = entry.take_expiring(now + RETURN_BEFORE);
        let slots = Arc::clone(&entry.slots);
        self.return_leases(step, account, &slots, old);
        self.serve(step, account);
    }

    /// Returns the remaining tokens of leases to their homes.
    fn return_leases(
        &mut self,
        step: &mut LimitStep<'_>,
        account: &AccountId,
        slots: &LeaseSlots,
        leases: Vec<HeldLease>,
    ) {
        for held in leases {
            let message = LimitMessage::LeaseReturn {
                account: account.clone(),
                lease: held.lease,
                amount: slots.drain(held.slot),
            };
            self.deliver(step, held.home, message);
        }
    }
}
