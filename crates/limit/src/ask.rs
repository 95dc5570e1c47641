//! The ingress's side of the machine: who waits for tokens, and the asks.

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

/// Time that a request waits for tokens that its home does not have yet.
const REFILL_WAIT: Duration = Duration::from_millis(40);
/// Time that a request waits for the answer of a home. A refusal within the
/// rate costs its caller more than the wait.
const RESPONSE_WAIT: Duration = Duration::from_millis(200);
/// Time for which a home that minted is taken to do so still.
const GRANTING_FOR: Duration = Duration::from_secs(1);
/// Time before the end of a lease at which its rest is given back.
const RETURN_BEFORE: Duration = Duration::from_millis(60);

impl LimitNode {
    /// A request waits for a token.
    pub(crate) fn take(&mut self, step: &mut LimitStep<'_>, take: TakeId, account: AccountId) {
        let now = step.now;
        let entry = self.account(now, &account);
        entry.last_used = now;
        entry.waiters.push(Waiter { take, since: now });
        self.serve(step, &account);
    }

    /// Gives tokens to those who wait, asks for more, refuses who can't wait.
    fn serve(&mut self, step: &mut LimitStep<'_>, account: &AccountId) {
        self.serve_waiters(step, account);
        self.request_tokens(step, account);
        // An ask to this daemon itself is answered already.
        self.serve_waiters(step, account);
        self.refuse_waiters(step, account);
    }

    /// Gives tokens at hand to those who wait.
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

    /// Asks homes for what is short, one group after another.
    fn request_tokens(&mut self, step: &mut LimitStep<'_>, account: &AccountId) {
        for group in self.groups_of(step, account) {
            // Beside a home that was silent, the next one is asked at once.
            for _ in 0..IngressAccount::RANKS {
                self.request_from_group(step, account, group);
            }
        }
    }

    /// Groups that share an account, that of this VM first.
    fn groups_of(&self, step: &LimitStep<'_>, account: &AccountId) -> Vec<GroupId> {
        let Some(limit) = step.limit(account) else {
            return Vec::new();
        };
        let sharing = self.map.groups_of(account, limit.burst);
        let from_here = self.groups.iter().copied();
        from_here.filter(|group| sharing.contains(group)).collect()
    }

    /// Asks a home of a group, unless one is asked already.
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

    /// The home to ask in a group with its rank: the first that is neither
    /// silent nor known to have nothing. `None` if one that mints had no
    /// tokens, or nobody is left.
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

    /// When a home may be asked by what is known of the way to it.
    fn retry_at(&self, home: &VmId) -> MonoTime {
        self.paths
            .get(home)
            .map_or(MonoTime::ZERO, |path| path.retry_at())
    }

    /// Asks one home.
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
            path.note_timeout(step.now, step.now);
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

    /// Refuses requests that wait for nothing, or for too long.
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
            // Its homes mint, and tokens were just not there in time.
            None if granting => TakeRefusal::OverRate(REFILL_WAIT),
            None => TakeRefusal::NoHome,
        };
        // A home that will have a token, or may be asked again, within the
        // wait is worth it.
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

    /// When the first of the homes that gave no answer may be asked again.
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

    /// Takes a home's answer to an ask.
    pub(crate) fn receive_response(
        &mut self,
        step: &mut LimitStep<'_>,
        from: &VmId,
        response: LeaseResponse,
    ) {
        let account = response.account.clone();
        if self.note_response(step, from, response) && *from != self.vm {
            self.serve(step, &account);
        }
    }

    /// Notes what a home granted; tells whether that was expected.
    fn note_response(
        &mut self,
        step: &mut LimitStep<'_>,
        from: &VmId,
        response: LeaseResponse,
    ) -> bool {
        let now = step.now;
        let Some(entry) = self.accounts.get_mut(&response.account) else {
            return false;
        };
        // A second copy finds no ask, nor does one whose lease has ended.
        let Some(pending) = entry.take_request(response.request) else {
            return false;
        };
        self.paths
            .entry(from.clone())
            .or_default()
            .note_response(now.since(pending.sent));
        entry.note_response(now, &pending, &response);
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
            // There is no place for it; it goes back in whole.
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

    /// Follows the time at one account.
    pub(crate) fn tick_account(&mut self, step: &mut LimitStep<'_>, account: &AccountId) {
        let now = step.now;
        let Some(entry) = self.accounts.get_mut(account) else {
            return;
        };
        entry.update_demand(now);
        // The lease of an answer that comes later has ended on its way.
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
                path.note_timeout(now, request.sent);
            }
        }
        entry.backoffs.retain(|_, backoff| backoff.until > now);
        let old = entry.take_expiring(now + RETURN_BEFORE);
        let slots = Arc::clone(&entry.slots);
        self.return_leases(step, account, &slots, old);
        self.serve(step, account);
    }

    /// Gives the rest of leases back to their homes.
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
