//! Rate limiting of client accounts on the request path.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use arc_swap::ArcSwap;
use ids::{AccountId, FastMap};
use limit::{LeaseSlots, TakeRefusal, TokenGrant};
use tokio::sync::oneshot;

use crate::{
    answer::Refusal,
    clock::MonoClock,
    control::{ControlEvent, ControlSender},
};

/// Maximum number of accounts whose leases are cached. When it is reached, the
/// cache is emptied and accounts are looked up again.
const MAX_CACHED_ACCOUNTS: usize = 10_000;

/// Takes rate tokens from the leases of this daemon by atomic operations, or
/// asks the control loop if there is no token in them.
#[derive(Debug)]
pub struct RateLimiter {
    clock: MonoClock,
    control: ControlSender,
    leases: ArcSwap<FastMap<AccountId, Arc<LeaseSlots>>>,
}

/// A token that returns to its lease when it is dropped, unless its request may
/// have run by then.
///
/// A caller that leaves drops the token too, so what decides is whether the
/// request was sent and not how its handler ended.
#[derive(Debug)]
pub struct HeldToken {
    clock: MonoClock,
    slots: Arc<LeaseSlots>,
    grant: Option<TokenGrant>,
    sent: SentMark,
}

/// Whether a request was sent to a backend server's daemon; shared by its token
/// and its attempts.
#[derive(Clone, Debug, Default)]
pub struct SentMark(Arc<AtomicBool>);

impl SentMark {
    /// Records that the request is about to be sent.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl HeldToken {
    /// Returns the mark that the attempts of the request set.
    pub fn sent_mark(&self) -> SentMark {
        self.sent.clone()
    }

    /// Gives the token back, because the request certainly did not run.
    pub fn give_back(self) {
        self.sent.0.store(false, Ordering::Relaxed);
    }
}

impl Drop for HeldToken {
    fn drop(&mut self) {
        match self.grant.take() {
            Some(grant) if !self.sent.0.load(Ordering::Relaxed) => {
                self.slots.give_back(self.clock.now(), grant);
            }
            _ => {}
        }
    }
}

impl RateLimiter {
    /// Creates a limiter without cached leases.
    pub fn new(clock: MonoClock, control: ControlSender) -> Self {
        Self {
            clock,
            control,
            leases: ArcSwap::default(),
        }
    }

    /// Takes a token for a request of an account.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::OverRate`] if the account is over its rate, or
    /// [`Refusal::NoHome`] if no reachable home of the account may grant tokens.
    pub async fn take(&self, account: &AccountId) -> Result<HeldToken, Refusal> {
        let cached = self.leases.load().get(account).cloned();
        if let Some(slots) = cached
            && let Some(grant) = slots.try_take(self.clock.now())
        {
            return Ok(self.hold(slots, grant));
        }
        let (reply, receiver) = oneshot::channel();
        let event = ControlEvent::TakeToken {
            account: account.clone(),
            reply,
        };
        if !self.control.send(event).await {
            return Err(Refusal::NoHome);
        }
        match receiver.await {
            Ok(Ok((slots, grant))) => {
                self.cache_leases(account, &slots);
                Ok(self.hold(slots, grant))
            }
            Ok(Err(TakeRefusal::OverRate(after))) => Err(Refusal::OverRate(after)),
            Ok(Err(TakeRefusal::NoHome)) | Err(_) => Err(Refusal::NoHome),
        }
    }

    /// Wraps a token that was taken from the leases in `slots`.
    fn hold(&self, slots: Arc<LeaseSlots>, grant: TokenGrant) -> HeldToken {
        HeldToken {
            clock: self.clock,
            slots,
            grant: Some(grant),
            sent: SentMark::default(),
        }
    }

    /// Caches the leases of an account for its next request.
    ///
    /// Leases that the control loop has dropped are never refilled, so the next
    /// request of the account asks the control loop again and replaces them
    /// here.
    fn cache_leases(&self, account: &AccountId, slots: &Arc<LeaseSlots>) {
        let cached = self.leases.load();
        if cached
            .get(account)
            .is_some_and(|old| Arc::ptr_eq(old, slots))
        {
            return;
        }
        self.leases.rcu(|leases| {
            let mut leases = match leases.len() {
                len if len >= MAX_CACHED_ACCOUNTS => FastMap::default(),
                _ => FastMap::clone(leases),
            };
            leases.insert(account.clone(), Arc::clone(slots));
            leases
        });
    }
}
